"""Heads of answers, from bytes that come in pieces."""

import pytest

from sardinequay_core.answer_framing import MAX_HEAD_BYTES, AnswerFramer
from sardinequay_daemon.answer_head import HeadReader
from sardinequay_lab.broken_answers import answer_cases

HEAD = b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 3\r\nX-A: 1\r\n\r\n"


def test_head_that_comes_in_pieces_is_read_once() -> None:
    reader = HeadReader()
    heads = [reader.feed(bytes([byte])) for byte in HEAD + b"body\r\n\r\n"]
    (head,) = [head for head in heads if head is not None]
    assert head.status == 503
    assert head.headers["retry-after"] == "3"
    assert reader.is_done


def test_head_after_an_interim_one_is_read() -> None:
    head = HeadReader().feed(b"HTTP/1.1 100 Continue\r\n\r\n" + HEAD)
    assert head is not None
    assert head.status == 503


def test_headers_that_come_twice_are_all_read() -> None:
    head = HeadReader().feed(
        b"HTTP/1.0 200 OK\r\nServer-Leaving: 0\r\nServer-Leaving: 1\r\n\r\n"
    )
    assert head is not None
    assert head.headers.getall("Server-Leaving") == ["0", "1"]


@pytest.mark.parametrize(
    "data",
    [
        b"garbage\r\n\r\n",
        b"HTTP/1.1 999 Odd\r\n\r\n",
        b"\r\n\r\n",
        b"HTTP/2 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\n" + b"X-A: 1\r\n" * 200 + b"\r\n",
        b"x" * (MAX_HEAD_BYTES + 1),
    ],
)
def test_what_is_no_answer_has_no_head(data: bytes) -> None:
    reader = HeadReader()
    assert reader.feed(data) is None
    assert reader.is_done
    assert not reader.reader.buffer


def has_head(data: bytes) -> bool:
    """Return whether the host that asked for an answer takes its head."""
    framer = AnswerFramer()
    framer.feed(data)
    return framer.head is not None


@pytest.mark.parametrize("piece_bytes", [1, 9, 100_000])
def test_head_is_read_just_where_the_host_that_asked_takes_it(piece_bytes) -> None:
    for case in answer_cases():
        reader, data = HeadReader(), case.data()
        starts = range(0, len(data), piece_bytes)
        heads = [reader.feed(data[start : start + piece_bytes]) for start in starts]
        found = [head for head in heads if head is not None]
        assert len(found) == has_head(data), case.name
