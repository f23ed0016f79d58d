"""Membership of the data centre by heartbeats, with occasional pings to other ones."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from reactivex.subject import BehaviorSubject
from returns.result import Success

from sardinequay_core.clock import Clock
from sardinequay_core.membership import Health, Member, Membership, MembershipPolicy
from sardinequay_core.names import Address, DataCentre
from sardinequay_core.rendezvous import rank_members
from sardinequay_core.roster import EMPTY_ROSTER, EntryHost, Presence, Roster

from .background_tasks import BackgroundTasks
from .mailbox import run_periodically
from .messages import InForce, Offer, Ping, Pong, Taken
from .metrics import Metrics
from .peers import PeerClient
from .shared_settings import TimingSettings

PLATFORM_READERS = 2
"""Hosts of a data centre that watch the platform: the loss of one has no effect."""
REMOTE_PING_ROUNDS = 10
"""Gossip rounds between two pings to a host of another data centre."""
LiveMembers = tuple[Member, ...]
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PeerInForce:
    """Event: versions that a peer has in force."""

    in_force: InForce
    address: Address


class MembershipTask:
    """Owns the membership of this host's data centre.

    Parameters
    ----------
    in_force : callable
        Returns what this host has in force, sent with each heartbeat.
    on_peer_in_force : callable
        Receives what a peer has in force.
    """

    def __init__(
        self,
        me: Member,
        data_centre: DataCentre,
        timing: TimingSettings,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        metrics: Metrics,
        in_force: Callable[[], InForce],
        on_peer_in_force: Callable[[PeerInForce], None],
    ) -> None:
        policy = MembershipPolicy(
            ping_interval=timedelta(seconds=timing.gossip_s),
            suspicion_timeout=timedelta(seconds=timing.suspect_s),
        )
        self.membership = Membership(me, policy, random)
        self.data_centre = data_centre
        self.timing = timing
        self.peers = peers
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.in_force = in_force
        self.on_peer_in_force = on_peer_in_force
        self.roster = EMPTY_ROSTER
        self.live_members: BehaviorSubject[LiveMembers] = BehaviorSubject((me,))
        self.round_count = 0
        self.pending_sends = BackgroundTasks("offer")

    def apply_roster(self, roster: Roster) -> None:
        """Add live hosts of this data centre from the roster as members."""
        self.roster = roster
        local = roster.hosts_in_data_centre(self.data_centre)
        members = [
            Member(h.host_id, h.peer_address, 0)
            for h in local
            if h.presence is Presence.LIVE
        ]
        self.membership.add_listed(members, self.clock.monotonic())
        self.publish_live_members()

    async def run(self) -> None:
        """Send heartbeats for good."""
        await run_periodically(self.timing.gossip_s, self.run_round)

    async def run_round(self) -> None:
        """Ping one member of the data centre, and every few rounds a remote host."""
        self.round_count += 1
        self.membership.expire_members(self.clock.monotonic())
        member = self.membership.next_ping_target()
        if member is not None:
            await self.ping(member)
        remote = self.remote_hosts()
        if remote and self.round_count % REMOTE_PING_ROUNDS == 0:
            await self.ping_remote_host(self.random.choice(remote).peer_address)
        self.publish_live_members()

    def remote_hosts(self) -> list[EntryHost]:
        """Return the hosts of other data centres."""
        return [h for h in self.roster.entry_hosts if h.data_centre != self.data_centre]

    async def ping(self, member: Member) -> None:
        """Ping a member and apply the updates in its reply."""
        message = Ping(self.membership.updates_to_send(), self.in_force())
        reply = await self.peers.call(member.address, message)
        now = self.clock.monotonic()
        pong = reply.value_or(None)
        if isinstance(pong, Pong):
            self.membership.handle_updates(pong.news, now)
            self.membership.record_ping_answer(member.host_id, now)
            self.on_peer_in_force(PeerInForce(pong.in_force, member.address))
        else:
            self.membership.record_ping_timeout(member.host_id, now)

    async def ping_remote_host(self, address: Address) -> None:
        """Exchange versions in force with a host of another data centre."""
        reply = await self.peers.call(address, Ping((), self.in_force()))
        if isinstance(reply, Success) and isinstance(reply.unwrap(), Pong):
            self.on_peer_in_force(PeerInForce(reply.unwrap().in_force, address))

    async def handle_ping(self, ping: Ping) -> Pong:
        """Reply to a heartbeat; one without updates comes from another data centre."""
        if ping.news:
            self.membership.handle_updates(ping.news, self.clock.monotonic())
            self.publish_live_members()
            self.on_peer_in_force(PeerInForce(ping.in_force, ping.news[0].address))
            return Pong(self.membership.updates_to_send(), self.in_force())
        return Pong((), self.in_force())

    async def handle_offer(self, offer: Offer) -> Taken:
        """Handle a peer's announcement of a new version in force."""
        ip, _, port = offer.address.rpartition(":")
        self.on_peer_in_force(PeerInForce(offer.in_force, Address(ip, int(port))))
        return Taken()

    def publish_live_members(self) -> None:
        """Publish the live members if they changed."""
        live = self.membership.live_members()
        previous = [(m.host_id, m.incarnation) for m in self.live_members.value]
        if [(m.host_id, m.incarnation) for m in live] != previous:
            self.metrics.peers.set({}, len(live))
            self.live_members.on_next(live)

    def is_reader(self) -> bool:
        """Return whether this host watches the platform for its data centre."""
        members = [m.host_id for m in self.membership.live_members()]
        ranked = rank_members(f"readers/{self.data_centre}", members)
        return self.membership.self_member.host_id in ranked[:PLATFORM_READERS]

    def join_peers(self) -> list[Address]:
        """Return the peers to query at a start: all here, one per other data centre."""
        local_addresses = [
            m.address
            for m in self.membership.live_members()
            if not self.is_own_member(m)
        ]
        remote_addresses: dict[DataCentre, Address] = {}
        for host in self.remote_hosts():
            remote_addresses.setdefault(host.data_centre, host.peer_address)
        return local_addresses + list(remote_addresses.values())

    def is_own_member(self, member: Member) -> bool:
        """Return whether a member is this host."""
        return member.host_id == self.membership.self_member.host_id

    def announce_in_force(self) -> None:
        """Announce new versions in force to all local and some remote hosts.

        Only the readers of a data centre announce, each to two hosts of every other
        one.
        """
        addresses = [
            m.address
            for m in self.membership.live_members()
            if not self.is_own_member(m)
        ]
        announced: dict[DataCentre, int] = {}
        for host in self.random.sample(self.remote_hosts(), len(self.remote_hosts())):
            if (
                announced.get(host.data_centre, 0) < PLATFORM_READERS
                and self.is_reader()
            ):
                announced[host.data_centre] = announced.get(host.data_centre, 0) + 1
                addresses.append(host.peer_address)
        if self.is_reader():
            self.send_offers(addresses)

    def send_offers(self, addresses: list[Address]) -> None:
        """Send an offer to some hosts without waiting for their replies."""
        offer = Offer(self.in_force(), str(self.membership.self_member.address))
        for address in addresses:
            self.pending_sends.start(self.send_offer(address, offer), str(address))

    async def send_offer(self, address: Address, offer: Offer) -> None:
        """Send one offer; a host that misses it learns of it by heartbeat."""
        await self.peers.call(address, offer)

    async def announce_leaving(self) -> None:
        """Announce to the members that this host is leaving."""
        self.membership.start_leaving()
        self.publish_live_members()
        ping = Ping(self.membership.updates_to_send(), self.in_force())
        peers = [m.address for m in self.membership.live_members()]
        await asyncio.gather(*[self.peers.call(address, ping) for address in peers])

    def health_by_member(self) -> dict[str, str]:
        """Return the health of each member, for operators."""
        records = self.membership.records.items()
        health = {
            str(host_id): record.member.health.name.lower()
            for host_id, record in records
        }
        me = self.membership.self_member
        return {**health, str(me.host_id): Health(me.health).name.lower()}
