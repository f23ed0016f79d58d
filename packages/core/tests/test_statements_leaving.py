"""What is kept of targets that have stated that they leave."""

from dataclasses import replace

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.statements.leaving import (
    UNLISTED_RETENTION,
    LeavingStatement,
    LeavingTargets,
)

NAME = TargetId("t")
ENTRY = PublishedTarget(
    Target(NAME, PoolName("p"), TargetKind.ENGINE, DataCentre("za"), Address("::1", 1)),
    slots=4,
    revision=1,
    incarnation=5,
)
LISTED = Catalogue(targets={NAME: ENTRY})
UNLISTED = Catalogue()
T0 = seconds(100)


def heard() -> LeavingTargets:
    made = LeavingTargets()
    assert made.record(NAME, LeavingStatement(5, T0))
    return made


def test_first_statement_of_an_incarnation_is_kept() -> None:
    leaving = heard()
    assert not leaving.record(NAME, LeavingStatement(5, T0 + seconds(1)))
    assert leaving.find(NAME, 5) == LeavingStatement(5, T0)


def test_statement_outlives_an_entry_that_lapses_and_comes_back() -> None:
    leaving = heard()
    leaving.apply_catalogue(UNLISTED, T0)
    leaving.apply_catalogue(LISTED, T0 + UNLISTED_RETENTION * 2)
    leaving.apply_catalogue(UNLISTED, T0 + UNLISTED_RETENTION * 3)
    leaving.apply_catalogue(LISTED, T0 + UNLISTED_RETENTION * 4)
    assert leaving.find(NAME, 5) is not None


def test_later_incarnation_is_not_bound() -> None:
    leaving = heard()
    assert leaving.find(NAME, 6) is None
    later = Catalogue(targets={NAME: replace(ENTRY, incarnation=6)})
    leaving.apply_catalogue(later, T0)
    assert not leaving.statements
    assert leaving.record(NAME, LeavingStatement(6, T0))


def test_statement_of_an_earlier_incarnation_changes_nothing() -> None:
    leaving = heard()
    assert not leaving.record(NAME, LeavingStatement(4, T0))
    assert leaving.find(NAME, 5) == LeavingStatement(5, T0)


def test_targets_that_never_come_back_are_forgotten() -> None:
    leaving = heard()
    leaving.apply_catalogue(UNLISTED, T0)
    leaving.apply_catalogue(UNLISTED, T0 + UNLISTED_RETENTION + seconds(1))
    assert not leaving.statements
    assert not leaving.unlisted_since
