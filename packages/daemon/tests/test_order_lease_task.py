"""Elections for the order lease on a host that restarted or was suspended."""

from random import Random

import pytest

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import Voters
from sardinequay_core.order_lease import Ballot, OrderPolicy, upper_token_bound
from sardinequay_daemon.fleet_task import ReceivedDigest
from sardinequay_daemon.order_lease_task import OrderLeaseTask

from .conftest import ManualClock
from .test_fleet_task import digest


class FakeFleet:
    """A fleet without other hosts, which records calls of `restart_joining`."""

    def __init__(self) -> None:
        self.has_joined_now = True
        self.join_restarts = 0

    def has_joined(self) -> bool:
        return self.has_joined_now

    def restart_joining(self) -> None:
        self.join_restarts += 1
        self.has_joined_now = False

    def lease_holder(self):
        return None

    def live_peers(self):
        return ()

    def voters(self, lease):
        return Voters()

    def leaving_hosts(self):
        return ()

    has_received_all_contacts = False

    def uptime_s(self) -> float:
        return 50.0


LEASE_S = 1.0
QUIET_S = 3.1
POLICY = OrderPolicy(lease_duration=seconds(LEASE_S), quiet_period=seconds(QUIET_S))


def start_task(clock: ManualClock, imports_s: float, is_first_start: bool):
    process_started_at = clock.monotonic()
    clock.advance(imports_s)
    me = HostId("h1")
    task = OrderLeaseTask(
        me,
        "za",
        None,
        FakeFleet(),
        clock,
        Random(1),
        POLICY,
        is_first_start,
        process_started_at,
    )
    task.voter.record_revision(1, 0.0)
    return task


def test_voter_abstains_for_one_lease_after_the_process_started(clock) -> None:
    task = start_task(clock, imports_s=0.4, is_first_start=False)
    ballot = Ballot(HostId("h2"), "za", 10_000)
    clock.advance(LEASE_S - 0.4 - 0.01)
    assert not task.voter.handle_ballot(ballot, clock.monotonic()).granted
    clock.advance(0.02)
    vote = task.voter.handle_ballot(ballot, clock.monotonic())
    assert vote.granted
    assert 0.0 <= vote.quiet_s < 0.02


def test_voter_grants_at_once_on_the_first_start_of_the_system(clock) -> None:
    task = start_task(clock, imports_s=0.4, is_first_start=True)
    vote = task.voter.handle_ballot(Ballot(HostId("h2"), "za", 1), clock.monotonic())
    assert vote.granted
    assert vote.quiet_s == float("inf")


def test_restarted_voter_bounds_tokens_by_the_newest_known_revision(clock) -> None:
    """Peers forward entries up to seconds after later revisions exist.

    If the voter took the revision of such an entry for the newest, its bound would be
    below tokens that were issued since.
    """
    task = OrderLeaseTask(
        HostId("h1"),
        "za",
        None,
        FakeFleet(),
        clock,
        Random(1),
        POLICY,
        False,
        clock.monotonic(),
    )
    task.newest_revision = lambda: 80
    task.apply_catalogue(Catalogue(revision=50))
    assert task.voter.highest_token >= upper_token_bound(80, 0.0)


@pytest.mark.parametrize(
    "voters",
    [
        Voters(is_taken_for_alone=True),
        Voters(forgotten=frozenset({HostId("h2")})),
        Voters(departed=frozenset({HostId("h2")})),
    ],
)
async def test_lone_host_has_a_token_above_those_of_holders_that_it_never_heard_of(
    clock, monkeypatch, voters: Voters
) -> None:
    """Another host had been elected at a later revision, and had died."""
    task = start_task(clock, imports_s=0.1, is_first_start=False)
    monkeypatch.setattr(task.fleet, "voters", lambda lease: voters)
    task.newest_revision = lambda: 80
    other = upper_token_bound(80, clock.now().timestamp()) + 1
    clock.advance(5.0)
    for _ in range(12):
        clock.advance(0.1)
        task.candidate.record_contact(clock.monotonic())
    await task.run_election()
    assert task.is_holder
    assert task.candidate.token > other


@pytest.mark.parametrize("held_up_s", [0.0, 3.0])
def test_digest_that_a_link_held_up_is_no_contact_now(clock, held_up_s: float) -> None:
    task = start_task(clock, imports_s=0.1, is_first_start=True)
    for _ in range(20):
        clock.advance(0.1)
        now = clock.monotonic()
        task.handle_digest(
            ReceivedDigest(digest("h2"), now, built_at=now - seconds(held_up_s))
        )
    assert task.candidate.is_in_contact(clock.monotonic()) == (held_up_s == 0.0)


async def test_suspended_host_restarts_joining_before_it_requests_votes(
    clock, monkeypatch
) -> None:
    """Its peers were leaving, so it held the lease by its own vote alone.

    After the suspension they may be back and have elected another holder.
    """

    async def skip_sleep(_: float) -> None:
        return

    monkeypatch.setattr("asyncio.sleep", skip_sleep)
    task = start_task(clock, imports_s=0.1, is_first_start=True)
    await task.step()
    assert task.is_holder
    clock.advance(0.9)
    await task.step()
    assert task.is_holder
    clock.advance(4.0)
    await task.step()
    assert task.fleet.join_restarts == 1
    assert not task.is_holder
    task.fleet.has_joined_now = True
    await task.step()
    assert task.is_holder
