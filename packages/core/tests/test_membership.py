"""Membership: suspicion, refutation, death and the spread of updates."""

from random import Random

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.membership import (
    UPDATE_REPEATS,
    Health,
    Member,
    Membership,
    MembershipPolicy,
)
from sardinequay_core.names import Address, HostId

NOW = seconds(100)
POLICY = MembershipPolicy(suspicion_timeout=seconds(2), dead_retention=seconds(60))


def member(name: str, incarnation: int = 1, health: Health = Health.ALIVE) -> Member:
    return Member(HostId(name), Address("127.0.0.1", 1), incarnation, health)


@pytest.fixture
def membership() -> Membership:
    made = Membership(member("me"), POLICY, Random(1))
    made.add_listed([member("a"), member("b"), member("me")], NOW)
    return made


def names(membership: Membership) -> list[str]:
    return [m.host_id for m in membership.live_members()]


def test_listed_hosts_are_live_until_they_are_dead(membership: Membership) -> None:
    assert names(membership) == ["a", "b", "me"]
    membership.record_ping_timeout(HostId("a"), NOW)
    membership.expire_members(NOW + seconds(1))
    assert "a" in names(membership)
    membership.expire_members(NOW + seconds(2))
    assert names(membership) == ["b", "me"]


def test_answer_clears_suspicion(membership: Membership) -> None:
    membership.record_ping_timeout(HostId("a"), NOW)
    membership.record_ping_answer(HostId("a"), NOW)
    membership.expire_members(NOW + seconds(2))
    assert "a" in names(membership)


def test_suspected_host_refutes_with_a_higher_incarnation(
    membership: Membership,
) -> None:
    membership.handle_updates([member("me", 1, Health.SUSPECT)], NOW)
    assert membership.self_member.incarnation == 2
    membership.handle_updates([member("a", 1, Health.DEAD)], NOW)
    membership.handle_updates([member("a", 2)], NOW)
    assert "a" in names(membership)


@pytest.mark.parametrize("health", [Health.SUSPECT, Health.LEAVING, Health.DEAD])
def test_old_updates_revive_no_member(membership: Membership, health: Health) -> None:
    membership.handle_updates([member("a", 3, health)], NOW)
    membership.handle_updates([member("a", 2)], NOW)
    assert membership.records[HostId("a")].member.health is health


def test_updates_are_sent_a_bounded_number_of_times(membership: Membership) -> None:
    sent = [
        m for _ in range(UPDATE_REPEATS + 3) for m in membership.updates_to_send()[1:]
    ]
    assert sum(m.host_id == "a" for m in sent) == UPDATE_REPEATS


def test_pings_reach_every_member_in_each_round(membership: Membership) -> None:
    pinged = {membership.next_ping_target().host_id for _ in range(2)}
    assert pinged == {"a", "b"}


def test_leaving_host_is_not_live(membership: Membership) -> None:
    membership.start_leaving()
    assert names(membership) == ["a", "b"]


def test_dead_members_are_removed_after_the_retention_time(
    membership: Membership,
) -> None:
    membership.handle_updates([member("a", 1, Health.DEAD)], NOW)
    membership.expire_members(NOW + seconds(61))
    assert HostId("a") not in membership.records
