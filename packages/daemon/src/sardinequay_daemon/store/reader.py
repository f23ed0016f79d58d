"""Reads of the store: by the reader of each data centre, and by any host in need.

A reader watches the store. Any other host reads it once the age of its own copy shows
that items do not reach it in time, for whatever reason: its reader may be gone, its
links may lose what peers send, or the reader itself may be cut off from the store.
"""

import asyncio
import logging
from asyncio import FIRST_COMPLETED
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from returns.result import Failure, Result, Success

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.read_times import AnswerWait, ReadTimes

from ..errors import PlatformError
from ..serving_metrics import ServingMetrics
from ..serving_ports import MetadataStore, StoreRead
from ..unforeseen import record_unforeseen
from .task import StoreTask

RETRY_DELAYS_S = (0.05, 0.1, 0.25, 0.5, 0.5, 1.0)
"""Delays after consecutive failed reads, in seconds. The first is short, as it may only
have been the connection that failed."""

MAX_RETRY_DELAY_S = 2.0
"""Delay after many failed reads of a host that is no reader, in seconds."""

MAX_CHECK_PERIOD_S = 0.1
"""Longest period in which a host that does not read checks whether it must, in
seconds."""

LARGE_LISTING_MBIT = 8.0
"""Size of a listing with the largest configuration, in Mbit. Peers send it compressed
to a tenth."""

MAX_HEAD_START_S = 0.5
"""Longest time for which a restarting host waits for peers to send what they know, in
seconds."""

NO_WAIT = timedelta(0)
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreCall:
    """When a call to the store began, and the revision that this host held then."""

    began_at: Instant
    revision: int


