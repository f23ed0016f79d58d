"""How many new connections a host reads, by the lag of its event loop.

The lag shows an overload only once the work is there. Where far more connections come
than a host can handle, those that it takes between two measurements are too many
already. So their number is bounded, too: lowered by each overload to what would have
been in time, raised in calm.
"""

from .loop_lag import CHECK_PERIOD, MAX_LAG, LoopLag

MAX_LIMIT = 256
"""New connections between two measurements, at most; twice the queue of those that the
operating system has accepted."""

GROWTH = 1.25
"""Factor of the limit after a measurement in time: from one to the maximum in 2.5 s."""


class ConnectionGate:
    """Admits new connections, or leaves them unread.

    Parameters
    ----------
    limit : float
        New connections that are admitted until the next measurement, at most.
    admitted : int
        Those admitted since the last one.
    """

    def __init__(self, lag: LoopLag) -> None:
        self.lag = lag
        self.limit = float(MAX_LIMIT)
        self.admitted = 0
        lag.on_measured = self.handle_measurement

    def admits(self) -> bool:
        """Return whether a new connection is read, and count it."""
        if self.lag.is_overloaded() or self.admitted >= self.limit:
            return False
        self.admitted += 1
        return True

    def handle_measurement(self) -> None:
        """Adjust the limit after a measurement of the lag."""
        if not self.lag.is_overloaded():
            self.limit = min(float(MAX_LIMIT), self.limit * GROWTH)
        elif self.admitted:
            share_in_time = (CHECK_PERIOD + MAX_LAG) / (CHECK_PERIOD + self.lag.last)
            self.limit = max(1.0, self.admitted * share_in_time)
        self.admitted = 0
