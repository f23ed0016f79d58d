"""Records the backoffs that targets ask this host for."""

import logging

from returns.result import Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock
from sardinequay_core.statements.backoff import BackoffStatement, TargetBackoffs

from ..serving_metrics import ServingMetrics
from ..serving_ports import AnswerFacts
from .invalid_log import InvalidStatementLog

log = logging.getLogger(__name__)


class BackoffRecorder:
    """Records for how long targets want no request, and logs and shows it."""

    def __init__(
        self, backoffs: TargetBackoffs, clock: Clock, metrics: ServingMetrics
    ) -> None:
        self.backoffs = backoffs
        self.clock = clock
        self.metrics = metrics
        self.invalid = InvalidStatementLog("target backoff invalid", clock)

    def record_answer(
        self, published: PublishedTarget, facts: AnswerFacts, status: int
    ) -> None:
        """Apply what the head of a target's answer states."""
        target = published.target.target_id
        if not isinstance(facts.backoff, Success):
            self.invalid.record(target, facts.backoff.failure())
            return
        backoff = facts.backoff.unwrap()
        if backoff is None:
            return
        now = self.clock.monotonic()
        stated = BackoffStatement(published.incarnation, now, now + backoff)
        if not self.backoffs.record(target, stated):
            return
        extra = {
            "target": target,
            "backoff_s": round(backoff.total_seconds(), 3),
            "status": status,
            "request": facts.request_id,
        }
        log.info("target backoff", extra=extra)

    def expire(self) -> None:
        """Drop backoffs that are over, and update the gauge."""
        now = self.clock.monotonic()
        self.backoffs.expire(now)
        self.metrics.target_backoffs.set({}, len(self.backoffs.left_s(now)))
        self.invalid.expire()
