"""Orders the engines of this host's data centre, while it holds the lease for that.

One task an engine carries out what its book decides, one order at a time. The lease is
checked right before an order's bytes leave, with nothing awaited in between.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Success

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.engine_book import EngineBook
from sardinequay_core.engine_orders import (
    AskReport,
    Order,
    Rest,
)
from sardinequay_core.names import HostId, TargetId, parse_adapter_ref
from sardinequay_core.residency import AdapterUses
from sardinequay_core.roster import Presence
from sardinequay_core.serving import EnginePool, Pool

from .order_lease_task import OrderLeaseTask
from .ordered_engine import OrderedEngine, subject_of
from .serving_messages import (
    AdapterMissing,
    EngineHoldings,
    Noted,
    UseChanged,
)
from .serving_metrics import ServingMetrics
from .serving_ports import EngineOrders, OrderAccepted, OrderTerms
from .wish_desk import WishDesk

LEASE_LOOK_S = 0.08
"""How often an order that waits for the lease looks at it."""

REPORT_PAUSE_S = 0.3
"""After an engine that gave no report, before it is asked again."""

HOLDINGS_LIFE = seconds(0.05)
"""For how long what engines hold is told as it was written last. A hub tells dozens of
hosts within one period, and writes it anew at once when an engine's book changes."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HeardHoldings:
    """What another holder told of an engine, and when."""

    holdings: EngineHoldings
    at: Instant

    def as_of(self, now: Instant) -> EngineHoldings:
        """Return it with times counted from now."""
        coming = self.holdings.coming
        if not coming:
            return self.holdings
        gone_s = (now - self.at).total_seconds()
        left = {a: max(0.0, in_s - gone_s) for a, in_s in coming.items()}
        return replace(self.holdings, coming=left)


