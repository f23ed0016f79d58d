"""Watches whether another host orders the engines that this host may order.

Only a host that waits to order, or that holds the order lease without the votes of
hosts that it left out, has to know. It then asks the engines for their reports.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable

from returns.result import Success

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.order_candidate import OrderCandidate
from sardinequay_core.order_counts import COUNT_LAG, OrderCounts
from sardinequay_core.roster import Target

from .background_tasks import BackgroundTasks
from .serving_ports import EngineOrders

WATCH_PERIOD = seconds(0.4)
"""Time between two reports of an engine that is watched."""

log = logging.getLogger(__name__)


class EngineWatch:
    """Asks engines for the orders that they counted, and tells the candidate.

    Parameters
    ----------
    candidate : OrderCandidate
        This host's right to order engines.
    on_watched : callable
        Called after each round with whether engines counted others' orders.
    """

    def __init__(
        self,
        engines: EngineOrders,
        candidate: OrderCandidate,
        clock: Clock,
        on_watched: Callable[[bool], None],
    ) -> None:
        self.on_watched = on_watched
        self.engines = engines
        self.candidate = candidate
        self.clock = clock
        self.counts = OrderCounts()
        self.tasks = BackgroundTasks("engine watch")
        self.began_at: Instant | None = None
        self.next_round_at = clock.monotonic()

    def step(self, targets: Iterable[Target], has_voted: bool) -> None:
        """Start a round of reports if one is due.

        Parameters
        ----------
        has_voted : bool
            Whether this host's vote is another host's now, so that it elects no other.
        """
        now = self.clock.monotonic()
        if has_voted or not self.candidate.should_watch_engines(now):
            self.stop()
        elif now >= self.next_round_at and not self.tasks:
            if self.began_at is None:
                self.began_at = now
            self.next_round_at = now + WATCH_PERIOD
            watched = tuple(targets)
            self.counts.keep_only(frozenset(t.target_id for t in watched))
            self.tasks.start(self.ask_engines(watched, self.began_at))

    def stop(self) -> None:
        """Watch no longer."""
        if self.began_at is not None:
            self.began_at = None
            self.candidate.record_watch_ended()

    async def ask_engines(self, targets: tuple[Target, ...], began_at: Instant) -> None:
        """Ask all engines for their reports, and record what they show."""
        asked_at = self.clock.monotonic()
        foreign = await asyncio.gather(
            *(self.ask_engine(t, asked_at, began_at) for t in targets)
        )
        answered = [f for f in foreign if f is not None]
        if not answered or self.began_at != began_at:
            return
        if any(answered):
            engines = [t.target_id for t, f in zip(targets, foreign, strict=True) if f]
            log.warning("another host orders engines", extra={"engines": engines})
        if asked_at >= began_at + COUNT_LAG:
            self.on_watched(any(answered))

    async def ask_engine(
        self, target: Target, asked_at: Instant, began_at: Instant
    ) -> bool | None:
        """Return whether an engine counts other hosts' orders; None if unknown.

        Reports lag: what engines counted before the watch began shows a while later.
        """
        report = await self.engines.report(target)
        if not isinstance(report, Success):
            return None
        if asked_at < began_at + COUNT_LAG:
            self.counts.restart(target.target_id, report.unwrap(), asked_at)
            return False
        return self.counts.apply_report(target.target_id, report.unwrap(), asked_at)
