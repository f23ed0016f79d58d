"""Values of headers that any deployment may have."""

import re
from dataclasses import dataclass
from datetime import timedelta
from http import HTTPStatus

from returns.result import Failure, Result, Success

BACKOFF_STATUSES = (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE)
"""Statuses with which a target turns a request away and may ask for a backoff."""

MAX_BACKOFF = timedelta(days=30)
"""A longer backoff is shortened to this, which no process of a host outlasts."""

SECONDS_PATTERN = re.compile(r"[0-9]+(\.[0-9]+)?")
MAX_LOGGED = 40


@dataclass(frozen=True, slots=True)
class InvalidValue:
    """A statement in a target's answer that could not be parsed.

    Parameters
    ----------
    text : str
        The beginning of what the target sent.
    """

    text: str


def parse_backoff(
    status: int, values: list[str]
) -> Result[timedelta | None, InvalidValue]:
    """Parse for how long a target wants no request from this host; None if it may.

    Of several values the longest counts. A date is invalid: hosts' clocks differ.

    Parameters
    ----------
    values : list of str
        Values of the Retry-After header (RFC 9110, 10.2.3), in seconds.
    """
    if not values or status not in BACKOFF_STATUSES:
        return Success(None)
    texts = [text.strip() for value in values for text in value.split(",")]
    if not all(SECONDS_PATTERN.fullmatch(text) for text in texts):
        return Failure(InvalidValue(",".join(values)[:MAX_LOGGED]))
    longest_s = max(float(text) for text in texts)
    backoff = timedelta(seconds=min(longest_s, MAX_BACKOFF.total_seconds()))
    return Success(backoff or None)


def encodable(value: str) -> str:
    """Return a value without its bytes that are not UTF-8, which cannot be written."""
    if value.isascii():
        return value
    return value.encode("utf-8", "ignore").decode("utf-8")
