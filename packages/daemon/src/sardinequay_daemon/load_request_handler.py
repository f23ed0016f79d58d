"""Handles peers' requests to load an adapter on an engine that this host orders."""

import asyncio
from collections.abc import Callable, Mapping

from sardinequay_core.clock import Clock, seconds
from sardinequay_core.engine_orders import Waiter
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.names import AdapterRef, TargetId
from sardinequay_core.residency import AdapterUses

from .managed_engine import ManagedEngine
from .serving_messages import WantAdapter, WantReply

NEVER_S = float("inf")


class LoadRequestHandler:
    """Queues load requests at the engines' schedulers and replies when they end.

    Parameters
    ----------
    managed_engines : mapping
        The engines that this host orders; updated by the caller.
    orders_in_s : callable
        Returns the time until orders may be sent, in seconds; infinite if never.
    uses : AdapterUses
        Which adapters running requests use on each engine.
    """

    def __init__(
        self,
        managed_engines: Mapping[TargetId, ManagedEngine],
        orders_in_s: Callable[[], float],
        clock: Clock,
        uses: AdapterUses,
    ) -> None:
        self.managed_engines = managed_engines
        self.orders_in_s = orders_in_s
        self.clock = clock
        self.uses = uses

    async def handle(self, message: WantAdapter) -> WantReply:
        """Have an adapter loaded, and reply when requests can use it.

        Replies at once if the adapter is ready, if this host doesn't order the engine,
        or if the load is expected to end after the request's deadline.
        """
        engine = self.managed_engines.get(message.target)
        now = self.clock.monotonic()
        orders_in_s = self.orders_in_s()
        if engine is None or orders_in_s == NEVER_S:
            return WantReply(False, "not ordered here")
        scheduler, adapter = engine.scheduler, message.adapter
        scheduler.complete_due_loads(now)
        if scheduler.is_ready(adapter):
            return WantReply(True, "resident")
        deadline = now + seconds(message.wait_s)
        goal_at = now + seconds(message.goal_s)
        waiting_since = now - seconds(message.waited_s)
        waiter = Waiter(message.worth, goal_at, deadline, waiting_since)
        expected_s = orders_in_s + self.expected_wait_s(scheduler, adapter, waiter)
        if expected_s > message.wait_s:
            return WantReply(False, "expected too late", expected_s)
        return await self.wait_until_loaded(engine, message, waiter)

    async def wait_until_loaded(
        self, engine: ManagedEngine, message: WantAdapter, waiter: Waiter
    ) -> WantReply:
        """Wait until an adapter is loaded, for at most `message.look_s`.

        The sender then compares its targets again with the new expected wait.
        """
        scheduler, adapter = engine.scheduler, message.adapter
        ticket = 0
        if adapter not in scheduler.loading_until:
            ticket = scheduler.add_waiter(adapter, waiter)
        future = engine.add_load_waiter(adapter)
        engine.wake.set()
        try:
            async with asyncio.timeout(min(message.wait_s, message.look_s)):
                await future
            return WantReply(True, "loaded")
        except TimeoutError:
            scheduler.cancel_waiter(adapter, ticket)
            return self.queued_reply(scheduler, adapter, waiter)
        except asyncio.CancelledError:
            if future.cancelled() and message.target not in self.managed_engines:
                return WantReply(False, "ordering ended")
            raise
        finally:
            scheduler.cancel_waiter(adapter, ticket)
            engine.remove_load_waiter(adapter, future)

    def queued_reply(
        self, scheduler: EngineScheduler, adapter: AdapterRef, waiter: Waiter
    ) -> WantReply:
        """Return a reply with the remaining expected wait of a queued request."""
        orders_in_s = self.orders_in_s()
        if orders_in_s == NEVER_S:
            return WantReply(False, "ordering ended")
        expected_s = orders_in_s + self.expected_wait_s(scheduler, adapter, waiter)
        return WantReply(False, "queued", expected_s, is_queued=True)

    def expected_wait_s(
        self, scheduler: EngineScheduler, adapter: AdapterRef, waiter: Waiter
    ) -> float:
        """Return the expected wait of one more request once orders may be sent."""
        in_use = self.uses.counts_on(scheduler.target)
        now = self.clock.monotonic()
        return scheduler.expected_wait_s(adapter, waiter, in_use, now)
