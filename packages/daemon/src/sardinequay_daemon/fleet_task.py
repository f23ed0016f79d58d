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
from sardinequay_core.fleet_topology import Scope
from sardinequay_core.names import Address, ContentId, HostId, parse_address

from .hub_table import HubTable
from .peer_table import Peer
from .peers import PeerClient
from .serving_messages import Contact, Digest

FLUSH_S = 0.02
FLUSH_PER_HOST_S = 0.004
"""News is told to all peers at once, but not more often than this and a little more
for each host: news of loads comes often, and each telling costs every peer."""

SEED_PERIOD_S = 0.5
"""How often seeds are asked while nobody answers, or fewer are known than seeds."""

JOIN_PERIOD_S = 0.1
"""How often a host that has just started asks seeds that may have started with it."""

JOIN_FOR_S = 3.0
CALL_S = 0.5
"""Bound on one exchange; hosts of a region answer in a few milliseconds."""

HUB_MISSES = 2
"""Exchanges with a hub that fail one after the other until it counts as lost."""

KEEP_CONTACT = seconds(600)
"""How long the address of a host elsewhere is kept in a large fleet: most are never
called, and are of use when the hub there is lost."""

KNOWS_ALL_S = 2.0
"""A host that has been up for so long knows all others: it was told by each of them."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HeardDigest:
    """A digest that came in, and when.

    Parameters
    ----------
    has_restarted : bool
        Whether the peer has started anew since it was heard last, and knows nothing.
    """

    digest: Digest
    at: Instant
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
        caller: PeerClient,
        clock: Clock,
        remember: timedelta,
        digest: Callable[[HostId], Digest],
    ) -> None:
        super().__init__(me, seeds, clock)
        self.caller = caller
        self.remember = remember
        self.digest = digest
        self.digests: Subject[HeardDigest] = Subject()
        self.lost: Subject[HostId] = Subject()
        self.calling: set[HostId] = set()
        self.again: set[HostId] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_leaving = False
        self.news = asyncio.Event()
        self.is_news_far = False
        self.missed: dict[HostId, int] = {}
        self.hints: dict[str, Contact] = {}
        self.places = itertools.count()
        self.last_hub = HostId("")

    # Telling.

    async def run(self) -> None:
        """Tell peers, for good."""
        next_seeds = next_near = next_far = next_flush = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if now >= next_seeds:
                next_seeds = now + seconds(self.seed_period_s())
                self.ask_seeds()
                self.forget_silent(now)
            if now >= next_near:
                next_near = now + seconds(self.period_s(is_near=True))
                self.tell_near()
            if now >= next_far:
                next_far = now + seconds(self.far_period_s())
                self.tell_far()
            if self.news.is_set() and now >= next_flush:
                next_flush = now + seconds(FLUSH_S + FLUSH_PER_HOST_S * len(self.peers))
                self.news.clear()
                self.tell_news()
            await self.rest_until(min(next_seeds, next_near, next_far), next_flush)

    def seed_period_s(self) -> float:
        """Return the time until seeds are asked again."""
        is_joining = self.joined_at is None and self.up_s() < JOIN_FOR_S
        return JOIN_PERIOD_S if is_joining else SEED_PERIOD_S

    def far_period_s(self) -> float:
        """Return the time between two digests to hosts elsewhere, or to the hub."""
        return self.period_s(is_near=False) if self.is_mesh else self.hub_period_s()

    def tell_near(self) -> None:
        """Exchange digests with the hosts of this data centre, where that is due.

        Who holds the lease says so to those that do not ask: they may not know it yet.
        """
        near = [p for p in self.peers.values() if self.is_near(p)]
        if not self.is_mesh and self.holds_lease():
            asking = {p.contact.host_id for p in self.reporting()}
            for peer in near:
                if peer.contact.host_id not in asking:
                    self.call(peer.contact)
        elif self.is_mesh or self.lease_holder() is None:
            self.tell(near)

    def tell_far(self) -> None:
        """Exchange digests with hosts elsewhere, in a large fleet over the hub."""
        if self.is_mesh:
            self.tell(p for p in self.peers.values() if not self.is_near(p))
            return
        hub = self.hub()
        self.note_hub(hub)
        if hub == self.me:
            self.tell_other_hubs()
        else:
            self.call(hub)

    def note_hub(self, hub: Contact) -> None:
        """Log whom this host takes for its hub, when that changes."""
        if hub.host_id != self.last_hub:
            extra = {"hub": hub.host_id, "before": self.last_hub}
            log.info("hub changed", extra=extra)
            self.last_hub = hub.host_id

    def tell_other_hubs(self) -> None:
        """Exchange digests with each other data centre's hub, or look for one there."""
        hubs = {p.contact.data_centre: p for p in self.other_hubs()}
        overdue = self.clock.monotonic() - 2 * seconds(self.hub_period_s())
        for data_centre in sorted({p.contact.data_centre for p in self.peers.values()}):
            if data_centre == self.me.data_centre:
                continue
            hub = hubs.get(data_centre)
            if hub is None:
                self.look_for_hub(data_centre)
            elif (
                self.me.host_id < hub.contact.host_id
                or (hub.heard_at or ZERO) < overdue
            ):
                self.call(hub.contact)

    def look_for_hub(self, data_centre: str) -> None:
        """Ask the host that was named as the hub there, or else one after the other."""
        named = self.hints.pop(data_centre, None)
        if named is not None:
            self.call(named)
            return
        there = sorted(
            h for h, p in self.peers.items() if p.contact.data_centre == data_centre
        )
        chosen = self.peers[there[next(self.places) % len(there)]]
        self.call(chosen.contact)

    async def rest_until(self, due: Instant, flush: Instant) -> None:
        """Wait for the next thing due, or for news that may be told."""
        now = self.clock.monotonic()
        if self.news.is_set():
            await asyncio.sleep(max(0.0, (min(due, flush) - now).total_seconds()))
            return
        try:
            async with asyncio.timeout(max(0.0, (due - now).total_seconds())):
                await self.news.wait()
        except TimeoutError:
            return

    def ask_seeds(self) -> None:
        """Exchange digests with seeds that are no known, live peers.

        In a large fleet only while no other host here is known to live.
        """
        if not self.is_mesh and any(self.is_near(p) for p in self.present()):
            return
        live = {p.contact.address for p in self.alive()}
        for seed in self.seeds:
            if str(seed) not in live:
                self.start(HostId(f"seed {seed}"), seed)

    def tell(self, peers: Iterable[Peer]) -> None:
        """Exchange digests with those of some peers that this host calls."""
        for peer in tuple(peers):
            host_id = peer.contact.host_id
            if self.me.host_id < host_id or peer.heard_at is None:
                self.call(peer.contact)

    def tell_news(self) -> None:
        """Tell those who are concerned what is new, also peers that call this host.

        In a large fleet a hub tells the other hubs; the hosts here ask it soon enough.
        """
        is_far, self.is_news_far = self.is_news_far, False
        if not self.is_mesh:
            for peer in self.other_hubs() if is_far and self.is_hub() else ():
                self.call(peer.contact)
            return
        for peer in tuple(self.peers.values()):
            if is_far or self.is_near(peer):
                self.call(peer.contact)

    def call(self, contact: Contact) -> None:
        """Exchange digests with one host."""
        self.start(contact.host_id, parse_address(contact.address).unwrap())

    def tell_soon(self, far: bool) -> None:
        """Have peers told as soon as that is due: near ones only, or all."""
        self.is_news_far = self.is_news_far or far
        self.news.set()

    def tell_of(self, content: ContentId, is_own: bool) -> None:
        """Have peers told of a content of requests; digests carry what is known."""
        self.tell_soon(far=True)

    def start(self, host_id: HostId, address: Address) -> None:
        """Start one exchange, unless the last one is still under way."""
        if host_id in self.calling:
            self.again.add(host_id)
            return
        self.calling.add(host_id)
        task = asyncio.create_task(self.exchange(host_id, address))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def exchange(self, host_id: HostId, address: Address) -> None:
        """Tell one peer and hear its answer."""
        try:
            answer = await self.caller.call(address, self.digest(host_id), CALL_S)
        finally:
            self.calling.discard(host_id)
        if host_id in self.again:
            # What was to be told while the exchange was under way is told now.
            self.again.discard(host_id)
            self.start(host_id, address)
        if isinstance(answer, Success) and isinstance(answer.unwrap(), Digest):
            self.missed.pop(host_id, None)
            self.hear(answer.unwrap())
        else:
            self.miss(host_id)

    def miss(self, host_id: HostId) -> None:
        """Take that an exchange failed; a hub that misses several is lost."""
        misses = self.missed[host_id] = self.missed.get(host_id, 0) + 1
        if self.is_mesh or misses < HUB_MISSES:
            return
        peer = self.peers.get(host_id)
        if peer is not None and (peer.is_hub or peer.contact == self.hub()):
            if misses == HUB_MISSES:
                log.warning("hub lost", extra={"peer": host_id})
            self.suspect(host_id)

    # Hearing.

    async def answer(self, digest: Digest) -> Digest:
        """Answer a peer's digest with this host's own."""
        self.hear(digest)
        return self.digest(digest.host.host_id)

    def hear(self, digest: Digest) -> None:
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
            or known.heard_at is None
            or now - known.heard_at > self.alive_for(known)
        ):
            log.info("peer regained", extra={"peer": host_id})
        if digest.is_leaving and (known is None or not known.is_leaving):
            log.info("peer leaves", extra={"peer": host_id})
        leaving_since = now
        if known is not None and known.is_leaving:
            leaving_since = known.leaving_since
        self.peers[host_id] = Peer(
            digest.host,
            heard_at=now,
            added_at=known.added_at if known else now,
            is_leaving=digest.is_leaving,
            holds_lease=digest.holds_lease,
            orders_in_s=digest.orders_in_s,
            up_s=digest.up_s,
            store_age_s=digest.store_age_s,
            leaving_since=leaving_since,
            told_at=now,
            is_hub=digest.scope in (Scope.DATA_CENTRE, Scope.FLEET),
            live_hosts=digest.live_hosts,
        )
        self.note_contact(digest.host)
        self.learn(digest.contacts, now)
        self.hear_of_hub(digest)
        if digest.contacts and digest.up_s > KNOWS_ALL_S:
            self.was_told_of_all = True
        self.count_near()
        has_restarted = self.has_restarted(known, digest)
        self.digests.on_next(HeardDigest(digest, now, has_restarted))

    def has_restarted(self, known: Peer | None, digest: Digest) -> bool:
        """Return whether a peer has started anew since it was heard.

        Exchanges that cross bring digests out of order: one that was written earlier by
        less than a call lasts tells of no restart.
        """
        if known is None or known.told_at == ZERO:
            return False
        return self.up_of(known) > digest.up_s + CALL_S

    def hear_of_hub(self, digest: Digest) -> None:
        """Take what a digest says of hubs."""
        sender = digest.host
        if digest.hub is not None and digest.hub != sender:
            self.hints[sender.data_centre] = digest.hub
        if digest.notes is not None and self.hub() == sender:
            self.fleet_hosts = digest.live_hosts
            self.take_notes(digest.notes)

    def learn(self, contacts: Iterable[Contact], now: Instant) -> None:
        """Take hosts that a peer knows."""
        for contact in contacts:
            known = self.peers.get(contact.host_id)
            if contact.host_id == self.me.host_id:
                continue
            if known is None:
                self.note_contact(contact)
                self.peers[contact.host_id] = Peer(contact, None, now)
            elif known.contact != contact and known.heard_at is None:
                self.note_contact(contact)
                self.peers[contact.host_id] = replace(known, contact=contact)

    def forget_silent(self, now: Instant) -> None:
        """Log peers that fell silent, and forget those that stay so."""
        for host_id, peer in tuple(self.peers.items()):
            silent = now - self.last_sign_of(peer)
            if self.is_to_forget(peer, silent):
                del self.peers[host_id]
                self.known_contacts.pop(host_id, None)
                self.count_near()
                self.lost.on_next(host_id)
            elif peer.store_age_s != float("inf") and silent > self.alive_for(peer):
                log.warning("peer lost", extra={"peer": host_id})
                self.peers[host_id] = replace(peer, store_age_s=float("inf"))
                self.lost.on_next(host_id)

    def is_to_forget(self, peer: Peer, silent: timedelta) -> bool:
        """Return whether a peer that has been silent for so long is forgotten."""
        is_kept = not self.is_mesh and not self.is_near(peer)
        if silent > (KEEP_CONTACT if is_kept else self.remember):
            return True
        return peer.is_leaving and silent > self.alive_for(peer)

    def leave(self) -> None:
        """Tell those who hear from this host at once that it leaves."""
        self.is_leaving = True
        self.is_news_far = True
        if self.is_mesh:
            self.tell_news()
        elif self.is_hub():
            told = (*self.reporting(), *self.other_hubs())
            for peer in told:
                self.call(peer.contact)
        else:
            self.call(self.hub())
