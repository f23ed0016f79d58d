"""Answers requests that wish for an adapter on an engine that this host orders."""

import asyncio
from collections.abc import Callable, Mapping

from sardinequay_core.clock import Clock, seconds
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.engine_orders import Waiter
from sardinequay_core.names import AdapterRef, TargetId

from .ordered_engine import OrderedEngine
from .serving_messages import WantAdapter, WantReply

NEVER_S = float("inf")


class WishDesk:
    """Enters wishes in engines' books, and answers when they are met or must look on.

    Parameters
    ----------
    ordered : mapping
        The engines that this host orders; kept by its owner.
    opens_in_s : callable
        Returns in how long orders may be given, in seconds; infinite if never.
    """

    def __init__(
        self,
        ordered: Mapping[TargetId, OrderedEngine],
        opens_in_s: Callable[[], float],
        clock: Clock,
    ) -> None:
        self.ordered = ordered
        self.opens_in_s = opens_in_s
        self.clock = clock

    async def answer(self, message: WantAdapter) -> WantReply:
        """Have an adapter loaded, and answer when requests can use it."""
        engine = self.ordered.get(message.target)
        now = self.clock.monotonic()
        opens_in_s = self.opens_in_s()
        if engine is None or opens_in_s == NEVER_S:
            return WantReply(False, "not ordered here")
        book, adapter = engine.book, message.adapter
        book.complete_due_loads(now)
        if book.is_ready(adapter):
            return WantReply(True, "resident")
        until = now + seconds(message.wait_s)
        goal_at = now + seconds(message.goal_s)
        since = now - seconds(message.waited_s)
        waiter = Waiter(message.worth, goal_at, until, since)
        expected_s = opens_in_s + book.expected_wait_s(adapter, waiter, now)
        if expected_s > message.wait_s:
            return WantReply(False, "expected too late", expected_s)
        return await self.wait(engine, message, waiter)

    async def wait(
        self, engine: OrderedEngine, message: WantAdapter, waiter: Waiter
    ) -> WantReply:
        """Wait until an adapter is there, or until the request is to look again."""
        book, adapter = engine.book, message.adapter
        ticket = 0
        if adapter not in book.loading_until:
            ticket = book.add_waiter(adapter, waiter)
        future = engine.wait_for(adapter)
        engine.wake.set()
        try:
            async with asyncio.timeout(min(message.wait_s, message.look_s)):
                await future
            return WantReply(True, "loaded")
        except TimeoutError:
            book.cancel_waiter(adapter, ticket)
            return self.still_queued(book, adapter, waiter)
        except asyncio.CancelledError:
            if future.cancelled() and message.target not in self.ordered:
                return WantReply(False, "ordering ended")
            raise
        finally:
            book.cancel_waiter(adapter, ticket)
            engine.drop_waiter(adapter, future)

    def still_queued(
        self, book: EngineScheduler, adapter: AdapterRef, waiter: Waiter
    ) -> WantReply:
        """Return how long a request that has waited would still wait."""
        opens_in_s = self.opens_in_s()
        if opens_in_s == NEVER_S:
            return WantReply(False, "ordering ended")
        now = self.clock.monotonic()
        expected_s = opens_in_s + book.expected_wait_s(adapter, waiter, now)
        return WantReply(False, "queued", expected_s, is_queued=True)
