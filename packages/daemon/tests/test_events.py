"""Splitting of server-sent events, and assembly of chunks to a whole answer."""

import json
import tracemalloc
from collections.abc import Iterator
from itertools import count, islice, pairwise, repeat

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinequay_daemon.answers import CompletionAssembler
from sardinequay_daemon.errors import MalformedAnswerError
from sardinequay_daemon.server_sent_events import (
    MAX_EVENT_BYTES,
    MAX_IDLE_BYTES,
    EventBatch,
    EventReader,
    event_payloads,
)
from sardinequay_lab.odd_documents import odd_documents

STREAM = b'id: 1\ndata: {"a":1}\n\n: alive\n\nid: 2\ndata: [DONE]\n\n'
TRICKY = (
    b"\xef\xbb\xbfid: 1\ndata: a\n\n",
    b"id:2\ndata: a valid id: 9\n\n",
    b": id: 7\n",
    b"id: 3\ndata: id: 8\ndata\n\n",
    b"sardinequay-weight-versions: 5\nid: 4\ndata: data: [DONE]\n\n",
    b"event: x\nid: 5\ndata:\n\n",
)
MAX_KEPT_BYTES = 100_000_000
MANY_CHUNKS = 20_000
LINE_ENDS = (b"\n", b"\r\n", b"\r")


def feed_all(pieces: list[bytes]) -> tuple[EventReader, list[EventBatch]]:
    reader = EventReader()
    batches = [batch for batch in map(reader.feed, pieces) if batch is not None]
    return reader, batches


def split_at(data: bytes, places: list[int]) -> list[bytes]:
    borders = [0, *sorted(place % (len(data) + 1) for place in places), len(data)]
    return [data[a:b] for a, b in pairwise(borders)]


@given(st.integers(1, len(STREAM)))
def test_events_are_whole_for_any_chunk_size(size: int) -> None:
    pieces = [STREAM[i : i + size] for i in range(0, len(STREAM), size)]
    _, batches = feed_all(pieces)
    assert b"".join(e.data for e in batches) == STREAM
    assert max(e.last_id for e in batches) == 2
    assert batches[-1].done


@given(st.sampled_from(LINE_ENDS), st.lists(st.integers(0, 400)))
def test_ids_are_read_from_fields_alone_for_any_split(
    line_end: bytes, places: list[int]
) -> None:
    whole = b"".join(TRICKY).replace(b"\n", line_end)
    reader, batches = feed_all(split_at(whole, places))
    assert b"".join(batch.data for batch in batches) == whole
    assert reader.unfinished == b""
    numbered = [batch for batch in batches if batch.last_id]
    assert numbered[0].first_id == 1
    assert numbered[-1].last_id == 5
    assert numbered[-1].resume_after == "5"
    for before, after in pairwise(numbered):
        assert after.first_id == before.last_id + 1
    assert not any(batch.done for batch in batches)


@given(st.sampled_from(LINE_ENDS), st.integers(1, 200))
def test_a_stream_that_ends_inside_an_event_has_unfinished_bytes(
    line_end: bytes, length: int
) -> None:
    event = b"id: 1\ndata: some text\n\n".replace(b"\n", line_end)
    cut = event[: min(length, len(event) - 1)]
    reader, batches = feed_all([cut])
    assert reader.unfinished == cut
    assert not batches


def test_an_event_without_an_id_leaves_no_id_to_resume_after() -> None:
    _, batches = feed_all([b"id: 1\ndata: a\n\n", b"data: b\n\n", b": c\n"])
    assert [batch.resume_after for batch in batches] == ["1", "", None]


def test_an_id_that_fits_no_header_leaves_no_id_to_resume_after() -> None:
    _, batches = feed_all([b"id: a b\ndata: a\n\n"])
    assert [batch.resume_after for batch in batches] == [""]


def test_event_above_the_size_limit_is_rejected() -> None:
    reader = EventReader()
    with pytest.raises(ValueError, match="exceeds"):
        reader.feed(b"x" * (MAX_EVENT_BYTES + 1))


def test_payloads_are_the_data_fields_of_events() -> None:
    data = b": data: c\ndata: a\ndata:b\n\nid: 1\n\ndata: data: [DONE]\n\n"
    assert event_payloads(data) == [b"a\nb", b"data: [DONE]"]