class StoreReader:
    """Lists and watches the store when this host must.

    Parameters
    ----------
    is_reader : callable
        Returns whether this host reads the store for its data centre.
    is_substitute : callable
        Returns whether this host is the first to read if the reader fails.
    times : callable
        Returns the durations by which to follow the store.
    head_start_s : float
        Time for which peers may send what they know before this host lists the store,
        in seconds.
    """

    def __init__(
        self,
        store: MetadataStore,
        task: StoreTask,
        clock: Clock,
        random: Random,
        is_reader: Callable[[], bool],
        is_substitute: Callable[[], bool],
        times: Callable[[], ReadTimes],
        metrics: ServingMetrics,
        head_start_s: float = 0.0,
    ) -> None:
        self.store = store
        self.task = task
        self.clock = clock
        self.random = random
        self.is_reader = is_reader
        self.is_substitute = is_substitute
        self.times = times
        self.metrics = metrics
        self.head_start_s = head_start_s
        self.answer_wait = AnswerWait()
        self.failures = 0
        self.spread_draw = random.random()
        self.peer_has_items = asyncio.Event()
        task.peer_items.subscribe(lambda _: self.peer_has_items.set())

    async def run(self) -> None:
        """Follow the store for good."""
        await self.wait_for_peer_items(self.head_start_s)
        while True:
            wait_s = self.may_wait_s()
            if wait_s > 0:
                await asyncio.sleep(min(MAX_CHECK_PERIOD_S, wait_s))
                self.task.expire_unconfirmed()
                continue
            await self.read_once()

    def may_wait_s(self) -> float:
        """Return for how long this host need not read the store, in seconds."""
        if self.task.catalogue.config is None or self.is_reader():
            return 0.0
        age = self.task.age()
        return max(0.0, (self.own_read_age(age) - age).total_seconds())

    def own_read_age(self, age: timedelta) -> timedelta:
        """Return the age of the copy at which this host reads the store by itself.

        Hosts draw different ages, so that those which all lost a reader do not read at
        the same moment; what one of them learns reaches the others first.
        """
        times = self.times()
        if age >= times.substitute_read_age and self.is_substitute():
            return times.substitute_read_age
        return times.own_read_age - times.own_read_spread * self.spread_draw

    async def read_once(self) -> None:
        """List the store or watch it once, then pause."""
        self.spread_draw = self.random.random()
        if self.task.must_list:
            await self.list_once()
            return
        await self.watch_once(self.times().watch if self.is_watcher() else NO_WAIT)

    def is_watcher(self) -> bool:
        """Return whether this host lets the store wait for changes.

        A host without a configuration reads all the time, so it waits for changes as
        a reader does; after a failure it asks without a wait.
        """
        reads_on = self.is_reader() or self.task.catalogue.config is None
        return reads_on and not self.failures

    async def list_once(self) -> None:
        """List the store, unless peers send its items before that is done."""
        if await self.is_spared_listing():
            return
        call = self.begin_call("list")
        result = await self.list_unless_peer_replies()
        if result is not None:
            await self.handle_result(result, call, NO_WAIT)

    async def watch_once(self, wait: timedelta) -> None:
        """Watch the store once from this host's revision on."""
        call = self.begin_call("watch")
        answer_wait = self.answer_wait.value(self.times())
        result = await self.contain(self.store.watch(call.revision, wait, answer_wait))
        await self.handle_result(result, call, wait)

    async def contain(
        self, call: Awaitable[Result[StoreRead, PlatformError]]
    ) -> Result[StoreRead, PlatformError]:
        """Return the result of a call; one that failed unforeseen is a failed read."""
        try:
            return await call
        except Exception as error:
            record_unforeseen(self.metrics, "store reply", "", error)
            return Failure(PlatformError("store", repr(error)))

    def begin_call(self, kind: str) -> StoreCall:
        """Count a call to the store and note when, and from what, it begins."""
        self.metrics.store_reads.inc({"call": kind})
        return StoreCall(self.clock.monotonic(), self.task.catalogue.revision)

    async def handle_result(
        self,
        result: Result[StoreRead, PlatformError],
        call: StoreCall,
        wait: timedelta,
    ) -> None:
        """Apply what the store answered, or record the failure, then pause."""
        if not isinstance(result, Success):
            await self.handle_failure(result.failure(), call.began_at)
            return
        read, times, now = result.unwrap(), self.times(), self.clock.monotonic()
        # Without changes the store keeps the wait, so the answer is not older than it.
        has_waited = wait > NO_WAIT and not read.items and now >= call.began_at + wait
        as_of = call.began_at + wait if has_waited else call.began_at
        self.answer_wait.record_answer(now - as_of, times)
        if not self.task.apply_read(read, as_of, call.revision):
            await asyncio.sleep(RETRY_DELAYS_S[-1])
            return
        if self.failures:
            log.info("store regained", extra={"failures": self.failures})
        self.failures = 0
        await asyncio.sleep(0 if has_waited else times.batch_pause.total_seconds())

    async def is_spared_listing(self) -> bool:
        """Return whether peers send this host the items that it would have to list.

        When the store has dropped its history, all hosts would list it at once.
        """
        if self.is_reader() or self.task.catalogue.config is None:
            return False
        self.peer_has_items.clear()
        pause_s = self.times().batch_pause.total_seconds()
        return await self.wait_for_peer_items(pause_s)

    async def list_unless_peer_replies(self) -> Result[StoreRead, PlatformError] | None:
        """List the store; return None if a peer sends its items before that is done.

        On a slow link a listing of a large configuration takes seconds, and items from
        peers that share the link with it arrive no sooner.
        """
        self.peer_has_items.clear()
        answer_wait = self.answer_wait.value(self.times())
        listing = asyncio.create_task(self.contain(self.store.list_all(answer_wait)))
        peer_items = asyncio.create_task(self.peer_has_items.wait())
        try:
            await asyncio.wait((listing, peer_items), return_when=FIRST_COMPLETED)
            return listing.result() if listing.done() else None
        finally:
            listing.cancel()
            peer_items.cancel()

    async def wait_for_peer_items(self, within_s: float) -> bool:
        """Return whether a peer sends items of the store within a time."""
        try:
            async with asyncio.timeout(within_s):
                return await self.peer_has_items.wait()
        except TimeoutError:
            return False

    async def handle_failure(self, error: PlatformError, started_at: Instant) -> None:
        """Record a failed read and wait before the next."""
        if error.is_history_gone:
            log.info("store lost its history", extra={"detail": error.detail})
            self.task.must_list = True
            return
        if not self.failures:
            log.warning("store lost", extra={"detail": str(error)})
        if error.is_timeout:
            self.answer_wait.record_timeout(self.times())
        delay_s = self.retry_delay_s(started_at)
        self.failures += 1
        self.task.expire_unconfirmed()
        await asyncio.sleep(delay_s)

    def retry_delay_s(self, started_at: Instant) -> float:
        """Return the time until the next read after a failed one, in seconds."""
        last = len(RETRY_DELAYS_S) - 1
        delay_s = RETRY_DELAYS_S[min(self.failures, last)]
        if self.failures > last and not self.is_reader():
            delay_s = MAX_RETRY_DELAY_S
        took = self.clock.monotonic() - started_at
        gap_left_s = (self.times().min_read_gap - took).total_seconds()
        return max(delay_s, gap_left_s) * self.random.uniform(0.75, 1.25)


def head_start_s(link_mbps: float, is_first_start: bool) -> float:
    """Return how long peers may send items before a restarting host lists, in seconds.

    The time grows with the slowness of the link: of hosts that start together, those
    with fast links list the store at once and send its items to the others. At a first
    start no peer knows any items.
    """
    if is_first_start or link_mbps <= 0:
        return 0.0
    return min(MAX_HEAD_START_S, LARGE_LISTING_MBIT / link_mbps)
