"""Records the rate limits that targets state in their answers."""

import logging
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from returns.result import Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.target_limits import LimitChange, LimitStatement, TargetLimits

from .serving_metrics import ServingMetrics
from .serving_ports import AnswerFacts

INVALID_LOG_INTERVAL = seconds(10)
"""Interval between two log lines about invalid limits of one target."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LimitSource:
    """Where a statement about a limit came from, for the log.

    Parameters
    ----------
    peer : str
        The host that heard it; empty for this one.
    status : int
        Status of the answer that stated it; 0 if a peer heard it.
    """

    peer: str = ""
    status: int = 0


class TargetLimiter:
    """Records targets' limits.

    Parameters
    ----------
    limits : TargetLimits
        What is known of the limits, also read by the choice of targets.
    """

    def __init__(
        self, limits: TargetLimits, clock: Clock, metrics: ServingMetrics
    ) -> None:
        self.limits = limits
        self.clock = clock
        self.metrics = metrics
        self.invalid_logged_at: dict[TargetId, Instant] = {}
        self.on_change: Callable[[], None] = lambda: None

    def record_answer(
        self,
        published: PublishedTarget,
        facts: AnswerFacts,
        status: int,
        sent_at: Instant,
    ) -> None:
        """Apply what the head of a target's answer states about its limit.

        Parameters
        ----------
        sent_at : timedelta
            When the request was sent.
        """
        target = published.target.target_id
        if facts.is_misdirected or facts.instance not in ("", target):
            return
        if not isinstance(facts.rate_limit, Success):
            self.log_invalid(target, facts.rate_limit.failure().text)
            return
        rate_per_s = facts.rate_limit.unwrap()
        if rate_per_s is None and facts.not_run:
            # A rejection may come from a queue in front of the target.
            return
        stated = LimitStatement(
            rate_per_s, published.incarnation, self.clock.monotonic()
        )
        change = self.limits.record_answer(target, stated, sent_at)
        self.publish_change(change, LimitSource(status=status), stated)

    def log_invalid(self, target: TargetId, text: str) -> None:
        """Log that a target states a limit which cannot be parsed."""
        now = self.clock.monotonic()
        logged_at = self.invalid_logged_at.get(target)
        if logged_at is None or now - logged_at >= INVALID_LOG_INTERVAL:
            self.invalid_logged_at[target] = now
            extra = {"target": target, "stated": text}
            log.warning("target limit invalid", extra=extra)

    def publish_change(
        self, change: LimitChange | None, source: LimitSource, stated: LimitStatement
    ) -> None:
        """Log a limit that began, changed or ended, and announce it to peers."""
        if change is None:
            return
        self.log_change(change, source, self.clock.monotonic() - stated.heard_at)
        self.on_change()

    def log_change(
        self, change: LimitChange, source: LimitSource, age: timedelta
    ) -> None:
        """Log a limit that began, changed or ended, and set its gauge."""
        labels: dict[str, str] = {"target": change.target}
        self.metrics.target_limit.set(labels, change.after_per_s or 0.0)
        log.info(
            "target limit",
            extra={
                "target": change.target,
                "before_per_s": change.before_per_s,
                "limit_per_s": change.after_per_s,
                "peer": source.peer,
                "status": source.status,
                "age_s": round(age.total_seconds(), 3),
            },
        )

    def expire(self) -> None:
        """End the limits of targets that have been silent for too long."""
        now = self.clock.monotonic()
        for change in self.limits.expire(now):
            self.log_change(change, LimitSource(), now - now)
        known = self.invalid_logged_at.items()
        self.invalid_logged_at = {
            t: at for t, at in known if now - at < INVALID_LOG_INTERVAL
        }
