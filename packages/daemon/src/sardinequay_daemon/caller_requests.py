"""Parsing and validation of callers' requests before anything is dispatched."""

import re
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import getrandbits
from typing import Any

from returns.result import Failure, Result, Success

from sardinequay_core.admission import MAX_PRIORITY
from sardinequay_core.bundle import Adapter, Bundle, Caller, PoolSettings
from sardinequay_core.claims import MAX_KEY_CHARS
from sardinequay_core.clock import Instant
from sardinequay_core.documents import decode_json_value, encode_json
from sardinequay_core.errors import DocumentError
from sardinequay_core.features import (
    MAX_PARTS,
    content_feature,
    message_parts,
    part_features,
)
from sardinequay_core.names import AdapterRef, RequestId, parse_adapter_ref
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal

from .quarantine.guarded_request import GuardedRequest
from .settings import LimitSettings

KEY_HEADER = "Idempotency-Key"
DEADLINE_HEADER = "Sardinequay-Deadline"
PRIORITY_HEADER = "Sardinequay-Priority"
REQUEST_HEADER = "X-Request-Id"
DEFAULT_PRIORITY = 5
DIGITS = re.compile(r"[0-9]{1,3}")
PRINTABLE = re.compile(rf"[\x21-\x7e]{{1,{MAX_KEY_CHARS}}}")


@dataclass(frozen=True, slots=True)
class RequestEnvelope:
    """The checked terms of a request that all kinds of requests have in common.

    Parameters
    ----------
    deadline : timedelta
        On this host's monotonic clock.
    key : str
        The idempotency key; empty for a request that may be repeated.
    """

    request_id: RequestId
    caller: Caller
    bundle: Bundle
    priority: int
    deadline: Instant
    key: str


@dataclass(frozen=True, slots=True)
class ModelRequest:
    """A request for a model.

    Parameters
    ----------
    parts : tuple of str
        Ids of the parts of its prompt, in order: the messages of a chat.
    """

    envelope: RequestEnvelope
    path: str
    body: bytes
    adapter: AdapterRef
    pool: PoolSettings
    stream: bool
    parts: tuple[str, ...] = ()


def make_guarded_request(
    envelope: RequestEnvelope,
    method: str,
    path: str,
    body: bytes,
    parts: tuple[str, ...] = (),
) -> GuardedRequest:
    """Return the record of a request for the content guard."""
    content = content_feature(method, "", path, envelope.caller.name, body)
    return GuardedRequest(envelope.request_id, content, part_features(parts))


def new_request_id(headers: Mapping[str, str]) -> RequestId:
    """Return the caller's request id if it is usable, else a new one."""
    raw_value = headers.get(REQUEST_HEADER, "")
    if raw_value and PRINTABLE.fullmatch(raw_value):
        return RequestId(raw_value)
    return RequestId(f"{getrandbits(128):032x}")


def read_envelope(
    headers: Mapping[str, str],
    request_id: RequestId,
    bundle: Bundle | None,
    limits: LimitSettings,
    now: Instant,
) -> Result[RequestEnvelope, Refusal]:
    """Authenticate the caller and check the headers common to all requests."""
    if bundle is None:
        text = "no bundle is in force yet"
        return Failure(not_run_refusal(Reason.NO_BUNDLE, text, timedelta(seconds=1)))
    scheme, _, token = headers.get("Authorization", "").partition(" ")
    caller = bundle.find_caller_by_token(token) if scheme.lower() == "bearer" else None
    if caller is None:
        return Failure(not_run_refusal(Reason.UNAUTHENTICATED, "no known bearer token"))
    key = headers.get(KEY_HEADER, "")
    if KEY_HEADER in headers and not PRINTABLE.fullmatch(key):
        return Failure(
            bad_header_refusal(KEY_HEADER, key, "1 to 200 printable characters")
        )
    wait = read_deadline(headers, limits)
    if not isinstance(wait, Success):
        return Failure(wait.failure())
    priority = read_priority(headers, caller)
    if not isinstance(priority, Success):
        return Failure(priority.failure())
    deadline = now + wait.unwrap()
    return Success(
        RequestEnvelope(request_id, caller, bundle, priority.unwrap(), deadline, key)
    )


