"""What hosts record and log of targets that leave or ask for a backoff."""

from datetime import timedelta

import pytest
from returns.result import Failure, Success

from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId
from sardinequay_core.statements.leaving import LeavingStatement
from sardinequay_core.statements.target_statements import TargetStatements
from sardinequay_daemon.header_values import InvalidValue
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.statements.messages import LeavingNews
from sardinequay_daemon.statements.recorders import StatementRecorders

from .conftest import ManualClock
from .limit_helpers import TARGET, TARGET_ID, facts


@pytest.fixture
def announcements() -> list[str]:
    return []


@pytest.fixture
def recorders(clock: ManualClock, announcements: list[str]) -> StatementRecorders:
    return StatementRecorders(
        TargetStatements(),
        clock,
        ServingMetrics("h1", "za"),
        lambda: announcements.append("limit"),
        lambda: announcements.append("leaving"),
    )


def hear(recorders: StatementRecorders, status: int = 200, **stated) -> None:
    answer = facts(Success(None), **stated)
    recorders.record_answer(
        TARGET, answer, status, recorders.backoffs.clock.monotonic()
    )


def hear_backoff(recorders: StatementRecorders, backoff_s: float) -> None:
    hear(recorders, 503, not_run=True, backoff=Success(seconds(backoff_s)))


def backoff_left(recorders: StatementRecorders) -> timedelta:
    now = recorders.backoffs.clock.monotonic()
    return recorders.backoffs.backoffs.wait(TARGET_ID, 1, now)


def is_leaving(recorders: StatementRecorders) -> bool:
    return recorders.leaving.leaving.find(TARGET_ID, 1) is not None


def test_target_that_says_so_is_leaving_and_logged_once(recorders, caplog) -> None:
    caplog.set_level("INFO")
    hear(recorders)
    assert not is_leaving(recorders)
    for _ in range(3):
        hear(recorders, is_leaving=Success(True))
    hear(recorders)
    assert is_leaving(recorders)
    assert [r.getMessage() for r in caplog.records] == ["target leaving"]


def test_answer_of_another_process_states_nothing(recorders) -> None:
    hear(recorders, is_leaving=Success(True), instance="another")
    hear(recorders, is_leaving=Success(True), is_misdirected=True)
    assert not is_leaving(recorders)
    hear(recorders, is_leaving=Success(True), is_misdirected=True, instance="t")
    assert is_leaving(recorders)


def test_backoff_binds_until_its_end(recorders, clock, caplog) -> None:
    caplog.set_level("INFO")
    hear_backoff(recorders, 3)
    clock.advance(1)
    hear_backoff(recorders, 1)
    assert backoff_left(recorders) == seconds(2)
    assert [r.getMessage() for r in caplog.records] == ["target backoff"]


def test_invalid_statements_are_logged_and_change_nothing(recorders, caplog) -> None:
    invalid = Failure(InvalidValue("soon"))
    for _ in range(3):
        hear(recorders, 503, is_leaving=invalid, backoff=invalid)
    assert not is_leaving(recorders)
    assert not backoff_left(recorders)
    assert [r.getMessage() for r in caplog.records] == [
        "target leaving invalid",
        "target backoff invalid",
    ]


def test_gauges_show_what_holds_now(recorders, clock) -> None:
    hear_backoff(recorders, 3)
    hear(recorders, is_leaving=Success(True))
    recorders.expire()
    assert list(recorders.backoffs.metrics.target_backoffs.values.values()) == [1]
    assert list(recorders.backoffs.metrics.leaving_targets.values.values()) == [1]
    clock.advance(4)
    recorders.expire()
    assert list(recorders.backoffs.metrics.target_backoffs.values.values()) == [0]
    assert list(recorders.backoffs.metrics.leaving_targets.values.values()) == [1]


def test_what_a_peer_tells_of_a_leaving_target_holds_as_if_it_was_heard(
    recorders, announcements, clock
) -> None:
    news = LeavingNews(TARGET_ID, 1, 0.5)
    recorders.leaving.apply_reports([news], HostId("h2"))
    recorders.leaving.apply_reports([news], HostId("h3"))
    stated = recorders.leaving.leaving.find(TARGET_ID, 1)
    assert stated == LeavingStatement(1, clock.monotonic() - seconds(0.5))
    assert announcements == ["leaving"]
    assert recorders.leaving.changed_since(0, 9) == (news,)
    assert recorders.leaving.changed_since(1, 9) == ()
