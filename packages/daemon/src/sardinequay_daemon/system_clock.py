"""The system clock."""

import time
from datetime import UTC, datetime, timedelta

from sardinequay_core.clock import Instant


class SystemClock:
    """Reads the wall clock and the boot-time clock of the system."""

    def now(self) -> datetime:
        """Return the wall-clock time in UTC."""
        return datetime.now(UTC)

    def monotonic(self) -> Instant:
        """Return the time since boot, including time in suspension."""
        nanoseconds = time.clock_gettime_ns(time.CLOCK_BOOTTIME)
        return timedelta(microseconds=nanoseconds // 1000)
