"""Follows the metadata store, directly or through peers that do.

A few hosts of each data centre read the store; the others take what those know. A host
that hears of no fresh reader reads for itself, so a host that is cut off from its
reader falls behind for a moment only.
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
"""How long a watch waits; only its end shows that a connection went silent."""

BATCH_PAUSE_S = 0.3
"""Between two watches: entries change several times a second, calls are counted."""

RETRY_DELAYS_S = (0.1, 0.25, 0.5, 0.5, 1.0)
"""Pauses after failed reads; at most a second, since changes must be followed fast."""

LARGE_LISTING_MBIT = 8.0
"""A configuration of its largest size. Peers pass it on compressed to a tenth."""

MAX_HEAD_START_S = 0.5
"""How long a host that starts again waits at most for what peers know, in seconds."""

FRESH_READER_AGE_S = 2.0
"""A reader that heard the store within this is relied on: a watch and its bound."""

READER_CHECK_PERIOD_S = 0.1
"""How often a host that does not read looks whether it must."""

RENEWAL_ANNOUNCEMENT_PERIOD = seconds(2)
"""How often peers are told of a revision that brought nothing but renewed entries: all
hosts would fetch dozens of entries a second that say what they know already."""

LAPSE_OUTAGE_S = 2.0
"""Once nobody has heard the store for so long, entries may have lapsed in it: a target
renews its own about every 1.2 s, and it lapses after three renewals that failed. After
a shorter trouble an entry that vanished is one of a target that leaves."""

MAX_RECENT_ITEMS = 512
"""Changed items kept for peers that lag; older ones cost a whole listing."""

MAX_UNREADABLE_LOGGED = 200
"""Items not understood that are logged; a writer gone wrong must not fill the log."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """What this host tells its peers of the store.

    Parameters
    ----------
    revision : int
        The newest revision that it knows of.
    news_revision : int
        Up to where it knows something that peers should fetch.
    age_s : float
        How long ago it heard the store itself, in seconds; infinite if never.
    """

    revision: int
    news_revision: int
    age_s: float


class StoreTask:
    """Owns the catalogue and the store's items.

    Parameters
    ----------
    has_hub : callable
        Returns whether others read for this host, also when the store is in trouble.
    head_start_s : float
        How long peers may tell what they know before this host lists the store, in
        seconds.
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
        """Return what is known now."""
        return self.catalogues.value

    # Reading.

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
        """Return whether a peer tells within a time what the store holds."""
        try:
            async with asyncio.timeout(within_s):
                return await self.peer_has_items.wait()
        except TimeoutError:
            return False

    async def list_unless_peer_replies(self) -> Result[StoreRead, PlatformError] | None:
        """List the store; None if a peer told what it holds before that was done.

        On a slow link a listing of a large configuration takes seconds, and what peers
        tell comes no sooner beside it.
        """
        listing = asyncio.create_task(self.store.list_all())
        telling = asyncio.create_task(self.peer_has_items.wait())
        try:
            await asyncio.wait((listing, telling), return_when=FIRST_COMPLETED)
            return listing.result() if listing.done() else None
        finally:
            listing.cancel()
            telling.cancel()

    def may_rely_on_peers(self) -> bool:
        """Return whether another host's reading is enough."""
        is_known = self.catalogue.config is not None
        return (
            is_known
            and not self.is_reader()
            and (self.has_hub() or self.freshest_peer_age_s() < FRESH_READER_AGE_S)
        )

    async def read_once(self) -> None:
        """List, or watch once; then pause."""
        if self.must_list:
            self.peer_has_items.clear()
            told = await self.list_unless_peer_replies()
            if told is None:
                return
            read = told
        else:
            read = await self.store.watch(self.catalogue.revision, WATCH_TIMEOUT)
        if isinstance(read, Success):
            self.apply_read(read.unwrap(), is_whole=self.must_list)
            await asyncio.sleep(BATCH_PAUSE_S if read.unwrap().items else 0)
            return
        await self.handle_read_failure(read.failure())

    def apply_read(self, read: StoreRead, is_whole: bool) -> None:
        """Take what a read gave."""
        now = self.clock.monotonic()
        if self.failures:
            log.info("store regained", extra={"failures": self.failures})
        if self.failures and self.outage_s() >= LAPSE_OUTAGE_S:
            self.lapse_until = now + self.entry_return_time
        self.failures = 0
        self.last_read_at = now
        if read.revision < self.catalogue.revision:
            # An answer older than what is known already says nothing new.
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
        """Take a failed read, and pause before the next."""
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

    # Folding.

    def absence_rule(self) -> RemovalPolicy:
        """Return how a vanished entry is to be taken now."""
        now = self.clock.monotonic()
        if self.failures and self.outage_s() >= LAPSE_OUTAGE_S:
            return RemovalPolicy(now + self.entry_return_time)
        if self.lapse_until is not None and now < self.lapse_until:
            return RemovalPolicy(self.lapse_until)
        return RemovalPolicy()

    def outage_s(self) -> float:
        """Return for how long neither this host nor a peer has heard the store."""
        return min(self.status().age_s, self.freshest_peer_age_s())

    def apply_listing(self, read: StoreRead) -> None:
        """Take a complete listing."""
        listed = {item.key: item for item in read.items}
        for key, item in self.items.items():
            if key not in listed:
                self.removed[key] = StoreItem(
                    key, max(item.revision, read.revision), None
                )
        self.items = listed
        changes = tuple(c for c in map(self.decode, read.items) if c is not None)
        self.publish_catalogue(
            apply_listing(self.catalogue, changes, read.revision, self.absence_rule())
        )

    def apply_changes(self, items: tuple[StoreItem, ...], revision: int) -> None:
        """Take items that changed, in order."""
        catalogue = self.catalogue
        for item in items:
            self.save_item(item)
            change = self.decode(item)
            if change is not None:
                catalogue = apply_change(change, catalogue, self.absence_rule())
        self.publish_catalogue(
            replace(catalogue, revision=max(revision, catalogue.revision))
        )

    def save_item(self, item: StoreItem) -> None:
        """Keep an item for peers."""
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
        """Decode an item; one that is not understood is logged and left out."""
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
        """Log an item that is not understood: once until it is, for so many items."""
        if key in self.unreadable or len(self.unreadable) >= MAX_UNREADABLE_LOGGED:
            return
        self.unreadable.add(key)
        log.error("item not understood", extra={"key": key, "detail": detail})

    def publish_catalogue(self, catalogue: Catalogue) -> None:
        """Make a catalogue known if it says anything new."""
        before = self.catalogue
        if catalogue == before:
            return
        self.log_changes(before, catalogue)
        is_due = (
            self.clock.monotonic() - self.announced_at >= RENEWAL_ANNOUNCEMENT_PERIOD
        )
        if is_due or not is_equal_except_revisions(before, catalogue):
            self.announced_revision = catalogue.revision
            self.announced_at = self.clock.monotonic()
        self.catalogues.on_next(catalogue)

    def log_changes(self, before: Catalogue, after: Catalogue) -> None:
        """Log what this host now believes otherwise."""
        old = before.config.version if before.config else 0
        new = after.config.version if after.config else 0
        if new != old:
            log.info(
                "configuration in force",
                extra={"version": new, "before": old, "revision": after.revision},
            )
        for target_id in {*before.targets, *after.targets}:
            was, now = before.targets.get(target_id), after.targets.get(target_id)
            old_state = was.target.presence.value if was else "absent"
            new_state = now.target.presence.value if now else "absent"
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
        """Drop targets whose entries did not come back.

        While the store is in trouble no entry can come back.
        """
        if self.catalogue.unconfirmed and not self.failures:
            self.publish_catalogue(
                expire_unconfirmed(self.catalogue, self.clock.monotonic())
            )

    # Peers.

    def status(self) -> StoreStatus:
        """Return what to tell peers."""
        heard = self.last_read_at
        age = float("inf")
        if heard is not None:
            age = (self.clock.monotonic() - heard).total_seconds()
        return StoreStatus(self.newest_revision, self.announced_revision, age)

    @property
    def newest_revision(self) -> int:
        """Return the newest revision of the store that any host is known to know."""
        return max(self.catalogue.revision, self.peer_revision)

    def record_peer_revision(self, revision: int) -> None:
        """Take the newest revision that a peer knows of."""
        self.peer_revision = max(self.peer_revision, revision)

    async def handle_fetch(self, message: FetchItems) -> ItemsReply:
        """Give a peer what changed after the revision that it knows."""
        oldest = min((i.revision for i in self.removed.values()), default=0)
        is_whole = message.after == 0 or (
            len(self.removed) >= MAX_RECENT_ITEMS and message.after < oldest
        )
        known = [*self.items.values(), *self.removed.values()]
        items = (
            list(self.items.values())
            if is_whole
            else [i for i in known if i.revision > message.after]
        )
        items.sort(key=lambda item: item.revision)
        return ItemsReply(tuple(items), self.catalogue.revision, is_whole)

    def apply_peer_items(self, reply: ItemsReply) -> None:
        """Take a peer's items if they are newer than what is known."""
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
    """Return how long peers may tell what they know before a host lists, in seconds.

    The slower its link, the longer: of hosts that start together those with fast links
    list the store at once and tell the others. Nobody knows anything at a first start.
    """
    if is_first_start or link_mbps <= 0:
        return 0.0
    return min(MAX_HEAD_START_S, LARGE_LISTING_MBIT / link_mbps)
