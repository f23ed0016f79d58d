"""Errors that nobody foresaw: they are logged and counted, and cost one item alone.

An item is what others send: an entry of the store, a report, a message of a peer. Each
is decoded into a type, or gives a typed error. What is raised beyond that is a fault of
this program. It must not end a task that others depend on, nor stay unseen.
"""

import asyncio
import logging
from collections.abc import Callable
from typing import Any, TypeVar

from reactivex import Observable

from .metrics import HostMetrics

MAX_KEY_CHARS = 200
MAX_DETAIL_CHARS = 500
"""Most of an item's key, and of an error's text, that is logged."""

ANSWER_KIND = "answer of a target"
CATALOGUE_KIND = "catalogue"
DIGEST_KIND = "digest"
TASK_KIND = "task"
"""Kind of the items of tasks that nobody awaits and that name no other kind."""

Item = TypeVar("Item")
log = logging.getLogger(__name__)


def record_unforeseen(
    metrics: HostMetrics, kind: str, key: str, error: BaseException
) -> None:
    """Log and count an error that handling an item raised unforeseen.

    Parameters
    ----------
    kind : str
        What the item is; one of a few words, as it is a label of the metric.
    key : str
        Which item of its kind it is.
    """
    metrics.unforeseen_errors.inc({"kind": kind})
    extra = {
        "kind": kind,
        "key": key[:MAX_KEY_CHARS],
        "detail": repr(error)[:MAX_DETAIL_CHARS],
    }
    log.error("item failed unforeseen", extra=extra, exc_info=error)


def subscribe_contained(
    items: Observable[Item],
    handler: Callable[[Item], Any],
    metrics: HostMetrics,
    kind: str,
) -> None:
    """Call a handler with each item; what it raises keeps no other handler from it."""

    def handle(item: Item) -> None:
        try:
            handler(item)
        except Exception as error:
            key = getattr(handler, "__qualname__", repr(handler))
            record_unforeseen(metrics, kind, key, error)

    items.subscribe(handle)


def install_error_handler(metrics: HostMetrics) -> None:
    """Record what tasks that nobody awaits raise, and callbacks of the event loop."""

    def handle(_: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        error = context.get("exception") or RuntimeError(str(context.get("message")))
        task = context.get("task") or context.get("future")
        name = task.get_name() if isinstance(task, asyncio.Task) else ""
        key = str(context.get("key") or name or context.get("message", ""))
        record_unforeseen(metrics, str(context.get("kind", TASK_KIND)), key, error)

    asyncio.get_running_loop().set_exception_handler(handle)
