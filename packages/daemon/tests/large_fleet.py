"""A large fleet in memory, whose hosts exchange digests over hubs on virtual time."""

from collections import Counter
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from sardinequay_core.clock import Clock, seconds
from sardinequay_core.freshness import FreshnessStatement
from sardinequay_core.names import AdapterRef, Address, FeatureId, HostId, TargetId
from sardinequay_core.quarantine import TargetEnd
from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_core.target_paths import TargetPaths
from sardinequay_daemon.digest_writer import DigestWriter
from sardinequay_daemon.fleet_task import SEED_PERIOD_S, FleetTask, ReceivedDigest
from sardinequay_daemon.quarantine.updates import apply_content_update
from sardinequay_daemon.relay_state import RelayState
from sardinequay_daemon.serving_messages import Contact, Digest, EngineHoldings
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.statements.recorders import StatementRecorders
from sardinequay_daemon.store.task import StoreTask

from .conftest import ManualClock

STEP_S = 0.1
DATA_CENTRES = ("za", "zb", "zc", "zd", "ze")
FOREVER = float("inf")
E = TargetId("engine-za")
A = AdapterRef("m/a", "1")
FATAL = FeatureId("fatal")


@dataclass
class Lease:
    """Order lease that its host holds or not."""

    is_holder: bool = False


@dataclass
class Orders:
    """Engine holdings, own and received."""

    me: HostId
    lease: Lease = field(default_factory=Lease)
    managed_engines: dict = field(default_factory=dict)
    own_holdings: tuple[EngineHoldings, ...] = ()
    peer_holdings: dict[TargetId, EngineHoldings] = field(default_factory=dict)

    @property
    def orders_in_s(self) -> float:
        return 0.0 if self.lease.is_holder else FOREVER

    def recent_holdings(self) -> tuple[EngineHoldings, ...]:
        return self.own_holdings

    def peer_holdings_snapshot(self, _) -> tuple[EngineHoldings, ...]:
        return tuple(self.peer_holdings.values())

    def record_peer_holdings(self, holdings: EngineHoldings) -> None:
        self.peer_holdings[holdings.target] = holdings


class IgnoredItems:
    """Store without any items that matter."""

    def decode(self, _) -> None:
        return None


class Host:
    """Host with its fleet table and relay state, without sockets."""

    def __init__(self, number: int, clock: Clock, seeds: tuple[Address, ...]) -> None:
        data_centre = DATA_CENTRES[number % len(DATA_CENTRES)]
        address = Address("127.0.0.1", 1000 + number)
        self.me = Contact(HostId(f"h{number:03}"), data_centre, str(address))
        self.fleet = FleetTask(
            self.me,
            seeds,
            None,
            clock,
            timedelta(seconds=30),
            lambda h: self.build_digest(h),
        )
        self.state = RelayState(
            data_centre, clock, Random(number), RepeatPolicy(), self.fleet
        )
        self.orders = Orders(self.me.host_id)
        self.state.orders = self.orders
        self.recorders = StatementRecorders(
            self.state.statements,
            clock,
            ServingMetrics(self.me.host_id, data_centre),
            lambda: self.fleet.request_update(far=True),
            lambda: self.fleet.request_update(far=True),
        )
        self.store = StoreTask(
            IgnoredItems(),
            clock,
            seconds(2),
            seconds(3),
            ServingMetrics(self.me.host_id, data_centre),
        )
        self.store.freshness.hold(1)
        self.writer = DigestWriter(
            self.me,
            self.fleet,
            self.state,
            self.store,
            self.orders,
            self.recorders,
            TargetPaths(),
            clock,
        )
        self.fleet.holds_lease = lambda: self.orders.lease.is_holder
        self.fleet.digests.subscribe(self.state.apply_digest)
        self.fleet.digests.subscribe(self.record_contents)
        self.fleet.digests.subscribe(self.record_store_statement)
        self.fleet.digests.subscribe(self.recorders.apply_digest)
        self.contents_received = 0
        self.fleet.digests.subscribe(self.writer.handle_digest)
        self.fleet.lost_peers.subscribe(self.state.forget_peer)
        self.fleet.lost_peers.subscribe(self.writer.reset_sent_state)
        self.is_down = False
        self.next_near = self.next_far = 0.0

    def record_contents(self, received: ReceivedDigest) -> None:
        for news in received.digest.contents:
            self.contents_received += 1
            apply_content_update(self.state.quarantine, news, received.received_at)

    def record_store_statement(self, received: ReceivedDigest) -> None:
        digest = received.digest
        if received.built_at is not None and digest.store_age_s != FOREVER:
            as_of = received.built_at - seconds(digest.store_age_s)
            self.store.record_statement(FreshnessStatement(digest.news_revision, as_of))

    def read_store(self, revision: int) -> None:
        """Read the store, in which nothing is newer than a revision."""
        now = self.fleet.clock.monotonic()
        self.store.freshness.hold(revision)
        self.store.record_statement(FreshnessStatement(revision, now))

    def record_target_end(self, target: str) -> None:
        """Record that a target ended while it ran a request with the fatal content."""
        now = self.fleet.clock.monotonic()
        end = TargetEnd(TargetId(target), 1, now)
        self.state.quarantine.record_target_end(FATAL, end, now)

    def holds_content(self) -> bool:
        now = self.fleet.clock.monotonic()
        return bool(self.state.quarantine.remaining_hold(FATAL, now))

    def build_digest(self, host_id: HostId) -> Digest:
        return self.writer.build_digest(host_id)


