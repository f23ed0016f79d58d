"""What changes from one bundle to the next, for those who approve it."""

from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, fields
from enum import Enum
from typing import Any

from .bundle import Contents


class Change(Enum):
    """What becomes of an entry."""

    ADDED = "added"
    REMOVED = "removed"
    CHANGED = "changed"


@dataclass(frozen=True, slots=True, order=True)
class Difference:
    """One entry that differs; `details` names the fields with old and new values."""

    where: str
    change: str
    details: str = ""

    def __str__(self) -> str:
        return f"{self.change} {self.where}" + (
            f": {self.details}" if self.details else ""
        )


def diff(old: Contents, new: Contents) -> list[Difference]:
    """Return all differences, in a fixed order."""
    found = [
        *compare("callers", by(old.base.callers, "name"), by(new.base.callers, "name")),
        *compare("pools", by(old.base.pools, "name"), by(new.base.pools, "name")),
        *compare(
            "services", by(old.base.services, "prefix"), by(new.base.services, "prefix")
        ),
        *compare("adapters", by(old.adapters, "name"), by(new.adapters, "name")),
    ]
    return sorted(found)


def by(entries: Iterable[Any], name: str) -> dict[str, Any]:
    """Return entries by one of their fields."""
    return {getattr(entry, name): entry for entry in entries}


def compare(
    kind: str, old: Mapping[str, Any], new: Mapping[str, Any]
) -> Iterator[Difference]:
    """Yield the differences between two sets of entries of a kind."""
    for name in old.keys() - new.keys():
        yield Difference(f"{kind}.{name}", Change.REMOVED.value)
    for name in new.keys() - old.keys():
        yield Difference(f"{kind}.{name}", Change.ADDED.value)
    for name in old.keys() & new.keys():
        if old[name] != new[name]:
            details = "; ".join(field_changes(old[name], new[name]))
            yield Difference(f"{kind}.{name}", Change.CHANGED.value, details)


def field_changes(old: Any, new: Any) -> Iterator[str]:
    """Yield the fields of an entry that differ."""
    for spec in fields(old):
        before, after = getattr(old, spec.name), getattr(new, spec.name)
        if before != after:
            yield f"{spec.name} {before!r} -> {after!r}"
