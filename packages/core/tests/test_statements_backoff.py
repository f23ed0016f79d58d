"""What is kept of targets that have asked this host for a backoff."""

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.backoff import BackoffStatement, TargetBackoffs

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


def test_backoff_that_is_over_is_dropped() -> None:
    backoffs = TargetBackoffs()
    backoffs.record(NAME, asked(3))
    assert backoffs.left_s(T0 + seconds(2)) == {NAME: 1.0}
    assert backoffs.wait(NAME, 5, T0 + seconds(3)) == ZERO
    assert backoffs.left_s(T0 + seconds(3)) == {}
    backoffs.expire(T0 + seconds(3))
    assert not backoffs.statements
