"""Counts callers whose bytes were refused, in place of a log line for each."""

import logging
from collections import Counter

from sardinequay_core.request_framing import FramingFault

from ..metrics import HostMetrics

TOO_MANY_CONNECTIONS = "too_many_connections"
log = logging.getLogger(__name__)


class RefusedCallers:
    """What the callers of one listener were refused for, and connections closed.

    Parameters
    ----------
    listener : str
        Name of the listener, in log lines and as a label of the metric.
    """

    def __init__(self, listener: str, metrics: HostMetrics) -> None:
        self.listener = listener
        self.metrics = metrics
        self.unlogged: Counter[str] = Counter()

    def count_fault(self, fault: FramingFault) -> None:
        """Count a caller whose bytes were refused."""
        self.count(fault.value)

    def count_closed(self) -> None:
        """Count a connection that was closed because there were too many."""
        self.count(TOO_MANY_CONNECTIONS)

    def count(self, cause: str) -> None:
        """Count a caller by cause."""
        self.unlogged[cause] += 1
        self.metrics.callers_refused.inc({"listener": self.listener, "cause": cause})

    def log_new(self) -> None:
        """Log what was counted since the last call, if anything, in one line."""
        if not self.unlogged:
            return
        extra = {"listener": self.listener, "causes": dict(self.unlogged)}
        log.warning("callers refused", extra=extra)
        self.unlogged.clear()
