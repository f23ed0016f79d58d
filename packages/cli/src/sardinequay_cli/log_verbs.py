"""The verbs that read logs collected from hosts."""

import json
from argparse import Namespace
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from datetime import datetime, timedelta
from pathlib import Path
from typing import Any

from .errors import EXIT_FINDINGS, EXIT_USAGE, CommandError
from .output import Output

HIDDEN = frozenset({"time", "level", "event", "host", "request"})
BEFORE = timedelta(seconds=5)
"""Orders this long before a request's first line may be its own: it is logged when the
wait for an adapter ends."""

TARGET_EVENTS = frozenset({"target changed", "target left out", "engine holds"})


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


def explain(arguments: Namespace) -> Output:
    """Show what became of a request and why, from collected logs."""
    lines = list(read_lines(arguments.files))
    own = [line for line in lines if line.request == arguments.id]
    context = context_of(own, lines)
    chosen = sorted([*own, *context], key=lambda line: line.time)
    text = tuple(line.text() for line in chosen)
    document = {
        "id": arguments.id,
        "lines": [
            {"time": x.time, "host": x.host, "event": x.event, **x.fields}
            for x in chosen
        ],
    }
    if not own:
        return Output((f"no line tells of {arguments.id}",), document, EXIT_FINDINGS)
    return Output(text, document)


def context_of(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return what else happened to the request's targets and adapter meanwhile."""
    if not own:
        return []
    first = moment(min(x.time for x in own))
    began = first - BEFORE if first > datetime.min + BEFORE else first
    last = max(x.time for x in own)
    targets = {x.fields.get("target") for x in own}
    adapters = {x.fields["adapter"] for x in own if "adapter" in x.fields}
    return [
        line
        for line in lines
        if not line.request
        and line.time <= last
        and (
            (line.event in TARGET_EVENTS and concerns(line, own, targets))
            or (line.fields.get("subject") in adapters and moment(line.time) >= began)
        )
    ]


def moment(text: str) -> datetime:
    """Return the time of a line; the beginning of time if it has none."""
    try:
        return datetime.fromisoformat(text.replace(",", "."))
    except ValueError:
        return datetime.min


def concerns(line: LogLine, own: list[LogLine], targets: set[Any]) -> bool:
    """Return whether a line tells a request's own host of one of its targets."""
    return line.host == own[0].host and line.fields.get("target") in targets
