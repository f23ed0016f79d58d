"""Histories: what callers and stand-ins saw and did, as lines of JSON.

All processes of a trial run on one machine, so its monotonic clock orders their events.
"""

import json
import time
from collections.abc import Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any


@dataclass(frozen=True, slots=True)
class Event:
    """One event of a history.

    Parameters
    ----------
    at_s : float
        The machine's monotonic clock, in seconds.
    who : str
        The stand-in or caller that saw it.
    """

    at_s: float
    who: str
    what: str
    fields: dict[str, Any] = field(default_factory=dict)


class HistoryWriter:
    """Appends events to a file, one line each, whole at every moment."""

    def __init__(self, path: Path | None, who: str) -> None:
        self.who = who
        self.file = path.open("a", encoding="utf-8", buffering=1) if path else None

    def write(self, what: str, **fields: Any) -> None:
        """Append one event."""
        if self.file is not None:
            event = [time.monotonic(), self.who, what, fields]
            self.file.write(json.dumps(event) + "\n")


def read_history(directory: Path) -> list[Event]:
    """Return all events of a trial in the order of time."""
    events = [e for path in sorted(directory.glob("*.history")) for e in read(path)]
    return sorted(events, key=lambda event: event.at_s)


def read(path: Path) -> Iterator[Event]:
    """Yield the events of one file; a line cut off by a kill is left out."""
    for line in path.read_text(encoding="utf-8").splitlines(keepends=True):
        if line.endswith("\n"):
            at_s, who, what, fields = json.loads(line)
            yield Event(at_s, who, what, fields)
