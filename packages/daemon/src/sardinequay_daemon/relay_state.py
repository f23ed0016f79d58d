"""The state of one host by which it chooses targets for requests.

It is read and changed by direct calls, without an ``await`` between the choice of a
target and the counting of the request there: otherwise another request could choose in
between, by counts that lack the first one.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from sardinequay_core.adapter_demand import AdapterDemand
from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.engine_memory import EngineMemory
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.load_view import PEER_SHARE_EXPIRY, LoadView
from sardinequay_core.names import (
    AdapterRef,
    Address,
    HostId,
    PoolName,
    TargetId,
    parse_adapter_ref,
)
from sardinequay_core.quarantine import Quarantine
from sardinequay_core.repeat_budget import RepeatBudget, RepeatPolicy
from sardinequay_core.residency import AdapterUses, HeldAdapters, Residency
from sardinequay_core.room import NO_RANKS, LoadQueueSummary, PoolRanks, pool_ranks
from sardinequay_core.roster import Presence
from sardinequay_core.software_history import SoftwareHistory
from sardinequay_core.statements.obstacle import Obstacle, ObstacleKind
from sardinequay_core.statements.target_statements import TargetStatements
from sardinequay_core.target_health import TargetHealth

from .fleet_quotas import FleetQuotas
from .fleet_size import FleetSize
from .fleet_task import FleetTask, ReceivedDigest
from .order_task import OrderTask
from .serving_messages import AdapterUse, Contact, EngineHoldings
from .serving_ports import RequestTerms

GATHERING_PERIODS = 4
"""Digest periods within which hosts detect the loss of a hub and send digests to the
next one: two exchanges that fail, and two with the new hub."""

FIRST_VERSION = "1"
"""Version assumed for an adapter of which none is published."""

UNKNOWN_AGE_S = 1e6
"""Age that log lines give the store's copy if it is not known, in seconds: JSON has no
infinity."""


@dataclass(frozen=True, slots=True)
class EngineKeeper:
    """The keeper of a data centre: the host that orders its engines to load adapters.

    Parameters
    ----------
    orders_in_s : float
        Time until it may send orders, in seconds.
    """

    host_id: HostId
    orders_in_s: float
    is_self: bool


@dataclass(slots=True)
class RelayState:
    """The catalogue, the load and health of targets, and the adapters on engines.

    Hosts exchange digests of what each one knows. In a small fleet (a mesh) each host
    gets the digests of all others. In a large fleet a hub per data centre combines
    them, and the other hosts get one digest over the whole fleet from it.

    Parameters
    ----------
    fleet_view_hub : HostId or None
        The hub whose digest over all other hosts is in use; None while this host
        combines the digests of single hosts and data centres.
    fleet_view_at : timedelta
        When that hub's last digest arrived.
    ranks : dict
        How the requests for each pool rank, by the configuration in force.
    repeat_slack_from : timedelta
        When this host may use its share of the slack of the retry budgets.
    store_age_s : callable
        Returns how old the catalogue may be, in seconds.
    """

    data_centre: str
    clock: Clock
    random: Random
    repeat_policy: RepeatPolicy
    fleet: FleetTask
    catalogue: Catalogue = field(default_factory=Catalogue)
    loads: LoadView = field(default_factory=LoadView)
    health: TargetHealth = field(default_factory=TargetHealth)
    residency: Residency = field(default_factory=Residency)
    uses: AdapterUses = field(default_factory=AdapterUses)
    budgets: dict[PoolName, RepeatBudget] = field(default_factory=dict)
    demand: AdapterDemand = field(default_factory=AdapterDemand)
    quarantine: Quarantine = field(default_factory=Quarantine)
    statements: TargetStatements = field(default_factory=TargetStatements)
    software: SoftwareHistory = field(default_factory=SoftwareHistory)
    orders: OrderTask | None = None
    fleet_view_hub: HostId | None = None
    fleet_view_at: Instant = ZERO
    repeat_slack_from: Instant = ZERO
    ranks: dict[PoolName, PoolRanks] = field(default_factory=dict)
    fleet_size: FleetSize = field(init=False)
    quotas: FleetQuotas = field(init=False)
    store_age_s: Callable[[], float] = lambda: float("inf")

    def __post_init__(self) -> None:
        """Create the parts that depend on the fleet and the clock."""
        self.fleet_size = FleetSize(self.fleet, self.clock)
        self.quotas = FleetQuotas(self.fleet_size, self.clock, self.random.random)
        # Choices read what answers and peers' digests state.
        self.loads.samples = self.statements.load_samples

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the catalogue; drop the state of targets that left or restarted."""
        before, self.catalogue = self.catalogue, catalogue
        if catalogue.config is not None and catalogue.config is not before.config:
            self.ranks = pool_ranks(catalogue.config)
        for target_id, published in catalogue.targets.items():
            previous = before.targets.get(target_id)
            if previous is not None and previous.incarnation < published.incarnation:
                self.forget_incarnation(target_id)
        self.statements.apply_catalogue(before, catalogue, self.clock.monotonic())
        self.quotas.apply_catalogue(before, catalogue)
        known = frozenset(catalogue.targets)
        self.health.prune_unlisted(known)
        self.residency.prune_unlisted(known)

    def forget_incarnation(self, target_id: TargetId) -> None:
        """Drop the state of an earlier incarnation of a target."""
        self.health.forget_target(target_id)
        self.loads.forget_target(target_id)
        self.uses.forget_target(target_id)

    def engine_memory(self, published: PublishedTarget, now: Instant) -> EngineMemory:
        """Return the memory of an engine, by what all hosts have sent there."""
        target = published.target
        config = self.catalogue.config
        # A request may outlive its pool's configuration.
        pool = config.pools.get(target.pool) if config is not None else None
        if pool is None or pool.engines is None:
            return EngineMemory(capacity=0)
        share = self.loads.total_share(target.target_id, now)
        hears_peers = bool(self.loads.peers)
        capacity = pool.engines.token_capacity
        return EngineMemory(capacity, share.held_tokens, hears_peers)

    def is_live(self, target_id: TargetId) -> bool:
        """Return whether a target is listed and leaves by neither entry nor answer."""
        listed = self.catalogue.targets.get(target_id)
        return (
            listed is not None
            and listed.target.presence is Presence.LIVE
            and not self.statements.is_leaving(listed)
        )

    def live_targets(self, pool: PoolName) -> list[PublishedTarget]:
        """Return the targets of a pool that take new requests."""
        listed = self.catalogue.live_targets(pool)
        return [t for t in listed if not self.statements.is_leaving(t)]

    def draining_targets(
        self, pool: PoolName, arrived: Instant
    ) -> list[PublishedTarget]:
        """Return the leaving targets of a pool that still take a request.

        Parameters
        ----------
        arrived : timedelta
            When the request came to this host.
        """
        listed = self.catalogue.live_targets(pool)
        return [t for t in listed if self.statements.is_draining(t, arrived)]

    def obstacle(self, published: PublishedTarget, arrived: Instant) -> Obstacle | None:
        """Return what keeps a request from a target that was chosen for it, if any."""
        target_id = published.target.target_id
        listed = self.catalogue.targets.get(target_id)
        if listed is None or listed.target.presence is not Presence.LIVE:
            return Obstacle(ObstacleKind.LEAVING, self.clock.monotonic())
        return self.statements.obstacle(listed, arrived, self.clock.monotonic())

    def obstacles(self, pool: PoolName) -> dict[TargetId, Obstacle]:
        """Return the statements that keep new requests from targets of a pool."""
        if not self.statements.has_obstacles:
            return {}
        now = self.clock.monotonic()
        found = {
            t.target.target_id: self.statements.obstacle(t, now, now)
            for t in self.catalogue.live_targets(pool)
        }
        return {t: obstacle for t, obstacle in found.items() if obstacle is not None}

    def forget_own_failures(self, targets: Iterable[TargetId]) -> None:
        """Drop what this host's failed attempts have shown of targets."""
        for target_id in targets:
            self.health.forget_own_failures(target_id)

    def data_centre_at(self, address: Address) -> str:
        """Return the data centre of the target at an address; empty if unknown."""
        for published in self.catalogue.targets.values():
            if published.target.address == address:
                return published.target.data_centre
        return ""

    def apply_digest(self, received: ReceivedDigest) -> None:
        """Apply a peer's digest: load, adapter uses and engines' holdings."""
        digest = received.digest
        self.loads.has_fleet_pace = not self.fleet.is_mesh
        self.loads.peer_expiry = max(
            PEER_SHARE_EXPIRY, self.fleet.max_harmless_silence()
        )
        match digest.scope:
            case DigestScope.HOST | DigestScope.DATA_CENTRE if (
                self.receives_host_digests()
            ):
                self.apply_host_digest(received)
            case DigestScope.FLEET if self.fleet.hub() == digest.host:
                self.apply_fleet_digest(received)
        for holdings in digest.holdings:
            self.apply_holdings(holdings, received.received_at)

    def receives_host_digests(self) -> bool:
        """Return whether this host combines peers' digests, not a hub's sum."""
        return self.fleet.is_mesh or self.fleet.is_hub()

    def apply_host_digest(self, received: ReceivedDigest) -> None:
        """Apply a digest of one host, or of all hosts of one data centre."""
        digest, now = received.digest, received.received_at
        host_id = digest.host.host_id
        if self.fleet_view_hub is not None and not self.is_gathering(now):
            # The hub's sum over all hosts, used until now, includes this peer.
            self.forget_peer(self.fleet_view_hub)
            self.fleet_view_hub = None
        if digest.scope is DigestScope.DATA_CENTRE:
            self.forget_peers_behind(digest.host)
        self.loads.apply_peer_shares(host_id, digest.shares, now)
        self.health.tally.apply_peer_outcomes(host_id, digest.outcomes, now)
        self.demand.apply_peer_demand(host_id, digest.demand, now)
        self.quotas.record_partial_usage(received)
        uses = {(u.target, u.adapter): u.count for u in digest.uses}
        self.uses.replace_peer_counts(host_id, uses)

    def is_gathering(self, now: Instant) -> bool:
        """Return whether this host has just become a hub and lacks hosts' digests.

        Until they have arrived it uses the last hub's sum and sends no sum of its own.
        """
        if self.fleet_view_hub is None:
            return False
        return now - self.fleet_view_at < GATHERING_PERIODS * seconds(
            self.fleet.hub_period_s()
        )

    def apply_fleet_digest(self, received: ReceivedDigest) -> None:
        """Apply the digest over all other hosts from this data centre's hub."""
        digest, now = received.digest, received.received_at
        host_id = digest.host.host_id
        self.fleet_view_hub = host_id
        self.fleet_view_at = now
        self.loads.apply_fleet_shares(host_id, digest.shares, now)
        self.health.tally.apply_fleet_outcomes(host_id, digest.outcomes, now)
        self.demand.apply_fleet_demand(host_id, digest.demand, now)
        self.quotas.record_total_usage(received)
        for peer in tuple(self.uses.peers):
            self.uses.forget_peer(peer)

    def forget_peers_behind(self, hub: Contact) -> None:
        """Drop the digests of the single hosts that a hub's digest includes."""
        for host_id in {*self.loads.peers, *self.uses.peers}:
            peer = self.fleet.peers.get(host_id)
            if host_id == hub.host_id or peer is None:
                continue
            if peer.contact.data_centre == hub.data_centre:
                self.forget_peer(host_id)

    def apply_holdings(self, holdings: EngineHoldings, now: Instant) -> None:
        """Apply the adapters that an engine holds, as reported by its keeper."""
        coming = {
            adapter: now + seconds(in_s)
            for text, in_s in holdings.coming.items()
            if (adapter := parse_adapter_ref(text).value_or(None)) is not None
        }
        held = HeldAdapters(
            holdings.token,
            holdings.number,
            frozenset(holdings.adapters),
            coming,
            frozenset(holdings.recent),
            holdings.queued,
            holdings.turnover_s,
            holdings.incarnation,
            holdings.idle,
            None if holdings.queue is None else LoadQueueSummary(holdings.queue),
        )
        if (
            self.residency.apply_update(holdings.target, held)
            and self.orders is not None
        ):
            self.orders.record_peer_holdings(holdings)

    def forget_peer(self, host_id: HostId) -> None:
        """Drop what a peer contributed to the views of the fleet."""
        self.loads.forget_peer(host_id)
        self.health.tally.forget_peer(host_id)
        self.uses.forget_peer(host_id)
        self.demand.forget_peer(host_id)
        self.quotas.remove_peer(host_id)

    def adapter_uses(self) -> tuple[AdapterUse, ...]:
        """Return this host's request counts by engine and adapter, for its peers."""
        return tuple(AdapterUse(t, a, n) for (t, a), n in self.uses.own.items())

    def summed_uses(
        self, hosts: Iterable[HostId], data_centre: str
    ) -> tuple[AdapterUse, ...]:
        """Return adapter uses at a data centre, summed over this host and peers."""
        targets = {
            t
            for t, p in self.catalogue.targets.items()
            if p.target.data_centre == data_centre
        }
        summed = self.uses.summed_counts(hosts, targets)
        return tuple(AdapterUse(t, a, n) for (t, a), n in summed.items())

    def count_hosts(self) -> None:
        """Count the live hosts, by which fleet-wide limits are divided."""
        self.fleet_size.record_live_hosts()
        self.quotas.update_fleet_share()

    def apply_repeat_policy(self, policy: RepeatPolicy) -> None:
        """Replace the policy of the retry budgets; their counts stay."""
        self.repeat_policy = policy
        for budget in self.budgets.values():
            budget.policy = policy

    def repeat_budget(self, pool: PoolName) -> RepeatBudget:
        """Return this host's retry budget for a pool, created on first use."""
        found = self.budgets.get(pool)
        if found is None:
            found = RepeatBudget(self.repeat_policy, self.repeat_slack_from)
            self.budgets[pool] = found
        return found

    def logged_store_age_s(self) -> float:
        """Return the age of the store's copy for a log line, in seconds."""
        return round(min(self.store_age_s(), UNKNOWN_AGE_S), 3)

    def ranks_of(self, pool: PoolName) -> PoolRanks:
        """Return how the requests for a pool rank."""
        return self.ranks.get(pool, NO_RANKS)

    def required_adapter(self, terms: RequestTerms) -> AdapterRef:
        """Return the adapter that a request needs, in its newest version."""
        version = self.catalogue.newest_versions.get(terms.adapter, FIRST_VERSION)
        return AdapterRef(terms.adapter, version)

    def keepers(self, data_centres: Iterable[str]) -> dict[str, EngineKeeper]:
        """Return the keepers of data centres, where they are known."""
        peers = self.fleet.keepers()
        found = {}
        for data_centre in data_centres:
            keeper = self.own_keeper(data_centre)
            peer = peers.get(data_centre)
            if keeper is None and peer is not None:
                keeper = EngineKeeper(
                    peer.contact.host_id, peer.orders_in_s, is_self=False
                )
            if keeper is not None:
                found[data_centre] = keeper
        return found

    def own_keeper(self, data_centre: str) -> EngineKeeper | None:
        """Return this host as the keeper of a data centre, if it is the keeper."""
        orders = self.orders
        if orders is None or data_centre != self.data_centre:
            return None
        wait_s = orders.orders_in_s
        if wait_s == float("inf"):
            return None
        return EngineKeeper(orders.me, wait_s, is_self=True)

    def keeper_of(self, data_centre: str) -> EngineKeeper | None:
        """Return the keeper of a data centre, if one is known."""
        return self.keepers((data_centre,)).get(data_centre)

    def health_path(self, pool: PoolName) -> str:
        """Return the path of a pool's health endpoint; empty if it has none."""
        config = self.catalogue.config
        listed = config.pools.get(pool) if config is not None else None
        return listed.health_path if listed is not None else ""

    def wants_backoff(self, target_id: TargetId) -> bool:
        """Return whether a target has asked this host for a backoff."""
        now = self.clock.monotonic()
        return bool(self.statements.backoff_wait(target_id, now))

    def is_busy(self, target_id: TargetId) -> bool:
        """Return whether all slots of a target are taken, as far as is known."""
        now = self.clock.monotonic()
        listed = self.catalogue.targets.get(target_id)
        if listed is None or self.health.is_full(target_id, now):
            return True
        return self.loads.total_share(target_id, now).running >= listed.slots
