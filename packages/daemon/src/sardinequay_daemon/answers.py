"""Answers to callers: answers assembled from streams, and refusals as typed JSON."""

import math
from typing import Any

import msgspec
from aiohttp import web

from sardinequay_core.documents import decode_json_value, encode_json
from sardinequay_core.errors import DocumentError
from sardinequay_core.outcome import Refusal

from .errors import MalformedAnswerError
from .server_sent_events import DONE_DATA, EVENT_END, event_payloads

REQUEST_HEADER = "Sardinequay-Request"
OUTCOME_HEADER = "Sardinequay-Outcome"
REASON_HEADER = "Sardinequay-Reason"
ADAPTER_HEADER = "Sardinequay-Adapter"
BUNDLE_HEADER = "Sardinequay-Bundle"
MAX_CHOICES = 128
"""Choices of one answer."""

MAX_FIELDS_COST = 67_108_864
"""Bound on the fields of an answer and its choices, in bytes: each was in a chunk that
is no longer than the longest."""

PIECE_COST = 64
"""What a piece of text costs beyond its characters, in bytes."""

MAX_TEXT_COST = 33_554_432
"""Bound on the text of an answer with its pieces: some 400,000 tokens."""

CHUNK_ERRORS = (DocumentError, AttributeError, LookupError, TypeError, ValueError)
"""Errors about chunks that are no JSON, or of other types than those of the format."""


def refusal_body(refusal: Refusal, request_id: str) -> dict[str, Any]:
    """Return the JSON body of a refusal."""
    error: dict[str, Any] = {
        "reason": refusal.reason.value,
        "outcome": refusal.outcome.value,
        "message": refusal.message,
        "request": request_id,
    }
    if refusal.retry_after is not None:
        error["retry_after_s"] = round(refusal.retry_after.total_seconds(), 3)
    return {"error": error}


def refusal_headers(refusal: Refusal, request_id: str) -> dict[str, str]:
    """Return the headers of a refusal."""
    headers = {
        REQUEST_HEADER: request_id,
        OUTCOME_HEADER: refusal.outcome.value,
        REASON_HEADER: refusal.reason.value,
    }
    if refusal.retry_after is not None:
        wait_s = math.ceil(refusal.retry_after.total_seconds())
        headers["Retry-After"] = str(max(1, wait_s))
    return headers


def refusal_response(refusal: Refusal, request_id: str) -> web.Response:
    """Return a refusal as an HTTP response."""
    return web.json_response(
        refusal_body(refusal, request_id),
        status=refusal.status,
        headers=refusal_headers(refusal, request_id),
    )


def refusal_event(refusal: Refusal, request_id: str) -> bytes:
    """Return a refusal as the last event of a stream that had begun."""
    body = msgspec.json.encode(refusal_body(refusal, request_id))
    return b"event: error\ndata: " + body + EVENT_END


class CompletionAssembler:
    """Assembles the chunks of a stream into one completion or chat answer.

    What it keeps is bounded: a faulty engine may send chunks without end.
    """

    def __init__(self) -> None:
        self.template: dict[str, Any] = {}
        self.texts: dict[int, list[str]] = {}
        self.choices: dict[int, dict[str, Any]] = {}
        self.text_cost = 0
        self.longest_chunk = 0

    def add_events(self, data: bytes) -> None:
        """Add the chunks of whole events."""
        for payload in event_payloads(data):
            if payload != DONE_DATA:
                self.add_payload(payload)

    def add_payload(self, payload: bytes) -> None:
        """Add the chunk that an event's data holds.

        Raises
        ------
        MalformedAnswerError
            If it is no chunk of a completion or of a chat, or too much is to be kept.
        """
        try:
            self.add_chunk(decode_json_value(payload))
            self.longest_chunk = max(self.longest_chunk, len(payload))
            self.check_size()
        except CHUNK_ERRORS as error:
            raise MalformedAnswerError(repr(error)) from error

    def check_size(self) -> None:
        """Raise an error if more is kept than an answer consists of."""
        if self.text_cost > MAX_TEXT_COST:
            raise ValueError("the text is too long")
        if len(self.choices) > MAX_CHOICES:
            raise ValueError(f"there are more than {MAX_CHOICES} choices")
        fields = len(self.template) + sum(map(len, self.choices.values()))
        if fields * self.longest_chunk > MAX_FIELDS_COST:
            raise ValueError("the fields of the chunks are too large")

    def add_chunk(self, chunk: dict[str, Any]) -> None:
        """Add one chunk of a completion or of a chat."""
        self.template.update({k: v for k, v in chunk.items() if k != "choices"})
        for choice in chunk.get("choices", ()):
            index = choice.get("index", 0)
            delta = choice.get("delta") or {}
            text = choice.get("text") or delta.get("content") or ""
            self.texts.setdefault(index, []).append(text)
            self.text_cost += len(text) + PIECE_COST
            merged = self.choices.setdefault(index, {"index": index})
            merged.update(
                {k: v for k, v in choice.items() if k not in ("text", "delta")}
            )
            merged.setdefault("is_chat", "delta" in choice)

    def body(self) -> bytes:
        """Return the whole answer as JSON; raise `MalformedAnswerError`."""
        try:
            choices = [self.whole_choice(index) for index in sorted(self.choices)]
            kind = str(self.template.get("object", "")).removesuffix(".chunk")
            return encode_json({**self.template, "object": kind, "choices": choices})
        except CHUNK_ERRORS as error:
            raise MalformedAnswerError(repr(error)) from error

    def whole_choice(self, index: int) -> dict[str, Any]:
        """Return one choice with its whole text."""
        merged = dict(self.choices[index])
        text = "".join(self.texts[index])
        if merged.pop("is_chat"):
            return {**merged, "message": {"role": "assistant", "content": text}}
        return {**merged, "text": text}
