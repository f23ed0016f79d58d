"""Admission control: concurrency limits by priority, and retry budgets."""

from dataclasses import dataclass
from datetime import timedelta

MAX_PRIORITY = 9
OVERLOAD_RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class AdmissionPolicy:
    """Limits on the requests that a host accepts.

    Parameters
    ----------
    max_in_flight : int
        Requests in flight at once.
    reserved_share : float
        Share of the places that only the highest priority can use in full, 0 to 1.
        Priorities in between may use it in proportion.
    """

    max_in_flight: int = 512
    reserved_share: float = 0.25


@dataclass(slots=True)
class Admission:
    """Requests in flight on one host."""

    policy: AdmissionPolicy
    in_flight: int = 0

    def capacity(self, priority: int) -> float:
        """Return how many requests in flight a priority may fill up to."""
        reserved = self.policy.max_in_flight * self.policy.reserved_share
        open_to_all = self.policy.max_in_flight - reserved
        return open_to_all + reserved * priority / MAX_PRIORITY

    def try_enter(self, priority: int) -> bool:
        """Count a request in if its priority has capacity; return whether it has."""
        if self.in_flight >= self.capacity(priority):
            return False
        self.in_flight += 1
        return True

    def leave(self) -> None:
        """Count a request out."""
        self.in_flight -= 1


@dataclass(frozen=True, slots=True)
class RetryPolicy:
    """Bounds on retries.

    Parameters
    ----------
    ratio : float
        Retries earned by each first attempt.
    max_saved : float
        Retries that may be saved up.
    max_attempts : int
        Attempts for one request, the first included.
    """

    ratio: float = 0.1
    max_saved: float = 10.0
    max_attempts: int = 3


@dataclass(slots=True)
class RetryBudget:
    """Retries allowed for a pool: a share of its first attempts.

    A host that starts does not know what it sent before, so it begins with one retry
    and not with the full savings: hosts that restart repeatedly would get the full
    savings each time.
    """

    policy: RetryPolicy
    saved: float = 1.0

    def record_first_attempt(self) -> None:
        """Earn a share of a retry."""
        self.saved = min(self.policy.max_saved, self.saved + self.policy.ratio)

    def try_spend(self, attempts: int) -> bool:
        """Spend a retry on a request, by its attempts; return whether it is allowed."""
        if attempts >= self.policy.max_attempts or self.saved < 1:
            return False
        self.saved -= 1
        return True
