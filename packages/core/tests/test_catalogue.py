"""What the store publishes: never back, and patient with entries that vanish."""

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
    apply_listing,
    expire_unconfirmed,
    is_equal_except_revisions,
)
from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Presence, Target, TargetKind
from sardinequay_core.serving import CallerLimits, make_serving_config

NOW = seconds(100)
PROMPT = RemovalPolicy()
PATIENT = RemovalPolicy(NOW + seconds(2))


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


@pytest.fixture
def one() -> Catalogue:
    return apply_change(published("a", 5), Catalogue(), PROMPT)


def test_older_configuration_never_replaces_a_newer() -> None:
    newer = apply_change(config(7), Catalogue(), PROMPT)
    assert apply_change(config(5), newer, PROMPT).config.version == 7
    assert apply_change(config(9), newer, PROMPT).config.version == 9


def test_older_entry_of_a_target_is_ignored(one: Catalogue) -> None:
    late = apply_change(published("a", 4, Presence.LEAVING), one, PROMPT)
    assert late.live_targets(PoolName("pool"))
    assert not apply_change(
        published("a", 6, Presence.LEAVING), one, PROMPT
    ).live_targets(PoolName("pool"))


def test_removed_target_is_dropped_at_once_while_the_store_is_well(one) -> None:
    assert not apply_change(TargetRemoved(TargetId("a")), one, PROMPT).targets


def test_entry_that_vanished_in_trouble_is_kept_until_it_can_be_back(one) -> None:
    kept = apply_change(TargetRemoved(TargetId("a")), one, PATIENT)
    assert kept.live_targets(PoolName("pool"))
    assert expire_unconfirmed(kept, NOW + seconds(1.9)).targets
    assert not expire_unconfirmed(kept, NOW + seconds(2)).targets


def test_entry_that_came_back_stays(one: Catalogue) -> None:
    kept = apply_change(TargetRemoved(TargetId("a")), one, PATIENT)
    back = apply_change(published("a", 9), kept, PATIENT)
    assert expire_unconfirmed(back, NOW + seconds(60)).targets


def test_leaving_target_that_vanishes_in_trouble_is_gone() -> None:
    leaving = apply_change(published("a", 5, Presence.LEAVING), Catalogue(), PROMPT)
    assert not apply_change(TargetRemoved(TargetId("a")), leaving, PATIENT).targets


def test_listing_removes_what_it_lacks(one: Catalogue) -> None:
    listed = apply_listing(one, (published("b", 6), config(3)), 8, PROMPT)
    assert set(listed.targets) == {"b"}
    assert listed.revision == 8
    assert listed.config.version == 3


def test_newest_version_of_an_adapter_only_rises() -> None:
    first = apply_change(VersionPublished("m/a", "10"), Catalogue(), PROMPT)
    assert apply_change(
        VersionPublished("m/a", "9"), first, PROMPT
    ).newest_versions == {"m/a": "10"}
    assert apply_change(
        VersionPublished("m/a", "11"), first, PROMPT
    ).newest_versions == {"m/a": "11"}


def started(revision: int, incarnation: int) -> TargetPublished:
    made = published("a", revision).published
    return TargetPublished(replace(made, incarnation=incarnation))


def test_entry_of_an_earlier_start_says_nothing(one: Catalogue) -> None:
    later = apply_change(started(6, incarnation=2_000), one, PROMPT)
    late = apply_change(started(7, incarnation=1_000), later, PROMPT)
    assert late.targets[TargetId("a")].incarnation == 2_000
    again = apply_change(started(8, incarnation=3_000), late, PROMPT)
    assert again.targets[TargetId("a")].incarnation == 3_000


def test_entry_that_is_not_understood_names_no_target(one: Catalogue) -> None:
    spoiled = TargetUnreadable(TargetId("a"), "no address")
    assert not apply_change(spoiled, one, PATIENT).targets
    other = apply_change(published("b", 6), one, PROMPT)
    assert set(apply_change(spoiled, other, PROMPT).targets) == {"b"}


def test_listing_drops_a_target_whose_entry_is_not_understood(one: Catalogue) -> None:
    changes = (TargetUnreadable(TargetId("a"), "spoiled"), published("b", 8))
    listed = apply_listing(one, changes, 9, PATIENT)
    assert set(listed.targets) == {"b"}


def test_a_renewed_entry_says_nothing_new(one: Catalogue) -> None:
    renewed = apply_change(published("a", 6), one, PROMPT)
    assert is_equal_except_revisions(one, replace(renewed, revision=6))


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
def test_any_other_change_says_something_new(one: Catalogue, change) -> None:
    assert not is_equal_except_revisions(one, apply_change(change, one, PROMPT))
    assert not is_equal_except_revisions(one, apply_change(change, one, PATIENT))
