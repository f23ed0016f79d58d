"""The framer of answers: what it lets through means the same to all readers."""

from itertools import pairwise

import pytest
from hypothesis import assume, given, settings
from hypothesis import strategies as st

from sardinequay_core.answer_framing import (
    MAX_FIELDS,
    MAX_HEAD_BYTES,
    MAX_INTERIM_ANSWERS,
    AnswerFault,
    AnswerFramer,
    AnswerFramingError,
    BodyEnd,
    FramedAnswer,
    read_answer_head,
)
from sardinequay_lab.broken_answers import AnswerCase, answer_cases

HEAD = b"HTTP/1.1 200 OK\r\nX-A: b\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TOKEN_CHARS = frozenset(
    b"!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
)
CASES = answer_cases()
SOUND_HEADS = [
    case.data().partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
    for case in CASES
    if case.status and not case.data().startswith(b"HTTP/1.1 1")
]


def frame(data: bytes, cuts: tuple[int, ...] = (), has_body: bool = True):
    """Return all that is let through, the fault, and whether the answer has ended."""
    framer, passed = AnswerFramer(has_body), b""
    framed = FramedAnswer(b"")
    for start, end in pairwise([0, *sorted(cuts), len(data)]):
        framed = framer.feed(data[start:end])
        passed += framed.data
        if framed.fault is not None or framed.has_excess:
            break
    return passed, framed.fault, framer.has_ended


def body_of(passed: bytes) -> bytes:
    """Return the body that plain chunks hold; they are read as strictly as can be."""
    rest, body = passed.partition(b"\r\n\r\n")[2], b""
    while rest and rest != b"0\r\n\r\n":
        size, _, rest = rest.partition(b"\r\n")
        assert size == b"%x" % int(size, 16)
        body += rest[: int(size, 16)]
        assert rest[int(size, 16) :].startswith(b"\r\n")
        rest = rest[int(size, 16) + 2 :]
    return body


def is_line_of_a_head(line: bytes) -> bool:
    """Return whether a line has a name and a value, by the letter of the RFC."""
    name, colon, value = line.partition(b":")
    return (
        bool(name and colon)
        and set(name) <= TOKEN_CHARS
        and all(c == 9 or c in range(32, 127) or c > 127 for c in value)
    )


def is_status_line(line: bytes) -> bool:
    """Return whether a line begins a final answer, by the letter of the RFC."""
    version, _, rest = line.partition(b" ")
    code, _, reason = rest.partition(b" ")
    return (
        version in (b"HTTP/1.0", b"HTTP/1.1")
        and len(code) == 3
        and set(code) <= set(b"0123456789")
        and 200 <= int(code) <= 599
        and is_line_of_a_head(b"X:" + reason)
    )


def frames_a_body(status_line: bytes, lines: list[bytes]) -> bool:
    """Return whether all readers agree on where the body after a head ends."""
    named = [line.partition(b":") for line in lines]
    codings = [
        v.strip(b" \t") for n, _, v in named if n.lower() == b"transfer-encoding"
    ]
    lengths = [v.strip(b" \t") for n, _, v in named if n.lower() == b"content-length"]
    if codings:
        return (
            [c.lower() for c in codings] == [b"chunked"]
            and not lengths
            and status_line.startswith(b"HTTP/1.1")
            and status_line.split()[1] != b"204"
        )
    if lengths:
        is_number = len(lengths) == 1 and lengths[0].isdigit()
        return is_number and (status_line.split()[1] != b"204" or not int(lengths[0]))
    return True


def is_head(data: bytes) -> bool:
    """Return whether bytes are the head of a final answer.

    This is the reference: the grammar, line by line and without expressions.
    """
    status_line, *lines = data.removesuffix(b"\r\n\r\n").split(b"\r\n")
    return (
        is_status_line(status_line)
        and all(map(is_line_of_a_head, lines))
        and frames_a_body(status_line, lines)
    )


@pytest.mark.parametrize("case", CASES, ids=lambda case: case.name)
def test_answer_has_the_verdict_of_the_table_however_it_is_cut(
    case: AnswerCase,
) -> None:
    data = case.data()
    for cuts in ((), (1,), tuple(range(1, min(len(data), 300))), (len(data) - 1,)):
        _, fault, _ = frame(data, cuts)
        assert (fault is None) == bool(case.status), (fault, cuts)


def test_nothing_of_a_refused_head_is_let_through() -> None:
    for case in CASES:
        head = case.data().partition(b"\r\n\r\n")[0] + b"\r\n\r\n"
        passed, fault, _ = frame(head)
        assert not passed or fault is None, case.name


