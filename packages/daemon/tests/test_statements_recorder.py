"""What hosts record and log of targets that leave or ask for a backoff."""

from datetime import timedelta

import pytest
from returns.result import Failure, Success

from sardinequay_core.clock import seconds
from sardinequay_core.statements.target_statements import TargetStatements
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import InvalidValue
from sardinequay_daemon.statements.recorder import StatementRecorder

from .conftest import ManualClock
from .limit_helpers import TARGET, TARGET_ID, facts


@pytest.fixture
def recorder(clock: ManualClock) -> StatementRecorder:
    return StatementRecorder(TargetStatements(), clock, ServingMetrics("h1", "za"))


def hear(recorder: StatementRecorder, status: int = 200, **stated) -> None:
    recorder.record_answer(TARGET, facts(Success(None), **stated), status, "r1")


def hear_backoff(recorder: StatementRecorder, backoff_s: float) -> None:
    hear(recorder, 503, not_run=True, backoff=Success(seconds(backoff_s)))


def backoff_left(recorder: StatementRecorder) -> timedelta:
    now = recorder.clock.monotonic()
    return recorder.statements.backoffs.left(TARGET_ID, 1, now)


def is_leaving(recorder: StatementRecorder) -> bool:
    return recorder.statements.leaving.find(TARGET_ID, 1) is not None


def test_target_that_says_so_is_leaving_and_logged_once(recorder, caplog) -> None:
    caplog.set_level("INFO")
    hear(recorder)
    assert not is_leaving(recorder)
    for _ in range(3):
        hear(recorder, is_leaving=Success(True))
    hear(recorder)
    assert is_leaving(recorder)
    assert [r.getMessage() for r in caplog.records] == ["target leaving"]


def test_answer_of_another_process_states_nothing(recorder) -> None:
    hear(recorder, is_leaving=Success(True), instance="another")
    hear(recorder, is_leaving=Success(True), is_misdirected=True)
    assert not is_leaving(recorder)
    hear(recorder, is_leaving=Success(True), is_misdirected=True, instance="t")
    assert is_leaving(recorder)


def test_backoff_binds_until_its_end(recorder, clock, caplog) -> None:
    caplog.set_level("INFO")
    hear_backoff(recorder, 3)
    clock.advance(1)
    hear_backoff(recorder, 1)
    assert backoff_left(recorder) == seconds(2)
    assert [r.getMessage() for r in caplog.records] == ["target backoff"]


def test_invalid_statements_are_logged_and_change_nothing(recorder, caplog) -> None:
    invalid = Failure(InvalidValue("soon"))
    for _ in range(3):
        hear(recorder, 503, is_leaving=invalid, backoff=invalid)
    assert not is_leaving(recorder)
    assert not backoff_left(recorder)
    assert [r.getMessage() for r in caplog.records] == ["target statement invalid"]


def test_gauges_show_what_holds_now(recorder, clock) -> None:
    hear_backoff(recorder, 3)
    hear(recorder, is_leaving=Success(True))
    recorder.expire()
    assert list(recorder.metrics.target_backoffs.values.values()) == [1]
    assert list(recorder.metrics.leaving_targets.values.values()) == [1]
    clock.advance(4)
    recorder.expire()
    assert list(recorder.metrics.target_backoffs.values.values()) == [0]
    assert list(recorder.metrics.leaving_targets.values.values()) == [1]
