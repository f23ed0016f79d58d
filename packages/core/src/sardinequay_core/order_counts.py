"""Orders that engines have counted, to notice those that another host sent.

Each engine reports how many orders it has accepted since its start. A count that rises
by more than this host's own orders shows that another host orders the engine. Hosts
that can't reach each other may still reach the same engine, so this needs no link
between them.
"""

from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .engine_orders import EngineStatus
from .engine_state import REPORT_LAG_S
from .names import TargetId

COUNT_LAG = seconds(REPORT_LAG_S)
"""A report that was requested so long after an order has counted it."""


@dataclass(slots=True)
class OrderCount:
    """What is known of the orders that one engine has counted.

    Parameters
    ----------
    orders : int
        Count in the newest report.
    own_orders : int
        Orders of this host that this count may lack.
    """

    incarnation: int
    orders: int
    own_orders: int = 0
    last_own_order_at: Instant = ZERO


@dataclass(slots=True)
class OrderCounts:
    """The order counts of a data centre's engines.

    Parameters
    ----------
    sent_at : dict
        When this host sent its latest orders to each engine.
    """

    counts: dict[TargetId, OrderCount] = field(default_factory=dict)
    sent_at: dict[TargetId, list[Instant]] = field(default_factory=dict)

    def begin_own_order(self, target: TargetId, now: Instant) -> None:
        """Record that this host sends an order, which the engine may count."""
        recent = [at for at in self.sent_at.get(target, ()) if now - at < COUNT_LAG]
        self.sent_at[target] = [*recent, now]
        count = self.counts.get(target)
        if count is not None:
            count.own_orders += 1
            count.last_own_order_at = now

    def end_own_order(
        self, target: TargetId, may_be_counted: bool, now: Instant
    ) -> None:
        """Record the end of an order's call, and whether the engine may count it."""
        count = self.counts.get(target)
        if count is None:
            return
        count.last_own_order_at = now
        if not may_be_counted:
            count.own_orders = max(0, count.own_orders - 1)

    def restart(
        self, target: TargetId, status: EngineStatus, asked_at: Instant
    ) -> None:
        """Count from a report on: it proves nothing of orders before.

        It may lack this host's own orders of a moment ago.
        """
        own = [at for at in self.sent_at.get(target, ()) if asked_at - at < COUNT_LAG]
        last_own_order_at = max(own, default=ZERO)
        self.counts[target] = OrderCount(
            status.incarnation, status.orders, len(own), last_own_order_at
        )

    def apply_report(
        self, target: TargetId, status: EngineStatus, asked_at: Instant
    ) -> bool:
        """Apply a report; return whether it counts orders of another host."""
        count = self.counts.get(target)
        if count is None or status.incarnation > count.incarnation:
            self.restart(target, status, asked_at)
            return False
        rise = status.orders - count.orders
        if status.incarnation < count.incarnation or rise < 0:
            return False
        is_foreign = rise > count.own_orders
        count.orders = status.orders
        count.own_orders = max(0, count.own_orders - rise)
        if asked_at >= count.last_own_order_at + COUNT_LAG:
            count.own_orders = 0
        return is_foreign

    def keep_only(self, targets: frozenset[TargetId]) -> None:
        """Forget the engines that are gone."""
        for target in self.counts.keys() - targets:
            del self.counts[target]
        for target in self.sent_at.keys() - targets:
            del self.sent_at[target]
