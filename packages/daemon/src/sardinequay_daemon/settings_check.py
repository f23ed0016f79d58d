"""Reads and validates settings; errors name the field, its value and what fits."""

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

from sardinequay_core.documents import MAX_NESTING, is_nested_too_deep
from sardinequay_core.names import parse_address

from .errors import SettingsError
from .settings import Settings

ADDRESS_FIELDS = ("caller_listener", "peer_listener", "operator_listener")
URL_FIELDS = ("configuration_service", "host_list")
MAX_SHOWN_CHARS = 80
ERROR_PATH = re.compile(r" - at `(?P<path>[^`]*)`$")


def format_value(value: object) -> str:
    """Return a value as JSON for an error message, cut to `MAX_SHOWN_CHARS`."""
    return json.dumps(value, default=str)[:MAX_SHOWN_CHARS]


def read_settings(path: Path) -> Result[Settings, SettingsError]:
    """Read and validate a settings file."""
    try:
        text = path.read_text()
    except OSError as error:
        return Failure(SettingsError("settings file", str(path), str(error.strerror)))
    except UnicodeDecodeError as error:
        return Failure(SettingsError("settings file", str(path), f"UTF-8: {error}"))
    return parse_settings(text)


def parse_settings(text: str) -> Result[Settings, SettingsError]:
    """Parse and validate settings in JSON; return the first error found."""
    if is_nested_too_deep(text.encode(errors="replace")):
        allowed = f"at most {MAX_NESTING} levels"
        return Failure(SettingsError("settings", "nested too deep", allowed))
    try:
        raw = json.loads(text)
    except json.JSONDecodeError as error:
        position = f"line {error.lineno} column {error.colno}"
        return Failure(SettingsError(position, "not JSON", error.msg))
    for unknown in unknown_field_errors(raw, Settings, ""):
        return Failure(unknown)
    try:
        settings = msgspec.convert(raw, Settings)
    except msgspec.ValidationError as error:
        return Failure(type_error(error, raw))
    for field_error in (*range_errors(settings, ""), *consistency_errors(settings)):
        return Failure(field_error)
    return Success(settings)


def dataclass_in_hint(hint: Any) -> type | None:
    """Return the data class in a type hint, also if it is optional."""
    options = typing.get_args(hint) if isinstance(hint, types.UnionType) else (hint,)
    return next((o for o in options if is_dataclass(o)), None)  # type: ignore[return-value]


def unknown_field_errors(
    raw: Any, settings_type: type, path: str
) -> Iterator[SettingsError]:
    """Yield an error for each unknown field."""
    if not isinstance(raw, dict):
        return
    hints = typing.get_type_hints(settings_type)
    for name, value in raw.items():
        field_path = f"{path}{name}"
        if name not in hints:
            allowed = "one of " + ", ".join(sorted(hints))
            yield SettingsError(field_path, "an unknown field", allowed)
        elif (inner := dataclass_in_hint(hints[name])) is not None:
            yield from unknown_field_errors(value, inner, f"{field_path}.")


def type_error(error: msgspec.ValidationError, raw: Any) -> SettingsError:
    """Convert a decoder error to a settings error."""
    message = str(error)
    match = ERROR_PATH.search(message)
    path = match["path"].removeprefix("$").removeprefix(".") if match else ""
    allowed = ERROR_PATH.sub("", message)
    missing = re.search(r"missing required field `(?P<name>[^`]*)`", message)
    if missing:
        name = f"{path}.{missing['name']}" if path else missing["name"]
        return SettingsError(name, "missing", "a value; it has no default")
    return SettingsError(
        path or "settings", format_value(value_at_path(raw, path)), allowed
    )


def value_at_path(raw: Any, path: str) -> object:
    """Return the raw value at a dotted path, or at its longest existing prefix."""
    value = raw
    for name in filter(None, path.split(".")):
        if isinstance(value, dict) and name in value:
            value = value[name]
    return value


def range_errors(value: Any, path: str) -> Iterator[SettingsError]:
    """Yield an error for each field outside its range or choices."""
    for field_spec in fields(value):
        inner_value = getattr(value, field_spec.name)
        field_path = f"{path}{field_spec.name}"
        if is_dataclass(inner_value):
            yield from range_errors(inner_value, f"{field_path}.")
        else:
            yield from field_errors(field_spec, inner_value, field_path)


