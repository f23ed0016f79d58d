"""State of the other hosts: liveness, voters, lease holders and readers of the store.

This module sends no messages; `fleet_task` exchanges the digests that update the table.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta

from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.fleet_topology import is_mesh
from sardinequay_core.names import Address, HostId
from sardinequay_core.order_candidate import Voters
from sardinequay_core.rendezvous import rank_members

from .absent_voters import AbsentVoters
from .serving_messages import Contact

DIGEST_PERIOD_S = 0.2
"""Time between two digests to one peer in a small fleet, in seconds. Load shares are up
to this old."""

DIGEST_PERIOD_PER_HOST_S = 0.012
"""Increase of the period for each host, which limits a host to some 80 digests a
second."""

LINEAR_PERIOD_MAX_HOSTS = 25
"""Number of hosts up to which the period grows linearly. Beyond, it grows with the
square, so that the digests that a host sends a second decrease and the traffic between
data centres stays low."""

SILENCE_TIMEOUT_S = 1.2
SILENCE_TIMEOUT_PERIODS = 3
"""A peer counts as live for `SILENCE_TIMEOUT_S` after its last digest, plus this many
times the part of the digest period above `DIGEST_PERIOD_S`: a broken connection may
lose a few digests."""

ASSUME_ALONE_AFTER = seconds(10)
"""A host that no peer has answered for so long since its start takes itself to be the
only host. It then orders engines without votes, as long as no other host does."""

ORDER_WAIT_UNKNOWN_S = 60.0
"""Upper limit of a known wait, in seconds: a peer that reports a longer wait until it
may order engines does not know when it may."""

READERS_PER_DATA_CENTRE = 1

HUB_SILENCE_TIMEOUT = seconds(1.2)
"""Silence after which a hub counts as lost in its data centre, and a host of the data
centre at its hub: four periods, as in a mesh."""

OTHER_HUB_SILENCE_TIMEOUT = seconds(2)
"""The same for hubs of other data centres, of which most hosts learn through their own
hub."""

HUB_REPORT_MAX_AGE = seconds(3)
"""Time for which a hub's last report stays valid: a lost hub is replaced sooner."""


@dataclass(frozen=True, slots=True)
class Peer:
    """State of another host.

    A host is near if it is in the own data centre, else far.

    Parameters
    ----------
    last_heard_at : timedelta or None
        Time of its last digest, or of the one that the hub received if it is a hub.
    up_s : float
        Its uptime at `up_s_received_at`, in seconds.
    hub_reported_at : timedelta
        Last time at which the hub reported it as live, set once the hub stops doing so.
    live_hosts : int
        Live hosts of its data centre, if it is a hub.
    is_cut_off : bool
        Whether it appears to reach no target.
    is_lost : bool
        Whether it has been silent for too long since its last digest.
    """

    contact: Contact
    last_heard_at: Instant | None
    added_at: Instant
    is_leaving: bool = False
    holds_lease: bool = False
    orders_in_s: float = float("inf")
    up_s: float = 0.0
    is_lost: bool = False
    leaving_since: Instant = ZERO
    up_s_received_at: Instant = ZERO
    hub_reported_at: Instant = ZERO
    is_hub: bool = False
    live_hosts: int = 1
    is_cut_off: bool = False


