"""Simulated hosts that lend one another the right to order engines."""

from collections.abc import Callable
from random import Random

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import OrderCandidate, Voters
from sardinequay_core.order_lease import OrderPolicy, Voter

POLICY = OrderPolicy()
HOSTS = tuple(HostId(h) for h in "abc")
FIVE_HOSTS = tuple(HostId(h) for h in "abcde")
START = seconds(1000)

ENTRY_S = 2.0
"""Delay until the store shows an order's effect: an engine's period and the lag."""

WALL_ERRORS_S = (0.0, 1.2, -1.2)
"""Errors of the hosts' wall clocks."""


class World:
    """Simulated hosts with a manual clock and a network that can be cut."""

    def __init__(
        self, first_start: bool = True, hosts: tuple[HostId, ...] = HOSTS
    ) -> None:
        self.now = START
        self.hosts = hosts
        self.leaving: dict[HostId, Instant] = {}
        self.cut: set[frozenset[HostId]] = set()
        self.orders: list[tuple[Instant, HostId, int]] = []
        self.overlaps: list[tuple[Instant, tuple[HostId, ...]]] = []
        self.published = 1
        self.voters: dict[HostId, Voter] = {}
        self.candidates: dict[HostId, OrderCandidate] = {}
        for host in hosts:
            self.start(host, first_start)

    def start(self, host: HostId, first_start: bool = False) -> None:
        """Start or restart a host, which loses all its state."""
        abstains = self.now if first_start else self.now + POLICY.lease_duration
        self.voters[host] = Voter(POLICY, abstains, are_old_tokens_bounded=first_start)
        if not first_start:
            self.voters[host].record_revision(self.revision, self.wall_s(host))
        candidate = OrderCandidate(host, POLICY)
        candidate.set_voters(Voters(frozenset(self.hosts)))
        self.candidates[host] = candidate
        self.leaving.pop(host, None)

    def request_votes(self, host: HostId, is_return: bool = False) -> None:
        candidate = self.candidates[host]
        voters = [h for h in self.hosts if self.is_voter(h)]
        if not candidate.is_holder:
            candidate.set_voters(Voters(frozenset(voters)))
        self.send_ballots(host, is_return)
        candidate.set_voters(Voters(frozenset(voters)))
        if candidate.needs_higher_token(self.now):
            self.send_ballots(host, is_return)
        if not candidate.is_holder:
            self.voters[host].withdraw_own_vote(host, candidate.last_order_at, self.now)

    def send_ballots(self, host: HostId, is_return: bool) -> None:
        candidate = self.candidates[host]
        ballot = candidate.build_ballot("here", is_return)
        for voter in self.hosts:
            if frozenset((host, voter)) in self.cut:
                continue
            vote = self.voters[voter].handle_ballot(ballot, self.now)
            candidate.record_vote(voter, vote, self.now, self.now)

    def leave(self, host: HostId) -> None:
        """Shut a host down gracefully in one step."""
        self.begin_leaving(host)
        self.resign(host)

    def begin_leaving(self, host: HostId) -> None:
        self.leaving.setdefault(host, self.now)
        self.voters[host].is_leaving = True

    def resign(self, host: HostId) -> None:
        """Resign the lease and inform the voters that the host reaches."""
        message = self.candidates[host].resign_lease("here", self.now)
        for voter in self.hosts:
            if message and frozenset((host, voter)) not in self.cut:
                self.voters[voter].handle_resign(message, self.now)

    def is_voter(self, host: HostId) -> bool:
        leaving_since = self.leaving.get(host)
        return leaving_since is None or self.now - leaving_since < POLICY.lease_duration

    def try_order(self, host: HostId) -> bool:
        candidate = self.candidates[host]
        if not candidate.can_order(self.now):
            return False
        candidate.record_order(self.now)
        self.orders.append((self.now, host, candidate.token))
        return True

    @property
    def revision(self) -> int:
        """Return the store's revision, which shows effects of orders with a delay."""
        shown = sum(1 for at, *_ in self.orders if self.now - at >= seconds(ENTRY_S))
        return self.published + shown

    def wall_s(self, host: HostId) -> float:
        return self.now.total_seconds() + WALL_ERRORS_S[self.hosts.index(host) % 3]

    def advance(self, by_s: float) -> None:
        self.record_overlap()
        self.now += seconds(by_s)

    def record_overlap(self) -> None:
        """Record it if more than one host holds the lease now."""
        holders = tuple(h for h in self.hosts if self.is_lease_holder(h))
        if len(holders) > 1:
            self.overlaps.append((self.now, holders))

    def is_lease_holder(self, host: HostId) -> bool:
        candidate = self.candidates[host]
        candidate.update_holder(self.now)
        return candidate.is_holder


