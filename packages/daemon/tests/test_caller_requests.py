"""Validation of callers' requests before anything is dispatched."""

import json
from hashlib import sha256
from typing import Any

import pytest

from sardinequay_core.approval import root_digest
from sardinequay_core.bundle import (
    Adapter,
    Bundle,
    BundleBase,
    Caller,
    Contents,
    PoolSettings,
    assemble_bundle,
    build_bundle,
)
from sardinequay_core.clock import seconds
from sardinequay_core.names import CallerName, PoolName, RequestId
from sardinequay_daemon.caller_requests import (
    RequestEnvelope,
    new_request_id,
    read_envelope,
    read_model_request,
)
from sardinequay_daemon.settings import LimitSettings
from sardinequay_lab.odd_documents import odd_documents

NOW = seconds(100)
KIOSKS, OTHERS = CallerName("kiosks"), CallerName("others")
AUTHORIZED = {"Authorization": "Bearer secret"}


@pytest.fixture
def bundle() -> Bundle:
    caller = Caller(KIOSKS, sha256(b"secret").hexdigest(), max_priority=7)
    pool = PoolSettings(PoolName("lm"), "base", 1, 4)
    adapters = (
        Adapter("mine", "base", pool.name, ("1", "2"), (KIOSKS,)),
        Adapter("theirs", "base", pool.name, ("1",), (OTHERS,)),
    )
    built = build_bundle(Contents(BundleBase((caller,), (pool,)), adapters), 1)
    return assemble_bundle(built.root, root_digest(built.root), built.blobs).unwrap()


def envelope(bundle: Bundle | None, **headers: str) -> Any:
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    request_id = RequestId("r")
    return read_envelope(
        {**AUTHORIZED, **named}, request_id, bundle, LimitSettings(), NOW
    )


@pytest.mark.parametrize(
    "headers",
    [
        {"Authorization": ""},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "Basic secret"},
        {"Idempotency_Key": ""},
        {"Idempotency_Key": "x" * 201},
        {"Idempotency_Key": "with space"},
        {"Sardinequay_Deadline": "soon"},
        {"Sardinequay_Deadline": "nan"},
        {"Sardinequay_Deadline": "0"},
        {"Sardinequay_Deadline": "-5"},
        {"Sardinequay_Deadline": "1e9"},
        {"Sardinequay_Priority": "10"},
        {"Sardinequay_Priority": "-1"},
        {"Sardinequay_Priority": "high"},
    ],
)
def test_bad_headers_are_refused(
    bundle: Bundle, headers: dict[str, str], snapshot: Any
) -> None:
    refusal = envelope(bundle, **headers).failure()
    assert (refusal.status, refusal.outcome.value, refusal.message) == snapshot


def test_without_bundle_nobody_is_served() -> None:
    assert envelope(None).failure().status == 503


def test_priority_is_at_most_the_callers_own(bundle: Bundle) -> None:
    assert envelope(bundle, Sardinequay_Priority="9").unwrap().priority == 7


def test_deadline_counts_from_now(bundle: Bundle) -> None:
    made: RequestEnvelope = envelope(bundle, Sardinequay_Deadline="2.5").unwrap()
    assert made.deadline == NOW + seconds(2.5)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"[]",
        b"{}",
        b'{"model": 3}',
        b'{"model": "mine"}',
        b'{"model": "@1"}',
        b'{"model": "mine@3"}',
        b'{"model": "theirs@1"}',
        b'{"model": "nobody@1"}',
        b'{"model": "mine@1", "stream": "yes"}',
        json.dumps({"model": "x" * 300 + "@1"}).encode(),
    ],
)
def test_bad_bodies_are_refused(bundle: Bundle, body: bytes, snapshot: Any) -> None:
    made = envelope(bundle).unwrap()
    refusal = read_model_request(made, "/v1/completions", body).failure()
    assert (refusal.status, refusal.outcome.value, refusal.message) == snapshot


def test_good_body_names_its_adapter(bundle: Bundle) -> None:
    made = envelope(bundle).unwrap()
    body = b'{"model": "mine@2", "stream": true}'
    request = read_model_request(made, "/v1/completions", body).unwrap()
    assert (str(request.adapter), request.stream) == ("mine@2", True)


def test_request_id_of_the_caller_is_kept_if_it_is_usable() -> None:
    assert new_request_id({"X-Request-Id": "abc"}) == "abc"
    assert new_request_id({"X-Request-Id": "a\nb"}) != "a\nb"


@pytest.mark.parametrize("depth", [200, 1_200, 100_000])
@pytest.mark.parametrize("is_whole", [True, False])
def test_body_that_nests_too_deep_is_refused(
    bundle: Bundle, depth: int, is_whole: bool
) -> None:
    """Guards against a body that is answered as a fault of the host."""
    nested = "[" * depth + ("]" * depth if is_whole else "")
    for body in (
        f'{{"model": "mine@1", "tools": {nested}}}',
        f'{{"model": "mine@1", "messages": [{nested}]}}',
    ):
        read = read_model_request(envelope(bundle).unwrap(), "/v1/x", body.encode())
        assert read.failure().status == 400


def test_odd_bodies_are_read_or_refused(bundle: Bundle) -> None:
    sound = {
        "model": "mine@1",
        "stream": True,
        "messages": [{"role": "user", "content": [{"text": "x"}]}],
    }
    for odd in odd_documents(sound):
        read = read_model_request(envelope(bundle).unwrap(), "/v1/x", odd.data)
        refused = read.swap().value_or(None)
        assert refused is None or 400 <= refused.status < 500, odd.name


@pytest.mark.parametrize("priority", ["\u00b2", "9" * 5_000, "\u0663"])
def test_priority_of_other_digits_is_refused(bundle: Bundle, priority: str) -> None:
    refused = envelope(bundle, Sardinequay_Priority=priority).failure()
    assert refused.status == 400
