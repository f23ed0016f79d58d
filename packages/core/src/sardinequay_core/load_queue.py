"""Who waits for which cold adapter, and in which order loads are spent on them."""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .demand_table import DemandTable
from .names import AdapterRef

MAX_BACKOFF_DOUBLINGS = 5
LOAD_TIME_SMOOTHING = 0.75
"""How much of the old estimate of a load's duration is kept at each new load."""


@dataclass(frozen=True, slots=True)
class LoadPolicy:
    """What the order of loads follows.

    Parameters
    ----------
    loads_per_s : float
        This data centre's share of the weight store's rate for the pool.
    burst : float
        Permits that may be saved up.
    load_time : timedelta
        How long a load is expected to take before any was seen.
    stall_weight, batch_weight : float
        The bundle's weights, 0 to 1.
    backoff : timedelta
        The wait after a failed load, doubled at each further failure.
    max_adapters : int
        Adapters that may be waited for at once.
    """

    loads_per_s: float = 1.0
    burst: float = 1.0
    load_time: timedelta = timedelta(seconds=1)
    stall_weight: float = 0.5
    batch_weight: float = 0.5
    initial_backoff: timedelta = timedelta(seconds=1)
    max_waiting_adapters: int = 256


@dataclass(frozen=True, slots=True)
class RejectWaiter:
    """Command: tell one waiting request when to come back."""

    ticket: int
    retry_after: timedelta


@dataclass(slots=True)
class WaitingRequests:
    """Requests of the data centre that wait for one adapter, by their tickets."""

    deadlines: dict[int, Instant] = field(default_factory=dict)
    failures: int = 0
    not_before: Instant = ZERO


class LoadQueue:
    """Waiting requests, the demand for adapters and the permits to load."""

    def __init__(self, policy: LoadPolicy, now: Instant) -> None:
        self.policy = policy
        self.waiting: dict[AdapterRef, WaitingRequests] = {}
        self.demand = DemandTable()
        self.load_time = policy.load_time
        self.permits = policy.burst
        self.refilled_at = now

    def refill_permits(self, now: Instant) -> None:
        """Earn load permits at the data centre's share of the store's rate."""
        earned = (now - self.refilled_at).total_seconds() * self.policy.loads_per_s
        self.permits = min(self.policy.burst, self.permits + earned)
        self.refilled_at = now

    def priority(
        self, adapter: AdapterRef, now: Instant, extra_requests: int = 0
    ) -> float:
        """Return the worth of loading or keeping an adapter.

        Requests that wait count for the weight on load stalls; demand, which is what
        fills batches once the adapter is loaded, for the weight on batch efficiency.
        """
        waiting = self.waiting.get(adapter)
        count = (len(waiting.deadlines) if waiting else 0) + extra_requests
        value = self.demand.decayed_count(adapter, now)
        return self.policy.stall_weight * (count + value) + (
            self.policy.batch_weight * value
        )

    def add_request(
        self, ticket: int, adapter: AdapterRef, deadline: Instant, now: Instant
    ) -> RejectWaiter | None:
        """Queue a request, or give it up at once if its load would come too late."""
        expected = self.expected_wait(adapter, now)
        waiting = self.waiting.get(adapter)
        is_full = (
            waiting is None and len(self.waiting) >= self.policy.max_waiting_adapters
        )
        if is_full or now + expected > deadline:
            return RejectWaiter(ticket, expected)
        if waiting is None:
            waiting = self.waiting[adapter] = WaitingRequests()
        waiting.deadlines[ticket] = deadline
        return None

    def cancel_request(self, ticket: int, adapter: AdapterRef) -> None:
        """Forget a request that its caller gave up."""
        waiting = self.waiting.get(adapter)
        if waiting is None:
            return
        waiting.deadlines.pop(ticket, None)
        self.prune_if_empty(adapter)

    def prune_if_empty(self, adapter: AdapterRef) -> None:
        """Forget an adapter for which nobody waits, unless it is held back."""
        waiting = self.waiting.get(adapter)
        if waiting is not None and not waiting.deadlines and not waiting.failures:
            del self.waiting[adapter]

    def expected_wait(self, adapter: AdapterRef, now: Instant) -> timedelta:
        """Return how long one more request would wait for this adapter's load."""
        own_priority = self.priority(adapter, now, extra_requests=1)
        ahead = sum(
            1
            for other in self.waiting
            if other != adapter and self.priority(other, now) >= own_priority
        )
        return self.estimate_wait(ahead, self.waiting.get(adapter), now)

    def estimate_wait(
        self, loads_ahead: int, waiting: WaitingRequests | None, now: Instant
    ) -> timedelta:
        """Return the wait with `ahead` loads to be done first."""
        if self.policy.loads_per_s <= 0:
            return timedelta.max / 2
        permit_wait = seconds(
            max(0.0, loads_ahead + 1 - self.permits) / self.policy.loads_per_s
        )
        backoff_left = max(ZERO, waiting.not_before - now) if waiting else ZERO
        return max(permit_wait, backoff_left) + self.load_time

    def loadable_adapters(self, now: Instant) -> list[AdapterRef]:
        """Return the adapters that may be loaded now, the most worth it first."""
        ready = [
            a for a, w in self.waiting.items() if w.deadlines and w.not_before <= now
        ]
        return sorted(ready, key=lambda a: (-self.priority(a, now), a))

    def reject_late_requests(
        self, now: Instant, loading: frozenset[AdapterRef]
    ) -> list[RejectWaiter]:
        """Give up, at once, requests whose load would come after their deadline."""
        commands = []
        ranked = sorted(self.waiting, key=lambda a: (-self.priority(a, now), a))
        ahead = 0
        for adapter in ranked:
            waiting = self.waiting[adapter]
            if adapter in loading:
                wait = ZERO
            else:
                wait = self.estimate_wait(ahead, waiting, now)
                ahead += 1
            late = [t for t, d in waiting.deadlines.items() if now + wait > d]
            for ticket in late:
                del waiting.deadlines[ticket]
                commands.append(RejectWaiter(ticket, wait or self.load_time))
            self.reset_failures_if_idle(waiting, now)
            self.prune_if_empty(adapter)
        return commands

    def reset_failures_if_idle(self, waiting: WaitingRequests, now: Instant) -> None:
        """Forgive failed loads that nobody has waited for since the hold ended."""
        if not waiting.deadlines and now >= waiting.not_before:
            waiting.failures = 0

    def remove_loaded(
        self, adapter: AdapterRef, load_duration: timedelta
    ) -> tuple[int, ...]:
        """Take a finished load; return the tickets that need not wait any more."""
        old = self.load_time * LOAD_TIME_SMOOTHING
        self.load_time = old + load_duration * (1 - LOAD_TIME_SMOOTHING)
        waiting = self.waiting.pop(adapter, None)
        return tuple(waiting.deadlines) if waiting else ()

    def back_off(self, adapter: AdapterRef, now: Instant) -> None:
        """Take a failed load: hold the adapter back, longer each time."""
        waiting = self.waiting.setdefault(adapter, WaitingRequests())
        doublings = min(waiting.failures, MAX_BACKOFF_DOUBLINGS)
        waiting.failures += 1
        waiting.not_before = now + self.policy.initial_backoff * 2**doublings
