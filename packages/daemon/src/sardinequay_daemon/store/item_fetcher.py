"""Fetches of the store's items from peers that state a newer revision.

A silent peer must not hold up what others offer: without an answer, a second peer is
asked while the first call goes on, and peers that failed lately are asked last.
"""

import asyncio
import logging
from collections.abc import Callable

from returns.result import Success

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.read_times import ReadTimes

from ..background_tasks import BackgroundTasks
from ..fleet_task import FleetTask, ReceivedDigest
from ..peers import PeerClient
from ..serving_messages import FetchItems, ItemsReply
from .task import StoreTask

MAX_FETCHES = 3
"""Maximum number of fetches at a time."""

FAILED_LATELY = seconds(1)
"""Time for which a peer whose fetch failed is asked only after all others."""

log = logging.getLogger(__name__)


class ItemFetcher:
    """Asks peers for items, and passes them to the store's task.

    Parameters
    ----------
    times : callable
        Returns the durations by which to follow the store.
    """

    def __init__(
        self,
        task: StoreTask,
        peers: PeerClient,
        fleet: FleetTask,
        clock: Clock,
        times: Callable[[], ReadTimes],
    ) -> None:
        self.task = task
        self.peers = peers
        self.fleet = fleet
        self.clock = clock
        self.times = times
        self.offers: dict[HostId, int] = {}
        self.fetches: dict[HostId, asyncio.Task[None]] = {}
        self.tasks = BackgroundTasks("items of a peer")
        self.failed_at: dict[HostId, Instant] = {}
        self.last_started_at: Instant | None = None
        self.hedge_timer: asyncio.TimerHandle | None = None
        self.is_stopped = False

    def handle_digest(self, received: ReceivedDigest) -> None:
        """Fetch the items of a later revision that a peer states."""
        digest = received.digest
        self.offers[digest.host.host_id] = digest.news_revision
        self.start_if_due()

    def forget_peer(self, host_id: HostId) -> None:
        """Drop what is known of a peer that is lost."""
        self.offers.pop(host_id, None)
        self.failed_at.pop(host_id, None)

    def stop(self) -> None:
        """Ask no peer any more."""
        self.is_stopped = True
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
        for fetch in self.fetches.values():
            fetch.cancel()

    def start_if_due(self) -> None:
        """Start a fetch, unless one that began just now may still be answered."""
        offering = self.offering_peers()
        if self.is_stopped or not offering or len(self.fetches) >= MAX_FETCHES:
            return
        wait_s = self.hedge_left_s()
        if wait_s > 0:
            self.schedule(wait_s)
            return
        host_id = min(offering, key=self.preference)
        self.last_started_at = self.clock.monotonic()
        self.fetches[host_id] = self.tasks.start(self.fetch(host_id), host_id)
        self.schedule(self.times().fetch_hedge.total_seconds())

    def offering_peers(self) -> list[HostId]:
        """Return the peers that have newer items and are not being asked."""
        held = self.task.catalogue.revision
        return [h for h, r in self.offers.items() if r > held and h not in self.fetches]

    def hedge_left_s(self) -> float:
        """Return the time until another peer may be asked, in seconds."""
        if not self.fetches or self.last_started_at is None:
            return 0.0
        due_at = self.last_started_at + self.times().fetch_hedge
        return (due_at - self.clock.monotonic()).total_seconds()

    def preference(self, host_id: HostId) -> tuple[bool, bool, int, HostId]:
        """Return a key that is least for the peer to ask first."""
        failed_at = self.failed_at.get(host_id)
        has_failed = (
            failed_at is not None and self.clock.monotonic() - failed_at < FAILED_LATELY
        )
        peer = self.fleet.peers.get(host_id)
        is_far = peer is None or not self.fleet.is_near(peer)
        return has_failed, is_far, -self.offers[host_id], host_id

    def schedule(self, after_s: float) -> None:
        """Look again after a time whether another peer is to be asked."""
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
        loop = asyncio.get_running_loop()
        self.hedge_timer = loop.call_later(after_s, self.start_if_due)

    async def fetch(self, host_id: HostId) -> None:
        """Fetch items from one peer."""
        try:
            await self.fetch_from(host_id)
        finally:
            self.fetches.pop(host_id, None)
        self.start_if_due()

    async def fetch_from(self, host_id: HostId) -> None:
        """Ask a peer for the items after this host's revision, and apply them."""
        address = self.fleet.address_of(host_id)
        if address is None:
            self.offers.pop(host_id, None)
            return
        asked_at = self.clock.monotonic()
        request = FetchItems(self.task.catalogue.revision)
        timeout_s = self.times().fetch_timeout.total_seconds()
        result = await self.peers.call(address, request, timeout_s)
        if isinstance(result, Success) and isinstance(result.unwrap(), ItemsReply):
            self.failed_at.pop(host_id, None)
            self.task.apply_peer_items(result.unwrap(), host_id, asked_at)
            self.drop_stale_offer(host_id)
            return
        self.failed_at[host_id] = self.clock.monotonic()
        self.offers.pop(host_id, None)
        log.warning(
            "items not fetched",
            extra={
                "peer": host_id,
                "revision": request.after,
                "known": self.task.newest_revision,
                "detail": str(result),
            },
        )

    def drop_stale_offer(self, host_id: HostId) -> None:
        """Drop an offer that an answer did not fulfil; the next digest renews it."""
        if self.offers.get(host_id, 0) > self.task.catalogue.revision:
            del self.offers[host_id]
