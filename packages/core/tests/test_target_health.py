"""Exclusion of targets by the results of requests, and trials of excluded targets."""

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.names import TargetId
from sardinequay_core.target_health import AttemptResult, TargetHealth

A, B, C = (TargetId(t) for t in "abc")
NOW = seconds(50)


@pytest.fixture
def health() -> TargetHealth:
    return TargetHealth()


def test_unreachable_target_is_excluded_then_tried_with_one_request(health) -> None:
    assert health.record_result(A, AttemptResult.UNREACHABLE, NOW, NOW)
    assert not health.is_usable(A, NOW + seconds(0.4))
    later = NOW + seconds(0.6)
    assert health.is_usable(A, later)
    health.record_sent(A)
    assert not health.is_usable(A, later)
    health.record_result(A, AttemptResult.SUCCEEDED, later, later)
    assert health.is_usable(A, later)


def test_pauses_double_while_trials_fail(health) -> None:
    health.record_result(A, AttemptResult.UNREACHABLE, NOW, NOW)
    health.record_result(
        A, AttemptResult.FAILED, NOW + seconds(0.6), NOW + seconds(0.6)
    )
    assert not health.is_usable(A, NOW + seconds(1.5))
    assert health.is_usable(A, NOW + seconds(1.7))


def test_target_that_fails_part_of_its_requests_is_excluded(health) -> None:
    ends = [
        AttemptResult.SUCCEEDED,
        AttemptResult.FAILED,
        AttemptResult.FAILED,
        AttemptResult.FAILED,
    ]
    assert any(health.record_result(A, end, NOW, NOW) for end in ends)


def test_one_failure_among_many_does_not_exclude_a_target(health) -> None:
    ends = (
        [AttemptResult.SUCCEEDED] * 6
        + [AttemptResult.FAILED]
        + [AttemptResult.SUCCEEDED] * 3
    )
    assert not any(health.record_result(A, end, NOW, NOW) for end in ends)


def test_full_target_is_not_excluded(health) -> None:
    assert not health.record_result(A, AttemptResult.REJECTED, NOW, NOW)
    assert health.is_full(A, NOW + seconds(0.05))
    assert not health.is_full(A, NOW + seconds(0.2))


def test_all_targets_are_used_when_too_few_are_usable(health) -> None:
    for target in (A, B, C):
        health.record_result(target, AttemptResult.UNREACHABLE, NOW, NOW)
    assert health.usable_targets((A, B, C), NOW) == {A, B, C}
    assert TargetHealth().usable_targets((A, B), NOW) == {A, B}


def test_timeout_counts_unless_the_target_answered_other_requests_meanwhile(
    health,
) -> None:
    for _ in range(5):
        health.record_result(A, AttemptResult.SUCCEEDED, NOW, NOW + seconds(0.2))
        assert not health.record_result(
            A, AttemptResult.TIMED_OUT, NOW, NOW + seconds(0.4)
        )
    ends = [
        health.record_result(B, AttemptResult.TIMED_OUT, NOW, NOW + seconds(0.4))
        for _ in range(8)
    ]
    assert not any(ends[:3])
    assert any(ends)


def test_cut_off_host_uses_the_one_target_that_it_reaches() -> None:
    """While a data centre is cut off, four of five targets are unreachable."""
    health = TargetHealth()
    targets = tuple(TargetId(t) for t in "abcde")
    for target in targets[1:]:
        health.record_result(target, AttemptResult.UNREACHABLE, NOW, NOW)
    assert health.usable_targets(targets, NOW) == {targets[0]}
    assert health.usable_targets(targets[1:], NOW) == set(targets[1:])


def test_failures_of_all_reachable_targets_exclude_none_of_them() -> None:
    health = TargetHealth()
    targets = tuple(TargetId(t) for t in "abcd")
    health.record_result(targets[3], AttemptResult.UNREACHABLE, NOW, NOW)
    for target in targets[:3]:
        for _ in range(6):
            health.record_result(target, AttemptResult.FAILED, NOW, NOW)
    assert health.usable_targets(targets, NOW) == set(targets[:3])
