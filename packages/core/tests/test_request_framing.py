"""The framer: what it lets through is bounded and unambiguous, however it is cut."""

from itertools import pairwise

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from sardinequay_core.outcome import Outcome, Reason
from sardinequay_core.request_framing import (
    FramingFault,
    FramingLimits,
    RequestFramer,
    RequestFramingError,
)

LIMITS = FramingLimits(
    max_header_bytes=300,
    max_body_bytes=1000,
    max_headers=9,
    max_empty_lines=2,
    max_chunk_line_bytes=20,
    max_trailer_bytes=60,
)
LINE = b"POST /x HTTP/1.1\r\nHost: h\r\n"
CHUNKED = LINE + b"Transfer-Encoding: chunked\r\n\r\n"
MAX_PIECES = 5


def frame(data: bytes, cuts: tuple[int, ...] = ()):
    """Return what is let through, the fault, and the most that was held."""
    framer, passed, held = RequestFramer(LIMITS), b"", 0
    edges = [0, *sorted(cuts), len(data)]
    try:
        for start, end in pairwise(edges):
            framer.feed(data[start:end])
            while (part := framer.take(MAX_PIECES)).data or part.pieces:
                assert part.pieces <= MAX_PIECES + 1
                passed += part.data
            held = max(held, framer.pending_bytes)
    except RequestFramingError as error:
        return passed, error.fault, held
    return passed, None, held


def body_of(passed: bytes) -> bytes:
    """Return the body that chunks of a message hold."""
    rest, body = passed.partition(b"\r\n\r\n")[2], b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size, 16)]
        rest = rest[int(size, 16) + 2 :]
    return body


def test_messages_pass_as_they_were_sent() -> None:
    data = LINE + b"Content-Length: 3\r\n\r\nabc" + LINE + b"\r\n"
    assert frame(data) == (data, None, 0)


def test_chunks_pass_without_extensions_and_trailers() -> None:
    data = CHUNKED + b"3;a=b\r\nabc\r\n1\r\nd\r\n0\r\nx: y\r\n\r\n"
    passed, fault, _ = frame(data)
    assert passed == CHUNKED + b"4\r\nabcd\r\n0\r\n\r\n"
    assert fault is None


def test_empty_lines_before_a_message_are_dropped() -> None:
    data = LINE + b"\r\n"
    assert frame(b"\r\n\r\n" + data)[0] == data


