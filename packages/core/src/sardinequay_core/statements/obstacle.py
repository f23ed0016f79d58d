"""Why a request may not be sent to a target now."""

from dataclasses import dataclass
from enum import Enum

from ..clock import Instant


class ObstacleKind(Enum):
    """What keeps requests from a target; the value is the form in logs and metrics."""

    LEAVING = "leaving"
    BACKOFF = "backoff"


@dataclass(frozen=True, slots=True)
class Obstacle:
    """A target's statement that keeps a request from it.

    Parameters
    ----------
    heard_at : timedelta
        When this host learned of it.
    until : timedelta or None
        When it ends; None if it holds until the target's process ends.
    """

    kind: ObstacleKind
    heard_at: Instant
    until: Instant | None = None

    def age_s(self, now: Instant) -> float:
        """Return the time since this host learned of it, in seconds."""
        return round((now - self.heard_at).total_seconds(), 3)

    def left_s(self, now: Instant) -> float | None:
        """Return the time to its end, in seconds; None until the process ends."""
        if self.until is None:
            return None
        return round((self.until - now).total_seconds(), 3)
