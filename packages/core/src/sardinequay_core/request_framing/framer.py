"""Splits a caller's bytes into messages of known bounds.

Whoever parses the messages gets whole heads, bodies within their limit and chunks
without extensions, and nothing else. So the work and the memory that a caller causes
are bounded here, before and within and after each message.
"""

from dataclasses import dataclass
from enum import Enum, auto

from ..http_syntax import (
    CHUNK_LINE_PATTERN,
    FIELD_LINE_PATTERN,
    HEAD_END,
    LAST_CHUNK,
    LINE_END,
    SHORT_CHUNK_PATTERN,
    LineTooLongError,
    take_line,
)
from .faults import FramingFault, RequestFramingError
from .heads import find_fault, read_body_frame
from .limits import FramingLimits

PART_BYTES = 65_536
"""Bytes of a body that are passed on at once, at most."""


class Stage(Enum):
    """What is expected next of a caller."""

    BETWEEN = auto()
    HEAD = auto()
    LENGTH = auto()
    CHUNK_LINE = auto()
    CHUNK_DATA = auto()
    CHUNK_END = auto()
    TRAILERS = auto()
    NOTHING = auto()


@dataclass(frozen=True, slots=True)
class FramedPart:
    """A part of a message that may be parsed now.

    Parameters
    ----------
    data : bytes
        The part; empty if nothing is complete.
    pieces : int
        What it took to frame it, in steps: a head, a chunk, an empty line, a trailer.
    """

    data: bytes
    pieces: int