@settings(max_examples=600, derandomize=True, deadline=None)
@given(
    st.sampled_from(SOUND_HEADS),
    st.integers(0, 90),
    st.integers(0, 3),
    st.binary(max_size=2)
    | st.sampled_from([b" ", b":", b"\r\n", b"\t", b"0", b"chunked"]),
)
def test_mutated_head_has_the_verdict_of_the_reference(
    head: bytes, place: int, dropped: int, added: bytes
) -> None:
    mutated = head[:place] + added + head[place + dropped :]
    end = mutated.find(b"\r\n\r\n") + 4
    assume(end >= 4 and not mutated.startswith((b"HTTP/1.1 1", b"HTTP/1.0 1")))
    mutated = mutated[:end]
    try:
        read_answer_head(mutated)
    except AnswerFramingError:
        assert not is_head(mutated)
    else:
        assert is_head(mutated)


@settings(max_examples=300, derandomize=True, deadline=None)
@given(
    st.lists(st.binary(min_size=1, max_size=40), max_size=6),
    st.lists(st.integers(0, 400), max_size=9),
    st.sampled_from([b"", b";a=b", b" "]),
)
def test_body_in_chunks_is_the_same_however_it_is_cut(
    parts: list[bytes], cuts: list[int], extension: bytes
) -> None:
    chunks = b"".join(b"%X%b\r\n%b\r\n" % (len(p), extension, p) for p in parts)
    data = CHUNKED + chunks + b"0\r\nX-T: u\r\n\r\n"
    passed, fault, has_ended = frame(data, tuple(c for c in cuts if c < len(data)))
    assert fault is None
    assert has_ended
    assert body_of(passed) == b"".join(parts)


def test_chunks_before_a_fault_are_let_through() -> None:
    passed, fault, has_ended = frame(CHUNKED + b"1\r\na\r\n2\r\nbc\r\nno chunk\r\n")
    assert fault is AnswerFault.BAD_CHUNK
    assert body_of(passed) == b"abc"
    assert not has_ended


@pytest.mark.parametrize(
    ("data", "has_body"),
    [
        (HEAD + b"Content-Length: 2\r\n\r\nab", True),
        (CHUNKED + b"1\r\na\r\n0\r\n\r\n", True),
        (b"HTTP/1.1 204 X\r\n\r\n", True),
        (b"HTTP/1.1 304 X\r\nContent-Length: 9\r\n\r\n", True),
        (HEAD + b"Content-Length: 9\r\n\r\n", False),
        (CHUNKED, False),
    ],
)
@pytest.mark.parametrize("is_cut", [False, True])
def test_bytes_after_an_answer_belong_to_none(
    data: bytes, has_body: bool, is_cut: bool
) -> None:
    framer = AnswerFramer(has_body)
    framed = framer.feed(data if is_cut else data + HEAD)
    assert framer.has_ended
    assert framed.has_excess is not is_cut
    assert framed.data == data
    if is_cut:
        assert framer.feed(HEAD) == FramedAnswer(b"", has_excess=True)


def test_interim_answers_are_skipped_up_to_a_bound() -> None:
    interim = b"HTTP/1.1 103 Early\r\nLink: x\r\n\r\n"
    final = HEAD + b"Content-Length: 0\r\n\r\n"
    passed, fault, has_ended = frame(interim * MAX_INTERIM_ANSWERS + final)
    assert (passed, fault, has_ended) == (final, None, True)
    _, fault, _ = frame(interim * (MAX_INTERIM_ANSWERS + 1))
    assert fault is AnswerFault.TOO_MANY_INTERIM


def test_head_is_bounded() -> None:
    lines = b"X-A: b\r\n" * (MAX_FIELDS - 1)
    assert frame(HEAD + lines + b"\r\n")[1] is None
    assert frame(HEAD + lines + b"X-B: c\r\n\r\n")[1] is AnswerFault.TOO_MANY_FIELDS
    long = HEAD + b"X-L: "
    fits = long + b"x" * (MAX_HEAD_BYTES - len(long) - 4) + b"\r\n\r\n"
    assert frame(fits)[1] is None
    framer = AnswerFramer()
    assert framer.feed(fits[:-4] + b"x").fault is None
    assert framer.feed(b"xxxx").fault is AnswerFault.HEAD_TOO_LARGE


@pytest.mark.parametrize(
    "begin",
    [b"\x00", b"H\x00", b"\r", b"HTTP/2", b"HTTP/1.1 200 OK\n", b"HTTP/1.1 200 OK\rX"],
)
def test_bytes_that_begin_no_head_are_refused_at_once(begin: bytes) -> None:
    assert AnswerFramer().feed(begin).fault is not None


def test_offer_to_switch_the_protocol_is_left_out() -> None:
    offer = b"Upgrade: websocket\r\nupgrade: tcp\r\n"
    passed, fault, _ = frame(HEAD + offer + b"Content-Length: 0\r\n\r\n")
    assert (passed, fault) == (HEAD + b"Content-Length: 0\r\n\r\n", None)


def test_fields_of_a_head_are_its_lines() -> None:
    head = read_answer_head(HEAD + b"x-a:\t c \r\nY:\r\nZ: \xc3\xa9 \xff\r\n\r\n")
    assert head.body_end is BodyEnd.CONNECTION
    assert head.fields() == [
        ("X-A", "b"),
        ("x-a", "c"),
        ("Y", ""),
        ("Z", "\xe9 \udcff"),
    ]
