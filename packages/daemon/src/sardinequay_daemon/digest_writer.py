"""Composition of digests: each peer gets only what it does not have yet."""

from collections.abc import Callable, Iterable
from dataclasses import replace
from datetime import timedelta

from sardinequay_core.adapter_demand import NO_DEMAND, Demand, popular_demand
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.fleet_topology import DigestScope, digest_scope
from sardinequay_core.names import HostId
from sardinequay_core.target_paths import TargetPaths
from sardinequay_core.usage_view import UsageCounts

from .fleet_task import FleetTask, ReceivedDigest
from .order_task import OrderTask
from .peer_table import Peer
from .quarantine.messages import ContentNews
from .quarantine.updates import content_update
from .relay_state import RelayState
from .serving_messages import Contact, Digest, EngineHoldings, HubNotes, Member
from .statements.limit_messages import LimitNews
from .statements.limit_recorder import LimitRecorder
from .statements.load_recorder import OWN
from .statements.messages import LeavingNews, LoadNews
from .statements.recorders import StatementRecorders
from .store.task import StoreTask

RESEND_HOLDINGS_AFTER = seconds(1)
"""Time after which holdings of an engine are sent again: the longest time for which a
peer that lost a digest keeps an old state."""


MAX_CONTENTS_PER_DIGEST = 64
"""Maximum number of contents in one digest; further ones follow in the next."""

MAX_LEAVING_PER_DIGEST = 32
"""Maximum number of leaving targets in one digest; further ones follow in the next."""

HoldingsState = tuple[int, int, int, bool | None, tuple[int, ...] | None]
MemberState = frozenset[tuple[Contact, bool, bool, int]]


