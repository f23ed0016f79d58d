"""Remote calls between entry hosts over streams of msgpack frames.

While calls are pending on a link, its calling end sends keepalive frames. If no frame
arrives within the silence timeout, the link is closed and its calls fail; the next call
opens a new link. A connection that breaks without a reset therefore costs one silence
timeout and not the whole time of a request. A link without calls is closed after an
idle timeout: among hundreds of hosts most pairs exchange nothing after the start.
"""

import asyncio
import contextlib
import itertools
import logging
import ssl
from collections.abc import AsyncIterator, Awaitable, Callable
from typing import Any

from returns.result import Failure, Result, Success

from sardinequay_core.names import Address

from .errors import PeerError
from .metrics import HostMetrics
from .shared_settings import TimingSettings
from .unforeseen import record_unforeseen
from .wire import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    decode_message,
    encode_frame,
    encode_message,
)

READ_BYTES = 65_536
KEEPALIVES_PER_SILENCE = 4
"""Keepalive frames sent within one silence timeout, so that a pause of the peer that
delays one of them does not close the link."""

LINK_IDLE_TIMEOUT_S = 5.0
"""Time after its last call until a link is closed, in seconds. It is several times the
longest period between two exchanges of hosts that keep exchanging digests."""

SERVED_IDLE_TIMEOUT_S = 4 * LINK_IDLE_TIMEOUT_S
"""Time without a frame until the called end of a link is closed, in seconds: the
calling end closes it sooner, unless it is gone without a trace."""

MAX_TAG_CHARS = 100
MAX_DETAIL_CHARS = 500
"""Most of a message's tag, and of an error's text, that is logged or sent back."""

RequestHandler = Callable[[Any], Awaitable[Any]]
log = logging.getLogger(__name__)


class PeerConnection:
    """Common part of both ends of a link: writes and counts frames."""

    def __init__(self, writer: asyncio.StreamWriter, metrics: HostMetrics) -> None:
        self.writer = writer
        self.metrics = metrics

    def send(self, frame: Frame) -> None:
        """Write a frame to the transport, which buffers it."""
        data = encode_frame(frame)
        labels = {"message": frame.tag or frame.kind.name.lower()}
        self.metrics.peer_bytes.add(labels, len(data))
        self.metrics.peer_messages.inc(labels)
        self.writer.write(data)

    def close(self) -> None:
        """Abort the connection without waiting for the peer."""
        with contextlib.suppress(OSError, RuntimeError):
            self.writer.transport.abort()

    async def wait_closed(self) -> None:
        """Wait until the connection is closed, for whatever reason.

        A reset is stored in the stream as an exception. If it is not retrieved here,
        the event loop may log it as an exception that was never retrieved.
        """
        with contextlib.suppress(OSError):
            await self.writer.wait_closed()


