"""Reading and checking settings: an error names the field, its value and what fits."""

import json
import re
import types
import typing
from collections.abc import Iterator
from dataclasses import Field, fields, is_dataclass
from pathlib import Path
from typing import Any

import msgspec
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PublicKey
from returns.result import Failure, Result, Success

from sardinequay_core.names import parse_address

from .errors import SettingsError
from .settings import Settings

ADDRESS_FIELDS = ("caller_listener", "peer_listener", "operator_listener")
URL_FIELDS = ("configuration_service", "host_list")
MAX_SHOWN_CHARS = 80
LOCATION = re.compile(r" - at `(?P<path>[^`]*)`$")


def show(value: object) -> str:
    """Return a value as it is shown in an error."""
    return json.dumps(value, default=str)[:MAX_SHOWN_CHARS]


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure(SettingsError("settings file", str(path), str(error.strerror)))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Check settings given as JSON; the first fault is the error."""
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        place = f"line {error.lineno} column {error.colno}"
        return Failure(SettingsError(place, "not JSON", error.msg))
    for unknown in unknown_fields(raw, Settings, ""):
        return Failure(unknown)
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        return Failure(type_error(error, raw))
    for fault in (*range_faults(settings, ""), *meaning_faults(settings)):
        return Failure(fault)
    return Success(settings)


def dataclass_of(hint: Any) -> type | None:
    """Return the data class that a type hint stands for, optional or not."""
    options = typing.get_args(hint) if isinstance(hint, types.UnionType) else (hint,)
    return next((o for o in options if is_dataclass(o)), None)  # type: ignore[return-value]


def unknown_fields(raw: Any, kind: type, path: str) -> Iterator[SettingsError]:
    """Yield an error for each field that no setting has."""
    if not isinstance(raw, dict):
        return
    hints = typing.get_type_hints(kind)
    for name, value in raw.items():
        where = f"{path}{name}"
        if name not in hints:
            allowed = "one of " + ", ".join(sorted(hints))
            yield SettingsError(where, "an unknown field", allowed)
        elif (inner := dataclass_of(hints[name])) is not None:
            yield from unknown_fields(value, inner, f"{where}.")


def type_error(error: msgspec.ValidationError, raw: Any) -> SettingsError:
    """Turn the decoder's error."""
    message = str(error)
    found = LOCATION.search(message)
    path = found["path"].removeprefix("$").removeprefix(".") if found else ""
    allowed = LOCATION.sub("", message)
    missing = re.search(r"missing required field `(?P<name>[^`]*)`", message)
    if missing:
        name = f"{path}.{missing['name']}" if path else missing["name"]
        return SettingsError(name, "missing", "a value; it has no default")
    return SettingsError(path or "settings", show(look_up(raw, path)), allowed)


def look_up(raw: Any, path: str) -> object:
    """Return the raw value at a dotted path, as far as it leads."""
    value = raw
    for name in filter(None, path.split(".")):
        if isinstance(value, dict) and name in value:
            value = value[name]
    return value


def range_faults(value: Any, path: str) -> Iterator[SettingsError]:
    """Yield an error for each number or choice outside what its field allows."""
    for spec in fields(value):
        inner = getattr(value, spec.name)
        where = f"{path}{spec.name}"
        if is_dataclass(inner):
            yield from range_faults(inner, f"{where}.")
        else:
            yield from field_faults(spec, inner, where)


def field_faults(spec: Field[Any], value: Any, where: str) -> Iterator[SettingsError]:
    """Yield an error if one field is outside its range or choices."""
    low, high = spec.metadata.get("range", (None, None))
    if low is not None and not low <= value <= high:
        yield SettingsError(where, show(value), f"{low} to {high}")
    choices = spec.metadata.get("choices")
    if choices and value not in choices:
        yield SettingsError(where, show(value), "one of " + ", ".join(choices))


def meaning_faults(settings: Settings) -> Iterator[SettingsError]:
    """Yield an error for each field that does not fit the others."""
    for name in ADDRESS_FIELDS:
        value = getattr(settings, name)
        if not isinstance(parse_address(value), Success):
            yield SettingsError(name, show(value), "ip:port with an IP number")
    advertised = settings.advertised_peer_address
    if advertised and not isinstance(parse_address(advertised), Success):
        where, allowed = "advertised_peer_address", "ip:port with an IP number"
        yield SettingsError(where, show(advertised), allowed)
    for name in URL_FIELDS:
        value = getattr(settings, name)
        if not value.startswith(("http://", "https://")):
            yield SettingsError(name, show(value), "an http:// or https:// address")
    if settings.data_centre not in settings.data_centres:
        allowed = "one of data_centres: " + ", ".join(settings.data_centres)
        yield SettingsError("data_centre", show(settings.data_centre), allowed)
    yield from trust_faults(settings)
    yield from claim_faults(settings)
    yield from timing_faults(settings)


def trust_faults(settings: Settings) -> Iterator[SettingsError]:
    """Yield errors of the approvers' keys and the threshold."""
    trust = settings.trust
    for key_id, public in trust.keys.items():
        try:
            Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        except ValueError:
            allowed = "an Ed25519 public key as 64 hexadecimal digits"
            yield SettingsError(f"trust.keys.{key_id}", show(public), allowed)
    low, high = len(trust.keys) // 2 + 1, len(trust.keys)
    if not low <= trust.threshold <= high:
        allowed = f"more than half of the {high} keys: {low} to {high}"
        yield SettingsError("trust.threshold", show(trust.threshold), allowed)


def claim_faults(settings: Settings) -> Iterator[SettingsError]:
    """Yield errors of the founding guards and the moment of service."""
    claims = settings.claims
    if claims.in_service_from.tzinfo is None:
        value = show(claims.in_service_from)
        yield SettingsError("claims.in_service_from", value, "a time with its zone")
    least_s = settings.limits.longest_request_s + claims.window_s
    if claims.life_s <= least_s:
        allowed = f"above limits.longest_request_s and claims.window_s, {least_s}"
        yield SettingsError("claims.life_s", show(claims.life_s), allowed)
    for name in settings.data_centres:
        if not claims.founders.get(name):
            allowed = "at least one founding guard for each of data_centres"
            yield SettingsError(f"claims.founders.{name}", "missing", allowed)
    for name, guards in claims.founders.items():
        for guard in guards:
            if not isinstance(parse_address(guard.address), Success):
                where = f"claims.founders.{name}.{guard.host_id}"
                yield SettingsError(where, show(guard.address), "ip:port")


def timing_faults(settings: Settings) -> Iterator[SettingsError]:
    """Yield errors of durations that must exceed one another."""
    timing, limits = settings.timing, settings.limits
    if timing.lease_s <= 2 * timing.report_s:
        allowed = f"more than twice timing.report_s, which is {timing.report_s}"
        yield SettingsError("timing.lease_s", show(timing.lease_s), allowed)
    if limits.default_deadline_s > limits.longest_request_s:
        allowed = f"at most limits.longest_request_s, {limits.longest_request_s}"
        value = show(limits.default_deadline_s)
        yield SettingsError("limits.default_deadline_s", value, allowed)
