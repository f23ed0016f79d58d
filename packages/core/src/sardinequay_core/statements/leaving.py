"""Targets that have stated that they leave.

A target that leaves says so in its answers. Its entry in the store may say so much
later, or not at all. The statement holds until its process ends, and for all hosts.
"""

from dataclasses import dataclass, field

from ..catalogue import Catalogue
from ..clock import Instant, seconds
from ..names import TargetId
from .change_log import ChangeLog

UNLISTED_RETENTION = seconds(2 * 3600)
"""How long a statement is kept of a target without an entry: longer than an outage in
which entries lapse and come back."""


@dataclass(frozen=True, slots=True)
class LeavingStatement:
    """A target's statement that it leaves.

    Parameters
    ----------
    incarnation : int
        Start of the target's process, in Unix milliseconds; 0 if unknown.
    heard_at : timedelta
        When the first answer that said so arrived.
    """

    incarnation: int
    heard_at: Instant


@dataclass(slots=True)
class LeavingTargets:
    """The first statement of each target that has stated that it leaves.

    Parameters
    ----------
    unlisted_since : dict
        When the entry of a target went that has made a statement.
    changes : ChangeLog
        Statements that peers should hear of.
    """

    statements: dict[TargetId, LeavingStatement] = field(default_factory=dict)
    unlisted_since: dict[TargetId, Instant] = field(default_factory=dict)
    changes: ChangeLog = field(default_factory=ChangeLog)

    def record(self, target: TargetId, stated: LeavingStatement) -> bool:
        """Record a statement; return whether it is the first of its incarnation."""
        known = self.statements.get(target)
        if known is not None and known.incarnation >= stated.incarnation:
            return False
        self.statements[target] = stated
        self.changes.record(target)
        return True

    def find(self, target: TargetId, incarnation: int) -> LeavingStatement | None:
        """Return the statement that an incarnation of a target has made, if any."""
        known = self.statements.get(target)
        if known is None or known.incarnation < incarnation:
            return None
        return known

    def apply_catalogue(self, catalogue: Catalogue, now: Instant) -> None:
        """Drop the statements of processes that have ended."""
        for target_id, stated in tuple(self.statements.items()):
            listed = catalogue.targets.get(target_id)
            if listed is None:
                since = self.unlisted_since.setdefault(target_id, now)
                has_ended = now - since > UNLISTED_RETENTION
            else:
                self.unlisted_since.pop(target_id, None)
                has_ended = stated.incarnation < listed.incarnation
            if has_ended:
                self.forget_target(target_id)

    def forget_target(self, target: TargetId) -> None:
        """Drop what is known of a target whose process has ended."""
        self.statements.pop(target, None)
        self.unlisted_since.pop(target, None)
        self.changes.forget(target)
