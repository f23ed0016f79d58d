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

DIGEST_PERIOD_S = 0.2
"""Between two digests to one peer in a small fleet: shares of load age by it."""

DIGEST_PERIOD_PER_HOST_S = 0.012
"""Added period for each host, so that a host sends some 80 digests a second at most."""

LINEAR_PERIOD_MAX_HOSTS = 25
"""Up to here the period grows with the hosts, beyond it with their square, so that what
a host spends on telling falls and bytes between data centres stay few."""

SILENCE_TIMEOUT_S = 1.2
SILENCE_TIMEOUT_PERIODS = 3
"""A peer that was heard within this time, and as many periods, is alive: a few digests
may be lost with a connection."""

ASSUME_ALONE_AFTER = seconds(10)
"""A host that nobody answered for so long since its start takes itself to be alone. Far
longer than a cut that must be survived, for it then orders engines by itself."""

ORDER_WAIT_UNKNOWN_S = 60.0
"""Beyond this a host that says when it may order engines says that it does not know."""

READERS_PER_DATA_CENTRE = 1

HUB_SILENCE_TIMEOUT = seconds(1.2)
"""A hub and the hosts of its data centre that were heard within this time are alive:
four periods, as in a mesh."""

OTHER_HUB_SILENCE_TIMEOUT = seconds(2)
"""The same for hubs of other data centres, which most hosts know through their own."""