def chunk(choice: dict[str, object], kind: str) -> bytes:
    body = {"id": "r", "object": kind, "choices": [{"index": 0, **choice}]}
    return b"data: " + json.dumps(body).encode() + b"\n\n"


def test_chunks_of_a_completion_become_one_text() -> None:
    whole = CompletionAssembler()
    for text in ("a ", "b"):
        whole.add_events(chunk({"text": text}, "text_completion"))
    whole.add_events(b"data: [DONE]\n\n")
    body = json.loads(whole.body())
    assert body["object"] == "text_completion"
    assert body["choices"] == [{"index": 0, "text": "a b"}]


def test_chunks_of_a_chat_become_one_message() -> None:
    whole = CompletionAssembler()
    for text in ("a ", "b"):
        whole.add_events(chunk({"delta": {"content": text}}, "chat.completion.chunk"))
    body = json.loads(whole.body())
    assert body["object"] == "chat.completion"
    message = {"role": "assistant", "content": "a b"}
    assert body["choices"] == [{"index": 0, "message": message}]


@pytest.mark.parametrize("line", [b": wait\n", b"\n", b"retry: 1\n\n"])
def test_stream_that_never_comes_to_an_event_is_none(line: bytes) -> None:
    reader = EventReader()
    with pytest.raises(ValueError, match="no event in"):
        reader.feed(line * (MAX_IDLE_BYTES + 1))


def test_comments_between_events_go_on_without_end() -> None:
    reader = EventReader()
    comments = b": wait\n\n" * (MAX_IDLE_BYTES // 16)
    for number in range(10):
        assert reader.feed(comments + b"data: x\n\n") is not None, number


@pytest.mark.parametrize("start", [b"", b": wait\n\n", b"event: x\n"])
def test_event_of_one_long_line_is_passed_on(start: bytes) -> None:
    event = start + b"data: " + b"x" * (MAX_IDLE_BYTES + 1) + b"\n\n"
    batch = EventReader().feed(event)
    assert batch is not None
    assert batch.data == event


def test_lines_of_an_unfinished_event_are_not_kept_twice() -> None:
    reader = EventReader()
    reader.feed(b"data:\n" * 1000)
    assert len(reader.data_lines) == 2


def test_odd_chunks_are_assembled_or_raise_the_typed_error() -> None:
    """Guards against an event of an engine that is answered as a fault of the host."""
    sound = {
        "id": "c1",
        "object": "chat.completion.chunk",
        "choices": [{"index": 0, "delta": {"content": "x"}, "finish_reason": None}],
    }
    for odd in odd_documents(sound):
        whole = CompletionAssembler()
        try:
            whole.add_payload(odd.data)
            assert whole.body(), odd.name
        except MalformedAnswerError:
            continue


def texts_of(text: bytes, pieces: int) -> bytes:
    """Return a chunk with several pieces of one choice's text."""
    return b'{"choices": [%b]}' % b",".join([b'{"text": "%b"}' % text] * pieces)


def endless_fields() -> Iterator[bytes]:
    for number in count():
        yield json.dumps({f"f{number}": "x" * 4000, "choices": []}).encode()


def endless_choices() -> Iterator[bytes]:
    for number in count():
        yield b'{"choices": [{"index": %d, "text": "x"}]}' % number


@pytest.mark.parametrize(
    "payloads",
    [
        pytest.param(repeat(texts_of(b"x", 50)), id="short-texts"),
        pytest.param(repeat(texts_of(b"x" * 90_000, 1)), id="long-texts"),
        pytest.param(repeat(texts_of(b"", 50)), id="no-texts"),
        pytest.param(endless_fields(), id="fields"),
        pytest.param(endless_choices(), id="choices"),
    ],
)
def test_chunks_without_end_are_kept_within_a_bound(payloads: Iterator[bytes]) -> None:
    """Guards against one engine that takes all of a host's memory."""
    whole = CompletionAssembler()
    tracemalloc.start()
    try:
        with pytest.raises(MalformedAnswerError):
            for payload in islice(payloads, MANY_CHUNKS):
                whole.add_payload(payload)
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_KEPT_BYTES


def test_event_with_a_number_of_thousands_of_digits_breaks_the_stream_off() -> None:
    with pytest.raises(ValueError):
        EventReader().feed(b"id: " + b"9" * 5_000 + b"\ndata: x\n\n")
