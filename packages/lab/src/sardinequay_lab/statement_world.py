"""A fleet before targets that shed load or leave, without sockets.

Requests come to random hosts. Each host chooses the least loaded of a few targets, by
its own requests and by what it knows of the targets' statements, and goes on to others
where it is turned away. Statements reach other hosts late.
"""

import heapq
import math
from collections.abc import Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Any

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.backoff import BackoffStatement
from sardinequay_core.statements.leaving import LeavingStatement
from sardinequay_core.statements.target_statements import TargetStatements

SLOTS = 4
WORK_S = 0.1
USED_SHARE = 0.5
"""Part of the targets' room that requests take."""

BACKOFF_S = 3.0
LINK_S = 0.004
SAMPLE = 12
"""Targets that a choice compares."""

MAX_REJECTIONS = 4
GOAL_S = 1.0
MAX_RETURN_S = 1.3
"""A refused caller comes back once, no later than this: a third of its time."""

NEWS_DELAY_S = (0.1, 2.0)
NEWS_BYTES = 60
START_NEWS_S = 0.3
"""Time after which a host that has started has what its peers know."""

FULL_S = 0.1
FULL_COST = 4.0
DRAIN_S = 2.0
BINDS_AFTER_S = 0.5
MAX_IN_BACKOFF = 2
LENGTH_S = 16.0


@dataclass(frozen=True, slots=True)
class Trouble:
    """What befalls targets and hosts, in seconds.

    Parameters
    ----------
    shed_share, leave_share : float
        Part of the targets that shed load from `shed_s` on for `shed_for_s`, or that
        leave from `leave_s` on.
    told_share : float
        Part of the hosts that these targets tell so; they serve the others.
    kill_s : float
        When all hosts are killed and start anew.
    is_parted : bool
        Whether no news passes between data centres.
    """

    name: str
    shed_share: float = 0.0
    leave_share: float = 0.0
    told_share: float = 1.0
    kill_s: float = math.inf
    is_parted: bool = False
    shed_s: float = 5.0
    shed_for_s: float = 2.0
    leave_s: float = 5.0


@dataclass(frozen=True, slots=True)
class Way:
    """What hosts do with statements.

    Parameters
    ----------
    reads_backoffs, reads_leaving : bool
        Whether a host keeps to what it is told itself.
    bans, hints : bool
        Whether peers keep to another host's backoffs, or prefer other targets.
    has_trials : bool
        Whether one request comes first after a backoff.
    tells_leaving, tells_at_start : bool
        Whether peers hear of leaving targets, and hosts that have started of all.
    """

    name: str
    reads_backoffs: bool = True
    reads_leaving: bool = True
    bans: bool = False
    hints: bool = False
    has_trials: bool = False
    tells_leaving: bool = True
    tells_at_start: bool = True


@dataclass(frozen=True, slots=True)
class StatementResult:
    """What a way came to.

    Parameters
    ----------
    worst_in_backoff : int
        The most requests of one host at one target in a backoff.
    pairs_over : int
        Pairs of host and target with more than are allowed.
    late : int
        Requests at a leaving target that were sent too late after their host was told.
    after_drain : int
        Requests at leaving targets later than the drain time after the first was told.
    served : float
        Part of the requests that came in the trouble and were served in time.
    refused : float
        Part of them that were refused at first.
    arrivals : float
        Arrivals at targets for each of them.
    back_s : float
        Longest time from the end of a target's last backoff to its next served request.
    """

    worst_in_backoff: int
    pairs_over: int
    late: int
    after_drain: int
    served: float
    refused: float
    arrivals: float
    back_s: float
    bytes_per_s: float


