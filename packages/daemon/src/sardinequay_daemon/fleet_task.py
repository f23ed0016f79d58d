"""Knows the other hosts: finds them by seeds, hears digests, tells its own.

Of each pair the host with the lower id calls, and the reply carries the other's digest,
so one call serves both ways. In a small fleet each host exchanges digests with all; the
period grows with the number of hosts. In a large one it does with its hub alone, and a
hub with the other hubs (`fleet_topology`). While nobody holds the lease of a data
centre, its hosts look for one another as in a mesh: they are to choose a holder.
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
from sardinequay_core.names import Address, ContentId, HostId, parse_address

from .hub_table import HubTable
from .peer_table import Peer
from .peers import PeerClient
from .serving_messages import Contact, Digest

UPDATE_MIN_PERIOD_S = 0.02
UPDATE_MIN_PERIOD_PER_HOST_S = 0.004
"""News is told to all peers at once, but not more often than this and a little more
for each host: news of loads comes often, and each telling costs every peer."""

SEED_PERIOD_S = 0.5
"""How often seeds are asked while nobody answers, or fewer are known than seeds."""

JOIN_SEED_PERIOD_S = 0.1
"""How often a host that has just started asks seeds that may have started with it."""

JOIN_DURATION_S = 3.0
EXCHANGE_TIMEOUT_S = 0.5
"""Bound on one exchange; hosts of a region answer in a few milliseconds."""

HUB_MAX_FAILURES = 2
"""Exchanges with a hub that fail one after the other until it counts as lost."""

REMOTE_CONTACT_RETENTION = seconds(600)
"""How long the address of a host elsewhere is kept in a large fleet: most are never
called, and are of use when the hub there is lost."""

ALL_HOSTS_KNOWN_AFTER_S = 2.0
"""A host that has been up for so long knows all others: it was told by each of them."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ReceivedDigest:
    """A digest that came in, and when.

    Parameters
    ----------
    has_restarted : bool
        Whether the peer has started anew since it was heard last, and knows nothing.
    """

    digest: Digest
    received_at: Instant
    has_restarted: bool = False


