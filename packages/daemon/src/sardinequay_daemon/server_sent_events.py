"""Splitting of a stream into whole server-sent events, with their bytes unchanged."""

from dataclasses import dataclass

EVENT_END = b"\n\n"
ID_FIELD = b"id: "
DONE = b"data: [DONE]"
MAX_EVENT_BYTES = 1_048_576


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
    """

    data: bytes
    first_id: int
    last_id: int
    done: bool


class EventSplitter:
    """Buffers the bytes of a stream until they form whole events."""

    def __init__(self) -> None:
        self.remainder = b""

    def feed(self, data: bytes) -> EventBatch | None:
        """Add bytes and return the events that they complete, if any."""
        data = self.remainder + data
        end = data.rfind(EVENT_END)
        if end < 0:
            self.remainder = data
            if len(data) > MAX_EVENT_BYTES:
                raise ValueError("an event exceeds its limit")
            return None
        whole, self.remainder = data[: end + 2], data[end + 2 :]
        first = whole.find(ID_FIELD)
        last = whole.rfind(ID_FIELD)
        return EventBatch(
            whole, event_id_at(whole, first), event_id_at(whole, last), DONE in whole
        )


def event_id_at(data: bytes, position: int) -> int:
    """Return the number after an ``id`` field at a position; 0 if there is none."""
    if position < 0:
        return 0
    start = position + len(ID_FIELD)
    digits = data[start : data.find(b"\n", start)]
    return int(digits) if digits.isdigit() else 0


def event_data(event: bytes) -> bytes:
    """Return the data of one event; empty for a comment."""
    lines = event.split(b"\n")
    return b"\n".join(x[len(b"data: ") :] for x in lines if x.startswith(b"data: "))
