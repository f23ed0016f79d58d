"""Lets through the bytes of one answer, once it is clear what they mean.

Whoever parses them gets whole heads that mean the same to all readers, and bodies that
end where the head says. So the verdict on an answer does not depend on the parser, and
a refused head was never seen by it.
"""

from dataclasses import dataclass

from .chunks import ChunkReader
from .faults import AnswerFault, AnswerFramingError
from .head_reader import AnswerHeadReader
from .heads import AnswerHead, BodyEnd


@dataclass(frozen=True, slots=True)
class FramedAnswer:
    """What came of received bytes.

    Parameters
    ----------
    data : bytes
        Bytes that may be parsed now.
    fault : AnswerFault or None
        Why the bytes after them are refused.
    has_excess : bool
        Whether bytes came after the end of the answer.
    """

    data: bytes
    fault: AnswerFault | None = None
    has_excess: bool = False


class AnswerFramer:
    """The state of the answer to one request, without its socket.

    Parameters
    ----------
    has_body : bool
        Whether answers to the request have a body; those to HEAD have none.

    Attributes
    ----------
    head : AnswerHead or None
        The head of the answer, once it is there.
    """

    def __init__(self, has_body: bool = True) -> None:
        self.head_reader = AnswerHeadReader(has_body)
        self.head: AnswerHead | None = None
        self.left_bytes = 0
        self.chunks: ChunkReader | None = None
        self.has_ended = False

    def feed(self, data: bytes) -> FramedAnswer:
        """Add received bytes; nothing may be added after a fault."""
        head, passed = b"", b""
        try:
            if self.head is None:
                self.head = self.head_reader.feed(data)
                if self.head is None:
                    return FramedAnswer(b"")
                head, data = self.head.data, self.head_reader.rest
                self.begin_body(self.head)
            passed, rest = self.take_body(data)
        except AnswerFramingError as error:
            if self.chunks is not None:
                passed = self.chunks.take_output()
            return FramedAnswer(head + passed, error.fault)
        return FramedAnswer(head + passed if head else passed, has_excess=bool(rest))

    def begin_body(self, head: AnswerHead) -> None:
        """Expect the body that a head announces."""
        self.left_bytes = head.length
        if head.body_end is BodyEnd.CHUNKS:
            self.chunks = ChunkReader()
        elif head.body_end is BodyEnd.LENGTH:
            self.has_ended = not head.length
        else:
            self.has_ended = head.body_end is BodyEnd.HEAD

    def take_body(self, data: bytes) -> tuple[bytes, bytes]:
        """Return the bytes of a body that may be parsed, and those after its end."""
        if self.has_ended:
            return b"", data
        if self.chunks is not None:
            passed = self.chunks.feed(data)
            self.has_ended = self.chunks.has_ended
            return passed, bytes(self.chunks.buffer) if self.has_ended else b""
        if self.head is not None and self.head.body_end is BodyEnd.CONNECTION:
            return data, b""
        passed, rest = data[: self.left_bytes], data[self.left_bytes :]
        self.left_bytes -= len(passed)
        self.has_ended = not self.left_bytes
        return passed, rest
