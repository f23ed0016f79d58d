"""Elections for the order lease under cuts, leaves, kills and returns, on virtual time.

The hosts are the real tables of peers, voters, candidates and engine watches; the
network, the engines and the clocks are simulated. Far hosts belong to another data
centre: they vote for nothing, but tell of hosts.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import UTC, datetime
from random import Random
from typing import Any, cast

from returns.result import Failure, Result, Success

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.engine_orders import EngineStatus
from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.order_lease import Ballot, OrderPolicy, Resign
from sardinequay_core.roster import Target
from sardinequay_daemon.engine_watch import EngineWatch
from sardinequay_daemon.fleet_task import FleetTask
from sardinequay_daemon.order_lease_task import OrderLeaseTask
from sardinequay_daemon.serving_messages import Contact, Digest

TICK_S = 0.1
DIGEST_TICKS = 2
SEED_TICKS = 5
IMPORTS_S = 0.5
"""Time from a process's start until it listens."""

REPORT_LAG_TICKS = 2
MIN_TURN_S = 3.0
"""Least time between two orders of different hosts to one engine."""

NEAR, FAR = "za", "zb"


@dataclass(slots=True)
class HostClock:
    """The world's clock as one host reads it: it runs by a share too fast."""

    now_s: float
    drift: float = 0.0

    def monotonic(self) -> Instant:
        """Return the time since an origin of this host's own."""
        return seconds(self.now_s * (1 + self.drift))

    def now(self) -> datetime:
        """Return the wall-clock time."""
        return datetime.fromtimestamp(self.now_s, UTC)


@dataclass(frozen=True, slots=True)
class SentOrder:
    """An order that an engine accepted."""

    at_s: float
    host: HostId
    token: int


@dataclass(slots=True)
class SimulatedEngine:
    """An engine that accepts each order, and its count as reports show it."""

    target: Target
    orders: list[SentOrder] = field(default_factory=list)
    shown: list[int] = field(default_factory=lambda: [0])

    def report(self) -> EngineStatus:
        """Return a report, which is some ticks old."""
        none: frozenset[Any] = frozenset()
        count = self.shown[max(0, len(self.shown) - 1 - REPORT_LAG_TICKS)]
        return EngineStatus(frozenset(), none, none, False, count, incarnation=1)


