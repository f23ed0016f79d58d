"""Decoding of JSON and msgpack documents that others wrote, with one typed error.

The decoder's own limit on nesting depends on how much stack its caller has used, so
that one host could decode what another cannot. `MAX_NESTING` is the same everywhere.
"""

import re
from typing import Any, TypeVar

import msgspec

from .errors import DocumentError

T = TypeVar("T")

MAX_NESTING = 128
"""Greatest depth of arrays and objects in a JSON document."""

STRING = re.compile(rb'"[^"\\]*+(?:\\.[^"\\]*+)*+(?:"|\\?\Z)', re.DOTALL)
"""A string of a JSON document. One that does not end is matched up to the end of the
document, so that the search takes linear time."""

OPENING = ord("["), ord("{")
NOT_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))

DECODE_ERRORS = (
    msgspec.MsgspecError,
    RecursionError,
    ArithmeticError,
    LookupError,
    TypeError,
    ValueError,
)
"""Exceptions that the decoder and the encoder raise for unusable documents and values;
the decoded types may raise some of their own."""


def decode_json(data: bytes, kind: type[T]) -> T:
    """Decode a JSON document into a type; unknown fields are skipped.

    Raises
    ------
    DocumentError
        If it is malformed, of another type, or nests deeper than `MAX_NESTING`.
    """
    if is_nested_too_deep(data):
        raise DocumentError(f"nested deeper than {MAX_NESTING} levels")
    try:
        return msgspec.json.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise DocumentError(str(error)) from error


def decode_json_value(data: bytes) -> Any:
    """Decode a JSON document of any type; see `decode_json`."""
    decoded: Any = decode_json(data, Any)
    return decoded


def encode_json(value: object) -> bytes:
    """Encode a value as JSON; raise `DocumentError` if it cannot be encoded."""
    try:
        return msgspec.json.encode(value)
    except DECODE_ERRORS as error:
        raise DocumentError(str(error)) from error


def decode_msgpack(data: bytes, kind: type[T]) -> T:
    """Decode a msgpack document into a type; raise `DocumentError` if malformed."""
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except DECODE_ERRORS as error:
        raise DocumentError(str(error)) from error


def encode_msgpack(value: object) -> bytes:
    """Encode a value as msgpack; raise `DocumentError` if it cannot be encoded.

    Integers beyond 64 bits, for example, cannot.
    """
    try:
        return msgspec.msgpack.encode(value)
    except DECODE_ERRORS as error:
        raise DocumentError(str(error)) from error


def is_nested_too_deep(data: bytes) -> bool:
    """Return whether a JSON document nests deeper than `MAX_NESTING`.

    Few documents have so many brackets that their depth must be counted.
    """
    if data.count(b"[") + data.count(b"{") <= MAX_NESTING:
        return False
    depth = 0
    for bracket in STRING.sub(b"", data).translate(None, NOT_BRACKETS):
        depth += 1 if bracket in OPENING else -1
        if depth > MAX_NESTING:
            return True
    return False
