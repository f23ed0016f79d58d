"""Records all that targets state in their answers, and what peers tell of it."""

from collections.abc import Callable

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.statements.target_statements import TargetStatements

from ..fleet_task import ReceivedDigest
from ..serving_metrics import ServingMetrics
from ..serving_ports import AnswerFacts
from .backoff_recorder import BackoffRecorder
from .leaving_recorder import LeavingRecorder
from .limit_recorder import REJECTION_LIMITS, LimitRecorder
from .load_recorder import LoadRecorder


class StatementRecorders:
    """A recorder for each kind of statement.

    Parameters
    ----------
    announce_change : callable
        Called when peers should hear of a change.
    on_leaving : callable
        Called when a target has begun to leave.
    """

    def __init__(
        self,
        statements: TargetStatements,
        clock: Clock,
        metrics: ServingMetrics,
        announce_change: Callable[[], None],
        on_leaving: Callable[[], None],
    ) -> None:
        self.limits = LimitRecorder(statements.limits, clock, metrics, announce_change)
        self.rejection_limits = LimitRecorder(
            statements.rejection_limits,
            clock,
            metrics,
            announce_change,
            REJECTION_LIMITS,
        )
        self.leaving = LeavingRecorder(statements.leaving, clock, metrics, on_leaving)
        self.backoffs = BackoffRecorder(statements.backoffs, clock, metrics)
        self.loads = LoadRecorder(statements, clock, metrics)

    def record_answer(
        self,
        published: PublishedTarget,
        facts: AnswerFacts,
        status: int,
        sent_at: Instant,
    ) -> None:
        """Apply what the head of a target's answer to a request states.

        Parameters
        ----------
        sent_at : timedelta
            When the request was sent.
        """
        for recorder in (self.limits, self.rejection_limits):
            recorder.record_answer(published, facts, status, sent_at)
        self.record_refusals(published, facts, status)

    def record_refusals(
        self, published: PublishedTarget, facts: AnswerFacts, status: int
    ) -> None:
        """Apply what an answer states of leaving, of backoffs and of load.

        An answer of another process at the target's address states nothing of it.
        """
        if facts.instance not in ("", published.target.target_id):
            return
        if facts.is_misdirected and not facts.instance:
            return
        self.leaving.record_answer(published, facts, status)
        self.backoffs.record_answer(published, facts, status)
        self.loads.record_answer(published, facts)

    def apply_digest(self, received: ReceivedDigest) -> None:
        """Apply what a peer knows."""
        digest = received.digest
        peer = digest.host.host_id
        self.limits.apply_reports(digest.limits, peer)
        self.rejection_limits.apply_reports(digest.rejection_limits, peer)
        self.leaving.apply_reports(digest.leaving, peer)
        if received.built_at is not None:
            self.loads.apply_reports(digest.loads, peer, received.built_at)

    def expire(self) -> None:
        """Drop what is over, and update the gauges."""
        self.limits.expire()
        self.rejection_limits.expire()
        self.leaving.expire()
        self.backoffs.expire()
        self.loads.expire()
