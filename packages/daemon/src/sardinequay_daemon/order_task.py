"""Orders the engines of this data centre while this host has the order lease.

Orders load and unload adapters and base models. Each engine has one asyncio task, which
runs its scheduler (`engine_runner`).
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace

from returns.result import Success

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.names import HostId, TargetId, parse_adapter_ref
from sardinequay_core.residency import AdapterUses
from sardinequay_core.room import MAX_SUMMARY_LEVELS, summarise
from sardinequay_core.roster import Presence

from .background_tasks import BackgroundTasks
from .engine_runner import EngineRunner
from .engine_watch import EngineWatch
from .load_request_handler import LoadRequestHandler
from .managed_engine import ManagedEngine
from .order_lease_task import OrderLeaseTask
from .serving_messages import (
    AdapterMissing,
    EngineHoldings,
    Noted,
    UseChanged,
)
from .serving_metrics import ServingMetrics
from .serving_ports import EngineOrders

HOLDINGS_MAX_AGE = seconds(0.05)
"""Maximum age of the cached holdings in digests. A hub sends digests to dozens of hosts
within one period; a change of an engine's scheduler replaces the cache at once."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReceivedHoldings:
    """Holdings of an engine as received from a peer, with the time of arrival."""

    holdings: EngineHoldings
    received_at: Instant

    def as_of(self, now: Instant) -> EngineHoldings:
        """Return the holdings with the times of pending loads counted from `now`."""
        ready_in_s = self.holdings.coming
        if not ready_in_s:
            return self.holdings
        elapsed_s = (now - self.received_at).total_seconds()
        remaining = {a: max(0.0, in_s - elapsed_s) for a, in_s in ready_in_s.items()}
        return replace(self.holdings, coming=remaining)


