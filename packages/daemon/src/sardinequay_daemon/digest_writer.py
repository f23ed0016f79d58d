"""Writes the digests that this host tells its peers, with what is new to each."""

from collections.abc import Iterable
from dataclasses import replace
from datetime import timedelta

from sardinequay_core.adapter_demand import NO_DEMAND, Demand, most_wanted
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.fleet_topology import Scope, scope_to_tell
from sardinequay_core.names import HostId
from sardinequay_core.usage_view import Counts

from .content_messages import ContentNews
from .content_news import news_of
from .fleet_task import FleetTask, ReceivedDigest
from .order_task import OrderTask
from .peer_table import Peer
from .relay_state import RelayState
from .serving_messages import Contact, Digest, EngineHoldings, HubNotes, Member
from .store_task import StoreTask

TELL_AGAIN = seconds(1)
"""How long a peer that lost a message believes something old of an engine, at most."""


MOST_CONTENTS = 64
"""Contents of requests in one digest; more follow with the next."""

Known = tuple[int, int, int, bool | None]
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
        self.told: dict[HostId, dict[str, tuple[Known, Instant]]] = {}
        self.contacts_told: dict[HostId, int] = {}
        self.members_told: dict[HostId, MemberState] = {}
        self.contents_told: dict[HostId, int] = {}
        self.usage_told: dict[HostId, Scope] = {}
        self.greeted: set[HostId] = set()

    def digest(self, host_id: HostId) -> Digest:
        """Return what to tell a peer now."""
        if host_id in self.fleet.failed_exchanges:
            self.tell_anew(host_id)
        standing = self.store.standing()
        digest = Digest(
            host=self.me,
            is_leaving=self.fleet.is_leaving,
            contacts=self.untold_contacts(host_id),
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
            contents=self.untold_contents(host_id),
        )
        if self.fleet.is_mesh:
            return self.of_host(digest, host_id)
        return self.in_large_fleet(digest, host_id)

    def in_large_fleet(self, digest: Digest, host_id: HostId) -> Digest:
        """Add what a peer of a large fleet is told."""
        hub = self.fleet.hub()
        peer = self.fleet.peers.get(host_id)
        if peer is None:
            return replace(digest, hub=hub, scope=Scope.NOBODY)
        is_near = self.fleet.is_near(peer)
        scope = scope_to_tell(hub.host_id, self.me.host_id, host_id, is_near)
        if hub == self.me and self.state.is_gathering(self.clock.monotonic()):
            scope = Scope.NOBODY
        digest = replace(digest, hub=hub, scope=scope)
        match scope:
            case Scope.HOST:
                return self.of_host(digest, host_id)
            case Scope.DATA_CENTRE:
                return self.of_data_centre(digest, peer)
            case Scope.FLEET:
                return self.of_fleet(digest, host_id)
        self.usage_told.pop(host_id, None)
        return digest

    def of_host(self, digest: Digest, host_id: HostId) -> Digest:
        """Add this host's own part."""
        now = self.clock.monotonic()
        loads = self.state.loads
        return replace(
            digest,
            shares=dict(loads.own) if self.fleet.is_mesh else loads.to_tell(now),
            uses=self.state.adapter_uses(),
            holdings=self.untold_holdings(
                host_id, self.orders.recent_holdings(), TELL_AGAIN
            ),
            outcomes=self.state.health.tally.to_tell(now),
            usage=self.untold_usage(host_id, Scope.HOST),
            demand=NO_DEMAND if self.fleet.is_mesh else self.state.demand.own(now),
        )

    def of_data_centre(self, digest: Digest, peer: Peer) -> Digest:
        """Add the part of all hosts of this data centre, for another hub."""
        now = self.clock.monotonic()
        host_id = peer.contact.host_id
        here = {p.contact.host_id for p in self.fleet.reporting_peers()}
        uses = self.state.uses_of(here, peer.contact.data_centre)
        return replace(
            digest,
            shares=self.state.loads.sum_of(here, now),
            uses=uses,
            holdings=self.untold_holdings(host_id, self.orders.recent_holdings(), None),
            outcomes=self.state.health.tally.sum_of(here, now),
            usage=self.untold_usage(host_id, Scope.DATA_CENTRE),
            demand=self.most_wanted(here, now),
            live_hosts=self.fleet.live_hosts_here(),
        )

    def of_fleet(self, digest: Digest, host_id: HostId) -> Digest:
        """Add the part of all others, for a host of this data centre."""
        now = self.clock.monotonic()
        others = self.state.loads.peers.keys() - {host_id}
        known = (*self.orders.recent_holdings(), *self.orders.holdings_elsewhere(now))
        return replace(
            digest,
            shares=self.state.loads.all_but(host_id, now),
            holdings=self.untold_holdings(host_id, known, None),
            outcomes=self.state.health.tally.sum_of(others, now),
            usage=self.untold_usage(host_id, Scope.FLEET),
            demand=self.most_wanted(others, now),
            live_hosts=self.fleet.live_hosts,
            notes=HubNotes(self.untold_members(host_id), self.fleet.neighbour_records()),
        )

    def most_wanted(self, hosts: Iterable[HostId], now: Instant) -> Demand:
        """Return the demand of this host and some others that copies depend on."""
        demand = self.state.demand.sum_of(hosts, now)
        return most_wanted(demand, len(self.state.catalogue.targets))

    def take_digest(self, heard: ReceivedDigest) -> None:
        """Notice that a peer started anew, or missed what it was told."""
        host_id = heard.digest.host.host_id
        if heard.has_restarted:
            self.greet(host_id)
        elif heard.digest.has_missed:
            self.tell_anew(host_id)

    def greet(self, host_id: HostId) -> None:
        """Have a peer that started anew told all that its last start was told."""
        self.tell_anew(host_id)
        self.greeted.add(host_id)

    def tell_anew(self, host_id: HostId) -> None:
        """Have a peer told again what it may have missed."""
        self.contacts_told.pop(host_id, None)
        self.members_told.pop(host_id, None)
        self.contents_told.pop(host_id, None)
        self.usage_told.pop(host_id, None)
        self.told.pop(host_id, None)

    def untold_contacts(self, host_id: HostId) -> tuple[Contact, ...]:
        """Return the hosts that a peer was not told of yet.

        Told whole whenever their number changed, they cost a start the cube of the
        hosts.
        """
        first = self.contacts_told.get(host_id, 0)
        self.contacts_told[host_id] = len(self.fleet.contact_log)
        return self.fleet.contacts_since(first)

    def untold_contents(self, host_id: HostId) -> tuple[ContentNews, ...]:
        """Return what is known against contents of which a peer was not told yet.

        Also what others told this host: so it outlives the host that saw it, and a
        host that starts anew knows it with its first digest.
        """
        quarantine = self.state.quarantine
        first = self.contents_told.get(host_id, 0)
        changed = quarantine.changed_since(first, MOST_CONTENTS)
        if not changed:
            return ()
        self.contents_told[host_id] = quarantine.suspicions[changed[-1]].number
        now = self.clock.monotonic()
        return tuple(news_of(quarantine, content, now) for content in changed)

    def untold_usage(self, host_id: HostId, scope: Scope) -> Counts:
        """Return what organisations used where that changed lately; all at first."""
        book, now = self.state.quotas.book, self.clock.monotonic()
        is_first = self.usage_told.get(host_id) is not scope
        self.usage_told[host_id] = scope
        also = tuple(book.accounts) if is_first else ()
        if scope is Scope.HOST:
            return book.usage.own_counts(now, also)
        if scope is Scope.DATA_CENTRE:
            return book.usage.here(now, also)
        return book.usage.all_but(host_id, now, also)

    def untold_members(self, host_id: HostId) -> tuple[Member, ...] | None:
        """Return the live hosts here, or None if a peer knows just these."""
        members = self.fleet.live_member_records()
        now_s = self.clock.monotonic().total_seconds()
        state = frozenset(
            (m.contact, m.is_leaving, round(now_s - m.up_s)) for m in members
        )
        if self.members_told.get(host_id) == state:
            return None
        self.members_told[host_id] = state
        return members

    def untold_holdings(
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
        told = self.told.setdefault(host_id, {})
        untold: list[EngineHoldings] = []
        if host_id in self.greeted:
            # It may order engines again, and forgot which adapters they load fast.
            self.greeted.discard(host_id)
            untold += self.orders.holdings_elsewhere(now)
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
