"""Writes the digests that this host tells its peers, with what is new to each."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from sardinequay_core.adapter_demand import NO_DEMAND, Demand, popular_demand
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.fleet_topology import DigestScope, digest_scope
from sardinequay_core.names import HostId
from sardinequay_core.usage_view import UsageCounts

from .content_messages import ContentNews
from .content_updates import content_update
from .fleet_task import FleetTask, ReceivedDigest
from .order_task import OrderTask
from .peer_table import Peer
from .relay_state import RelayState
from .serving_messages import Contact, Digest, EngineHoldings, HubNotes, Member
from .store_task import StoreTask

RESEND_HOLDINGS_AFTER = seconds(1)
"""How long a peer that lost a message believes something old of an engine, at most."""


MAX_CONTENTS_PER_DIGEST = 64
"""Contents of requests in one digest; more follow with the next."""

HoldingsState = tuple[int, int, int, bool | None]
MemberState = frozenset[tuple[Contact, bool, int]]


class DigestWriter:
    """Knows what each peer was told last."""

    def __init__(
        self,
        me: Contact,
        fleet: FleetTask,
        state: RelayState,
        store: StoreTask,
        orders: OrderTask,
        clock: Clock,
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.state = state
        self.store = store
        self.orders = orders
        self.clock = clock
        self.sent_holdings: dict[HostId, dict[str, tuple[HoldingsState, Instant]]] = {}
        self.sent_contact_counts: dict[HostId, int] = {}
        self.sent_members: dict[HostId, MemberState] = {}
        self.sent_content_numbers: dict[HostId, int] = {}
        self.sent_usage_scopes: dict[HostId, DigestScope] = {}
        self.restarted_peers: set[HostId] = set()

    def build_digest(self, host_id: HostId) -> Digest:
        """Return what to tell a peer now."""
        if host_id in self.fleet.failed_exchanges:
            self.reset_sent_state(host_id)
        standing = self.store.status()
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
            store_revision=standing.revision,
            news_revision=standing.news_revision,
            store_age_s=standing.age_s,
            has_missed=host_id in self.fleet.failed_exchanges,
            contents=self.unsent_contents(host_id),
        )
        if self.fleet.is_mesh:
            return self.add_host_part(digest, host_id)
        return self.add_large_fleet_part(digest, host_id)

    def add_large_fleet_part(self, digest: Digest, host_id: HostId) -> Digest:
        """Add what a peer of a large fleet is told."""
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
        """Add this host's own part."""
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
            demand=NO_DEMAND
            if self.fleet.is_mesh
            else self.state.demand.own_demand(now),
        )

    def add_data_centre_part(self, digest: Digest, peer: Peer) -> Digest:
        """Add the part of all hosts of this data centre, for another hub."""
        now = self.clock.monotonic()
        host_id = peer.contact.host_id
        here = {p.contact.host_id for p in self.fleet.reporting_peers()}
        uses = self.state.summed_uses(here, peer.contact.data_centre)
        return replace(
            digest,
            shares=self.state.loads.combined_shares(here, now),
            uses=uses,
            holdings=self.unsent_holdings(host_id, self.orders.recent_holdings(), None),
            outcomes=self.state.health.tally.summed_outcomes(here, now),
            usage=self.unsent_usage(host_id, DigestScope.DATA_CENTRE),
            demand=self.demand_for_copies(here, now),
            live_hosts=self.fleet.live_hosts_here(),
        )

    def add_fleet_part(self, digest: Digest, host_id: HostId) -> Digest:
        """Add the part of all others, for a host of this data centre."""
        now = self.clock.monotonic()
        others = self.state.loads.peers.keys() - {host_id}
        known = (
            *self.orders.recent_holdings(),
            *self.orders.peer_holdings_snapshot(now),
        )
        return replace(
            digest,
            shares=self.state.loads.shares_excluding(host_id, now),
            holdings=self.unsent_holdings(host_id, known, None),
            outcomes=self.state.health.tally.summed_outcomes(others, now),
            usage=self.unsent_usage(host_id, DigestScope.FLEET),
            demand=self.demand_for_copies(others, now),
            live_hosts=self.fleet.live_hosts,
            notes=HubNotes(
                self.unsent_members(host_id), self.fleet.neighbour_records()
            ),
        )

    def demand_for_copies(self, hosts: Iterable[HostId], now: Instant) -> Demand:
        """Return the demand of this host and some others that copies depend on."""
        demand = self.state.demand.summed_demand(hosts, now)
        return popular_demand(demand, len(self.state.catalogue.targets))

    def handle_digest(self, heard: ReceivedDigest) -> None:
        """Notice that a peer started anew, or missed what it was told."""
        host_id = heard.digest.host.host_id
        if heard.has_restarted:
            self.handle_peer_restart(host_id)
        elif heard.digest.has_missed:
            self.reset_sent_state(host_id)

    def handle_peer_restart(self, host_id: HostId) -> None:
        """Have a peer that started anew told all that its last start was told."""
        self.reset_sent_state(host_id)
        self.restarted_peers.add(host_id)

    def reset_sent_state(self, host_id: HostId) -> None:
        """Have a peer told again what it may have missed."""
        self.sent_contact_counts.pop(host_id, None)
        self.sent_members.pop(host_id, None)
        self.sent_content_numbers.pop(host_id, None)
        self.sent_usage_scopes.pop(host_id, None)
        self.sent_holdings.pop(host_id, None)

    def unsent_contacts(self, host_id: HostId) -> tuple[Contact, ...]:
        """Return the hosts that a peer was not told of yet.

        Told whole whenever their number changed, they cost a start the cube of the
        hosts.
        """
        first = self.sent_contact_counts.get(host_id, 0)
        self.sent_contact_counts[host_id] = len(self.fleet.contact_log)
        return self.fleet.contacts_since(first)

    def unsent_contents(self, host_id: HostId) -> tuple[ContentNews, ...]:
        """Return what is known against contents of which a peer was not told yet.

        Also what others told this host: so it outlives the host that saw it, and a
        host that starts anew knows it with its first digest.
        """
        quarantine = self.state.quarantine
        first = self.sent_content_numbers.get(host_id, 0)
        changed = quarantine.changed_since(first, MAX_CONTENTS_PER_DIGEST)
        if not changed:
            return ()
        self.sent_content_numbers[host_id] = quarantine.suspicions[
            changed[-1]
        ].change_number
        now = self.clock.monotonic()
        return tuple(content_update(quarantine, content, now) for content in changed)

    def unsent_usage(self, host_id: HostId, scope: DigestScope) -> UsageCounts:
        """Return what organisations used where that changed lately; all at first."""
        book, now = self.state.quotas.ledger, self.clock.monotonic()
        is_first = self.sent_usage_scopes.get(host_id) is not scope
        self.sent_usage_scopes[host_id] = scope
        also = tuple(book.accounts) if is_first else ()
        if scope is DigestScope.HOST:
            return book.usage.own_counts(now, also)
        if scope is DigestScope.DATA_CENTRE:
            return book.usage.data_centre_counts(now, also)
        return book.usage.counts_excluding(host_id, now, also)

    def unsent_members(self, host_id: HostId) -> tuple[Member, ...] | None:
        """Return the live hosts here, or None if a peer knows just these."""
        members = self.fleet.live_member_records()
        now_s = self.clock.monotonic().total_seconds()
        state = frozenset(
            (m.contact, m.is_leaving, round(now_s - m.up_s)) for m in members
        )
        if self.sent_members.get(host_id) == state:
            return None
        self.sent_members[host_id] = state
        return members

    def unsent_holdings(
        self,
        host_id: HostId,
        known: Iterable[EngineHoldings],
        again: timedelta | None,
    ) -> tuple[EngineHoldings, ...]:
        """Return what a peer was not told yet of engines.

        Parameters
        ----------
        again : timedelta or None
            After how long all is told again, for what was lost on the way; None if the
            peer says when it missed something.
        """
        now = self.clock.monotonic()
        told = self.sent_holdings.setdefault(host_id, {})
        untold: list[EngineHoldings] = []
        if host_id in self.restarted_peers:
            # It may order engines again, and forgot which adapters they load fast.
            self.restarted_peers.discard(host_id)
            untold += self.orders.peer_holdings_snapshot(now)
        for holdings in known:
            # Whether an adapter is idle decides, not how many are: that changes with
            # each request.
            has_idle = bool(holdings.idle) if again is None else None
            state = (holdings.token, holdings.number, holdings.queued, has_idle)
            before = told.get(holdings.target)
            if before is not None and before[0] == state and now < before[1]:
                continue
            until = now + again if again is not None else timedelta.max
            told[holdings.target] = (state, until)
            untold.append(holdings)
        return tuple(untold)
