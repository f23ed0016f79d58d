"""Callers that keep to no limits, and the bounds of the process that they press."""

import os
import signal
import socket
import threading
from collections.abc import Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

BLOCK_BYTES = 65_536
CALLERS = 16
BYTES_A_CALLER = 24_000_000
MAX_CONNECTIONS_A_CALLER = 200
GIVES_UP_AFTER_S = 2.0
"""Time after which a caller whose bytes nobody takes sends no more, in seconds."""

CONNECT_TIMEOUT_S = 5.0
SAMPLE_PERIOD_S = 0.02
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
PROC = Path("/proc")
TCP_TABLE = PROC / "net" / "tcp"
LISTENING = "0A"
"""State of a socket in the table that only listens: its queue holds connections."""


@dataclass(frozen=True, slots=True)
class Flood:
    """Bytes without end: a beginning, then the same block again and again."""

    name: str
    beginning: bytes
    piece: bytes

    def block(self) -> bytes:
        """Return whole pieces, about as many bytes as one write takes."""
        return self.piece * max(1, BLOCK_BYTES // len(self.piece))


HEAD = b"POST /safe/x HTTP/1.1\r\nHost: h.example\r\n"
CHUNKED_HEAD = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
LONG_LENGTH_HEAD = HEAD + b"Content-Length: 1000000000000\r\n\r\n"
UPGRADE_HEAD = HEAD + b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
HEAD_FLOODS = (
    Flood("zeros", b"", b"\0"),
    Flood("empty-lines", b"", b"\r\n"),
    Flood("line-feeds", b"", b"\n"),
    Flood("request-line", b"GET /", b"a"),
    Flood("header-name", HEAD, b"a"),
    Flood("header-line", HEAD + b"x: ", b"a"),
    Flood("headers-of-three-bytes", HEAD, b"a:\n"),
    Flood("headers-of-four-bytes", HEAD, b"a:\r\n"),
    Flood("headers-of-a-kilobyte", HEAD, b"x: " + b"a" * 1019 + b"\r\n"),
)
"""Bytes without end before and within a head."""

BODY_FLOODS = (
    Flood("body-without-a-frame", HEAD + b"\r\n", b"x"),
    Flood("body-of-a-stated-length", LONG_LENGTH_HEAD, b"x"),
    Flood("body-in-large-chunks", CHUNKED_HEAD, b"8000\r\n%b\r\n" % (b"x" * 0x8000)),
    Flood("chunks-of-a-byte", CHUNKED_HEAD, b"1\r\nx\r\n"),
    Flood("length-of-a-chunk", CHUNKED_HEAD, b"0"),
    Flood("extension-of-a-chunk", CHUNKED_HEAD + b"1;", b"a"),
    Flood("trailers", CHUNKED_HEAD + b"0\r\n", b"a: b\r\n"),
    Flood("trailer-line", CHUNKED_HEAD + b"0\r\na: ", b"a"),
)
"""Bytes without end within and after a body."""

AFTER_REQUEST_FLOODS = (
    Flood("requests-in-a-row", b"", HEAD + b"Content-Length: 2\r\n\r\nab"),
    Flood("upgrade", UPGRADE_HEAD, b"x"),
    Flood("tunnel", b"CONNECT h.example:1 HTTP/1.1\r\nHost: h.example\r\n\r\n", b"x"),
)
"""Bytes without end after a request, while it is in flight."""

FLOODS = HEAD_FLOODS + BODY_FLOODS + AFTER_REQUEST_FLOODS


@dataclass(frozen=True, slots=True)
class Pressed:
    """What a crowd did: bytes that were taken of it, and connections it opened."""

    sent_bytes: int
    connections: int


class Crowd:
    """Callers that send a flood, each over one connection after the other.

    None reads an answer. Connections that the host neither closes nor reads stay open
    until the crowd leaves.
    """

    def __init__(self, ip: str, port: int, callers: int = CALLERS) -> None:
        self.address = (ip, port)
        self.callers = callers
        self.open: list[socket.socket] = []

    def press(self, flood: Flood, bytes_a_caller: int = BYTES_A_CALLER) -> Pressed:
        """Send the flood by all callers at once, until each has sent its bytes."""
        with ThreadPoolExecutor(self.callers) as callers:
            runs = [
                callers.submit(self.press_one, flood, bytes_a_caller)
                for _ in range(self.callers)
            ]
            done = [run.result() for run in runs]
        return Pressed(
            sum(each.sent_bytes for each in done),
            sum(each.connections for each in done),
        )

    def press_one(self, flood: Flood, max_bytes: int) -> Pressed:
        """Send the flood as one caller."""
        sent_bytes, connections = 0, 0
        while sent_bytes < max_bytes and connections < MAX_CONNECTIONS_A_CALLER:
            connections += 1
            with suppress(OSError):
                connection = self.connect()
                sent = self.send(connection, flood, max_bytes - sent_bytes)
                sent_bytes += sent.sent_bytes
                if sent.is_held:
                    return Pressed(sent_bytes, connections)
                connection.close()
        return Pressed(sent_bytes, connections)

    def connect(self) -> socket.socket:
        """Open a connection that stays open until the crowd leaves."""
        connection = socket.create_connection(self.address, CONNECT_TIMEOUT_S)
        self.open.append(connection)
        return connection

    def send(self, connection: socket.socket, flood: Flood, max_bytes: int) -> "Sent":
        """Send until a number of bytes is taken or the connection ends."""
        connection.settimeout(GIVES_UP_AFTER_S)
        block, sent_bytes = flood.block(), 0
        data = memoryview(flood.beginning or block)
        try:
            while sent_bytes < max_bytes:
                taken = connection.send(data)
                sent_bytes += taken
                data = data[taken:] or memoryview(block)
        except TimeoutError:
            return Sent(sent_bytes, is_held=True)
        except OSError:
            return Sent(sent_bytes, is_held=False)
        return Sent(sent_bytes, is_held=True)

    def open_with(self, data: bytes, count: int) -> None:
        """Open connections that each send some bytes, and keep them open."""
        for _ in range(count):
            with suppress(OSError):
                connection = self.connect()
                connection.settimeout(GIVES_UP_AFTER_S)
                connection.sendall(data)

    def leave(self) -> None:
        """Close all connections."""
        for connection in self.open:
            connection.close()
        self.open.clear()


@dataclass(frozen=True, slots=True)
class Sent:
    """What was taken of one connection, and whether it is still open."""

    sent_bytes: int
    is_held: bool


@dataclass
class Watch:
    """Ends a process that takes more memory than its machine has, and keeps its peaks.

    Bytes that its connections have received and that it has not read count, too.

    Parameters
    ----------
    ports : sequence of int
        Where the process listens.
    """

    process_id: int
    ports: Sequence[int]
    max_memory_bytes: int
    peak_memory_bytes: int = 0
    peak_descriptors: int = 0
    was_ended: bool = False
    is_over: threading.Event = field(default_factory=threading.Event)
    thread: threading.Thread | None = None

    def start(self) -> "Watch":
        """Begin to watch."""
        self.thread = threading.Thread(target=self.run, daemon=True)
        self.thread.start()
        return self

    def run(self) -> None:
        """Measure until the end."""
        while not self.is_over.wait(SAMPLE_PERIOD_S):
            with suppress(OSError):
                self.measure()

    def measure(self) -> None:
        """Measure once, and end the process if it is over its limit."""
        memory_bytes = resident_bytes(self.process_id) + unread_bytes(self.ports)
        self.peak_memory_bytes = max(self.peak_memory_bytes, memory_bytes)
        descriptors = len(os.listdir(PROC / str(self.process_id) / "fd"))  # noqa: PTH208
        self.peak_descriptors = max(self.peak_descriptors, descriptors)
        if memory_bytes > self.max_memory_bytes and not self.was_ended:
            self.was_ended = True
            os.kill(self.process_id, signal.SIGKILL)

    def stop(self) -> None:
        """Measure a last time."""
        self.is_over.set()
        if self.thread is not None:
            self.thread.join()
        with suppress(OSError):
            self.measure()


def resident_bytes(process_id: int) -> int:
    """Return the resident memory of a process."""
    pages = (PROC / str(process_id) / "statm").read_text().split()[1]
    return int(pages) * PAGE_BYTES


def unread_bytes(ports: Iterable[int]) -> int:
    """Return what connections to some ports have received and nobody has read."""
    wanted = {f"{port:04X}" for port in ports}
    total = 0
    for line in TCP_TABLE.read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].partition(":")[2] in wanted and fields[3] != LISTENING:
            total += int(fields[4].partition(":")[2], 16)
    return total
