"""Catalogue updates from the metadata store, read directly or received from peers.

A few hosts of each data centre read the store; the others receive its items from them.
A host without a peer that read the store recently reads it itself, so a host that is
cut off from its reader is out of date only for a moment.
"""

import asyncio
import logging
from asyncio import FIRST_COMPLETED
from collections.abc import Callable
from dataclasses import dataclass, replace
from datetime import timedelta
from random import Random

from reactivex.subject import BehaviorSubject
from returns.result import Result, Success

from sardinequay_core.catalogue import (
    Catalogue,
    Change,
    RemovalPolicy,
    TargetUnreadable,
    apply_change,
    apply_listing,
    expire_unconfirmed,
    is_equal_except_revisions,
)
from sardinequay_core.clock import Clock, Instant, seconds

from .errors import PlatformError
from .serving_messages import FetchItems, ItemsReply
from .serving_ports import MetadataStore, StoreItem, StoreRead

WATCH_TIMEOUT = seconds(1)
"""Duration of a watch; only its end shows that a connection is dead."""

BATCH_PAUSE_S = 0.3
"""Pause between two watches, in seconds: entries change several times a second, and
calls to the store must stay few."""

RETRY_DELAYS_S = (0.1, 0.25, 0.5, 0.5, 1.0)
"""Delays after consecutive failed reads, in seconds; at most a second, because changes
must be picked up fast."""

LARGE_LISTING_MBIT = 8.0
"""Size of a listing with the largest configuration, in Mbit. Peers send it compressed
to a tenth."""

MAX_HEAD_START_S = 0.5
"""Longest time for which a restarting host waits for peers to send what they know, in
seconds."""

FRESH_READER_AGE_S = 2.0
"""A reader that read the store within this time, in seconds, is relied on: it covers
one watch with its timeout."""

READER_CHECK_PERIOD_S = 0.1
"""Period in which a host that does not read checks whether it must, in seconds."""

RENEWAL_ANNOUNCEMENT_PERIOD = seconds(2)
"""Minimum time between announcements of revisions that only renewed entries: otherwise
all hosts would fetch dozens of entries a second that contain nothing new."""

LAPSE_OUTAGE_S = 2.0
"""Duration of an outage, in seconds, from which on entries may have lapsed in the
store: a target renews its entry about every 1.2 s, and the entry lapses after three
failed renewals. After a shorter outage a missing entry belongs to a target that is
leaving."""

MAX_RECENT_ITEMS = 512
"""Maximum number of removed items kept for peers that lag; a peer with an older
revision gets a whole listing."""

