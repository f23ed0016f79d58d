"""Choice of a data centre's hub, and the reports of hubs about other hosts.

Used in large fleets, where hosts exchange digests through hubs, see `fleet_topology`.
This module sends no messages.
"""

from collections.abc import Iterable
from dataclasses import replace

from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import Address, HostId
from sardinequay_core.rendezvous import first_member

from .peer_table import (
    HUB_SILENCE_TIMEOUT,
    READERS_PER_DATA_CENTRE,
    Peer,
    PeerTable,
)
from .serving_messages import Contact, HubNotes, Member, Neighbour

HUB_PERIOD_S = 0.1
HUB_PERIOD_PER_HOST_S = 0.005
"""Time between two exchanges with a hub, and its increase for each host of the data
centre: 0.3 s at 39 hosts. Engine state is at most three times as old."""


class HubTable(PeerTable):
    """Table of the other hosts, extended by the reports of hubs in a large fleet.

    Parameters
    ----------
    seeds : tuple of Address
        Peer addresses contacted to discover the fleet; this host's own is left out.
    """

    def __init__(self, me: Contact, seeds: tuple[Address, ...], clock: Clock) -> None:
        super().__init__(me, seeds, clock)
        self.hub_reported_hosts: frozenset[HostId] = frozenset()
        self.hub_reported_at = ZERO
        self.hub_reported_live_hosts = 1

    def running_peers(self) -> tuple[Peer, ...]:
        """Return the peers heard recently and those that the hub reports as live."""
        recently_heard = self.recently_heard_peers()
        hub_reported_ids = self.recent_hub_reported_hosts() - {
            p.contact.host_id for p in recently_heard
        }
        return (
            *recently_heard,
            *(
                self.peers[host_id]
                for host_id in hub_reported_ids
                if host_id in self.peers
            ),
        )

    def peers_to_ask(self) -> tuple[Peer, ...]:
        """Return the peers to ask for what any host can do.

        In a large fleet little is known of single hosts of other data centres. They are
        asked, too: if a whole data centre needs others, its hubs alone are too few.
        """
        live = self.live_peers()
        if self.is_mesh:
            return live
        far = (p for p in self.peers.values() if not self.is_near(p))
        unheard = (p for p in far if not p.is_hub and not p.is_leaving)
        return (*live, *unheard)

    def is_running(self, peer: Peer) -> bool:
        """Return whether a peer is one of the running peers."""
        is_hub_reported = peer.contact.host_id in self.recent_hub_reported_hosts()
        return is_hub_reported or super().is_running(peer)

    def recent_hub_reported_hosts(self) -> frozenset[HostId]:
        """Return the hosts that the hub reported as live recently."""
        is_recent = self.clock.monotonic() - self.hub_reported_at < HUB_SILENCE_TIMEOUT
        return self.hub_reported_hosts if is_recent else frozenset()

    def last_sign_of_life(self, peer: Peer) -> Instant:
        """Return when a peer was last known to be live, or when it was added."""
        last_sign = super().last_sign_of_life(peer)
        if peer.contact.host_id in self.hub_reported_hosts:
            return max(last_sign, self.hub_reported_at)
        return last_sign

    def mark_lost(self, host_id: HostId) -> None:
        """Treat a peer that did not reply as lost until its next digest."""
        super().mark_lost(host_id)
        if host_id in self.hub_reported_hosts:
            self.hub_reported_hosts -= {host_id}
            self.record_hub_removals((host_id,))

    @property
    def live_hosts(self) -> int:
        """Return how many hosts serve requests, including this one."""
        if self.is_mesh:
            return super().live_hosts
        if not self.is_hub():
            return self.hub_reported_live_hosts
        hosts_elsewhere = sum(p.live_hosts for p in self.other_hubs())
        return self.live_hosts_in_data_centre() + hosts_elsewhere

    def live_hosts_in_data_centre(self) -> int:
        """Return how many hosts of this hub's data centre serve requests."""
        return sum(1 for p in self.reporting_peers() if not p.is_leaving) + 1

    def is_reader(self) -> bool:
        """Return whether this host reads the store for its data centre."""
        return super().is_reader() if self.is_mesh else self.is_hub()

    def is_substitute_reader(self) -> bool:
        """Return whether this host is the first to read if the reader fails.

        In a large fleet these may be two hosts, as the hub is among the ranked ones.
        """
        if self.is_mesh:
            return super().is_substitute_reader()
        return self.reader_rank() <= READERS_PER_DATA_CENTRE

    def hub(self) -> Contact:
        """Return the hub of this data centre: the host that holds its order lease.

        Without a holder, hosts that know the same live peers choose the same hub by
        rank.
        """
        if self.holds_lease():
            return self.me
        holder_id = self.lease_holder()
        if holder_id is not None:
            return self.peers[holder_id].contact
        near_hosts = {
            p.contact.host_id: p.contact for p in self.live_peers() if self.is_near(p)
        }
        near_hosts[self.me.host_id] = self.me
        return near_hosts[HostId(first_member("hub", near_hosts))]

    def is_hub(self) -> bool:
        """Return whether this host is the hub of its data centre in a large fleet."""
        return not self.is_mesh and self.hub() == self.me

    def other_hubs(self) -> tuple[Peer, ...]:
        """Return the live hubs of other data centres; of several, the last heard."""
        hubs: dict[str, Peer] = {}
        for peer in self.peers.values():
            if peer.is_hub and not self.is_near(peer) and self.is_recently_heard(peer):
                last_heard = hubs.get(peer.contact.data_centre)
                if last_heard is None or (last_heard.last_heard_at or ZERO) < (
                    peer.last_heard_at or ZERO
                ):
                    hubs[peer.contact.data_centre] = peer
        return tuple(hubs.values())

    def hub_for_host(self, host_id: HostId) -> HostId | None:
        """Return the hub, if any, that reports on a host of another data centre."""
        peer = self.peers.get(host_id)
        if self.is_mesh or peer is None or self.is_near(peer):
            return None
        for hub in self.other_hubs():
            if hub.contact.data_centre == peer.contact.data_centre:
                return hub.contact.host_id
        return None

    def known_to_all(self) -> list[HostId]:
        """Return live hosts known to all hosts: all in a mesh, else the hubs."""
        if self.is_mesh:
            return [self.me.host_id, *(p.contact.host_id for p in self.live_peers())]
        others = [p.contact.host_id for p in self.other_hubs()]
        return [self.hub().host_id, *others]

    def hub_period_s(self) -> float:
        """Return the time between two exchanges with a hub, in seconds."""
        return HUB_PERIOD_S + HUB_PERIOD_PER_HOST_S * self.near_peer_count

    def reporting_peers(self) -> tuple[Peer, ...]:
        """Return the hosts of this data centre that this hub heard recently."""
        since = self.clock.monotonic() - HUB_SILENCE_TIMEOUT
        return tuple(
            p
            for p in self.peers.values()
            if p.last_heard_at is not None
            and p.last_heard_at > since
            and self.is_near(p)
        )

    def live_member_records(self) -> tuple[Member, ...]:
        """Return the live hosts of this data centre, to be sent to its hosts."""
        return tuple(
            Member(
                p.contact,
                round(self.peer_uptime_s(p), 1),
                p.is_leaving,
                p.is_cut_off,
            )
            for p in self.reporting_peers()
        )

    def neighbour_records(self) -> tuple[Neighbour, ...]:
        """Return the other hubs, to be sent to the hosts of this data centre."""
        now = self.clock.monotonic()
        return tuple(
            Neighbour(
                p.contact,
                p.orders_in_s,
                (now - (p.last_heard_at or ZERO)).total_seconds(),
            )
            for p in self.other_hubs()
        )

    def apply_hub_notes(self, notes: HubNotes) -> None:
        """Update the table by the report of this data centre's hub."""
        now = self.clock.monotonic()
        self.hub_reported_at = now
        if notes.members is not None:
            reported_hosts = frozenset(m.contact.host_id for m in notes.members)
            self.record_hub_removals(self.hub_reported_hosts - reported_hosts)
            self.hub_reported_hosts = reported_hosts
            self.apply_members(notes.members, now)
        for neighbour in notes.neighbours:
            self.apply_neighbour(neighbour, now)

    def record_hub_removals(self, hosts: Iterable[HostId]) -> None:
        """Record that the hub no longer reports some hosts as live.

        They stay in the table, and so among the voters, for as long after this report
        as hosts whose own digests have stopped.
        """
        now = self.clock.monotonic()
        for host_id in hosts:
            peer = self.peers.get(host_id)
            if peer is not None:
                self.peers[host_id] = replace(peer, hub_reported_at=now)

    def apply_members(self, members: Iterable[Member], now: Instant) -> None:
        """Update the live hosts of this data centre, all except the hub."""
        for member in members:
            host_id = member.contact.host_id
            if host_id == self.me.host_id:
                continue
            self.log_contact(member.contact)
            previous = self.peers.get(host_id) or Peer(member.contact, None, now)
            leaving_since = previous.leaving_since if previous.is_leaving else now
            self.peers[host_id] = replace(
                previous,
                contact=member.contact,
                up_s=member.up_s,
                up_s_received_at=now,
                is_leaving=member.is_leaving,
                leaving_since=leaving_since,
                is_cut_off=member.is_cut_off,
            )
        self.update_near_peer_count()

    def apply_neighbour(self, neighbour: Neighbour, now: Instant) -> None:
        """Update the hub of another data centre."""
        host_id = neighbour.contact.host_id
        self.log_contact(neighbour.contact)
        previous = self.peers.get(host_id) or Peer(neighbour.contact, None, now)
        heard_at = now - seconds(neighbour.age_s)
        if previous.last_heard_at is None or previous.last_heard_at < heard_at:
            self.peers[host_id] = replace(
                previous,
                contact=neighbour.contact,
                last_heard_at=heard_at,
                orders_in_s=neighbour.orders_in_s,
                is_lost=False,
                is_hub=True,
                is_leaving=False,
            )
