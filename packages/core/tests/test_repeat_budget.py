"""Repeats of all hosts together, with hosts that die and fleets that are cut apart."""

from dataclasses import dataclass, field
from random import Random

import pytest

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.fleet_share import FleetShare
from sardinequay_core.repeat_budget import RepeatBudget, RepeatPolicy

POLICY = RepeatPolicy(ratio=0.2, slack=56)
HOSTS = 8
REQUESTS_PER_S = 80
WANTED = 3
"""Repeats that each request would take: all targets reject."""


@dataclass
class Fleet:
    """Hosts before a pool that rejects everything, and what arrives there."""

    random: Random
    budgets: list[RepeatBudget] = field(default_factory=list)
    shares: list[FleetShare] = field(default_factory=list)
    requests: list[Instant] = field(default_factory=list)
    repeats: list[Instant] = field(default_factory=list)

    def start(self, host: int, now: Instant) -> None:
        """Start a host anew; it knows nothing."""
        self.budgets[host : host + 1] = [RepeatBudget(POLICY, now + POLICY.window)]
        self.shares[host : host + 1] = [FleetShare()]

    def ask(self, seen_by: int, now: Instant) -> None:
        """Let a request come to a host that sees so many live hosts."""
        host = self.random.randrange(HOSTS)
        budget, share = self.budgets[host], self.shares[host]
        share.count(seen_by, now)
        self.requests.append(now)
        budget.request(now)
        for _ in range(WANTED):
            if budget.use(share.hosts(seen_by, 1), now).has_room:
                budget.begin()
                budget.end(now)
                self.repeats.append(now)

    def worst_excess(self) -> float:
        """Return repeats above the bound in the worst window; 0 or less keeps it."""
        return max(self.excess(first) for first in self.repeats)

    def excess(self, first: Instant) -> float:
        """Return repeats above the bound in the window that begins at one repeat."""
        until = first + POLICY.window
        requests = sum(1 for at in self.requests if first <= at < until)
        repeats = sum(1 for at in self.repeats if first <= at < until)
        return repeats - POLICY.ratio * requests - POLICY.slack


@pytest.fixture
def fleet() -> Fleet:
    made = Fleet(Random(7))
    for host in range(HOSTS):
        made.start(host, seconds(0))
    return made


def play(fleet: Fleet, since_s: int, until_s: int, seen_by: int = HOSTS) -> None:
    """Let requests come for a while."""
    for n in range(since_s * REQUESTS_PER_S, until_s * REQUESTS_PER_S):
        fleet.ask(seen_by, seconds(n / REQUESTS_PER_S))


def test_hosts_that_live_keep_the_bound(fleet: Fleet) -> None:
    play(fleet, 20, 40)
    assert len(fleet.repeats) > POLICY.ratio * 20 * REQUESTS_PER_S
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("kills", [1, 3])
def test_hosts_that_are_killed_and_back_keep_the_bound(fleet: Fleet, kills) -> None:
    play(fleet, 20, 26)
    for kill in range(kills):
        now_s = 26 + 2 * kill
        for host in range(HOSTS):
            fleet.start(host, seconds(now_s))
        play(fleet, now_s, now_s + 2)
    play(fleet, 26 + 2 * kills, 50)
    assert fleet.worst_excess() <= 0


@pytest.mark.parametrize("island", [1, 2, 4])
def test_islands_of_a_cut_keep_the_bound(fleet: Fleet, island: int) -> None:
    play(fleet, 20, 30)
    play(fleet, 30, 50, seen_by=island)
    assert fleet.worst_excess() <= 0


def test_repeats_that_are_held_up_and_arrive_together_keep_the_bound() -> None:
    """Repeats of two windows come at once, when a link heals."""
    budget = RepeatBudget(RepeatPolicy(ratio=0, slack=8), seconds(0))
    healed = seconds(60)
    sent = 0
    for second in range(20, 60):
        if budget.use(1, seconds(second)).has_room:
            budget.begin()
            sent += 1
    for _ in range(sent):
        budget.end(healed)
    assert 0 < sent <= 8
    assert not budget.use(1, healed + seconds(9)).has_room


def test_host_that_has_just_started_again_has_no_slack() -> None:
    budget = RepeatBudget(POLICY, slack_from=seconds(110))
    assert not budget.use(1, seconds(109)).has_room
    for _ in range(5):
        budget.request(seconds(109))
    assert budget.use(1, seconds(109)).has_room
    assert budget.use(1, seconds(110)).allowed > 5 * POLICY.ratio
