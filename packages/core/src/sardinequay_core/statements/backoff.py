"""Targets that have asked this host for a backoff.

A target that turns a request away may state for how long it wants no further one from
the host that sent it. That binds this host alone: the target may have room for others.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from ..catalogue import Catalogue
from ..clock import ZERO, Instant
from ..names import TargetId


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
    """The latest end of the backoffs that each target has asked this host for."""

    statements: dict[TargetId, BackoffStatement] = field(default_factory=dict)

    def record(self, target: TargetId, stated: BackoffStatement) -> bool:
        """Record a statement; return whether this host has to wait longer for it."""
        known = self.statements.get(target)
        if known is not None:
            if known.incarnation > stated.incarnation:
                return False
            if known.incarnation == stated.incarnation and known.until >= stated.until:
                return False
        self.statements[target] = stated
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
        return max(ZERO, known.until - now)

    def left_s(self, now: Instant) -> dict[TargetId, float]:
        """Return the time left of each backoff, in seconds."""
        return {
            target: round((stated.until - now).total_seconds(), 3)
            for target, stated in self.statements.items()
            if stated.until > now
        }

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Drop the statements of processes that have ended."""
        for target_id, stated in tuple(self.statements.items()):
            listed = catalogue.targets.get(target_id)
            if listed is not None and stated.incarnation < listed.incarnation:
                del self.statements[target_id]

    def expire(self, now: Instant) -> None:
        """Drop the statements whose time is over."""
        for target_id, stated in tuple(self.statements.items()):
            if stated.until <= now:
                del self.statements[target_id]
