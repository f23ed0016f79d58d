"""All statements of targets that one host knows."""

from dataclasses import dataclass, field

from ..catalogue import Catalogue
from ..clock import Instant
from .backoff import TargetBackoffs
from .leaving import LeavingTargets


@dataclass(slots=True)
class TargetStatements:
    """What targets have stated of themselves."""

    leaving: LeavingTargets = field(default_factory=LeavingTargets)
    backoffs: TargetBackoffs = field(default_factory=TargetBackoffs)

    def apply_catalogue(self, catalogue: Catalogue, now: Instant) -> None:
        """Drop what processes have stated that have ended."""
        self.leaving.apply_catalogue(catalogue, now)
        self.backoffs.apply_catalogue(catalogue)

    def expire(self, now: Instant) -> None:
        """Drop the statements whose time is over."""
        self.backoffs.expire(now)
