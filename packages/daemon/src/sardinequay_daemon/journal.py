"""Recent decisions of a host and their reasons, looked up by request or order id."""

from collections import OrderedDict
from dataclasses import dataclass, field
from datetime import datetime
from typing import Any

from sardinequay_core.clock import Clock

MAX_SUBJECTS = 4096
"""Maximum number of requests and orders kept: some minutes at a host's peak of 36 a
second."""
MAX_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class JournalEntry:
    """One decision or event."""

    at: datetime
    what: str
    details: dict[str, Any]


@dataclass(slots=True)
class Journal:
    """Most recent subjects and their entries."""

    clock: Clock
    subjects: OrderedDict[str, list[JournalEntry]] = field(default_factory=OrderedDict)

    def record(self, subject: str, what: str, **details: Any) -> None:
        """Add an entry under the id of a request or an order."""
        entries = self.subjects.setdefault(subject, [])
        if len(entries) < MAX_ENTRIES:
            entries.append(JournalEntry(self.clock.now(), what, details))
        if len(self.subjects) > MAX_SUBJECTS:
            self.subjects.popitem(last=False)

    def explain(self, subject: str) -> list[JournalEntry]:
        """Return the entries recorded under an id."""
        return list(self.subjects.get(subject, ()))
