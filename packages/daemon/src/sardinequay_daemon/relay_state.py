"""What decisions about requests are made from, in one place on one host.

Everything here is read and changed by direct calls between two awaits, because a choice
and the counting of what was chosen must not be parted by another request's.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from random import Random

from sardinequay_core.adapter_demand import AdapterDemand
from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.load_view import PEER_SHARE_EXPIRY, LoadView
from sardinequay_core.names import (
    AdapterRef,
    HostId,
    PoolName,
    TargetId,
    parse_adapter_ref,
)
from sardinequay_core.quarantine import Quarantine
from sardinequay_core.repeat_budget import RepeatBudget, RepeatPolicy
from sardinequay_core.residency import AdapterUses, HeldAdapters, Residency
from sardinequay_core.target_health import TargetHealth

from .fleet_quotas import FleetQuotas
from .fleet_size import FleetSize
from .fleet_task import FleetTask, ReceivedDigest
from .order_task import OrderTask
from .serving_messages import AdapterUse, Contact, EngineHoldings
from .serving_ports import RequestTerms

GATHERING_PERIODS = 4
"""Exchanges within which hosts notice the loss of a hub and tell the next one: two that
fail, and two with the new one."""

FIRST_VERSION = "1"
"""The version of an adapter for which none was published."""


@dataclass(frozen=True, slots=True)
class EngineKeeper:
    """The host that orders a data centre's engines.

    Parameters
    ----------
    orders_in_s : float
        In how long it may begin, in seconds.
    """

    host_id: HostId
    orders_in_s: float
    is_self: bool


@dataclass(slots=True)
class RelayState:
    """The state, and views of it for one request.

    Parameters
    ----------
    fleet_view_hub : HostId or None
        The hub that told what all other hosts have, if one did last.
    fleet_view_at : timedelta
        When it did.
    repeat_slack_from : timedelta
        When this host has its share of the slack of repeats.
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
    orders: OrderTask | None = None
    fleet_view_hub: HostId | None = None
    fleet_view_at: Instant = ZERO
    repeat_slack_from: Instant = ZERO
    fleet_size: FleetSize = field(init=False)
    quotas: FleetQuotas = field(init=False)

    def __post_init__(self) -> None:
        """Open the book of quotas."""
        self.fleet_size = FleetSize(self.fleet, self.clock)
        self.quotas = FleetQuotas(self.fleet_size, self.clock, self.random.random)

    # What comes in.

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Take what the store publishes, and forget targets that are gone."""
        before, self.catalogue = self.catalogue, catalogue
        for target_id, published in catalogue.targets.items():
            previous = before.targets.get(target_id)
            if previous is not None and previous.incarnation < published.incarnation:
                self.forget_incarnation(target_id)
        self.quotas.apply_catalogue(before, catalogue)
        known = frozenset(catalogue.targets)
        self.health.prune_unlisted(known)
        self.residency.prune_unlisted(known)

    def forget_incarnation(self, target_id: TargetId) -> None:
        """Drop what was learned of an earlier start of a target."""
        self.health.forget_target(target_id)
        self.loads.forget_target(target_id)
        self.uses.forget_target(target_id)

    def apply_digest(self, received: ReceivedDigest) -> None:
        """Take a peer's share of load, its uses of adapters, and what engines hold."""
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
        """Return whether this host hears others' parts, not their sum from a hub."""
        return self.fleet.is_mesh or self.fleet.is_hub()

    def apply_host_digest(self, received: ReceivedDigest) -> None:
        """Take the part of one host, or of the hosts of one data centre."""
        digest, now = received.digest, received.received_at
        host_id = digest.host.host_id
        if self.fleet_view_hub is not None and not self.is_gathering(now):
            # The sum over all hosts, told until now by a hub, counts this one, too.
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
        """Return whether this host was no hub until now and knows few hosts' parts.

        It goes by the last hub's sum until each has told its own, and tells no sum.
        """
        if self.fleet_view_hub is None:
            return False
        return now - self.fleet_view_at < GATHERING_PERIODS * seconds(
            self.fleet.hub_period_s()
        )

    def apply_fleet_digest(self, received: ReceivedDigest) -> None:
        """Take from this data centre's hub what all other hosts have and saw."""
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
        """Drop the parts of hosts that a data centre's hub speaks for."""
        for host_id in {*self.loads.peers, *self.uses.peers}:
            peer = self.fleet.peers.get(host_id)
            if host_id == hub.host_id or peer is None:
                continue
            if peer.contact.data_centre == hub.data_centre:
                self.forget_peer(host_id)

    def apply_holdings(self, holdings: EngineHoldings, now: Instant) -> None:
        """Take what an engine holds from the host that orders it."""
        coming = {
            parse_adapter_ref(text).unwrap(): now + seconds(in_s)
            for text, in_s in holdings.coming.items()
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
        )
        if (
            self.residency.apply_update(holdings.target, held)
            and self.orders is not None
        ):
            self.orders.record_peer_holdings(holdings)

    def forget_peer(self, host_id: HostId) -> None:
        """Drop the share of a peer that is gone."""
        self.loads.forget_peer(host_id)
        self.health.tally.forget_peer(host_id)
        self.uses.forget_peer(host_id)
        self.demand.forget_peer(host_id)
        self.quotas.remove_peer(host_id)

    def adapter_uses(self) -> tuple[AdapterUse, ...]:
        """Return this host's uses of adapters, for its peers."""
        return tuple(AdapterUse(t, a, n) for (t, a), n in self.uses.own.items())

    def summed_uses(
        self, hosts: Iterable[HostId], data_centre: str
    ) -> tuple[AdapterUse, ...]:
        """Return the uses of this host and some peers of a data centre's engines."""
        targets = {
            t
            for t, p in self.catalogue.targets.items()
            if p.target.data_centre == data_centre
        }
        summed = self.uses.summed_counts(hosts, targets)
        return tuple(AdapterUse(t, a, n) for (t, a), n in summed.items())

    def count_hosts(self) -> None:
        """Count the hosts that live, among which bounds on all of them are divided."""
        self.fleet_size.record_live_hosts()
        self.quotas.update_fleet_share()

    def apply_repeat_policy(self, policy: RepeatPolicy) -> None:
        """Take another bound on further attempts; what was counted stays."""
        self.repeat_policy = policy
        for budget in self.budgets.values():
            budget.policy = policy

    # What a request sees.

    def repeat_budget(self, pool: PoolName) -> RepeatBudget:
        """Return this host's budget of repeats at a pool."""
        found = self.budgets.get(pool)
        if found is None:
            found = RepeatBudget(self.repeat_policy, self.repeat_slack_from)
            self.budgets[pool] = found
        return found

    def required_adapter(self, terms: RequestTerms) -> AdapterRef:
        """Return the adapter that a request needs, in its newest version."""
        version = self.catalogue.newest_versions.get(terms.adapter, FIRST_VERSION)
        return AdapterRef(terms.adapter, version)

    def keepers(self, data_centres: Iterable[str]) -> dict[str, EngineKeeper]:
        """Return the hosts that order the engines of data centres, where known."""
        peers = self.fleet.keepers()
        found = {}
        for data_centre in data_centres:
            keeper = self.own_keeping(data_centre)
            peer = peers.get(data_centre)
            if keeper is None and peer is not None:
                keeper = EngineKeeper(
                    peer.contact.host_id, peer.orders_in_s, is_self=False
                )
            if keeper is not None:
                found[data_centre] = keeper
        return found

    def own_keeping(self, data_centre: str) -> EngineKeeper | None:
        """Return this host as the one that orders a data centre's engines, if it is."""
        orders = self.orders
        if orders is None or data_centre != self.data_centre:
            return None
        opens_in_s = orders.orders_in_s
        if opens_in_s == float("inf"):
            return None
        return EngineKeeper(orders.me, opens_in_s, is_self=True)

    def keeper_of(self, data_centre: str) -> EngineKeeper | None:
        """Return the host that orders a data centre's engines, if one is known."""
        return self.keepers((data_centre,)).get(data_centre)

    def health_path(self, pool: PoolName) -> str:
        """Return where the services of a pool tell their health; empty if nowhere."""
        config = self.catalogue.config
        listed = config.pools.get(pool) if config is not None else None
        return listed.health_path if listed is not None else ""

    def is_busy(self, target_id: TargetId) -> bool:
        """Return whether a target has all its places taken, as far as is known."""
        now = self.clock.monotonic()
        listed = self.catalogue.targets.get(target_id)
        if listed is None or self.health.is_full(target_id, now):
            return True
        return self.loads.total_share(target_id, now).running >= listed.slots
