"""What may follow an attempt that did not give a whole answer.

At most one run for requests that must not be repeated: after bytes have left for a
target, only its own statement, or the failure to connect, permits another attempt.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .clock import ZERO
from .serving import Repetition


class AttemptEnd(Enum):
    """How an attempt ended, as far as running is concerned."""

    NOT_SENT = "not_sent"
    REJECTED = "rejected"
    MISDIRECTED = "misdirected"
    MAY_HAVE_RUN = "may_have_run"
    BROKEN_OFF = "broken_off"
    LOST_ON_REUSED_CONNECTION = "lost_on_kept"

    @property
    def may_have_run(self) -> bool:
        """Return whether the target may have begun to run the request."""
        return self in (
            AttemptEnd.MAY_HAVE_RUN,
            AttemptEnd.BROKEN_OFF,
            AttemptEnd.LOST_ON_REUSED_CONNECTION,
        )


class RetryDecision(Enum):
    """What comes after a failed attempt."""

    RETRY = "again"
    GIVE_UP_NOT_RUN = "give_up_not_run"
    GIVE_UP_MAY_HAVE_RUN = "give_up_may_have_run"


MAX_REJECTIONS = 4
"""Attempts that targets may reject before a request is given up: beyond that the pool
is full, and each further arrival makes it fuller."""


@dataclass(frozen=True, slots=True)
class AttemptCounts:
    """A request's history.

    Parameters
    ----------
    runs : int
        Attempts that ran or may have run.
    rejections : int
        Attempts that certainly did not.
    """

    runs: int = 0
    rejections: int = 0

    def with_attempt(self, end: AttemptEnd) -> "AttemptCounts":
        """Return the history with one more attempt."""
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
    """Return what follows, with the failed attempt already in `so_far`."""
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
