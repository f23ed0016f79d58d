"""The head of a request: its syntax, and the length of the body that follows.

References
----------
RFC 9112, sections 2.2, 3, 5 and 6: what a message is, and which are refused because two
readers may take them for two different ones.
"""

import re
from dataclasses import dataclass

from ..http_syntax import (
    BAD_LINE_END_PATTERN,
    CHUNKED,
    CONTROL_PATTERN,
    FIELD_LINE,
    LENGTH_PATTERN,
    TOKEN,
)
from .faults import FramingFault, RequestFramingError
from .limits import FramingLimits

HEAD_PATTERN = re.compile(
    TOKEN + rb"{1,32}+ [\x21-\x7e]++ HTTP/1\.[01]\r\n(?:" + FIELD_LINE + rb")*+\r\n"
)
LENGTH_FIELD_PATTERN = re.compile(
    rb"\n(content-length|transfer-encoding|host):[\t ]*+([^\r]*)", re.IGNORECASE
)
CONNECT = b"CONNECT "
OLD_VERSION = b" HTTP/1.0\r\n"


@dataclass(frozen=True, slots=True)
class BodyFrame:
    """How the body after a head is framed.

    Parameters
    ----------
    length : int
        Its bytes; 0 if it is sent in chunks or there is none.
    """

    length: int = 0
    is_chunked: bool = False


def find_fault(data: bytearray, start: int) -> FramingFault | None:
    """Return what shows, from `start` on, that the beginning of a head is none.

    A last CR is left open, as it may be the first half of a line's end.
    """
    if BAD_LINE_END_PATTERN.search(data, start) is not None:
        return FramingFault.BAD_LINE_END
    if CONTROL_PATTERN.search(data, start) is not None:
        return FramingFault.BAD_HEAD
    return None


def read_body_frame(head: bytes, limits: FramingLimits) -> BodyFrame:
    """Check a whole head and return how the body after it is framed.

    Raises
    ------
    RequestFramingError
        If it is no head, or peers may disagree on where its body ends.
    """
    if HEAD_PATTERN.fullmatch(head) is None:
        raise RequestFramingError(FramingFault.BAD_HEAD)
    if head.startswith(CONNECT):
        raise RequestFramingError(FramingFault.TUNNEL)
    if head.count(b"\r\n") - 2 > limits.max_headers:
        raise RequestFramingError(FramingFault.TOO_MANY_HEADERS)
    fields = read_length_fields(head)
    is_old = head.find(OLD_VERSION, 0, head.index(b"\r\n") + 2) > 0
    if b"host" not in fields and not is_old:
        raise RequestFramingError(FramingFault.BAD_HEAD)
    return frame_of(fields, is_old)


def read_length_fields(head: bytes) -> dict[bytes, bytes]:
    """Return the fields that frame a message, by name; none may come twice."""
    fields: dict[bytes, bytes] = {}
    for match in LENGTH_FIELD_PATTERN.finditer(head):
        name = match[1].lower()
        if name in fields:
            raise RequestFramingError(FramingFault.AMBIGUOUS_LENGTH)
        fields[name] = match[2].rstrip(b"\t ")
    return fields


def frame_of(fields: dict[bytes, bytes], is_old: bool) -> BodyFrame:
    """Return the frame that the fields of a head state.

    Parameters
    ----------
    is_old : bool
        Whether the message is of HTTP/1.0, which knows no chunks.
    """
    coding = fields.get(b"transfer-encoding")
    length = fields.get(b"content-length")
    if coding is not None:
        if coding.lower() != CHUNKED or length is not None or is_old:
            raise RequestFramingError(FramingFault.AMBIGUOUS_LENGTH)
        return BodyFrame(is_chunked=True)
    if length is None:
        return BodyFrame()
    if LENGTH_PATTERN.fullmatch(length) is None:
        raise RequestFramingError(FramingFault.AMBIGUOUS_LENGTH)
    return BodyFrame(int(length))