class RequestFramer:
    """The state of one caller's connection, without its socket.

    Attributes
    ----------
    limits : FramingLimits
        Bounds of the next message; a message keeps those with which it began.
    message_pieces : int
        Steps that the message in progress, or the last one, has taken so far.
    """

    def __init__(self, limits: FramingLimits) -> None:
        self.limits = limits
        self.message_limits = limits
        self.stage = Stage.BETWEEN
        self.buffer = bytearray()
        self.searched = 0
        self.empty_lines = 0
        self.body_bytes = 0
        self.left_bytes = 0
        self.trailer_bytes = 0
        self.message_pieces = 0

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes are held that are not passed on."""
        return len(self.buffer)

    @property
    def is_between(self) -> bool:
        """Return whether no message has begun."""
        return self.stage is Stage.BETWEEN

    @property
    def is_before_body(self) -> bool:
        """Return whether no head of a message is complete."""
        return self.stage in (Stage.BETWEEN, Stage.HEAD)

    @property
    def is_stopped(self) -> bool:
        """Return whether nothing that comes is passed on any more."""
        return self.stage is Stage.NOTHING

    def stop(self) -> None:
        """Drop all that was held and all that comes."""
        self.stage = Stage.NOTHING
        self.buffer.clear()

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        if self.stage is not Stage.NOTHING:
            self.buffer += data

    def take(self, max_pieces: int) -> FramedPart:
        """Return what may be parsed next, up to the end of a message.

        Parameters
        ----------
        max_pieces : int
            Steps after which it returns, though more bytes are held.

        Raises
        ------
        RequestFramingError
            If the bytes are over a limit, or no request.
        """
        head, body, pieces = b"", bytearray(), 0
        was_chunked = self.is_chunked
        while pieces < max_pieces and len(body) < PART_BYTES:
            if self.stage is Stage.CHUNK_LINE:
                room = PART_BYTES - len(body)
                pieces += self.take_whole_chunks(body, max_pieces - pieces, room)
            stage, before = self.stage, len(self.buffer)
            if stage is Stage.HEAD:
                head = self.take_head()
            else:
                body += self.take_within_body(PART_BYTES - len(body))
            if self.stage is stage and len(self.buffer) == before:
                break
            pieces += stage in COUNTED_STAGES
            if head or self.is_between:
                break
        self.message_pieces += pieces
        if not was_chunked:
            return FramedPart(head + bytes(body), pieces)
        return FramedPart(self.as_chunk(body), pieces)

    @property
    def is_chunked(self) -> bool:
        """Return whether a body in chunks is in progress."""
        return self.stage in CHUNK_STAGES

    def as_chunk(self, body: bytearray) -> bytes:
        """Return body bytes as one chunk, and the last one if the message has ended."""
        chunk = b"%x\r\n%b\r\n" % (len(body), bytes(body)) if body else b""
        return chunk + LAST_CHUNK if self.is_between else chunk

    def take_within_body(self, max_bytes: int) -> bytes | bytearray:
        """Take a step outside of heads; return the bytes of a body that it yields."""
        if self.stage is Stage.LENGTH:
            return self.take_body(max_bytes, Stage.BETWEEN)
        if self.stage is Stage.CHUNK_DATA:
            return self.take_body(max_bytes, Stage.CHUNK_END)
        if self.stage is Stage.CHUNK_LINE:
            self.read_chunk_line()
        elif self.stage is Stage.CHUNK_END:
            self.read_chunk_end()
        elif self.stage is Stage.TRAILERS:
            self.read_trailer()
        elif self.stage is Stage.BETWEEN:
            self.skip_empty_line()
        return b""

    def skip_empty_line(self) -> None:
        """Skip one empty line before a message, or begin the message."""
        if not self.buffer or self.buffer == b"\r":
            return
        if not self.buffer.startswith(LINE_END):
            self.begin_message()
            return
        del self.buffer[: len(LINE_END)]
        self.empty_lines += 1
        if self.empty_lines > self.limits.max_empty_lines:
            raise RequestFramingError(FramingFault.EMPTY_LINES)

    def begin_message(self) -> None:
        """Begin a message, with the limits that are in force now."""
        self.message_limits = self.limits
        self.stage = Stage.HEAD
        self.searched = self.empty_lines = 0
        self.body_bytes = self.trailer_bytes = self.message_pieces = 0

    def take_head(self) -> bytes:
        """Return the head once it is complete."""
        limits = self.message_limits
        end = self.buffer.find(HEAD_END, max(0, self.searched - 3))
        size = len(self.buffer) if end < 0 else end + len(HEAD_END)
        if size > limits.max_head_bytes:
            raise RequestFramingError(FramingFault.HEAD_TOO_LARGE)
        if end < 0:
            fault = find_fault(self.buffer, max(0, self.searched - 1))
            if fault is not None:
                raise RequestFramingError(fault)
            self.searched = size
            return b""
        head = bytes(self.buffer[:size])
        del self.buffer[:size]
        frame = read_body_frame(head, limits)
        self.left_bytes = frame.length
        if frame.is_chunked:
            self.stage = Stage.CHUNK_LINE
        else:
            self.stage = Stage.LENGTH if frame.length else Stage.BETWEEN
        return head

    def take_body(self, max_bytes: int, stage_after: Stage) -> bytes:
        """Return bytes of a body or of a chunk; stop once there are too many."""
        room = self.message_limits.max_passed_body_bytes - self.body_bytes
        size = min(self.left_bytes, max_bytes, room)
        data = bytes(self.buffer[:size])
        del self.buffer[:size]
        self.left_bytes -= len(data)
        self.body_bytes += len(data)
        if not self.left_bytes:
            self.stage = stage_after
        elif len(data) == room:
            self.stop()
        return data

    def take_whole_chunks(
        self, body: bytearray, max_chunks: int, max_bytes: int
    ) -> int:
        """Move chunks that are whole to a body; return their number.

        Others, and the last one, are left to the single steps.
        """
        room = self.message_limits.max_passed_body_bytes - self.body_bytes
        last = len(body) + min(room, max_bytes)
        position = chunks = 0
        while chunks < max_chunks:
            line = SHORT_CHUNK_PATTERN.match(self.buffer, position)
            size = int(line[1], 16) if line is not None else 0
            if line is None or not size or len(body) + size > last:
                break
            end = line.end() + size
            if not self.buffer.startswith(LINE_END, end):
                break
            body += self.buffer[line.end() : end]
            self.body_bytes += size
            position = end + len(LINE_END)
            chunks += 1
        del self.buffer[:position]
        return chunks

    def read_chunk_line(self) -> None:
        """Read the line before a chunk, if it is complete."""
        line = self.take_line(
            self.message_limits.max_chunk_line_bytes, FramingFault.BAD_CHUNK
        )
        if line is None:
            return
        match = CHUNK_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise RequestFramingError(FramingFault.BAD_CHUNK)
        self.left_bytes = int(match[1], 16)
        self.stage = Stage.CHUNK_DATA if self.left_bytes else Stage.TRAILERS

    def read_chunk_end(self) -> None:
        """Read the end of a chunk, if it is complete."""
        if self.buffer.startswith(LINE_END):
            del self.buffer[: len(LINE_END)]
            self.stage = Stage.CHUNK_LINE
        elif not LINE_END.startswith(self.buffer):
            raise RequestFramingError(FramingFault.BAD_CHUNK)

    def read_trailer(self) -> None:
        """Drop one line after the last chunk; an empty one ends the message."""
        max_bytes = self.message_limits.max_trailer_bytes - self.trailer_bytes
        line = self.take_line(max_bytes, FramingFault.TRAILERS_TOO_LARGE)
        if line is None:
            return
        self.trailer_bytes += len(line) + len(LINE_END)
        if not line:
            self.stage = Stage.BETWEEN
        elif FIELD_LINE_PATTERN.fullmatch(line + LINE_END) is None:
            raise RequestFramingError(FramingFault.BAD_TRAILERS)

    def take_line(self, max_bytes: int, fault: FramingFault) -> bytes | None:
        """Return a line without its end; None if it is not complete.

        Parameters
        ----------
        max_bytes : int
            Bytes of the line, at most.
        fault : FramingFault
            What a longer line is.
        """
        try:
            return take_line(self.buffer, max_bytes)
        except LineTooLongError as error:
            raise RequestFramingError(fault) from error


CHUNK_STAGES = frozenset(
    {Stage.CHUNK_LINE, Stage.CHUNK_DATA, Stage.CHUNK_END, Stage.TRAILERS}
)
COUNTED_STAGES = frozenset(
    {Stage.BETWEEN, Stage.HEAD, Stage.CHUNK_LINE, Stage.TRAILERS}
)
