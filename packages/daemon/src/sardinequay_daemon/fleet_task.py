"""Exchange of digests with the other hosts, which are discovered through seeds.

Of each pair the host with the lower id calls, and the reply carries the other's digest,
so one call serves both directions. In a small fleet each host exchanges digests with
all others; the period grows with the number of hosts. In a large fleet a host exchanges
them with its hub alone, and a hub with the other hubs (`fleet_topology`). While no host
holds the order lease of a data centre, its hosts contact one another as in a mesh,
because they must elect a holder.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from reactivex.subject import Subject
from returns.result import Success

from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.names import Address, FeatureId, HostId

from .background_tasks import BackgroundTasks
from .digest_dates import DigestDates
from .hub_table import HubTable
from .peer_table import Peer
from .peers import PeerClient
from .serving_messages import Contact, Digest

UPDATE_MIN_PERIOD_S = 0.02
UPDATE_MIN_PERIOD_PER_HOST_S = 0.004
"""Minimum time between two updates, and its increase for each known host. An update is
an exchange with all peers ahead of the next period; load changes are frequent, and each
update costs every peer."""

SEED_PERIOD_S = 0.5
"""Time between two rounds of contacting seeds, while no host replies or fewer hosts
than seeds are known."""

JOIN_SEED_PERIOD_S = 0.1
"""The same for a host that has just started; its seeds may have started together with
it."""

JOIN_DURATION_S = 3.0
EXCHANGE_TIMEOUT_S = 0.5
"""Timeout of one exchange; hosts of a region reply within a few milliseconds."""

HUB_MAX_FAILURES = 2
"""Consecutive failed exchanges with a hub after which it counts as lost."""

REMOTE_CONTACT_RETENTION = seconds(600)
"""Time for which the address of a host in another data centre is kept in a large fleet:
most are never called, and are needed when the hub there is lost."""

ALL_HOSTS_KNOWN_AFTER_S = 2.0
"""A host with at least this uptime knows all others, because each has sent it a
digest."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """Digest of a peer, and when it was received.

    Parameters
    ----------
    has_restarted : bool
        Whether the peer has restarted since its previous digest and has lost its state.
    built_at : timedelta or None
        When it was built at the earliest, by this host's clock; None if unknown.
    """

    digest: Digest
    received_at: Instant
    has_restarted: bool = False
    built_at: Instant | None = None


class FleetTask(HubTable):
    """Exchanges digests with other hosts and owns the table of peers.

    Near hosts, those of the own data centre, receive digests more often than far ones:
    the host that reads the store is among them.

    Parameters
    ----------
    peer_retention : timedelta
        Time for which a silent peer is kept in the table, and for which one that left
        counts as a voter.
    build_digest : callable
        Returns the digest to send to a peer.
    """

    def __init__(
        self,
        me: Contact,
        seeds: tuple[Address, ...],
        peer_client: PeerClient,
        clock: Clock,
        peer_retention: timedelta,
        build_digest: Callable[[HostId], Digest],
    ) -> None:
        super().__init__(me, seeds, clock)
        self.peer_client = peer_client
        self.peer_retention = peer_retention
        self.build_digest = build_digest
        self.digests: Subject[ReceivedDigest] = Subject()
        self.lost_peers: Subject[HostId] = Subject()
        self.active_exchanges: set[HostId] = set()
        self.repeat_exchanges: set[HostId] = set()
        self.tasks = BackgroundTasks("digest")
        self.is_leaving = False
        self.update_pending = asyncio.Event()
        self.is_update_for_far = False
        self.failed_exchanges: dict[HostId, int] = {}
        self.hub_hints: dict[str, Contact] = {}
        self.probe_counter = itertools.count()
        self.last_logged_hub = HostId("")
        self.dates = DigestDates(clock)

    async def run(self) -> None:
        """Exchange digests with peers, for good."""
        next_seeds = next_near = next_far = next_update = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if now >= next_seeds:
                next_seeds = now + seconds(self.seed_period_s())
                self.exchange_with_seeds()
                self.prune_silent_peers(now)
            if now >= next_near:
                next_near = now + seconds(self.digest_period_s(is_near=True))
                self.exchange_with_near_peers()
            if now >= next_far:
                next_far = now + seconds(self.far_period_s())
                self.exchange_with_far_peers()
            if self.update_pending.is_set() and now >= next_update:
                next_update = now + seconds(
                    UPDATE_MIN_PERIOD_S + UPDATE_MIN_PERIOD_PER_HOST_S * len(self.peers)
                )
                self.update_pending.clear()
                self.send_updates()
            await self.wait_until_due(min(next_seeds, next_near, next_far), next_update)

    def seed_period_s(self) -> float:
        """Return the time until seeds are contacted again, in seconds."""
        is_joining = self.joined_at is None and self.uptime_s() < JOIN_DURATION_S
        return JOIN_SEED_PERIOD_S if is_joining else SEED_PERIOD_S

    def far_period_s(self) -> float:
        """Return the time between two digests to far hosts or the hub, in seconds."""
        return (
            self.digest_period_s(is_near=False) if self.is_mesh else self.hub_period_s()
        )

    def exchange_with_near_peers(self) -> None:
        """Exchange digests with the hosts of this data centre that are due.

        A lease holder calls the hosts that do not call it: they may not know yet that
        it is the holder.
        """
        near_peers = [p for p in self.peers.values() if self.is_near(p)]
        if not self.is_mesh and self.holds_lease():
            reporting_ids = {p.contact.host_id for p in self.reporting_peers()}
            for peer in near_peers:
                if peer.contact.host_id not in reporting_ids:
                    self.exchange_with_host(peer.contact)
        elif self.is_mesh or self.lease_holder() is None:
            self.exchange_with_peers(near_peers)

    def exchange_with_far_peers(self) -> None:
        """Exchange digests with far hosts; in a large fleet through the hub."""
        if self.is_mesh:
            self.exchange_with_peers(
                p for p in self.peers.values() if not self.is_near(p)
            )
            return
        hub = self.hub()
        self.log_hub_change(hub)
        if hub == self.me:
            self.exchange_with_other_hubs()
        else:
            self.exchange_with_host(hub)

    def log_hub_change(self, hub: Contact) -> None:
        """Log the hub of this host when it changes."""
        if hub.host_id != self.last_logged_hub:
            extra = {"hub": hub.host_id, "before": self.last_logged_hub}
            log.info("hub changed", extra=extra)
            self.last_logged_hub = hub.host_id

    def exchange_with_other_hubs(self) -> None:
        """Exchange digests with each other data centre's hub, or search for it."""
        hubs = {p.contact.data_centre: p for p in self.other_hubs()}
        overdue_since = self.clock.monotonic() - 2 * seconds(self.hub_period_s())
        for data_centre in sorted({p.contact.data_centre for p in self.peers.values()}):
            if data_centre == self.me.data_centre:
                continue
            hub = hubs.get(data_centre)
            if hub is None:
                self.probe_for_hub(data_centre)
            elif (
                self.me.host_id < hub.contact.host_id
                or (hub.last_heard_at or ZERO) < overdue_since
            ):
                self.exchange_with_host(hub.contact)

    def probe_for_hub(self, data_centre: str) -> None:
        """Call the host reported as a data centre's hub, else its hosts in turn."""
        reported_hub = self.hub_hints.pop(data_centre, None)
        if reported_hub is not None:
            self.exchange_with_host(reported_hub)
            return
        candidates = sorted(
            h for h, p in self.peers.items() if p.contact.data_centre == data_centre
        )
        chosen = self.peers[candidates[next(self.probe_counter) % len(candidates)]]
        self.exchange_with_host(chosen.contact)

    async def wait_until_due(self, due: Instant, next_update: Instant) -> None:
        """Wait until the next exchange is due or an update may be sent."""
        now = self.clock.monotonic()
        if self.update_pending.is_set():
            await asyncio.sleep(max(0.0, (min(due, next_update) - now).total_seconds()))
            return
        try:
            async with asyncio.timeout(max(0.0, (due - now).total_seconds())):
                await self.update_pending.wait()
        except TimeoutError:
            return

    def exchange_with_seeds(self) -> None:
        """Exchange digests with seeds that are not live peers.

        In a large fleet this happens only while no other host of this data centre is
        live.
        """
        if not self.is_mesh and any(self.is_near(p) for p in self.running_peers()):
            return
        live_addresses = {p.contact.address for p in self.live_peers()}
        for seed in self.seeds:
            if str(seed) not in live_addresses:
                self.start_exchange(HostId(f"seed {seed}"), seed)

    def exchange_with_peers(self, peers: Iterable[Peer]) -> None:
        """Exchange digests with those of the given peers that this host has to call."""
        for peer in tuple(peers):
            host_id = peer.contact.host_id
            if self.me.host_id < host_id or peer.last_heard_at is None:
                self.exchange_with_host(peer.contact)

    def send_updates(self) -> None:
        """Send an update to the affected peers, also those that call this host.

        In a large fleet a hub sends it to the other hubs; the hosts of its own data
        centre call it within one period.
        """
        includes_far, self.is_update_for_far = self.is_update_for_far, False
        if not self.is_mesh:
            for peer in self.other_hubs() if includes_far and self.is_hub() else ():
                self.exchange_with_host(peer.contact)
            return
        for peer in tuple(self.peers.values()):
            if includes_far or self.is_near(peer):
                self.exchange_with_host(peer.contact)

    def exchange_with_host(self, contact: Contact) -> None:
        """Exchange digests with one host."""
        self.start_exchange(contact.host_id, contact.peer_address)

    def request_update(self, far: bool) -> None:
        """Schedule an update of near peers or, with `far`, of all peers."""
        self.is_update_for_far = self.is_update_for_far or far
        self.update_pending.set()

    def announce_content(self, content: FeatureId, is_own: bool) -> None:
        """Schedule an update after a content's state changed; digests carry it."""
        self.request_update(far=True)

    def start_exchange(self, host_id: HostId, address: Address) -> None:
        """Start an exchange, or repeat it once the one under way has ended."""
        if host_id in self.active_exchanges:
            self.repeat_exchanges.add(host_id)
            return
        self.active_exchanges.add(host_id)
        self.tasks.start(self.exchange_digests(host_id, address), host_id)

    async def exchange_digests(self, host_id: HostId, address: Address) -> None:
        """Send this host's digest to a peer and handle the digest in the reply."""
        try:
            reply = await self.peer_client.call(
                address, self.build_digest(host_id), EXCHANGE_TIMEOUT_S
            )
        finally:
            self.active_exchanges.discard(host_id)
        if host_id in self.repeat_exchanges:
            # A change during the exchange may have missed its digest.
            self.repeat_exchanges.discard(host_id)
            self.start_exchange(host_id, address)
        if isinstance(reply, Success) and isinstance(reply.unwrap(), Digest):
            self.failed_exchanges.pop(host_id, None)
            self.handle_digest(reply.unwrap())
        else:
            self.record_failed_exchange(host_id)

    def record_failed_exchange(self, host_id: HostId) -> None:
        """Count a failed exchange; a hub with several in a row is marked lost."""
        failures = self.failed_exchanges[host_id] = (
            self.failed_exchanges.get(host_id, 0) + 1
        )
        if self.is_mesh or failures < HUB_MAX_FAILURES:
            return
        peer = self.peers.get(host_id)
        if peer is not None and (peer.is_hub or peer.contact == self.hub()):
            if failures == HUB_MAX_FAILURES:
                log.warning("hub lost", extra={"peer": host_id})
            self.mark_lost(host_id)

    async def answer_digest(self, digest: Digest) -> Digest:
        """Handle a peer's digest and reply with this host's own."""
        self.handle_digest(digest)
        return self.build_digest(digest.host.host_id)

    def handle_digest(self, digest: Digest) -> None:
        """Update the table by a digest and publish it to subscribers."""
        now = self.clock.monotonic()
        host_id = digest.host.host_id
        if host_id == self.me.host_id:
            return
        built_at = self.dates.built_at(digest)
        if self.joined_at is None:
            self.joined_at = now
        previous = self.peers.get(host_id)
        if (
            previous is None
            or previous.last_heard_at is None
            or now - previous.last_heard_at > self.silence_timeout(previous)
        ):
            log.info("peer regained", extra={"peer": host_id})
        if digest.is_leaving and (previous is None or not previous.is_leaving):
            log.info("peer leaves", extra={"peer": host_id})
        leaving_since = now
        if previous is not None and previous.is_leaving:
            leaving_since = previous.leaving_since
        self.peers[host_id] = Peer(
            digest.host,
            last_heard_at=now,
            added_at=previous.added_at if previous else now,
            is_leaving=digest.is_leaving,
            holds_lease=digest.holds_lease,
            orders_in_s=digest.orders_in_s,
            up_s=digest.up_s,
            leaving_since=leaving_since,
            up_s_received_at=now,
            is_hub=digest.scope in (DigestScope.DATA_CENTRE, DigestScope.FLEET),
            live_hosts=digest.live_hosts,
            is_cut_off=digest.is_cut_off,
        )
        if previous is not None and previous.is_leaving and not digest.is_leaving:
            # It is back: peers that only know of its leave have to be told.
            self.known_contacts.pop(host_id, None)
        self.absent_voters.record_returned(host_id)
        self.log_contact(digest.host)
        self.add_contacts(digest.contacts, now)
        self.apply_hub_fields(digest)
        if digest.contacts and digest.up_s > ALL_HOSTS_KNOWN_AFTER_S:
            self.has_received_all_contacts = True
        self.update_near_peer_count()
        has_restarted = self.has_restarted(previous, digest)
        self.digests.on_next(ReceivedDigest(digest, now, has_restarted, built_at))

    def has_restarted(self, previous: Peer | None, digest: Digest) -> bool:
        """Return whether a peer has restarted since its previous digest.

        Exchanges that cross deliver digests out of order: a digest that is older than
        the previous one by less than an exchange can take does not mean a restart.
        """
        if previous is None or previous.up_s_received_at == ZERO:
            return False
        return self.peer_uptime_s(previous) > digest.up_s + EXCHANGE_TIMEOUT_S

    def apply_hub_fields(self, digest: Digest) -> None:
        """Apply what a digest reports about hubs."""
        sender = digest.host
        if digest.hub is not None and digest.hub != sender:
            self.hub_hints[sender.data_centre] = digest.hub
        if digest.notes is not None and self.hub() == sender:
            self.hub_reported_live_hosts = digest.live_hosts
            self.apply_hub_notes(digest.notes)

    def add_contacts(self, contacts: Iterable[Contact], now: Instant) -> None:
        """Add hosts that a peer knows to the table."""
        for contact in contacts:
            known = self.peers.get(contact.host_id)
            if contact.host_id == self.me.host_id:
                continue
            if known is None:
                self.absent_voters.record_returned(contact.host_id)
                self.log_contact(contact)
                self.peers[contact.host_id] = Peer(contact, None, now)
            elif known.is_leaving and self.has_returned_unheard(known, now):
                self.log_contact(contact)
                self.peers[contact.host_id] = Peer(contact, None, now)
            elif known.contact != contact and known.last_heard_at is None:
                self.log_contact(contact)
                self.peers[contact.host_id] = replace(known, contact=contact)

    def has_returned_unheard(self, peer: Peer, now: Instant) -> bool:
        """Return whether another host's word that a leaving peer is back holds.

        While the peer leaves, others may know less of it than this host.
        """
        return now - self.last_sign_of_life(peer) > seconds(EXCHANGE_TIMEOUT_S)

    def prune_silent_peers(self, now: Instant) -> None:
        """Log peers that became silent, and remove those silent for too long."""
        self.absent_voters.expire(now, self.peer_retention)
        for host_id, peer in tuple(self.peers.items()):
            silent_for = now - self.last_sign_of_life(peer)
            if self.is_expired(peer, silent_for):
                del self.peers[host_id]
                if self.is_near(peer):
                    last_sign = self.last_sign_of_life(peer)
                    self.absent_voters.record_removed(
                        host_id, peer.is_leaving, last_sign
                    )
                self.known_contacts.pop(host_id, None)
                self.dates.forget_peer(host_id)
                self.update_near_peer_count()
                self.lost_peers.on_next(host_id)
            elif (
                peer.last_heard_at is not None
                and not peer.is_lost
                and silent_for > self.silence_timeout(peer)
            ):
                log.warning("peer lost", extra={"peer": host_id})
                self.peers[host_id] = replace(peer, is_lost=True)
                self.lost_peers.on_next(host_id)

    def is_expired(self, peer: Peer, silent_for: timedelta) -> bool:
        """Return whether a peer that has been silent for so long is removed."""
        is_far_contact = not self.is_mesh and not self.is_near(peer)
        if silent_for > (
            REMOTE_CONTACT_RETENTION if is_far_contact else self.peer_retention
        ):
            return True
        return peer.is_leaving and silent_for > self.silence_timeout(peer)

    def announce_leaving(self) -> None:
        """Announce at once that this host is leaving to the hosts that rely on it."""
        self.is_leaving = True
        self.is_update_for_far = True
        if self.is_mesh:
            self.send_updates()
        elif self.is_hub():
            recipients = (*self.reporting_peers(), *self.other_hubs())
            for peer in recipients:
                self.exchange_with_host(peer.contact)
        else:
            self.exchange_with_host(self.hub())
