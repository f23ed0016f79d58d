"""What this host knows of the others: who lives, who votes, who orders, who reads.

No message is sent from here; `fleet_task` hears and tells.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.fleet_topology import is_mesh
from sardinequay_core.names import Address, HostId, parse_address
from sardinequay_core.rendezvous import rank_members

from .serving_messages import Contact

PERIOD_S = 0.2
"""Between two digests to one peer in a small fleet: shares of load age by it."""

PERIOD_PER_HOST_S = 0.012
"""Added period for each host, so that a host sends some 80 digests a second at most."""

FEW_HOSTS = 25
"""Up to here the period grows with the hosts, beyond it with their square, so that what
a host spends on telling falls and bytes between data centres stay few."""

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
        """Return the peers that live, also those that are about to stop."""
        return self.heard()

    def is_present(self, peer: Peer) -> bool:
        """Return whether a peer is among those present."""
        return self.is_heard(peer)

    def is_heard(self, peer: Peer) -> bool:
        """Return whether a peer is among those heard of lately."""
        if peer.heard_at is None:
            return False
        return peer.heard_at > self.clock.monotonic() - self.alive_for(peer)

    def heard(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately, also those that are about to stop."""
        # The bounds once for all peers, as each choice of an engine asks who lives.
        now = self.clock.monotonic()
        near_since = now - self.silence_bound(is_near=True)
        far_since = now - self.silence_bound(is_near=False)
        hub_since = near_since if self.is_mesh else now - HUB_ALIVE_FOR

        def since(peer: Peer) -> Instant:
            if not self.is_near(peer):
                return far_since
            return hub_since if peer.holds_lease or peer.is_hub else near_since

        return tuple(
            p
            for p in self.peers.values()
            if p.heard_at is not None and p.heard_at > since(p)
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
        return len(self.alive()) + 1

    def hosts_age_s(self) -> float:
        """Return how long ago news of the hosts that serve came last, in seconds."""
        heard = (p.heard_at for p in self.peers.values() if p.heard_at is not None)
        now = self.clock.monotonic()
        return (now - max(heard, default=self.started_at)).total_seconds()

    def up_of(self, peer: Peer) -> float:
        """Return how long ago a peer started, in seconds."""
        return peer.up_s + (self.clock.monotonic() - peer.told_at).total_seconds()

    def last_sign_of(self, peer: Peer) -> Instant:
        """Return when a peer last showed that it lives, or when it became known."""
        return max(peer.heard_at or peer.added_at, peer.vouched_at)

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
        return self.reader_place() < READERS_PER_DATA_CENTRE

    def reader_place(self) -> int:
        """Return how many live hosts of this data centre come first as readers."""
        here = [p.contact.host_id for p in self.alive() if self.is_near(p)]
        return rank_members("reader", [*here, self.me.host_id]).index(self.me.host_id)

    def freshest_store_age_s(self) -> float:
        """Return how long ago the freshest live peer heard the store."""
        now = self.clock.monotonic()
        freshest_s = float("inf")
        for peer in self.peers.values():
            if peer.heard_at is None or peer.is_leaving:
                continue
            age_s = peer.store_age_s + (now - peer.heard_at).total_seconds()
            # Who lives is asked last: hosts ask this many times a second.
            if age_s < freshest_s and self.is_present(peer):
                freshest_s = age_s
        return freshest_s

    def address_of(self, host_id: HostId) -> Address | None:
        """Return where a peer is reached."""
        peer = self.peers.get(host_id)
        return parse_address(peer.contact.address).unwrap() if peer else None

    def lease_holder(self) -> HostId | None:
        """Return the peer that says it holds this data centre's lease.

        One that is about to stop keeps it until then.
        """
        for peer in self.peers.values():
            if peer.holds_lease and self.is_near(peer) and self.is_heard(peer):
                return peer.contact.host_id
        return None

    def keepers(self) -> dict[str, Peer]:
        """Return the live peers that order engines, now or soon, by data centre.

        Of two that say so, the one that has had to wait less is the holder.
        """
        may_order = (p for p in self.peers.values() if p.orders_in_s < NOT_SOON_S)
        holders = [p for p in may_order if self.is_heard(p)]
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
