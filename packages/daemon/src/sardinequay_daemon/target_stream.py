"""Reading of a target's answer up to its end, and what proves that it is whole.

An answer may end with its connection. For a stream of events that end proves something
only between two events; for any other answer without a length it proves nothing.
"""

from collections.abc import AsyncGenerator, Awaitable, Callable
from enum import Enum

import aiohttp

from .errors import TargetError, TargetFault
from .server_sent_events import EventBatch, EventReader
from .target_errors import TargetErrorTranslator

EVENT_STREAM = "text/event-stream"
ReadChunk = Callable[[], Awaitable[bytes]]
"""Returns the next bytes of an answer; empty at its end."""


class Framing(Enum):
    """What tells the end of an answer."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


def framing_of(answer: aiohttp.ClientResponse) -> Framing:
    """Return what tells the end of an answer, by its headers."""
    if "Transfer-Encoding" in answer.headers:
        return Framing.CHUNKS
    if answer.content_length is not None:
        return Framing.LENGTH
    return Framing.CONNECTION


def is_event_stream(answer: aiohttp.ClientResponse) -> bool:
    """Return whether a stream's answer consists of events; an error may be a text."""
    is_declared = answer.headers.get("Content-Type", EVENT_STREAM)
    return answer.ok and is_declared.partition(";")[0].strip().lower() == EVENT_STREAM


async def read_events(
    answer: aiohttp.ClientResponse, read_chunk: ReadChunk | None = None
) -> AsyncGenerator[EventBatch, None]:
    """Yield whole events of an answer as they arrive.

    Parameters
    ----------
    read_chunk : callable or None
        Reads the answer, where more than its end bounds that.

    Raises
    ------
    TargetError
        If the answer ends before it is whole.
    """
    reader = EventReader()
    read_chunk = read_chunk or answer.content.readany
    is_empty = True
    with TargetErrorTranslator():
        while data := await read_chunk():
            batch = reader.feed(data)
            if batch is not None:
                is_empty = is_empty and batch.resume_after is None
                yield batch
    if reader.unfinished:
        detail = f"ended inside an event, after {len(reader.unfinished)} of its bytes"
        raise TargetError(TargetFault.BROKEN, detail)
    if is_empty and framing_of(answer) is Framing.CONNECTION:
        raise TargetError(TargetFault.BROKEN, "ended before the first event")
