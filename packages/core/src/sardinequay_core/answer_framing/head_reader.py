"""Reads the head of the final answer to a request, past interim answers."""

from ..http_syntax import BAD_LINE_END_PATTERN, CONTROL_PATTERN, HEAD_END
from .faults import AnswerFault, AnswerFramingError
from .heads import MAX_HEAD_BYTES, AnswerHead, read_answer_head

BEGINNING = b"HTTP/1."
MAX_INTERIM_ANSWERS = 32
"""Interim answers that may come before an answer."""


class AnswerHeadReader:
    """Collects the bytes of heads until one is final.

    Parameters
    ----------
    has_body : bool
        Whether answers to the request have a body; those to HEAD have none.

    Attributes
    ----------
    rest : bytes
        What came after the final head.
    """

    def __init__(self, has_body: bool = True) -> None:
        self.has_body = has_body
        self.buffer = bytearray()
        self.searched = 0
        self.interim_answers = 0
        self.rest = b""

    def feed(self, data: bytes) -> AnswerHead | None:
        """Add received bytes; return the final head once it is complete.

        Raises
        ------
        AnswerFramingError
            If the bytes cannot become a head.
        """
        self.buffer += data
        while (end := self.find_end()) > 0:
            head = read_answer_head(bytes(self.buffer[:end]), self.has_body)
            del self.buffer[:end]
            if head.is_final:
                self.rest = bytes(self.buffer)
                self.buffer.clear()
                return head
            self.interim_answers += 1
            if self.interim_answers > MAX_INTERIM_ANSWERS:
                raise AnswerFramingError(AnswerFault.TOO_MANY_INTERIM)
        return None

    def find_end(self) -> int:
        """Return where the first head ends; 0 if it is not complete."""
        end = self.buffer.find(HEAD_END, max(0, self.searched - 3))
        size = len(self.buffer) if end < 0 else end + len(HEAD_END)
        if size > MAX_HEAD_BYTES:
            raise AnswerFramingError(AnswerFault.HEAD_TOO_LARGE)
        if end < 0:
            self.check_beginning()
            self.searched = size
            return 0
        self.searched = 0
        return size

    def check_beginning(self) -> None:
        """Raise an error if what came of a head shows already that it is none.

        A last CR is left open, as it may be the first half of a line's end.
        """
        start = max(0, self.searched - 1)
        if self.buffer[: len(BEGINNING)] != BEGINNING[: len(self.buffer)]:
            raise AnswerFramingError(AnswerFault.BAD_STATUS_LINE)
        if BAD_LINE_END_PATTERN.search(self.buffer, start) is not None:
            raise AnswerFramingError(AnswerFault.BAD_LINE_END)
        if CONTROL_PATTERN.search(self.buffer, start) is not None:
            raise AnswerFramingError(AnswerFault.BAD_FIELD)
