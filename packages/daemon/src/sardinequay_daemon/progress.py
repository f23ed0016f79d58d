"""How far one request came, and how it finally failed."""

from dataclasses import dataclass

from sardinequay_core.outcome import Outcome, Reason, Refusal

from .errors import DaemonError


@dataclass(unsafe_hash=True)
class Refused(DaemonError):
    """A request's final failure."""

    refusal: Refusal


@dataclass(slots=True)
class Progress:
    """How far one request came.

    Parameters
    ----------
    may_have_run : bool
        Whether bytes left for a target that has not proved "not run" since.
    last_event : int
        Number of the last event passed on; 0 before the first.
    """

    attempts: int = 0
    not_loaded: int = 0
    may_have_run: bool = False
    last_event: int = 0

    @property
    def outcome(self) -> Outcome:
        """Return what a failure now has to say."""
        if self.last_event:
            return Outcome.RAN
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def too_late(progress: Progress) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    text = "the deadline passed"
    return Refusal(Reason.DEADLINE_EXPIRED, progress.outcome, text)
