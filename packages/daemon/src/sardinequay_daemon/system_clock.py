"""The clock of the machine."""

import time
from datetime import UTC, datetime, timedelta

from sardinequay_core.clock import Instant


class SystemClock:
    """Reads the machine's clocks."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> Instant:
        """Return the time since boot, with the time that the machine was suspended."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return timedelta(microseconds=nanoseconds // 1000)
