"""Records that targets leave, and that they ask this host for a backoff."""

import logging
from datetime import timedelta

from returns.result import Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.backoff import BackoffStatement
from sardinequay_core.statements.leaving import LeavingStatement
from sardinequay_core.statements.target_statements import TargetStatements

from ..serving_metrics import ServingMetrics
from ..serving_ports import AnswerFacts, InvalidValue

INVALID_LOG_INTERVAL = seconds(10)
"""Interval between two log lines about invalid statements of one target."""

log = logging.getLogger(__name__)


class StatementRecorder:
    """Records what answers state of leaving and backoffs, and logs and shows it."""

    def __init__(
        self,
        statements: TargetStatements,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.statements = statements
        self.clock = clock
        self.metrics = metrics
        self.invalid_logged_at: dict[TargetId, Instant] = {}

    def record_answer(
        self,
        published: PublishedTarget,
        facts: AnswerFacts,
        status: int,
        request_id: str = "",
    ) -> None:
        """Apply what the head of a target's answer states.

        An answer of another process at the target's address states nothing of it.
        """
        target = published.target.target_id
        if facts.instance not in ("", target):
            return
        if facts.is_misdirected and not facts.instance:
            return
        now = self.clock.monotonic()
        if not isinstance(facts.is_leaving, Success):
            self.log_invalid(target, facts.is_leaving.failure())
        elif facts.is_leaving.unwrap():
            stated = LeavingStatement(published.incarnation, now)
            if self.statements.leaving.record(target, stated):
                self.log_leaving(target, stated, status, request_id)
        if not isinstance(facts.backoff, Success):
            self.log_invalid(target, facts.backoff.failure())
        elif (backoff := facts.backoff.unwrap()) is not None:
            asked = BackoffStatement(published.incarnation, now, now + backoff)
            if self.statements.backoffs.record(target, asked):
                self.log_backoff(target, backoff, status, request_id)

    def expire(self) -> None:
        """Drop what is over, and update the gauges."""
        now = self.clock.monotonic()
        self.statements.expire(now)
        leaving, backoffs = self.statements.leaving, self.statements.backoffs
        self.metrics.leaving_targets.set({}, len(leaving.statements))
        self.metrics.target_backoffs.set({}, len(backoffs.statements))
        for target, at in tuple(self.invalid_logged_at.items()):
            if now - at >= INVALID_LOG_INTERVAL:
                del self.invalid_logged_at[target]

    def log_leaving(
        self,
        target: TargetId,
        stated: LeavingStatement,
        status: int,
        request_id: str,
    ) -> None:
        """Log that a target states that it leaves."""
        extra = {
            "target": target,
            "incarnation": stated.incarnation,
            "status": status,
            "request": request_id,
        }
        log.info("target leaving", extra=extra)

    def log_backoff(
        self, target: TargetId, backoff: timedelta, status: int, request_id: str
    ) -> None:
        """Log that a target asks this host for a backoff."""
        extra = {
            "target": target,
            "backoff_s": round(backoff.total_seconds(), 3),
            "status": status,
            "request": request_id,
        }
        log.info("target backoff", extra=extra)

    def log_invalid(self, target: TargetId, stated: InvalidValue) -> None:
        """Log that a target makes a statement that cannot be parsed."""
        if target in self.invalid_logged_at:
            return
        self.invalid_logged_at[target] = self.clock.monotonic()
        extra = {"target": target, "stated": stated.text}
        log.warning("target statement invalid", extra=extra)
