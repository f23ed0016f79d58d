"""What is kept of targets that have asked this host for a backoff."""

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.backoff import (
    MAX_TRIAL,
    TRIAL_RETENTION,
    TRIAL_WAIT,
    BackoffStatement,
    TargetBackoffs,
)

NAME = TargetId("t")
T0 = seconds(100)


def asked(for_s: float, at: Instant = T0, incarnation: int = 5) -> BackoffStatement:
    return BackoffStatement(incarnation, at, at + seconds(for_s))


def test_the_later_end_holds() -> None:
    backoffs = TargetBackoffs()
    assert backoffs.record(NAME, asked(3))
    assert not backoffs.record(NAME, asked(1, T0 + seconds(0.5)))
    assert backoffs.wait(NAME, 5, T0 + seconds(1)) == seconds(2)
    assert backoffs.record(NAME, asked(3, T0 + seconds(1)))
    assert backoffs.wait(NAME, 5, T0 + seconds(1)) == seconds(3)


def test_later_incarnation_is_not_bound() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    assert backoffs.wait(NAME, 6, T0) == ZERO
    assert not backoffs.record(NAME, asked(9, incarnation=4))
    assert backoffs.record(NAME, asked(1, incarnation=6))
    assert backoffs.wait(NAME, 6, T0) == seconds(1)


def test_backoff_outlives_an_entry_that_lapses() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    backoffs.apply_catalogue(Catalogue())
    assert backoffs.wait(NAME, 5, T0) == seconds(3)


def test_first_request_after_a_backoff_is_a_trial() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    end = T0 + seconds(3)
    assert backoffs.wait(NAME, 5, end) == ZERO
    assert backoffs.begin_send(NAME, end)
    assert backoffs.wait(NAME, 5, end) == TRIAL_WAIT
    backoffs.end_trial(NAME, is_answered=True, now=end + seconds(0.2))
    assert backoffs.wait(NAME, 5, end + seconds(0.2)) == ZERO
    assert not backoffs.begin_send(NAME, end + seconds(0.2))


def test_trial_without_an_answer_makes_way_for_another() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    end = T0 + seconds(3)
    backoffs.begin_send(NAME, end)
    assert backoffs.wait(NAME, 5, end + MAX_TRIAL + seconds(0.1)) == ZERO
    backoffs.end_trial(NAME, is_answered=False, now=end)
    assert backoffs.wait(NAME, 5, end) == ZERO
    assert backoffs.begin_send(NAME, end)


def test_trial_that_is_turned_away_begins_another_backoff() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    end = T0 + seconds(3)
    backoffs.begin_send(NAME, end)
    assert backoffs.record(NAME, asked(3, end))
    backoffs.end_trial(NAME, is_answered=True, now=end)
    assert backoffs.wait(NAME, 5, end) == seconds(3)


def test_backoff_that_is_long_over_is_forgotten() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    backoffs.expire(T0 + seconds(3))
    assert backoffs.statements
    backoffs.expire(T0 + seconds(3) + TRIAL_RETENTION)
    assert not backoffs.statements
