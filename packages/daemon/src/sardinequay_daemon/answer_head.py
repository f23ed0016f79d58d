"""Reader of the head of an answer, from the bytes of a connection."""

import http.client
import re
from dataclasses import dataclass
from io import BytesIO

from multidict import CIMultiDict, CIMultiDictProxy

from .serving_ports import Headers

MAX_HEAD_BYTES = 65_536
STATUS_LINE = re.compile(rb"HTTP/1\.[01] ([1-5][0-9]{2})( |\r|$)")
HEAD_END = b"\r\n\r\n"
FIRST_FINAL_STATUS = 200


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
        self.buffer = b""

    def feed(self, data: bytes) -> HttpHead | None:
        """Add received bytes; return the head once it is complete.

        What is no HTTP/1 answer has no head.
        """
        if self.is_done:
            return None
        self.buffer += data
        while (end := self.buffer.find(HEAD_END)) >= 0:
            head = parse_head(self.buffer[: end + len(HEAD_END)])
            self.buffer = self.buffer[end + len(HEAD_END) :]
            if head is None or head.status >= FIRST_FINAL_STATUS:
                self.finish()
                return head
        if len(self.buffer) > MAX_HEAD_BYTES:
            self.finish()
        return None

    def finish(self) -> None:
        """Read no more."""
        self.is_done = True
        self.buffer = b""


def parse_head(data: bytes) -> HttpHead | None:
    """Parse the bytes of a head; return None if they are none."""
    status_line, _, rest = data.partition(b"\r\n")
    match = STATUS_LINE.match(status_line)
    if match is None:
        return None
    try:
        message = http.client.parse_headers(BytesIO(rest))
    except http.client.HTTPException:
        return None
    headers = CIMultiDict((name, str(value)) for name, value in message.items())
    return HttpHead(int(match[1]), CIMultiDictProxy(headers))
