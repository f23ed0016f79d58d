"""One run at a time of a content under suspicion."""

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.names import ContentId
from sardinequay_core.run_permits import PERMIT_DURATION, RunPermits

CONTENT = ContentId("c")
NOW = seconds(1000)


@pytest.fixture
def permits() -> RunPermits:
    return RunPermits()


def test_one_run_at_a_time(permits) -> None:
    assert permits.grant(CONTENT, "h1/0", NOW)
    assert not permits.grant(CONTENT, "h2/0", NOW)
    assert permits.grant(ContentId("other"), "h2/0", NOW)


def test_one_host_has_no_two_runs_either(permits) -> None:
    assert permits.grant(CONTENT, "h1/0", NOW)
    assert not permits.grant(CONTENT, "h1/1", NOW)


def test_the_next_may_run_once_it_is_given_back(permits) -> None:
    permits.grant(CONTENT, "h1/0", NOW)
    permits.release(CONTENT, "h2/0")
    assert not permits.grant(CONTENT, "h2/0", NOW)
    permits.release(CONTENT, "h1/0")
    assert permits.grant(CONTENT, "h2/0", NOW)


def test_a_host_that_is_lost_keeps_no_permit_for_long(permits) -> None:
    permits.grant(CONTENT, "h1/0", NOW)
    assert permits.grant(CONTENT, "h2/0", NOW + PERMIT_DURATION)
    permits.expire_permits(NOW + 2 * PERMIT_DURATION)
    assert not permits.permits
