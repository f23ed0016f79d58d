"""Frames between entry hosts: msgpack arrays of kind, correlation, tag and body.

A body that is not small is compressed: leases and claims repeat the same names.
"""

import zlib
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from enum import IntEnum
from typing import Any

import msgpack
import msgspec

from .errors import DaemonError

FRAME_PARTS = 5
COMPRESS_FROM_BYTES = 512
COMPRESSION_LEVEL = 1
MAX_BODY_BYTES = 64 * 1024 * 1024
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Above the largest honest frame: a page of a handover, or the leaves of a bundle."""


BY_TAG: dict[str, type] = {}
"""Types of messages by their tag. Modules that define messages enter them, so that a
host loads only those that it speaks, and starts sooner."""


def register_messages(kinds: Iterable[type]) -> None:
    """Enter types of messages that frames may carry."""
    BY_TAG.update({kind.__name__: kind for kind in kinds})


class FrameKind(IntEnum):
    """What a frame is."""

    REQUEST = 0
    REPLY = 1
    FAILURE = 2
    ALIVE = 3


@dataclass(unsafe_hash=True)
class FrameError(DaemonError):
    """Bytes that are no frame, or a message that is not known."""

    detail: str

    def __str__(self) -> str:
        return self.detail


@dataclass(frozen=True, slots=True)
class Frame:
    """One frame; `body` is the packed message, compressed or not."""

    kind: FrameKind
    correlation: int
    tag: str = ""
    body: bytes = b""
    is_compressed: bool = False


def encode_frame(frame: Frame) -> bytes:
    """Return a frame's bytes."""
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
    """Return the frame that carries a message."""
    body = msgspec.msgpack.encode(message)
    tag = type(message).__name__
    if len(body) < COMPRESS_FROM_BYTES:
        return Frame(kind, correlation, tag, body)
    packed = zlib.compress(body, COMPRESSION_LEVEL)
    return Frame(kind, correlation, tag, packed, is_compressed=True)


def decompress_body(frame: Frame) -> bytes:
    """Return a frame's body as it was before it was compressed."""
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
    """Return the message that a frame carries, checked against its type."""
    kind = BY_TAG.get(frame.tag)
    if kind is None:
        raise FrameError(f"unknown message {frame.tag!r}")
    try:
        return msgspec.msgpack.decode(decompress_body(frame), type=kind)
    except msgspec.DecodeError as error:
        raise FrameError(f"{frame.tag}: {error}") from error


class FrameReader:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self.unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME_BYTES)

    def feed(self, data: bytes) -> Iterator[Frame]:
        """Take bytes and yield the frames that they complete."""
        try:
            self.unpacker.feed(data)
            for item in self.unpacker:
                yield parse_frame(item)
        except (msgpack.exceptions.UnpackException, ValueError) as error:
            raise FrameError(f"not a frame: {error}") from error


def parse_frame(item: Any) -> Frame:
    """Check one unpacked item's shape."""
    if not isinstance(item, list) or len(item) != FRAME_PARTS:
        raise FrameError(f"a frame has {FRAME_PARTS} parts")
    kind, correlation, tag, body, is_compressed = item
    if not (isinstance(correlation, int) and isinstance(tag, str)):
        raise FrameError("wrong types in a frame")
    if not (isinstance(body, bytes) and isinstance(is_compressed, bool)):
        raise FrameError("wrong type of a frame's body")
    return Frame(FrameKind(kind), correlation, tag, body, is_compressed)
