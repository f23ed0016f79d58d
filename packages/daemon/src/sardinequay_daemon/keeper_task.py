"""The task that keeps engines: it carries out what the core's keepers decide."""

import asyncio
import contextlib
import itertools
import logging
from collections.abc import Coroutine
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

import reactivex
from returns.result import Result, Success

from sardinequay_core.bundle import Bundle, Pool
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.keeper import SUFFIX_BITS, Keeper
from sardinequay_core.kept_engine import (
    Command,
    KeeperPolicy,
    OrderLoad,
    OrderRecall,
    OrderUnload,
)
from sardinequay_core.leases import HolderId, Use
from sardinequay_core.load_queue import GiveUp, LoadPolicy
from sardinequay_core.membership import Member
from sardinequay_core.names import (
    AdapterRef,
    Address,
    DataCentre,
    HostId,
    PoolName,
    TargetId,
    parse_address,
)
from sardinequay_core.rendezvous import rank
from sardinequay_core.roster import Presence, Roster, Target, TargetKind

from .engines import Engines
from .errors import TargetError, TargetFault
from .journal import Journal
from .keeper_events import (
    LoadEnded,
    Reassigned,
    RecallEnded,
    ReportArrived,
    UnloadEnded,
)
from .mailbox import QueuedMessage, Mailbox, run_periodically
from .messages import (
    Acquire,
    EngineLoad,
    GiveBack,
    Granted,
    GrantedUse,
    NotKeeper,
    Recall,
    Recalled,
    Renew,
    Taken,
    Want,
    Wanted,
)
from .metrics import Metrics
from .peers import PeerClient
from .settings import LimitSettings
from .shared_settings import TimingSettings

TICK_S = 0.05
LOAD_BURST = 2.0
log = logging.getLogger(__name__)


@dataclass(slots=True)
class Kept:
    """One keepership of this host, and who waits in it."""

    keeper: Keeper
    tickets: dict[int, QueuedMessage]
    addresses: dict[HolderId, Address]


def keeper_rank(pool: PoolName, data_centre: DataCentre, hosts: list[str]) -> list[str]:
    """Return hosts in the order in which they keep a pool in a data centre."""
    return rank(f"keeper/{pool}/{data_centre}", hosts)


