"""Progress of one request through its attempts, and its final failure."""

from dataclasses import dataclass, replace

from sardinequay_core.outcome import Outcome, Reason, Refusal

from .errors import DaemonError


@dataclass(unsafe_hash=True)
class RequestRefusedError(DaemonError):
    """The final failure of a request, with the refusal for its caller."""

    refusal: Refusal


@dataclass(slots=True)
class Progress:
    """The attempts of one request, and how much of its answer was passed on.

    Parameters
    ----------
    attempt_in_flight : bool
        Whether an attempt is in flight at a target.
    is_uncertain : bool
        Whether some attempt ended without proof that the request had not run. Later
        attempts do not change that.
    last_event : int
        Number of the last event passed on; 0 before the first.
    """

    attempts: int = 0
    not_loaded: int = 0
    attempt_in_flight: bool = False
    is_uncertain: bool = False
    last_event: int = 0

    def begin_attempt(self) -> None:
        """Record an attempt: bytes may be sent to a target from now on."""
        self.attempts += 1
        self.attempt_in_flight = True

    def end_attempt(self, proves_not_run: bool) -> None:
        """Record a failed attempt and whether it proves that nothing ran."""
        self.attempt_in_flight = False
        self.is_uncertain = self.is_uncertain or not proves_not_run

    @property
    def may_have_run(self) -> bool:
        """Return whether any attempt may have run."""
        return self.attempt_in_flight or self.is_uncertain

    @property
    def outcome(self) -> Outcome:
        """Return the outcome that a failure at this point has to report."""
        if self.last_event:
            return Outcome.RAN
        return Outcome.UNKNOWN if self.may_have_run else Outcome.NOT_RUN


def with_proven_outcome(refusal: Refusal, progress: Progress) -> Refusal:
    """Return a refusal that states "not run" only if no attempt may have run."""
    if refusal.outcome is Outcome.NOT_RUN and progress.outcome is not Outcome.NOT_RUN:
        return replace(refusal, outcome=progress.outcome)
    return refusal


def deadline_refusal(progress: Progress) -> Refusal:
    """Return the refusal of a request whose deadline has passed."""
    text = "the deadline passed"
    return Refusal(Reason.DEADLINE_EXPIRED, progress.outcome, text)


def answer_lost_refusal() -> Refusal:
    """Return the refusal of a request that was sent and whose answer was lost."""
    text = "the target's answer was lost; it may have run the request"
    return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, text)
