"""The holder's side: leases on engines, asked from their keepers and kept renewed.

The dispatcher reads and counts leases by direct calls, without a message in between:
a lease must be checked right before the bytes leave, with nothing awaited since.
"""

import asyncio
import logging
from collections.abc import Callable, Iterator
from datetime import timedelta
from itertools import groupby

from returns.result import Failure, Result, Success

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.leases import HolderId, LeaseTable, Use
from sardinequay_core.membership import Member
from sardinequay_core.names import AdapterRef, Address, DataCentre, PoolName, TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run
from sardinequay_core.rendezvous import rank_weighted
from sardinequay_core.roster import EMPTY_ROSTER, Presence, Roster, Target

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
"""How long an unreachable data centre is asked last, and a failed target avoided."""
KEEPERS_ASKED = 3
RETRY_PAUSE_S = 0.1
NO_KEEPER_RETRY = timedelta(seconds=2)
MessageMaker = Callable[[Keepership], Acquire | Want]
log = logging.getLogger(__name__)


class LeaseTask:
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
        self.table = LeaseTable()
        self.roster = EMPTY_ROSTER
        self.targets: dict[TargetId, Target] = {}
        self.members: tuple[Member, ...] = ()
        self.loads: dict[TargetId, EngineLoad] = {}
        self.avoided: dict[DataCentre, Instant] = {}
        self.avoided_targets: dict[TargetId, Instant] = {}
        self.acquiring: dict[AdapterRef, asyncio.Task[bool]] = {}
        self.sending: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Renew leases for good."""
        await run_periodically(self.timing.lease_s / RENEWALS_PER_LEASE, self.renew_all)

    def take_roster(self, roster: Roster) -> None:
        """Take the list; targets that leave get no new work from now on."""
        self.roster = roster
        self.targets = {t.target_id: t for t in roster.targets}
        for use, _ in self.table.held():
            target = self.targets.get(use.target)
            if target is None or target.presence is Presence.LEAVING:
                self.table.recall(use)

    def take_members(self, members: tuple[Member, ...]) -> None:
        """Take who is alive in this data centre."""
        self.members = members

    # Choosing a lease for one request.

    def best(self, adapter: AdapterRef) -> Use | None:
        """Return the usable lease on the least busy engine."""
        now = self.clock.monotonic()
        usable = [
            use
            for use in self.table.usable(adapter, now)
            if self.avoided_targets.get(use.target, now) <= now
        ]
        return min(usable, key=self.busyness, default=None)

    def busyness(self, use: Use) -> tuple[int, int, Use]:
        """Return how busy an engine is, by its last report and our own requests."""
        load = self.loads.get(use.target)
        held = self.table.leases[use]
        reported = load.waiting if load else 0
        return reported, held.in_flight, use

    def avoid(self, target: TargetId) -> None:
        """Send nothing new to a target for a while, because a request failed there."""
        self.avoided_targets[target] = self.clock.monotonic() + AVOID_FOR

    async def obtain(
        self, pool: PoolName, adapter: AdapterRef, deadline: Instant
    ) -> Result[Use, Refusal]:
        """Return a usable lease, waiting for a load if need be."""
        began = self.clock.monotonic()
        while True:
            use = self.best(adapter)
            if use is not None:
                self.observe_stall(began)
                return Success(use)
            now = self.clock.monotonic()
            if now >= deadline:
                message = "the deadline passed before the adapter was loaded"
                return Failure(not_run(Reason.DEADLINE_EXPIRED, message))
            if await self.acquire(pool, adapter):
                continue
            refusal = await self.wait_for_load(pool, adapter, deadline)
            if refusal is not None:
                return Failure(refusal)

    def observe_stall(self, began: Instant) -> None:
        """Count how long a request waited, if it did."""
        waited = self.clock.monotonic() - began
        if waited > timedelta(milliseconds=5):
            self.metrics.load_stall.observe({}, waited.total_seconds())

    async def acquire(self, pool: PoolName, adapter: AdapterRef) -> bool:
        """Ask for leases, once for all requests that ask at the same time."""
        task = self.acquiring.get(adapter)
        if task is None:
            task = asyncio.create_task(self.acquire_now(pool, adapter))
            self.acquiring[adapter] = task
            task.add_done_callback(lambda _: self.acquiring.pop(adapter, None))
        return await asyncio.shield(task)

    async def acquire_now(self, pool: PoolName, adapter: AdapterRef) -> bool:
        """Ask the keeper in the adapter's home; return whether it gave a lease."""
        sequence = self.table.next_sequence()
        asked_at = self.clock.monotonic()

        def message(keepership: Keepership) -> Acquire:
            address = str(self.address)
            return Acquire(keepership, self.holder, address, adapter, sequence)

        answer = await self.ask_home(pool, adapter, message, None)
        if not isinstance(answer, Granted):
            return False
        self.take_granted(answer, asked_at, sequence)
        return self.best(adapter) is not None

    def take_granted(self, granted: Granted, asked_at: Instant, sequence: int) -> None:
        """Take leases, each counted from before it was asked for."""
        for grant in granted.uses:
            until = asked_at + timedelta(seconds=grant.lasts_s)
            self.table.grant(grant.use, until, sequence)
        for load in granted.loads:
            self.loads[load.target] = load

    async def wait_for_load(
        self, pool: PoolName, adapter: AdapterRef, deadline: Instant
    ) -> Refusal | None:
        """Wait until the adapter is loaded; return a refusal if it will not be."""
        wait = deadline - self.clock.monotonic()
        wait_s = wait.total_seconds()

        def message(keepership: Keepership) -> Want:
            return Want(keepership, self.holder, adapter, wait_s)

        answer = await self.ask_home(pool, adapter, message, wait_s)
        if isinstance(answer, Wanted) and answer.loaded:
            return None
        if isinstance(answer, Wanted):
            text = "the adapter cannot be loaded before the deadline"
            after = timedelta(seconds=answer.retry_after_s)
            return not_run(Reason.LOAD_QUEUE_FULL, text, after)
        if not live_engines(self.roster, pool):
            return not_run(Reason.NO_TARGET, "no engine is live", NO_KEEPER_RETRY)
        await asyncio.sleep(RETRY_PAUSE_S)
        return None

    # Finding keepers.

    async def ask_home(
        self,
        pool: PoolName,
        adapter: AdapterRef,
        make: MessageMaker,
        timeout_s: float | None,
    ) -> Granted | Wanted | None:
        """Ask the keeper in the adapter's home, or the next one that can be reached."""
        for data_centre in self.homes(pool, adapter):
            keepership = Keepership(pool, data_centre)
            answer = await self.ask_keeper(keepership, make(keepership), timeout_s)
            if isinstance(answer, Granted | Wanted):
                return answer
            self.avoided[data_centre] = self.clock.monotonic() + AVOID_FOR
        return None

    def homes(self, pool: PoolName, adapter: AdapterRef) -> list[DataCentre]:
        """Return data centres in the order of the adapter, unreachable ones last."""
        weights: dict[str, float] = {}
        for target in live_engines(self.roster, pool):
            weights[target.data_centre] = weights.get(target.data_centre, 0) + 1
        now = self.clock.monotonic()
        ranked = [DataCentre(n) for n in rank_weighted(str(adapter), weights)]
        return sorted(ranked, key=lambda dc: self.avoided.get(dc, now) > now)

    def keepers(self, keepership: Keepership) -> Iterator[Address]:
        """Yield hosts to ask, the likely keeper first."""
        local = keepership.data_centre == self.data_centre
        hosts: dict[str, Address] = {}
        if local:
            hosts = {str(m.host_id): m.address for m in self.members}
        else:
            for host in self.roster.hosts_in(keepership.data_centre):
                if host.presence is Presence.LIVE:
                    hosts[str(host.host_id)] = host.peer_address
        ranked = keeper_rank(keepership.pool, keepership.data_centre, list(hosts))
        yield from (hosts[name] for name in ranked[:KEEPERS_ASKED])

    async def ask_keeper(
        self,
        keepership: Keepership,
        message: Acquire | Want | Renew | GiveBack,
        timeout_s: float | None,
    ) -> object:
        """Ask likely keepers until one is it."""
        for address in self.keepers(keepership):
            answer = await self.peers.call(address, message, timeout_s)
            if isinstance(answer, Success) and not isinstance(
                answer.unwrap(), NotKeeper
            ):
                return answer.unwrap()
        return PeerError(keepership.data_centre, "no keeper")

    # Keeping and returning leases.

    def keepership_of(self, use: Use) -> Keepership | None:
        """Return who keeps the engine of a use."""
        target = self.targets.get(use.target)
        return Keepership(target.pool, target.data_centre) if target else None

    async def renew_all(self) -> None:
        """Renew all leases, one message to each keeper."""
        self.table.expire(self.clock.monotonic())
        held = [(k, u, n) for u, n in self.table.held() if (k := self.keepership_of(u))]
        held.sort(key=lambda item: (item[0].pool, item[0].data_centre))
        asks = [
            self.renew(keepership, [(use, count) for _, use, count in group])
            for keepership, group in groupby(held, key=lambda item: item[0])
        ]
        await asyncio.gather(*asks)

    async def renew(self, keepership: Keepership, uses: list[tuple[Use, int]]) -> None:
        """Renew leases with one keeper; what it does not renew is recalled."""
        sequence = self.table.next_sequence()
        asked_at = self.clock.monotonic()
        address = str(self.address)
        message = Renew(keepership, self.holder, address, tuple(uses), sequence)
        answer = await self.ask_keeper(keepership, message, None)
        if not isinstance(answer, Granted):
            return
        self.take_granted(answer, asked_at, sequence)
        renewed = {grant.use for grant in answer.uses}
        for use, _ in uses:
            if use not in renewed and not self.table.recall(use):
                self.give_back(use)

    async def answer_recall(self, message: Recall) -> Recalled:
        """Stop using an adapter on an engine because its keeper asks."""
        in_flight = self.table.recall(message.use)
        return Recalled(in_flight, self.table.next_sequence())

    def begin(self, use: Use) -> bool:
        """Count a request in, right before its bytes leave."""
        return self.table.begin(use, self.clock.monotonic())

    def end(self, use: Use) -> None:
        """Count a request out, and return the lease if it was recalled."""
        if self.table.end(use):
            self.give_back(use)

    def give_back(self, use: Use) -> None:
        """Tell the keeper that a lease is returned, without waiting."""
        keepership = self.keepership_of(use)
        if keepership is None:
            return
        sequence = self.table.next_sequence()
        message = GiveBack(keepership, self.holder, use, sequence)
        task = asyncio.create_task(self.send(keepership, message))
        self.sending.add(task)
        task.add_done_callback(self.sending.discard)

    async def send(self, keepership: Keepership, message: GiveBack) -> None:
        """Send a return; if it is lost the lease runs out."""
        await self.ask_keeper(keepership, message, None)

    async def give_back_all(self) -> None:
        """Return every lease that no request runs on, when the host stops."""
        for use, in_flight in self.table.held():
            if not in_flight:
                self.table.drop(use)
                self.give_back(use)
        await asyncio.gather(*self.sending)
