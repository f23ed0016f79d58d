"""A caller's connection that the HTTP library's parser sees only within bounds."""

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any

from aiohttp import StreamReader, web

from sardinequay_core.clock import Instant
from sardinequay_core.outcome import Refusal
from sardinequay_core.request_framing import (
    FramingFault,
    RequestFramer,
    RequestFramingError,
)
from sardinequay_core.serving import CallerLimits

from ..errors import BodyRefusedError

if TYPE_CHECKING:
    from .server import BoundedServer

MAX_PENDING_BYTES = 32_768
"""Bytes of a caller that wait here for their turn; with more, it is not read."""

REFUSED_LINGER_S = 0.5
"""Time for which a connection stays open after a refusal, in seconds, for its caller to
read it. As many bytes as a body may have are read and dropped meanwhile: a connection
that is closed with bytes unread is reset, and its caller may not see the refusal."""

LINGERING_S = 1.0
"""Time for which the rest of a body is read after its request was answered, in
seconds."""

MAX_PARSED_BYTES = 1 << 20
"""Bound of the library's parser on a line and on the number of headers. It only has to
be beyond what the framer lets through."""


class UnreadConnection(asyncio.Protocol):
    """Protocol of a connection that is closed before anything of it is read.

    Its caller learns at once that no request was read, and may try another host.
    """

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close the connection."""
        assert isinstance(transport, asyncio.Transport)
        transport.abort()


class BoundedConnection(web.RequestHandler):
    """Protocol of a caller's connection: bounds and orders what it sends.

    One message at a time goes to the parser; the next one waits until the answer is
    written.

    Attributes
    ----------
    idle_since : timedelta or None
        Since when no request is in flight; None while one is.
    head_began_at : timedelta or None
        When the first byte of a request came; None without one.
    content : StreamReader or None
        The body of the request in flight, once its handler has begun.
    fault : RequestFramingError or None
        What is wrong with the body of the request in flight.
    """

    def __init__(self, server: "BoundedServer", **options: Any) -> None:
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            max_line_size=MAX_PARSED_BYTES,
            max_field_size=MAX_PARSED_BYTES,
            max_headers=MAX_PARSED_BYTES,
            lingering_time=LINGERING_S,
            access_log=None,  # type: ignore[arg-type]
            auto_decompress=False,
            **options,
        )
        self.server = server
        self.framer = RequestFramer(server.framing_limits())
        self.idle_since: Instant | None = server.clock.monotonic()
        self.head_began_at: Instant | None = None
        self.content: StreamReader | None = None
        self.fault: RequestFramingError | None = None
        self.is_queued = False
        self.is_held = False
        self.is_parser_full = False
        self.lacks_bytes = True
        self.dropped_bytes = 0

    # Input.

    def data_received(self, data: bytes) -> None:
        """Take what came; the library calls it without data to parse what it kept."""
        if not data:
            super().data_received(data)
            return
        if self.framer.is_stopped:
            self.drop(len(data))
            return
        if self.framer.is_before_body:
            self.begin_head()
        self.framer.feed(data)
        self.lacks_bytes = False
        self.server.turns.offer(self)
        self.update_reading()

    def begin_head(self) -> None:
        """Record that the first byte of a request has come, unless one is in flight."""
        if self.idle_since is not None and self.head_began_at is None:
            self.head_began_at = self.server.clock.monotonic()

    def drop(self, size: int) -> None:
        """Count bytes that came after a refusal; with too many, close at once."""
        self.dropped_bytes += size
        allowed_bytes = self.framer.limits.max_body_bytes
        if self.dropped_bytes > allowed_bytes and self.transport is not None:
            self.transport.abort()

    @property
    def has_unsent_bytes(self) -> bool:
        """Return whether the caller has not taken all that was written."""
        return self.transport is not None and bool(
            self.transport.get_write_buffer_size()
        )

    @property
    def message_pieces(self) -> int:
        """Return how many steps the message in progress has taken so far."""
        return self.framer.message_pieces

    @property
    def has_input(self) -> bool:
        """Return whether there is input that can be handled now."""
        if self.lacks_bytes or self.is_parser_full or self.transport is None:
            return False
        is_answered = self.idle_since is not None
        return is_answered or not self.framer.is_between

    def handle_input(self, max_pieces: int) -> int:
        """Pass a part of the input on to the parser; return the steps that it took."""
        if not self.has_input:
            return 0
        was_before_body = self.framer.is_before_body
        try:
            part = self.framer.take(max_pieces)
        except RequestFramingError as error:
            self.refuse(error)
            return 1
        has_moved = bool(part.data or part.pieces)
        self.lacks_bytes = not (has_moved and self.framer.pending_bytes)
        if part.data:
            if was_before_body:
                self.begin_message()
            super().data_received(part.data)
        if self.framer.is_before_body and self.framer.pending_bytes:
            self.begin_head()
        self.update_reading()
        return part.pieces

    def begin_message(self) -> None:
        """Record that the head of a request is complete."""
        self.idle_since = None
        self.head_began_at = None
        self.content = None
        self.server.mark_busy(self)

    def begin_request(self, content: StreamReader) -> None:
        """Record that the handler of a request begins.

        Parameters
        ----------
        content : StreamReader
            The request's body.
        """
        self.content = content
        if self.fault is not None:
            self.fail_body(content, self.fault)

    async def finish_response(
        self, request: web.BaseRequest, resp: web.StreamResponse, start_time: Any
    ) -> tuple[web.StreamResponse, bool]:
        """Write an answer, then let the next message begin."""
        try:
            return await super().finish_response(request, resp, start_time)
        finally:
            self.end_message()

    def end_message(self) -> None:
        """Record that an answer is written, and handle what came meanwhile."""
        self.idle_since = self.server.clock.monotonic()
        if self.fault is not None and self.content is not None:
            # The rest of the body need not be waited for.
            self.content.feed_eof()
        self.content = None
        self.server.mark_waiting(self)
        self.framer.limits = self.server.framing_limits()
        if self.framer.is_stopped:
            self.close_soon()
        if self.framer.is_before_body and self.framer.pending_bytes:
            self.begin_head()
        self.server.turns.offer(self)

    # Reading.

    def update_reading(self) -> None:
        """Read from the caller only what there is room for."""
        is_full = self.framer.pending_bytes >= MAX_PENDING_BYTES
        is_body_too_large = self.framer.is_stopped and self.fault is None
        is_held = is_full or (is_body_too_large and self.idle_since is None)
        if is_held == self.is_held:
            return
        self.is_held = is_held
        if self.transport is None or self.transport.is_closing():
            return
        if is_held:
            self.transport.pause_reading()
        elif not self.is_parser_full:
            self.transport.resume_reading()

    def pause_reading(self) -> None:
        """Read no more: the handler has not taken what the parser gave it."""
        self.is_parser_full = True
        super().pause_reading()

    def resume_reading(self, resume_parser: bool = True) -> None:
        """Go on, as the handler has taken what the parser gave it."""
        self.is_parser_full = False
        super().resume_reading(resume_parser)
        if self.is_held and self.transport is not None:
            self.transport.pause_reading()
        self.server.turns.offer(self)

    # Refusals.

    def refuse(self, error: RequestFramingError) -> None:
        """Refuse what came, and close the connection."""
        is_before_body = self.framer.is_before_body
        self.framer.stop()
        self.lacks_bytes = True
        self.server.refused.count_fault(error.fault)
        if self.idle_since is None:
            self.fault = error
            if self.content is not None:
                self.fail_body(self.content, error)
        elif is_before_body:
            self.send_refusal(error.refusal)
        else:
            # The request was answered before its body had come.
            self.close_overdue()

    def fail_body(self, content: StreamReader, error: RequestFramingError) -> None:
        """Let the handler of the request in flight see that its body is refused."""
        content.set_exception(BodyRefusedError(error))
        self.close()

    def send_refusal(self, refusal: Refusal) -> None:
        """Answer in place of a handler, and close the connection soon."""
        if self.transport is None:
            return
        answer = self.server.make_refusal(refusal)
        self.transport.write(encode_last_answer(answer))
        self.close_soon()

    def close_soon(self) -> None:
        """Close the connection once its caller had time to read the refusal."""
        loop = asyncio.get_running_loop()
        loop.call_later(REFUSED_LINGER_S, self.close_overdue)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Refuse a request that the parser does not take; others are the library's."""
        if status != HTTPStatus.BAD_REQUEST:
            return super().handle_error(request, status, exc, message)
        error = RequestFramingError(FramingFault.UNPARSED)
        self.framer.stop()
        self.server.refused.count_fault(error.fault)
        answer = self.server.make_refusal(error.refusal)
        answer.headers["Connection"] = "close"
        answer.force_close()
        return answer

    # Time.

    def is_overdue(self, limits: CallerLimits, now: Instant) -> bool:
        """Return whether the caller exceeds the header timeout or the idle timeout."""
        if self.head_began_at is not None:
            return now - self.head_began_at > limits.header_timeout
        if self.idle_since is not None:
            return now - self.idle_since > limits.idle_timeout
        return False

    def close_overdue(self) -> None:
        """Close the connection, and drop what its caller has not taken.

        A connection that is only closed stays open until its caller has taken all.
        """
        transport = self.transport
        self.force_close()
        if transport is not None and transport.get_write_buffer_size():
            transport.abort()


def encode_last_answer(answer: web.Response) -> bytes:
    """Return an answer as bytes; it states that the connection is closed after it."""
    body = answer.body
    assert isinstance(body, bytes)
    status = HTTPStatus(answer.status)
    lines = [f"HTTP/1.1 {status.value} {status.phrase}"]
    lines += [f"{name}: {value}" for name, value in answer.headers.items()]
    lines += [f"Content-Length: {len(body)}", "Connection: close", "", ""]
    return "\r\n".join(lines).encode() + body