@pytest.mark.parametrize(
    ("data", "fault"),
    [
        (b"\0", FramingFault.BAD_HEAD),
        (b"\n", FramingFault.BAD_LINE_END),
        (b"\r\n" * 3, FramingFault.EMPTY_LINES),
        (b"GET /\r\n\r\n", FramingFault.BAD_HEAD),
        (b"GET / HTTP/0.9\r\n\r\n", FramingFault.BAD_HEAD),
        (b"GET / HTTP/1.1\r\n\r\n", FramingFault.BAD_HEAD),
        (b"GET  / HTTP/1.1\r\nHost: h\r\n\r\n", FramingFault.BAD_HEAD),
        (b"GET / HTTP/1.1\nHost: h\n\n", FramingFault.BAD_LINE_END),
        (b"GET /\ra HTTP/1.1\r\nHost: h\r\n\r\n", FramingFault.BAD_HEAD),
        (LINE + b"a : b\r\n\r\n", FramingFault.BAD_HEAD),
        (LINE + b": b\r\n\r\n", FramingFault.BAD_HEAD),
        (LINE + b"a: b\r\n c\r\n\r\n", FramingFault.BAD_HEAD),
        (LINE + b"a: \x01\r\n\r\n", FramingFault.BAD_HEAD),
        (LINE + b"Host: h\r\n\r\n", FramingFault.AMBIGUOUS_LENGTH),
        (LINE + b"a:\r\n" * 9 + b"\r\n", FramingFault.TOO_MANY_HEADERS),
        (LINE + b"a: " + b"a" * 2000, FramingFault.HEAD_TOO_LARGE),
        (b"GET /" + b"a" * 2000, FramingFault.HEAD_TOO_LARGE),
        (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", FramingFault.TUNNEL),
        (LINE + b"Content-Length: +1\r\n\r\n", FramingFault.AMBIGUOUS_LENGTH),
        (LINE + b"Content-Length: 1,1\r\n\r\n", FramingFault.AMBIGUOUS_LENGTH),
        (LINE + b"Content-Length:\r\n\r\n", FramingFault.AMBIGUOUS_LENGTH),
        (
            LINE + b"Content-Length: 1\r\ncontent-length: 1\r\n\r\n",
            FramingFault.AMBIGUOUS_LENGTH,
        ),
        (
            LINE + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            FramingFault.AMBIGUOUS_LENGTH,
        ),
        (
            LINE + b"Transfer-Encoding: gzip, chunked\r\n\r\n",
            FramingFault.AMBIGUOUS_LENGTH,
        ),
        (
            b"POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
            FramingFault.AMBIGUOUS_LENGTH,
        ),
        (CHUNKED + b"zz\r\n", FramingFault.BAD_CHUNK),
        (CHUNKED + b"1 1\r\n", FramingFault.BAD_CHUNK),
        (CHUNKED + b"1\na", FramingFault.BAD_CHUNK),
        (CHUNKED + b"1\r\nab", FramingFault.BAD_CHUNK),
        (CHUNKED + b"0" * 50, FramingFault.BAD_CHUNK),
        (CHUNKED + b"1;" + b"a" * 50, FramingFault.BAD_CHUNK),
        (CHUNKED + b"0\r\n" + b"a: b\r\n" * 11, FramingFault.TRAILERS_TOO_LARGE),
        (CHUNKED + b"0\r\na: " + b"b" * 99, FramingFault.TRAILERS_TOO_LARGE),
        (CHUNKED + b"0\r\nno trailer\r\n", FramingFault.BAD_TRAILERS),
    ],
)
def test_what_is_no_request_within_the_limits_is_refused(data, fault) -> None:
    if fault is FramingFault.BAD_CHUNK and b"\n" in data[-3:]:
        data += b"\r\n" * 20
    assert frame(data)[1] is fault
    one_by_one = tuple(range(1, len(data)))
    assert frame(data, one_by_one)[1] in (fault, FramingFault.BAD_LINE_END)


@pytest.mark.parametrize("fault", FramingFault)
def test_refusals_say_truly_that_nothing_has_run(fault: FramingFault) -> None:
    refusal = RequestFramingError(fault).refusal
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.reason in (Reason.MALFORMED, Reason.HEADERS_TOO_LARGE)
    assert refusal.status in (400, 431)


@pytest.mark.parametrize(
    "data",
    [
        LINE + b"Content-Length: 999999999999\r\n\r\n" + b"x" * 200_000,
        CHUNKED + b"FFFFFFFFFF\r\n" + b"x" * 200_000,
        CHUNKED + b"1\r\nx\r\n" * 100_000,
    ],
)
def test_body_beyond_its_limit_is_passed_on_until_that_is_seen(data: bytes) -> None:
    framer = RequestFramer(LIMITS)
    framer.feed(data)
    passed = b""
    while (part := framer.take(MAX_PIECES)).data or part.pieces:
        passed += part.data
    assert framer.is_stopped
    head, _, body = passed.partition(b"\r\n\r\n")
    size = len(body) if b"Content-Length" in head else len(body_of(passed))
    assert LIMITS.max_body_bytes < size <= LIMITS.max_passed_body_bytes
    framer.feed(b"x" * 1000)
    assert framer.pending_bytes == 0


def test_body_within_its_limit_may_come_in_chunks_of_a_byte() -> None:
    data = CHUNKED + b"1\r\nx\r\n" * LIMITS.max_body_bytes + b"0\r\n\r\n"
    passed, fault, _ = frame(data)
    assert fault is None
    assert body_of(passed) == b"x" * LIMITS.max_body_bytes


PIECES = st.sampled_from(
    [
        b"\r\n",
        b"\n",
        b"\r",
        b"\0",
        LINE,
        CHUNKED,
        LINE + b"Content-Length: 4\r\n\r\n",
        b"Content-Length: 2\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"3\r\nabc\r\n",
        b"1;e=f\r\nd\r\n",
        b"0\r\n",
        b"0\r\n\r\n",
        b"a: b\r\n",
        b"abcd",
        b"x" * 700,
        b"fff\r\n",
    ]
)


@settings(derandomize=True, max_examples=600)
@given(st.lists(PIECES | st.binary(max_size=9), max_size=14), st.data())
def test_cuts_change_neither_verdict_nor_what_is_let_through(pieces, data) -> None:
    whole = b"".join(pieces)
    cuts = data.draw(
        st.lists(st.integers(0, len(whole)), max_size=30).map(tuple), label="cuts"
    )
    passed, fault, held = frame(whole, cuts)
    expected, expected_fault, _ = frame(whole)
    edges = [0, *sorted(cuts), len(whole)]
    longest = max(end - start for start, end in pairwise(edges))
    assert held <= LIMITS.max_head_bytes + longest
    if fault is expected_fault is None:
        assert joined(passed) == joined(expected)
    else:
        assert (fault is None) == (expected_fault is None)


def joined(passed: bytes) -> bytes:
    """Return messages without the borders of their chunks, which cuts may move."""
    out, rest = b"", passed
    while rest:
        head, _, rest = rest.partition(b"\r\n\r\n")
        out += head + b"\r\n\r\n"
        if b"Transfer-Encoding" not in head:
            length = head.partition(b"Content-Length: ")[2].partition(b"\r\n")[0]
            size = int(length or b"0")
            out, rest = out + rest[:size], rest[size:]
            continue
        while rest:
            line, _, rest = rest.partition(b"\r\n")
            size = int(line, 16)
            out, rest = out + rest[:size], rest[size + 2 :]
            if not size:
                out += b"|"
                break
    return out
