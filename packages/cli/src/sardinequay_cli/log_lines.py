"""Log lines of hosts, read from files that were collected."""

import json
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from .errors import EXIT_USAGE, CommandError

HIDDEN = frozenset({"time", "level", "event", "host", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One decision as a host logged it."""

    time: str
    host: str
    event: str
    request: str
    fields: dict[str, Any]

    def text(self) -> str:
        """Return the line for people."""
        details = "  ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time}  {self.host}  {self.event}  {details}"


def parse_line(text: str) -> LogLine | None:
    """Read one line; None if it is no log line of a host.

    What a collector wrote before the JSON object is passed over.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        found = json.loads(text[start:])
    except ValueError:
        return None
    if not isinstance(found, dict) or "event" not in found:
        return None
    fields = {k: v for k, v in found.items() if k not in HIDDEN}
    return LogLine(
        str(found.get("time", "")),
        str(found.get("host", "")),
        str(found["event"]),
        str(found.get("request", "")),
        fields,
    )


def read_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Read the log lines of all files."""
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from (p for p in map(parse_line, file) if p is not None)
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error


def moment(text: str) -> datetime:
    """Return the time of a line; the beginning of time if it has none."""
    try:
        return datetime.fromisoformat(text.replace(",", "."))
    except ValueError:
        return datetime.min
