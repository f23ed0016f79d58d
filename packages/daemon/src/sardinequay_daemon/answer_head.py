"""Reader of the head of an answer, from the bytes of a connection."""

from dataclasses import dataclass

from multidict import CIMultiDict, CIMultiDictProxy

from sardinequay_core.answer_framing import AnswerFramingError, AnswerHeadReader

from .serving_ports import Headers


@dataclass(frozen=True, slots=True)
class HttpHead:
    """The status and the headers of an answer."""

    status: int
    headers: Headers


class HeadReader:
    """Reads the head of the first answer on a connection, and nothing after it.

    Attributes
    ----------
    is_done : bool
        Whether the head was read, or cannot be.
    """

    def __init__(self) -> None:
        self.is_done = False
        self.reader = AnswerHeadReader()

    def feed(self, data: bytes) -> HttpHead | None:
        """Add received bytes; return the head once it is complete.

        What the host that asked for the answer refuses has no head here, either.
        """
        if self.is_done:
            return None
        try:
            head = self.reader.feed(data)
        except AnswerFramingError:
            self.finish()
            return None
        if head is None:
            return None
        self.finish()
        return HttpHead(head.status, CIMultiDictProxy(CIMultiDict(head.fields())))

    def finish(self) -> None:
        """Read no more."""
        self.is_done = True
        self.reader = AnswerHeadReader()
