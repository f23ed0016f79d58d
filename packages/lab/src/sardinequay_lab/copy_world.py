"""A fleet whose hosts follow a store, on virtual time and without sockets.

It plays how a change reaches the hosts: the reads of the store, the digests that state
what is new there, and the fetches of items, each of which can fail by itself.
"""

import heapq
import itertools
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from random import Random

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.fleet_topology import is_mesh
from sardinequay_core.freshness import Freshness, FreshnessStatement
from sardinequay_core.read_times import ReadTimes, read_times

ANSWER_S = 0.004
HOP_S = 0.002
NEWS_DELAY_S = 0.02
"""Time from an answer of the store to the digests that announce its news."""

RETRY_DELAYS_S = (0.05, 0.1, 0.25, 0.5, 0.5, 1.0)
MAX_RETRY_DELAY_S = 2.0
CHECK_S = 0.05
CHANGE_EVERY_S = 3.0
FAULT_BEFORE_S, FAULT_FOR_S = 1.0, 3.0
PLAY_S = 40.0
RATE_WINDOW_S = 0.5

PEERS_READ_IS_ENOUGH_S = 2.0
PEERS_WAY_WATCH_S = 1.0
PEERS_WAY_ANSWER_S = 0.7
PEERS_WAY_FETCH_S = 0.6
PEERS_WAY_TURN_S = 0.5
"""Delay after which each further host of a data centre with a hub reads."""


@dataclass(frozen=True)
class Way:
    """How hosts decide that they must read the store, and fetch items.

    Parameters
    ----------
    trusts_peers : bool
        Whether a host takes itself to be up to date as long as any peer has read the
        store lately; else the hosts of a large fleet read in turn.
    all_read : bool
        Whether each host watches the store all the time.
    hedges : bool
        Whether a second peer is asked for items before the first has answered.
    """

    name: str
    trusts_peers: bool = False
    all_read: bool = False
    hedges: bool = True


@dataclass(frozen=True)
class Trouble:
    """What fails around each change.

    Parameters
    ----------
    lost_items_share, lost_links_share : float
        Share of the hosts that get no items, or no frames at all, from any other.
    readers_send_no_items : bool
        Whether replies of readers that carry items are lost.
    readers_cut : bool
        Whether the readers of all data centres are cut off from the store, silently.
    readers_dead : bool
        Whether these readers are gone.
    connections_die : bool
        Whether the next call to the store of each host gets no answer.
    store_away : bool
        Whether the store answers nobody. Changes are confirmed before that.
    """

    name: str
    lost_items_share: float = 0.0
    lost_links_share: float = 0.0
    readers_send_no_items: bool = False
    readers_cut: bool = False
    readers_dead: bool = False
    connections_die: bool = False
    store_away: bool = False


@dataclass(frozen=True)
class CopyResult:
    """How late changes were, and what the store was asked.

    Parameters
    ----------
    worst_s, late_share : float
        Longest time from a change to its being in force at a host, in seconds, and the
        share of hosts and changes beyond the budget.
    calls_per_s, most_calls_per_s : float
        Calls to the store by all hosts, over the play and in the busiest window.
    fetches_per_change : float
        Fetches of items between hosts, those in vain too.
    """

    worst_s: float
    late_share: float
    calls_per_s: float
    most_calls_per_s: float
    fetches_per_change: float


@dataclass
class Follower:
    """A host that follows the store."""

    number: int
    data_centre: int
    rank: int
    freshness: Freshness = field(default_factory=Freshness)
    peers_read_at: float = 0.0
    failures: int = 0
    fetching: set[int] = field(default_factory=set)
    last_fetch_at: float = float("-inf")
    gets_items: bool = True
    gets_frames: bool = True
    is_cut_off: bool = False
    is_gone: bool = False
    back_at: float = 0.0
    has_dead_connection: bool = False
    spread_draw: float = 0.0

    @property
    def held(self) -> int:
        """Return the revision that it holds."""
        return self.freshness.held_revision