class SimulatedHost:
    """One process of a host."""

    def __init__(
        self, world: "ElectionWorld", name: HostId, seeds: Iterable[Contact]
    ) -> None:
        self.world = world
        self.contact = world.contacts[name]
        self.clock = HostClock(world.now_s, world.drifts[name])
        self.seeds = tuple(s for s in seeds if s != self.contact)
        self.listens_at_s = world.now_s + (0.0 if world.is_first_start else IMPORTS_S)
        self.sent_contacts: dict[int, int] = {}
        self.next_step_s = self.listens_at_s
        self.is_leaving = False
        started_at = self.clock.monotonic()
        self.fleet = FleetTask(
            self.contact,
            tuple(s.peer_address for s in self.seeds),
            cast(Any, None),
            self.clock,
            OrderPolicy().member_retention,
            cast(Any, None),
        )
        self.lease = OrderLeaseTask(
            name,
            self.contact.data_centre,
            cast(Any, SimulatedPeers(world, name)),
            self.fleet,
            self.clock,
            world.random,
            OrderPolicy(),
            world.is_first_start,
            started_at,
        )
        self.watch = EngineWatch(
            cast(Any, world),
            self.lease.candidate,
            cast(Any, self.clock),
            self.lease.record_orders_watched,
        )
        self.fleet.digests.subscribe(self.lease.handle_digest)
        self.fleet.holds_lease = lambda: self.lease.is_holder
        self.lease.newest_revision = world.revision
        self.lease.voter.record_revision(world.revision(), world.now_s)

    @property
    def name(self) -> HostId:
        """Return the host's id."""
        return self.contact.host_id

    def digest_to(self, peer: "SimulatedHost") -> Digest:
        """Return the digest for a peer; each process of it gets all contacts once."""
        position = self.sent_contacts.get(id(peer), 0)
        self.sent_contacts[id(peer)] = len(self.fleet.contact_log)
        return Digest(
            host=self.contact,
            is_leaving=self.is_leaving,
            contacts=self.fleet.contacts_since(position),
            shares={},
            uses=(),
            holdings=(),
            holds_lease=self.lease.is_holder,
            orders_in_s=self.lease.orders_in_s,
            up_s=self.fleet.uptime_s(),
            store_revision=1,
            news_revision=1,
            store_age_s=0.0,
            stamp=self.fleet.dates.stamp(peer.name),
        )

    def call_peers(self, tick: int) -> None:
        """Exchange digests with known hosts, and with seeds, where due."""
        names: set[HostId] = set()
        if tick % DIGEST_TICKS == 0:
            names |= self.fleet.peers.keys()
        if tick % SEED_TICKS == 0 or self.fleet.joined_at is None:
            names |= {s.host_id for s in self.seeds}
        for name in sorted(names):
            self.world.exchange(self, name)
        if tick % SEED_TICKS == 0:
            self.fleet.prune_silent_peers(self.clock.monotonic())

    async def step(self, tick: int) -> None:
        """Do what is due in this tick."""
        self.call_peers(tick)
        if self.contact.data_centre != NEAR:
            return
        if self.world.now_s >= self.next_step_s:
            self.next_step_s = self.world.now_s + await self.lease.step()
        targets = [e.target for e in self.world.engines]
        now = self.clock.monotonic()
        has_voted = self.lease.voter.is_vote_given_elsewhere(self.name, now)
        self.watch.step(targets, has_voted)
        for task in self.watch.tasks:
            await task

    def order(self, engine: SimulatedEngine) -> None:
        """Send an engine an order if this host may."""
        candidate, now = self.lease.candidate, self.clock.monotonic()
        if not candidate.can_order(now):
            return
        target = engine.target.target_id
        candidate.record_order(now)
        self.watch.counts.begin_own_order(target, now)
        engine.orders.append(SentOrder(self.world.now_s, self.name, candidate.token))
        self.watch.counts.end_own_order(target, True, now)


@dataclass(slots=True)
class SimulatedPeers:
    """Calls of one host to others; an answer can be lost."""

    world: "ElectionWorld"
    caller: HostId

    async def call(
        self, address: Address, message: Ballot | Resign, timeout_s: float
    ) -> Result[object, str]:
        """Deliver a message if the link bears it, and return the reply."""
        peer = self.world.host_at(address)
        if peer is None or not self.world.reaches(self.caller, peer.name):
            return Failure("unreachable")
        reply: object
        if isinstance(message, Ballot):
            reply = await peer.lease.handle_ballot(message)
        else:
            reply = await peer.lease.handle_resign(message)
        if not self.world.reaches(peer.name, self.caller):
            return Failure("silent")
        return Success(reply)


