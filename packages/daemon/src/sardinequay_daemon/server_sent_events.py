"""Reading of server-sent events from a stream, with their bytes unchanged.

References
----------
WHATWG, "HTML Living Standard", section "Server-sent events", parsing an event stream.
"""

import re
from dataclasses import dataclass

EVENT_END = b"\n\n"
"""End of an event in streams that this program writes."""

BYTE_ORDER_MARK = b"\xef\xbb\xbf"
LINE_END = re.compile(rb"\r\n|\n|\r")
RESUMABLE_ID = re.compile(rb"[\x21-\x7e]{1,200}")
"""Ids that can be sent in a header, to resume a stream after them."""

DONE_DATA = b"[DONE]"
MAX_EVENT_BYTES = 1_048_576
MAX_IDLE_BYTES = 16_384
"""Bytes of comments, and of events without data or id, that may follow one another.
Those that keep a stream alive take a few a second."""

COMPARED_LINES = 2
"""Lines of data that are kept of an event, to tell whether it is the last."""


@dataclass(frozen=True, slots=True)
class Field:
    """One line of an event; its name is empty if it is a comment."""

    name: bytes
    value: bytes


@dataclass(frozen=True, slots=True)
class EventBatch:
    """One or more whole events, as received.

    Parameters
    ----------
    data : bytes
        The bytes of the events.
    first_id, last_id : int
        Numbers of the first and the last numbered event; 0 if none has one.
    done : bool
        Whether the last event of the stream is among them.
    resume_after : str or None
        Id after which the stream can be resumed; empty if the last event has none, and
        None if there are only comments.
    """

    data: bytes
    first_id: int
    last_id: int
    done: bool
    resume_after: str | None = None


def parse_line(line: bytes) -> Field:
    """Return the field that a line without its end contains."""
    name, _, value = line.partition(b":")
    return Field(name, value.removeprefix(b" "))


class EventReader:
    """Buffers the bytes of a stream until they form whole events.

    Attributes
    ----------
    unfinished : bytes
        What was received of an event whose end was not.
    """

    def __init__(self) -> None:
        self.unfinished = b""
        self.line_start = 0
        self.search_from = 0
        self.ends_by_carriage_return = False
        self.is_at_start = True
        self.idle_bytes = 0
        self.begin_event()
        self.begin_batch()

    def begin_event(self) -> None:
        """Forget the fields of the event before."""
        self.has_fields = False
        self.event_id: bytes | None = None
        self.data_lines: list[bytes] = []

    def begin_batch(self) -> None:
        """Forget the ids of the events that were returned."""
        self.first_id = 0
        self.last_id = 0
        self.is_done = False
        self.resume_after: str | None = None

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete, if any.

        Raises
        ------
        ValueError
            If an unfinished event exceeds `MAX_EVENT_BYTES`, or what comes between two
            events `MAX_IDLE_BYTES`.
        """
        self.unfinished += data
        end = 0
        while (line_end := self.next_line_end()) is not None:
            line = self.unfinished[self.line_start : line_end.start()]
            self.ends_by_carriage_return = line_end.group() == b"\r"
            line_bytes = line_end.end() - self.line_start
            self.line_start = self.search_from = line_end.end()
            if self.is_event_boundary(line):
                end = self.line_start
            self.count_idle_bytes(line_bytes)
        if len(self.unfinished) - end > MAX_EVENT_BYTES:
            raise ValueError(f"an event exceeds {MAX_EVENT_BYTES} bytes")
        return self.take_batch(end) if end else None

    def count_idle_bytes(self, size: int) -> None:
        """Count the bytes of a line that was handled, up to one with data or an id.

        Raises
        ------
        ValueError
            If they exceed `MAX_IDLE_BYTES`.
        """
        self.idle_bytes += size
        if self.data_lines or self.event_id is not None:
            self.idle_bytes = 0
        elif self.idle_bytes > MAX_IDLE_BYTES and not self.has_fields:
            raise ValueError(f"no event in {self.idle_bytes} bytes")

    def next_line_end(self) -> re.Match[bytes] | None:
        """Return the next end of a line, unless more bytes may belong to it.

        A carriage return may be followed by a line feed that belongs to it, unless the
        line before has ended in a carriage return alone.
        """
        found = LINE_END.search(self.unfinished, self.search_from)
        if found is None:
            self.search_from = len(self.unfinished)
            return None
        is_last_byte = found.end() == len(self.unfinished)
        if found.group() == b"\r" and is_last_byte and not self.ends_by_carriage_return:
            self.search_from = found.start()
            return None
        return found

    def is_event_boundary(self, line: bytes) -> bool:
        """Handle a line; return whether the stream is between two events after it."""
        if self.is_at_start:
            line = line.removeprefix(BYTE_ORDER_MARK)
            self.is_at_start = False
        if not line:
            self.end_event()
            return True
        field = parse_line(line)
        if not field.name:
            return not self.has_fields
        self.has_fields = True
        if field.name == b"id" and b"\0" not in field.value:
            self.event_id = field.value
        elif field.name == b"data" and len(self.data_lines) < COMPARED_LINES:
            self.data_lines.append(field.value)
        return False

    def end_event(self) -> None:
        """Add the event that has ended to the batch."""
        event_id = self.event_id
        if event_id is not None and event_id.isdigit():
            self.last_id = int(event_id)
            self.first_id = self.first_id or self.last_id
        if event_id is not None and RESUMABLE_ID.fullmatch(event_id):
            self.resume_after = event_id.decode()
        elif self.data_lines or event_id is not None:
            self.resume_after = ""
        self.is_done = self.is_done or self.data_lines == [DONE_DATA]
        self.begin_event()

    def take_batch(self, end: int) -> EventBatch:
        """Return the events up to a position, and keep what follows."""
        whole, self.unfinished = self.unfinished[:end], self.unfinished[end:]
        self.line_start -= end
        self.search_from -= end
        batch = EventBatch(
            whole, self.first_id, self.last_id, self.is_done, self.resume_after
        )
        self.begin_batch()
        return batch


def event_payloads(data: bytes) -> list[bytes]:
    """Return the data of each of some whole events that has any."""
    payloads: list[bytes] = []
    data_lines: list[bytes] = []
    for line in LINE_END.split(data):
        field = parse_line(line)
        if field.name == b"data":
            data_lines.append(field.value)
        elif not line and data_lines:
            payloads.append(b"\n".join(data_lines))
            data_lines = []
    return payloads