MAX_UNREADABLE_LOGGED = 200
"""Maximum number of undecodable items that are logged; a faulty writer must not fill
the log."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """Revisions and age of the store's state at this host, as reported to peers.

    Parameters
    ----------
    revision : int
        Newest revision that it knows of.
    news_revision : int
        Newest revision that peers should fetch; later ones only renewed entries.
    age_s : float
        Time since it last read the store itself, in seconds; infinite if never.
    """

    revision: int
    news_revision: int
    age_s: float


class StoreTask:
    """Owns the catalogue and the items of the store.

    Parameters
    ----------
    entry_return_time : timedelta
        Time after an outage within which targets can have written lapsed entries again.
    is_reader : callable
        Returns whether this host reads the store for its data centre.
    freshest_peer_age_s : callable
        Returns the time since any peer last read the store, in seconds.
    has_hub : callable
        Returns whether other hosts read for this one, even during an outage of the
        store.
    head_start_s : float
        Time for which peers may send what they know before this host lists the store,
        in seconds.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        random: Random,
        entry_return_time: timedelta,
        is_reader: Callable[[], bool],
        freshest_peer_age_s: Callable[[], float],
        has_hub: Callable[[], bool] = lambda: False,
        head_start_s: float = 0.0,
    ) -> None:
        self.store = store
        self.clock = clock
        self.random = random
        self.entry_return_time = entry_return_time
        self.is_reader = is_reader
        self.freshest_peer_age_s = freshest_peer_age_s
        self.has_hub = has_hub
        self.head_start_s = head_start_s
        self.peer_has_items = asyncio.Event()
        self.catalogues: BehaviorSubject[Catalogue] = BehaviorSubject(Catalogue())
        self.items: dict[str, StoreItem] = {}
        self.removed: dict[str, StoreItem] = {}
        self.last_read_at: Instant | None = None
        self.lapse_until: Instant | None = None
        self.failures = 0
        self.must_list = True
        self.unreadable: set[str] = set()
        self.peer_revision = 0
        self.announced_revision = 0
        self.announced_at = clock.monotonic()

    @property
    def catalogue(self) -> Catalogue:
        """Return the current catalogue."""
        return self.catalogues.value

    async def run(self) -> None:
        """Follow the store for good."""
        await self.wait_for_peer_items(self.head_start_s)
        while True:
            if self.may_rely_on_peers():
                await asyncio.sleep(READER_CHECK_PERIOD_S)
                self.expire_unconfirmed()
                continue
            await self.read_once()

    async def wait_for_peer_items(self, within_s: float) -> bool:
        """Return whether a peer sends items of the store within a time."""
        try:
            async with asyncio.timeout(within_s):
                return await self.peer_has_items.wait()
        except TimeoutError:
            return False

    async def list_unless_peer_replies(self) -> Result[StoreRead, PlatformError] | None:
        """List the store; return None if a peer sends its items before that is done.

        On a slow link a listing of a large configuration takes seconds, and items from
        peers that share the link with it arrive no sooner.
        """
        listing = asyncio.create_task(self.store.list_all())
        peer_items = asyncio.create_task(self.peer_has_items.wait())
        try:
            await asyncio.wait((listing, peer_items), return_when=FIRST_COMPLETED)
            return listing.result() if listing.done() else None
        finally:
            listing.cancel()
            peer_items.cancel()

    def may_rely_on_peers(self) -> bool:
        """Return whether reads by other hosts are enough."""
        has_configuration = self.catalogue.config is not None
        return (
            has_configuration
            and not self.is_reader()
            and (self.has_hub() or self.freshest_peer_age_s() < FRESH_READER_AGE_S)
        )

    async def read_once(self) -> None:
        """List the store or watch it once, then pause."""
        if self.must_list:
            self.peer_has_items.clear()
            listing = await self.list_unless_peer_replies()
            if listing is None:
                return
            read = listing
        else:
            read = await self.store.watch(self.catalogue.revision, WATCH_TIMEOUT)
        if isinstance(read, Success):
            self.apply_read(read.unwrap(), is_whole=self.must_list)
            await asyncio.sleep(BATCH_PAUSE_S if read.unwrap().items else 0)
            return
        await self.handle_read_failure(read.failure())

    def apply_read(self, read: StoreRead, is_whole: bool) -> None:
        """Apply the result of a read and record the end of an outage."""
        now = self.clock.monotonic()
        if self.failures:
            log.info("store regained", extra={"failures": self.failures})
        if self.failures and self.outage_s() >= LAPSE_OUTAGE_S:
            self.lapse_until = now + self.entry_return_time
        self.failures = 0
        self.last_read_at = now
        if read.revision < self.catalogue.revision:
            # A result older than the catalogue must not replace it.
            log.warning(
                "store answered with an older state",
                extra={"revision": read.revision, "known": self.catalogue.revision},
            )
            self.must_list = True
            return
        self.must_list = False
        if is_whole:
            self.apply_listing(read)
        else:
            self.apply_changes(read.items, read.revision)
        self.expire_unconfirmed()

    async def handle_read_failure(self, error: PlatformError) -> None:
        """Record a failed read and wait before the next."""
        if error.is_history_gone:
            log.info("store lost its history", extra={"detail": error.detail})
            self.must_list = True
            return
        if not self.failures:
            log.warning("store lost", extra={"detail": str(error)})
        pause_s = RETRY_DELAYS_S[min(self.failures, len(RETRY_DELAYS_S) - 1)]
        self.failures += 1
        self.expire_unconfirmed()
        await asyncio.sleep(pause_s * self.random.uniform(0.75, 1.25))

    def removal_policy(self) -> RemovalPolicy:
        """Return how to treat entries that are missing from the store now."""
        now = self.clock.monotonic()
        if self.failures and self.outage_s() >= LAPSE_OUTAGE_S:
            return RemovalPolicy(now + self.entry_return_time)
        if self.lapse_until is not None and now < self.lapse_until:
            return RemovalPolicy(self.lapse_until)
        return RemovalPolicy()

    def outage_s(self) -> float:
        """Return the time since this host or a peer last read the store, in seconds."""
        return min(self.status().age_s, self.freshest_peer_age_s())

    def apply_listing(self, read: StoreRead) -> None:
        """Replace all items by a complete listing."""
        listed = {item.key: item for item in read.items}
        for key, item in self.items.items():
            if key not in listed:
                self.removed[key] = StoreItem(
                    key, max(item.revision, read.revision), None
                )
        self.items = listed
        changes = tuple(c for c in map(self.decode, read.items) if c is not None)
        self.publish_catalogue(
            apply_listing(self.catalogue, changes, read.revision, self.removal_policy())
        )

    def apply_changes(self, items: tuple[StoreItem, ...], revision: int) -> None:
        """Apply changed items in order."""
        catalogue = self.catalogue
        for item in items:
            self.save_item(item)
            change = self.decode(item)
            if change is not None:
                catalogue = apply_change(change, catalogue, self.removal_policy())
        self.publish_catalogue(
            replace(catalogue, revision=max(revision, catalogue.revision))
        )

    def save_item(self, item: StoreItem) -> None:
        """Save an item, or its removal, for peers that fetch items."""
        if item.value is None:
            self.items.pop(item.key, None)
            self.removed.pop(item.key, None)
            self.removed[item.key] = item
            while len(self.removed) > MAX_RECENT_ITEMS:
                del self.removed[next(iter(self.removed))]
        else:
            self.items[item.key] = item
            self.removed.pop(item.key, None)

    def decode(self, item: StoreItem) -> Change | None:
        """Decode an item; an undecodable one is logged and skipped."""
        try:
            change = self.store.decode(item)
        except PlatformError as error:
            self.log_unreadable(item.key, str(error))
            return None
        if isinstance(change, TargetUnreadable):
            self.log_unreadable(item.key, change.detail)
        else:
            self.unreadable.discard(item.key)
        return change

    def log_unreadable(self, key: str, detail: str) -> None:
        """Log an undecodable item once, up to a maximum number of items."""
        if key in self.unreadable or len(self.unreadable) >= MAX_UNREADABLE_LOGGED:
            return
        self.unreadable.add(key)
        log.error("item not understood", extra={"key": key, "detail": detail})

    def publish_catalogue(self, catalogue: Catalogue) -> None:
        """Publish a catalogue if it differs from the current one."""
        previous = self.catalogue
        if catalogue == previous:
            return
        self.log_changes(previous, catalogue)
        is_due = (
            self.clock.monotonic() - self.announced_at >= RENEWAL_ANNOUNCEMENT_PERIOD
        )
        if is_due or not is_equal_except_revisions(previous, catalogue):
            self.announced_revision = catalogue.revision
            self.announced_at = self.clock.monotonic()
        self.catalogues.on_next(catalogue)

    def log_changes(self, before: Catalogue, after: Catalogue) -> None:
        """Log changes of the configuration version and of the targets' states."""
        old_version = before.config.version if before.config else 0
        new_version = after.config.version if after.config else 0
        if new_version != old_version:
            log.info(
                "configuration in force",
                extra={
                    "version": new_version,
                    "before": old_version,
                    "revision": after.revision,
                },
            )
        for target_id in {*before.targets, *after.targets}:
            old_target, new_target = (
                before.targets.get(target_id),
                after.targets.get(target_id),
            )
            old_state = old_target.target.presence.value if old_target else "absent"
            new_state = new_target.target.presence.value if new_target else "absent"
            if target_id in after.unconfirmed and target_id not in before.unconfirmed:
                new_state = "unconfirmed"
            if old_state != new_state:
                log.info(
                    "target changed",
                    extra={
                        "target": target_id,
                        "before": old_state,
                        "after": new_state,
                        "revision": after.revision,
                    },
                )

    def expire_unconfirmed(self) -> None:
        """Remove targets whose entries did not return in time.

        During an outage no entry can return, so none is removed.
        """
        if self.catalogue.unconfirmed and not self.failures:
            self.publish_catalogue(
                expire_unconfirmed(self.catalogue, self.clock.monotonic())
            )

    def status(self) -> StoreStatus:
        """Return the status to report to peers."""
        last_read_at = self.last_read_at
        age_s = float("inf")
        if last_read_at is not None:
            age_s = (self.clock.monotonic() - last_read_at).total_seconds()
        return StoreStatus(self.newest_revision, self.announced_revision, age_s)

    @property
    def newest_revision(self) -> int:
        """Return the newest revision of the store known to this host or its peers."""
        return max(self.catalogue.revision, self.peer_revision)

    def record_peer_revision(self, revision: int) -> None:
        """Record the newest revision that a peer knows of."""
        self.peer_revision = max(self.peer_revision, revision)

    async def handle_fetch(self, message: FetchItems) -> ItemsReply:
        """Return the items that changed after the revision that a peer has."""
        oldest = min((i.revision for i in self.removed.values()), default=0)
        is_whole = message.after == 0 or (
            len(self.removed) >= MAX_RECENT_ITEMS and message.after < oldest
        )
        all_items = [*self.items.values(), *self.removed.values()]
        items = (
            list(self.items.values())
            if is_whole
            else [i for i in all_items if i.revision > message.after]
        )
        items.sort(key=lambda item: item.revision)
        return ItemsReply(tuple(items), self.catalogue.revision, is_whole)

    def apply_peer_items(self, reply: ItemsReply) -> None:
        """Apply a peer's items if they are newer than the catalogue."""
        if reply.revision <= self.catalogue.revision:
            return
        read = StoreRead(reply.items, reply.revision)
        if reply.is_whole:
            self.apply_listing(read)
        else:
            self.apply_changes(reply.items, reply.revision)
        self.must_list = False
        self.peer_has_items.set()


def head_start_s(link_mbps: float, is_first_start: bool) -> float:
    """Return how long peers may send items before a restarting host lists, in seconds.

    The time grows with the slowness of the link: of hosts that start together, those
    with fast links list the store at once and send its items to the others. At a first
    start no peer knows any items.
    """
    if is_first_start or link_mbps <= 0:
        return 0.0
    return min(MAX_HEAD_START_S, LARGE_LISTING_MBIT / link_mbps)