class ElectionWorld:
    """A data centre's hosts and engines, and far hosts.

    Parameters
    ----------
    demand : float
        Probability that a host has an order for an engine in a tick.
    """

    def __init__(
        self, random: Random, near: int, far: int, engines: int, demand: float
    ) -> None:
        self.random = random
        self.now_s = 1000.0
        self.tick = 0
        self.demand = demand
        self.cut: set[tuple[HostId, HostId]] = set()
        self.hosts: dict[HostId, SimulatedHost] = {}
        self.contacts: dict[HostId, Contact] = {}
        self.drifts: dict[HostId, float] = {}
        self.silent_ticks = 0
        self.engines = tuple(
            SimulatedEngine(cast(Target, NamedTarget(TargetId(f"e{n}"))))
            for n in range(engines)
        )
        self.near = [self.add_contact(f"n{n}", NEAR) for n in range(near)]
        self.far = [self.add_contact(f"f{n}", FAR) for n in range(far)]
        self.is_first_start = True
        for name in (*self.near, *self.far):
            self.start(name)
        self.is_first_start = False

    def add_contact(self, name: str, data_centre: str) -> HostId:
        """Give a host an address and a clock."""
        host_id = HostId(name)
        address = f"127.0.0.1:{1000 + len(self.contacts)}"
        self.contacts[host_id] = Contact(host_id, data_centre, address)
        self.drifts[host_id] = self.random.choice((0.0, 2e-4, -2e-4))
        return host_id

    def revision(self) -> int:
        """Return the store's revision: it shows effects of orders after 2 s."""
        orders = (o for e in self.engines for o in e.orders)
        return 1 + sum(1 for o in orders if self.now_s - o.at_s >= 2.0)

    def start(self, name: HostId, seeds: Iterable[HostId] | None = None) -> None:
        """Start a host's process."""
        if seeds is None:
            seeds = self.random.sample(
                [*self.near, *self.far], min(3, len(self.near) + len(self.far))
            )
        self.hosts[name] = SimulatedHost(
            self, name, [self.contacts[s] for s in seeds if s in self.contacts]
        )

    def kill(self, name: HostId) -> None:
        """End a host's process."""
        self.hosts.pop(name, None)

    def begin_leaving(self, name: HostId) -> None:
        """Have a host announce its leave."""
        host = self.hosts.get(name)
        if host is not None:
            host.is_leaving = host.fleet.is_leaving = True
            host.lease.begin_leaving()

    async def end_leaving(self, name: HostId) -> None:
        """End a host that leaves; it gives the lease back."""
        host = self.hosts.get(name)
        if host is not None:
            await host.lease.resign()
            self.kill(name)

    def is_up(self, name: HostId) -> bool:
        """Return whether a host's process listens."""
        host = self.hosts.get(name)
        return host is not None and self.now_s >= host.listens_at_s

    def reaches(self, sender: HostId, receiver: HostId) -> bool:
        """Return whether packets arrive."""
        return (sender, receiver) not in self.cut

    def separate(self, name: HostId, others: Iterable[HostId], both: bool) -> None:
        """Cut a host off from others, in one direction or both."""
        for other in others:
            if other != name:
                self.cut.add((name, other))
                if both:
                    self.cut.add((other, name))

    def host_at(self, address: Address) -> SimulatedHost | None:
        """Return the process that listens at an address."""
        for name, contact in self.contacts.items():
            if contact.peer_address == address and self.is_up(name):
                return self.hosts[name]
        return None

    def exchange(self, caller: SimulatedHost, name: HostId) -> None:
        """Exchange digests between two hosts, as far as links bear it."""
        if name == caller.name or not self.is_up(name):
            return
        peer = self.hosts[name]
        if not self.reaches(caller.name, name):
            return
        peer.fleet.handle_digest(caller.digest_to(peer))
        if self.reaches(name, caller.name):
            caller.fleet.handle_digest(peer.digest_to(caller))

    async def report(self, target: "NamedTarget") -> Result[EngineStatus, str]:
        """Return an engine's report; all hosts reach all engines."""
        for engine in self.engines:
            if engine.target.target_id == target.target_id:
                return Success(engine.report())
        return Failure("no such engine")

    async def advance(self, duration_s: float) -> None:
        """Let time pass."""
        for _ in range(round(duration_s / TICK_S)):
            self.tick += 1
            self.now_s += TICK_S
            for host in self.hosts.values():
                host.clock.now_s = self.now_s
            names = [n for n in self.hosts if self.is_up(n)]
            self.random.shuffle(names)
            for name in names:
                await self.hosts[name].step(self.tick)
            self.send_orders(names)

    def send_orders(self, names: list[HostId]) -> None:
        """Have hosts send orders, and count ticks in which none may."""
        near = [self.hosts[n] for n in names if n in self.near]
        if not any(h.lease.candidate.can_order(h.clock.monotonic()) for h in near):
            self.silent_ticks += 1
        for engine in self.engines:
            for host in near:
                if self.random.random() < self.demand:
                    host.order(engine)
            engine.shown.append(len(engine.orders))

    def breaks(self) -> list[str]:
        """Return how the orders break that one host orders an engine at a time."""
        found = []
        for engine in self.engines:
            for before, after in zip(engine.orders, engine.orders[1:], strict=False):
                if before.host == after.host and before.token <= after.token:
                    continue
                if after.at_s - before.at_s < MIN_TURN_S:
                    found.append(f"{before} and {after} are too close")
                if after.token <= before.token:
                    found.append(f"{after} has no higher token than {before}")
        return found


@dataclass(frozen=True, slots=True)
class NamedTarget:
    """A target of which only the id is used."""

    target_id: TargetId
