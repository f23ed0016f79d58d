"""The catalogue, from items that this host reads or peers send, and its age."""

import logging
from dataclasses import dataclass, replace
from datetime import timedelta

from reactivex.subject import BehaviorSubject, Subject

from sardinequay_core.catalogue import (
    Catalogue,
    Change,
    RemovalPolicy,
    expire_unconfirmed,
    is_equal_except_revisions,
    remove_unlisted,
)
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.freshness import Freshness, FreshnessStatement
from sardinequay_core.names import HostId

from ..metrics import HostMetrics
from ..serving_messages import FetchItems, ItemsReply
from ..serving_ports import MetadataStore, StoreItem, StoreRead
from .change_log import log_changes
from .item_decoder import ItemDecoder
from .item_table import ItemTable

RENEWAL_ANNOUNCEMENT_PERIOD = seconds(2)
"""Minimum time between announcements of revisions that only renewed entries: otherwise
all hosts would fetch dozens of entries a second that contain nothing new."""

LAPSE_OUTAGE = seconds(2)
"""Duration of an outage from which on entries may have lapsed in the store: a target
renews its entry about every 1.2 s, and the entry lapses after three failed renewals.
After a shorter outage a missing entry belongs to a target that is leaving."""

BEHIND_LOG_AFTER = seconds(0.5)
"""Time for which this host must be behind its peers before that is logged."""

