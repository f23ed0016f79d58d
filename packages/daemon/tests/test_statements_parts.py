"""Waits for targets that take no request now, and what ends them."""

import asyncio
from collections.abc import AsyncIterator
from random import Random

import pytest
from reactivex.subject import Subject
from returns.result import Success

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId
from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_core.statements.backoff import BackoffStatement
from sardinequay_core.statements.leaving import LeavingStatement
from sardinequay_daemon.relay_state import RelayState
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import ControlAnswer
from sardinequay_daemon.statements.parts import StatementParts
from sardinequay_daemon.statements.permit_request import PermitRequest
from sardinequay_daemon.system_clock import SystemClock

from .limit_helpers import TARGET, TARGET_ID, facts
from .picker_world import Fleet

LONG, SHORT = seconds(30), seconds(0.05)


@pytest.fixture
async def parts() -> AsyncIterator[StatementParts]:
    clock, fleet = SystemClock(), Fleet()
    fleet.request_update = lambda far: None
    state = RelayState("za", clock, Random(1), RepeatPolicy(), fleet)
    state.apply_catalogue(Catalogue(targets={TARGET_ID: TARGET}))
    metrics = ServingMetrics("h1", "za")
    yield StatementParts(HostId("h1"), state, fleet, None, clock, lambda: 0.5, metrics)


def back_off(parts: StatementParts, backoff) -> None:
    now = parts.clock.monotonic()
    parts.state.statements.backoffs.record(
        TARGET_ID, BackoffStatement(1, now, now + backoff)
    )


async def permit(parts: StatementParts, max_wait):
    return await parts.permit_send(PermitRequest("r1", TARGET, max_wait, LONG))


async def test_request_waits_for_the_end_of_a_backoff(parts) -> None:
    back_off(parts, SHORT)
    assert await permit(parts, LONG) is not None
    assert not parts.state.wants_backoff(TARGET_ID)


async def test_request_that_others_can_serve_does_not_wait(parts) -> None:
    back_off(parts, LONG)
    assert await permit(parts, None) is None
    assert await permit(parts, SHORT) is None


async def test_wait_ends_at_once_when_the_target_begins_to_leave(parts) -> None:
    back_off(parts, LONG)
    waiting = asyncio.create_task(permit(parts, LONG * 2))
    await asyncio.sleep(0.01)
    assert not waiting.done()
    stated = LeavingStatement(1, parts.clock.monotonic())
    parts.recorders.leaving.record(TARGET_ID, stated)
    async with asyncio.timeout(5):
        assert await waiting is None
    assert not parts.recorders.leaving.waiting


async def test_answers_to_status_queries_and_orders_count_as_well(parts) -> None:
    engines = type("Engines", (), {"answers": Subject()})()
    engines.answers.subscribe(parts.record_control_answer)
    answer = facts(Success(None), is_leaving=Success(True))
    engines.answers.on_next(ControlAnswer(TARGET_ID, 200, answer))
    assert not parts.state.is_live(TARGET_ID)