class CopyWorld:
    """Hosts, the store, and the events between them."""

    def __init__(
        self,
        hosts: int,
        data_centres: int,
        budget_s: float,
        reads_per_s: float,
        trouble: Trouble,
        way: Way,
        seed: int,
    ) -> None:
        self.random = Random(seed)
        self.trouble = trouble
        self.way = way
        self.budget_s = budget_s
        self.times: ReadTimes = read_times(seconds(budget_s), reads_per_s, hosts)
        self.followers = [
            Follower(n, n % data_centres, n // data_centres) for n in range(hosts)
        ]
        self.is_mesh = is_mesh(hosts)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        self.revision = 1
        self.is_away = False
        self.watching: dict[int, Callable[[], None]] = {}
        self.calls: list[float] = []
        self.fetches = 0
        self.changed_at: dict[int, float] = {}
        self.lateness: list[float] = []

    def play(self) -> CopyResult:
        """Play it and return the figures."""
        for host in self.followers:
            host.freshness.hold(1)
            host.spread_draw = self.random.random()
            self.after(self.random.uniform(0, 0.3), partial(self.follow, host))
            self.after(self.random.uniform(0, 0.3), partial(self.gossip, host))
        self.after(3.0, self.begin_trouble)
        while self.events and self.now < PLAY_S:
            self.now, _, act = heapq.heappop(self.events)
            act()
        return self.result()

    def result(self) -> CopyResult:
        """Return the figures; a change that has not arrived is as late as it can be."""
        for revision, at in self.changed_at.items():
            missing = [h for h in self.counted(at) if h.held < revision]
            self.lateness += [self.now - at] * len(missing)
        late = sum(late_s > self.budget_s for late_s in self.lateness)
        return CopyResult(
            max(self.lateness),
            late / len(self.lateness),
            len(self.calls) / self.now,
            max(self.calls_in_windows()) / RATE_WINDOW_S,
            self.fetches / len(self.changed_at),
        )

    def calls_in_windows(self) -> Iterator[int]:
        """Yield how many calls the store got from each call on."""
        first = 0
        for last, at in enumerate(self.calls):
            while self.calls[first] < at - RATE_WINDOW_S:
                first += 1
            yield last - first + 1

    def counted(self, since: float) -> list[Follower]:
        """Return the hosts that have been there since some time."""
        return [h for h in self.followers if not h.is_gone and h.back_at <= since]

    def after(self, delay_s: float, act: Callable[[], None]) -> None:
        """Let something happen later."""
        heapq.heappush(self.events, (self.now + delay_s, next(self.order), act))

    def instant(self, at: float) -> Instant:
        """Return a time as the core has it."""
        return seconds(at)

    # Trouble.

    def begin_trouble(self) -> None:
        """Begin the trouble; a change follows, then its end."""
        trouble, count = self.trouble, len(self.followers)
        others = [h for h in self.followers if not self.is_reader(h)]
        self.random.shuffle(others)
        for host in others[: round(trouble.lost_items_share * count)]:
            host.gets_items = False
        for host in others[: round(trouble.lost_links_share * count)]:
            host.gets_frames = False
        for host in self.followers:
            host.has_dead_connection = trouble.connections_die
            if self.is_reader(host):
                host.is_cut_off = trouble.readers_cut
                host.is_gone = trouble.readers_dead
            if self.is_reader(host) and trouble.readers_send_no_items:
                host.gets_items = False
        self.is_away = trouble.store_away
        self.after(self.random.uniform(0, FAULT_BEFORE_S), self.change)
        self.after(FAULT_BEFORE_S + FAULT_FOR_S, self.end_trouble)

    def change(self) -> None:
        """Change the store; its watchers hear of it."""
        self.revision += 1
        self.changed_at[self.revision] = self.now
        for answer in list(self.watching.values()):
            answer()

    def end_trouble(self) -> None:
        """End the trouble; the next one comes soon."""
        for host in self.followers:
            host.back_at = self.now if host.is_gone else host.back_at
            host.gets_items = host.gets_frames = True
            host.is_cut_off = host.is_gone = host.has_dead_connection = False
        self.is_away = False
        self.after(CHANGE_EVERY_S, self.begin_trouble)

    # Reads of the store.

    def is_reader(self, host: Follower) -> bool:
        """Return whether a host reads the store for its data centre."""
        return host.rank == 0

    def must_read(self, host: Follower) -> bool:
        """Return whether a host must read the store now."""
        if self.is_reader(host) or self.way.all_read:
            return True
        if self.way.trusts_peers:
            stale_s = self.now - host.peers_read_at - PEERS_READ_IS_ENOUGH_S
            turn_s = 0.0 if self.is_mesh else host.rank * PEERS_WAY_TURN_S
            return stale_s >= turn_s
        age = host.freshness.age(self.instant(self.now))
        if host.rank == 1 and age >= self.times.substitute_read_age:
            return True
        spread = self.times.own_read_spread * host.spread_draw
        return age >= self.times.own_read_age - spread

    def follow(self, host: Follower) -> None:
        """Read the store if that is due, and look again later."""
        if host.is_gone or not self.must_read(host):
            self.after(CHECK_S, lambda: self.follow(host))
            return
        self.calls.append(self.now)
        host.spread_draw = self.random.random()
        wait_s = self.watch_s(host)
        if self.is_away or host.is_cut_off or host.has_dead_connection:
            host.has_dead_connection = False
            self.after(wait_s + self.answer_wait_s(host), lambda: self.fail(host))
            return
        sent_at = self.now
        if host.held < self.revision or not wait_s:
            self.after(ANSWER_S, lambda: self.answered(host, sent_at, 0.0))
            return
        self.watching[host.number] = lambda: self.end_watch(host, sent_at, 0.0)
        watched = self.watching[host.number]

        def time_out() -> None:
            if self.watching.get(host.number) is watched:
                self.end_watch(host, sent_at, wait_s)

        self.after(wait_s, time_out)

    def watch_s(self, host: Follower) -> float:
        """Return for how long a host asks the store to wait, in seconds."""
        if self.way.trusts_peers:
            return PEERS_WAY_WATCH_S
        if self.is_reader(host) or self.way.all_read:
            return 0.0 if host.failures else self.times.watch.total_seconds()
        return 0.0

    def answer_wait_s(self, host: Follower) -> float:
        """Return for how long a host waits for an answer, in seconds."""
        if self.way.trusts_peers:
            return PEERS_WAY_ANSWER_S
        grown_s = self.times.answer_wait.total_seconds() * 2.0**host.failures
        return min(self.times.max_answer_wait.total_seconds(), grown_s)

    def end_watch(self, host: Follower, sent_at: float, waited_s: float) -> None:
        """End a watch with a change or without one."""
        self.watching.pop(host.number, None)
        if self.is_away or host.is_cut_off:
            self.after(self.answer_wait_s(host), lambda: self.fail(host))
            return
        self.after(ANSWER_S, lambda: self.answered(host, sent_at, waited_s))

    def answered(self, host: Follower, sent_at: float, waited_s: float) -> None:
        """Apply an answer of the store."""
        host.failures = 0
        has_news = host.held < self.revision
        self.hold(host, self.revision)
        self.state(host, self.revision, sent_at + waited_s)
        if has_news and self.is_mesh:
            self.after(NEWS_DELAY_S, lambda: self.tell_others(host))
        pause_s = self.times.batch_pause.total_seconds() if has_news else 0.0
        self.after(pause_s, lambda: self.follow(host))

    def fail(self, host: Follower) -> None:
        """Try again after a failed read."""
        last = len(RETRY_DELAYS_S) - 1
        delay_s = RETRY_DELAYS_S[min(host.failures, last)]
        if host.failures > last and not self.is_reader(host):
            delay_s = MAX_RETRY_DELAY_S
        host.failures += 1
        self.after(delay_s * self.random.uniform(0.75, 1.25), lambda: self.follow(host))

    def hold(self, host: Follower, revision: int) -> None:
        """Let a host have all changes up to a revision."""
        for change in range(host.held + 1, revision + 1):
            changed_at = self.changed_at[change]
            if host.back_at <= changed_at:
                self.lateness.append(self.now - changed_at)
        host.freshness.hold(revision)

    def state(self, host: Follower, revision: int, as_of: float) -> None:
        """Let a host know until when nothing newer was in the store."""
        statement = FreshnessStatement(revision, self.instant(as_of))
        host.freshness.record(statement, self.instant(self.now))

    # Digests and fetches.

    def partners(self, host: Follower) -> list[Follower]:
        """Return the hosts that a host exchanges digests with."""
        if self.is_mesh:
            return [h for h in self.followers if h is not host]
        hubs = [h for h in self.followers if self.is_reader(h)]
        if self.is_reader(host):
            return [h for h in hubs if h is not host]
        return [hubs[host.data_centre]]

    def period_s(self) -> float:
        """Return the time between two digests to one host, in seconds."""
        count = len(self.followers)
        if self.is_mesh:
            return 0.2 + 0.012 * count
        return 0.1 + 0.005 * count / len({h.data_centre for h in self.followers})

    def gossip(self, host: Follower) -> None:
        """Exchange digests, and do so again."""
        if not host.is_gone:
            self.tell_others(host)
        self.after(self.period_s(), lambda: self.gossip(host))

    def tell_others(self, host: Follower) -> None:
        """Exchange digests with each partner."""
        for other in self.partners(host):
            if host.is_gone or other.is_gone:
                continue
            if host.gets_frames and other.gets_frames:
                self.after(HOP_S, partial(self.hear, other, host))
                self.after(2 * HOP_S, partial(self.hear, host, other))

    def hear(self, host: Follower, sender: Follower) -> None:
        """Apply a digest."""
        age = sender.freshness.age(self.instant(self.now))
        if sender.freshness.proven_at is not None:
            as_of = self.now - age.total_seconds()
            host.peers_read_at = max(host.peers_read_at, as_of)
            self.state(host, sender.held, as_of)
        if sender.held > host.held:
            self.fetch(host, sender)

    def fetch(self, host: Follower, sender: Follower) -> None:
        """Fetch items, unless a call under way is still waited for."""
        if sender.number in host.fetching:
            return
        hedge_s = self.times.fetch_hedge.total_seconds()
        if host.fetching and not (
            self.way.hedges and self.now - host.last_fetch_at >= hedge_s
        ):
            return
        self.fetches += 1
        host.fetching.add(sender.number)
        host.last_fetch_at = self.now
        passes = host.gets_items and sender.gets_items
        passes = passes and host.gets_frames and sender.gets_frames
        timeout_s = self.times.fetch_timeout.total_seconds()
        if self.way.trusts_peers:
            timeout_s = PEERS_WAY_FETCH_S
        delay_s = 2 * HOP_S if passes else timeout_s
        self.after(delay_s, lambda: self.fetched(host, sender, passes))

    def fetched(self, host: Follower, sender: Follower, passes: bool) -> None:
        """Apply fetched items."""
        host.fetching.discard(sender.number)
        if passes and sender.held > host.held:
            self.hold(host, sender.held)
