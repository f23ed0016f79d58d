"""Rate limits that targets state in their answers, as known to one host.

Load pattern: a target in need asks all hosts together for fewer requests a second, for
as long as its answers say so. Each host gets a few of these answers, so hosts tell one
another what they heard, with its age.

Answers overtake one another. A lower limit is therefore applied at once. A higher one,
or none, is applied only if the request was sent after the last statement was heard:
then the target made the answer after that statement.
"""

from dataclasses import dataclass, field

from ..catalogue import Catalogue
from ..clock import Instant, seconds
from ..names import TargetId
from .change_log import ChangeLog

MIN_RATE_PER_S = 0.2
"""Lowest limit that is applied, in requests a second. A target that states 0 still gets
a request now and then, because only its answers can end the limit."""

MAX_RATE_PER_S = 1000.0
"""A limit from here on, in requests a second, binds nobody: no target gets as many, and
each permit would cost a message."""

SILENCE_TIMEOUT = seconds(10)
SILENCE_INTERVALS = 3
"""A limit ends without an answer from the target for this time, and for the time of
this many requests at the limit."""

RESTATE_INTERVAL = seconds(1)
"""Interval at which a repeated statement is told to peers, so that it does not end by
silence at hosts that send the target nothing."""


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What an answer of a target stated about its rate limit.

    Parameters
    ----------
    rate_per_s : float or None
        Requests a second from all hosts together; None if it stated no limit.
    incarnation : int
        Start of the target's process, in Unix milliseconds.
    heard_at : timedelta
        When the answer arrived, on this host's clock.
    """

    rate_per_s: float | None
    incarnation: int
    heard_at: Instant

    @property
    def applied_per_s(self) -> float | None:
        """Return the rate that hosts keep to together; None without a limit."""
        if self.rate_per_s is None or self.rate_per_s >= MAX_RATE_PER_S:
            return None
        return max(self.rate_per_s, MIN_RATE_PER_S)

    def has_expired(self, now: Instant) -> bool:
        """Return whether the target has been silent for too long."""
        interval_s = 1 / (self.applied_per_s or MIN_RATE_PER_S)
        timeout = max(SILENCE_TIMEOUT, seconds(SILENCE_INTERVALS * interval_s))
        return now - self.heard_at > timeout


@dataclass(frozen=True, slots=True)
class PermitOutlook:
    """When permits for a limited target are expected, by the issuer's last reply.

    Parameters
    ----------
    free_at : timedelta
        When a request that can wait may be sent.
    ask_at : timedelta
        When to ask again for a request that other targets can serve.
    """

    free_at: Instant
    ask_at: Instant


@dataclass(frozen=True, slots=True)
class LimitChange:
    """A limit that began, changed or ended; None stands for no limit."""

    target: TargetId
    before_per_s: float | None
    after_per_s: float | None


@dataclass(slots=True)
class TargetLimits:
    """The last statement of each target that has stated a limit.

    Parameters
    ----------
    changes : ChangeLog
        Changes that peers should hear of.
    told_at : dict
        When the statement to tell was heard, by target.
    outlooks : dict
        When permits are expected, by target, where one was denied.
    """

    statements: dict[TargetId, LimitStatement] = field(default_factory=dict)
    changes: ChangeLog = field(default_factory=ChangeLog)
    told_at: dict[TargetId, Instant] = field(default_factory=dict)
    outlooks: dict[TargetId, PermitOutlook] = field(default_factory=dict)

    def rate_of(self, target: TargetId, now: Instant) -> float | None:
        """Return the rate at which all hosts together may send to a target.

        None without a limit.
        """
        statement = self.statements.get(target)
        if statement is None or statement.has_expired(now):
            return None
        return statement.applied_per_s

    def permit_wait_s(self, target: TargetId, can_wait: bool, now: Instant) -> float:
        """Return the expected wait for a permit, in seconds.

        Parameters
        ----------
        can_wait : bool
            Whether the request waits for this target, as no other can serve it.
        """
        outlook = self.outlooks.get(target)
        if outlook is None or self.rate_of(target, now) is None:
            return 0.0
        expected_at = outlook.free_at if can_wait else outlook.ask_at
        return max(0.0, (expected_at - now).total_seconds())

    def record_outlook(self, target: TargetId, outlook: PermitOutlook) -> None:
        """Record when permits for a target are expected, while its limit is known."""
        if target in self.statements:
            self.outlooks[target] = outlook

    def record_answer(
        self, target: TargetId, stated: LimitStatement, sent_at: Instant
    ) -> LimitChange | None:
        """Apply an answer to a request of this host; return what it changed.

        Parameters
        ----------
        sent_at : timedelta
            When the request was sent.
        """
        known = self.statements.get(target)
        if known is None or known.incarnation < stated.incarnation:
            if stated.rate_per_s is None and known is None:
                return None
            return self.replace(target, stated)
        if known.incarnation > stated.incarnation:
            return None
        is_lower = stated.rate_per_s is not None and (
            known.rate_per_s is None or stated.rate_per_s <= known.rate_per_s
        )
        if not is_lower and sent_at < known.heard_at:
            return None
        return self.replace(target, stated)

    def apply_report(
        self, target: TargetId, stated: LimitStatement
    ) -> LimitChange | None:
        """Apply a statement that a peer heard; return what it changed."""
        known = self.statements.get(target)
        if known is not None and (known.incarnation, known.heard_at) >= (
            stated.incarnation,
            stated.heard_at,
        ):
            return None
        if known is None and stated.rate_per_s is None:
            return None
        return self.replace(target, stated)

    def assume(self, target: TargetId, statement: LimitStatement) -> None:
        """Take a statement of others for one of a target that has made none."""
        self.statements.setdefault(target, statement)

    def replace(self, target: TargetId, stated: LimitStatement) -> LimitChange | None:
        """Set a target's statement; return the change of the limit, if any."""
        known = self.statements.get(target)
        before = known.rate_per_s if known is not None else None
        self.statements[target] = stated
        has_changed = before != stated.rate_per_s
        if has_changed:
            self.outlooks.pop(target, None)
        if has_changed or self.is_restatement_due(target, stated):
            self.changes.record(target)
            self.told_at[target] = stated.heard_at
        if not has_changed:
            return None
        return LimitChange(target, before, stated.rate_per_s)

    def is_restatement_due(self, target: TargetId, stated: LimitStatement) -> bool:
        """Return whether peers should hear again that a limit holds."""
        if stated.rate_per_s is None:
            return False
        told_at = self.told_at.get(target)
        return told_at is None or stated.heard_at - told_at >= RESTATE_INTERVAL

    def expire(self, now: Instant) -> list[LimitChange]:
        """Drop statements of targets that are silent; return the limits that ended."""
        expired = [t for t, s in self.statements.items() if s.has_expired(now)]
        changes = []
        for target in expired:
            rate_per_s = self.statements[target].rate_per_s
            self.forget_target(target)
            if rate_per_s is not None:
                changes.append(LimitChange(target, rate_per_s, None))
        return changes

    def forget_target(self, target: TargetId) -> None:
        """Drop what is known of a target that left or started again."""
        self.statements.pop(target, None)
        self.changes.forget(target)
        self.told_at.pop(target, None)
        self.outlooks.pop(target, None)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Drop the statements of processes that have ended.

        Those of targets without an entry expire by silence.
        """
        for target, stated in tuple(self.statements.items()):
            listed = catalogue.targets.get(target)
            if listed is not None and stated.incarnation < listed.incarnation:
                self.forget_target(target)
