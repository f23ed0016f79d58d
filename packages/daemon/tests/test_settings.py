"""Validation of settings: errors have the field, its value and what is allowed."""

import json
from typing import Any

import pytest
from returns.result import Success

from sardinequay_daemon.settings_check import parse_settings


def with_changed_field(raw: dict[str, Any], path: str, value: Any) -> dict[str, Any]:
    *parents, last = path.split(".")
    section = raw
    for name in parents:
        section = section.setdefault(name, {})
    if value is ...:
        del section[last]
    else:
        section[last] = value
    return raw


def test_good_settings_are_taken(raw_settings: dict[str, Any]) -> None:
    assert isinstance(parse_settings(json.dumps(raw_settings)), Success)


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("surprise", 1),
        ("timing.lease", 1),
        ("trust.threshold", "two"),
        ("trust.threshold", 1),
        ("trust.threshold", 4),
        ("trust.keys.a", "abcd"),
        ("host_id", ...),
        ("claims.in_service_from", ...),
        ("claims.in_service_from", "2026-01-01T00:00:00"),
        ("claims.founders.hillsboro", ...),
        ("claims.founders.tukwila", [{"host_id": "x", "address": "tukwila:1"}]),
        ("data_centre", "quincy"),
        ("caller_listener", "localhost:8000"),
        ("advertised_peer_address", "nowhere"),
        ("configuration_service", "127.0.0.1:9000"),
        ("limits.max_in_flight", 0),
        ("limits.default_deadline_s", 500),
        ("timing.lease_s", 0.9),
        ("timing.gossip_s", -1),
        ("logs.level", "LOUD"),
        ("traces.sample", 2),
        ("caller_tls", {"certificate": "c.pem"}),
    ],
)
def test_bad_settings_are_refused(
    raw_settings: dict[str, Any], path: str, value: Any, snapshot: Any
) -> None:
    error = parse_settings(
        json.dumps(with_changed_field(raw_settings, path, value))
    ).failure()
    assert str(error) == snapshot


@pytest.mark.parametrize("text", ["", "{", "[]", "nothing"])
def test_text_that_is_no_settings_is_refused(text: str, snapshot: Any) -> None:
    assert str(parse_settings(text).failure()) == snapshot
