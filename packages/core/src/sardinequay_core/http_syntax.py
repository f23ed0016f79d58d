"""The syntax that requests and answers of HTTP/1 share.

References
----------
RFC 9110, sections 5.5 and 5.6.2; RFC 9112, sections 2.2, 5, 6 and 7.1.
"""

import re

LINE_END = b"\r\n"
HEAD_END = b"\r\n\r\n"
LAST_CHUNK = b"0\r\n\r\n"
CHUNKED = b"chunked"

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]"
FIELD_VALUE = rb"[\t\x20-\x7e\x80-\xff]*+"
FIELD_LINE = TOKEN + rb"++:" + FIELD_VALUE + rb"\r\n"
FIELD_LINE_PATTERN = re.compile(FIELD_LINE)
BAD_LINE_END_PATTERN = re.compile(rb"(?<!\r)\n|\r(?=[^\n])")
CONTROL_PATTERN = re.compile(rb"[\x00-\x08\x0b\x0c\x0e-\x1f\x7f]")
LENGTH_PATTERN = re.compile(rb"[0-9]{1,18}")
"""A longer number is beyond what any peer counts with."""

CHUNK_LINE_PATTERN = re.compile(
    rb"([0-9A-Fa-f]{1,16})[\t ]*+(?:;[\t\x20-\x7e\x80-\xff]*+)?"
)
SHORT_CHUNK_PATTERN = re.compile(rb"([0-9A-Fa-f]{1,8})\r\n")


class LineTooLongError(Exception):
    """A line is longer than its limit."""


def take_line(buffer: bytearray, max_bytes: int) -> bytes | None:
    """Remove a line from a buffer and return it without its end.

    It is None, and the buffer stays as it is, if the line is not complete.

    Raises
    ------
    LineTooLongError
        If the line has more than `max_bytes` bytes, complete or not.
    """
    end = buffer.find(LINE_END, 0, max_bytes + len(LINE_END))
    if end < 0:
        if len(buffer) > max_bytes + 1:
            raise LineTooLongError
        return None
    line = bytes(buffer[:end])
    del buffer[: end + len(LINE_END)]
    return line