def explore(seed: int, steps: int = 120) -> World:
    """Run a random history of partitions, restarts, delays and candidacies."""
    random = Random(seed)
    world = World()
    for _ in range(steps):
        host = random.choice(HOSTS)
        step = random.random()
        if step < 0.45:
            world.request_votes(host)
        elif step < 0.8:
            world.try_order(host)
        elif step < 0.86:
            world.start(host)
        elif step < 0.93:
            pair = frozenset(random.sample(HOSTS, 2))
            world.cut ^= {pair}
        else:
            world.published += 1
        world.advance(random.choice((0.01, 0.1, 0.3, 0.7, 1.5)))
    return world


def assert_one_holder(world: World) -> None:
    """Check for one holder, a quiet period between holders, and increasing tokens."""
    assert not world.overlaps
    for before, after in zip(world.orders, world.orders[1:], strict=False):
        if before[1] != after[1]:
            assert after[0] - before[0] >= seconds(3.0)
        assert after[2] >= before[2]
        assert after[1] == before[1] or after[2] > before[2]


def count_broken(run: Callable[[int], World], seeds: int) -> int:
    """Return the number of histories that violate `assert_one_holder`."""
    broken = 0
    for seed in range(seeds):
        try:
            assert_one_holder(run(seed))
        except AssertionError:
            broken += 1
    return broken


def explore_restarts(seed: int) -> World:
    """Run a random history in which voters restart while other hosts are suspended.

    A suspended host sends and answers nothing, and later continues with its old state.
    """
    random = Random(seed)
    world = World(first_start=False)
    world.advance(1.5)
    suspended: set[HostId] = set()
    for _ in range(60):
        host = random.choice(HOSTS)
        step = random.random()
        if step < 0.2:
            suspended ^= {host}
            world.cut = {frozenset((a, b)) for a in suspended for b in HOSTS if a != b}
        elif step < 0.45:
            world.start(host)
            suspended.discard(host)
            world.cut = {frozenset((a, b)) for a in suspended for b in HOSTS if a != b}
        elif host not in suspended:
            world.request_votes(host)
            world.try_order(host)
        world.advance(random.choice((0.1, 0.3, 0.7, 1.1)))
    return world


def explore_rolling_restarts(seed: int) -> World:
    """Run a random history in which five hosts stop gracefully or crash and restart."""
    random = Random(seed)
    world = World(first_start=bool(seed % 2), hosts=FIVE_HOSTS)
    world.advance(1.5)
    for _ in range(80):
        host = random.choice(FIVE_HOSTS)
        step = random.random()
        if step < 0.12:
            world.begin_leaving(host)
        elif step < 0.18 and world.leaving:
            world.resign(random.choice(sorted(world.leaving)))
        elif step < 0.3 and world.leaving:
            world.start(random.choice(sorted(world.leaving)))
        elif step < 0.36:
            world.start(host)
        elif step < 0.42:
            world.cut ^= {frozenset(random.sample(FIVE_HOSTS, 2))}
        elif host not in world.leaving or world.candidates[host].is_holder:
            world.request_votes(host, is_return=random.random() < 0.2)
            world.try_order(host)
        world.advance(random.choice((0.05, 0.1, 0.2, 0.3)))
    return world
