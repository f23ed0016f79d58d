"""Decoding of the store's items, and the log of those that cannot be used."""

import logging

from sardinequay_core.catalogue import (
    Catalogue,
    Change,
    RemovalPolicy,
    TargetUnreadable,
    apply_change,
)

from ..errors import PlatformError
from ..metrics import HostMetrics
from ..serving_ports import MetadataStore, StoreItem
from ..unforeseen import MAX_DETAIL_CHARS, MAX_KEY_CHARS, record_unforeseen

MAX_UNREADABLE_LOGGED = 200
"""Maximum number of undecodable items that are logged; a faulty writer must not fill
the log."""

ITEM_KIND = "store item"
log = logging.getLogger(__name__)


class ItemDecoder:
    """Converts items to changes of the catalogue, and applies them one by one.

    Whatever one item raises, the others are decoded and applied.

    Parameters
    ----------
    store : MetadataStore
        Decodes the items.
    """

    def __init__(self, store: MetadataStore, metrics: HostMetrics) -> None:
        self.store = store
        self.metrics = metrics
        self.unreadable: set[str] = set()

    def decode(self, item: StoreItem) -> Change | None:
        """Decode an item; an undecodable one is logged and skipped."""
        try:
            change = self.store.decode(item)
        except PlatformError as error:
            self.record_unreadable(item.key, str(error))
            return None
        except Exception as error:
            return self.withdraw(item, error)
        if isinstance(change, TargetUnreadable):
            self.record_unreadable(item.key, change.detail)
        else:
            self.unreadable.discard(item.key)
        return change

    def apply(
        self,
        item: StoreItem,
        change: Change | None,
        catalogue: Catalogue,
        policy: RemovalPolicy,
    ) -> Catalogue:
        """Return the catalogue after the change that an item was decoded to."""
        try:
            return apply_if_any(change, catalogue, policy)
        except Exception as error:
            return apply_if_any(self.withdraw(item, error), catalogue, policy)

    def withdraw(self, item: StoreItem, error: Exception) -> Change | None:
        """Record an unforeseen error; return what the catalogue is to drop, if any.

        It is logged once for an item, and counted each time.
        """
        if self.is_new(item.key):
            record_unforeseen(self.metrics, ITEM_KIND, item.key, error)
        else:
            self.metrics.unforeseen_errors.inc({"kind": ITEM_KIND})
        return self.store.withdraw(item.key)

    def record_unreadable(self, key: str, detail: str) -> None:
        """Log an undecodable item once, up to a maximum number of items."""
        if self.is_new(key):
            extra = {"key": key[:MAX_KEY_CHARS], "detail": detail[:MAX_DETAIL_CHARS]}
            log.error("item not understood", extra=extra)

    def is_new(self, key: str) -> bool:
        """Return whether an unusable item is to be logged, and remember it."""
        if key in self.unreadable or len(self.unreadable) >= MAX_UNREADABLE_LOGGED:
            return False
        self.unreadable.add(key)
        return True


def apply_if_any(
    change: Change | None, catalogue: Catalogue, policy: RemovalPolicy
) -> Catalogue:
    """Return the catalogue after a change, if there is one."""
    return catalogue if change is None else apply_change(change, catalogue, policy)
