"""How tasks talk: typed messages to the task that owns the state."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any


@dataclass(slots=True)
class QueuedMessage:
    """A message on its way, and where its reply goes."""

    message: Any
    reply: asyncio.Future[Any] | None = None

    def reply_with(self, value: Any) -> None:
        """Reply, unless the asker is gone."""
        if self.reply is not None and not self.reply.done():
            self.reply.set_result(value)


@dataclass(slots=True)
class Mailbox:
    """The inbox of one task."""

    queue: asyncio.Queue[QueuedMessage] = field(default_factory=asyncio.Queue)

    def post(self, message: Any) -> None:
        """Send a message and expect no reply."""
        self.queue.put_nowait(QueuedMessage(message))

    async def request(self, message: Any) -> Any:
        """Send a message and wait for its reply."""
        reply = asyncio.get_running_loop().create_future()
        self.queue.put_nowait(QueuedMessage(message, reply))
        return await reply

    async def handle_messages(self, handle: Callable[[QueuedMessage], None]) -> None:
        """Hand every message to the owner of the state, one at a time."""
        while True:
            handle(await self.queue.get())


async def run_periodically(
    period_s: float, step: Callable[[], Awaitable[None] | None]
) -> None:
    """Run a step, then again a period after it ended, for good."""
    while True:
        result = step()
        if result is not None:
            await result
        await asyncio.sleep(period_s)