class DigestWriter:
    """Builds digests and tracks what was sent to each peer."""

    def __init__(
        self,
        me: Contact,
        fleet: FleetTask,
        state: RelayState,
        store: StoreTask,
        orders: OrderTask,
        recorders: StatementRecorders,
        paths: TargetPaths,
        clock: Clock,
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.state = state
        self.store = store
        self.orders = orders
        self.recorders = recorders
        self.paths = paths
        self.clock = clock
        self.sent_holdings: dict[HostId, dict[str, tuple[HoldingsState, Instant]]] = {}
        self.sent_contact_counts: dict[HostId, int] = {}
        self.sent_members: dict[HostId, MemberState] = {}
        self.sent_content_numbers: dict[HostId, int] = {}
        self.sent_limit_numbers: dict[HostId, int] = {}
        self.sent_rejection_limit_numbers: dict[HostId, int] = {}
        self.sent_leaving_numbers: dict[HostId, int] = {}
        self.sent_load_numbers: dict[HostId, int] = {}
        self.sent_usage_scopes: dict[HostId, DigestScope] = {}
        self.restarted_peers: set[HostId] = set()

    def build_digest(self, host_id: HostId) -> Digest:
        """Return the next digest for a peer and record what it contains as sent."""
        if host_id in self.fleet.failed_exchanges:
            self.reset_sent_state(host_id)
        store_status = self.store.status()
        digest = Digest(
            host=self.me,
            is_leaving=self.fleet.is_leaving,
            contacts=self.unsent_contacts(host_id),
            shares={},
            uses=(),
            holdings=(),
            holds_lease=self.orders.lease.is_holder,
            orders_in_s=self.orders.orders_in_s,
            up_s=self.fleet.uptime_s(),
            store_revision=store_status.revision,
            news_revision=store_status.news_revision,
            store_age_s=store_status.age_s,
            has_missed=host_id in self.fleet.failed_exchanges,
            contents=self.unsent_contents(host_id),
            limits=self.unsent_limits(
                host_id, self.recorders.limits, self.sent_limit_numbers
            ),
            rejection_limits=self.unsent_limits(
                host_id,
                self.recorders.rejection_limits,
                self.sent_rejection_limit_numbers,
            ),
            leaving=self.unsent_leaving(host_id),
            is_cut_off=self.paths.is_cut_off,
            stamp=self.fleet.dates.stamp(host_id),
        )
        if self.fleet.is_mesh:
            return self.add_host_part(digest, host_id)
        return self.add_large_fleet_part(digest, host_id)

    def add_large_fleet_part(self, digest: Digest, host_id: HostId) -> Digest:
        """Add the part that a peer gets in a large fleet, by both hosts' roles."""
        hub = self.fleet.hub()
        peer = self.fleet.peers.get(host_id)
        if peer is None:
            return replace(digest, hub=hub, scope=DigestScope.NOBODY)
        is_near = self.fleet.is_near(peer)
        scope = digest_scope(hub.host_id, self.me.host_id, host_id, is_near)
        if hub == self.me and self.state.is_gathering(self.clock.monotonic()):
            scope = DigestScope.NOBODY
        digest = replace(digest, hub=hub, scope=scope)
        match scope:
            case DigestScope.HOST:
                return self.add_host_part(digest, host_id)
            case DigestScope.DATA_CENTRE:
                return self.add_data_centre_part(digest, peer)
            case DigestScope.FLEET:
                return self.add_fleet_part(digest, host_id)
        self.sent_usage_scopes.pop(host_id, None)
        return digest

    def add_host_part(self, digest: Digest, host_id: HostId) -> Digest:
        """Add the state of this host alone."""
        now = self.clock.monotonic()
        loads = self.state.loads
        return replace(
            digest,
            shares=dict(loads.own) if self.fleet.is_mesh else loads.own_shares(now),
            uses=self.state.adapter_uses(),
            holdings=self.unsent_holdings(
                host_id, self.orders.recent_holdings(), RESEND_HOLDINGS_AFTER
            ),
            outcomes=self.state.health.tally.outcomes_to_report(now),
            usage=self.unsent_usage(host_id, DigestScope.HOST),
            loads=self.unsent_loads(host_id, lambda source: source == OWN),
            demand=NO_DEMAND
            if self.fleet.is_mesh
            else self.state.demand.own_demand(now),
        )

    def add_data_centre_part(self, digest: Digest, peer: Peer) -> Digest:
        """Add the summed state of this data centre's hosts, for another hub."""
        now = self.clock.monotonic()
        host_id = peer.contact.host_id
        near_hosts = {p.contact.host_id for p in self.fleet.reporting_peers()}
        uses = self.state.summed_uses(near_hosts, peer.contact.data_centre)
        return replace(
            digest,
            shares=self.state.loads.combined_shares(near_hosts, now),
            uses=uses,
            holdings=self.unsent_holdings(host_id, self.orders.recent_holdings(), None),
            outcomes=self.state.health.tally.summed_outcomes(near_hosts, now),
            usage=self.unsent_usage(host_id, DigestScope.DATA_CENTRE),
            loads=self.unsent_loads(
                host_id, lambda source: source == OWN or source in near_hosts
            ),
            demand=self.demand_for_copies(near_hosts, now),
            live_hosts=self.fleet.live_hosts_in_data_centre(),
        )

    def add_fleet_part(self, digest: Digest, host_id: HostId) -> Digest:
        """Add the summed state of all other hosts, for a host of this data centre."""
        now = self.clock.monotonic()
        others = self.state.loads.peers.keys() - {host_id}
        holdings = (
            *self.orders.recent_holdings(),
            *self.orders.peer_holdings_snapshot(now),
        )
        return replace(
            digest,
            shares=self.state.loads.shares_excluding(host_id, now),
            holdings=self.unsent_holdings(host_id, holdings, None),
            outcomes=self.state.health.tally.summed_outcomes(others, now),
            usage=self.unsent_usage(host_id, DigestScope.FLEET),
            loads=self.unsent_loads(host_id, lambda source: source != host_id),
            demand=self.demand_for_copies(others, now),
            live_hosts=self.fleet.live_hosts,
            notes=HubNotes(
                self.unsent_members(host_id), self.fleet.neighbour_records()
            ),
        )

    def demand_for_copies(self, hosts: Iterable[HostId], now: Instant) -> Demand:
        """Return the summed demand that decides how many copies adapters get."""
        demand = self.state.demand.summed_demand(hosts, now)
        return popular_demand(demand, len(self.state.catalogue.targets))

    def handle_digest(self, received: ReceivedDigest) -> None:
        """Reset the record of sent state when a peer restarted or missed a digest."""
        host_id = received.digest.host.host_id
        if received.has_restarted:
            self.handle_peer_restart(host_id)
        elif received.digest.has_missed:
            self.reset_sent_state(host_id)

    def handle_peer_restart(self, host_id: HostId) -> None:
        """Send a restarted peer all state again.

        Its next digest also contains the holdings that other hosts reported, since it
        may have sent them itself before its restart.
        """
        self.reset_sent_state(host_id)
        self.restarted_peers.add(host_id)

    def reset_sent_state(self, host_id: HostId) -> None:
        """Forget what was sent to a peer, so that it is sent again."""
        self.sent_contact_counts.pop(host_id, None)
        self.sent_members.pop(host_id, None)
        self.sent_content_numbers.pop(host_id, None)
        self.sent_limit_numbers.pop(host_id, None)
        self.sent_rejection_limit_numbers.pop(host_id, None)
        self.sent_leaving_numbers.pop(host_id, None)
        self.sent_load_numbers.pop(host_id, None)
        self.sent_usage_scopes.pop(host_id, None)
        self.sent_holdings.pop(host_id, None)

    def unsent_contacts(self, host_id: HostId) -> tuple[Contact, ...]:
        """Return the known hosts that were not sent to a peer yet.

        Sending all of them whenever their number changes would make the cost of a start
        grow with the cube of the hosts.
        """
        sent_count = self.sent_contact_counts.get(host_id, 0)
        self.sent_contact_counts[host_id] = len(self.fleet.contact_log)
        return self.fleet.contacts_since(sent_count)

    def unsent_contents(self, host_id: HostId) -> tuple[ContentNews, ...]:
        """Return the quarantine state of contents that was not sent to a peer yet.

        This includes what other hosts reported: the state then outlives the host that
        saw the target end, and a restarted host has it after its first digest.
        """
        quarantine = self.state.quarantine
        last_sent = self.sent_content_numbers.get(host_id, 0)
        changed = quarantine.changed_since(last_sent, MAX_CONTENTS_PER_DIGEST)
        if not changed:
            return ()
        self.sent_content_numbers[host_id] = quarantine.suspicions[
            changed[-1]
        ].change_number
        now = self.clock.monotonic()
        return tuple(content_update(quarantine, content, now) for content in changed)

    def unsent_limits(
        self, host_id: HostId, recorder: LimitRecorder, sent_numbers: dict[HostId, int]
    ) -> tuple[LimitNews, ...]:
        """Return the limits of targets that changed since they were sent to a peer.

        This includes what other hosts heard, as each host hears only some answers.
        """
        last_sent = sent_numbers.get(host_id, 0)
        sent_numbers[host_id] = recorder.limits.changes.last_number
        return recorder.changed_since(last_sent)

    def unsent_leaving(self, host_id: HostId) -> tuple[LeavingNews, ...]:
        """Return the leaving targets that a peer was not told of yet."""
        last_sent = self.sent_leaving_numbers.get(host_id, 0)
        news = self.recorders.leaving.changed_since(last_sent, MAX_LEAVING_PER_DIGEST)
        if news:
            numbers = self.state.statements.leaving.changes.numbers
            self.sent_leaving_numbers[host_id] = numbers[news[-1].target]
        return news

    def unsent_loads(
        self, host_id: HostId, tells_of: Callable[[HostId], bool]
    ) -> tuple[LoadNews, ...]:
        """Return the unusual loads of targets that a peer was not told of yet.

        Those beyond the maximum are left out: in the next digest they would be old.
        """
        recorder = self.recorders.loads
        last_sent = self.sent_load_numbers.get(host_id, 0)
        self.sent_load_numbers[host_id] = recorder.samples.changes.last_number
        return recorder.changed_since(last_sent, tells_of)

    def unsent_usage(self, host_id: HostId, scope: DigestScope) -> UsageCounts:
        """Return the usage that changed recently, by organisation; all at first."""
        ledger, now = self.state.quotas.ledger, self.clock.monotonic()
        is_first = self.sent_usage_scopes.get(host_id) is not scope
        self.sent_usage_scopes[host_id] = scope
        always_included = tuple(ledger.accounts) if is_first else ()
        if scope is DigestScope.HOST:
            return ledger.usage.own_counts(now, always_included)
        if scope is DigestScope.DATA_CENTRE:
            return ledger.usage.data_centre_counts(now, always_included)
        return ledger.usage.counts_excluding(host_id, now, always_included)

    def unsent_members(self, host_id: HostId) -> tuple[Member, ...] | None:
        """Return the live hosts of this data centre; None if a peer has the list."""
        members = self.fleet.live_member_records()
        now_s = self.clock.monotonic().total_seconds()
        state = frozenset(
            (m.contact, m.is_leaving, m.is_cut_off, round(now_s - m.up_s))
            for m in members
        )
        if self.sent_members.get(host_id) == state:
            return None
        self.sent_members[host_id] = state
        return members

    def unsent_holdings(
        self,
        host_id: HostId,
        candidates: Iterable[EngineHoldings],
        resend_after: timedelta | None,
    ) -> tuple[EngineHoldings, ...]:
        """Return the engine holdings that changed since they were sent to a peer.

        Parameters
        ----------
        resend_after : timedelta or None
            Time after which holdings are sent again in case a digest was lost; None if
            the peer reports missed digests.
        """
        now = self.clock.monotonic()
        sent = self.sent_holdings.setdefault(host_id, {})
        unsent: list[EngineHoldings] = []
        if host_id in self.restarted_peers:
            # The peer may order engines again, but has lost which adapters the
            # engines used recently and can load fast.
            self.restarted_peers.discard(host_id)
            unsent += self.orders.peer_holdings_snapshot(now)
        for holdings in candidates:
            # Only whether any adapter is idle counts as a change: their number changes
            # with each request.
            has_idle = bool(holdings.idle) if resend_after is None else None
            state = (
                holdings.token,
                holdings.number,
                holdings.queued,
                has_idle,
                holdings.queue,
            )
            last_sent = sent.get(holdings.target)
            if last_sent is not None and last_sent[0] == state and now < last_sent[1]:
                continue
            resend_at = (
                now + resend_after if resend_after is not None else timedelta.max
            )
            sent[holdings.target] = (state, resend_at)
            unsent.append(holdings)
        return tuple(unsent)
