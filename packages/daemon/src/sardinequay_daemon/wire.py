"""Encoding of the frames between entry hosts.

A frame is a msgpack array of kind, correlation, tag, body and compression flag. Bodies
from `COMPRESS_FROM_BYTES` on are compressed: leases and claims repeat the same names.
"""

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack

from sardinequay_core.documents import decode_msgpack, encode_msgpack
from sardinequay_core.errors import DocumentError

from .errors import DaemonError

FRAME_PARTS = 5
COMPRESS_FROM_BYTES = 512
COMPRESSION_LEVEL = 1
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Above the largest valid frame: a page of a handover, or the leaves of a bundle."""


BY_TAG: dict[str, type] = {}
"""Message types by tag, which is the name of the class. Each module that defines
messages registers them here, so that a host imports only the messages that it uses and
starts sooner."""


def register_messages(message_types: Iterable[type]) -> None:
    """Register message types that frames may carry."""
    BY_TAG.update({t.__name__: t for t in message_types})


class FrameKind(IntEnum):
    """Purpose of a frame."""

    REQUEST = 0
    REPLY = 1
    FAILURE = 2
    ALIVE = 3
    DATA = 4
    END = 5


@dataclass(unsafe_hash=True)
class FrameError(DaemonError):
    """Invalid frame, or a message that is unknown or does not match its type."""

    detail: str

    def __str__(self) -> str:
        return self.detail


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame; `body` is the packed message, possibly compressed."""

    kind: FrameKind
    correlation: int
    tag: str = ""
    body: bytes = b""
    is_compressed: bool = False


def encode_frame(frame: Frame) -> bytes:
    """Return the bytes of a frame."""
    parts = (
        int(frame.kind),
        frame.correlation,
        frame.tag,
        frame.body,
        frame.is_compressed,
    )
    packed = msgpack.packb(parts)
    return bytes(packed)


def encode_message(kind: FrameKind, correlation: int, message: Any) -> Frame:
    """Pack a message into a frame, compressed if it is large.

    Raises
    ------
    FrameError
        If a value of the message cannot be encoded.
    """
    tag = type(message).__name__
    try:
        body = encode_msgpack(message)
    except DocumentError as error:
        raise FrameError(f"{tag}: {error}") from error
    if len(body) < COMPRESS_FROM_BYTES:
        return Frame(kind, correlation, tag, body)
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    return Frame(kind, correlation, tag, packed, is_compressed=True)


def decompress_body(frame: Frame) -> bytes:
    """Return the body of a frame, decompressed if necessary."""
    if not frame.is_compressed:
        return frame.body
    unpacker = zlib.decompressobj()
    try:
        body = unpacker.decompress(frame.body, MAX_BODY_BYTES)
    except zlib.error as error:
        raise FrameError(f"{frame.tag}: {error}") from error
    if not unpacker.eof:
        raise FrameError(f"{frame.tag}: the body exceeds {MAX_BODY_BYTES} bytes")
    return body


def decode_message(frame: Frame) -> Any:
    """Unpack the message of a frame, validated against its type."""
    message_type = BY_TAG.get(frame.tag)
    if message_type is None:
        raise FrameError(f"unknown message {frame.tag!r}")
    try:
        return decode_msgpack(decompress_body(frame), message_type)
    except DocumentError as error:
        raise FrameError(f"{frame.tag}: {error}") from error


class FrameReader:
    """Splits a byte stream into frames."""

    def __init__(self) -> None:
        # The unpacker allocates an array of the length that its head states.
        self.unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES,
            max_array_len=FRAME_PARTS,
            max_map_len=0,
            max_ext_len=0,
        )

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Add received bytes and yield the frames that are complete."""
        try:
            self.unpacker.feed(data)
            for item in self.unpacker:
                yield parse_frame(item)
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise FrameError(f"not a frame: {error}") from error


def parse_frame(item: Any) -> Frame:
    """Validate the parts of an unpacked frame."""
    if not isinstance(item, list) or len(item) != FRAME_PARTS:
        raise FrameError(f"frame is not an array of {FRAME_PARTS} parts")
    kind, correlation, tag, body, is_compressed = item
    if not (isinstance(correlation, int) and isinstance(tag, str)):
        raise FrameError("correlation or tag of a frame has the wrong type")
    if not (isinstance(body, bytes) and isinstance(is_compressed, bool)):
        raise FrameError("body or compression flag of a frame has the wrong type")
    return Frame(FrameKind(kind), correlation, tag, body, is_compressed)
