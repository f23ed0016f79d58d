"""Records the rate limits that targets state, and what peers tell of them."""

import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta

from aioprometheus.collectors import Gauge
from returns.result import Result, Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import HostId, TargetId
from sardinequay_core.statements.limits import LimitChange, LimitStatement, TargetLimits

from ..header_values import InvalidValue
from ..serving_metrics import ServingMetrics
from ..serving_ports import AnswerFacts
from .invalid_log import InvalidStatementLog
from .limit_messages import LimitNews

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


@dataclass(frozen=True, slots=True)
class LimitKind:
    """A kind of limit that targets state.

    Parameters
    ----------
    event : str
        The log event of a limit that began, changed or ended.
    read : callable
        Returns what an answer states of it.
    gauge : callable
        Returns the gauge that shows it.
    """

    event: str
    read: Callable[[AnswerFacts], Result[float | None, InvalidValue]]
    gauge: Callable[[ServingMetrics], Gauge]


RATE_LIMITS = LimitKind(
    "target limit", lambda facts: facts.rate_limit, lambda m: m.target_limit
)
REJECTION_LIMITS = LimitKind(
    "target brittle", lambda facts: facts.rejection_limit, lambda m: m.target_brittle
)


class LimitRecorder:
    """Records targets' limits of one kind, and logs and shows them.

    Parameters
    ----------
    limits : TargetLimits
        What is known of the limits, also read by the choice of targets.
    announce_change : callable
        Called when a limit has changed that peers should hear of.
    """

    def __init__(
        self,
        limits: TargetLimits,
        clock: Clock,
        metrics: ServingMetrics,
        announce_change: Callable[[], None],
        kind: LimitKind = RATE_LIMITS,
    ) -> None:
        self.kind = kind
        self.limits = limits
        self.clock = clock
        self.metrics = metrics
        self.announce_change = announce_change
        self.invalid = InvalidStatementLog(f"{kind.event} invalid", clock)
        self.shown_targets: set[TargetId] = set()

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
        stated_limit = self.kind.read(facts)
        if not isinstance(stated_limit, Success):
            self.invalid.record(target, stated_limit.failure())
            return
        rate_per_s = stated_limit.unwrap()
        if rate_per_s is None and facts.not_run:
            # A rejection may come from a queue in front of the target.
            return
        stated = LimitStatement(
            rate_per_s, published.incarnation, self.clock.monotonic()
        )
        change = self.limits.record_answer(target, stated, sent_at)
        if change is not None:
            self.log_change(change, LimitSource(status=status), ZERO)
            self.announce_change()

    def apply_reports(self, reports: Iterable[LimitNews], peer: HostId) -> None:
        """Apply what a peer knows of limits."""
        for news in reports:
            self.apply_report(news, peer)

    def apply_report(self, news: LimitNews, peer: HostId) -> None:
        """Apply what a peer knows of one limit, and pass a change on."""
        age = seconds(news.age_s)
        stated = LimitStatement(
            news.rate_per_s, news.incarnation, self.clock.monotonic() - age
        )
        change = self.limits.apply_report(news.target, stated)
        if change is not None:
            self.log_change(change, LimitSource(peer), age)
            self.announce_change()

    def changed_since(self, number: int) -> tuple[LimitNews, ...]:
        """Return what peers should hear that changed after a change number."""
        return tuple(
            news
            for target in self.limits.changes.since(number)
            if (news := self.news_of(target)) is not None
        )

    def news_of(self, target: TargetId) -> LimitNews | None:
        """Return what this host knows of a target's limit, for a message."""
        known = self.limits.statements.get(target)
        if known is None:
            return None
        age_s = (self.clock.monotonic() - known.heard_at).total_seconds()
        return LimitNews(target, known.rate_per_s, known.incarnation, round(age_s, 3))

    def expire(self) -> None:
        """End the limits of targets that have been silent for too long."""
        now = self.clock.monotonic()
        for change in self.limits.expire(now):
            self.log_change(change, LimitSource(), ZERO)
        self.invalid.expire()
        self.show_limits()

    def show_limits(self) -> None:
        """Set the gauge of each limited target, and remove those of all others."""
        gauge, statements = self.kind.gauge(self.metrics), self.limits.statements
        limited = {
            target: statement.rate_per_s
            for target, statement in statements.items()
            if statement.rate_per_s is not None
        }
        for target, rate_per_s in limited.items():
            gauge.set({"target": str(target)}, rate_per_s)
        for target in self.shown_targets - limited.keys():
            gauge.values.pop({"target": str(target)}, None)
        self.shown_targets = set(limited)

    def log_change(
        self, change: LimitChange, source: LimitSource, age: timedelta
    ) -> None:
        """Log a limit that began, changed or ended."""
        log.info(
            self.kind.event,
            extra={
                "target": change.target,
                "before_per_s": change.before_per_s,
                "limit_per_s": change.after_per_s,
                "peer": source.peer,
                "status": source.status,
                "age_s": round(age.total_seconds(), 3),
            },
        )
