"""Connections on which answers are judged, and their ends told apart.

Every answer that a host takes, of targets and of the platform's services, comes over
these connections.
"""

import asyncio
from functools import partial
from typing import Any, ClassVar

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError
from aiohttp.streams import StreamReader

from sardinequay_core.answer_framing import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    AnswerFault,
    AnswerFramer,
    AnswerFramingError,
)
from sardinequay_core.byte_budget import AnswerReading
from sardinequay_core.clock import Instant, seconds

from .connection_reset import reset

RECEIVE_BYTES = 65_536
"""Size of one read from a connection. Up to twice `READ_BUFFER_BYTES` and one read are
held of an answer that is not passed on."""

READ_BUFFER_BYTES = 32_768
"""Reading of an answer pauses while twice as much of it is not passed on."""

MAX_PARSED_LINES = MAX_FIELDS + 8
"""Lines of a head that the parser takes: more than the framer lets through."""


class BoundedResponseHandler(ResponseHandler):
    """Connection protocol whose parser sees sound answers only, one for each request.

    All bytes pass the framer first, so that both of aiohttp's parsers come to the same.
    A refused answer ends the connection, and so do bytes that belong to no answer.

    Attributes
    ----------
    framer : AnswerFramer or None
        Judges the answer to the request in progress, or the last one; None before the
        first request.
    refusal : Exception or None
        Why the answer was refused.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.framer: AnswerFramer | None = None
        self.refusal: Exception | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how much one read takes."""
        if hasattr(transport, "max_size"):
            transport.max_size = RECEIVE_BYTES
        super().connection_made(transport)

    def set_response_params(self, *, skip_payload: bool = False, **params: Any) -> None:
        """Expect the answer to a further request, and forget the one before."""
        self._payload = None
        self.framer = AnswerFramer(has_body=not skip_payload)
        params |= {"max_line_size": MAX_HEAD_BYTES, "max_field_size": MAX_HEAD_BYTES}
        params["max_headers"] = MAX_PARSED_LINES
        super().set_response_params(skip_payload=skip_payload, **params)

    def data_received(self, data: bytes) -> None:
        """Judge received bytes and let the parser have those of a sound answer.

        No bytes are received when aiohttp lets its parser go on after a pause.
        """
        if not data:
            super().data_received(data)
            return
        if self.framer is None or self.framer.has_ended or self.refusal is not None:
            self.end_by_excess()
            return
        framed = self.framer.feed(data)
        if framed.data:
            super().data_received(framed.data)
        if framed.fault is not None:
            self.refuse(framed.fault)
        elif framed.has_excess:
            self.end_by_excess()

    def refuse(self, fault: AnswerFault) -> None:
        """End the connection of an answer that is none, and fail its reader."""
        detail = str(AnswerFramingError(fault))
        self.refusal = HttpProcessingError(message=detail)
        self.set_exception(self.refusal)
        fail_unless_whole(self._payload, detail)
        if self.transport is not None:
            self.transport.abort()

    def set_exception(self, exc: BaseException, *cause: BaseException) -> None:
        """Fail the reader of the next head; a refusal stays the reason."""
        super().set_exception(self.refusal or exc, *cause)

    def end_by_excess(self) -> None:
        """Close the connection after bytes that belong to no answer."""
        self.force_close()
        if self.transport is not None:
            self.transport.close()

    def is_connected(self) -> bool:
        """Return whether the connection can take another request."""
        return super().is_connected() and not self.should_close

    def close(self) -> None:
        """Close the connection; reset it while an answer is due.

        The call was given up then. On a lost path a request would else reach the target
        once the path is back, beside its repeats, and an order after those of the next
        host that orders the engine.
        """
        transport, payload = self.transport, self._payload
        is_complete = payload is not None and payload.is_eof()
        if isinstance(transport, asyncio.Transport) and not is_complete:
            reset(transport)
        super().close()


def fail_unless_whole(payload: StreamReader | None, detail: str) -> None:
    """Raise an error in the reader of an answer, unless it is whole or has failed."""
    if payload is None or payload.is_eof() or payload.exception() is not None:
        return
    payload.set_exception(aiohttp.ClientPayloadError(detail))


class StrictResponseHandler(BoundedResponseHandler):
    """Connection protocol that detects ends of answers that are not whole.

    It also records when the answer was read.

    aiohttp takes any end of a connection for the end of an answer without a length.

    Attributes
    ----------
    reading : AnswerReading
        When the answer to the last request was read.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.reading = AnswerReading()

    def now(self) -> Instant:
        """Return the time of the event loop, by which reading is recorded."""
        return seconds(self._loop.time())

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to a further request."""
        self.reading = AnswerReading()
        super().set_response_params(**params)

    def pause_reading(self) -> None:
        """Read no further, as the caller does not take what was read."""
        self.reading.pause(self.now())
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Read on."""
        self.reading.resume(self.now())
        super().resume_reading(resume_parser)

    def eof_received(self) -> None:
        """Record that the target has closed the connection."""
        self.reading.end(self.now())
        super().eof_received()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Raise an error in the reader of an answer that ended before it was whole."""
        payload = self._payload
        if exc is not None:
            self.reading.end(self.now())
            fail_unless_whole(payload, f"reset: {exc!r}")
        super().connection_lost(exc)
        # After bytes that are no chunk aiohttp drops the answer without an error.
        fail_unless_whole(payload, "ended inside the answer")


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections use `BoundedResponseHandler`.

    Parameters
    ----------
    source_ip : str or None
        Source address of the connections; None to leave it open.
    """

    handler_type: ClassVar[type[BoundedResponseHandler]] = BoundedResponseHandler

    def __init__(self, source_ip: str | None, **options: Any) -> None:
        local_addr = None if source_ip is None else (source_ip, 0)
        super().__init__(limit=0, local_addr=local_addr, **options)
        self._factory = partial(self.handler_type, loop=self._loop)  # type: ignore[assignment]


class StrictConnector(BoundedConnector):
    """Connector to targets whose connections use `StrictResponseHandler`."""

    handler_type = StrictResponseHandler
