"""A pool has had one version only if no other can have been missed."""

from datetime import timedelta

import pytest

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import (
    Address,
    DataCentre,
    PoolName,
    SoftwareVersion,
    TargetId,
)
from sardinequay_core.roster import Presence, Target, TargetKind
from sardinequay_core.software_history import (
    MAX_VIEW_AGE,
    NEW_VERSION_DELAY,
    SoftwareHistory,
    stream_lifetime,
)

POOL = PoolName("models")
LIFETIME = seconds(20)
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
STEP = seconds(1)


def target(version: SoftwareVersion, pool: PoolName = POOL) -> PublishedTarget:
    listed = Target(
        TargetId(f"{pool}-{version}"),
        pool,
        TargetKind.ENGINE,
        DataCentre("za"),
        Address("127.0.0.1", 1),
        Presence.LIVE,
        checks_fencing=False,
    )
    return PublishedTarget(listed, 8, 1, software_version=version)


def follow(
    history: SoftwareHistory, since: Instant, until: Instant, *versions: SoftwareVersion
) -> None:
    """Let a host see the same list of targets for some time."""
    now = since
    while now <= until:
        history.apply_view([target(v) for v in versions], now)
        now += STEP


@pytest.fixture
def history() -> SoftwareHistory:
    """History of a host that has followed one version for longer than streams last."""
    made = SoftwareHistory()
    follow(made, seconds(100), seconds(130), V1)
    return made


def sole(history: SoftwareHistory, now: Instant) -> SoftwareVersion | None:
    return history.sole_version(POOL, now, LIFETIME)


def test_one_version_for_as_long_as_streams_last_is_the_sole_one(history) -> None:
    assert sole(history, seconds(130)) == V1


def test_a_host_that_started_lately_knows_no_sole_version() -> None:
    history = SoftwareHistory()
    follow(history, seconds(100), seconds(110), V1)
    assert sole(history, seconds(110)) is None
    follow(history, seconds(111), seconds(120), V1)
    assert sole(history, seconds(120)) == V1


def test_the_first_start_of_the_system_has_no_versions_before_it() -> None:
    history = SoftwareHistory(is_first_start=True)
    follow(history, seconds(100), seconds(101), V1)
    assert sole(history, seconds(101)) == V1


def test_a_second_version_counts_until_streams_on_it_are_over(history) -> None:
    follow(history, seconds(131), seconds(133), V1, V2)
    assert sole(history, seconds(133)) is None
    follow(history, seconds(134), seconds(150), V1)
    assert sole(history, seconds(150)) is None
    follow(history, seconds(151), seconds(160), V1)
    assert sole(history, seconds(160)) == V1


def test_a_version_that_came_and_went_between_two_views_counts(history) -> None:
    history.record_listed([target(V2)], seconds(130.3))
    follow(history, seconds(131), seconds(135), V1)
    assert sole(history, seconds(135)) is None


def test_an_old_list_of_targets_proves_nothing(history) -> None:
    now = seconds(130) + MAX_VIEW_AGE
    assert sole(history, now) == V1
    assert sole(history, now + seconds(0.1)) is None


def test_after_a_gap_versions_may_have_been_missed(history) -> None:
    follow(history, seconds(134), seconds(140), V1)
    assert sole(history, seconds(140)) is None
    follow(history, seconds(141), seconds(154), V1)
    assert sole(history, seconds(154)) == V1


def test_versions_of_other_pools_do_not_count(history) -> None:
    other = PoolName("others")
    history.record_listed([target(V2, other)], seconds(130))
    assert sole(history, seconds(130)) == V1


def merged(history: SoftwareHistory, first_view: float) -> SoftwareHistory:
    """Return the history of a host that has just started and asked another one."""
    fresh = SoftwareHistory()
    fresh.apply_view([target(V1)], seconds(first_view))
    report = history.report(seconds(130.5))
    assert report is not None
    fresh.merge(report, seconds(130.5))
    return fresh


def test_a_host_that_started_lately_learns_the_history_of_another(history) -> None:
    assert sole(merged(history, 129.9), seconds(130.5)) == V1


def test_a_history_that_ends_before_the_own_one_begins_proves_nothing(history) -> None:
    assert sole(merged(history, 130.2), seconds(130.5)) is None


def test_a_second_version_is_learnt_from_another_host(history) -> None:
    history.record_listed([target(V2)], seconds(125))
    assert sole(merged(history, 129.9), seconds(130.5)) is None


def test_a_chain_of_restarts_keeps_the_history_of_the_first_start() -> None:
    first = SoftwareHistory(is_first_start=True)
    follow(first, seconds(100), seconds(130), V1)
    second = merged(first, 129.9)
    follow(second, seconds(131), seconds(132), V1)
    report = second.report(seconds(132.1))
    assert report is not None
    third = SoftwareHistory()
    third.apply_view([target(V1)], seconds(131.9))
    assert third.merge(report, seconds(132.1))
    assert sole(third, seconds(132.1)) == V1


def test_streams_do_not_begin_on_a_version_that_others_may_not_know(history) -> None:
    follow(history, seconds(131), seconds(132), V1, V2)
    begin = history.versions_to_begin_on
    assert begin(POOL, {V1, V2}, seconds(132)) == {V1}
    assert begin(POOL, {V2}, seconds(132)) == {V2}
    assert begin(POOL, {V1, V2}, seconds(131) + NEW_VERSION_DELAY) == {V1, V2}


def test_a_new_version_is_used_only_once_no_host_relies_on_a_list_without_it() -> None:
    assert NEW_VERSION_DELAY > MAX_VIEW_AGE


def test_versions_of_the_first_start_are_all_used_at_once() -> None:
    history = SoftwareHistory(is_first_start=True)
    follow(history, seconds(100), seconds(100), V1, V2)
    assert history.versions_to_begin_on(POOL, {V1, V2}, seconds(100)) == {V1, V2}


def test_streams_live_for_twice_the_longest_timeout_or_longer() -> None:
    assert stream_lifetime([seconds(12), seconds(15)]) == seconds(30)
    assert stream_lifetime([timedelta(seconds=1)]) == seconds(10)
