"""Differences between two bundles, shown to approvers before they sign."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from .bundle import Contents


class ChangeKind(Enum):
    """How an entry differs between two bundles."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True, order=True)
class Difference:
    """One differing entry; `details` lists changed fields with old and new values."""

    where: str
    change: str
    details: str = ""

    def __str__(self) -> str:
        return f"{self.change} {self.where}" + (
            f": {self.details}" if self.details else ""
        )


def diff_contents(old: Contents, new: Contents) -> list[Difference]:
    """Return the differences between two bundles' contents, sorted."""
    differences = [
        *diff_entries(
            "callers",
            index_by_field(old.base.callers, "name"),
            index_by_field(new.base.callers, "name"),
        ),
        *diff_entries(
            "pools",
            index_by_field(old.base.pools, "name"),
            index_by_field(new.base.pools, "name"),
        ),
        *diff_entries(
            "services",
            index_by_field(old.base.services, "prefix"),
            index_by_field(new.base.services, "prefix"),
        ),
        *diff_entries(
            "adapters",
            index_by_field(old.adapters, "name"),
            index_by_field(new.adapters, "name"),
        ),
    ]
    return sorted(differences)


def index_by_field(entries: Iterable[Any], name: str) -> dict[str, Any]:
    """Return a mapping from the value of the field `name` to its entry."""
    return {getattr(entry, name): entry for entry in entries}


def diff_entries(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    """Yield the added, removed and changed entries of one kind."""
    for name in old.keys() - new.keys():
        yield Difference(f"{kind}.{name}", ChangeKind.REMOVED.value)
    for name in new.keys() - old.keys():
        yield Difference(f"{kind}.{name}", ChangeKind.ADDED.value)
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            details = "; ".join(field_changes(old[name], new[name]))
            yield Difference(f"{kind}.{name}", ChangeKind.CHANGED.value, details)


def field_changes(old: Any, new: Any) -> Iterator[str]:
    """Yield a ``name old -> new`` description of each field that differs."""
    for spec in fields(old):
        before, after = getattr(old, spec.name), getattr(new, spec.name)
        if before != after:
            yield f"{spec.name} {before!r} -> {after!r}"
