"""Catalogue: versions never decrease, removals are delayed while the store fails."""

from dataclasses import replace

import pytest

from sardinequay_core.catalogue import (
    Catalogue,
    ConfigPublished,
    PublishedTarget,
    RemovalPolicy,
    TargetPublished,
    TargetRemoved,
    TargetUnreadable,
    VersionPublished,
    apply_change,
    expire_unconfirmed,
    is_equal_except_revisions,
    remove_unlisted,
)
from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Presence, Target, TargetKind
from sardinequay_core.serving import CallerLimits, make_serving_config

NOW = seconds(100)
REMOVE_AT_ONCE = RemovalPolicy()
KEEP_FOR_2_S = RemovalPolicy(NOW + seconds(2))


def published(name: str, revision: int = 1, presence=Presence.LIVE) -> TargetPublished:
    target = Target(
        TargetId(name),
        PoolName("pool"),
        TargetKind.SERVICE,
        DataCentre("here"),
        Address("127.0.0.1", 1),
        presence,
    )
    return TargetPublished(PublishedTarget(target, 4, revision))


def config(version: int) -> ConfigPublished:
    return ConfigPublished(make_serving_config(version, (), (), CallerLimits()))


def apply_listing(
    catalogue: Catalogue, changes: tuple, revision: int, policy: RemovalPolicy
) -> Catalogue:
    catalogue = remove_unlisted(catalogue, changes, policy)
    for change in changes:
        catalogue = apply_change(change, catalogue, policy)
    return replace(catalogue, revision=max(revision, catalogue.revision))


@pytest.fixture
def catalogue() -> Catalogue:
    return apply_change(published("a", 5), Catalogue(), REMOVE_AT_ONCE)


def test_older_configuration_never_replaces_a_newer_one() -> None:
    newer = apply_change(config(7), Catalogue(), REMOVE_AT_ONCE)
    assert apply_change(config(5), newer, REMOVE_AT_ONCE).config.version == 7
    assert apply_change(config(9), newer, REMOVE_AT_ONCE).config.version == 9


def test_older_entry_of_a_target_is_ignored(catalogue: Catalogue) -> None:
    late = apply_change(published("a", 4, Presence.LEAVING), catalogue, REMOVE_AT_ONCE)
    assert late.live_targets(PoolName("pool"))
    assert not apply_change(
        published("a", 6, Presence.LEAVING), catalogue, REMOVE_AT_ONCE
    ).live_targets(PoolName("pool"))


def test_removed_target_is_dropped_at_once_if_the_store_works(catalogue) -> None:
    assert not apply_change(
        TargetRemoved(TargetId("a")), catalogue, REMOVE_AT_ONCE
    ).targets


def test_entry_removed_during_a_store_failure_is_kept_for_a_time(catalogue) -> None:
    removed = apply_change(TargetRemoved(TargetId("a")), catalogue, KEEP_FOR_2_S)
    assert removed.live_targets(PoolName("pool"))
    assert expire_unconfirmed(removed, NOW + seconds(1.9)).targets
    assert not expire_unconfirmed(removed, NOW + seconds(2)).targets


def test_reappeared_entry_is_not_expired(catalogue: Catalogue) -> None:
    removed = apply_change(TargetRemoved(TargetId("a")), catalogue, KEEP_FOR_2_S)
    reappeared = apply_change(published("a", 9), removed, KEEP_FOR_2_S)
    assert expire_unconfirmed(reappeared, NOW + seconds(60)).targets


def test_leaving_target_removed_during_a_store_failure_is_dropped() -> None:
    leaving = apply_change(
        published("a", 5, Presence.LEAVING), Catalogue(), REMOVE_AT_ONCE
    )
    assert not apply_change(TargetRemoved(TargetId("a")), leaving, KEEP_FOR_2_S).targets


def test_listing_removes_targets_missing_from_it(catalogue: Catalogue) -> None:
    listed = apply_listing(catalogue, (published("b", 6), config(3)), 8, REMOVE_AT_ONCE)
    assert set(listed.targets) == {"b"}
    assert listed.revision == 8
    assert listed.config.version == 3


def test_newest_version_of_an_adapter_never_decreases() -> None:
    first = apply_change(VersionPublished("m/a", "10"), Catalogue(), REMOVE_AT_ONCE)
    assert apply_change(
        VersionPublished("m/a", "9"), first, REMOVE_AT_ONCE
    ).newest_versions == {"m/a": "10"}
    assert apply_change(
        VersionPublished("m/a", "11"), first, REMOVE_AT_ONCE
    ).newest_versions == {"m/a": "11"}


def test_newest_of_several_versions_in_one_listing_wins_in_any_order() -> None:
    changes = tuple(VersionPublished("m/a", str(n)) for n in (3, 12, 2))
    listed = apply_listing(Catalogue(), changes, 9, REMOVE_AT_ONCE)
    assert listed.newest_versions == {"m/a": "12"}
    without_versions = apply_listing(listed, (), 10, REMOVE_AT_ONCE)
    assert without_versions.newest_versions == {"m/a": "12"}


def published_incarnation(revision: int, incarnation: int) -> TargetPublished:
    made = published("a", revision).published
    return TargetPublished(replace(made, incarnation=incarnation))


def test_entry_of_an_earlier_incarnation_is_ignored(catalogue: Catalogue) -> None:
    later = apply_change(
        published_incarnation(6, incarnation=2_000), catalogue, REMOVE_AT_ONCE
    )
    late = apply_change(
        published_incarnation(7, incarnation=1_000), later, REMOVE_AT_ONCE
    )
    assert late.targets[TargetId("a")].incarnation == 2_000
    again = apply_change(
        published_incarnation(8, incarnation=3_000), late, REMOVE_AT_ONCE
    )
    assert again.targets[TargetId("a")].incarnation == 3_000


def test_unreadable_entry_removes_its_target(catalogue: Catalogue) -> None:
    unreadable = TargetUnreadable(TargetId("a"), "no address")
    assert not apply_change(unreadable, catalogue, KEEP_FOR_2_S).targets
    other = apply_change(published("b", 6), catalogue, REMOVE_AT_ONCE)
    assert set(apply_change(unreadable, other, REMOVE_AT_ONCE).targets) == {"b"}


def test_listing_drops_a_target_with_an_unreadable_entry(catalogue: Catalogue) -> None:
    changes = (TargetUnreadable(TargetId("a"), "spoiled"), published("b", 8))
    listed = apply_listing(catalogue, changes, 9, KEEP_FOR_2_S)
    assert set(listed.targets) == {"b"}


def test_renewed_entry_is_equal_except_revisions(catalogue: Catalogue) -> None:
    renewed = apply_change(published("a", 6), catalogue, REMOVE_AT_ONCE)
    assert is_equal_except_revisions(catalogue, replace(renewed, revision=6))


@pytest.mark.parametrize(
    "change",
    [
        published("a", 6, Presence.LEAVING),
        published("b", 6),
        TargetRemoved(TargetId("a")),
        VersionPublished("m/x", "2"),
        config(1),
    ],
)
def test_any_other_change_makes_catalogues_unequal(
    catalogue: Catalogue, change
) -> None:
    assert not is_equal_except_revisions(
        catalogue, apply_change(change, catalogue, REMOVE_AT_ONCE)
    )
    assert not is_equal_except_revisions(
        catalogue, apply_change(change, catalogue, KEEP_FOR_2_S)
    )
