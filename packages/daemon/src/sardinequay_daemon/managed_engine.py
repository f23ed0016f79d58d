"""The state of an engine that this host orders, and the log subject of an order."""

import asyncio
from dataclasses import dataclass, field

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.engine_orders import (
    EngineOrder,
    LoadAdapter,
    LoadModel,
    UnloadAdapter,
)
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.names import AdapterRef


@dataclass(slots=True)
class ManagedEngine:
    """An engine that this host orders: its scheduler and the task that runs it.

    Parameters
    ----------
    wake : asyncio.Event
        Set when the scheduler may have a new step.
    load_waiters : dict
        Futures of the load requests that wait, by adapter.
    """

    published: PublishedTarget
    scheduler: EngineScheduler
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    load_waiters: dict[AdapterRef, list[asyncio.Future[None]]] = field(
        default_factory=dict
    )
    task: asyncio.Task[None] | None = None

    def add_load_waiter(self, adapter: AdapterRef) -> asyncio.Future[None]:
        """Return a future that completes when the adapter is loaded.

        It is cancelled when this host stops ordering the engine.
        """
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.load_waiters.setdefault(adapter, []).append(future)
        return future

    def remove_load_waiter(
        self, adapter: AdapterRef, future: asyncio.Future[None]
    ) -> None:
        """Remove a future that waits for an adapter."""
        waiting = self.load_waiters.get(adapter, [])
        if future in waiting:
            waiting.remove(future)
        if not waiting:
            self.load_waiters.pop(adapter, None)

    def resolve_load_waiters(self) -> None:
        """Complete the futures of adapters that are loaded."""
        for adapter in tuple(self.load_waiters):
            if not self.scheduler.is_ready(adapter):
                continue
            for future in self.load_waiters.pop(adapter):
                if not future.done():
                    future.set_result(None)


def order_subject(order: EngineOrder) -> str:
    """Return the base model or the adapter of an order."""
    if isinstance(order, LoadModel):
        return order.model
    assert isinstance(order, LoadAdapter | UnloadAdapter)
    return str(order.adapter)
