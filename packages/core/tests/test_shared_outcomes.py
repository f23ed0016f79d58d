"""Targets judged by the outcomes of many hosts with few requests each."""

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId, TargetId
from sardinequay_core.shared_outcomes import HALF_LIFE, Outcomes, OutcomeTally
from sardinequay_core.target_health import AttemptResult, TargetHealth

NOW = seconds(100)
T = TargetId("t")
OTHERS = tuple(TargetId(t) for t in "uvw")


def make_hosts(count: int) -> list[TargetHealth]:
    return [TargetHealth(trial_turn=i / count, host_count=count) for i in range(count)]


def gossip(fleet: list[TargetHealth], now=NOW) -> None:
    """Send each host's outcomes to every other host once."""
    reports = [host.tally.outcomes_to_report(now) for host in fleet]
    for me, host in enumerate(fleet):
        for other, outcomes in enumerate(reports):
            if other != me:
                host.tally.apply_peer_outcomes(HostId(f"h{other}"), outcomes, now)


def test_target_that_fails_at_a_few_hosts_is_excluded_by_all() -> None:
    """A target fails requests of five of sixty hosts, and the others get reports."""
    fleet = make_hosts(60)
    for host in fleet[:5]:
        host.record_result(T, AttemptResult.FAILED, NOW, NOW)
    gossip(fleet)
    soon = NOW + seconds(0.5)
    using = [h for h in fleet if T in h.usable_targets((T, *OTHERS), soon)]
    assert len(using) <= 2


def test_successes_at_other_hosts_count_once_failures_are_reported() -> None:
    fleet = make_hosts(20)
    for host in fleet:
        host.record_result(T, AttemptResult.SUCCEEDED, NOW, NOW)
    for host in fleet[:3]:
        host.record_result(T, AttemptResult.FAILED, NOW, NOW)
    gossip(fleet)
    gossip(fleet)
    assert all(h.is_usable(T, NOW) for h in fleet[3:])


def test_failures_at_one_host_exclude_no_target_at_others() -> None:
    fleet = make_hosts(5)
    for _ in range(8):
        fleet[0].record_result(T, AttemptResult.FAILED, NOW, NOW)
    gossip(fleet)
    assert all(h.is_usable(T, NOW) for h in fleet[1:])


def test_unreachable_targets_are_not_reported() -> None:
    health = TargetHealth()
    health.record_result(T, AttemptResult.UNREACHABLE, NOW, NOW)
    assert not health.tally.outcomes_to_report(NOW)


def test_hosts_try_an_excluded_target_in_turn() -> None:
    fleet = make_hosts(10)
    for host in fleet[:4]:
        host.record_result(T, AttemptResult.FAILED, NOW, NOW)
    gossip(fleet)
    trials = []
    for tenth in range(100):
        now = NOW + seconds(tenth / 10)
        for host in fleet[4:]:
            host.tally.apply_peer_outcomes(HostId("hx"), {T: Outcomes(0, 4)}, now)
            host.tally.apply_peer_outcomes(HostId("hy"), {T: Outcomes(0, 4)}, now)
            if host.is_usable(T, now):
                host.record_sent(T)
                trials.append(now)
    assert 4 <= len(trials) <= 8


def test_failures_decay() -> None:
    fleet = make_hosts(4)
    for host in fleet:
        host.record_result(T, AttemptResult.FAILED, NOW, NOW)
    gossip(fleet)
    later = NOW + HALF_LIFE
    assert all(h.is_usable(T, later) for h in fleet)


@pytest.mark.parametrize("gone", ["host", "target"])
def test_outcomes_of_a_host_or_target_that_is_gone_are_dropped(gone: str) -> None:
    tally = OutcomeTally()
    tally.apply_peer_outcomes(HostId("h1"), {T: Outcomes(0, 9)}, NOW)
    tally.apply_peer_outcomes(HostId("h2"), {T: Outcomes(0, 9)}, NOW)
    assert tally.is_excluded(T, NOW)
    if gone == "host":
        tally.forget_peer(HostId("h2"))
    else:
        tally.forget_target(T)
    assert not tally.is_excluded(T, NOW)


def test_report_of_a_silent_peer_expires() -> None:
    tally = OutcomeTally()
    for host in ("h1", "h2"):
        tally.apply_peer_outcomes(HostId(host), {T: Outcomes(0, 90)}, NOW)
    assert tally.is_excluded(T, NOW + seconds(5))
    assert not tally.is_excluded(T, NOW + seconds(7))


@pytest.mark.parametrize("result", [AttemptResult.BROKEN, AttemptResult.TIMED_OUT])
def test_failures_without_an_answer_reach_peers_only_once_the_path_is_confirmed(
    result: AttemptResult,
) -> None:
    health = TargetHealth()
    for _ in range(9):
        health.record_result(T, result, NOW, NOW)
    assert not health.tally.outcomes_to_report(NOW)
    for _ in range(9):
        health.confirm_failure(T, result, NOW, NOW)
    assert health.tally.outcomes_to_report(NOW)


def test_a_target_that_was_silent_and_went_on_is_not_told_to_peers() -> None:
    health = TargetHealth()
    health.record_result(T, AttemptResult.TIMED_OUT, NOW, NOW + seconds(0.4))
    health.record_result(T, AttemptResult.SUCCEEDED, NOW, NOW + seconds(0.5))
    sent_at, confirmed_at = NOW, NOW + seconds(0.6)
    health.confirm_failure(T, AttemptResult.TIMED_OUT, sent_at, confirmed_at)
    assert not health.tally.own[T][0].failed
