"""Limits at the door: concurrency by priority, and the budget for retries."""

from dataclasses import dataclass
from datetime import timedelta

MAX_PRIORITY = 9
OVERLOAD_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """How much a host takes on.

    Parameters
    ----------
    max_in_flight : int
        Requests in flight at once.
    reserved_share : float
        Share of places that only the highest priority reaches, 0 to 1. Priorities in
        between reach into it in proportion.
    """

    max_in_flight: int = 512
    reserved_share: float = 0.25


@dataclass(slots=True)
class Admission:
    """Requests in flight on one host."""

    policy: AdmissionPolicy
    in_flight: int = 0

    def capacity(self, priority: int) -> float:
        """Return how many places requests of a priority may fill."""
        reserved = self.policy.max_in_flight * self.policy.reserved_share
        open_to_all = self.policy.max_in_flight - reserved
        return open_to_all + reserved * priority / MAX_PRIORITY

    def try_enter(self, priority: int) -> bool:
        """Count a request in if there is a place for its priority."""
        if self.in_flight >= self.capacity(priority):
            return False
        self.in_flight += 1
        return True

    def leave(self) -> None:
        """Count a request out."""
        self.in_flight -= 1


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """How many further attempts are worth it.

    Parameters
    ----------
    ratio : float
        Further attempts earned by each first attempt.
    max_saved : float
        Further attempts that may be saved up.
    max_attempts : int
        Attempts for one request, the first included.
    """

    ratio: float = 0.1
    max_saved: float = 10.0
    max_attempts: int = 3


@dataclass(slots=True)
class RetryBudget:
    """Retries that a pool can bear: a share of its first attempts.

    A host that starts does not know what it sent before, so it begins with one retry,
    not with all that may be saved: hosts that start again and again would have that
    each time.
    """

    policy: RetryPolicy
    saved: float = 1.0

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self.saved = min(self.policy.max_saved, self.saved + self.policy.ratio)

    def try_spend(self, attempts: int) -> bool:
        """Return whether a request with so many attempts may make another."""
        if attempts >= self.policy.max_attempts or self.saved < 1:
            return False
        self.saved -= 1
        return True
