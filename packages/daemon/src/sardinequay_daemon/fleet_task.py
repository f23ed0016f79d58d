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

from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import Address, HostId, parse_address
from sardinequay_core.rendezvous import rank

from .peers import PeerCaller
from .serving_messages import Contact, Digest

PERIOD_S = 0.2
"""Between two digests to one peer in a small fleet: shares of load age by it."""

PERIOD_PER_HOST_S = 0.012
"""Added period for each host, so that a host sends some 80 digests a second at most."""

FEW_HOSTS = 25
"""Up to here the period grows with the hosts, beyond it with their square: what a host
spends on telling then falls. With 77 hosts told evenly, digests were 0.175 GB between
data centres in 26 s, the dearest thing there."""

FLUSH_S = 0.02
FLUSH_PER_HOST_S = 0.004
"""News is told to all peers at once, but not more often than this and a little more
for each host: news of loads comes often, and each telling costs every peer."""

ALIVE_FOR_S = 1.2
ALIVE_PERIODS = 3
"""A peer that was heard within this time, and as many periods, is alive: a few digests
may be lost with a connection."""

SEED_PERIOD_S = 0.5
"""How often seeds are asked while nobody answers, or fewer are known than seeds."""

CALL_S = 0.5
"""Bound on one exchange; hosts of a region answer in a few milliseconds."""

ALONE_AFTER = seconds(10)
"""A host that nobody answered for so long since its start takes itself to be alone. Far
longer than a cut that must be survived, for it then orders engines by itself."""

KNOWS_ALL_S = 2.0
"""A host that has been up for so long knows all others: it was told by each of them."""

NOT_SOON_S = 60.0
"""Beyond this a host that says when it may order engines says that it does not know."""

READERS_PER_DATA_CENTRE = 1
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Peer:
    """A host as this one knows it."""

    contact: Contact
    heard_at: Instant | None
    added_at: Instant
    is_leaving: bool = False
    holds_lease: bool = False
    orders_in_s: float = float("inf")
    up_s: float = 0.0
    store_age_s: float = float("inf")
    leaving_since: Instant = ZERO


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


class FleetTask:
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
        self.me = me
        self.set_seeds(seeds)
        self.caller = caller
        self.clock = clock
        self.remember = remember
        self.digest = digest
        self.peers: dict[HostId, Peer] = {}
        self.digests: Subject[HeardDigest] = Subject()
        self.lost: Subject[HostId] = Subject()
        self.started_at = clock.monotonic()
        self.looking_since = self.started_at
        self.joined_at: Instant | None = None
        self.was_told_of_all = False
        self.calling: set[HostId] = set()
        self.again: set[HostId] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.is_leaving = False
        self.near_peers = 0
        self.news = asyncio.Event()
        self.is_news_far = False

    def set_seeds(self, seeds: tuple[Address, ...]) -> None:
        """Take the addresses to find the others by."""
        self.seeds = tuple(s for s in seeds if str(s) != self.me.address)

    # What others ask.

    def alive(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately that do not leave."""
        return tuple(p for p in self.heard() if not p.is_leaving)

    def heard(self) -> tuple[Peer, ...]:
        """Return the peers heard of lately, also those that are about to stop."""
        # The bounds once for all peers: with 76 of them, counted for each, they took
        # three quarters of the time of choosing an engine (5.6 ms, now 1.6 ms).
        now = self.clock.monotonic()
        near_since = now - self.silence_bound(is_near=True)
        far_since = now - self.silence_bound(is_near=False)
        return tuple(
            p
            for p in self.peers.values()
            if p.heard_at is not None
            and p.heard_at > (near_since if self.is_near(p) else far_since)
        )

    def alive_for(self, peer: Peer) -> timedelta:
        """Return how long a peer is alive after it was heard."""
        return self.silence_bound(self.is_near(peer))

    def silence_bound(self, is_near: bool) -> timedelta:
        """Return how long peers near or far may be silent and count as alive."""
        period_s = self.period_s(is_near)
        return seconds(ALIVE_FOR_S + ALIVE_PERIODS * (period_s - PERIOD_S))

    @property
    def live_hosts(self) -> int:
        """Return how many hosts serve, this one included."""
        return len(self.alive()) + 1

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
            p.contact.host_id for p in self.heard() if p.is_leaving and self.is_near(p)
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
        for peer in self.heard():
            if peer.holds_lease and self.is_near(peer):
                return peer.contact.host_id
        return None

    def keeper_of(self, data_centre: str) -> Peer | None:
        """Return the live peer that orders a data centre's engines, now or soon.

        Of two that say so, the one that has had to wait less is the holder.
        """
        holders = [
            p
            for p in self.heard()
            if p.orders_in_s < NOT_SOON_S and p.contact.data_centre == data_centre
        ]
        return min(
            holders, key=lambda p: (p.orders_in_s, p.contact.host_id), default=None
        )

    def up_s(self) -> float:
        """Return how long ago this host started, in seconds."""
        return (self.clock.monotonic() - self.started_at).total_seconds()

    def contacts(self) -> tuple[Contact, ...]:
        """Return all hosts that are known and stay, this one included."""
        known = [p.contact for p in self.peers.values() if not p.is_leaving]
        return (self.me, *known)

    # Telling.

    def period_s(self, is_near: bool) -> float:
        """Return the time between two digests to one peer."""
        hosts = self.near_peers if is_near else len(self.peers)
        return PERIOD_S + PERIOD_PER_HOST_S * hosts * max(1.0, hosts / FEW_HOSTS)

    def longest_silence(self) -> timedelta:
        """Return how long a far peer may be silent without anything being lost."""
        return seconds(2 * self.period_s(is_near=False))

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in the own data centre."""
        return peer.contact.data_centre == self.me.data_centre

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
