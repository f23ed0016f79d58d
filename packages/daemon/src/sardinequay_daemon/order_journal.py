"""Journal entries on why a keeper ordered a load or an eviction."""

from sardinequay_core.clock import Clock
from sardinequay_core.engine_record import LoadCommand, UnloadCommand
from sardinequay_core.load_queue import LoadQueue

from .journal import Journal


class OrderJournal:
    """Records the orders of keepers with the state of the queue behind them."""

    def __init__(self, journal: Journal, clock: Clock) -> None:
        self.journal = journal
        self.clock = clock

    def record_load(self, queue: LoadQueue, order: LoadCommand) -> None:
        """Record in the journal why a load was ordered."""
        adapter, now = order.use.adapter, self.clock.monotonic()
        waiting = queue.waiting.get(adapter)
        self.journal.record(
            order_id("load", order.token),
            "ordered",
            adapter=str(adapter),
            engine=order.use.target,
            waiting_requests=len(waiting.deadlines) if waiting else 0,
            demand=round(queue.demand.decayed_count(adapter, now), 3),
            priority=round(queue.priority(adapter, now), 3),
            others_waiting=[
                str(a) for a in queue.loadable_adapters(now)[:5] if a != adapter
            ],
        )

    def record_unload(self, queue: LoadQueue, order: UnloadCommand) -> None:
        """Record in the journal why an eviction was ordered."""
        now = self.clock.monotonic()
        self.journal.record(
            order_id("evict", order.token),
            "ordered",
            adapter=str(order.use.adapter),
            engine=order.use.target,
            priority=round(queue.priority(order.use.adapter, now), 3),
            leases="none can still be used",
        )


def order_id(kind: str, token: int) -> str:
    """Return the id of an order in the journal, as operators look it up."""
    return f"{kind}-{token:x}"
