"""Tasks that nobody awaits; what they raise is handed to the event loop's handler."""

import asyncio
from collections.abc import Coroutine, Iterator
from typing import Any, TypeVar

Result = TypeVar("Result")


class BackgroundTasks:
    """Keeps references to running tasks, and reports those that fail.

    Parameters
    ----------
    kind : str
        What the tasks do, in a few words, for logs and metrics.
    """

    def __init__(self, kind: str) -> None:
        self.kind = kind
        self.running: set[asyncio.Task[Any]] = set()

    def start(
        self, work: Coroutine[Any, Any, Result], key: str = ""
    ) -> asyncio.Task[Result]:
        """Start a task.

        Parameters
        ----------
        key : str
            What the task is about, for the log.
        """
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(lambda done: self.finish(done, key))
        return task

    def finish(self, task: asyncio.Task[Any], key: str) -> None:
        """Forget a task that has ended, and report what it raised."""
        self.running.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            context = {
                "message": "a background task failed",
                "exception": error,
                "task": task,
                "kind": self.kind,
                "key": key,
            }
            task.get_loop().call_exception_handler(context)

    def __iter__(self) -> Iterator[asyncio.Task[Any]]:
        """Return an iterator over the tasks that run now."""
        return iter(tuple(self.running))

    def __len__(self) -> int:
        """Return the number of running tasks."""
        return len(self.running)

    def cancel(self) -> None:
        """Cancel all running tasks."""
        for task in self:
            task.cancel()