def field_errors(
    field_spec: Field[Any], value: Any, field_path: str
) -> Iterator[SettingsError]:
    """Yield an error for one field if it is outside its range or choices."""
    low, high = field_spec.metadata.get("range", (None, None))
    if low is not None and not low <= value <= high:
        yield SettingsError(field_path, format_value(value), f"{low} to {high}")
    choices = field_spec.metadata.get("choices")
    if choices and value not in choices:
        yield SettingsError(
            field_path, format_value(value), "one of " + ", ".join(choices)
        )


def consistency_errors(settings: Settings) -> Iterator[SettingsError]:
    """Yield an error for each malformed address or inconsistency between fields."""
    for name in ADDRESS_FIELDS:
        value = getattr(settings, name)
        if not isinstance(parse_address(value), Success):
            yield SettingsError(name, format_value(value), "ip:port with an IP number")
    advertised = settings.advertised_peer_address
    if advertised and not isinstance(parse_address(advertised), Success):
        field_path, allowed = "advertised_peer_address", "ip:port with an IP number"
        yield SettingsError(field_path, format_value(advertised), allowed)
    for name in URL_FIELDS:
        value = getattr(settings, name)
        if not value.startswith(("http://", "https://")):
            yield SettingsError(
                name, format_value(value), "an http:// or https:// address"
            )
    if settings.data_centre not in settings.data_centres:
        allowed = "one of data_centres: " + ", ".join(settings.data_centres)
        yield SettingsError("data_centre", format_value(settings.data_centre), allowed)
    yield from trust_errors(settings)
    yield from claim_errors(settings)
    yield from timing_errors(settings)


def trust_errors(settings: Settings) -> Iterator[SettingsError]:
    """Yield errors of the approval keys and their threshold."""
    trust = settings.trust
    for key_id, public in trust.keys.items():
        try:
            Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        except ValueError:
            allowed = "an Ed25519 public key as 64 hexadecimal digits"
            yield SettingsError(f"trust.keys.{key_id}", format_value(public), allowed)
    low, high = len(trust.keys) // 2 + 1, len(trust.keys)
    if not low <= trust.threshold <= high:
        allowed = f"more than half of the {high} keys: {low} to {high}"
        yield SettingsError("trust.threshold", format_value(trust.threshold), allowed)


def claim_errors(settings: Settings) -> Iterator[SettingsError]:
    """Yield errors of the guards of view 0 and the durations of claims."""
    claims = settings.claims
    if claims.in_service_from.tzinfo is None:
        value = format_value(claims.in_service_from)
        yield SettingsError("claims.in_service_from", value, "a time with its zone")
    minimum_s = settings.limits.longest_request_s + claims.window_s
    if claims.life_s <= minimum_s:
        allowed = f"above limits.longest_request_s and claims.window_s, {minimum_s}"
        yield SettingsError("claims.life_s", format_value(claims.life_s), allowed)
    for name in settings.data_centres:
        if not claims.founders.get(name):
            allowed = "at least one founding guard for each of data_centres"
            yield SettingsError(f"claims.founders.{name}", "missing", allowed)
    for name, guards in claims.founders.items():
        for guard in guards:
            if not isinstance(parse_address(guard.address), Success):
                field_path = f"claims.founders.{name}.{guard.host_id}"
                yield SettingsError(field_path, format_value(guard.address), "ip:port")


def timing_errors(settings: Settings) -> Iterator[SettingsError]:
    """Yield errors of durations that must be longer than others."""
    timing, limits = settings.timing, settings.limits
    if timing.lease_s <= 2 * timing.report_s:
        allowed = f"more than twice timing.report_s, which is {timing.report_s}"
        yield SettingsError("timing.lease_s", format_value(timing.lease_s), allowed)
    if limits.default_deadline_s > limits.longest_request_s:
        allowed = f"at most limits.longest_request_s, {limits.longest_request_s}"
        value = format_value(limits.default_deadline_s)
        yield SettingsError("limits.default_deadline_s", value, allowed)
