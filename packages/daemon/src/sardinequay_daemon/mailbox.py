"""Message queues of tasks; a task handles its messages one at a time."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class QueuedMessage:
    """Message in a mailbox, with the future of its reply if one is expected."""

    message: Any
    reply: asyncio.Future[Any] | None = None

    def reply_with(self, value: Any) -> None:
        """Set the reply, unless the sender has stopped waiting."""
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(value)

    def fail_with(self, error: Exception) -> bool:
        """Pass an error to the sender; return whether it waits for a reply."""
        if self.reply is None or self.reply.done():
            return False
        self.reply.set_exception(error)
        return True


@dataclass(slots=True)
class Mailbox:
    """Message queue of one task."""

    queue: asyncio.Queue[QueuedMessage] = field(default_factory=asyncio.Queue)

    def post(self, message: Any) -> None:
        """Queue a message without expecting a reply."""
        self.queue.put_nowait(QueuedMessage(message))

    async def request(self, message: Any) -> Any:
        """Queue a message and wait for its reply."""
        reply = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(QueuedMessage(message, reply))
        return await reply

    async def handle_messages(self, handler: Callable[[QueuedMessage], None]) -> None:
        """Call a handler with every message, one at a time, for good."""
        while True:
            handler(await self.queue.get())


async def run_periodically(
    period_s: float, function: Callable[[], Awaitable[None] | None]
) -> None:
    """Call a function, then again a period after it has returned, for good."""
    while True:
        result = function()
        if result is not None:
            await result
        await asyncio.sleep(period_s)
