"""Bounds on what a caller may send in one message."""

from dataclasses import dataclass

REQUEST_LINE_BYTES = 1024
"""Bytes of a head beyond names, values and path: method, version, separators."""

BODY_MARGIN_BYTES = 65_536
"""Bytes of a body beyond its limit that are still passed on, so that whoever reads it
sees that it is too large, and refuses it."""


@dataclass(frozen=True, slots=True)
class FramingLimits:
    """Bounds on one message of a caller.

    Parameters
    ----------
    max_header_bytes : int
        Bytes of all header names and values and of the path.
    max_body_bytes : int
        Bytes of the body, without the frames of its chunks.
    max_headers : int
        Header lines; each costs some hundred bytes of objects, however short it is.
    max_empty_lines : int
        Empty lines before a message; a message needs none.
    max_chunk_line_bytes : int
        Bytes of the line before a chunk: its size and extensions.
    max_trailer_bytes : int
        Bytes of the lines after the last chunk.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    max_headers: int = 256
    max_empty_lines: int = 8
    max_chunk_line_bytes: int = 256
    max_trailer_bytes: int = 8192

    @property
    def max_head_bytes(self) -> int:
        """Return how many bytes a whole head may have."""
        return self.max_header_bytes + REQUEST_LINE_BYTES

    @property
    def max_passed_body_bytes(self) -> int:
        """Return how many bytes of a body are passed on at most."""
        return self.max_body_bytes + BODY_MARGIN_BYTES