FROM_STORE = "store"
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class StoreStatus:
    """Revisions and age of the store's copy at this host, as stated to peers.

    Parameters
    ----------
    revision : int
        Newest revision that it knows of.
    news_revision : int
        Newest revision that peers should fetch; later ones only renewed entries.
    age_s : float
        Time since nothing that matters was newer than that in the store, in seconds;
        infinite if unknown.
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
    budget : timedelta
        Time within which a change must be in force.
    """

    def __init__(
        self,
        store: MetadataStore,
        clock: Clock,
        entry_return_time: timedelta,
        budget: timedelta,
        metrics: HostMetrics,
    ) -> None:
        self.clock = clock
        self.entry_return_time = entry_return_time
        self.budget = budget
        self.decoder = ItemDecoder(store, metrics)
        self.catalogues: BehaviorSubject[Catalogue] = BehaviorSubject(Catalogue())
        self.own_news: Subject[int] = Subject()
        self.peer_items: Subject[int] = Subject()
        self.items = ItemTable()
        self.freshness = Freshness()
        self.lapse_until: Instant | None = None
        self.must_list = True
        self.was_current = False
        self.is_behind_logged = False
        self.peer_revision = 0
        self.announced_revision = 0
        self.announced_at = clock.monotonic()

    @property
    def catalogue(self) -> Catalogue:
        """Return the current catalogue."""
        return self.catalogues.value

    @property
    def newest_revision(self) -> int:
        """Return the newest revision of the store known to this host or its peers."""
        return max(self.catalogue.revision, self.peer_revision)

    def age(self) -> timedelta:
        """Return how old this host's copy may be; `timedelta.max` if unknown."""
        return self.freshness.age(self.clock.monotonic())

    def age_s(self) -> float:
        """Return how old this host's copy may be, in seconds; infinite if unknown."""
        age = self.age()
        return float("inf") if age == timedelta.max else age.total_seconds()

    def is_current(self) -> bool:
        """Return whether all changes that must be in force are in this host's copy."""
        return not self.freshness.is_behind and self.age() <= self.budget

    def status(self) -> StoreStatus:
        """Return the status to state to peers."""
        news_revision = max(self.announced_revision, self.freshness.proven_revision)
        return StoreStatus(self.newest_revision, news_revision, self.age_s())

    def apply_read(self, read: StoreRead, as_of: Instant, asked_revision: int) -> bool:
        """Apply what the store answered; return False if it had an older state.

        Parameters
        ----------
        as_of : timedelta
            Time at which the answer was true at the earliest.
        asked_revision : int
            The revision that this host held when it asked.
        """
        if read.revision < asked_revision:
            log.warning(
                "store answered with an older state",
                extra={"revision": read.revision, "known": asked_revision},
            )
            self.must_list = True
            return False
        if read.revision < self.catalogue.revision:
            # Peers have sent newer items meanwhile.
            return True
        self.record_outage(as_of)
        is_whole, self.must_list = self.must_list, False
        self.apply_items(read, is_whole, FROM_STORE)
        self.record_statement(FreshnessStatement(self.announced_revision, as_of))
        self.expire_unconfirmed()
        return True

    def apply_peer_items(
        self, reply: ItemsReply, peer: HostId, asked_at: Instant
    ) -> None:
        """Apply a peer's items if they are newer than the catalogue.

        Parameters
        ----------
        asked_at : timedelta
            When this host asked for them.
        """
        if is_stated_age(reply.age_s):
            as_of = asked_at - seconds(reply.age_s)
            self.record_statement(FreshnessStatement(reply.news_revision, as_of))
        if reply.revision <= self.catalogue.revision:
            return
        read = StoreRead(reply.items, reply.revision)
        self.announced_revision = max(self.announced_revision, reply.news_revision)
        self.apply_items(read, reply.is_whole, peer)
        self.must_list = False
        self.peer_items.on_next(reply.revision)

    def apply_items(self, read: StoreRead, is_whole: bool, source: str) -> None:
        """Apply a listing or changed items, and publish the catalogue."""
        catalogue = self.with_listing(read) if is_whole else self.with_changes(read)
        self.publish_catalogue(catalogue, source)
        self.freshness.hold(self.catalogue.revision)
        self.record_current()

    def with_listing(self, read: StoreRead) -> Catalogue:
        """Return the catalogue after a complete listing."""
        self.items.replace_all(read.items, read.revision)
        changes = [self.decoder.decode(item) for item in read.items]
        catalogue = remove_unlisted(self.catalogue, changes, self.removal_policy())
        return self.after_changes(read, changes, catalogue)

    def with_changes(self, read: StoreRead) -> Catalogue:
        """Return the catalogue after changed items, applied in order."""
        for item in read.items:
            self.items.save(item)
        changes = [self.decoder.decode(item) for item in read.items]
        return self.after_changes(read, changes, self.catalogue)

    def after_changes(
        self, read: StoreRead, changes: list[Change | None], catalogue: Catalogue
    ) -> Catalogue:
        """Return a catalogue after the changes of a read's items, in order."""
        policy = self.removal_policy()
        for item, change in zip(read.items, changes, strict=True):
            catalogue = self.decoder.apply(item, change, catalogue, policy)
        return replace(catalogue, revision=max(read.revision, catalogue.revision))

    def publish_catalogue(self, catalogue: Catalogue, source: str) -> None:
        """Publish a catalogue if it differs from the current one."""
        previous = self.catalogue
        if catalogue == previous:
            return
        log_changes(previous, catalogue, source)
        self.catalogues.on_next(catalogue)
        if source == FROM_STORE:
            self.announce(previous, catalogue)

    def announce(self, previous: Catalogue, catalogue: Catalogue) -> None:
        """Announce a revision to peers; one that only renewed entries, seldom."""
        now = self.clock.monotonic()
        is_due = now - self.announced_at >= RENEWAL_ANNOUNCEMENT_PERIOD
        is_news = not is_equal_except_revisions(previous, catalogue)
        if not (is_due or is_news):
            return
        self.announced_revision = catalogue.revision
        self.announced_at = now
        if is_news:
            self.own_news.on_next(catalogue.revision)

    def record_statement(self, statement: FreshnessStatement) -> None:
        """Record until when nothing newer than a revision was in the store."""
        self.record_outage(statement.as_of)
        self.freshness.record(statement, self.clock.monotonic())
        self.record_current()

    def record_current(self) -> None:
        """Record that this host has been up to date since its start."""
        self.was_current = self.was_current or self.is_current()

    def record_peer_revision(self, revision: int) -> None:
        """Record the newest revision that a peer knows of."""
        self.peer_revision = max(self.peer_revision, revision)

    def record_outage(self, as_of: Instant) -> None:
        """Record the end of a time in which nobody read the store."""
        last_stated = self.freshness.last_stated
        if last_stated is not None and as_of - last_stated >= LAPSE_OUTAGE:
            self.lapse_until = self.clock.monotonic() + self.entry_return_time

    def is_store_away(self) -> bool:
        """Return whether nobody is known to have read the store lately."""
        now = self.clock.monotonic()
        return self.freshness.age_of_last_statement(now) >= LAPSE_OUTAGE

    def removal_policy(self) -> RemovalPolicy:
        """Return how to treat entries that are missing from the store now."""
        now = self.clock.monotonic()
        if self.is_store_away():
            return RemovalPolicy(now + self.entry_return_time)
        if self.lapse_until is not None and now < self.lapse_until:
            return RemovalPolicy(self.lapse_until)
        return RemovalPolicy()

    def expire_unconfirmed(self) -> None:
        """Remove targets whose entries did not return in time.

        During an outage no entry can return, so none is removed.
        """
        if self.catalogue.unconfirmed and not self.is_store_away():
            now = self.clock.monotonic()
            self.publish_catalogue(
                expire_unconfirmed(self.catalogue, now), source="expiry"
            )

    def log_behind(self) -> None:
        """Log once that this host is behind a revision that peers have, and its end."""
        now, since = self.clock.monotonic(), self.freshness.behind_since
        is_behind = since is not None and now - since >= BEHIND_LOG_AFTER
        if is_behind == self.is_behind_logged:
            return
        self.is_behind_logged = is_behind
        log.warning(
            "behind the store" if is_behind else "caught up with the store",
            extra={
                "revision": self.catalogue.revision,
                "known": max((*self.freshness.open_statements, self.newest_revision)),
                "age_s": round(min(self.age_s(), 1e6), 2),
            },
        )

    async def handle_fetch(self, message: FetchItems) -> ItemsReply:
        """Return the items that changed after the revision that a peer has."""
        is_whole = self.items.lacks_history_since(message.after)
        items: tuple[StoreItem, ...] = (
            self.items.all_items()
            if is_whole
            else self.items.changed_since(message.after)
        )
        status = self.status()
        return ItemsReply(
            items,
            self.catalogue.revision,
            is_whole,
            status.news_revision,
            status.age_s,
        )


def is_stated_age(age_s: float) -> bool:
    """Return whether what a peer states of its copy is an age, in seconds.

    It is infinite if the peer does not know it.
    """
    return 0 <= age_s < float("inf")
