"""Interface for reading the wall clock and the monotonic clock."""

from datetime import datetime, timedelta
from typing import Protocol

Instant = timedelta
"""A reading of a monotonic clock: the time since an origin local to the process."""

ZERO = timedelta(0)


class Clock(Protocol):
    """Reads the wall clock and the monotonic clock."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""

    def monotonic(self) -> Instant:
        """Return the monotonic time, including time while suspended."""


def seconds(value: float) -> timedelta:
    """Return `value` seconds as a duration."""
    return timedelta(seconds=value)


MAX_SECONDS = 1e9
"""Longest duration that a peer may state, in seconds: some thirty years."""


def check_seconds(*durations_s: float) -> None:
    """Raise ValueError for a duration from which no date can be made."""
    for duration_s in durations_s:
        if not abs(duration_s) <= MAX_SECONDS:
            raise ValueError(f"no duration in seconds: {duration_s}")
