"""Standing for the right to order: what a host that starts again knows of before."""

from random import Random

from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_lease import Ballot, OrderPolicy
from sardinequay_daemon.order_lease_task import OrderLeaseTask

from .conftest import TurnedClock

LEASE_S = 1.0
QUIET_S = 3.1
POLICY = OrderPolicy(lease=seconds(LEASE_S), quiet=seconds(QUIET_S))


def started(clock: TurnedClock, imports_s: float, is_first_start: bool):
    began = clock.monotonic()
    clock.turn(imports_s)
    me = HostId("h1")
    made = OrderLeaseTask(
        me, "za", None, None, clock, Random(1), POLICY, is_first_start, began
    )
    made.voter.learn_revision(1)
    return made


def test_votes_of_before_have_run_out_a_lease_after_the_process_began(clock) -> None:
    task = started(clock, imports_s=0.4, is_first_start=False)
    ballot = Ballot(HostId("h2"), "za", 10_000)
    clock.turn(LEASE_S - 0.4 - 0.01)
    assert not task.voter.vote(ballot, clock.monotonic()).granted
    clock.turn(0.02)
    vote = task.voter.vote(ballot, clock.monotonic())
    assert vote.granted
    assert 0.0 <= vote.quiet_s < 0.02


def test_first_start_of_all_has_nothing_to_wait_for(clock) -> None:
    task = started(clock, imports_s=0.4, is_first_start=True)
    vote = task.voter.vote(Ballot(HostId("h2"), "za", 1), clock.monotonic())
    assert vote.granted
    assert vote.quiet_s == float("inf")
