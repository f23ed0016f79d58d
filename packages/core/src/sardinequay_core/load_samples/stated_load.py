"""A target's statement of its load."""

from dataclasses import dataclass

from ..clock import Instant


@dataclass(frozen=True, slots=True)
class StatedLoad:
    """Load that a target states in an answer.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that run and wait there, and how many can run.
    pace : float or None
        Time that work takes there now, relative to the usual: 2 takes twice as long.
        None if the target does not state it.
    """

    running: int
    waiting: int
    slots: int
    pace: float | None = None


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A stated load and when the target stated it, on this host's clock."""

    load: StatedLoad
    at: Instant

    def age_s(self, now: Instant) -> float:
        """Return the time since the statement, in seconds, rounded for the log."""
        return round((now - self.at).total_seconds(), 3)