HUB_REPORT_MAX_AGE = seconds(3)
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
    last_heard_at: Instant | None
    added_at: Instant
    is_leaving: bool = False
    holds_lease: bool = False
    orders_in_s: float = float("inf")
    up_s: float = 0.0
    store_age_s: float = float("inf")
    leaving_since: Instant = ZERO
    up_s_received_at: Instant = ZERO
    hub_reported_at: Instant = ZERO
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
        self.joining_since = self.started_at
        self.joined_at: Instant | None = None
        self.has_received_all_contacts = False
        self.near_peer_count = 0
        self.holds_lease: Callable[[], bool] = lambda: False
        self.known_contacts: dict[HostId, Contact] = {}
        self.contact_log: list[Contact] = []
        self.record_contact(me)

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take the addresses to find the others by."""
        self.seeds = tuple(s for s in seeds if str(s) != self.me.address)

    @property
    def is_mesh(self) -> bool:
        """Return whether every pair of hosts exchanges digests."""
        return is_mesh(len(self.peers) + 1)

    def live_peers(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately that do not leave."""
        return tuple(p for p in self.running_peers() if not p.is_leaving)

    def running_peers(self) -> tuple[Peer, ...]:
        """Return the peers that live, also those that are about to stop."""
        return self.recently_heard_peers()

    def is_running(self, peer: Peer) -> bool:
        """Return whether a peer is among those present."""
        return self.is_recently_heard(peer)

    def is_recently_heard(self, peer: Peer) -> bool:
        """Return whether a peer is among those heard of lately."""
        if peer.last_heard_at is None:
            return False
        return peer.last_heard_at > self.clock.monotonic() - self.silence_timeout(peer)

    def recently_heard_peers(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately, also those that are about to stop."""
        # The bounds once for all peers, as each choice of an engine asks who lives.
        now = self.clock.monotonic()
        near_since = now - self.silence_timeout_by_distance(is_near=True)
        far_since = now - self.silence_timeout_by_distance(is_near=False)
        hub_since = near_since if self.is_mesh else now - HUB_SILENCE_TIMEOUT

        def since(peer: Peer) -> Instant:
            if not self.is_near(peer):
                return far_since
            return hub_since if peer.holds_lease or peer.is_hub else near_since

        return tuple(
            p
            for p in self.peers.values()
            if p.last_heard_at is not None and p.last_heard_at > since(p)
        )

    def silence_timeout(self, peer: Peer) -> timedelta:
        """Return how long a peer is alive after it was heard."""
        is_near = self.is_near(peer)
        if is_near and not self.is_mesh and (peer.holds_lease or peer.is_hub):
            return HUB_SILENCE_TIMEOUT
        return self.silence_timeout_by_distance(is_near)

    def silence_timeout_by_distance(self, is_near: bool) -> timedelta:
        """Return how long peers near or far may be silent and count as alive."""
        if not self.is_mesh and not is_near:
            return OTHER_HUB_SILENCE_TIMEOUT
        period_s = self.digest_period_s(is_near)
        return seconds(
            SILENCE_TIMEOUT_S + SILENCE_TIMEOUT_PERIODS * (period_s - DIGEST_PERIOD_S)
        )

    @property
    def live_hosts(self) -> int:
        """Return how many hosts serve, this one included."""
        return len(self.live_peers()) + 1

    def hosts_age_s(self) -> float:
        """Return how long ago news of the hosts that serve came last, in seconds."""
        heard = (
            p.last_heard_at for p in self.peers.values() if p.last_heard_at is not None
        )
        now = self.clock.monotonic()
        return (now - max(heard, default=self.started_at)).total_seconds()

    def peer_uptime_s(self, peer: Peer) -> float:
        """Return how long ago a peer started, in seconds."""
        return (
            peer.up_s + (self.clock.monotonic() - peer.up_s_received_at).total_seconds()
        )

    def last_sign_of_life(self, peer: Peer) -> Instant:
        """Return when a peer last showed that it lives, or when it became known."""
        return max(peer.last_heard_at or peer.added_at, peer.hub_reported_at)

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

    def leaving_hosts(self) -> tuple[HostId, ...]:
        """Return the live hosts of this data centre that are about to stop."""
        return tuple(
            p.contact.host_id
            for p in self.running_peers()
            if p.is_leaving and self.is_near(p)
        )

    def has_joined(self) -> bool:
        """Return whether the hosts here are known well enough to vote."""
        now = self.clock.monotonic()
        if not self.seeds or now - self.joining_since > ASSUME_ALONE_AFTER:
            return True
        return self.joined_at is not None and now - self.joined_at > seconds(1)

    def restart_joining(self) -> None:
        """Look for the hosts here anew: while this one slept, they may have changed."""
        self.joining_since = self.clock.monotonic()
        self.joined_at = None

    def is_reader(self) -> bool:
        """Return whether this host reads the store for its data centre."""
        return self.reader_rank() < READERS_PER_DATA_CENTRE

    def reader_rank(self) -> int:
        """Return how many live hosts of this data centre come first as readers."""
        here = [p.contact.host_id for p in self.live_peers() if self.is_near(p)]
        return rank_members("reader", [*here, self.me.host_id]).index(self.me.host_id)

    def freshest_store_age_s(self) -> float:
        """Return how long ago the freshest live peer heard the store."""
        now = self.clock.monotonic()
        freshest_s = float("inf")
        for peer in self.peers.values():
            if peer.last_heard_at is None or peer.is_leaving:
                continue
            age_s = peer.store_age_s + (now - peer.last_heard_at).total_seconds()
            # Who lives is asked last: hosts ask this many times a second.
            if age_s < freshest_s and self.is_running(peer):
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
            if peer.holds_lease and self.is_near(peer) and self.is_recently_heard(peer):
                return peer.contact.host_id
        return None

    def keepers(self) -> dict[str, Peer]:
        """Return the live peers that order engines, now or soon, by data centre.

        Of two that say so, the one that has had to wait less is the holder.
        """
        may_order = (
            p for p in self.peers.values() if p.orders_in_s < ORDER_WAIT_UNKNOWN_S
        )
        holders = [p for p in may_order if self.is_recently_heard(p)]
        holders.sort(key=lambda p: (p.orders_in_s, p.contact.host_id), reverse=True)
        return {p.contact.data_centre: p for p in holders}

    def keeper_of(self, data_centre: str) -> Peer | None:
        """Return the live peer that orders a data centre's engines, now or soon."""
        return self.keepers().get(data_centre)

    def uptime_s(self) -> float:
        """Return how long ago this host started, in seconds."""
        return (self.clock.monotonic() - self.started_at).total_seconds()

    def record_contact(self, contact: Contact) -> None:
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

    def digest_period_s(self, is_near: bool) -> float:
        """Return the time between two digests to one peer."""
        hosts = self.near_peer_count if is_near else len(self.peers)
        return DIGEST_PERIOD_S + DIGEST_PERIOD_PER_HOST_S * hosts * max(
            1.0, hosts / LINEAR_PERIOD_MAX_HOSTS
        )

    def max_harmless_silence(self) -> timedelta:
        """Return how long a far peer may be silent without anything being lost."""
        if not self.is_mesh:
            return HUB_REPORT_MAX_AGE
        return seconds(2 * self.digest_period_s(is_near=False))

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the own data centre."""
        return peer.contact.data_centre == self.me.data_centre

    def update_near_peer_count(self) -> None:
        """Count the peers of the own data centre."""
        self.near_peer_count = sum(1 for p in self.peers.values() if self.is_near(p))

    def record_lease_returned(self, host_id: HostId) -> None:
        """Take that a peer has given the lease back."""
        known = self.peers.get(host_id)
        if known is not None:
            self.peers[host_id] = replace(
                known, holds_lease=False, orders_in_s=float("inf")
            )

    def mark_lost(self, host_id: HostId) -> None:
        """Take a peer that did not answer for lost until it is heard again."""
        known = self.peers.get(host_id)
        if known is None or known.last_heard_at is None:
            return
        long_ago = self.clock.monotonic() - self.silence_timeout(known)
        self.peers[host_id] = replace(
            known, last_heard_at=min(known.last_heard_at, long_ago)
        )