@dataclass(slots=True)
class Host:
    """One host: what it knows of targets, and its requests there."""

    data_centre: int
    is_told: bool
    statements: TargetStatements = field(default_factory=TargetStatements)
    hinted_until: dict[int, float] = field(default_factory=dict)
    full_until: dict[int, float] = field(default_factory=dict)
    untried: set[int] = field(default_factory=set)
    trials: set[int] = field(default_factory=set)
    in_flight: dict[int, int] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """One request of a caller; `sent_s` is when this attempt of the caller came."""

    host: int
    first_s: float
    sent_s: float
    rejections: int = 0
    arrivals: int = 0
    is_refused: bool = False
    is_served: bool = False


def name_of(target: int) -> TargetId:
    """Return the name of a target."""
    return TargetId(f"t{target}")


class StatementWorld:
    """Plays one trouble with one way."""

    def __init__(
        self, hosts: int, data_centres: int, trouble: Trouble, way: Way, seed: int
    ) -> None:
        self.random = Random(seed)
        self.trouble = trouble
        self.way = way
        told = math.ceil(hosts * trouble.told_share)
        self.hosts = [Host(n % data_centres, n < told) for n in range(hosts)]
        self.targets = max(4, hosts)
        self.running = [0] * self.targets
        self.shedding = set(range(math.ceil(self.targets * trouble.shed_share)))
        self.leaving = set(range(math.ceil(self.targets * trouble.leave_share)))
        self.events: list[tuple[float, int, str, tuple[Any, ...]]] = []
        self.numbers = 0
        self.requests: list[Request] = []
        self.backoffs: list[tuple[int, int, float]] = []
        self.arrived: dict[tuple[int, int], list[float]] = {}
        self.told_leaving: dict[tuple[int, int], float] = {}
        self.served_at: dict[int, list[float]] = {}
        self.late = self.after_drain = self.news_bytes = 0

    def at(self, when_s: float, name: str, *values: object) -> None:
        """Let something happen."""
        self.numbers += 1
        heapq.heappush(self.events, (when_s, self.numbers, name, values))

    def play(self) -> StatementResult:
        """Play the trouble and return what came of it."""
        rate = self.targets * SLOTS / WORK_S * USED_SHARE
        now_s = 0.0
        while (now_s := now_s + self.random.expovariate(rate)) < LENGTH_S:
            host = self.random.randrange(len(self.hosts))
            request = Request(host, now_s, now_s)
            self.requests.append(request)
            self.at(now_s, "choose", request)
        if self.trouble.kill_s < math.inf:
            self.at(self.trouble.kill_s, "kill")
        while self.events:
            now_s, _, name, values = heapq.heappop(self.events)
            getattr(self, f"handle_{name}")(now_s, *values)
        return self.result()

    # What happens.

    def handle_choose(self, now_s: float, request: Request) -> None:
        """Choose a target for a request and send it, or refuse it."""
        host = self.hosts[request.host]
        now = seconds(now_s)
        sample: Sequence[int] = range(self.targets)
        if self.targets > SAMPLE:
            sample = self.random.sample(sample, SAMPLE)
        open_targets = [t for t in sample if not self.is_closed(host, t, now)]
        if not open_targets:
            self.refuse(now_s, request, sample)
            return
        target = min(open_targets, key=lambda t: self.cost(host, t, now_s))
        host.in_flight[target] = host.in_flight.get(target, 0) + 1
        if target in host.untried:
            host.trials.add(target)
        self.at(now_s + LINK_S, "arrive", request, target)

    def handle_arrive(self, now_s: float, request: Request, target: int) -> None:
        """Let a target take a request or turn it away."""
        request.arrivals += 1
        self.arrived.setdefault((request.host, target), []).append(now_s)
        is_told = self.hosts[request.host].is_told
        is_leaving = target in self.leaving and now_s >= self.trouble.leave_s
        if is_leaving:
            self.count_late(now_s, request, target)
        trouble = self.trouble
        since_s = now_s - trouble.shed_s
        sheds = target in self.shedding and 0 <= since_s < trouble.shed_for_s
        if sheds and is_told:
            self.backoffs.append((request.host, target, now_s))
            self.at(now_s + LINK_S, "reject", request, target, True)
        elif self.running[target] >= 2 * SLOTS:
            self.at(now_s + LINK_S, "reject", request, target, False)
        else:
            self.running[target] += 1
            wait_s = max(1.0, self.running[target] / SLOTS) * WORK_S
            self.at(now_s + wait_s, "end", request, target, is_leaving and is_told)

    def handle_end(
        self, now_s: float, request: Request, target: int, states_leaving: bool
    ) -> None:
        """Answer a request."""
        self.running[target] -= 1
        self.served_at.setdefault(target, []).append(now_s)
        self.at(now_s + LINK_S, "answer", request, target, states_leaving)

    def handle_answer(
        self, now_s: float, request: Request, target: int, states_leaving: bool
    ) -> None:
        """Pass an answer on, and read what it states."""
        host = self.hosts[request.host]
        self.leave_target(host, target)
        if now_s - request.first_s <= GOAL_S + MAX_RETURN_S:
            request.is_served = True
        if not states_leaving:
            return
        self.told_leaving.setdefault((request.host, target), now_s)
        if self.way.reads_leaving:
            stated = LeavingStatement(0, seconds(now_s))
            is_news = host.statements.leaving.record(name_of(target), stated)
            if is_news and self.way.tells_leaving:
                self.tell(now_s, request.host, "leaving", target, now_s)

    def handle_reject(
        self, now_s: float, request: Request, target: int, asks_backoff: bool
    ) -> None:
        """Turn a request away, and let its host go on to another target."""
        host = self.hosts[request.host]
        until_s = now_s + BACKOFF_S
        self.leave_target(host, target)
        if asks_backoff and self.way.reads_backoffs:
            self.record_backoff(host, target, now_s, until_s)
            is_hinted = now_s < host.hinted_until.get(target, 0.0)
            if self.way.bans or (self.way.hints and not is_hinted):
                host.hinted_until[target] = until_s
                self.tell(now_s, request.host, "backoff", target, until_s)
        host.full_until[target] = now_s + FULL_S
        request.rejections += 1
        if request.rejections >= MAX_REJECTIONS:
            self.refuse(now_s, request, range(self.targets))
        else:
            self.at(now_s + 0.02, "choose", request)

    def handle_leaving(self, _: float, host: int, target: int, at_s: float) -> None:
        """Hear from a peer that a target leaves."""
        stated = LeavingStatement(0, seconds(at_s))
        self.hosts[host].statements.leaving.record(name_of(target), stated)

    def handle_backoff(
        self, now_s: float, host: int, target: int, until_s: float
    ) -> None:
        """Hear from a peer that a target has asked it for a backoff."""
        if self.way.bans:
            self.record_backoff(self.hosts[host], target, now_s, until_s)
        else:
            self.hosts[host].hinted_until[target] = until_s

    def handle_kill(self, now_s: float) -> None:
        """Let all hosts start anew; what they were told ceases to bind them."""
        before = self.hosts
        self.hosts = [Host(h.data_centre, h.is_told) for h in before]
        self.backoffs.clear()
        self.told_leaving.clear()
        if self.way.tells_leaving and self.way.tells_at_start:
            # One host is taken to have lived on.
            known = before[0].statements.leaving.statements
            for number in range(len(self.hosts)):
                for target, stated in known.items():
                    at_s = stated.heard_at.total_seconds()
                    self.at(
                        now_s + START_NEWS_S, "leaving", number, int(target[1:]), at_s
                    )

    # What hosts decide.

    def is_closed(self, host: Host, target: int, now: Instant) -> bool:
        """Return whether a host sends a target nothing now."""
        name, statements = name_of(target), host.statements
        if statements.leaving.find(name, 0) is not None:
            return True
        return target in host.trials or bool(statements.backoffs.wait(name, 0, now))

    def cost(self, host: Host, target: int, now_s: float) -> float:
        """Return what a choice compares, the lowest first."""
        cost = host.in_flight.get(target, 0) + self.running[target] / SLOTS
        if now_s < host.full_until.get(target, 0.0):
            cost += FULL_COST
        if now_s < host.hinted_until.get(target, 0.0):
            cost += FULL_COST
        return cost + self.random.random() / 4

    def record_backoff(
        self, host: Host, target: int, now_s: float, until_s: float
    ) -> None:
        """Keep a backoff."""
        stated = BackoffStatement(0, seconds(now_s), seconds(until_s))
        host.statements.backoffs.record(name_of(target), stated)
        if self.way.has_trials:
            host.untried.add(target)

    def leave_target(self, host: Host, target: int) -> None:
        """Count a request as gone from a target, and a trial there as over."""
        host.in_flight[target] = host.in_flight.get(target, 1) - 1
        if target in host.trials:
            host.trials.discard(target)
            host.untried.discard(target)

    def refuse(self, now_s: float, request: Request, targets: object) -> None:
        """Refuse a request; its caller comes back once."""
        if request.is_refused:
            return
        request.is_refused = True
        request.rejections = 0
        request.sent_s = now_s + self.random.uniform(0.5, 1.0) * MAX_RETURN_S
        request.host = self.random.randrange(len(self.hosts))
        self.at(request.sent_s, "choose", request)

    def tell(self, now_s: float, source: int, what: str, *values: object) -> None:
        """Tell all other hosts that news reaches."""
        here = self.hosts[source].data_centre
        for number, host in enumerate(self.hosts):
            if number == source:
                continue
            self.news_bytes += NEWS_BYTES
            if self.trouble.is_parted and host.data_centre != here:
                continue
            delay_s = self.random.uniform(*NEWS_DELAY_S)
            self.at(now_s + delay_s, what, number, *values)

    # What is judged.

    def count_late(self, now_s: float, request: Request, target: int) -> None:
        """Count a request that came to a leaving target."""
        told_s = self.told_leaving.get((request.host, target), math.inf)
        self.late += request.sent_s > told_s + DRAIN_S
        first_s = self.trouble.leave_s + WORK_S + DRAIN_S
        self.after_drain += now_s > first_s + NEWS_DELAY_S[1]

    def result(self) -> StatementResult:
        """Return what came of it."""
        in_backoff: dict[tuple[int, int], int] = {}
        for host, target, at_s in self.backoffs:
            since, until = at_s + BINDS_AFTER_S, at_s + BACKOFF_S
            number = sum(since < a < until for a in self.arrived[host, target])
            pair = (host, target)
            in_backoff[pair] = max(in_backoff.get(pair, 0), number)
        begin_s = min(self.trouble.shed_s, self.trouble.leave_s)
        hit = [r for r in self.requests if begin_s <= r.first_s < begin_s + 5]
        return StatementResult(
            max(in_backoff.values(), default=0),
            sum(number > MAX_IN_BACKOFF for number in in_backoff.values()),
            self.late,
            self.after_drain,
            sum(r.is_served for r in hit) / len(hit),
            sum(r.is_refused for r in hit) / len(hit),
            sum(r.arrivals for r in hit) / len(hit),
            self.longest_return_s(),
            self.news_bytes / len(self.hosts) / LENGTH_S,
        )

    def longest_return_s(self) -> float:
        """Return the longest time from a target's backoffs to a served request."""
        ends: dict[int, float] = {}
        for _, target, at_s in self.backoffs:
            ends[target] = max(ends.get(target, 0.0), at_s + BACKOFF_S)
        waits = [
            self.next_served_s(target, end) - end
            for target, end in ends.items()
            if end < LENGTH_S - 1
        ]
        return max(waits, default=0.0)

    def next_served_s(self, target: int, since_s: float) -> float:
        """Return when a target next served a request, or the end of the play."""
        served = (at for at in self.served_at.get(target, []) if at >= since_s)
        return min(served, default=LENGTH_S)
