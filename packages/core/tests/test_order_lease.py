"""Order lease: one holder, a quiet period between holders, increasing tokens."""

from collections.abc import Callable
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import OrderCandidate
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
        candidate.set_voters(self.hosts)
        self.candidates[host] = candidate
        self.leaving.pop(host, None)

    def request_votes(self, host: HostId, is_return: bool = False) -> None:
        candidate = self.candidates[host]
        voters = [h for h in self.hosts if self.is_voter(h)]
        if not candidate.is_holder:
            candidate.set_voters(voters)
        self.send_ballots(host, is_return)
        candidate.set_voters(voters)
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


@pytest.fixture
def world() -> World:
    return World()


def test_first_holder_orders_at_once(world: World) -> None:
    world.request_votes(HOSTS[0])
    assert world.try_order(HOSTS[0])


def test_second_candidate_gets_no_majority(world: World) -> None:
    world.request_votes(HOSTS[0])
    world.request_votes(HOSTS[1])
    assert not world.candidates[HOSTS[1]].is_holder


def test_holder_stops_before_its_votes_expire(world: World) -> None:
    world.request_votes(HOSTS[0])
    world.advance((POLICY.lease_duration - POLICY.safety_margin).total_seconds())
    assert not world.try_order(HOSTS[0])


def test_successor_waits_for_the_quiet_period(world: World) -> None:
    world.request_votes(HOSTS[0])
    world.advance(0.8)
    assert world.try_order(HOSTS[0])
    world.advance(0.3)
    world.request_votes(HOSTS[1])
    assert world.candidates[HOSTS[1]].is_holder
    for _ in range(30):
        assert not world.try_order(HOSTS[1])
        world.advance(0.1)
        world.request_votes(HOSTS[1])
    world.advance(0.2)
    assert world.try_order(HOSTS[1])


def test_successor_of_a_resigned_holder_waits_for_the_quiet_period(
    world: World,
) -> None:
    first, second = HOSTS[:2]
    world.request_votes(first)
    world.try_order(first)
    world.leave(first)
    world.request_votes(second)
    assert not world.candidates[second].is_holder
    world.advance(POLICY.restart_grace.total_seconds())
    world.request_votes(second)
    assert world.candidates[second].is_holder
    assert not world.try_order(second)
    world.advance(0.8)
    world.request_votes(second)
    world.advance(0.79)
    world.request_votes(second)
    assert not world.try_order(second)
    world.advance(0.02)
    assert world.try_order(second)


@pytest.mark.parametrize("hosts", [2, 3])
def test_holder_goes_on_past_the_end_of_its_voters_abstention(
    hosts: int,
) -> None:
    world = World(hosts=FIVE_HOSTS[:hosts])
    holder, *others = FIVE_HOSTS[:hosts]
    world.request_votes(holder)
    for restarted in others:
        world.leave(restarted)
    world.advance(0.1)
    world.request_votes(holder)
    world.advance(0.15)
    for restarted in others:
        world.start(restarted)
    for _ in range(60):
        if round(world.now.total_seconds() * 20) % 7 == 0:
            world.request_votes(holder)
        assert world.try_order(holder)
        world.advance(0.05)


@pytest.mark.parametrize("hosts", [2, 3, 4, 5])
def test_restarted_holder_orders_at_once(hosts: int) -> None:
    world = World(hosts=FIVE_HOSTS[:hosts])
    holder = FIVE_HOSTS[0]
    world.request_votes(holder)
    world.advance(0.3)
    world.request_votes(holder)
    assert world.try_order(holder)
    world.leave(holder)
    world.advance(0.6)
    world.start(holder)
    world.request_votes(holder, is_return=True)
    assert world.try_order(holder)


def test_restarted_host_regains_only_its_own_votes(world: World) -> None:
    first, second, _ = HOSTS
    world.request_votes(first)
    world.advance(2)
    world.start(second)
    world.request_votes(second, is_return=True)
    assert not world.candidates[second].is_holder


def test_restarted_voter_abstains_for_a_lease(world: World) -> None:
    world.request_votes(HOSTS[0])
    world.start(HOSTS[1])
    world.start(HOSTS[2])
    world.request_votes(HOSTS[2])
    assert not world.candidates[HOSTS[2]].is_holder


def test_vote_without_a_majority_is_withdrawn(world: World) -> None:
    world.cut = {frozenset(HOSTS[:2]), frozenset((HOSTS[0], HOSTS[2]))}
    world.request_votes(HOSTS[0])
    world.cut = set()
    world.advance(0.01)
    world.request_votes(HOSTS[1])
    assert world.candidates[HOSTS[1]].is_holder


def test_two_candidates_that_voted_for_themselves_do_not_block_each_other(
    world: World,
) -> None:
    first, second, third = HOSTS
    world.cut = {frozenset(pair) for pair in ((first, second), (first, third))}
    world.cut.add(frozenset((second, third)))
    world.request_votes(first)
    world.request_votes(second)
    world.cut.discard(frozenset((first, second)))
    for _ in range(10):
        world.advance(0.3)
        world.request_votes(first)
        world.request_votes(second)
    assert any(c.is_holder for c in world.candidates.values())


