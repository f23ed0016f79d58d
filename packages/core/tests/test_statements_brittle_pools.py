"""New targets of a pool whose targets are brittle."""

import pytest

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.statements.brittle_pools import BrittlePools
from sardinequay_core.statements.limits import LimitStatement, TargetLimits

NOW = seconds(100)
A, B, NEW = TargetId("a"), TargetId("b"), TargetId("new")


def catalogue_of(*names: str, pool: str = "p", incarnation: int = 1) -> Catalogue:
    targets = {}
    for name in names:
        target = Target(
            TargetId(name),
            PoolName(pool),
            TargetKind.SERVICE,
            DataCentre("za"),
            Address("10.0.0.1", 1),
        )
        targets[target.target_id] = PublishedTarget(
            target, 6, 1, incarnation=incarnation
        )
    return Catalogue(targets=targets)


def apply(pools: BrittlePools, before: Catalogue, catalogue: Catalogue, now) -> None:
    pools.note_statements(before, now)
    pools.assume_of_new_targets(before, catalogue)


@pytest.fixture
def pools() -> BrittlePools:
    limits = TargetLimits()
    limits.record_answer(A, LimitStatement(3.0, 1, NOW), NOW)
    return BrittlePools(limits)


def test_a_new_target_of_a_brittle_pool_counts_as_brittle(pools: BrittlePools) -> None:
    apply(pools, catalogue_of("a"), catalogue_of("a", "new"), NOW)
    assert pools.limits.rate_of(NEW, NOW) == 3.0


def test_so_does_one_that_comes_after_all_others_are_gone(pools: BrittlePools) -> None:
    apply(pools, catalogue_of("a"), catalogue_of(), NOW)
    pools.limits.forget_target(A)
    apply(pools, catalogue_of(), catalogue_of("new"), NOW + seconds(2))
    assert pools.limits.rate_of(NEW, NOW + seconds(2)) == 3.0


def test_a_target_of_another_pool_does_not(pools: BrittlePools) -> None:
    other = catalogue_of("new", pool="q")
    apply(pools, catalogue_of("a"), other, NOW)
    assert pools.limits.rate_of(NEW, NOW) is None


def test_a_target_that_was_there_before_does_not(pools: BrittlePools) -> None:
    apply(pools, catalogue_of("a", "b"), catalogue_of("a", "b"), NOW)
    assert pools.limits.rate_of(B, NOW) is None


def test_a_pool_that_is_brittle_no_more_is_forgotten(pools: BrittlePools) -> None:
    later = NOW + seconds(1)
    pools.limits.record_answer(A, LimitStatement(None, 1, later), later)
    apply(pools, catalogue_of("a"), catalogue_of("a", "new"), later)
    assert pools.limits.rate_of(NEW, later) is None


def test_its_own_answer_ends_what_was_assumed(pools: BrittlePools) -> None:
    apply(pools, catalogue_of("a"), catalogue_of("a", "new"), NOW)
    later = NOW + seconds(1)
    pools.limits.record_answer(NEW, LimitStatement(None, 1, later), later)
    assert pools.limits.rate_of(NEW, later) is None