class OrderTask:
    """Owns the books of the engines."""

    def __init__(
        self,
        me: HostId,
        data_centre: str,
        engines: EngineOrders,
        lease: OrderLeaseTask,
        clock: Clock,
        metrics: ServingMetrics,
        uses: AdapterUses,
        told: Callable[[], None],
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.engines = engines
        self.lease = lease
        self.clock = clock
        self.metrics = metrics
        self.uses = uses
        self.told = told
        self.candidate = lease.candidate
        self.catalogue = Catalogue()
        self.ordered: dict[TargetId, OrderedEngine] = {}
        self.heard_holdings: dict[TargetId, HeardHoldings] = {}
        self.is_ordering = False
        self.written: tuple[EngineHoldings, ...] = ()
        self.written_at = ZERO
        self.wishes = WishDesk(self.ordered, lambda: self.orders_in_s, clock)

    @property
    def orders_in_s(self) -> float:
        """Return in how long orders may be given here, in seconds."""
        return self.lease.orders_in_s if self.ordered else float("inf")

    async def run(self) -> None:
        """Stand for the lease, and order engines while it is held, for good."""
        while True:
            rest_s = await self.lease.step()
            self.follow_lease()
            await asyncio.sleep(rest_s)

    def follow_lease(self) -> None:
        """Begin or end to order, as the lease says."""
        is_holder = self.lease.is_holder
        if is_holder and not self.is_ordering:
            self.take_over()
        elif not is_holder and self.is_ordering:
            self.stop_ordering()

    def take_over(self) -> None:
        """Open a book for each engine here."""
        self.is_ordering = True
        targets = self.engines_here()
        if targets:
            log.info(
                "ordering engines",
                extra={
                    "token": self.candidate.token,
                    "engines": sorted(targets),
                    "voters": sorted(self.candidate.voters),
                },
            )
        for published in targets.values():
            self.open_book(published)

    def stop_ordering(self) -> None:
        """Close all books; what waits is told so."""
        self.is_ordering = False
        self.written_at = ZERO
        log.info("ordering ended", extra={"token": self.candidate.token})
        for target_id in tuple(self.ordered):
            self.close_book(target_id)
        self.lease.lost()

    async def resign(self) -> None:
        """Stop ordering for good, and give the lease back."""
        if await self.lease.resign():
            self.stop_ordering()

    # Books.

    def engines_here(self) -> dict[TargetId, PublishedTarget]:
        """Return the live engines of this data centre."""
        config = self.catalogue.config
        if config is None:
            return {}
        pools = {p.name for p in config.pools.values() if p.engines is not None}
        return {
            t: p
            for t, p in self.catalogue.targets.items()
            if p.target.pool in pools
            and p.target.data_centre == self.data_centre
            and p.target.presence is Presence.LIVE
        }

    def take_catalogue(self, catalogue: Catalogue) -> None:
        """Follow engines that come and go."""
        self.catalogue = catalogue
        self.lease.take_catalogue(catalogue)
        for target_id in self.heard_holdings.keys() - catalogue.targets.keys():
            del self.heard_holdings[target_id]
        if not self.is_ordering:
            return
        here = self.engines_here()
        for target_id in tuple(self.ordered):
            if target_id not in here:
                self.close_book(target_id)
        for target_id, published in here.items():
            engine = self.ordered.get(target_id)
            if engine is None:
                self.open_book(published)
            elif engine.book.incarnation < published.incarnation:
                self.reopen_book(engine, published)
            else:
                engine.published = published
                engine.wake.set()

    def reopen_book(self, engine: OrderedEngine, published: PublishedTarget) -> None:
        """Begin anew with an engine that started again under its id.

        Nothing of the start before holds. Reports lag, so none is believed that may be
        older than an order of the start before that reached this one.
        """
        old = engine.book
        log.info(
            "engine started again",
            extra={
                "target": old.target,
                "before": old.incarnation,
                "after": published.incarnation,
            },
        )
        engine.published = published
        engine.book = EngineBook(
            old.target, old.places, published.incarnation, old.number + 1
        )
        engine.book.in_doubt(self.clock.monotonic())
        engine.wake.set()

    def open_book(self, published: PublishedTarget) -> None:
        """Begin to order one engine."""
        target_id = published.target.target_id
        config = self.catalogue.config
        pool = config.pools[published.target.pool].engines if config else None
        if pool is None or target_id in self.ordered:
            return
        book = EngineBook(target_id, pool.adapter_slots, published.incarnation)
        told = self.heard_holdings.get(target_id)
        heard = told.holdings if told is not None else None
        if heard is not None and heard.incarnation >= book.incarnation:
            book.incarnation = heard.incarnation
            book.times.inherit(parse_adapter_ref(t).unwrap() for t in heard.recent)
        engine = self.ordered[target_id] = OrderedEngine(published, book)
        engine.task = asyncio.create_task(self.order_engine(engine))

    def close_book(self, target_id: TargetId) -> None:
        """Stop ordering one engine."""
        engine = self.ordered.pop(target_id)
        if engine.task is not None:
            engine.task.cancel()
        for waiting in engine.ready.values():
            for future in waiting:
                future.cancel()

    async def order_engine(self, engine: OrderedEngine) -> None:
        """Carry out what one engine's book decides, for as long as it is open."""
        while True:
            book = engine.book
            now = self.clock.monotonic()
            engine.wake.clear()
            self.fit_to_memory(engine)
            step = book.next_step(self.uses.on(book.target), now)
            engine.tell_ready()
            if isinstance(step, Rest):
                await self.rest(engine, step.for_s)
            elif isinstance(step, AskReport):
                await self.ask_report(engine)
            elif self.candidate.may_order(now):
                await self.give(engine, step)
            else:
                await self.rest(engine, LEASE_LOOK_S)

    async def rest(self, engine: OrderedEngine, for_s: float) -> None:
        """Wait until something is to be done, or for a while."""
        try:
            async with asyncio.timeout(for_s):
                await engine.wake.wait()
        except TimeoutError:
            return

    def fit_to_memory(self, engine: OrderedEngine) -> None:
        """Tell a book its places, and the model that it is to load if it has none."""
        config = self.catalogue.config
        pool = config.pools.get(engine.published.target.pool) if config else None
        if pool is None or pool.engines is None:
            return
        engine.book.places = pool.engines.adapter_places(engine.book.models)
        engine.book.model_wanted = None
        if not engine.book.models and engine.book.orders is not None:
            engine.book.model_wanted = self.rarest_model(pool, pool.engines)

    def rarest_model(self, pool: Pool, engines: EnginePool) -> str | None:
        """Return the model that the fewest engines of a pool hold."""
        held = dict.fromkeys(engines.loadable(), 0)
        for other in self.catalogue.live(pool.name):
            for model in other.models & held.keys():
                held[model] += 1
        return min(held, key=lambda m: (held[m], m), default=None)

    async def ask_report(self, engine: OrderedEngine) -> None:
        """Ask for a report and enter it."""
        asked_at = self.clock.monotonic()
        report = await self.engines.report(engine.published.target)
        now = self.clock.monotonic()
        if isinstance(report, Success):
            status = report.unwrap()
            if status.incarnation > engine.book.incarnation:
                self.reopen_book(
                    engine, replace(engine.published, incarnation=status.incarnation)
                )
                return
            number = engine.book.number
            engine.book.take_report(status, asked_at, now)
            if engine.book.number != number:
                self.log_holdings(engine, "report")
                self.told()
            return
        detail = str(report.failure())
        log.info("no report", extra={"target": engine.book.target, "detail": detail})
        await self.rest(engine, REPORT_PAUSE_S)

    async def give(self, engine: OrderedEngine, order: Order) -> None:
        """Send one order and enter its result."""
        book, target = engine.book, engine.published.target
        expected = book.expected_orders(order)
        terms = OrderTerms(self.me, self.candidate.token, expected)
        self.candidate.ordered(self.clock.monotonic())
        result = await self.engines.order(target, order, terms)
        now = self.clock.monotonic()
        self.candidate.ordered(now)
        if book is not engine.book:
            # The engine has started again meanwhile: the order was the last start's.
            self.note_order(engine, order, "void: the engine started again")
            return
        if isinstance(result, Success):
            answer = result.unwrap()
            if isinstance(answer, OrderAccepted):
                outcome = "held already" if answer.holds_already else "accepted"
                book.accepted(order, answer.holds_already, now)
            else:
                outcome = f"refused: {answer.detail}"
                if answer.is_stale_token:
                    self.candidate.raise_token()
                book.refused(order, now)
        else:
            outcome = f"in doubt: {result.failure().detail}"
            book.in_doubt(now)
        self.note_order(engine, order, outcome)
        self.told()

    def note_order(self, engine: OrderedEngine, order: Order, outcome: str) -> None:
        """Log and count one order."""
        kind = type(order).__name__
        result = outcome.partition(":")[0]
        self.metrics.orders.inc({"kind": kind, "result": result})
        log.info(
            "order",
            extra={
                "target": engine.book.target,
                "kind": kind,
                "subject": subject_of(order),
                "token": self.candidate.token,
                "resident": [str(a) for a in engine.book.residents()],
                "in_use": len(self.uses.on(engine.book.target)),
                "coming": len(engine.book.coming),
                "wanted": len(engine.book.wanted),
                "outcome": outcome,
            },
        )

    def log_holdings(self, engine: OrderedEngine, source: str) -> None:
        """Log what an engine is now believed to hold."""
        log.info(
            "engine holds",
            extra={
                "target": engine.book.target,
                "source": source,
                "resident": [str(a) for a in engine.book.residents()],
            },
        )

    async def answer_telling(self, message: AdapterMissing | UseChanged) -> Noted:
        """Take what a host tells of an adapter on an engine ordered here."""
        if isinstance(message, UseChanged):
            use = message.use
            target_id = use.target
            if message.host_id != self.me:
                self.hear_use(message)
        else:
            target_id = message.target
        engine = self.ordered.get(target_id)
        if engine is None:
            return Noted()
        if isinstance(message, AdapterMissing):
            if message.incarnation < engine.book.incarnation:
                return Noted()
            engine.book.missing(message.adapter, self.clock.monotonic())
        elif message.use.count:
            engine.book.begin_use(message.use.adapter, self.clock.monotonic())
        else:
            engine.book.use({message.use.adapter: 1}, self.clock.monotonic())
        engine.wake.set()
        return Noted()

    def hear_use(self, message: UseChanged) -> None:
        """Take that a peer began or ended to use an adapter.

        The use of a host elsewhere may be counted by its hub already.
        """
        host_id, use = message.host_id, message.use
        known = self.uses.peers.get(host_id, {})
        hub = self.lease.fleet.hub_for_host(host_id)
        if use.count or hub is None or (use.target, use.adapter) in known:
            self.uses.hear(host_id, use.target, use.adapter, use.count)
        else:
            self.uses.hear_end(hub, use.target, use.adapter)

    # Telling.

    def recent_holdings(self) -> tuple[EngineHoldings, ...]:
        """Return what `holdings` did, now or a moment ago."""
        if self.clock.monotonic() - self.written_at > HOLDINGS_LIFE:
            return self.holdings()
        return self.written

    def holdings(self) -> tuple[EngineHoldings, ...]:
        """Return what to tell peers of the engines ordered here."""
        now = self.clock.monotonic()
        self.written_at = now
        self.written = tuple(
            EngineHoldings(
                e.book.target,
                self.candidate.token,
                e.book.number,
                e.book.residents(),
                {
                    str(a): e.book.ready_in_s(a, now) or 0.0
                    for a in sorted(e.book.coming)
                },
                tuple(str(a) for a in e.book.times.recent),
                len(e.book.wanted),
                e.book.times.turnover_s,
                e.book.incarnation,
                self.uses.idle_among(e.book.target, e.book.residents()),
            )
            for e in self.ordered.values()
            if e.book.orders is not None or e.book.number
        )
        return self.written

    def hear_holdings(self, holdings: EngineHoldings) -> None:
        """Remember what another holder tells, to go on from it, and to pass it on."""
        now = self.clock.monotonic()
        self.heard_holdings[holdings.target] = HeardHoldings(holdings, now)

    def holdings_elsewhere(self, now: Instant) -> tuple[EngineHoldings, ...]:
        """Return what other holders told of engines that this host does not order."""
        return tuple(
            heard.as_of(now)
            for target, heard in self.heard_holdings.items()
            if target not in self.ordered
        )
