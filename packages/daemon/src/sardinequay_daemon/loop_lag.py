"""How late the event loop of a host runs what is due.

A host that gets more than it can handle is late with all of it. The lag of its event
loop shows that before any request has been read.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from sardinequay_core.clock import ZERO, Clock, Instant, seconds

CHECK_PERIOD = seconds(0.1)
MAX_LAG = seconds(0.15)
"""Lag beyond which a host is overloaded: more than a process waits at most for its
share of a processor."""


class LoopLag:
    """Measures the event loop's lag periodically, and decides on overload.

    Parameters
    ----------
    on_measured : callable
        Called after each measurement.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last = ZERO
        self.due: Instant | None = None
        self.on_measured: Callable[[], None] = lambda: None

    async def run(self) -> None:
        """Measure the lag, for good."""
        while True:
            self.due = self.clock.monotonic() + CHECK_PERIOD
            await asyncio.sleep(CHECK_PERIOD.total_seconds())
            self.measure()

    def measure(self) -> None:
        """Record the lag, by the time at which this was due."""
        self.last = self.overdue()
        self.due = None
        self.on_measured()

    def overdue(self) -> timedelta:
        """Return by how much the next measurement is late; zero if it is not due."""
        if self.due is None:
            return ZERO
        return max(ZERO, self.clock.monotonic() - self.due)

    @property
    def current(self) -> timedelta:
        """Return the lag, as last measured or, if it is more, up to now."""
        return max(self.last, self.overdue())

    def is_overloaded(self) -> bool:
        """Return whether the event loop runs too late for further connections."""
        return self.current > MAX_LAG