class PeerTable:
    """Table of the other hosts in the fleet.

    Parameters
    ----------
    seeds : tuple of Address
        Peer addresses contacted to discover the fleet; this host's own is left out.
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
        self.absent_voters = AbsentVoters()
        self.known_contacts: dict[HostId, Contact] = {}
        self.contact_log: list[Contact] = []
        self.log_contact(me)

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Set the addresses that are contacted to discover the fleet."""
        self.seeds = tuple(s for s in seeds if str(s) != self.me.address)

    @property
    def is_mesh(self) -> bool:
        """Return whether every pair of hosts exchanges digests."""
        return is_mesh(len(self.peers) + 1)

    def live_peers(self) -> tuple[Peer, ...]:
        """Return the live peers that are not leaving."""
        return tuple(p for p in self.running_peers() if not p.is_leaving)

    def running_peers(self) -> tuple[Peer, ...]:
        """Return the live peers, including those that are leaving."""
        return self.recently_heard_peers()

    def peers_to_ask(self) -> tuple[Peer, ...]:
        """Return the peers to ask for what any host can do: the live ones."""
        return self.live_peers()

    def is_running(self, peer: Peer) -> bool:
        """Return whether a peer is one of the running peers."""
        return self.is_recently_heard(peer)

    def is_recently_heard(self, peer: Peer) -> bool:
        """Return whether a peer's last digest is within its silence timeout."""
        if peer.last_heard_at is None:
            return False
        return peer.last_heard_at > self.clock.monotonic() - self.silence_timeout(peer)

    def recently_heard_peers(self) -> tuple[Peer, ...]:
        """Return the peers whose last digest is within the silence timeout."""
        # Timeouts are computed once for all peers: each choice of an engine calls this.
        now = self.clock.monotonic()
        near_since = now - self.silence_timeout_by_distance(is_near=True)
        far_since = now - self.silence_timeout_by_distance(is_near=False)
        hub_since = near_since if self.is_mesh else now - HUB_SILENCE_TIMEOUT

        def oldest_live_time(peer: Peer) -> Instant:
            if not self.is_near(peer):
                return far_since
            return hub_since if peer.holds_lease or peer.is_hub else near_since

        return tuple(
            p
            for p in self.peers.values()
            if p.last_heard_at is not None and p.last_heard_at > oldest_live_time(p)
        )

    def silence_timeout(self, peer: Peer) -> timedelta:
        """Return the time after its last digest for which a peer counts as live."""
        is_near = self.is_near(peer)
        if is_near and not self.is_mesh and (peer.holds_lease or peer.is_hub):
            return HUB_SILENCE_TIMEOUT
        return self.silence_timeout_by_distance(is_near)

    def silence_timeout_by_distance(self, is_near: bool) -> timedelta:
        """Return the silence timeout of near or far peers, other than near hubs."""
        if not self.is_mesh and not is_near:
            return OTHER_HUB_SILENCE_TIMEOUT
        period_s = self.digest_period_s(is_near)
        return seconds(
            SILENCE_TIMEOUT_S + SILENCE_TIMEOUT_PERIODS * (period_s - DIGEST_PERIOD_S)
        )

    @property
    def live_hosts(self) -> int:
        """Return how many hosts serve requests, including this one."""
        return len(self.live_peers()) + 1

    def hosts_age_s(self) -> float:
        """Return the time since the newest digest of any peer, in seconds."""
        heard_times = (
            p.last_heard_at for p in self.peers.values() if p.last_heard_at is not None
        )
        now = self.clock.monotonic()
        return (now - max(heard_times, default=self.started_at)).total_seconds()

    def peer_uptime_s(self, peer: Peer) -> float:
        """Return the time since a peer started, in seconds."""
        return (
            peer.up_s + (self.clock.monotonic() - peer.up_s_received_at).total_seconds()
        )

    def last_sign_of_life(self, peer: Peer) -> Instant:
        """Return when a peer was last known to be live, or when it was added."""
        return max(peer.last_heard_at or peer.added_at, peer.hub_reported_at)

    def voters(self, lease: timedelta) -> Voters:
        """Return the voters of this data centre, present and absent.

        Parameters
        ----------
        lease : timedelta
            Time for which leaving hosts still count: the duration of the votes that
            they have cast.
        """
        left_since = self.clock.monotonic() - lease
        near = [p for p in self.peers.values() if self.is_near(p)]
        departed = {
            p.contact.host_id
            for p in near
            if p.is_leaving and p.leaving_since <= left_since
        }
        known = {p.contact.host_id for p in near} - departed
        return Voters(
            frozenset(known),
            frozenset(departed | self.absent_voters.departed.keys()) - known,
            frozenset(self.absent_voters.forgotten) - known,
            is_taken_for_alone=self.is_taken_for_alone,
        )

    def leaving_hosts(self) -> tuple[HostId, ...]:
        """Return the running hosts of this data centre that are leaving."""
        return tuple(
            p.contact.host_id
            for p in self.running_peers()
            if p.is_leaving and self.is_near(p)
        )

    def has_joined(self) -> bool:
        """Return whether enough hosts of this data centre are known to vote."""
        now = self.clock.monotonic()
        if not self.seeds or self.is_taken_for_alone:
            return True
        return self.joined_at is not None and now - self.joined_at > seconds(1)

    @property
    def is_taken_for_alone(self) -> bool:
        """Return whether no host has answered, since its start or suspension."""
        searched_for = self.clock.monotonic() - self.joining_since
        is_unanswered = bool(self.seeds) and self.joined_at is None
        return is_unanswered and searched_for > ASSUME_ALONE_AFTER

    def restart_joining(self) -> None:
        """Discover the hosts again: they may have changed during a suspension."""
        self.joining_since = self.clock.monotonic()
        self.joined_at = None

    def is_reader(self) -> bool:
        """Return whether this host reads the store for its data centre."""
        return self.reader_rank() < READERS_PER_DATA_CENTRE

    def is_substitute_reader(self) -> bool:
        """Return whether this host is the first to read if the reader fails."""
        return self.reader_rank() == READERS_PER_DATA_CENTRE

    def reader_rank(self) -> int:
        """Return how many live hosts of the data centre precede this one as reader."""
        near_hosts = [p.contact.host_id for p in self.live_peers() if self.is_near(p)]
        return rank_members("reader", [*near_hosts, self.me.host_id]).index(
            self.me.host_id
        )

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the address of a peer."""
        peer = self.peers.get(host_id)
        return peer.contact.peer_address if peer else None

    def lease_holder(self) -> HostId | None:
        """Return the peer that claims to hold this data centre's order lease.

        A leaving peer keeps the lease until it stops.
        """
        for peer in self.peers.values():
            if peer.holds_lease and self.is_near(peer) and self.is_recently_heard(peer):
                return peer.contact.host_id
        return None

    def keepers(self) -> dict[str, Peer]:
        """Return the live peers that order engines, now or soon, by data centre.

        If two peers of a data centre claim this, the one with the shorter wait is the
        holder.
        """
        candidates = (
            p for p in self.peers.values() if p.orders_in_s < ORDER_WAIT_UNKNOWN_S
        )
        live_candidates = [p for p in candidates if self.is_recently_heard(p)]
        live_candidates.sort(
            key=lambda p: (p.orders_in_s, p.contact.host_id), reverse=True
        )
        return {p.contact.data_centre: p for p in live_candidates}

    def keeper_of(self, data_centre: str) -> Peer | None:
        """Return the live peer that orders a data centre's engines, now or soon."""
        return self.keepers().get(data_centre)

    def uptime_s(self) -> float:
        """Return the time since this host started, in seconds."""
        return (self.clock.monotonic() - self.started_at).total_seconds()

    def log_contact(self, contact: Contact) -> None:
        """Log a new host, or a changed address, to be sent to peers."""
        if self.known_contacts.get(contact.host_id) != contact:
            self.known_contacts[contact.host_id] = contact
            self.contact_log.append(contact)

    def contacts_since(self, start: int) -> tuple[Contact, ...]:
        """Return the hosts logged from a position on that are known and not leaving."""
        return tuple(
            c
            for c in self.contact_log[start:]
            if self.known_contacts.get(c.host_id) == c and self.is_staying(c.host_id)
        )

    def is_staying(self, host_id: HostId) -> bool:
        """Return whether a host is known and not leaving."""
        peer = self.peers.get(host_id)
        return host_id == self.me.host_id or (peer is not None and not peer.is_leaving)

    def contacts(self) -> tuple[Contact, ...]:
        """Return all known hosts that are not leaving, including this one."""
        staying_contacts = [p.contact for p in self.peers.values() if not p.is_leaving]
        return (self.me, *staying_contacts)

    def digest_period_s(self, is_near: bool) -> float:
        """Return the time between two digests to one near or far peer, in seconds."""
        hosts = self.near_peer_count if is_near else len(self.peers)
        return DIGEST_PERIOD_S + DIGEST_PERIOD_PER_HOST_S * hosts * max(
            1.0, hosts / LINEAR_PERIOD_MAX_HOSTS
        )

    def max_harmless_silence(self) -> timedelta:
        """Return the time that a far peer may be silent before its reports expire."""
        if not self.is_mesh:
            return HUB_REPORT_MAX_AGE
        return seconds(2 * self.digest_period_s(is_near=False))

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the own data centre."""
        return peer.contact.data_centre == self.me.data_centre

    def update_near_peer_count(self) -> None:
        """Recount the peers of the own data centre."""
        self.near_peer_count = sum(1 for p in self.peers.values() if self.is_near(p))

    def record_lease_returned(self, host_id: HostId) -> None:
        """Record that a peer has returned the order lease."""
        peer = self.peers.get(host_id)
        if peer is not None:
            self.peers[host_id] = replace(
                peer, holds_lease=False, orders_in_s=float("inf")
            )

    def mark_lost(self, host_id: HostId) -> None:
        """Treat a peer that did not reply as lost until its next digest."""
        peer = self.peers.get(host_id)
        if peer is None or peer.last_heard_at is None:
            return
        expired_at = self.clock.monotonic() - self.silence_timeout(peer)
        self.peers[host_id] = replace(
            peer, last_heard_at=min(peer.last_heard_at, expired_at)
        )