def test_tokens_increase_after_all_hosts_restarted(world: World) -> None:
    world.request_votes(HOSTS[0])
    before = world.candidates[HOSTS[0]].token
    world.advance(2)
    for host in HOSTS:
        world.start(host)
    world.advance(2)
    world.request_votes(HOSTS[1])
    assert world.candidates[HOSTS[1]].token > before


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


def test_rolling_restarts_have_one_holder() -> None:
    for seed in range(3_000):
        assert_one_holder(explore_rolling_restarts(seed))


# Each of these seeds once led to two holders. With the first three, the holder counted
# leaving hosts as voters and its challenger did not. With the others, a restarted host
# regained votes by which it had not held the lease.
@pytest.mark.parametrize("seed", [533, 1113, 2718, 17217, 19324])
def test_rolling_restarts_that_once_had_two_holders_have_one(seed: int) -> None:
    assert_one_holder(explore_rolling_restarts(seed))


def test_vote_without_a_held_lease_is_not_regained_after_a_restart(
    world: World,
) -> None:
    first, second, third = HOSTS
    world.cut = {frozenset((first, third))}
    world.request_votes(first)
    world.cut = {frozenset((first, second)), frozenset((second, third))}
    world.advance(0.1)
    world.start(first)
    world.request_votes(first, is_return=True)
    assert not world.candidates[first].is_holder


def test_exploration_detects_uncounted_voters_that_gave_no_vote(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    def stop_counting(self, voter, vote, asked_at, now):
        if self.is_holder and vote.abstains_s > 0:
            self.uncounted_until[voter] = asked_at + seconds(9)

    monkeypatch.setattr(OrderCandidate, "stop_counting_if_restarted", stop_counting)
    assert count_broken(explore_rolling_restarts, 3_000)


def test_holder_keeps_its_lease_while_most_hosts_are_restarted_in_turn() -> None:
    world = World(hosts=FIVE_HOSTS)
    holder = FIVE_HOSTS[0]
    world.request_votes(holder)
    for restarted in FIVE_HOSTS[1:]:
        world.leave(restarted)
        for _ in range(2):
            world.advance(0.2)
            world.request_votes(holder)
        world.advance(0.1)
        world.start(restarted)
        world.request_votes(holder)
        assert world.try_order(holder)


def test_restarts_with_suspended_holders_have_one_holder() -> None:
    for seed in range(4_000):
        assert_one_holder(explore_restarts(seed))


def test_exploration_detects_token_bounds_without_the_wall_time(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = Voter.record_revision
    monkeypatch.setattr(
        Voter, "record_revision", lambda self, r, wall_s: original(self, r, 0.0)
    )
    assert count_broken(explore_restarts, 4_000)


def test_restarts_seconds_apart_at_one_revision_raise_tokens(
    world: World,
) -> None:
    for host in HOSTS:
        world.start(host)
    world.advance(1.5)
    world.request_votes(HOSTS[0])
    first = world.candidates[HOSTS[0]].token
    for host in HOSTS:
        world.start(host)
    world.advance(1.5)
    world.request_votes(HOSTS[1])
    assert world.candidates[HOSTS[1]].is_holder
    assert world.candidates[HOSTS[1]].token > first


@given(st.integers(min_value=0, max_value=1 << 30))
def test_no_history_has_two_holders(seed: int) -> None:
    assert_one_holder(explore(seed))


def test_ten_thousand_histories_have_one_holder_each() -> None:
    for seed in range(10_000):
        assert_one_holder(explore(seed, steps=40))


@pytest.mark.parametrize(
    "guard", ["abstention", "quiet", "majority"], ids=lambda g: f"without {g}"
)
def test_each_safeguard_is_needed(guard: str, monkeypatch: pytest.MonkeyPatch) -> None:
    if guard == "abstention":
        original = Voter.handle_ballot

        def vote(self, ballot, now):
            self.abstains_until = START
            return original(self, ballot, now)

        monkeypatch.setattr(Voter, "handle_ballot", vote)
        monkeypatch.setattr(
            OrderCandidate,
            "update_holder",
            lambda self, now: setattr(
                self, "is_holder", self.count_valid_votes(now) >= self.quorum(now)
            ),
        )
    elif guard == "quiet":
        monkeypatch.setattr(
            OrderCandidate, "can_order", lambda self, now: self.is_holder
        )
    else:
        monkeypatch.setattr(OrderCandidate, "quorum", lambda self, now: 1)
    assert count_broken(explore, 400)


def test_holder_without_orders_preserves_the_last_order_of_its_predecessor(
    world: World,
) -> None:
    first, second, third = HOSTS
    world.request_votes(first)
    assert world.try_order(first)
    for leaving, successor in ((first, second), (second, third)):
        world.leave(leaving)
        world.advance(POLICY.restart_grace.total_seconds())
        world.request_votes(successor)
        assert world.candidates[successor].is_holder
        assert not world.try_order(successor)


def test_holder_keeps_ordering_while_voters_restart_in_turn(
    world: World,
) -> None:
    world.request_votes(HOSTS[0])
    for restarted in HOSTS[1:]:
        world.start(restarted)
        for _ in range(8):
            world.advance(0.3)
            world.request_votes(HOSTS[0])
            assert world.try_order(HOSTS[0])