class PeerStream(PeerConnection):
    """Called end of a connection that one request has to itself."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        metrics: HostMetrics,
        frames: FrameReader,
        correlation: int,
    ) -> None:
        super().__init__(writer, metrics)
        self.reader = reader
        self.frames = frames
        self.correlation = correlation

    def reply(self, message: Any) -> None:
        """Send the reply to the request."""
        self.send(encode_message(FrameKind.REPLY, self.correlation, message))

    async def read_frames(self) -> AsyncIterator[Frame]:
        """Yield the frames that follow the request, until the peer closes.

        Raises
        ------
        OSError
            If the connection breaks.
        """
        while data := await self.reader.read(READ_BYTES):
            for frame in self.frames.feed(data):
                yield frame

    async def drain(self) -> None:
        """Wait until the peer has read enough of what was sent."""
        await self.writer.drain()

    async def finish(self) -> None:
        """Send what is buffered and close the connection.

        Who waits for the same end must not be cancelled together with this.
        """
        self.writer.close()
        await asyncio.shield(self.wait_closed())


class PeerLink(PeerConnection):
    """Calling end of a connection to another host.

    Parameters
    ----------
    silence_s : float
        Silence timeout: without a frame for so long, pending calls fail, in seconds.
    idle_s : float
        Time without calls after which the link is closed, in seconds.
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        metrics: HostMetrics,
        silence_s: float,
        idle_s: float = LINK_IDLE_TIMEOUT_S,
    ) -> None:
        super().__init__(writer, metrics)
        self.reader = reader
        self.silence_s = silence_s
        self.idle_s = idle_s
        self.call_started = asyncio.Event()
        self.call_numbers = itertools.count(1)
        self.pending_calls: dict[int, asyncio.Future[Any]] = {}
        self.last_received_at = asyncio.get_running_loop().time()
        self.has_unanswered_frames = False
        self.tasks = (
            asyncio.create_task(self.receive_replies()),
            asyncio.create_task(self.monitor_silence()),
        )
        self.is_open = True

    async def call(self, message: Any) -> Any:
        """Send a request and wait for its reply."""
        call_number = next(self.call_numbers)
        future = asyncio.get_running_loop().create_future()
        if not self.awaits_frames:
            self.last_received_at = asyncio.get_running_loop().time()
        self.has_unanswered_frames = True
        self.pending_calls[call_number] = future
        self.call_started.set()
        try:
            self.send(encode_message(FrameKind.REQUEST, call_number, message))
            return await future
        finally:
            self.pending_calls.pop(call_number, None)

    async def receive_replies(self) -> None:
        """Read frames and complete the pending calls, until the connection ends."""
        frames = FrameReader()
        try:
            while data := await self.reader.read(READ_BYTES):
                self.last_received_at = asyncio.get_running_loop().time()
                self.has_unanswered_frames = False
                for frame in frames.feed(data):
                    self.complete_call(frame)
            self.close_with_error("closed by the peer")
        except (OSError, FrameError) as error:
            self.close_with_error(str(error))
        except Exception as error:
            record_unforeseen(self.metrics, "reply of a peer", "", error)
            self.close_with_error(repr(error))
        await self.wait_closed()

    def complete_call(self, frame: Frame) -> None:
        """Complete the pending call that a reply or failure frame belongs to."""
        future = self.pending_calls.get(frame.correlation)
        if future is None or future.done() or frame.kind is FrameKind.ALIVE:
            return
        if frame.kind is not FrameKind.REPLY:
            detail = frame.body.decode(errors="replace")
            future.set_exception(PeerError("", detail))
            return
        try:
            future.set_result(decode_message(frame))
        except FrameError as error:
            # Other calls on this link go on.
            future.set_exception(error)

    @property
    def awaits_frames(self) -> bool:
        """Return whether the peer owes a frame.

        It still does when a call has given up: otherwise a silent link would never be
        closed while its calls are shorter than the silence timeout.
        """
        return bool(self.pending_calls) or self.has_unanswered_frames

    async def monitor_silence(self) -> None:
        """Send keepalives while the peer owes a frame; fail the calls on silence."""
        while self.is_open:
            if not self.awaits_frames and not await self.wait_for_call():
                self.close_with_error("idle")
                return
            await asyncio.sleep(self.silence_s / KEEPALIVES_PER_SILENCE)
            if not self.awaits_frames:
                continue
            silent_s = asyncio.get_running_loop().time() - self.last_received_at
            if silent_s > self.silence_s:
                self.close_with_error(f"silent for {silent_s:.1f} s")
                return
            self.send(Frame(FrameKind.ALIVE, 0))

    async def wait_for_call(self) -> bool:
        """Wait for the next call; return whether one came before the idle timeout."""
        self.call_started.clear()
        try:
            async with asyncio.timeout(self.idle_s):
                await self.call_started.wait()
        except TimeoutError:
            return bool(self.pending_calls)
        return True

    def close_with_error(self, detail: str) -> None:
        """Close the link and fail its pending calls."""
        if not self.is_open:
            return
        self.is_open = False
        self.close()
        for future in self.pending_calls.values():
            if not future.done():
                future.set_exception(PeerError("", detail))

    def stop(self) -> None:
        """Close the link and cancel its tasks."""
        self.close_with_error("this host is stopping")
        for task in self.tasks:
            task.cancel()


StreamHandler = Callable[[Any, PeerStream], Awaitable[None]]


class PeerClient:
    """Calls other entry hosts, over one link to each of them.

    Parameters
    ----------
    source_ip : str
        Source address of the connections: the IP number of this host's own listener.
    """

    def __init__(
        self,
        timing: TimingSettings,
        metrics: HostMetrics,
        source_ip: str,
        tls: ssl.SSLContext | None = None,
        idle_s: float = LINK_IDLE_TIMEOUT_S,
    ) -> None:
        self.timing = timing
        self.metrics = metrics
        self.source = (source_ip, 0)
        self.tls = tls
        self.idle_s = idle_s
        self.links: dict[Address, PeerLink] = {}
        self.connect_locks: dict[Address, asyncio.Lock] = {}

    async def call(
        self, address: Address, message: Any, timeout_s: float | None = None
    ) -> Result[Any, PeerError]:
        """Send a request and wait for its reply, by default up to the call timeout."""
        bound_s = self.timing.call_timeout_s if timeout_s is None else timeout_s
        try:
            async with asyncio.timeout(bound_s):
                link = await self.open_link(address)
                return Success(await link.call(message))
        except TimeoutError:
            return Failure(PeerError(str(address), f"no answer in {bound_s} s"))
        except PeerError as error:
            return Failure(PeerError(str(address), error.detail))
        except (OSError, FrameError) as error:
            return Failure(PeerError(str(address), str(error)))

    async def open_link(self, address: Address) -> PeerLink:
        """Return the open link to a host, or open one."""
        async with self.connect_locks.setdefault(address, asyncio.Lock()):
            link = self.links.get(address)
            if link is None or not link.is_open:
                if link is not None:
                    link.stop()
                link = self.links[address] = await self.connect(address)
            return link

    async def connect(self, address: Address) -> PeerLink:
        """Connect to a host and return the link."""
        async with asyncio.timeout(self.timing.connect_timeout_s):
            reader, writer = await asyncio.open_connection(
                address.ip, address.port, ssl=self.tls, local_addr=self.source
            )
        link = PeerLink(
            reader, writer, self.metrics, self.timing.silence_s, self.idle_s
        )
        link.tasks[0].add_done_callback(lambda _: self.drop_link(address, link))
        return link

    def drop_link(self, address: Address, link: PeerLink) -> None:
        """Remove a link that has ended."""
        if self.links.get(address) is link:
            del self.links[address]

    def close(self) -> None:
        """Close all links."""
        for link in self.links.values():
            link.stop()