class KeeperTask:
    """Owns the keeperships of this host."""

    def __init__(
        self,
        me: HostId,
        data_centre: DataCentre,
        engines: Engines,
        peers: PeerClient,
        timing: TimingSettings,
        limits: LimitSettings,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        journal: Journal,
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.engines = engines
        self.peers = peers
        self.timing = timing
        self.limits = limits
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.journal = journal
        self.kept: dict[PoolName, Kept] = {}
        self.inbox = Mailbox()
        self.numbers = itertools.count(1)
        self.running: set[asyncio.Task[None]] = set()

    def subscribe(
        self,
        bundles: reactivex.Observable[Bundle | None],
        rosters: reactivex.Observable[Roster],
        live: reactivex.Observable[tuple[Member, ...]],
    ) -> None:
        """Follow what there is to keep, and who is alive to keep it."""

        def tell(latest: tuple[Bundle | None, Roster, tuple[Member, ...]]) -> None:
            bundle, roster, members = latest
            if bundle is not None:
                self.inbox.post(Reassigned(bundle, roster, members))

        reactivex.combine_latest(bundles, rosters, live).subscribe(tell)

    async def run(self) -> None:
        """Serve messages, read reports and tick for good."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.inbox.handle_messages(self.handle))
            group.create_task(run_periodically(self.timing.report_s, self.read_reports))
            group.create_task(run_periodically(TICK_S, self.tick))

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run work beside the task; its result comes back as an event."""
        task = asyncio.create_task(work)
        self.running.add(task)
        task.add_done_callback(self.running.discard)

    # Who keeps what.

    def reassign(self, event: Reassigned) -> None:
        """Take up keeperships that fall to this host, and drop others."""
        hosts = [str(m.host_id) for m in event.members]
        mine = {
            pool.name: pool
            for pool in event.bundle.pools.values()
            if pool.slots and self.is_mine(pool.name, hosts)
        }
        for pool_name in self.kept.keys() - mine.keys():
            self.drop(pool_name)
        for pool_name, pool in mine.items():
            targets = engines_of(event.roster, pool_name)
            self.take_up(pool, targets)

    def is_mine(self, pool: PoolName, hosts: list[str]) -> bool:
        """Return whether this host is the first in the keepers' order."""
        return keeper_rank(pool, self.data_centre, hosts)[:1] == [self.me]

    def take_up(self, pool: Pool, targets: list[Target]) -> None:
        """Keep a pool's engines here, by the bundle's present policy."""
        local = [t for t in targets if t.data_centre == self.data_centre]
        share = len(local) / len(targets) if targets else 0.0
        kept = self.kept.get(pool.name)
        if kept is None:
            suffix = self.random.getrandbits(SUFFIX_BITS)
            policy = self.policy(pool, share)
            keeper = Keeper(policy, suffix, self.clock.monotonic())
            kept = self.kept[pool.name] = Kept(keeper, {}, {})
            log.info("keepership taken", extra={"pool": pool.name})
        kept.keeper.queue.policy = self.policy(pool, share).loads
        kept.keeper.set_targets(local)

    def policy(self, pool: Pool, share: float) -> KeeperPolicy:
        """Return a keeper's policy; the store's rate is shared by engines."""
        return KeeperPolicy(
            lease=timedelta(seconds=self.timing.lease_s),
            longest_request=timedelta(seconds=self.limits.longest_request_s),
            report_lag=timedelta(seconds=self.timing.report_lag_s),
            loads=LoadPolicy(
                loads_per_s=pool.loads_per_s * share,
                burst=LOAD_BURST,
                stall_weight=pool.weights.load_stalls,
                batch_weight=pool.weights.batch_efficiency,
            ),
        )

    def drop(self, pool: PoolName) -> None:
        """Give up a keepership; those who wait find the new keeper."""
        kept = self.kept.pop(pool)
        for envelope in kept.tickets.values():
            envelope.reply_with(NotKeeper())
        log.info("keepership dropped", extra={"pool": pool})

    # Messages and events.

    def handle(self, envelope: QueuedMessage) -> None:
        """Take one message."""
        message = envelope.message
        if isinstance(message, Reassigned):
            self.reassign(message)
        elif isinstance(message, Acquire | Renew | GiveBack | Want):
            self.handle_holder(envelope)
        elif message.pool in self.kept:
            self.handle_event(self.kept[message.pool], message)

    def handle_holder(self, envelope: QueuedMessage) -> None:
        """Answer a holder, if this host keeps what it means."""
        message = envelope.message
        kept = self.kept.get(message.keepership.pool)
        if kept is None or message.keepership.data_centre != self.data_centre:
            envelope.reply_with(NotKeeper())
            return
        now = self.clock.monotonic()
        if isinstance(message, Want):
            self.want(kept, envelope, message, now)
        elif isinstance(message, GiveBack):
            kept.keeper.give_back(message.holder, message.use, message.sequence)
            envelope.reply_with(Taken())
        else:
            kept.addresses[message.holder] = parse_address(message.address).unwrap()
            granted = self.grant(kept.keeper, message, now)
            envelope.reply_with(self.granted(kept.keeper, granted))

    def grant(
        self, keeper: Keeper, message: Acquire | Renew, now: Instant
    ) -> list[tuple[Use, timedelta]]:
        """Grant or renew leases."""
        if isinstance(message, Renew):
            return keeper.renew(message.holder, message.uses, message.sequence, now)
        return keeper.acquire(message.holder, message.adapter, message.sequence, now)

    def granted(self, keeper: Keeper, uses: list[tuple[Use, timedelta]]) -> Granted:
        """Return leases with the reported load of their engines."""
        loads = []
        for target in sorted({use.target for use, _ in uses}):
            report = keeper.engines[target].report
            if report is not None:
                loads.append(EngineLoad(target, report.running, report.waiting))
        grants = tuple(GrantedUse(use, lasts.total_seconds()) for use, lasts in uses)
        return Granted(grants, tuple(loads))

    def want(self, kept: Kept, envelope: QueuedMessage, message: Want, now: Instant) -> None:
        """Queue a request for a cold adapter, or give it up at once."""
        ticket = next(self.numbers)
        deadline = now + timedelta(seconds=message.wait_s)
        given_up = kept.keeper.want(ticket, message.adapter, deadline, now)
        if given_up is not None:
            wait_s = given_up.retry_after.total_seconds()
            envelope.reply_with(Wanted(False, wait_s))
            return
        kept.tickets[ticket] = envelope
        if envelope.reply is not None:
            envelope.reply.add_done_callback(
                lambda _: self.forget(kept, ticket, message.adapter)
            )
        self.act(kept, message.keepership.pool)

    def forget(self, kept: Kept, ticket: int, adapter: AdapterRef) -> None:
        """Forget a ticket that was answered or whose holder is gone."""
        if kept.tickets.pop(ticket, None) is not None:
            kept.keeper.queue.cancel(ticket, adapter)

    def handle_event(self, kept: Kept, event: Any) -> None:
        """Take what engines and holders answered."""
        now = self.clock.monotonic()
        if isinstance(event, ReportArrived):
            kept.keeper.take_report(event.report, event.asked_at, now)
        elif isinstance(event, LoadEnded):
            self.load_ended(kept, event, now)
        elif isinstance(event, UnloadEnded):
            self.unload_ended(kept, event, now)
        elif isinstance(event, RecallEnded) and event.answer.in_flight == 0:
            order = event.order
            kept.keeper.give_back(order.holder, order.use, event.answer.sequence)
        self.act(kept, event.pool)

    def load_ended(self, kept: Kept, event: LoadEnded, now: Instant) -> None:
        """Take the end of a load, and wake those who waited for it."""
        use = event.order.use
        result = event.error.fault.value if event.error else "done"
        self.metrics.loads.inc({"result": result})
        self.journal.record(
            order_id("load", event.order.token),
            result,
            adapter=str(use.adapter),
            engine=use.target,
            took_s=event.took.total_seconds(),
        )
        if event.error is None:
            self.answer_loaded(kept, kept.keeper.load_done(use, event.took, now))
            return
        log.warning("load failed", extra={"use": str(use), "error": str(event.error)})
        if event.error.fault is TargetFault.STALE_TOKEN:
            kept.keeper.superseded(use.target, now)
        else:
            kept.keeper.load_failed(use, now)

    def answer_loaded(self, kept: Kept, tickets: tuple[int, ...]) -> None:
        """Wake the requests that waited for a load."""
        for ticket in tickets:
            envelope = kept.tickets.pop(ticket, None)
            if envelope is not None:
                envelope.reply_with(Wanted(True))

    def unload_ended(self, kept: Kept, event: UnloadEnded, now: Instant) -> None:
        """Take the end of an eviction."""
        use = event.order.use
        result = event.error.fault.value if event.error else "done"
        self.metrics.evictions.inc({"result": result})
        subject = order_id("evict", event.order.token)
        self.journal.record(subject, result, adapter=str(use.adapter), engine=use.target)
        if event.error is None:
            kept.keeper.unload_done(use, now)
        elif event.error.fault is TargetFault.STALE_TOKEN:
            kept.keeper.superseded(use.target, now)
        else:
            kept.keeper.unload_failed(use)

    # What the core decides, carried out.

    def tick(self) -> None:
        """Let time pass for every keepership."""
        for pool, kept in list(self.kept.items()):
            self.act(kept, pool)

    def act(self, kept: Kept, pool: PoolName) -> None:
        """Carry out what the core decides now."""
        for command in kept.keeper.tick(self.clock.monotonic()):
            self.carry_out(kept, pool, command)

    def carry_out(self, kept: Kept, pool: PoolName, command: Command) -> None:
        """Carry out one command."""
        if isinstance(command, GiveUp):
            envelope = kept.tickets.pop(command.ticket, None)
            if envelope is not None:
                wait_s = command.retry_after.total_seconds()
                envelope.reply_with(Wanted(False, wait_s))
            return
        target = kept.keeper.engines[command.use.target].target
        if isinstance(command, OrderLoad):
            self.note_load(kept, command)
            self.start(self.load(pool, target, command))
        elif isinstance(command, OrderUnload):
            self.note_unload(kept, command)
            self.start(self.unload(pool, target, command))
        else:
            self.start(self.recall(kept, pool, command))

    def note_load(self, kept: Kept, order: OrderLoad) -> None:
        """Note why a load was ordered."""
        adapter, now = order.use.adapter, self.clock.monotonic()
        queue = kept.keeper.queue
        waiting = queue.waiting.get(adapter)
        self.journal.record(
            order_id("load", order.token),
            "ordered",
            adapter=str(adapter),
            engine=order.use.target,
            waiting_requests=len(waiting.deadlines) if waiting else 0,
            demand=round(queue.demand.value(adapter, now), 3),
            priority=round(queue.priority(adapter, now), 3),
            others_waiting=[str(a) for a in queue.order(now)[:5] if a != adapter],
        )

    def note_unload(self, kept: Kept, order: OrderUnload) -> None:
        """Note why an eviction was ordered."""
        queue, now = kept.keeper.queue, self.clock.monotonic()
        self.journal.record(
            order_id("evict", order.token),
            "ordered",
            adapter=str(order.use.adapter),
            engine=order.use.target,
            priority=round(queue.priority(order.use.adapter, now), 3),
            leases="none can still be used",
        )

    async def load(self, pool: PoolName, target: Target, order: OrderLoad) -> None:
        """Order a load and wait for its end."""
        began = self.clock.monotonic()
        result = await self.engines.load(target, order.use, order.token)
        took = self.clock.monotonic() - began
        self.inbox.post(LoadEnded(pool, order, took, error_of(result)))

    async def unload(self, pool: PoolName, target: Target, order: OrderUnload) -> None:
        """Order an eviction and wait for its end."""
        result = await self.engines.unload(target, order.use, order.token)
        self.inbox.post(UnloadEnded(pool, order, error_of(result)))

    async def recall(self, kept: Kept, pool: PoolName, order: OrderRecall) -> None:
        """Ask a holder to stop; a silent one's lease runs out."""
        address = kept.addresses.get(order.holder)
        if address is None:
            return
        answer = (await self.peers.call(address, Recall(order.use))).value_or(None)
        if isinstance(answer, Recalled):
            self.inbox.post(RecallEnded(pool, order, answer))

    async def read_reports(self) -> None:
        """Ask every kept engine for its report."""
        asks = [
            self.read_report(pool, engine.target)
            for pool, kept in self.kept.items()
            for engine in kept.keeper.engines.values()
        ]
        await asyncio.gather(*asks)

    async def read_report(self, pool: PoolName, target: Target) -> None:
        """Ask one engine for its report."""
        asked_at = self.clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.timing.lease_s / 2):
                found = await self.engines.report(target)
                if isinstance(found, Success):
                    report = found.unwrap()
                    self.metrics.batch_fill.set(
                        {"engine": str(target.target_id)}, report.running
                    )
                    self.inbox.post(ReportArrived(pool, report, asked_at))

    def summary(self) -> dict[str, dict[TargetId, list[str]]]:
        """Return what is resident where, for operators."""
        return {
            str(pool): {
                target: [str(a) for a in sorted(engine.resident)]
                for target, engine in kept.keeper.engines.items()
            }
            for pool, kept in self.kept.items()
        }


def engines_of(roster: Roster, pool: PoolName) -> list[Target]:
    """Return a pool's engines over all data centres, leaving ones included."""
    return [t for t in roster.targets_of(pool) if t.kind is TargetKind.ENGINE]


def live_engines(roster: Roster, pool: PoolName) -> list[Target]:
    """Return a pool's engines that take new work."""
    return [t for t in engines_of(roster, pool) if t.presence is Presence.LIVE]


def error_of(result: Result[None, TargetError]) -> TargetError | None:
    """Return an order's error, if it failed."""
    return None if isinstance(result, Success) else result.failure()


def order_id(kind: str, token: int) -> str:
    """Return the id by which an operator asks about an order."""
    return f"{kind}-{token:x}"
