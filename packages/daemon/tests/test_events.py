"""Splitting of server-sent events, and assembly of chunks to a whole answer."""

import json

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinequay_daemon.answers import CompletionAssembler
from sardinequay_daemon.server_sent_events import MAX_EVENT_BYTES, EventSplitter

STREAM = b'id: 1\ndata: {"a":1}\n\n: alive\n\nid: 2\ndata: [DONE]\n\n'


@given(st.integers(1, len(STREAM)))
def test_events_are_whole_for_any_chunk_size(size: int) -> None:
    cutter = EventSplitter()
    pieces = [STREAM[i : i + size] for i in range(0, len(STREAM), size)]
    events = [e for e in map(cutter.feed, pieces) if e is not None]
    assert b"".join(e.data for e in events) == STREAM
    assert max(e.last_id for e in events) == 2
    assert events[-1].done
    assert all(e.data.endswith(b"\n\n") for e in events)


def test_event_above_the_size_limit_is_rejected() -> None:
    cutter = EventSplitter()
    with pytest.raises(ValueError, match="limit"):
        cutter.feed(b"x" * (MAX_EVENT_BYTES + 1))


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
