"""Connections between entry hosts, which carry frames: both ends of a link.

While calls are pending on a link, its calling end sends keepalive frames. If no frame
arrives within the silence timeout, the link is closed and its calls fail; the next call
opens a new link. A connection that breaks without a reset therefore costs one silence
timeout and not the whole time of a request. A link without calls is closed after an
idle timeout: among hundreds of hosts most pairs exchange nothing after the start.
"""

import asyncio
import contextlib
import itertools
from collections.abc import AsyncIterator
from typing import Any

from .errors import PeerError
from .metrics import HostMetrics
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
        finally:
            # A task that is cancelled with its event loop leaves no open connection.
            self.close()
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