class OrderTask:
    """Owns the schedulers of the engines and the tasks that run them.

    Parameters
    ----------
    lease : OrderLeaseTask
        Acquires and renews the order lease, the exclusive right to send orders to the
        engines of a data centre.
    uses : AdapterUses
        Which adapters running requests use on each engine.
    on_holdings_changed : callable
        Called after an order or a report changed what an engine holds.
    is_leaving : callable
        Returns whether a listed engine has stated in its answers that it leaves.
    """

    def __init__(
        self,
        me: HostId,
        data_centre: str,
        engines: EngineOrders,
        lease: OrderLeaseTask,
        clock: Clock,
        metrics: ServingMetrics,
        uses: AdapterUses,
        on_holdings_changed: Callable[[], None],
        is_leaving: Callable[[PublishedTarget], bool] = lambda _: False,
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.lease = lease
        self.clock = clock
        self.uses = uses
        self.is_leaving = is_leaving
        self.candidate = lease.candidate
        self.catalogue = Catalogue()
        self.managed_engines: dict[TargetId, ManagedEngine] = {}
        self.engine_tasks = BackgroundTasks("engine")
        self.peer_holdings: dict[TargetId, ReceivedHoldings] = {}
        self.is_ordering = False
        self.last_holdings: tuple[EngineHoldings, ...] = ()
        self.last_holdings_at = ZERO
        self.watch = EngineWatch(
            engines, lease.candidate, clock, lease.record_orders_watched
        )
        self.runner = EngineRunner(
            me,
            engines,
            lease.candidate,
            self.watch.counts,
            clock,
            metrics,
            uses,
            on_holdings_changed,
        )
        lease.should_stand_back = self.should_stand_back
        self.load_requests = LoadRequestHandler(
            self.managed_engines, lambda: self.orders_in_s, clock, uses
        )

    @property
    def orders_in_s(self) -> float:
        """Return the time until this host may send orders, in seconds."""
        if not self.managed_engines or self.is_cut_off:
            return float("inf")
        return self.lease.orders_in_s

    @property
    def is_cut_off(self) -> bool:
        """Return whether the last call failed and no engine's path holds.

        Calls over connections that were open before still reach engines.
        """
        return self.runner.is_unreached and self.has_lost_all_paths()

    def has_lost_all_paths(self) -> bool:
        """Return whether peers reach this data centre's engines and this host none."""
        if self.runner.paths is None or not self.runner.paths.paths.lost:
            return False
        lost = self.runner.paths.paths
        engines = self.local_engines().values()
        return bool(engines) and all(lost.is_lost(e.target.address) for e in engines)

    def should_stand_back(self) -> bool:
        """Return whether another host of this data centre should order its engines."""
        fleet = self.lease.fleet
        return self.has_lost_all_paths() and any(
            fleet.is_near(p) and not p.is_cut_off for p in fleet.live_peers()
        )

    async def run(self) -> None:
        """Acquire and renew the order lease, and start or stop ordering with it."""
        while True:
            pause_s = await self.lease.step()
            self.apply_lease_state()
            self.watch_engines()
            if self.is_ordering and self.is_cut_off and self.should_stand_back():
                log.warning("lease handed on", extra={"token": self.candidate.token})
                await self.lease.hand_on()
                self.apply_lease_state()
            await asyncio.sleep(pause_s)

    def watch_engines(self) -> None:
        """Watch the engines for orders of other hosts if this one has to know.

        That another host says that it holds the lease is no reason not to: it may be
        about to lose it, and this host's voters may not know of it.
        """
        targets = [p.target for p in self.local_engines().values()]
        now = self.clock.monotonic()
        has_voted = self.lease.voter.is_vote_given_elsewhere(self.me, now)
        self.watch.step(targets, has_voted)

    def apply_lease_state(self) -> None:
        """Start ordering if the lease was acquired; stop if it was lost."""
        is_holder = self.lease.is_holder
        if is_holder and not self.is_ordering:
            self.start_ordering()
        elif not is_holder and self.is_ordering:
            self.stop_ordering()

    def start_ordering(self) -> None:
        """Add every live engine of this data centre."""
        self.is_ordering = True
        targets = self.local_engines()
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
            self.add_engine(published)

    def stop_ordering(self) -> None:
        """Remove all engines; waiting load requests are refused."""
        self.is_ordering = False
        self.last_holdings_at = ZERO
        log.info("ordering ended", extra={"token": self.candidate.token})
        for target_id in tuple(self.managed_engines):
            self.remove_engine(target_id)
        self.lease.record_lease_lost()

    async def resign(self) -> None:
        """Release the order lease and stop ordering for the rest of the process."""
        if await self.lease.resign():
            self.stop_ordering()

    def local_engines(self) -> dict[TargetId, PublishedTarget]:
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
            and not self.is_leaving(p)
        }

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Add, remove and reset engines to match a new catalogue."""
        self.catalogue = self.runner.catalogue = catalogue
        self.lease.apply_catalogue(catalogue)
        for target_id in self.peer_holdings.keys() - catalogue.targets.keys():
            del self.peer_holdings[target_id]
        if self.is_ordering:
            self.match_engines()

    def handle_leaving(self) -> None:
        """Order an engine no more that has stated that it leaves."""
        if self.is_ordering:
            self.match_engines()

    def match_engines(self) -> None:
        """Order the live engines of this data centre, and no others."""
        local_engines = self.local_engines()
        for target_id in tuple(self.managed_engines):
            if target_id not in local_engines:
                self.remove_engine(target_id)
        for target_id, published in local_engines.items():
            engine = self.managed_engines.get(target_id)
            if engine is None:
                self.add_engine(published)
            elif engine.scheduler.incarnation < published.incarnation:
                self.runner.reset_scheduler(engine, published)
            else:
                engine.published = published
                engine.wake.set()

    def add_engine(self, published: PublishedTarget) -> None:
        """Create the scheduler of an engine and start the task that runs it.

        Recent load times are inherited from the previous holder of the order lease.
        """
        target_id = published.target.target_id
        config = self.catalogue.config
        pool = config.pools[published.target.pool].engines if config else None
        if pool is None or target_id in self.managed_engines:
            return
        scheduler = EngineScheduler(
            target_id, pool.adapter_slots, published.incarnation
        )
        received = self.peer_holdings.get(target_id)
        inherited = received.holdings if received is not None else None
        if inherited is not None and inherited.incarnation >= scheduler.incarnation:
            scheduler.incarnation = inherited.incarnation
            recent = map(parse_adapter_ref, inherited.recent)
            scheduler.load_times.restore_recent(
                found.unwrap() for found in recent if isinstance(found, Success)
            )
        engine = self.managed_engines[target_id] = ManagedEngine(published, scheduler)
        engine.task = self.engine_tasks.start(self.runner.run(engine), target_id)

    def remove_engine(self, target_id: TargetId) -> None:
        """Cancel the task of an engine and the load requests that wait for it."""
        engine = self.managed_engines.pop(target_id)
        if engine.task is not None:
            engine.task.cancel()
        for waiting in engine.load_waiters.values():
            for future in waiting:
                future.cancel()

    async def handle_adapter_event(self, message: AdapterMissing | UseChanged) -> Noted:
        """Handle a host's message about a missing adapter or a changed use count.

        `AdapterMissing` of an earlier incarnation is ignored.
        """
        if isinstance(message, UseChanged):
            use = message.use
            target_id = use.target
            if message.host_id != self.me:
                self.record_peer_use(message)
        else:
            target_id = message.target
        engine = self.managed_engines.get(target_id)
        if engine is None:
            return Noted()
        if isinstance(message, AdapterMissing):
            if message.incarnation < engine.scheduler.incarnation:
                return Noted()
            engine.scheduler.handle_adapter_missing(
                message.adapter, self.clock.monotonic()
            )
        elif message.use.count:
            engine.scheduler.record_use_start(
                message.use.adapter, self.clock.monotonic()
            )
        else:
            engine.scheduler.record_uses(
                {message.use.adapter: 1}, self.clock.monotonic()
            )
        engine.wake.set()
        return Noted()

    def record_peer_use(self, message: UseChanged) -> None:
        """Record that a peer began or ended to use an adapter.

        The use of a host in another data centre may already be part of the sums that
        its hub sends; the end is then subtracted from the hub's count.
        """
        host_id, use = message.host_id, message.use
        known = self.uses.peers.get(host_id, {})
        hub = self.lease.fleet.hub_for_host(host_id)
        if use.count or hub is None or (use.target, use.adapter) in known:
            self.uses.apply_peer_count(host_id, use.target, use.adapter, use.count)
        else:
            self.uses.apply_peer_end(hub, use.target, use.adapter)

    def recent_holdings(self) -> tuple[EngineHoldings, ...]:
        """Return the cached holdings if recent enough, otherwise a new snapshot."""
        if self.clock.monotonic() - self.last_holdings_at > HOLDINGS_MAX_AGE:
            return self.holdings_snapshot()
        return self.last_holdings

    def holdings_snapshot(self) -> tuple[EngineHoldings, ...]:
        """Return, and cache, the holdings of the engines that this host orders.

        Engines of which nothing is known yet are left out.
        """
        now = self.clock.monotonic()
        self.last_holdings_at = now
        self.last_holdings = tuple(
            EngineHoldings(
                e.scheduler.target,
                self.candidate.token,
                e.scheduler.change_number,
                e.scheduler.open_adapters(),
                {
                    str(a): e.scheduler.ready_in_s(a, now) or 0.0
                    for a in sorted(e.scheduler.loading_until)
                },
                tuple(str(a) for a in e.scheduler.load_times.recent),
                len(e.scheduler.load_requests),
                e.scheduler.load_times.turnover_s,
                e.scheduler.incarnation,
                self.uses.count_idle(e.scheduler.target, e.scheduler.open_adapters()),
                summarise(e.scheduler.load_values(now).values()).levels[
                    :MAX_SUMMARY_LEVELS
                ],
            )
            for e in self.managed_engines.values()
            if e.scheduler.accepted_orders is not None or e.scheduler.change_number
        )
        return self.last_holdings

    def record_peer_holdings(self, holdings: EngineHoldings) -> None:
        """Record the holdings that another lease holder sent.

        They are forwarded to peers, and inherited if this host becomes the holder.
        """
        now = self.clock.monotonic()
        self.peer_holdings[holdings.target] = ReceivedHoldings(holdings, now)

    def peer_holdings_snapshot(self, now: Instant) -> tuple[EngineHoldings, ...]:
        """Return the received holdings of engines that this host does not order."""
        return tuple(
            received.as_of(now)
            for target, received in self.peer_holdings.items()
            if target not in self.managed_engines
        )
