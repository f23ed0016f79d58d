"""Connections to targets that this host opens for peers without a path of their own.

This host passes bytes on. The peer chooses the target, and counts the request and
judges the answer as if it had connected by itself. Only what the target states to the
host that it sees, which is this one, is read here, too.
"""

import asyncio
import logging
from collections.abc import Callable
from functools import partial

from returns.result import Success

from sardinequay_core.names import Address, TargetId, parse_address

from .answer_head import HeadReader, HttpHead
from .connection_reset import reset
from .path_messages import OpenTunnel, TunnelReply
from .peer_link import PeerStream
from .serving_metrics import ServingMetrics
from .statements.tunnel_gate import TunnelGate
from .wire import Frame, FrameKind

CONNECT_S = 0.15
"""Timeout for opening a connection to a target, in seconds: the asking host tries other
peers within the time of its request."""

MAX_TUNNELS = 256
"""Tunnels open at once: two descriptors each, and buffers on both sides."""

IDLE_TIMEOUT_S = 120.0
"""Time without a byte in either direction after which a tunnel is closed, in seconds,
for peers that vanish without a word."""

FIRST_BYTES_TIMEOUT_S = 0.25
"""Time within which a peer has to send its request, in seconds: what the target states
later would not have been asked for."""

READ_BYTES = 65_536
log = logging.getLogger(__name__)


class TunnelServer:
    """Opens connections to listed targets for peers, and passes bytes on.

    Parameters
    ----------
    source_ip : str
        Source address of the connections to targets.
    is_target : callable
        Returns whether a target is listed at an address: no other one is connected to.
    gate : TunnelGate
        Knows what targets have stated to this host.
    """

    def __init__(
        self,
        source_ip: str,
        is_target: Callable[[Address], bool],
        metrics: ServingMetrics,
        gate: TunnelGate,
    ) -> None:
        self.source = (source_ip, 0)
        self.gate = gate
        self.is_target = is_target
        self.metrics = metrics
        self.is_closing = False
        self.open_tunnels = 0

    async def serve(self, message: OpenTunnel, stream: PeerStream) -> None:
        """Open a connection for a peer and pass bytes on until either end closes it."""
        if self.open_tunnels >= MAX_TUNNELS or self.is_closing:
            detail = "stopping" if self.is_closing else "too many tunnels"
            self.refuse(message, stream, TunnelReply(False, detail))
            return
        self.open_tunnels += 1
        try:
            await self.serve_counted(message, stream)
        finally:
            self.open_tunnels -= 1

    async def serve_counted(self, message: OpenTunnel, stream: PeerStream) -> None:
        """Connect to the target and pass bytes on, within the bound on tunnels."""
        address = parse_address(message.address)
        if not isinstance(address, Success) or not self.is_target(address.unwrap()):
            self.refuse(
                message, stream, TunnelReply(False, "no target is listed there")
            )
            return
        obstacle = self.gate.find_obstacle(message.target)
        if obstacle is not None:
            detail = f"the target wants no request of this host: {obstacle.kind.value}"
            self.refuse(message, stream, TunnelReply(False, detail))
            return
        try:
            reader, writer = await self.connect(address.unwrap())
        except OSError as error:
            reply = TunnelReply(False, repr(error), is_unreached=True)
            self.refuse(message, stream, reply)
            return
        self.record("opened", message, "")
        stream.reply(TunnelReply(True))
        try:
            await self.pass_on(stream, reader, writer, message.target)
        finally:
            writer.transport.abort()

    async def connect(
        self, address: Address
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        """Open a connection to a target; a timeout is an `OSError`, too."""
        async with asyncio.timeout(CONNECT_S):
            return await asyncio.open_connection(
                address.ip, address.port, local_addr=self.source
            )

    def refuse(
        self, message: OpenTunnel, stream: PeerStream, reply: TunnelReply
    ) -> None:
        """Reply that there is no tunnel, and why."""
        self.record("refused", message, reply.detail)
        stream.reply(reply)

    def record(self, result: str, message: OpenTunnel, detail: str) -> None:
        """Log and count a request for a tunnel."""
        self.metrics.tunnels_served.inc({"result": result})
        log.info(
            f"tunnel {result}",
            extra={
                "request": message.request_id,
                "peer": message.host_id,
                "address": message.address,
                "open": self.open_tunnels,
                "detail": detail,
            },
        )

    async def pass_on(
        self,
        stream: PeerStream,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target: TargetId,
    ) -> None:
        """Pass bytes on in both directions until either end closes the connection."""
        last_byte = LastByte()
        record_head = partial(self.gate.record_head, target)
        tasks = {
            asyncio.create_task(pass_requests_on(stream, writer, last_byte)),
            asyncio.create_task(
                pass_answers_on(stream, reader, last_byte, record_head)
            ),
            asyncio.create_task(last_byte.wait_until_idle()),
        }
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)


class LastByte:
    """When a tunnel last passed a byte on."""

    def __init__(self) -> None:
        self.at = asyncio.get_running_loop().time()

    def record(self) -> None:
        """Record that a byte was passed on."""
        self.at = asyncio.get_running_loop().time()

    async def wait_until_idle(self) -> None:
        """Wait until no byte has been passed on for the idle timeout."""
        loop = asyncio.get_running_loop()
        while (left_s := self.at + IDLE_TIMEOUT_S - loop.time()) > 0:
            await asyncio.sleep(left_s)


async def pass_requests_on(
    stream: PeerStream, writer: asyncio.StreamWriter, last_byte: LastByte
) -> None:
    """Pass on to a target what a peer sends, until the peer closes the tunnel.

    A peer that resets the tunnel has given its request up: so is the connection reset.
    """
    try:
        frames = stream.read_frames()
        async with asyncio.timeout(FIRST_BYTES_TIMEOUT_S):
            first = await anext(frames, None)
        if first is None:
            return
        last_byte.record()
        writer.write(first.body)
        await writer.drain()
        async for frame in frames:
            last_byte.record()
            writer.write(frame.body)
            await writer.drain()
    except OSError:
        reset(writer.transport)


async def pass_answers_on(
    stream: PeerStream,
    reader: asyncio.StreamReader,
    last_byte: LastByte,
    record_head: Callable[[HttpHead], None],
) -> None:
    """Pass on to a peer what a target sends, and the end, unless it was a reset."""
    head_reader = HeadReader()
    try:
        while data := await reader.read(READ_BYTES):
            last_byte.record()
            head = head_reader.feed(data)
            if head is not None:
                record_head(head)
            stream.send(Frame(FrameKind.DATA, 0, "", data))
            await stream.drain()
    except OSError:
        reset(stream.writer.transport)
        return
    stream.send(Frame(FrameKind.END, 0))
    await stream.finish()
