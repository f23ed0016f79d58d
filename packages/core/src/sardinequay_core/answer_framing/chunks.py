"""Reads a body in chunks, and yields the same body in plain chunks."""

from enum import Enum, auto

from ..http_syntax import (
    CHUNK_LINE_PATTERN,
    FIELD_LINE_PATTERN,
    LAST_CHUNK,
    LINE_END,
    SHORT_CHUNK_PATTERN,
    LineTooLongError,
    take_line,
)
from .faults import AnswerFault, AnswerFramingError

MAX_CHUNK_LINE_BYTES = 256
"""Bytes of the line before a chunk: its size and extensions."""

MAX_TRAILER_BYTES = 8192
"""Bytes of the lines after the last chunk."""


class ChunkStage(Enum):
    """What is expected next of a body in chunks."""

    LINE = auto()
    DATA = auto()
    DATA_END = auto()
    TRAILERS = auto()
    NOTHING = auto()


class ChunkReader:
    """The state of one body in chunks.

    Whoever parses what it yields gets sizes without extensions, and no trailers.

    Attributes
    ----------
    buffer : bytearray
        What is not read yet; after the end, what follows the body.
    """

    def __init__(self) -> None:
        self.stage = ChunkStage.LINE
        self.buffer = bytearray()
        self.left_bytes = 0
        self.trailer_bytes = 0
        self.output = bytearray()

    @property
    def has_ended(self) -> bool:
        """Return whether the body is whole."""
        return self.stage is ChunkStage.NOTHING

    def feed(self, data: bytes) -> bytes:
        """Add received bytes; return what can be parsed now.

        Raises
        ------
        AnswerFramingError
            If the bytes are no chunks. `take_output` has those before.
        """
        is_at_chunk = self.stage is ChunkStage.LINE and not self.buffer
        if is_at_chunk and is_plain_chunk(data):
            return data
        self.buffer += data
        self.read_whole_chunks()
        while self.step():
            self.read_whole_chunks()
        return self.take_output()

    def take_output(self) -> bytes:
        """Return what was read since the last call, as plain chunks."""
        taken = bytes(self.output)
        self.output.clear()
        return taken

    def read_whole_chunks(self) -> None:
        """Read as one chunk what is there of plain ones; others are left to steps."""
        if self.stage is not ChunkStage.LINE:
            return
        body, position = bytearray(), 0
        while (line := SHORT_CHUNK_PATTERN.match(self.buffer, position)) is not None:
            size = int(line[1], 16)
            end = line.end() + size
            if not size or not self.buffer.startswith(LINE_END, end):
                break
            body += self.buffer[line.end() : end]
            position = end + len(LINE_END)
        if body:
            del self.buffer[:position]
            self.add_chunk(body)

    def add_chunk(self, data: bytearray) -> None:
        """Add one plain chunk to the output."""
        self.output += b"%x\r\n" % len(data)
        self.output += data
        self.output += LINE_END

    def step(self) -> bool:
        """Take one step; return whether another one may follow."""
        if self.stage is ChunkStage.LINE:
            return self.read_chunk_line()
        if self.stage is ChunkStage.DATA:
            return self.read_data()
        if self.stage is ChunkStage.DATA_END:
            return self.read_data_end()
        if self.stage is ChunkStage.TRAILERS:
            return self.read_trailer()
        return False

    def read_chunk_line(self) -> bool:
        """Read the line before a chunk, if it is complete."""
        line = self.take_line(MAX_CHUNK_LINE_BYTES, AnswerFault.BAD_CHUNK)
        if line is None:
            return False
        match = CHUNK_LINE_PATTERN.fullmatch(line)
        if match is None:
            raise AnswerFramingError(AnswerFault.BAD_CHUNK)
        self.left_bytes = int(match[1], 16)
        self.stage = ChunkStage.DATA if self.left_bytes else ChunkStage.TRAILERS
        return True

    def read_data(self) -> bool:
        """Read what is there of a chunk."""
        data = self.buffer[: self.left_bytes]
        if not data:
            return False
        del self.buffer[: len(data)]
        self.add_chunk(data)
        self.left_bytes -= len(data)
        if not self.left_bytes:
            self.stage = ChunkStage.DATA_END
        return True

    def read_data_end(self) -> bool:
        """Read the end of a chunk, if it is complete."""
        if self.buffer.startswith(LINE_END):
            del self.buffer[: len(LINE_END)]
            self.stage = ChunkStage.LINE
            return True
        if not LINE_END.startswith(self.buffer):
            raise AnswerFramingError(AnswerFault.BAD_CHUNK)
        return False

    def read_trailer(self) -> bool:
        """Drop one line after the last chunk; an empty one ends the body."""
        max_bytes = MAX_TRAILER_BYTES - self.trailer_bytes
        line = self.take_line(max_bytes, AnswerFault.TRAILERS_TOO_LARGE)
        if line is None:
            return False
        self.trailer_bytes += len(line) + len(LINE_END)
        if not line:
            self.output += LAST_CHUNK
            self.stage = ChunkStage.NOTHING
        elif FIELD_LINE_PATTERN.fullmatch(line + LINE_END) is None:
            raise AnswerFramingError(AnswerFault.BAD_TRAILERS)
        return True

    def take_line(self, max_bytes: int, fault: AnswerFault) -> bytes | None:
        """Return a line without its end; None if it is not complete.

        Parameters
        ----------
        max_bytes : int
            Bytes of the line, at most.
        fault : AnswerFault
            What a longer line is.
        """
        try:
            return take_line(self.buffer, max_bytes)
        except LineTooLongError as error:
            raise AnswerFramingError(fault) from error


def is_plain_chunk(data: bytes) -> bool:
    """Return whether bytes are one whole chunk without extensions, not the last one."""
    line = SHORT_CHUNK_PATTERN.match(data)
    if line is None:
        return False
    size = int(line[1], 16)
    end = line.end() + size
    return bool(size) and end + len(LINE_END) == len(data) and data.endswith(LINE_END)
