"""Parses hosts' log lines from collected files."""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime
from pathlib import Path
from typing import Any

from sardinequay_core.documents import decode_json_value
from sardinequay_core.errors import DocumentError

from .errors import EXIT_USAGE, CommandError

STANDARD_KEYS = frozenset({"time", "level", "event", "host", "request"})


@dataclass(frozen=True, slots=True)
class LogLine:
    """One log line of a host; `fields` holds the keys without an attribute here."""

    time: str
    host: str
    event: str
    request: str
    fields: dict[str, Any]

    def format_text(self) -> str:
        """Format the line as text."""
        details = "  ".join(f"{k}={v}" for k, v in self.fields.items())
        return f"{self.time}  {self.host}  {self.event}  {details}"


def parse_log_line(text: str) -> LogLine | None:
    """Parse one line; None if it is not a log line of a host.

    Text before the JSON object, as log collectors add it, is ignored.
    """
    start = text.find("{")
    if start < 0:
        return None
    try:
        record = decode_json_value(text[start:].encode(errors="replace"))
    except DocumentError:
        return None
    if not isinstance(record, dict) or "event" not in record:
        return None
    fields = {k: v for k, v in record.items() if k not in STANDARD_KEYS}
    return LogLine(
        str(record.get("time", "")),
        str(record.get("host", "")),
        str(record["event"]),
        str(record.get("request", "")),
        fields,
    )


def read_log_lines(paths: Iterable[Path]) -> Iterator[LogLine]:
    """Yield the hosts' log lines of all files; other lines are skipped."""
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                yield from (
                    line for line in map(parse_log_line, file) if line is not None
                )
        except OSError as error:
            raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error


def parse_time(text: str) -> datetime:
    """Parse the time of a log line; `datetime.min` if it cannot be parsed."""
    try:
        return datetime.fromisoformat(text.replace(",", "."))
    except ValueError:
        return datetime.min
