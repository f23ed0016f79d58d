"""The head of an answer: its syntax, and what tells the end of the body that follows.

References
----------
RFC 9110, sections 5.5 and 15; RFC 9112, sections 2.2, 4, 5 and 6: what a message is,
and which are refused because two readers may take them for two different ones.
"""

import re
from dataclasses import dataclass
from enum import Enum, auto

from ..http_syntax import CHUNKED, FIELD_LINE, HEAD_END, LENGTH_PATTERN
from .faults import AnswerFault, AnswerFramingError

MAX_HEAD_BYTES = 32_768
"""Bytes of a head, with all its fields. Each request in flight may hold as many."""

MAX_FIELDS = 128
"""Lines of a head; each costs some hundred bytes of objects, however short it is."""

STATUS_LINE = rb"HTTP/1\.([01]) ([1-5][0-9]{2})(?: [\t\x20-\x7e\x80-\xff]*+)?\r\n"
STATUS_LINE_PATTERN = re.compile(STATUS_LINE)
HEAD_PATTERN = re.compile(STATUS_LINE + rb"(?:" + FIELD_LINE + rb")*+\r\n")
CONNECTION_FIELD_PATTERN = re.compile(
    rb"\n(content-length|transfer-encoding|upgrade):[\t ]*+([^\r]*)", re.IGNORECASE
)
LENGTH, CODING, UPGRADE = b"content-length", b"transfer-encoding", b"upgrade"
UPGRADE_LINES_PATTERN = re.compile(rb"(?<=\n)upgrade:[^\r]*\r\n", re.IGNORECASE)

FIRST_FINAL_STATUS = 200
SWITCHING_PROTOCOLS = 101
NO_CONTENT = 204
NOT_MODIFIED = 304
OLD_VERSION = b"0"
ESCAPED = "surrogateescape"


class BodyEnd(Enum):
    """What tells the end of an answer's body."""

    HEAD = auto()
    LENGTH = auto()
    CHUNKS = auto()
    CONNECTION = auto()


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """A head that means the same to all its readers.

    Parameters
    ----------
    data : bytes
        Its bytes, up to the empty line, without offers to switch the protocol.
    length : int
        Bytes of the body, if a length tells its end.
    """

    data: bytes
    status: int
    body_end: BodyEnd
    length: int = 0

    @property
    def is_final(self) -> bool:
        """Return whether no other head follows for the same request."""
        return self.status >= FIRST_FINAL_STATUS

    def fields(self) -> list[tuple[str, str]]:
        """Return the names and values in order; undecodable bytes are kept escaped."""
        lines = self.data[: -len(HEAD_END)].split(b"\r\n")[1:]
        pairs = (line.partition(b":") for line in lines)
        return [
            (name.decode("ascii"), value.strip(b"\t ").decode("utf-8", ESCAPED))
            for name, _, value in pairs
        ]


def read_answer_head(data: bytes, has_body: bool = True) -> AnswerHead:
    """Judge the bytes of a head.

    Parameters
    ----------
    data : bytes
        The bytes up to the empty line, that line included.
    has_body : bool
        Whether answers to the request have a body; those to HEAD have none.

    Raises
    ------
    AnswerFramingError
        If they are no head, or readers may disagree on where its body ends.
    """
    match = HEAD_PATTERN.fullmatch(data)
    if match is None:
        is_status_bad = STATUS_LINE_PATTERN.match(data) is None
        raise AnswerFramingError(
            AnswerFault.BAD_STATUS_LINE if is_status_bad else AnswerFault.BAD_FIELD
        )
    if data.count(b"\r\n") - 2 > MAX_FIELDS:
        raise AnswerFramingError(AnswerFault.TOO_MANY_FIELDS)
    status = int(match[2])
    if status == SWITCHING_PROTOCOLS:
        raise AnswerFramingError(AnswerFault.PROTOCOL_SWITCHED)
    fields = read_connection_fields(data)
    body_end, length = find_body_end(fields, status, match[1] == OLD_VERSION)
    if not has_body:
        body_end = BodyEnd.HEAD
    if UPGRADE in fields:
        data = UPGRADE_LINES_PATTERN.sub(b"", data)
    return AnswerHead(data, status, body_end, length)


def read_connection_fields(data: bytes) -> dict[bytes, bytes]:
    """Return the fields that frame a message, by name; none of them may come twice."""
    fields: dict[bytes, bytes] = {}
    for match in CONNECTION_FIELD_PATTERN.finditer(data):
        name = match[1].lower()
        if name in fields and name != UPGRADE:
            raise AnswerFramingError(AnswerFault.AMBIGUOUS_LENGTH)
        fields[name] = match[2].rstrip(b"\t ")
    return fields


def find_body_end(
    fields: dict[bytes, bytes], status: int, is_old: bool
) -> tuple[BodyEnd, int]:
    """Return what tells the end of the body, and its length if that does.

    Parameters
    ----------
    is_old : bool
        Whether the message is of HTTP/1.0, which knows no chunks.
    """
    coding, length = fields.get(CODING), fields.get(LENGTH)
    if coding is not None and (
        coding.lower() != CHUNKED or length is not None or is_old
    ):
        raise AnswerFramingError(AnswerFault.AMBIGUOUS_LENGTH)
    if length is not None and LENGTH_PATTERN.fullmatch(length) is None:
        raise AnswerFramingError(AnswerFault.AMBIGUOUS_LENGTH)
    size = int(length or 0)
    if status == NO_CONTENT or status < FIRST_FINAL_STATUS:
        if coding is not None or size:
            raise AnswerFramingError(AnswerFault.AMBIGUOUS_LENGTH)
        return BodyEnd.HEAD, 0
    if status == NOT_MODIFIED:
        return BodyEnd.HEAD, 0
    if coding is not None:
        return BodyEnd.CHUNKS, 0
    return (BodyEnd.CONNECTION if length is None else BodyEnd.LENGTH), size
