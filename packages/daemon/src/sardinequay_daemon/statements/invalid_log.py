"""Log of statements that cannot be parsed."""

import logging

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import TargetId

from ..header_values import InvalidValue

LOG_INTERVAL = seconds(10)
"""Interval between two log lines about invalid statements of one target."""

log = logging.getLogger(__name__)


class InvalidStatementLog:
    """Logs invalid statements of one kind, each target's once in a while."""

    def __init__(self, event: str, clock: Clock) -> None:
        self.event = event
        self.clock = clock
        self.logged_at: dict[TargetId, Instant] = {}

    def record(self, target: TargetId, stated: InvalidValue) -> None:
        """Log that a target makes a statement that cannot be parsed."""
        if target in self.logged_at:
            return
        self.logged_at[target] = self.clock.monotonic()
        log.warning(self.event, extra={"target": target, "stated": stated.text})

    def expire(self) -> None:
        """Let targets be logged again after the interval."""
        now = self.clock.monotonic()
        for target, at in tuple(self.logged_at.items()):
            if now - at >= LOG_INTERVAL:
                del self.logged_at[target]
