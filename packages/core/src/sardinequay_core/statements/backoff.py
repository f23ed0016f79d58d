"""Targets that have asked this host for a backoff.

A target that turns a request away may state for how long it wants no further one from
the host that sent it. That binds this host alone: the target may have room for others.

The end of a backoff is no proof of room. The first request after it is a trial; until
the target has answered it, the others go elsewhere.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from ..catalogue import Catalogue
from ..clock import ZERO, Instant, seconds
from ..names import TargetId

TRIAL_WAIT = seconds(0.1)
"""Expected wait while a trial runs, after which to look again."""

MAX_TRIAL = seconds(1)
"""A trial that takes longer keeps no other request from the target."""

TRIAL_RETENTION = seconds(10)
"""How long after a backoff its first request is a trial."""


@dataclass(frozen=True, slots=True)
class BackoffStatement:
    """A target's statement of when it takes requests of this host again.

    Parameters
    ----------
    incarnation : int
        Start of the target's process, in Unix milliseconds; 0 if unknown.
    heard_at : timedelta
        When the answer that said so arrived.
    until : timedelta
        The end of the backoff.
    """

    incarnation: int
    heard_at: Instant
    until: Instant


@dataclass(slots=True)
class TargetBackoffs:
    """The latest end of the backoffs that each target has asked this host for.

    Parameters
    ----------
    trials : dict
        When the trial at a target began that is running there.
    """

    statements: dict[TargetId, BackoffStatement] = field(default_factory=dict)
    trials: dict[TargetId, Instant] = field(default_factory=dict)

    def record(self, target: TargetId, stated: BackoffStatement) -> bool:
        """Record a statement; return whether this host has to wait longer for it."""
        known = self.statements.get(target)
        if known is not None:
            if known.incarnation > stated.incarnation:
                return False
            if known.incarnation == stated.incarnation and known.until >= stated.until:
                return False
        self.statements[target] = stated
        self.trials.pop(target, None)
        return True

    def find(self, target: TargetId, incarnation: int) -> BackoffStatement | None:
        """Return the statement that an incarnation of a target has made, if any."""
        known = self.statements.get(target)
        if known is None or known.incarnation < incarnation:
            return None
        return known

    def wait(self, target: TargetId, incarnation: int, now: Instant) -> timedelta:
        """Return the time until an incarnation of a target takes requests again."""
        known = self.find(target, incarnation)
        if known is None:
            return ZERO
        if now < known.until:
            return known.until - now
        trial_at = self.trials.get(target)
        if trial_at is None or now - trial_at > MAX_TRIAL:
            return ZERO
        return TRIAL_WAIT

    def count_running(self, now: Instant) -> int:
        """Return how many targets want no request of this host now."""
        return sum(stated.until > now for stated in self.statements.values())

    def begin_send(self, target: TargetId, now: Instant) -> bool:
        """Record that a request is sent to a target; return whether it is a trial."""
        if target not in self.statements:
            return False
        self.trials[target] = now
        return True

    def end_trial(self, target: TargetId, is_answered: bool, now: Instant) -> None:
        """Record how a trial ended: by an answer, or without one."""
        self.trials.pop(target, None)
        stated = self.statements.get(target)
        if is_answered and stated is not None and stated.until <= now:
            del self.statements[target]

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Drop the statements of processes that have ended."""
        for target_id, stated in tuple(self.statements.items()):
            listed = catalogue.targets.get(target_id)
            if listed is not None and stated.incarnation < listed.incarnation:
                self.forget_target(target_id)

    def expire(self, now: Instant) -> None:
        """Drop the statements that need no trial any more."""
        for target_id, stated in tuple(self.statements.items()):
            if stated.until + TRIAL_RETENTION <= now:
                self.forget_target(target_id)

    def forget_target(self, target: TargetId) -> None:
        """Drop what is known of a target."""
        self.statements.pop(target, None)
        self.trials.pop(target, None)