class FleetTask(HubTable):
    """Owns what is known of the other hosts.

    Hosts of the own data centre are told more often than others: the one that reads the
    store is among them.
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
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_leaving = False
        self.update_pending = asyncio.Event()
        self.is_update_for_far = False
        self.failed_exchanges: dict[HostId, int] = {}
        self.hub_hints: dict[str, Contact] = {}
        self.probe_counter = itertools.count()
        self.last_hub = HostId("")

    # Telling.

    async def run(self) -> None:
        """Tell peers, for good."""
        next_seeds = next_near = next_far = next_flush = self.clock.monotonic()
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
            if self.update_pending.is_set() and now >= next_flush:
                next_flush = now + seconds(
                    UPDATE_MIN_PERIOD_S + UPDATE_MIN_PERIOD_PER_HOST_S * len(self.peers)
                )
                self.update_pending.clear()
                self.send_updates()
            await self.wait_until_due(min(next_seeds, next_near, next_far), next_flush)

    def seed_period_s(self) -> float:
        """Return the time until seeds are asked again."""
        is_joining = self.joined_at is None and self.uptime_s() < JOIN_DURATION_S
        return JOIN_SEED_PERIOD_S if is_joining else SEED_PERIOD_S

    def far_period_s(self) -> float:
        """Return the time between two digests to hosts elsewhere, or to the hub."""
        return (
            self.digest_period_s(is_near=False) if self.is_mesh else self.hub_period_s()
        )

    def exchange_with_near_peers(self) -> None:
        """Exchange digests with the hosts of this data centre, where that is due.

        Who holds the lease says so to those that do not ask: they may not know it yet.
        """
        near = [p for p in self.peers.values() if self.is_near(p)]
        if not self.is_mesh and self.holds_lease():
            asking = {p.contact.host_id for p in self.reporting_peers()}
            for peer in near:
                if peer.contact.host_id not in asking:
                    self.exchange_with_host(peer.contact)
        elif self.is_mesh or self.lease_holder() is None:
            self.exchange_with_peers(near)

    def exchange_with_far_peers(self) -> None:
        """Exchange digests with hosts elsewhere, in a large fleet over the hub."""
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
        """Log whom this host takes for its hub, when that changes."""
        if hub.host_id != self.last_hub:
            extra = {"hub": hub.host_id, "before": self.last_hub}
            log.info("hub changed", extra=extra)
            self.last_hub = hub.host_id

    def exchange_with_other_hubs(self) -> None:
        """Exchange digests with each other data centre's hub, or look for one there."""
        hubs = {p.contact.data_centre: p for p in self.other_hubs()}
        overdue = self.clock.monotonic() - 2 * seconds(self.hub_period_s())
        for data_centre in sorted({p.contact.data_centre for p in self.peers.values()}):
            if data_centre == self.me.data_centre:
                continue
            hub = hubs.get(data_centre)
            if hub is None:
                self.probe_for_hub(data_centre)
            elif (
                self.me.host_id < hub.contact.host_id
                or (hub.last_heard_at or ZERO) < overdue
            ):
                self.exchange_with_host(hub.contact)

    def probe_for_hub(self, data_centre: str) -> None:
        """Ask the host that was named as the hub there, or else one after the other."""
        named = self.hub_hints.pop(data_centre, None)
        if named is not None:
            self.exchange_with_host(named)
            return
        there = sorted(
            h for h, p in self.peers.items() if p.contact.data_centre == data_centre
        )
        chosen = self.peers[there[next(self.probe_counter) % len(there)]]
        self.exchange_with_host(chosen.contact)

    async def wait_until_due(self, due: Instant, flush: Instant) -> None:
        """Wait for the next thing due, or for news that may be told."""
        now = self.clock.monotonic()
        if self.update_pending.is_set():
            await asyncio.sleep(max(0.0, (min(due, flush) - now).total_seconds()))
            return
        try:
            async with asyncio.timeout(max(0.0, (due - now).total_seconds())):
                await self.update_pending.wait()
        except TimeoutError:
            return

    def exchange_with_seeds(self) -> None:
        """Exchange digests with seeds that are no known, live peers.

        In a large fleet only while no other host here is known to live.
        """
        if not self.is_mesh and any(self.is_near(p) for p in self.running_peers()):
            return
        live = {p.contact.address for p in self.live_peers()}
        for seed in self.seeds:
            if str(seed) not in live:
                self.start_exchange(HostId(f"seed {seed}"), seed)

    def exchange_with_peers(self, peers: Iterable[Peer]) -> None:
        """Exchange digests with those of some peers that this host calls."""
        for peer in tuple(peers):
            host_id = peer.contact.host_id
            if self.me.host_id < host_id or peer.last_heard_at is None:
                self.exchange_with_host(peer.contact)

    def send_updates(self) -> None:
        """Tell those who are concerned what is new, also peers that call this host.

        In a large fleet a hub tells the other hubs; the hosts here ask it soon enough.
        """
        is_far, self.is_update_for_far = self.is_update_for_far, False
        if not self.is_mesh:
            for peer in self.other_hubs() if is_far and self.is_hub() else ():
                self.exchange_with_host(peer.contact)
            return
        for peer in tuple(self.peers.values()):
            if is_far or self.is_near(peer):
                self.exchange_with_host(peer.contact)

    def exchange_with_host(self, contact: Contact) -> None:
        """Exchange digests with one host."""
        self.start_exchange(contact.host_id, parse_address(contact.address).unwrap())

    def request_update(self, far: bool) -> None:
        """Have peers told as soon as that is due: near ones only, or all."""
        self.is_update_for_far = self.is_update_for_far or far
        self.update_pending.set()

    def announce_content(self, content: ContentId, is_own: bool) -> None:
        """Have peers told of a content of requests; digests carry what is known."""
        self.request_update(far=True)

    def start_exchange(self, host_id: HostId, address: Address) -> None:
        """Start one exchange, unless the last one is still under way."""
        if host_id in self.active_exchanges:
            self.repeat_exchanges.add(host_id)
            return
        self.active_exchanges.add(host_id)
        task = asyncio.create_task(self.exchange_digests(host_id, address))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def exchange_digests(self, host_id: HostId, address: Address) -> None:
        """Tell one peer and hear its answer."""
        try:
            answer = await self.peer_client.call(
                address, self.build_digest(host_id), EXCHANGE_TIMEOUT_S
            )
        finally:
            self.active_exchanges.discard(host_id)
        if host_id in self.repeat_exchanges:
            # What was to be told while the exchange was under way is told now.
            self.repeat_exchanges.discard(host_id)
            self.start_exchange(host_id, address)
        if isinstance(answer, Success) and isinstance(answer.unwrap(), Digest):
            self.failed_exchanges.pop(host_id, None)
            self.handle_digest(answer.unwrap())
        else:
            self.record_failed_exchange(host_id)

    def record_failed_exchange(self, host_id: HostId) -> None:
        """Take that an exchange failed; a hub that misses several is lost."""
        misses = self.failed_exchanges[host_id] = (
            self.failed_exchanges.get(host_id, 0) + 1
        )
        if self.is_mesh or misses < HUB_MAX_FAILURES:
            return
        peer = self.peers.get(host_id)
        if peer is not None and (peer.is_hub or peer.contact == self.hub()):
            if misses == HUB_MAX_FAILURES:
                log.warning("hub lost", extra={"peer": host_id})
            self.mark_lost(host_id)

    # Hearing.

    async def answer_digest(self, digest: Digest) -> Digest:
        """Answer a peer's digest with this host's own."""
        self.handle_digest(digest)
        return self.build_digest(digest.host.host_id)

    def handle_digest(self, digest: Digest) -> None:
        """Take a digest."""
        now = self.clock.monotonic()
        host_id = digest.host.host_id
        if host_id == self.me.host_id:
            return
        if self.joined_at is None:
            self.joined_at = now
        known = self.peers.get(host_id)
        if (
            known is None
            or known.last_heard_at is None
            or now - known.last_heard_at > self.silence_timeout(known)
        ):
            log.info("peer regained", extra={"peer": host_id})
        if digest.is_leaving and (known is None or not known.is_leaving):
            log.info("peer leaves", extra={"peer": host_id})
        leaving_since = now
        if known is not None and known.is_leaving:
            leaving_since = known.leaving_since
        self.peers[host_id] = Peer(
            digest.host,
            last_heard_at=now,
            added_at=known.added_at if known else now,
            is_leaving=digest.is_leaving,
            holds_lease=digest.holds_lease,
            orders_in_s=digest.orders_in_s,
            up_s=digest.up_s,
            store_age_s=digest.store_age_s,
            leaving_since=leaving_since,
            up_s_received_at=now,
            is_hub=digest.scope in (DigestScope.DATA_CENTRE, DigestScope.FLEET),
            live_hosts=digest.live_hosts,
        )
        self.record_contact(digest.host)
        self.record_contacts(digest.contacts, now)
        self.apply_hub_fields(digest)
        if digest.contacts and digest.up_s > ALL_HOSTS_KNOWN_AFTER_S:
            self.has_received_all_contacts = True
        self.update_near_peer_count()
        has_restarted = self.has_restarted(known, digest)
        self.digests.on_next(ReceivedDigest(digest, now, has_restarted))

    def has_restarted(self, known: Peer | None, digest: Digest) -> bool:
        """Return whether a peer has started anew since it was heard.

        Exchanges that cross bring digests out of order: one that was written earlier by
        less than a call lasts tells of no restart.
        """
        if known is None or known.up_s_received_at == ZERO:
            return False
        return self.peer_uptime_s(known) > digest.up_s + EXCHANGE_TIMEOUT_S

    def apply_hub_fields(self, digest: Digest) -> None:
        """Take what a digest says of hubs."""
        sender = digest.host
        if digest.hub is not None and digest.hub != sender:
            self.hub_hints[sender.data_centre] = digest.hub
        if digest.notes is not None and self.hub() == sender:
            self.hub_reported_live_hosts = digest.live_hosts
            self.apply_hub_notes(digest.notes)

    def record_contacts(self, contacts: Iterable[Contact], now: Instant) -> None:
        """Take hosts that a peer knows."""
        for contact in contacts:
            known = self.peers.get(contact.host_id)
            if contact.host_id == self.me.host_id:
                continue
            if known is None:
                self.record_contact(contact)
                self.peers[contact.host_id] = Peer(contact, None, now)
            elif known.contact != contact and known.last_heard_at is None:
                self.record_contact(contact)
                self.peers[contact.host_id] = replace(known, contact=contact)

    def prune_silent_peers(self, now: Instant) -> None:
        """Log peers that fell silent, and forget those that stay so."""
        for host_id, peer in tuple(self.peers.items()):
            silent = now - self.last_sign_of_life(peer)
            if self.is_expired(peer, silent):
                del self.peers[host_id]
                self.known_contacts.pop(host_id, None)
                self.update_near_peer_count()
                self.lost_peers.on_next(host_id)
            elif peer.store_age_s != float("inf") and silent > self.silence_timeout(
                peer
            ):
                log.warning("peer lost", extra={"peer": host_id})
                self.peers[host_id] = replace(peer, store_age_s=float("inf"))
                self.lost_peers.on_next(host_id)

    def is_expired(self, peer: Peer, silent: timedelta) -> bool:
        """Return whether a peer that has been silent for so long is forgotten."""
        is_kept = not self.is_mesh and not self.is_near(peer)
        if silent > (REMOTE_CONTACT_RETENTION if is_kept else self.peer_retention):
            return True
        return peer.is_leaving and silent > self.silence_timeout(peer)

    def announce_leaving(self) -> None:
        """Tell those who hear from this host at once that it leaves."""
        self.is_leaving = True
        self.is_update_for_far = True
        if self.is_mesh:
            self.send_updates()
        elif self.is_hub():
            told = (*self.reporting_peers(), *self.other_hubs())
            for peer in told:
                self.exchange_with_host(peer.contact)
        else:
            self.exchange_with_host(self.hub())
