"""Documents of others: malformed ones raise one typed error, however they nest."""

from typing import Any

import msgspec
import pytest

from sardinequay_core.documents import (
    MAX_NESTING,
    decode_json,
    decode_json_value,
    decode_msgpack,
    encode_json,
    encode_msgpack,
    is_nested_too_deep,
)
from sardinequay_core.errors import DocumentError


class Entry(msgspec.Struct):
    name: str
    number: int = 0


def call_deep(levels: int, function: Any) -> Any:
    """Call a function with more of the stack used."""
    return function() if levels == 0 else call_deep(levels - 1, function)


@pytest.mark.parametrize("depth", [MAX_NESTING + 1, 1_200, 100_000])
@pytest.mark.parametrize(("opening", "closing"), [("[", "]"), ('{"a":', "}")])
@pytest.mark.parametrize("is_whole", [True, False])
def test_document_that_nests_too_deep_is_malformed(
    depth: int, opening: str, closing: str, is_whole: bool
) -> None:
    nested = opening * depth + ("1" + closing * depth if is_whole else "")
    for data in (nested.encode(), f'{{"name": "x", "other": {nested}}}'.encode()):
        with pytest.raises(DocumentError):
            decode_json_value(data)
        with pytest.raises(DocumentError):
            decode_json(data, Entry)


def test_same_documents_are_sound_however_deep_the_stack_is() -> None:
    data = b"[" * MAX_NESTING + b"]" * MAX_NESTING
    value = call_deep(600, lambda: decode_json_value(data))
    assert call_deep(600, lambda: encode_json(value)) == data


def test_brackets_in_texts_are_no_nesting() -> None:
    text = "[{" * 500 + '\\"' + "[" * 500
    assert decode_json_value(encode_json({"a": text})) == {"a": text}
    many = encode_json([[n] for n in range(5_000)])
    assert not is_nested_too_deep(many)


@pytest.mark.parametrize("tail", [b'"', b"\\", b'\\"', b""])
def test_text_without_an_end_is_malformed(tail: bytes) -> None:
    data = b'{"a": "' + b'\\"' * 50_000 + b"[" * 500 + tail
    with pytest.raises(DocumentError):
        decode_json_value(data)


@pytest.mark.parametrize(
    "data", [b"", b"\xff", b"NaN", b"1e999", b'"\\ud800"', b'{"name": 1}', b"[1,"]
)
def test_malformed_document_raises_the_typed_error(data: bytes) -> None:
    with pytest.raises(DocumentError):
        decode_json(data, Entry)


@pytest.mark.parametrize(
    "value", [2**64, -(2**64), "\ud800", {"a": 10**40}, 1j], ids=repr
)
def test_value_that_peers_cannot_be_sent_raises_the_typed_error(value: object) -> None:
    with pytest.raises(DocumentError):
        encode_msgpack(value)


def test_nested_messages_raise_the_typed_error() -> None:
    for data in (b"\x91" * 1_200 + b"\x01", b"\x81\xa1z" + b"\x91" * 1_200 + b"\x01"):
        with pytest.raises(DocumentError):
            decode_msgpack(data, Entry)
