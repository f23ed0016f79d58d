"""Knows the other hosts: finds them by seeds, hears digests, tells its own.

Of each pair the host with the lower id calls, and the reply carries the other's digest,
so one call serves both ways. The period grows with the number of hosts, which bounds
what a host spends on telling.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from datetime import timedelta

from reactivex.subject import Subject
from returns.result import Success

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import Address, HostId, parse_address

from .peer_table import Peer, PeerTable
from .peers import PeerCaller
from .serving_messages import Contact, Digest

FLUSH_S = 0.02
FLUSH_PER_HOST_S = 0.004
"""News is told to all peers at once, but not more often than this and a little more
for each host: news of loads comes often, and each telling costs every peer."""

SEED_PERIOD_S = 0.5
"""How often seeds are asked while nobody answers, or fewer are known than seeds."""

CALL_S = 0.5
"""Bound on one exchange; hosts of a region answer in a few milliseconds."""

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


class FleetTask(PeerTable):
    """Owns what is known of the other hosts.

    Hosts of the own data centre are told more often than others: the one that reads the
    store is among them.
    """

    def __init__(
        self,
        me: Contact,
        seeds: tuple[Address, ...],
        caller: PeerCaller,
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

    # Telling.

    async def run(self) -> None:
        """Tell peers, for good."""
        next_seeds = next_near = next_far = next_flush = self.clock.monotonic()
        while True:
            now = self.clock.monotonic()
            if now >= next_seeds:
                next_seeds = now + seconds(SEED_PERIOD_S)
                self.ask_seeds()
                self.forget_silent(now)
            if now >= next_near:
                next_near = now + seconds(self.period_s(is_near=True))
                self.tell(p for p in self.peers.values() if self.is_near(p))
            if now >= next_far:
                next_far = now + seconds(self.period_s(is_near=False))
                self.tell(p for p in self.peers.values() if not self.is_near(p))
            if self.news.is_set() and now >= next_flush:
                next_flush = now + seconds(FLUSH_S + FLUSH_PER_HOST_S * len(self.peers))
                self.news.clear()
                self.tell_news()
            await self.rest_until(min(next_seeds, next_near, next_far), next_flush)

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
        """Exchange digests with seeds that are no known, live peers."""
        live = {p.contact.address for p in self.alive()}
        for seed in self.seeds:
            if str(seed) not in live:
                self.start(HostId(f"seed {seed}"), seed)

    def tell(self, peers: Iterable[Peer]) -> None:
        """Exchange digests with those of some peers that this host calls."""
        for peer in tuple(peers):
            host_id = peer.contact.host_id
            if self.me.host_id < host_id or peer.heard_at is None:
                self.call(peer)

    def tell_news(self) -> None:
        """Tell those who are concerned what is new, also peers that call this host."""
        is_far, self.is_news_far = self.is_news_far, False
        for peer in tuple(self.peers.values()):
            if is_far or self.is_near(peer):
                self.call(peer)

    def call(self, peer: Peer) -> None:
        """Exchange digests with one peer."""
        address = parse_address(peer.contact.address).unwrap()
        self.start(peer.contact.host_id, address)

    def tell_soon(self, far: bool) -> None:
        """Have peers told as soon as that is due: near ones only, or all."""
        self.is_news_far = self.is_news_far or far
        self.news.set()

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
            self.hear(answer.unwrap())

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
            now,
            known.added_at if known else now,
            digest.is_leaving,
            digest.holds_lease,
            digest.orders_in_s,
            digest.up_s,
            digest.store_age_s,
            leaving_since,
        )
        self.learn(digest.contacts, now)
        if digest.contacts and digest.up_s > KNOWS_ALL_S:
            self.was_told_of_all = True
        self.count_near()
        has_restarted = known is not None and known.up_s > digest.up_s
        self.digests.on_next(HeardDigest(digest, now, has_restarted))

    def learn(self, contacts: Iterable[Contact], now: Instant) -> None:
        """Take hosts that a peer knows."""
        for contact in contacts:
            known = self.peers.get(contact.host_id)
            if contact.host_id == self.me.host_id:
                continue
            if known is None:
                self.peers[contact.host_id] = Peer(contact, None, now)
            elif known.contact != contact and known.heard_at is None:
                self.peers[contact.host_id] = replace(known, contact=contact)

    def forget_silent(self, now: Instant) -> None:
        """Log peers that fell silent, and forget those that stay so."""
        for host_id, peer in tuple(self.peers.items()):
            bound = self.alive_for(peer)
            last = peer.heard_at or peer.added_at
            if now - last > self.remember or (peer.is_leaving and now - last > bound):
                del self.peers[host_id]
                self.count_near()
                self.lost.on_next(host_id)
            elif peer.store_age_s != float("inf") and now - last > bound:
                log.warning("peer lost", extra={"peer": host_id})
                self.peers[host_id] = replace(peer, store_age_s=float("inf"))
                self.lost.on_next(host_id)

    def leave(self) -> None:
        """Tell everyone at once that this host leaves."""
        self.is_leaving = True
        self.is_news_far = True
        self.tell_news()