def bad_header_refusal(name: str, value: str, allowed: str) -> Refusal:
    """Return the refusal of an invalid header value."""
    text = f"{name} is {value[:80]!r}; allowed: {allowed}"
    return not_run_refusal(Reason.BAD_HEADER, text)


def read_deadline(
    headers: Mapping[str, str], limits: LimitSettings
) -> Result[timedelta, Refusal]:
    """Return how long the caller waits, given by its header in seconds from now."""
    raw_value = headers.get(DEADLINE_HEADER)
    if raw_value is None:
        return Success(timedelta(seconds=limits.default_deadline_s))
    try:
        value_s = float(raw_value)
    except ValueError:
        value_s = float("nan")
    if not value_s <= limits.longest_request_s:
        allowed = f"seconds from now, at most {limits.longest_request_s}"
        return Failure(bad_header_refusal(DEADLINE_HEADER, raw_value, allowed))
    if value_s <= 0:
        return Failure(
            not_run_refusal(Reason.DEADLINE_EXPIRED, "the deadline has passed")
        )
    return Success(timedelta(seconds=value_s))


def read_priority(headers: Mapping[str, str], caller: Caller) -> Result[int, Refusal]:
    """Return the requested priority, limited to the caller's maximum."""
    raw_value = headers.get(
        PRIORITY_HEADER, str(min(DEFAULT_PRIORITY, caller.max_priority))
    )
    if not DIGITS.fullmatch(raw_value) or int(raw_value) > MAX_PRIORITY:
        allowed = f"0 to {MAX_PRIORITY}"
        return Failure(bad_header_refusal(PRIORITY_HEADER, raw_value, allowed))
    return Success(min(int(raw_value), caller.max_priority))


def read_model_request(
    envelope: RequestEnvelope, path: str, body: bytes
) -> Result[ModelRequest, Refusal]:
    """Check the body of a model request and the adapter version that it names."""
    try:
        fields = decode_json_value(body)
        messages = fields.get("messages") if isinstance(fields, dict) else None
        parts = parse_message_parts(messages)
    except DocumentError as error:
        return Failure(
            not_run_refusal(Reason.MALFORMED, f"the body is no JSON: {error}")
        )
    model = fields.get("model") if isinstance(fields, dict) else None
    if not isinstance(model, str):
        return Failure(not_run_refusal(Reason.MALFORMED, "the body names no model"))
    ref = parse_adapter_ref(model)
    if not isinstance(ref, Success):
        return Failure(not_run_refusal(Reason.MALFORMED, str(ref.failure())))
    stream = fields.get("stream", False)
    if not isinstance(stream, bool):
        return Failure(
            not_run_refusal(Reason.MALFORMED, "stream is neither true nor false")
        )
    return find_offered_pool(envelope, ref.unwrap()).bind(
        lambda pool: Success(
            ModelRequest(envelope, path, body, ref.unwrap(), pool, stream, parts)
        )
    )


def parse_message_parts(messages: Any) -> tuple[str, ...]:
    """Return ids of a chat's messages; empty if it has none, as engines judge that.

    Raises
    ------
    DocumentError
        If a message cannot be encoded.
    """
    if not isinstance(messages, list):
        return ()
    considered = messages[: MAX_PARTS + 1]
    return message_parts([encode_json(m) for m in considered])


def find_offered_pool(
    envelope: RequestEnvelope, ref: AdapterRef
) -> Result[PoolSettings, Refusal]:
    """Return the pool of an adapter version, if it is offered to the caller."""
    bundle = envelope.bundle
    adapter = bundle.find_adapter(ref.name)
    if adapter is None or not is_offered(adapter, envelope.caller):
        # The text does not reveal whether the model is offered to other callers.
        text = f"model {str(ref)!r} is not offered to you"
        return Failure(not_run_refusal(Reason.UNKNOWN_MODEL, text))
    pool = bundle.pools.get(adapter.pool)
    if ref.version not in adapter.versions or pool is None:
        offered = ", ".join(adapter.versions)
        text = f"version {ref.version!r} is not offered; offered: {offered}"
        return Failure(not_run_refusal(Reason.NOT_OFFERED, text))
    return Success(pool)


def is_offered(adapter: Adapter, caller: Caller) -> bool:
    """Return whether a caller may name an adapter."""
    return caller.name in adapter.callers
