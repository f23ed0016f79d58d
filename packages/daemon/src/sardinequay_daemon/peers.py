"""Remote calls between entry hosts over streams of msgpack frames.

`PeerClient` calls over one link to each host (`peer_link`), and `PeerServer` answers.
"""

import asyncio
import logging
import ssl
from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Failure, Result, Success

from sardinequay_core.names import Address

from .errors import PeerError
from .metrics import HostMetrics
from .peer_link import (
    LINK_IDLE_TIMEOUT_S,
    READ_BYTES,
    PeerConnection,
    PeerLink,
    PeerStream,
)
from .shared_settings import TimingSettings
from .unforeseen import record_unforeseen
from .wire import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    decode_message,
    encode_message,
)

SERVED_IDLE_TIMEOUT_S = 4 * LINK_IDLE_TIMEOUT_S
"""Time without a frame until the called end of a link is closed, in seconds: the
calling end closes it sooner, unless it is gone without a trace."""

MAX_TAG_CHARS = 100
MAX_DETAIL_CHARS = 500
"""Most of a message's tag, and of an error's text, that is logged or sent back."""

RequestHandler = Callable[[Any], Awaitable[Any]]
log = logging.getLogger(__name__)


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
        self.is_closed = False
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
        """Connect to a host and return the link.

        Raises
        ------
        PeerError
            If this client is closed.
        """
        if self.is_closed:
            raise PeerError(str(address), "this host is stopping")
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
        """Close all links, and open no more."""
        self.is_closed = True
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
            # Nothing else of the frame is sent back, or becomes a label of a metric.
            connection.send(Frame(FrameKind.ALIVE, frame.correlation))
            return
        task = asyncio.create_task(self.handle_request(connection, frame))
        request_tasks.add(task)
        task.add_done_callback(request_tasks.discard)

    async def handle_request(self, connection: PeerConnection, frame: Frame) -> None:
        """Call the handler of one request and send its reply or a failure."""
        try:
            reply = await self.reply_to(frame)
        except FrameError as error:
            log.info(
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