class World:
    """All hosts, and the exchanges between them."""

    def __init__(self, hosts: int, clock: ManualClock) -> None:
        self.clock = clock
        seeds = tuple(Address("127.0.0.1", 1000 + n) for n in range(3))
        self.hosts = [Host(n, clock, seeds) for n in range(hosts)]
        self.by_address = {h.me.address: h for h in self.hosts}
        self.calls: Counter[str] = Counter()
        self.partitioned: set[str] = set()
        self.elapsed_s = 0.0
        for host in self.hosts:
            host.fleet.start_exchange = self.make_start_exchange(host)

    def make_start_exchange(self, caller: Host):
        def start(host_id: HostId, address: Address) -> None:
            self.calls[caller.me.host_id] += 1
            callee = self.by_address[str(address)]
            if callee.is_down or not self.can_reach(caller, callee):
                caller.fleet.build_digest(host_id)
                caller.fleet.record_failed_exchange(host_id)
                return
            self.calls[callee.me.host_id] += 1
            digest = caller.fleet.build_digest(host_id)
            callee.fleet.handle_digest(digest)
            answer = callee.fleet.build_digest(digest.host.host_id)
            caller.fleet.failed_exchanges.pop(host_id, None)
            caller.fleet.handle_digest(answer)

        return start

    def can_reach(self, one: Host, other: Host) -> bool:
        data_centres = {one.me.data_centre, other.me.data_centre}
        return len(data_centres) == 1 or not data_centres & self.partitioned

    def advance(self, for_s: float) -> None:
        """Advance the clock in small steps, with the exchanges that are due."""
        for _ in range(round(for_s / STEP_S)):
            self.clock.advance(STEP_S)
            self.elapsed_s += STEP_S
            for host in self.hosts:
                if not host.is_down:
                    self.run_due_exchanges(host)

    def run_due_exchanges(self, host: Host) -> None:
        fleet = host.fleet
        offset = int(host.me.host_id[1:]) % 10 * STEP_S
        if (
            round((self.elapsed_s + offset) / STEP_S) % round(SEED_PERIOD_S / STEP_S)
            == 0
        ):
            fleet.exchange_with_seeds()
            fleet.prune_silent_peers(self.clock.monotonic())
        if self.elapsed_s >= host.next_near:
            host.next_near = self.elapsed_s + fleet.digest_period_s(is_near=True)
            fleet.exchange_with_near_peers()
        if self.elapsed_s >= host.next_far:
            host.next_far = self.elapsed_s + fleet.far_period_s()
            fleet.exchange_with_far_peers()

    def assign_leases(self) -> None:
        """Give one host of each data centre its order lease."""
        for data_centre in DATA_CENTRES:
            self.live_hosts(data_centre)[-1].orders.lease.is_holder = True

    def live_hosts(self, data_centre: str) -> list[Host]:
        found = [h for h in self.hosts if h.me.data_centre == data_centre]
        return [h for h in found if not h.is_down]

    def lease_holder(self, data_centre: str) -> Host:
        return next(h for h in self.live_hosts(data_centre) if h.orders.lease.is_holder)


def settled_world(hosts: int, clock: ManualClock) -> World:
    """Return a fleet whose hosts know one another and whose leases are held."""
    world = World(hosts, clock)
    world.advance(3)
    world.assign_leases()
    world.advance(2)
    return world
