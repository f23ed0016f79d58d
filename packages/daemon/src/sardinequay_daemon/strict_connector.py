"""Connections to targets that tell the end of an answer apart from other ends."""

import asyncio
from functools import partial
from typing import Any, ClassVar

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import HttpProcessingError, RawResponseMessage
from aiohttp.streams import StreamReader

from sardinequay_core.byte_budget import AnswerReading
from sardinequay_core.clock import Instant, seconds

from .connection_reset import reset

MAX_INTERIM_ANSWERS = 32
"""Interim answers that may come before an answer."""

RECEIVE_BYTES = 65_536
"""Size of one read from a connection. Up to twice `READ_BUFFER_BYTES` and one read are
held of an answer that is not passed on."""

READ_BUFFER_BYTES = 32_768
"""Reading of an answer pauses while twice as much of it is not passed on."""

MIN_FINAL_STATUS = 200
"""Lowest status of an answer that is no interim one."""


class BoundedResponseHandler(ResponseHandler):
    """Connection protocol that bounds what is read of an answer at once.

    aiohttp reads interim answers without end, and keeps those that nobody asked for.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.interim_answers = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound how much one read takes."""
        if hasattr(transport, "max_size"):
            transport.max_size = RECEIVE_BYTES
        super().connection_made(transport)

    def set_response_params(self, **params: Any) -> None:
        """Expect the answer to a further request, and forget the one before."""
        self._payload = None
        super().set_response_params(**params)

    def feed_data(
        self, data: tuple[RawResponseMessage, StreamReader], size: int = 0
    ) -> None:
        """Take the head of an answer; end the connection after too many of them.

        Answers that nobody asked for count as interim ones do, as nobody takes them.
        """
        is_interim = data[0].code < MIN_FINAL_STATUS
        self.interim_answers = self.interim_answers + 1 if is_interim else 0
        if max(self.interim_answers, len(self)) <= MAX_INTERIM_ANSWERS:
            super().feed_data(data, size)
        elif self.transport is not None and not self.transport.is_closing():
            self.set_exception(HttpProcessingError(message="too many interim answers"))
            self.transport.abort()

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

    It also detects unsolicited answers, and records when the answer was read.

    aiohttp takes any end of a connection for the end of an answer without a length. It
    also reuses an idle connection on which an unsolicited answer has arrived.

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

    def is_connected(self) -> bool:
        """Return whether the connection can take another request."""
        return super().is_connected() and not self.should_close


class BoundedConnector(aiohttp.TCPConnector):
    """Connector whose connections use `BoundedResponseHandler`."""

    handler_type: ClassVar[type[BoundedResponseHandler]] = BoundedResponseHandler

    def __init__(self, source_ip: str, **options: Any) -> None:
        super().__init__(limit=0, local_addr=(source_ip, 0), **options)
        self._factory = partial(self.handler_type, loop=self._loop)  # type: ignore[assignment]


class StrictConnector(BoundedConnector):
    """Connector to targets whose connections use `StrictResponseHandler`."""

    handler_type = StrictResponseHandler
