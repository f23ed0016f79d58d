"""Runs the schedulers of engines: sends their orders and status queries.

The lease is checked right before the bytes of an order are written, with no await in
between.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import replace

from returns.result import Success

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import Clock
from sardinequay_core.engine_orders import AskReport, EngineOrder, Rest
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import OrderCandidate
from sardinequay_core.order_counts import OrderCounts
from sardinequay_core.residency import AdapterUses
from sardinequay_core.roster import Target
from sardinequay_core.serving import EnginePool, TargetPool

from .managed_engine import ManagedEngine, order_subject
from .path_monitor import PathMonitor
from .serving_metrics import ServingMetrics
from .serving_ports import EngineOrders, OrderAccepted, OrderRefused, OrderTerms
from .unforeseen import record_unforeseen

LEASE_POLL_S = 0.08
"""Interval between checks of the order lease while an order waits for it."""

REPORT_RETRY_PAUSE_S = 0.3
"""Pause before the next report request after an engine returned no report."""

FAULT_PAUSE_S = 0.3
"""Pause after a step that failed unforeseen, in seconds."""

log = logging.getLogger(__name__)


class EngineRunner:
    """Performs the steps of engines' schedulers.

    Parameters
    ----------
    candidate : OrderCandidate
        This host's right to order engines.
    counts : OrderCounts
        Orders that engines count; it is told of this host's own ones.
    on_holdings_changed : callable
        Called after an order or a report changed what an engine holds.
    """

    def __init__(
        self,
        me: HostId,
        engines: EngineOrders,
        candidate: OrderCandidate,
        counts: OrderCounts,
        clock: Clock,
        metrics: ServingMetrics,
        uses: AdapterUses,
        on_holdings_changed: Callable[[], None],
    ) -> None:
        self.me = me
        self.engines = engines
        self.candidate = candidate
        self.counts = counts
        self.clock = clock
        self.metrics = metrics
        self.uses = uses
        self.on_holdings_changed = on_holdings_changed
        self.catalogue = Catalogue()
        self.paths: PathMonitor | None = None
        self.is_unreached = False

    def record_call(self, target: Target, is_answered: bool) -> None:
        """Record whether an engine answered a call, and check the path if not."""
        self.is_unreached = not is_answered
        if not is_answered and self.paths is not None:
            self.paths.check(target.address)

    def reset_scheduler(
        self, engine: ManagedEngine, published: PublishedTarget
    ) -> None:
        """Replace the scheduler of an engine that restarted under the same id.

        No state of the previous incarnation applies. An order meant for it may have
        reached the new one, and reports lag: the new scheduler starts in doubt, so that
        it ignores reports that may be older than such an order.
        """
        previous = engine.scheduler
        log.info(
            "engine started again",
            extra={
                "target": previous.target,
                "before": previous.incarnation,
                "after": published.incarnation,
            },
        )
        engine.published = published
        self.begin_scheduler(engine, published.incarnation)

    def begin_scheduler(self, engine: ManagedEngine, incarnation: int) -> None:
        """Replace an engine's scheduler by one that knows nothing of the engine."""
        previous = engine.scheduler
        engine.scheduler = EngineScheduler(
            previous.target,
            previous.max_adapters,
            incarnation,
            previous.change_number + 1,
        )
        engine.scheduler.mark_in_doubt(self.clock.monotonic())
        engine.wake.set()

    async def run(self, engine: ManagedEngine) -> None:
        """Perform the steps of an engine's scheduler until the task is cancelled.

        After a step that failed unforeseen, the engine is asked anew what it holds.
        """
        while True:
            try:
                await self.run_step(engine)
            except Exception as error:
                target = engine.scheduler.target
                record_unforeseen(self.metrics, "engine", target, error)
                await asyncio.sleep(FAULT_PAUSE_S)
                self.begin_scheduler(engine, engine.scheduler.incarnation)

    async def run_step(self, engine: ManagedEngine) -> None:
        """Perform the next step of an engine's scheduler."""
        scheduler = engine.scheduler
        now = self.clock.monotonic()
        engine.wake.clear()
        self.refresh_scheduler_inputs(engine)
        step = scheduler.next_step(self.uses.counts_on(scheduler.target), now)
        engine.resolve_load_waiters()
        if isinstance(step, Rest):
            await self.wait_for_wake(engine, step.for_s)
        elif isinstance(step, AskReport):
            await self.request_report(engine)
        elif self.candidate.can_order(now):
            await self.send_order(engine, step)
        else:
            await self.wait_for_wake(engine, LEASE_POLL_S)

    async def wait_for_wake(self, engine: ManagedEngine, timeout_s: float) -> None:
        """Wait until the engine's wake event is set, for at most `timeout_s`."""
        try:
            async with asyncio.timeout(timeout_s):
                await engine.wake.wait()
        except TimeoutError:
            return

    def refresh_scheduler_inputs(self, engine: ManagedEngine) -> None:
        """Set the scheduler's adapter slots, and its base model if none is loaded."""
        config = self.catalogue.config
        pool = config.pools.get(engine.published.target.pool) if config else None
        if pool is None or pool.engines is None:
            return
        engine.scheduler.max_adapters = pool.engines.adapter_capacity(
            engine.scheduler.models
        )
        engine.scheduler.requested_model = None
        if not engine.scheduler.models and engine.scheduler.accepted_orders is not None:
            engine.scheduler.requested_model = self.least_replicated_model(
                pool, pool.engines
            )

    def least_replicated_model(
        self, pool: TargetPool, engines: EnginePool
    ) -> str | None:
        """Return the base model that the fewest live engines of a pool have loaded."""
        engine_counts = dict.fromkeys(engines.loadable_models(), 0)
        for other in self.catalogue.live_targets(pool.name):
            for model in other.models & engine_counts.keys():
                engine_counts[model] += 1
        return min(engine_counts, key=lambda m: (engine_counts[m], m), default=None)

    async def request_report(self, engine: ManagedEngine) -> None:
        """Request an engine's report and record it in the scheduler.

        A report of a later incarnation resets the scheduler instead.
        """
        asked_at = self.clock.monotonic()
        report = await self.engines.report(engine.published.target)
        now = self.clock.monotonic()
        self.record_call(engine.published.target, isinstance(report, Success))
        if isinstance(report, Success):
            status = report.unwrap()
            if status.incarnation > engine.scheduler.incarnation:
                self.reset_scheduler(
                    engine, replace(engine.published, incarnation=status.incarnation)
                )
                return
            change_number = engine.scheduler.change_number
            engine.scheduler.apply_report(status, asked_at, now)
            if engine.scheduler.change_number != change_number:
                self.log_holdings(engine, "report")
                self.on_holdings_changed()
            return
        detail = str(report.failure())
        log.info(
            "no report", extra={"target": engine.scheduler.target, "detail": detail}
        )
        await self.wait_for_wake(engine, REPORT_RETRY_PAUSE_S)

    async def send_order(self, engine: ManagedEngine, order: EngineOrder) -> None:
        """Send one order and record its result in the scheduler."""
        scheduler, target = engine.scheduler, engine.published.target
        expected = scheduler.expected_order_count(order)
        terms = OrderTerms(self.me, self.candidate.token, expected)
        sent_at = self.clock.monotonic()
        self.candidate.record_order(sent_at)
        self.counts.begin_own_order(target.target_id, sent_at)
        result = await self.engines.order(target, order, terms)
        now = self.clock.monotonic()
        self.candidate.record_order(now)
        is_refused = isinstance(result, Success) and isinstance(
            result.unwrap(), OrderRefused
        )
        self.counts.end_own_order(target.target_id, not is_refused, now)
        self.record_call(target, isinstance(result, Success))
        if scheduler is not engine.scheduler:
            # The engine restarted while the order was sent, so the result is about
            # the previous incarnation.
            self.record_order(engine, order, "void: the engine started again")
            return
        if isinstance(result, Success):
            reply = result.unwrap()
            if isinstance(reply, OrderAccepted):
                outcome = "held already" if reply.holds_already else "accepted"
                scheduler.handle_order_accepted(order, reply.holds_already, now)
            else:
                outcome = f"refused: {reply.detail}"
                if reply.is_stale_token:
                    self.candidate.raise_refused_token()
                scheduler.handle_order_refused(order, now)
        else:
            outcome = f"in doubt: {result.failure().detail}"
            scheduler.mark_in_doubt(now)
        self.record_order(engine, order, outcome)
        self.on_holdings_changed()

    def record_order(
        self, engine: ManagedEngine, order: EngineOrder, outcome: str
    ) -> None:
        """Log and count one order."""
        kind = type(order).__name__
        result = outcome.partition(":")[0]
        self.metrics.orders.inc({"kind": kind, "result": result})
        log.info(
            "order",
            extra={
                "target": engine.scheduler.target,
                "kind": kind,
                "subject": order_subject(order),
                "token": self.candidate.token,
                "resident": [str(a) for a in engine.scheduler.open_adapters()],
                "in_use": len(self.uses.counts_on(engine.scheduler.target)),
                "coming": len(engine.scheduler.loading_until),
                "wanted": len(engine.scheduler.load_requests),
                "outcome": outcome,
            },
        )

    def log_holdings(self, engine: ManagedEngine, source: str) -> None:
        """Log the adapters that an engine is now assumed to have loaded."""
        log.info(
            "engine holds",
            extra={
                "target": engine.scheduler.target,
                "source": source,
                "resident": [str(a) for a in engine.scheduler.open_adapters()],
            },
        )
