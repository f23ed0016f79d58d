"""The holder's side of use leases: acquires them from keepers, renews and returns them.

A use lease lets this host send requests for one adapter to one engine; the keeper does
not evict the adapter meanwhile. The dispatcher checks and counts leases by direct
calls, not by messages: a lease must be checked right before the bytes of a request are
written, with no await in between.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator
from datetime import timedelta
from itertools import groupby

from returns.result import Failure, Result, Success

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.leases import AdapterUse, HolderId, LeaseTable
from sardinequay_core.membership import Member
from sardinequay_core.names import AdapterRef, Address, DataCentre, PoolName, TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.rendezvous import rank_members_weighted
from sardinequay_core.roster import EMPTY_ROSTER, Presence, Roster, Target

from .background_tasks import BackgroundTasks
from .errors import PeerError
from .keeper_task import keeper_rank, live_engines
from .mailbox import run_periodically
from .messages import (
    Acquire,
    EngineLoad,
    GiveBack,
    Granted,
    Keepership,
    NotKeeper,
    Recall,
    Recalled,
    Renew,
    Want,
    Wanted,
)
from .metrics import Metrics
from .peers import PeerClient
from .shared_settings import TimingSettings

RENEWALS_PER_LEASE = 4
AVOID_FOR = timedelta(seconds=3)
"""How long an unreachable data centre is tried last, and a failed target avoided."""
MAX_KEEPER_CANDIDATES = 3
RETRY_PAUSE_S = 0.1
NO_KEEPER_RETRY = timedelta(seconds=2)
MessageMaker = Callable[[Keepership], Acquire | Want]
log = logging.getLogger(__name__)


class UseLeaseTask:
    """Owns this host's use leases."""

    def __init__(
        self,
        holder: HolderId,
        address: Address,
        data_centre: DataCentre,
        peers: PeerClient,
        timing: TimingSettings,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.holder = holder
        self.address = address
        self.data_centre = data_centre
        self.peers = peers
        self.timing = timing
        self.clock = clock
        self.metrics = metrics
        self.lease_table = LeaseTable()
        self.roster = EMPTY_ROSTER
        self.targets: dict[TargetId, Target] = {}
        self.members: tuple[Member, ...] = ()
        self.engine_loads: dict[TargetId, EngineLoad] = {}
        self.avoided_data_centres: dict[DataCentre, Instant] = {}
        self.avoided_targets: dict[TargetId, Instant] = {}
        self.acquire_tasks: dict[AdapterRef, asyncio.Task[bool]] = {}
        self.background_sends = BackgroundTasks("lease return")

    async def run(self) -> None:
        """Renew leases until cancelled."""
        await run_periodically(
            self.timing.lease_s / RENEWALS_PER_LEASE, self.renew_leases
        )

    def apply_roster(self, roster: Roster) -> None:
        """Replace the roster; leases on removed or leaving targets are recalled."""
        self.roster = roster
        self.targets = {t.target_id: t for t in roster.targets}
        for use, _ in self.lease_table.held_leases():
            target = self.targets.get(use.target)
            if target is None or target.presence is Presence.LEAVING:
                self.lease_table.handle_recall(use)

    def apply_members(self, members: tuple[Member, ...]) -> None:
        """Replace the live hosts of this data centre."""
        self.members = members

    def best_lease(self, adapter: AdapterRef) -> AdapterUse | None:
        """Return the usable lease on the least busy engine."""
        now = self.clock.monotonic()
        usable = [
            use
            for use in self.lease_table.usable_uses(adapter, now)
            if self.avoided_targets.get(use.target, now) <= now
        ]
        return min(usable, key=self.load_key, default=None)

    def load_key(self, use: AdapterUse) -> tuple[int, int, AdapterUse]:
        """Return a sort key: waiting requests by the last report, then own requests."""
        engine_load = self.engine_loads.get(use.target)
        held = self.lease_table.leases[use]
        reported = engine_load.waiting if engine_load else 0
        return reported, held.in_flight, use

    def avoid_target(self, target: TargetId) -> None:
        """Avoid a target for `AVOID_FOR` after a request failed there."""
        self.avoided_targets[target] = self.clock.monotonic() + AVOID_FOR

    async def obtain_lease(
        self, pool: PoolName, adapter: AdapterRef, deadline: Instant
    ) -> Result[AdapterUse, Refusal]:
        """Return a usable lease; acquire one, or wait for a load, if there is none."""
        started_at = self.clock.monotonic()
        while True:
            use = self.best_lease(adapter)
            if use is not None:
                self.observe_stall(started_at)
                return Success(use)
            now = self.clock.monotonic()
            if now >= deadline:
                message = "the deadline passed before the adapter was loaded"
                return Failure(not_run_refusal(Reason.DEADLINE_EXPIRED, message))
            if await self.acquire_leases(pool, adapter):
                continue
            refusal = await self.wait_for_load(pool, adapter, deadline)
            if refusal is not None:
                return Failure(refusal)

    def observe_stall(self, started_at: Instant) -> None:
        """Record in the metrics how long a request waited, if above 5 ms."""
        waited = self.clock.monotonic() - started_at
        if waited > timedelta(milliseconds=5):
            self.metrics.load_stall.observe({}, waited.total_seconds())

    async def acquire_leases(self, pool: PoolName, adapter: AdapterRef) -> bool:
        """Acquire leases with one message for all concurrent requests of an adapter."""
        task = self.acquire_tasks.get(adapter)
        if task is None:
            task = asyncio.create_task(self.request_leases(pool, adapter))
            self.acquire_tasks[adapter] = task
            task.add_done_callback(lambda _: self.acquire_tasks.pop(adapter, None))
        return await asyncio.shield(task)

    async def request_leases(self, pool: PoolName, adapter: AdapterRef) -> bool:
        """Request leases from the home keeper; return whether one is usable."""
        sequence = self.lease_table.next_sequence()
        asked_at = self.clock.monotonic()

        def make_message(keepership: Keepership) -> Acquire:
            address = str(self.address)
            return Acquire(keepership, self.holder, address, adapter, sequence)

        reply = await self.request_from_home(pool, adapter, make_message, None)
        if not isinstance(reply, Granted):
            return False
        self.record_granted_leases(reply, asked_at, sequence)
        return self.best_lease(adapter) is not None

    def record_granted_leases(
        self, granted: Granted, asked_at: Instant, sequence: int
    ) -> None:
        """Record granted leases; each counts from the time of its request."""
        for grant in granted.uses:
            expires_at = asked_at + timedelta(seconds=grant.lasts_s)
            self.lease_table.record_grant(grant.use, expires_at, sequence)
        for load in granted.loads:
            self.engine_loads[load.target] = load

    async def wait_for_load(
        self, pool: PoolName, adapter: AdapterRef, deadline: Instant
    ) -> Refusal | None:
        """Wait until a keeper has the adapter loaded; return a refusal if it can't."""
        remaining = deadline - self.clock.monotonic()
        wait_s = remaining.total_seconds()

        def make_message(keepership: Keepership) -> Want:
            return Want(keepership, self.holder, adapter, wait_s)

        reply = await self.request_from_home(pool, adapter, make_message, wait_s)
        if isinstance(reply, Wanted) and reply.loaded:
            return None
        if isinstance(reply, Wanted):
            text = "the adapter cannot be loaded before the deadline"
            after = timedelta(seconds=reply.retry_after_s)
            return not_run_refusal(Reason.LOAD_QUEUE_FULL, text, after)
        if not live_engines(self.roster, pool):
            return not_run_refusal(
                Reason.NO_TARGET, "no engine is live", NO_KEEPER_RETRY
            )
        await asyncio.sleep(RETRY_PAUSE_S)
        return None

    async def request_from_home(
        self,
        pool: PoolName,
        adapter: AdapterRef,
        make_message: MessageMaker,
        timeout_s: float | None,
    ) -> Granted | Wanted | None:
        """Call the keeper in the adapter's home data centre, or the next reachable one.

        Parameters
        ----------
        make_message : callable
            Makes the message to the keeper of a keepership.
        """
        for data_centre in self.home_data_centres(pool, adapter):
            keepership = Keepership(pool, data_centre)
            reply = await self.request_from_keeper(
                keepership, make_message(keepership), timeout_s
            )
            if isinstance(reply, Granted | Wanted):
                return reply
            self.avoided_data_centres[data_centre] = self.clock.monotonic() + AVOID_FOR
        return None

    def home_data_centres(
        self, pool: PoolName, adapter: AdapterRef
    ) -> list[DataCentre]:
        """Return data centres ranked for an adapter, the home first.

        Data centres that could not be reached lately come last.
        """
        weights: dict[str, float] = {}
        for target in live_engines(self.roster, pool):
            weights[target.data_centre] = weights.get(target.data_centre, 0) + 1
        now = self.clock.monotonic()
        ranked = [DataCentre(n) for n in rank_members_weighted(str(adapter), weights)]
        return sorted(
            ranked, key=lambda dc: self.avoided_data_centres.get(dc, now) > now
        )

    def keeper_candidates(self, keepership: Keepership) -> Iterator[Address]:
        """Yield the addresses of the most likely keepers, in order of rank."""
        local = keepership.data_centre == self.data_centre
        hosts: dict[str, Address] = {}
        if local:
            hosts = {str(m.host_id): m.address for m in self.members}
        else:
            for host in self.roster.hosts_in_data_centre(keepership.data_centre):
                if host.presence is Presence.LIVE:
                    hosts[str(host.host_id)] = host.peer_address
        ranked = keeper_rank(keepership.pool, keepership.data_centre, list(hosts))
        yield from (hosts[name] for name in ranked[:MAX_KEEPER_CANDIDATES])

    async def request_from_keeper(
        self,
        keepership: Keepership,
        message: Acquire | Want | Renew | GiveBack,
        timeout_s: float | None,
    ) -> object:
        """Call the likely keepers in turn; return the reply of the actual keeper."""
        for address in self.keeper_candidates(keepership):
            reply = await self.peers.call(address, message, timeout_s)
            if isinstance(reply, Success) and not isinstance(reply.unwrap(), NotKeeper):
                return reply.unwrap()
        return PeerError(keepership.data_centre, "no keeper")

    def keepership_of(self, use: AdapterUse) -> Keepership | None:
        """Return the keepership of a use's engine; None if it is not in the roster."""
        target = self.targets.get(use.target)
        return Keepership(target.pool, target.data_centre) if target else None

    async def renew_leases(self) -> None:
        """Renew all leases with one message to each keeper."""
        self.lease_table.expire_idle(self.clock.monotonic())
        held = [
            (k, u, n)
            for u, n in self.lease_table.held_leases()
            if (k := self.keepership_of(u))
        ]
        held.sort(key=lambda item: (item[0].pool, item[0].data_centre))
        renewals = [
            self.renew_with_keeper(
                keepership, [(use, count) for _, use, count in group]
            )
            for keepership, group in groupby(held, key=lambda item: item[0])
        ]
        await asyncio.gather(*renewals)

    async def renew_with_keeper(
        self, keepership: Keepership, uses: list[tuple[AdapterUse, int]]
    ) -> None:
        """Renew leases with one keeper; leases that it doesn't renew are recalled."""
        sequence = self.lease_table.next_sequence()
        asked_at = self.clock.monotonic()
        address = str(self.address)
        message = Renew(keepership, self.holder, address, tuple(uses), sequence)
        reply = await self.request_from_keeper(keepership, message, None)
        if not isinstance(reply, Granted):
            return
        self.record_granted_leases(reply, asked_at, sequence)
        renewed = {grant.use for grant in reply.uses}
        for use, _ in uses:
            if use not in renewed and not self.lease_table.handle_recall(use):
                self.return_lease(use)

    async def handle_recall(self, message: Recall) -> Recalled:
        """Handle a keeper's recall: use the lease for no further request."""
        in_flight = self.lease_table.handle_recall(message.use)
        return Recalled(in_flight, self.lease_table.next_sequence())

    def begin_request(self, use: AdapterUse) -> bool:
        """Record the start of a request, right before its bytes are written.

        Returns
        -------
        bool
            False if the lease is no longer usable.
        """
        return self.lease_table.begin_request(use, self.clock.monotonic())

    def end_request(self, use: AdapterUse) -> None:
        """Record the end of a request; return the lease if it was recalled."""
        if self.lease_table.end_request(use):
            self.return_lease(use)

    def return_lease(self, use: AdapterUse) -> None:
        """Return a lease to its keeper in the background."""
        keepership = self.keepership_of(use)
        if keepership is None:
            return
        sequence = self.lease_table.next_sequence()
        message = GiveBack(keepership, self.holder, use, sequence)
        self.background_sends.start(self.send_return(keepership, message))

    async def send_return(self, keepership: Keepership, message: GiveBack) -> None:
        """Send the return of a lease; if the message is lost, the lease expires."""
        await self.request_from_keeper(keepership, message, None)

    async def return_idle_leases(self) -> None:
        """Return all leases without a running request, when the host stops."""
        for use, in_flight in self.lease_table.held_leases():
            if not in_flight:
                self.lease_table.return_lease(use)
                self.return_lease(use)
        await asyncio.gather(*self.background_sends)
