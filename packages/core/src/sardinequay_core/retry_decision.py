"""Decision whether a request is retried after an attempt without a complete response.

A request that must not be repeated runs at most once: after bytes have left for a
target, only the target's own statement that it has not run the request, or a failure to
connect, permits another attempt.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .clock import ZERO
from .serving import Repetition


class AttemptEnd(Enum):
    """How an attempt ended, as far as execution of the request is concerned.

    WITHHELD is no attempt: the request was kept from a target that takes none now.
    """

    NOT_SENT = "not_sent"
    WITHHELD = "withheld"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    MAY_HAVE_RUN = "may_have_run"
    BROKEN_OFF = "broken_off"
    LOST_ON_REUSED_CONNECTION = "lost_on_kept"

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have started to run the request."""
        return self in (
            AttemptEnd.MAY_HAVE_RUN,
            AttemptEnd.BROKEN_OFF,
            AttemptEnd.LOST_ON_REUSED_CONNECTION,
        )


class RetryDecision(Enum):
    """What follows a failed attempt."""

    RETRY = "again"
    GIVE_UP_NOT_RUN = "give_up_not_run"
    GIVE_UP_MAY_HAVE_RUN = "give_up_may_have_run"


MAX_REJECTIONS = 4
"""Rejections by targets after which a request is given up: beyond that the pool is
full, and each further arrival adds to its load."""


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """Counts of a request's failed attempts.

    Parameters
    ----------
    runs : int
        Attempts that ran or may have run.
    rejections : int
        Attempts that certainly did not run.
    """

    runs: int = 0
    rejections: int = 0

    def with_attempt(self, end: AttemptEnd) -> "AttemptCounts":
        """Return the counts with one more attempt."""
        if end.may_have_run:
            return AttemptCounts(self.runs + 1, self.rejections)
        return AttemptCounts(self.runs, self.rejections + 1)


def decide_retry(
    repetition: Repetition,
    max_runs: int,
    counts: AttemptCounts,
    remaining: timedelta,
    within_budget: bool,
) -> RetryDecision:
    """Return what follows a failed attempt, which is already in `counts`."""
    give_up = (
        RetryDecision.GIVE_UP_MAY_HAVE_RUN
        if counts.runs
        else RetryDecision.GIVE_UP_NOT_RUN
    )
    if counts.runs and not repetition.may_run_again:
        return give_up
    if counts.runs >= max_runs or counts.rejections >= MAX_REJECTIONS:
        return give_up
    if remaining <= ZERO or not within_budget:
        return give_up
    return RetryDecision.RETRY
