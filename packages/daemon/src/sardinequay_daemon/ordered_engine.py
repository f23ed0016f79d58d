"""An engine that this host orders, and the words for its orders."""

import asyncio
from dataclasses import dataclass, field

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.engine_book import EngineBook
from sardinequay_core.engine_orders import LoadAdapter, LoadModel, Order, UnloadAdapter
from sardinequay_core.names import AdapterRef


@dataclass(slots=True)
class OrderedEngine:
    """An engine that this host orders: its book, and the task that carries it out."""

    published: PublishedTarget
    book: EngineBook
    wake: asyncio.Event = field(default_factory=asyncio.Event)
    ready: dict[AdapterRef, list[asyncio.Future[None]]] = field(default_factory=dict)
    task: asyncio.Task[None] | None = None


def subject_of(order: Order) -> str:
    """Return what an order is about."""
    if isinstance(order, LoadModel):
        return order.model
    assert isinstance(order, LoadAdapter | UnloadAdapter)
    return str(order.adapter)
