"""What this host knows of the others: who lives, who votes, who orders, who reads.

No message is sent from here; `fleet_task` hears and tells.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.fleet_topology import is_mesh
from sardinequay_core.names import Address, HostId, parse_address
from sardinequay_core.rendezvous import rank

from .serving_messages import Contact, HubNotes, Member, Neighbour

PERIOD_S = 0.2
"""Between two digests to one peer in a small fleet: shares of load age by it."""

PERIOD_PER_HOST_S = 0.012
"""Added period for each host, so that a host sends some 80 digests a second at most."""

FEW_HOSTS = 25
"""Up to here the period grows with the hosts, beyond it with their square: what a host
spends on telling then falls. With 77 hosts told evenly, digests were 0.175 GB between
data centres in 26 s, the dearest thing there."""

ALIVE_FOR_S = 1.2
ALIVE_PERIODS = 3
"""A peer that was heard within this time, and as many periods, is alive: a few digests
may be lost with a connection."""

ALONE_AFTER = seconds(10)
"""A host that nobody answered for so long since its start takes itself to be alone. Far
longer than a cut that must be survived, for it then orders engines by itself."""

NOT_SOON_S = 60.0
"""Beyond this a host that says when it may order engines says that it does not know."""

READERS_PER_DATA_CENTRE = 1

HUB_PERIOD_S = 0.1
HUB_PERIOD_PER_HOST_S = 0.005
"""Between two exchanges with a hub, and how much longer for each host that it hears:
0.3 s at 39 hosts. What is known of engines is at most three times as old."""

HUB_ALIVE_FOR = seconds(1.2)
"""A hub and the hosts of its data centre that were heard within this time are alive:
four periods, as in a mesh."""

OTHER_HUB_ALIVE_FOR = seconds(2)
"""The same for hubs of other data centres, which most hosts know through their own."""

VIEW_LIFE = seconds(3)
"""How long what the last hub told counts: a data centre has a new one before."""


@dataclass(frozen=True, slots=True)
class Peer:
    """A host as this one knows it.

    Parameters
    ----------
    heard_at : timedelta or None
        When it was heard itself, or through a hub if it is one.
    told_at : timedelta
        When it had been up for `up_s`.
    vouched_at : timedelta
        When the hub was last known to hear it, once it does not any more.
    live_hosts : int
        Live hosts of its data centre, if it is a hub.
    """

    contact: Contact
    heard_at: Instant | None
    added_at: Instant
    is_leaving: bool = False
    holds_lease: bool = False
    orders_in_s: float = float("inf")
    up_s: float = 0.0
    store_age_s: float = float("inf")
    leaving_since: Instant = ZERO
    told_at: Instant = ZERO
    vouched_at: Instant = ZERO
    is_hub: bool = False
    live_hosts: int = 1


class PeerTable:
    """The other hosts as this one knows them.

    Parameters
    ----------
    seeds : tuple of Address
        Addresses to find the others by; one's own is left out.
    """

    def __init__(self, me: Contact, seeds: tuple[Address, ...], clock: Clock) -> None:
        self.me = me
        self.set_seeds(seeds)
        self.clock = clock
        self.peers: dict[HostId, Peer] = {}
        self.started_at = clock.monotonic()
        self.looking_since = self.started_at
        self.joined_at: Instant | None = None
        self.was_told_of_all = False
        self.near_peers = 0
        self.holds_lease: Callable[[], bool] = lambda: False
        self.known_contacts: dict[HostId, Contact] = {}
        self.contact_log: list[Contact] = []
        self.note_contact(me)
        self.vouched: frozenset[HostId] = frozenset()
        self.vouched_at = ZERO
        self.fleet_hosts = 1

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take the addresses to find the others by."""
        self.seeds = tuple(s for s in seeds if str(s) != self.me.address)

    @property
    def is_mesh(self) -> bool:
        """Return whether every pair of hosts exchanges digests."""
        return is_mesh(len(self.peers) + 1)

    def alive(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately that do not leave."""
        return tuple(p for p in self.present() if not p.is_leaving)

    def present(self) -> tuple[Peer, ...]:
        """Return the peers heard lately, and those that the hub vouches for."""
        heard = self.heard()
        vouched = self.vouched_members() - {p.contact.host_id for p in heard}
        return (*heard, *(self.peers[v] for v in vouched if v in self.peers))

    def vouched_members(self) -> frozenset[HostId]:
        """Return the hosts here that live by what a hub told lately."""
        is_new = self.clock.monotonic() - self.vouched_at < HUB_ALIVE_FOR
        return self.vouched if is_new else frozenset()

    def heard(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately, also those that are about to stop."""
        # The bounds once for all peers: with 76 of them, counted for each, they took
        # three quarters of the time of choosing an engine (5.6 ms, now 1.6 ms).
        now = self.clock.monotonic()
        near_since = now - self.silence_bound(is_near=True)
        far_since = now - self.silence_bound(is_near=False)
        hub_since = near_since if self.is_mesh else now - HUB_ALIVE_FOR
        return tuple(
            p
            for p in self.peers.values()
            if p.heard_at is not None
            and p.heard_at
            > (
                far_since
                if not self.is_near(p)
                else hub_since
                if p.holds_lease or p.is_hub
                else near_since
            )
        )

    def alive_for(self, peer: Peer) -> timedelta:
        """Return how long a peer is alive after it was heard."""
        is_near = self.is_near(peer)
        if is_near and not self.is_mesh and (peer.holds_lease or peer.is_hub):
            return HUB_ALIVE_FOR
        return self.silence_bound(is_near)

    def silence_bound(self, is_near: bool) -> timedelta:
        """Return how long peers near or far may be silent and count as alive."""
        if not self.is_mesh and not is_near:
            return OTHER_HUB_ALIVE_FOR
        period_s = self.period_s(is_near)
        return seconds(ALIVE_FOR_S + ALIVE_PERIODS * (period_s - PERIOD_S))

    @property
    def live_hosts(self) -> int:
        """Return how many hosts serve, this one included."""
        if self.is_mesh:
            return len(self.alive()) + 1
        if not self.is_hub():
            return self.fleet_hosts
        others = sum(p.live_hosts for p in self.other_hubs())
        return self.live_hosts_here() + others

    def live_hosts_here(self) -> int:
        """Return how many hosts of a hub's data centre serve, the hub included."""
        return sum(1 for p in self.reporting() if not p.is_leaving) + 1

    # Hubs of a large fleet.

    def hub(self) -> Contact:
        """Return the hub of this data centre: who orders its engines, if anybody does.

        Until somebody does, hosts that know the same neighbours agree on one.
        """
        if self.holds_lease():
            return self.me
        holder = self.lease_holder()
        if holder is not None:
            return self.peers[holder].contact
        here = {p.contact.host_id: p.contact for p in self.alive() if self.is_near(p)}
        here[self.me.host_id] = self.me
        return here[HostId(rank("hub", here)[0])]

    def is_hub(self) -> bool:
        """Return whether this host is the hub of its data centre in a large fleet."""
        return not self.is_mesh and self.hub() == self.me

    def other_hubs(self) -> tuple[Peer, ...]:
        """Return the live hubs of other data centres, the last heard of each."""
        newest: dict[str, Peer] = {}
        for peer in self.heard():
            if peer.is_hub and not self.is_near(peer):
                known = newest.get(peer.contact.data_centre)
                if known is None or (known.heard_at or ZERO) < (peer.heard_at or ZERO):
                    newest[peer.contact.data_centre] = peer
        return tuple(newest.values())

    def hub_behind(self, host_id: HostId) -> HostId | None:
        """Return the hub that speaks for a host of another data centre, if one does."""
        peer = self.peers.get(host_id)
        if self.is_mesh or peer is None or self.is_near(peer):
            return None
        for hub in self.other_hubs():
            if hub.contact.data_centre == peer.contact.data_centre:
                return hub.contact.host_id
        return None

    def reporting(self) -> tuple[Peer, ...]:
        """Return the hosts of this data centre that this one, its hub, heard lately."""
        since = self.clock.monotonic() - HUB_ALIVE_FOR
        return tuple(
            p
            for p in self.peers.values()
            if p.heard_at is not None and p.heard_at > since and self.is_near(p)
        )

    def members(self) -> tuple[Member, ...]:
        """Return the live hosts of this data centre, for those that it has."""
        return tuple(
            Member(p.contact, round(self.up_of(p), 1), p.is_leaving)
            for p in self.reporting()
        )

    def neighbours(self) -> tuple[Neighbour, ...]:
        """Return the other hubs, for the hosts of this data centre."""
        now = self.clock.monotonic()
        return tuple(
            Neighbour(
                p.contact, p.orders_in_s, (now - (p.heard_at or ZERO)).total_seconds()
            )
            for p in self.other_hubs()
        )

    def take_notes(self, notes: HubNotes) -> None:
        """Take from this data centre's hub which other hosts live."""
        now = self.clock.monotonic()
        self.vouched_at = now
        if notes.members is not None:
            named = frozenset(m.contact.host_id for m in notes.members)
            self.end_vouching(self.vouched - named)
            self.vouched = named
            self.take_members(notes.members, now)
        for neighbour in notes.neighbours:
            self.take_neighbour(neighbour, now)

    def end_vouching(self, hosts: Iterable[HostId]) -> None:
        """Take that the hub hears some hosts no more.

        They count among the voters for as long as hosts that fell silent to this one.
        """
        now = self.clock.monotonic()
        for host_id in hosts:
            peer = self.peers.get(host_id)
            if peer is not None:
                self.peers[host_id] = replace(peer, vouched_at=now)

    def take_members(self, members: Iterable[Member], now: Instant) -> None:
        """Take the live hosts of this data centre, all but the hub."""
        for member in members:
            host_id = member.contact.host_id
            if host_id == self.me.host_id:
                continue
            self.note_contact(member.contact)
            known = self.peers.get(host_id) or Peer(member.contact, None, now)
            leaving_since = known.leaving_since if known.is_leaving else now
            self.peers[host_id] = replace(
                known,
                contact=member.contact,
                up_s=member.up_s,
                told_at=now,
                is_leaving=member.is_leaving,
                leaving_since=leaving_since,
            )
        self.count_near()

    def take_neighbour(self, neighbour: Neighbour, now: Instant) -> None:
        """Take the hub of another data centre."""
        host_id = neighbour.contact.host_id
        self.note_contact(neighbour.contact)
        known = self.peers.get(host_id) or Peer(neighbour.contact, None, now)
        heard_at = now - seconds(neighbour.age_s)
        if known.heard_at is None or known.heard_at < heard_at:
            self.peers[host_id] = replace(
                known,
                contact=neighbour.contact,
                heard_at=heard_at,
                orders_in_s=neighbour.orders_in_s,
                is_hub=True,
                is_leaving=False,
            )

    def hub_period_s(self) -> float:
        """Return the time between two exchanges with a hub, in seconds."""
        return HUB_PERIOD_S + HUB_PERIOD_PER_HOST_S * self.near_peers

    def up_of(self, peer: Peer) -> float:
        """Return how long ago a peer started, in seconds."""
        return peer.up_s + (self.clock.monotonic() - peer.told_at).total_seconds()

    def last_sign_of(self, peer: Peer) -> Instant:
        """Return when a peer last showed that it lives, or when it became known."""
        last = max(peer.heard_at or peer.added_at, peer.vouched_at)
        if peer.contact.host_id in self.vouched:
            return max(last, self.vouched_at)
        return last

    def voters(self, lease: timedelta) -> tuple[HostId, ...]:
        """Return the hosts of this data centre that count among the voters.

        Parameters
        ----------
        lease : timedelta
            How long hosts that leave still count: votes that they gave last as long.
        """
        left_since = self.clock.monotonic() - lease
        return tuple(
            p.contact.host_id
            for p in self.peers.values()
            if self.is_near(p) and (not p.is_leaving or p.leaving_since > left_since)
        )

    def leaving(self) -> tuple[HostId, ...]:
        """Return the live hosts of this data centre that are about to stop."""
        return tuple(
            p.contact.host_id
            for p in self.present()
            if p.is_leaving and self.is_near(p)
        )

    def has_joined(self) -> bool:
        """Return whether the hosts here are known well enough to vote."""
        now = self.clock.monotonic()
        if not self.seeds or now - self.looking_since > ALONE_AFTER:
            return True
        return self.joined_at is not None and now - self.joined_at > seconds(1)

    def rejoin(self) -> None:
        """Look for the hosts here anew: while this one slept, they may have changed."""
        self.looking_since = self.clock.monotonic()
        self.joined_at = None

    def is_reader(self) -> bool:
        """Return whether this host reads the store for its data centre."""
        if not self.is_mesh:
            return self.is_hub()
        here = [p.contact.host_id for p in self.alive() if self.is_near(p)]
        ranked = rank("reader", [*here, self.me.host_id])
        return self.me.host_id in ranked[:READERS_PER_DATA_CENTRE]

    def freshest_store_age_s(self) -> float:
        """Return how long ago the freshest live peer heard the store."""
        now = self.clock.monotonic()
        ages = [
            p.store_age_s + (now - p.heard_at).total_seconds()
            for p in self.alive()
            if p.heard_at is not None
        ]
        return min(ages, default=float("inf"))

    def address_of(self, host_id: HostId) -> Address | None:
        """Return where a peer is reached."""
        peer = self.peers.get(host_id)
        return parse_address(peer.contact.address).unwrap() if peer else None

    def lease_holder(self) -> HostId | None:
        """Return the peer that says it holds this data centre's lease.

        One that is about to stop keeps it until then.
        """
        holders = [p for p in self.peers.values() if p.holds_lease and self.is_near(p)]
        if not holders:
            return None
        now = self.clock.monotonic()
        for peer in holders:
            bound = HUB_ALIVE_FOR if not self.is_mesh else self.silence_bound(True)
            if peer.heard_at is not None and peer.heard_at > now - bound:
                return peer.contact.host_id
        return None

    def keepers(self) -> dict[str, Peer]:
        """Return the live peers that order engines, now or soon, by data centre.

        Of two that say so, the one that has had to wait less is the holder.
        """
        holders = [p for p in self.heard() if p.orders_in_s < NOT_SOON_S]
        holders.sort(key=lambda p: (p.orders_in_s, p.contact.host_id), reverse=True)
        return {p.contact.data_centre: p for p in holders}

    def keeper_of(self, data_centre: str) -> Peer | None:
        """Return the live peer that orders a data centre's engines, now or soon."""
        return self.keepers().get(data_centre)

    def up_s(self) -> float:
        """Return how long ago this host started, in seconds."""
        return (self.clock.monotonic() - self.started_at).total_seconds()

    def note_contact(self, contact: Contact) -> None:
        """Enter a host, or its new address, in the log of those to tell others."""
        if self.known_contacts.get(contact.host_id) != contact:
            self.known_contacts[contact.host_id] = contact
            self.contact_log.append(contact)

    def contacts_since(self, first: int) -> tuple[Contact, ...]:
        """Return the hosts entered after the first so many that still are known."""
        return tuple(
            c
            for c in self.contact_log[first:]
            if self.known_contacts.get(c.host_id) == c and self.is_staying(c.host_id)
        )

    def is_staying(self, host_id: HostId) -> bool:
        """Return whether a host is known and does not leave."""
        peer = self.peers.get(host_id)
        return host_id == self.me.host_id or (peer is not None and not peer.is_leaving)

    def contacts(self) -> tuple[Contact, ...]:
        """Return all hosts that are known and stay, this one included."""
        known = [p.contact for p in self.peers.values() if not p.is_leaving]
        return (self.me, *known)

    def period_s(self, is_near: bool) -> float:
        """Return the time between two digests to one peer."""
        hosts = self.near_peers if is_near else len(self.peers)
        return PERIOD_S + PERIOD_PER_HOST_S * hosts * max(1.0, hosts / FEW_HOSTS)

    def longest_silence(self) -> timedelta:
        """Return how long a far peer may be silent without anything being lost."""
        if not self.is_mesh:
            return VIEW_LIFE
        return seconds(2 * self.period_s(is_near=False))

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the own data centre."""
        return peer.contact.data_centre == self.me.data_centre

    def count_near(self) -> None:
        """Count the peers of the own data centre."""
        self.near_peers = sum(1 for p in self.peers.values() if self.is_near(p))

    def holds_no_more(self, host_id: HostId) -> None:
        """Take that a peer has given the lease back."""
        known = self.peers.get(host_id)
        if known is not None:
            self.peers[host_id] = replace(
                known, holds_lease=False, orders_in_s=float("inf")
            )

    def suspect(self, host_id: HostId) -> None:
        """Take a peer that did not answer for lost until it is heard again."""
        known = self.peers.get(host_id)
        if known is None or known.heard_at is None:
            return
        long_ago = self.clock.monotonic() - self.alive_for(known)
        self.peers[host_id] = replace(known, heard_at=min(known.heard_at, long_ago))
        if host_id in self.vouched:
            self.vouched -= {host_id}
            self.end_vouching((host_id,))
