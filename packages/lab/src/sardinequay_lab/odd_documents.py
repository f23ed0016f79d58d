"""Documents that others might write: sound ones, nested, stretched and repeated.

Random bytes are refused at the first of them. These documents are sound but for one
value, so that they reach what stands behind the decoder.
"""

import copy
import json
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Any

DEPTHS = (100, 1_200, 100_000)
"""Depths of nested values; the interpreter and the decoder bear some 1,000."""

REPEATS = 3_000
LONG_TEXT_CHARS = 50_000
MARK = "@odd@"
"""Stands for a value whose text is put in after encoding."""


@dataclass(frozen=True, slots=True)
class OddValue:
    """A value in its JSON encoding, which need not be sound, and its name."""

    name: str
    text: str


@dataclass(frozen=True, slots=True)
class OddDocument:
    """A document and how it was made."""

    name: str
    data: bytes


def odd_values() -> list[OddValue]:
    """Return the values that take the place of sound ones."""
    plain = [
        OddValue(text, text)
        for text in (
            "null",
            "true",
            "0",
            "-1",
            "1.5",
            "1e-300",
            "1e300",
            "1e400",
            "9007199254740993",
            str(2**63),
            str(2**64),
            str(-(2**64)),
            "NaN",
            "[]",
            "{}",
            "[null]",
            '""',
            '" "',
            r'"\u0000"',
            r'"\ud800"',
            r'"a\r\nb: c"',
            '"\u00b2"',
            '"1e999"',
            '"127.0.0.1:\u00b2"',
            '"127.0.0.1:0"',
            '"127.0.0.1:65536"',
            '"127.0.0.1:-1"',
            '"127.0.0.1:99999999999999999999"',
            '"::1"',
            f'"{"a" * 70}:80"',
        )
    ]
    return [*plain, *stretched_values(), *nested_values()]


def stretched_values() -> list[OddValue]:
    """Return numbers and texts that are very long."""
    return [
        OddValue("400 digits", "1" + "0" * 400),
        OddValue("5000 digits", "1" + "0" * 5_000),
        OddValue("text of digits", '"' + "9" * 5_000 + '"'),
        OddValue("long text", '"' + "x" * LONG_TEXT_CHARS + '"'),
        OddValue("long address", '"' + "1" * 300 + ':80"'),
        OddValue("many numbers", json.dumps(list(range(REPEATS)))),
        OddValue("many texts", json.dumps(["x" * 9] * REPEATS)),
    ]


def nested_values() -> list[OddValue]:
    """Return lists and objects that nest, whole and cut off."""
    values = []
    for depth in DEPTHS:
        values += [
            OddValue(f"{depth} lists", "[" * depth + "]" * depth),
            OddValue(f"{depth} lists cut off", "[" * depth),
            OddValue(f"{depth} objects", '{"a":' * depth + "1" + "}" * depth),
            OddValue(f"{depth} objects cut off", '{"a":' * depth),
        ]
    return values


def odd_documents(sound: Any) -> Iterator[OddDocument]:
    """Yield documents that are sound but for one value, or one more field."""
    for value in odd_values():
        yield OddDocument(f"whole is {value.name}", value.text.encode())
    for path in paths_of(sound):
        for value in odd_values():
            yield put_in(sound, path, value)
        yield without(sound, path)
    yield from repeated(sound)


def paths_of(value: Any, path: tuple[Any, ...] = ()) -> Iterator[tuple[Any, ...]]:
    """Yield the path of each field, of lists' first items too, and of new ones."""
    if isinstance(value, dict):
        yield (*path, "unknownField")
        for name, inner in value.items():
            yield (*path, name)
            yield from paths_of(inner, (*path, name))
    elif isinstance(value, list) and value:
        yield (*path, 0)
        yield from paths_of(value[0], (*path, 0))


def put_in(sound: Any, path: tuple[Any, ...], value: OddValue) -> OddDocument:
    """Return a document with an odd value at a path."""
    changed = copy.deepcopy(sound)
    holder_of(changed, path)[path[-1]] = MARK
    text = json.dumps(changed).replace(json.dumps(MARK), value.text)
    name = f"{'.'.join(map(str, path))} is {value.name}"
    return OddDocument(name, text.encode())


def without(sound: Any, path: tuple[Any, ...]) -> OddDocument:
    """Return a document that lacks the value at a path."""
    changed = copy.deepcopy(sound)
    holder = holder_of(changed, path)
    if path[-1] in holder or isinstance(holder, list):
        del holder[path[-1]]
    return OddDocument(f"no {'.'.join(map(str, path))}", json.dumps(changed).encode())


def repeated(sound: Any) -> Iterator[OddDocument]:
    """Yield documents in which a list, or all fields, come many times."""
    for path in paths_of(sound):
        if path[-1] != 0:
            continue
        changed = copy.deepcopy(sound)
        items = holder_of(changed, path)
        items *= REPEATS
        name = f"{'.'.join(map(str, path[:-1]))} repeated"
        yield OddDocument(name, json.dumps(changed).encode())
    if isinstance(sound, dict):
        fields = json.dumps(sound)[1:-1]
        text = "{" + ", ".join([fields] * 50) + "}"
        yield OddDocument("each field 50 times", text.encode())


def holder_of(value: Any, path: tuple[Any, ...]) -> Any:
    """Return the object or list that has the last item of a path."""
    for step in path[:-1]:
        value = value[step]
    return value