class PeerServer:
    """Serves the calls of other entry hosts."""

    def __init__(self, metrics: HostMetrics) -> None:
        self.metrics = metrics
        self.handlers: dict[type, RequestHandler] = {}
        self.stream_handlers: dict[str, StreamHandler] = {}
        self.connections: set[PeerConnection] = set()

    def register(self, message_type: type, handler: RequestHandler) -> None:
        """Register the handler of a request type."""
        self.handlers[message_type] = handler

    def register_stream(self, message_type: type, handler: StreamHandler) -> None:
        """Register the handler of a request that gets its connection to itself."""
        self.stream_handlers[message_type.__name__] = handler

    async def start(
        self, address: Address, tls: ssl.SSLContext | None = None
    ) -> asyncio.Server:
        """Listen for connections of other hosts."""
        return await asyncio.start_server(
            self.serve_connection, address.ip, address.port, ssl=tls
        )

    async def serve_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection until it ends, then cancel its unfinished requests."""
        connection = PeerConnection(writer, self.metrics)
        self.connections.add(connection)
        frames, request_tasks = FrameReader(), set[asyncio.Task[None]]()
        try:
            while data := await self.read_served(reader):
                for frame in frames.feed(data):
                    if frame.tag in self.stream_handlers:
                        stream = PeerStream(
                            reader, writer, self.metrics, frames, frame.correlation
                        )
                        await self.serve_stream(stream, frame)
                        return
                    self.start_request(connection, frame, request_tasks)
        except (OSError, FrameError) as error:
            log.info("peer connection ended", extra={"error": str(error)})
        finally:
            for task in request_tasks:
                task.cancel()
            self.connections.discard(connection)
            connection.close()
            await connection.wait_closed()

    async def read_served(self, reader: asyncio.StreamReader) -> bytes:
        """Read from a connection that was accepted.

        Raises
        ------
        TimeoutError
            If nothing came for so long that the calling end would have closed it.
        """
        async with asyncio.timeout(SERVED_IDLE_TIMEOUT_S):
            return await reader.read(READ_BYTES)

    async def serve_stream(self, stream: PeerStream, frame: Frame) -> None:
        """Let the handler of a request use its connection until it returns."""
        await self.stream_handlers[frame.tag](decode_message(frame), stream)

    def start_request(
        self,
        connection: PeerConnection,
        frame: Frame,
        request_tasks: set[asyncio.Task[None]],
    ) -> None:
        """Start a task that handles a request; send a keepalive frame back at once."""
        if frame.kind is FrameKind.ALIVE:
            connection.send(frame)
            return
        task = asyncio.create_task(self.handle_request(connection, frame))
        request_tasks.add(task)
        task.add_done_callback(request_tasks.discard)

    async def handle_request(self, connection: PeerConnection, frame: Frame) -> None:
        """Call the handler of one request and send its reply or a failure."""
        try:
            reply = await self.reply_to(frame)
        except FrameError as error:
            log.warning(
                "request of a peer not served",
                extra={"tag": frame.tag[:MAX_TAG_CHARS], "detail": str(error)},
            )
            reply = failure_frame(frame, str(error))
        except Exception as error:
            record_unforeseen(self.metrics, "request of a peer", frame.tag, error)
            reply = failure_frame(frame, repr(error))
        connection.send(reply)

    async def reply_to(self, frame: Frame) -> Frame:
        """Return the reply of a request's handler; raise `FrameError` if malformed."""
        message = decode_message(frame)
        handler = self.handlers.get(type(message))
        if handler is None:
            raise FrameError(f"{frame.tag} is no request")
        reply = await handler(message)
        return encode_message(FrameKind.REPLY, frame.correlation, reply)

    def close(self) -> None:
        """Close all connections."""
        for connection in list(self.connections):
            connection.close()


def failure_frame(request: Frame, detail: str) -> Frame:
    """Return the frame that tells a peer why its request has no reply."""
    body = detail[:MAX_DETAIL_CHARS].encode(errors="replace")
    return Frame(FrameKind.FAILURE, request.correlation, "", body)
