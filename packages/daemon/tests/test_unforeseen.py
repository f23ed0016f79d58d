"""Errors that nobody foresaw are logged and counted, and cost one item alone."""

import asyncio
import logging

import pytest
from reactivex.subject import Subject

from sardinequay_daemon.background_tasks import BackgroundTasks
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.unforeseen import (
    MAX_KEY_CHARS,
    TASK_KIND,
    install_error_handler,
    record_unforeseen,
    subscribe_contained,
)


@pytest.fixture
async def handler(metrics: Metrics) -> None:
    install_error_handler(metrics)


def counted(metrics: Metrics, kind: str) -> float:
    return metrics.unforeseen_errors.get({"kind": kind})


async def fail(error: BaseException) -> None:
    raise error


def test_error_is_logged_with_its_kind_and_key(metrics: Metrics, caplog) -> None:
    record_unforeseen(metrics, "report", "k" * 5_000, RecursionError("deep"))
    line = caplog.records[0]
    assert (line.levelno, line.kind, line.key) == (
        logging.ERROR,
        "report",
        "k" * MAX_KEY_CHARS,
    )
    assert "deep" in line.detail
    assert counted(metrics, "report") == 1


def test_handler_that_fails_keeps_no_other_from_an_item(metrics: Metrics) -> None:
    items: Subject[int] = Subject()
    handled: list[int] = []

    def handle(item: int) -> None:
        if item == 1:
            raise KeyError(item)
        handled.append(item)

    subscribe_contained(items, handle, metrics, "catalogue")
    subscribe_contained(items, handled.append, metrics, "catalogue")
    for item in (0, 1, 2):
        items.on_next(item)
    assert handled == [0, 0, 1, 2, 2]
    assert counted(metrics, "catalogue") == 1


async def test_background_task_that_fails_is_counted_at_once(
    metrics: Metrics, handler: None, caplog
) -> None:
    tasks = BackgroundTasks("digest")
    kept = tasks.start(fail(RecursionError("deep")), "h2")
    await asyncio.wait((kept,))
    await asyncio.sleep(0)
    assert counted(metrics, "digest") == 1
    assert caplog.records[0].key == "h2"
    assert not tasks


async def test_background_task_that_is_cancelled_is_no_error(
    metrics: Metrics, handler: None, caplog
) -> None:
    tasks = BackgroundTasks("digest")
    tasks.start(asyncio.sleep(60))
    tasks.cancel()
    await asyncio.sleep(0.01)
    assert not tasks
    assert not caplog.records


async def test_task_that_is_forgotten_is_counted(
    metrics: Metrics, handler: None
) -> None:
    forgotten = asyncio.create_task(fail(KeyError("x")))
    await asyncio.wait((forgotten,))
    del forgotten
    assert counted(metrics, TASK_KIND) == 1


async def test_callback_that_fails_is_counted(metrics: Metrics, handler: None) -> None:
    def call() -> None:
        raise KeyError("x")

    asyncio.get_running_loop().call_soon(call)
    await asyncio.sleep(0.01)
    assert counted(metrics, TASK_KIND) == 1
