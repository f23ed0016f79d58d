"""Limits that targets state: what overtook what, what peers heard, and how they end."""

import pytest

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.limits import (
    MIN_RATE_PER_S,
    LimitChange,
    LimitStatement,
    PermitOutlook,
    TargetLimits,
)

TARGET = TargetId("t")
START = seconds(1000)


def after(value_s: float) -> Instant:
    return START + seconds(value_s)


def stated(rate: float | None, at_s: float, incarnation: int = 1) -> LimitStatement:
    return LimitStatement(rate, incarnation, after(at_s))


@pytest.fixture
def limits() -> TargetLimits:
    made = TargetLimits()
    made.record_answer(TARGET, stated(2.0, 0), after(-1))
    return made


def test_a_limit_begins_with_the_first_answer_that_states_it() -> None:
    limits = TargetLimits()
    assert limits.record_answer(TARGET, stated(None, 0), after(-1)) is None
    change = limits.record_answer(TARGET, stated(2.0, 1), after(0))
    assert change == LimitChange(TARGET, None, 2.0)
    assert limits.rate_of(TARGET, after(1)) == 2.0


def test_an_answer_that_was_overtaken_neither_ends_nor_raises_a_limit(limits) -> None:
    assert limits.record_answer(TARGET, stated(None, 0.1), after(-0.5)) is None
    assert limits.record_answer(TARGET, stated(9.0, 0.2), after(-0.5)) is None
    assert limits.rate_of(TARGET, after(1)) == 2.0


def test_an_answer_to_a_later_request_ends_or_raises_a_limit(limits) -> None:
    limits.record_answer(TARGET, stated(9.0, 0.2), after(0.1))
    assert limits.rate_of(TARGET, after(1)) == 9.0
    change = limits.record_answer(TARGET, stated(None, 0.4), after(0.3))
    assert change == LimitChange(TARGET, 9.0, None)
    assert limits.rate_of(TARGET, after(1)) is None


def test_a_lower_limit_holds_at_once_whatever_overtook_it(limits) -> None:
    limits.record_answer(TARGET, stated(1.0, 0.1), after(-0.5))
    assert limits.rate_of(TARGET, after(1)) == 1.0


def test_a_target_that_states_zero_still_gets_a_request_now_and_then(limits) -> None:
    limits.record_answer(TARGET, stated(0.0, 1), after(0.5))
    assert limits.rate_of(TARGET, after(2)) == MIN_RATE_PER_S


def test_a_limit_beyond_what_any_target_gets_binds_nobody(limits) -> None:
    limits.record_answer(TARGET, stated(1e9, 1), after(0.5))
    assert limits.rate_of(TARGET, after(2)) is None


def test_a_limit_ends_by_silence(limits) -> None:
    assert limits.expire(after(9)) == []
    assert limits.expire(after(11)) == [LimitChange(TARGET, 2.0, None)]
    assert limits.rate_of(TARGET, after(11)) is None


def test_a_low_limit_outlasts_the_time_between_its_requests(limits) -> None:
    limits.record_answer(TARGET, stated(0.0, 1), after(0.5))
    assert limits.rate_of(TARGET, after(14)) == MIN_RATE_PER_S


def test_a_limit_ends_with_the_process_that_stated_it(limits) -> None:
    change = limits.record_answer(TARGET, stated(None, 0.1, 2), after(-1))
    assert change == LimitChange(TARGET, 2.0, None)
    assert limits.record_answer(TARGET, stated(2.0, 0.2, 1), after(0.1)) is None


def test_the_statement_heard_last_wins_among_peers(limits) -> None:
    assert limits.apply_report(TARGET, stated(5.0, -0.1)) is None
    change = limits.apply_report(TARGET, stated(None, 0.1))
    assert change == LimitChange(TARGET, 2.0, None)
    assert limits.apply_report(TARGET, stated(2.0, 0.05)) is None
    assert limits.rate_of(TARGET, after(1)) is None


def test_peers_hear_of_changes_and_once_a_second_that_a_limit_holds(limits) -> None:
    told = limits.changes.last_number
    assert limits.changes.since(0) == [TARGET]
    limits.record_answer(TARGET, stated(2.0, 0.5), after(0.4))
    assert limits.changes.since(told) == []
    limits.record_answer(TARGET, stated(2.0, 1.5), after(1.4))
    assert limits.changes.since(told) == [TARGET]


def test_reports_that_pass_between_peers_do_not_go_on_for_good(limits) -> None:
    told = limits.changes.last_number
    for hop in range(1, 50):
        limits.apply_report(TARGET, stated(2.0, hop * 0.002))
    assert limits.changes.since(told) == []


def test_denial_that_outlasts_its_limit_keeps_nobody_from_the_target(limits) -> None:
    outlook = PermitOutlook(after(5), after(9))
    limits.record_outlook(TARGET, outlook)
    assert limits.permit_wait_s(TARGET, can_wait=False, now=after(1)) == 8
    limits.record_outlook(TARGET, PermitOutlook(after(90), after(90)))
    assert limits.permit_wait_s(TARGET, can_wait=False, now=after(30)) == 0
    # The reply came after the target had started again, or left.
    limits.forget_target(TARGET)
    limits.record_outlook(TARGET, outlook)
    assert limits.outlooks == {}


def test_limit_outlives_an_entry_that_lapses_and_comes_back(limits) -> None:
    """Hosts sent as much as they liked until the target's next answer."""
    limits.apply_catalogue(Catalogue())
    assert limits.rate_of(TARGET, after(0)) == 2.0
    assert limits.changes.since(0) == [TARGET]


def test_targets_that_left_are_forgotten_once_they_are_silent(limits) -> None:
    limits.apply_catalogue(Catalogue())
    limits.expire(after(60))
    assert limits.rate_of(TARGET, after(0)) is None
    assert limits.changes.since(0) == []
