"""The task that runs this host's keepers.

A keeper is the host that alone orders loads and evictions on the engines of one pool in
one data centre, and grants use leases on them to other hosts. Its state machine is in
`sardinequay_core.keeper`; this module sends its commands and feeds it the results.
"""

import asyncio
import itertools
import logging
from collections.abc import Coroutine
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import Any

import reactivex
from returns.result import Success

from sardinequay_core.bundle import Bundle, PoolSettings
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.engine_record import (
    Command,
    KeeperPolicy,
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from sardinequay_core.keeper import SUFFIX_BITS, Keeper
from sardinequay_core.leases import AdapterUse, HolderId
from sardinequay_core.load_queue import LoadPolicy, RejectWaiter
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
from sardinequay_core.rendezvous import rank_members
from sardinequay_core.roster import Presence, Roster, Target, TargetKind

from .background_tasks import BackgroundTasks
from .engine_client import EngineClient
from .errors import TargetFault
from .journal import Journal
from .keeper_calls import KeeperCalls
from .keeper_events import (
    AssignmentChanged,
    LoadEnded,
    RecallEnded,
    ReportArrived,
    UnloadEnded,
)
from .mailbox import Mailbox, QueuedMessage, run_periodically
from .messages import (
    Acquire,
    EngineLoad,
    GiveBack,
    Granted,
    GrantedUse,
    NotKeeper,
    Renew,
    Taken,
    Want,
    Wanted,
)
from .metrics import Metrics
from .order_journal import OrderJournal, order_id
from .peers import PeerClient
from .settings import LimitSettings
from .shared_settings import TimingSettings
from .unforeseen import record_unforeseen

TICK_S = 0.05
LOAD_BURST = 2.0
log = logging.getLogger(__name__)


@dataclass(slots=True)
class KeepershipState:
    """One keepership: a pool whose keeper is this host, and its waiting load requests.

    Parameters
    ----------
    tickets : dict
        Queued messages of the load requests that wait for a reply, by ticket.
    holder_addresses : dict
        Where to send recalls, by lease holder.
    """

    keeper: Keeper
    tickets: dict[int, QueuedMessage]
    holder_addresses: dict[HolderId, Address]


def keeper_rank(pool: PoolName, data_centre: DataCentre, hosts: list[str]) -> list[str]:
    """Return hosts ranked for a pool in a data centre; the first is its keeper."""
    return rank_members(f"keeper/{pool}/{data_centre}", hosts)


class KeeperTask:
    """Owns the keeperships of this host; all changes pass through its inbox."""

    def __init__(
        self,
        me: HostId,
        data_centre: DataCentre,
        engines: EngineClient,
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
        self.timing = timing
        self.limits = limits
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.journal = journal
        self.keeperships: dict[PoolName, KeepershipState] = {}
        self.inbox = Mailbox()
        self.calls = KeeperCalls(engines, peers, timing, clock, metrics, self.inbox)
        self.order_journal = OrderJournal(journal, clock)
        self.ticket_ids = itertools.count(1)
        self.background_tasks = BackgroundTasks("engine call")

    def subscribe(
        self,
        bundles: reactivex.Observable[Bundle | None],
        rosters: reactivex.Observable[Roster],
        live: reactivex.Observable[tuple[Member, ...]],
    ) -> None:
        """Reassign keeperships at each change of the bundle, roster or live members."""

        def post_assignment(
            latest: tuple[Bundle | None, Roster, tuple[Member, ...]],
        ) -> None:
            bundle, roster, members = latest
            if bundle is not None:
                self.inbox.post(AssignmentChanged(bundle, roster, members))

        reactivex.combine_latest(bundles, rosters, live).subscribe(post_assignment)

    async def run(self) -> None:
        """Serve messages, request reports and run the keepers until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.inbox.handle_messages(self.handle_message))
            group.create_task(
                run_periodically(self.timing.report_s, self.request_reports)
            )
            group.create_task(run_periodically(TICK_S, self.tick))

    def start_background(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine in the background; it posts its result to the inbox."""
        self.background_tasks.start(coroutine)

    def handle_assignment_change(self, event: AssignmentChanged) -> None:
        """Create or update the keeperships assigned to this host; drop the others."""
        hosts = [str(m.host_id) for m in event.members]
        pools_to_keep = {
            pool.name: pool
            for pool in event.bundle.pools.values()
            if pool.slots and self.is_keeper_of(pool.name, hosts)
        }
        for pool_name in self.keeperships.keys() - pools_to_keep.keys():
            self.drop_keepership(pool_name)
        for pool_name, pool in pools_to_keep.items():
            targets = pool_engines(event.roster, pool_name)
            self.update_keepership(pool, targets)

    def is_keeper_of(self, pool: PoolName, hosts: list[str]) -> bool:
        """Return whether this host ranks first among the keepers of a pool here."""
        return keeper_rank(pool, self.data_centre, hosts)[:1] == [self.me]

    def update_keepership(self, pool: PoolSettings, targets: list[Target]) -> None:
        """Create the keepership of a pool if needed; set its policy and engines."""
        local = [t for t in targets if t.data_centre == self.data_centre]
        share = len(local) / len(targets) if targets else 0.0
        state = self.keeperships.get(pool.name)
        if state is None:
            suffix = self.random.getrandbits(SUFFIX_BITS)
            policy = self.make_policy(pool, share)
            keeper = Keeper(policy, suffix, self.clock.monotonic())
            state = self.keeperships[pool.name] = KeepershipState(keeper, {}, {})
            log.info("keepership taken", extra={"pool": pool.name})
        state.keeper.queue.policy = self.make_policy(pool, share).load_policy
        state.keeper.set_targets(local)

    def make_policy(self, pool: PoolSettings, share: float) -> KeeperPolicy:
        """Return a keeper's policy.

        Parameters
        ----------
        share : float
            Share of the pool's engines that are in this data centre, 0 to 1. The keeper
            may use this share of the pool's load rate, which the weight store limits.
        """
        return KeeperPolicy(
            lease_duration=timedelta(seconds=self.timing.lease_s),
            longest_request=timedelta(seconds=self.limits.longest_request_s),
            report_lag=timedelta(seconds=self.timing.report_lag_s),
            load_policy=LoadPolicy(
                loads_per_s=pool.loads_per_s * share,
                burst=LOAD_BURST,
                stall_weight=pool.weights.load_stalls,
                batch_weight=pool.weights.batch_efficiency,
            ),
        )

    def drop_keepership(self, pool: PoolName) -> None:
        """Drop a keepership; reply `NotKeeper` to its waiting load requests."""
        state = self.keeperships.pop(pool)
        for queued_message in state.tickets.values():
            queued_message.reply_with(NotKeeper())
        log.info("keepership dropped", extra={"pool": pool})

    def handle_message(self, queued_message: QueuedMessage) -> None:
        """Handle one message; an unforeseen error costs that message alone."""
        try:
            self.dispatch_message(queued_message)
        except Exception as error:
            if not queued_message.fail_with(error):
                kind = type(queued_message.message).__name__
                record_unforeseen(self.metrics, "keeper event", kind, error)

    def dispatch_message(self, queued_message: QueuedMessage) -> None:
        """Dispatch one message of a peer or event of a background task."""
        message = queued_message.message
        if isinstance(message, AssignmentChanged):
            self.handle_assignment_change(message)
        elif isinstance(message, Acquire | Renew | GiveBack | Want):
            self.handle_holder_request(queued_message)
        elif message.pool in self.keeperships:
            self.handle_event(self.keeperships[message.pool], message)

    def handle_holder_request(self, queued_message: QueuedMessage) -> None:
        """Handle a lease holder's request, or reply that this host isn't the keeper."""
        message = queued_message.message
        state = self.keeperships.get(message.keepership.pool)
        if state is None or message.keepership.data_centre != self.data_centre:
            queued_message.reply_with(NotKeeper())
            return
        now = self.clock.monotonic()
        if isinstance(message, Want):
            self.queue_load_request(state, queued_message, message, now)
        elif isinstance(message, GiveBack):
            state.keeper.handle_lease_return(
                message.holder, message.use, message.sequence
            )
            queued_message.reply_with(Taken())
        else:
            address = parse_address(message.address)
            if not isinstance(address, Success):
                raise address.failure()
            state.holder_addresses[message.holder] = address.unwrap()
            granted = self.grant_leases(state.keeper, message, now)
            queued_message.reply_with(self.granted_reply(state.keeper, granted))

    def grant_leases(
        self, keeper: Keeper, message: Acquire | Renew, now: Instant
    ) -> list[tuple[AdapterUse, timedelta]]:
        """Grant or renew use leases; return each with its duration."""
        if isinstance(message, Renew):
            return keeper.handle_renew(
                message.holder, message.uses, message.sequence, now
            )
        return keeper.handle_acquire(
            message.holder, message.adapter, message.sequence, now
        )

    def granted_reply(
        self, keeper: Keeper, uses: list[tuple[AdapterUse, timedelta]]
    ) -> Granted:
        """Return a reply with use leases and the reported load of their engines."""
        loads = []
        for target in sorted({use.target for use, _ in uses}):
            report = keeper.engines[target].report
            if report is not None:
                loads.append(EngineLoad(target, report.running, report.waiting))
        grants = tuple(
            GrantedUse(use, duration.total_seconds()) for use, duration in uses
        )
        return Granted(grants, tuple(loads))

    def queue_load_request(
        self,
        state: KeepershipState,
        queued_message: QueuedMessage,
        message: Want,
        now: Instant,
    ) -> None:
        """Queue a request to load an adapter, or refuse it if it cannot be in time."""
        ticket = next(self.ticket_ids)
        deadline = now + timedelta(seconds=message.wait_s)
        rejection = state.keeper.handle_load_request(
            ticket, message.adapter, deadline, now
        )
        if rejection is not None:
            wait_s = rejection.retry_after.total_seconds()
            queued_message.reply_with(Wanted(False, wait_s))
            return
        state.tickets[ticket] = queued_message
        if queued_message.reply is not None:
            queued_message.reply.add_done_callback(
                lambda _: self.cancel_ticket(state, ticket, message.adapter)
            )
        self.run_commands(state, message.keepership.pool)

    def cancel_ticket(
        self, state: KeepershipState, ticket: int, adapter: AdapterRef
    ) -> None:
        """Remove a ticket that was answered or whose connection ended."""
        if state.tickets.pop(ticket, None) is not None:
            state.keeper.queue.cancel_request(ticket, adapter)

    def handle_event(self, state: KeepershipState, event: Any) -> None:
        """Apply an engine's report or the result of an order or a recall."""
        now = self.clock.monotonic()
        if isinstance(event, ReportArrived):
            state.keeper.handle_report(event.report, event.asked_at, now)
        elif isinstance(event, LoadEnded):
            self.handle_load_ended(state, event, now)
        elif isinstance(event, UnloadEnded):
            self.handle_unload_ended(state, event, now)
        elif isinstance(event, RecallEnded) and event.reply.in_flight == 0:
            order = event.order
            state.keeper.handle_lease_return(
                order.holder, order.use, event.reply.sequence
            )
        self.run_commands(state, event.pool)

    def handle_load_ended(
        self, state: KeepershipState, event: LoadEnded, now: Instant
    ) -> None:
        """Record the end of a load order and answer the requests that waited for it."""
        use = event.order.use
        result = event.error.fault.value if event.error else "done"
        self.metrics.loads.inc({"result": result})
        self.journal.record(
            order_id("load", event.order.token),
            result,
            adapter=str(use.adapter),
            engine=use.target,
            took_s=event.duration.total_seconds(),
        )
        if event.error is None:
            self.answer_tickets(
                state, state.keeper.handle_load_done(use, event.duration, now)
            )
            return
        log.warning("load failed", extra={"use": str(use), "error": str(event.error)})
        if event.error.fault is TargetFault.STALE_TOKEN:
            state.keeper.handle_superseded(use.target, now)
        else:
            state.keeper.handle_load_failed(use, now)

    def answer_tickets(self, state: KeepershipState, tickets: tuple[int, ...]) -> None:
        """Reply to the load requests of these tickets that the adapter is loaded."""
        for ticket in tickets:
            queued_message = state.tickets.pop(ticket, None)
            if queued_message is not None:
                queued_message.reply_with(Wanted(True))

    def handle_unload_ended(
        self, state: KeepershipState, event: UnloadEnded, now: Instant
    ) -> None:
        """Record the end of an eviction order."""
        use = event.order.use
        result = event.error.fault.value if event.error else "done"
        self.metrics.evictions.inc({"result": result})
        subject = order_id("evict", event.order.token)
        self.journal.record(
            subject, result, adapter=str(use.adapter), engine=use.target
        )
        if event.error is None:
            state.keeper.handle_unload_done(use, now)
        elif event.error.fault is TargetFault.STALE_TOKEN:
            state.keeper.handle_superseded(use.target, now)
        else:
            state.keeper.handle_unload_failed(use)

    def tick(self) -> None:
        """Run the commands that are due in every keepership."""
        for pool, state in list(self.keeperships.items()):
            self.run_commands(state, pool)

    def run_commands(self, state: KeepershipState, pool: PoolName) -> None:
        """Run the commands that a keeper issues at this time."""
        for command in state.keeper.tick(self.clock.monotonic()):
            self.run_command(state, pool, command)

    def run_command(
        self, state: KeepershipState, pool: PoolName, command: Command
    ) -> None:
        """Refuse a load request, or send a load, an eviction or a recall."""
        if isinstance(command, RejectWaiter):
            queued_message = state.tickets.pop(command.ticket, None)
            if queued_message is not None:
                wait_s = command.retry_after.total_seconds()
                queued_message.reply_with(Wanted(False, wait_s))
            return
        target = state.keeper.engines[command.use.target].target
        if isinstance(command, LoadCommand):
            self.order_journal.record_load(state.keeper.queue, command)
            self.start_background(self.calls.send_load(pool, target, command))
        elif isinstance(command, UnloadCommand):
            self.order_journal.record_unload(state.keeper.queue, command)
            self.start_background(self.calls.send_unload(pool, target, command))
        else:
            self.recall(state, pool, command)

    def recall(
        self, state: KeepershipState, pool: PoolName, command: RecallCommand
    ) -> None:
        """Recall a use lease, if it is known where its holder is."""
        address = state.holder_addresses.get(command.holder)
        if address is not None:
            self.start_background(self.calls.send_recall(address, pool, command))

    async def request_reports(self) -> None:
        """Request the reports of all engines of all keeperships."""
        requests = [
            self.calls.request_report(pool, engine.target)
            for pool, state in self.keeperships.items()
            for engine in state.keeper.engines.values()
        ]
        await asyncio.gather(*requests)

    def residency_snapshot(self) -> dict[str, dict[TargetId, list[str]]]:
        """Return the loaded adapters by pool and engine, for the status page."""
        return {
            str(pool): {
                target: [str(a) for a in sorted(engine.resident)]
                for target, engine in state.keeper.engines.items()
            }
            for pool, state in self.keeperships.items()
        }


def pool_engines(roster: Roster, pool: PoolName) -> list[Target]:
    """Return a pool's engines in all data centres, including leaving ones."""
    return [t for t in roster.targets_in_pool(pool) if t.kind is TargetKind.ENGINE]


def live_engines(roster: Roster, pool: PoolName) -> list[Target]:
    """Return a pool's engines that accept new requests."""
    return [t for t in pool_engines(roster, pool) if t.presence is Presence.LIVE]
