"""Items of the store as they were read, kept for peers that fetch them."""

from collections.abc import Iterable

from ..serving_ports import StoreItem

MAX_RECENT_ITEMS = 512
"""Maximum number of removed items kept for peers that lag; a peer with an older
revision gets a whole listing."""


class ItemTable:
    """Current items by key, and those removed lately."""

    def __init__(self) -> None:
        self.current: dict[str, StoreItem] = {}
        self.removed: dict[str, StoreItem] = {}

    def replace_all(self, items: Iterable[StoreItem], revision: int) -> None:
        """Replace all items by a complete listing."""
        listed = {item.key: item for item in items}
        for key, item in self.current.items():
            if key not in listed:
                removed_at = max(item.revision, revision)
                self.removed[key] = StoreItem(key, removed_at, None)
        self.current = listed
        self.drop_oldest_removed()

    def save(self, item: StoreItem) -> None:
        """Save a changed item, or its removal."""
        self.removed.pop(item.key, None)
        if item.value is not None:
            self.current[item.key] = item
            return
        self.current.pop(item.key, None)
        self.removed[item.key] = item
        self.drop_oldest_removed()

    def drop_oldest_removed(self) -> None:
        """Keep no more removed items than the maximum."""
        while len(self.removed) > MAX_RECENT_ITEMS:
            del self.removed[next(iter(self.removed))]

    def lacks_history_since(self, revision: int) -> bool:
        """Return whether removals after a revision may have been dropped."""
        oldest = min((i.revision for i in self.removed.values()), default=0)
        is_full = len(self.removed) >= MAX_RECENT_ITEMS
        return revision == 0 or (is_full and revision < oldest)

    def all_items(self) -> tuple[StoreItem, ...]:
        """Return the current items, the oldest change first."""
        return in_order(self.current.values())

    def changed_since(self, revision: int) -> tuple[StoreItem, ...]:
        """Return the items changed or removed after a revision, the oldest first."""
        candidates = (*self.current.values(), *self.removed.values())
        return in_order(item for item in candidates if item.revision > revision)


def in_order(items: Iterable[StoreItem]) -> tuple[StoreItem, ...]:
    """Return items in the order of their revisions."""
    return tuple(sorted(items, key=lambda item: item.revision))
