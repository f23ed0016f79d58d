"""The asking end of a tunnel: a connection to a target through a peer.

The peer opens a connection to the target and passes on what either end sends, in
frames. The end of the target's answer is a frame, too: without it, a peer that dies
would look like a target that closed the connection after its last byte.
"""

import asyncio
from collections.abc import Iterable
from typing import Any

from .errors import PeerError
from .path_messages import OpenTunnel, TunnelReply
from .wire import (
    Frame,
    FrameError,
    FrameKind,
    FrameReader,
    decode_message,
    encode_frame,
    encode_message,
)


class TunnelTransport(asyncio.Transport):
    """Transport that sends its data in frames over another transport."""

    def __init__(self, carrier: asyncio.Transport, protocol: "TunnelProtocol") -> None:
        super().__init__()
        self.carrier = carrier
        self.protocol = protocol

    def write(self, data: bytes | bytearray | memoryview) -> None:
        """Send data to the target."""
        self.carrier.write(encode_frame(Frame(FrameKind.DATA, 0, "", bytes(data))))

    def writelines(self, list_of_data: Iterable[Any]) -> None:
        """Send several pieces of data to the target."""
        self.write(b"".join(list_of_data))

    def close(self) -> None:
        """Close the connection once all data is sent."""
        self.carrier.close()

    def abort(self) -> None:
        """Close the connection at once."""
        self.carrier.abort()

    def is_closing(self) -> bool:
        """Return whether the connection is closed or closing."""
        return self.carrier.is_closing()

    @property
    def has_ended(self) -> bool:
        """Return whether the target or the peer has closed the connection."""
        return self.protocol.has_ended or self.carrier.is_closing()

    def can_write_eof(self) -> bool:
        """Return False: the end of a request is in its own bytes."""
        return False

    def pause_reading(self) -> None:
        """Stop receiving, which holds the target back through the peer."""
        self.carrier.pause_reading()

    def resume_reading(self) -> None:
        """Receive again."""
        self.carrier.resume_reading()

    def is_reading(self) -> bool:
        """Return whether data is received now."""
        return self.carrier.is_reading()

    def get_write_buffer_size(self) -> int:
        """Return the bytes that wait to be sent."""
        return self.carrier.get_write_buffer_size()

    def set_write_buffer_limits(
        self, high: int | None = None, low: int | None = None
    ) -> None:
        """Set the buffered bytes at which the writer is paused and resumed."""
        self.carrier.set_write_buffer_limits(high, low)

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        """Return information about the connection to the peer."""
        return self.carrier.get_extra_info(name, default)

    def set_protocol(self, protocol: asyncio.BaseProtocol) -> None:
        """Let another protocol receive what comes from the target."""
        assert isinstance(protocol, asyncio.Protocol)
        self.protocol.inner = protocol

    def get_protocol(self) -> asyncio.BaseProtocol:
        """Return the protocol that receives what comes from the target."""
        return self.protocol.inner or self.protocol


class TunnelProtocol(asyncio.Protocol):
    """Asks a peer for a tunnel, and passes on what comes through it.

    Parameters
    ----------
    inner : asyncio.Protocol or None
        Receives what the target sends; set once the tunnel is open.
    """

    def __init__(self, message: OpenTunnel) -> None:
        self.message = message
        self.inner: asyncio.Protocol | None = None
        self.frames = FrameReader()
        self.has_ended = False
        self.transport: TunnelTransport | None = None
        loop = asyncio.get_running_loop()
        self.opened: asyncio.Future[TunnelReply] = loop.create_future()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Ask for the tunnel."""
        assert isinstance(transport, asyncio.Transport)
        self.transport = TunnelTransport(transport, self)
        frame = encode_message(FrameKind.REQUEST, 0, self.message)
        transport.write(encode_frame(frame))

    def data_received(self, data: bytes) -> None:
        """Handle frames of the peer."""
        try:
            for frame in self.frames.feed(data):
                self.handle_frame(frame)
        except FrameError as error:
            self.fail(error.detail)

    def handle_frame(self, frame: Frame) -> None:
        """Handle one frame: the reply first, then data and its end."""
        if not self.opened.done():
            if frame.kind is not FrameKind.REPLY:
                self.fail("no reply to the request for a tunnel")
                return
            self.opened.set_result(decode_message(frame))
        elif frame.kind is FrameKind.END:
            self.has_ended = True
            self.end(None)
        elif frame.kind is FrameKind.DATA and self.inner is not None:
            self.inner.data_received(frame.body)

    def fail(self, detail: str) -> None:
        """Give up a tunnel whose peer does not keep to the protocol."""
        if not self.opened.done():
            self.opened.set_exception(PeerError("", detail))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        """Report a tunnel that ended without its end as a reset."""
        if not self.opened.done():
            self.opened.set_exception(PeerError("", "closed by the peer"))
        if not self.has_ended:
            self.end(exc or ConnectionResetError("the tunnel broke"))

    def end(self, error: Exception | None) -> None:
        """Tell the receiver that the connection has ended."""
        inner, self.inner = self.inner, None
        if inner is None:
            return
        if error is None:
            inner.eof_received()
        inner.connection_lost(error)
        if self.transport is not None:
            self.transport.close()

    def pause_writing(self) -> None:
        """Hold the sender back while the peer reads too slowly."""
        if self.inner is not None:
            self.inner.pause_writing()

    def resume_writing(self) -> None:
        """Let the sender go on."""
        if self.inner is not None:
            self.inner.resume_writing()
