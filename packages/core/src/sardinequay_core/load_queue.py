"""Queue of requests that wait for adapters, and the priority of adapter loads."""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .demand_table import DemandTable
from .names import AdapterRef

MAX_BACKOFF_DOUBLINGS = 5
LOAD_TIME_SMOOTHING = 0.75
"""Weight of the old value in the moving average of the load duration."""


@dataclass(frozen=True, slots=True)
class LoadPolicy:
    """Rates, weights and limits of the load queue.

    Parameters
    ----------
    loads_per_s : float
        Load permits per second: this data centre's share of the weight store's rate for
        the pool.
    burst : float
        Maximum number of accumulated permits.
    load_time : timedelta
        Expected duration of a load before any was measured.
    stall_weight, batch_weight : float
        The bundle's weights for load stalls and batch efficiency, 0 to 1.
    initial_backoff : timedelta
        Delay after a failed load; doubled after each further failure.
    max_waiting_adapters : int
        Maximum number of adapters that requests wait for at once.
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
    """Command: reject one waiting request and tell it when to retry."""

    ticket: int
    retry_after: timedelta


@dataclass(slots=True)
class WaitingRequests:
    """Deadlines by ticket of the requests waiting for an adapter, and its backoff."""

    deadlines: dict[int, Instant] = field(default_factory=dict)
    failures: int = 0
    not_before: Instant = ZERO


class LoadQueue:
    """Waiting requests, adapter demand and load permits of a pool."""

    def __init__(self, policy: LoadPolicy, now: Instant) -> None:
        self.policy = policy
        self.waiting: dict[AdapterRef, WaitingRequests] = {}
        self.demand = DemandTable()
        self.load_time = policy.load_time
        self.permits = policy.burst
        self.refilled_at = now

    def refill_permits(self, now: Instant) -> None:
        """Add the load permits accumulated since the last call, up to the burst."""
        earned = (now - self.refilled_at).total_seconds() * self.policy.loads_per_s
        self.permits = min(self.policy.burst, self.permits + earned)
        self.refilled_at = now

    def priority(
        self, adapter: AdapterRef, now: Instant, extra_requests: int = 0
    ) -> float:
        """Return the priority of loading an adapter or keeping it loaded.

        Waiting requests and demand count with the weight of load stalls. Demand counts
        again with the weight of batch efficiency, because it fills batches once the
        adapter is loaded.
        """
        waiting = self.waiting.get(adapter)
        request_count = (len(waiting.deadlines) if waiting else 0) + extra_requests
        current_demand = self.demand.decayed_count(adapter, now)
        return self.policy.stall_weight * (request_count + current_demand) + (
            self.policy.batch_weight * current_demand
        )

    def add_request(
        self, ticket: int, adapter: AdapterRef, deadline: Instant, now: Instant
    ) -> RejectWaiter | None:
        """Queue a request, or reject it if the queue is full or the load too late."""
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
        """Remove a request that its caller cancelled."""
        waiting = self.waiting.get(adapter)
        if waiting is None:
            return
        waiting.deadlines.pop(ticket, None)
        self.prune_if_empty(adapter)

    def prune_if_empty(self, adapter: AdapterRef) -> None:
        """Remove an adapter without waiting requests, unless its loads failed."""
        waiting = self.waiting.get(adapter)
        if waiting is not None and not waiting.deadlines and not waiting.failures:
            del self.waiting[adapter]

    def expected_wait(self, adapter: AdapterRef, now: Instant) -> timedelta:
        """Return the expected wait of one more request for this adapter."""
        own_priority = self.priority(adapter, now, extra_requests=1)
        loads_ahead = sum(
            1
            for other in self.waiting
            if other != adapter and self.priority(other, now) >= own_priority
        )
        return self.estimate_wait(loads_ahead, self.waiting.get(adapter), now)

    def estimate_wait(
        self, loads_ahead: int, waiting: WaitingRequests | None, now: Instant
    ) -> timedelta:
        """Return the expected wait when `loads_ahead` loads come first."""
        if self.policy.loads_per_s <= 0:
            return timedelta.max / 2
        permit_wait = seconds(
            max(0.0, loads_ahead + 1 - self.permits) / self.policy.loads_per_s
        )
        backoff_left = max(ZERO, waiting.not_before - now) if waiting else ZERO
        return max(permit_wait, backoff_left) + self.load_time

    def loadable_adapters(self, now: Instant) -> list[AdapterRef]:
        """Return the adapters that may be loaded now, highest priority first."""
        loadable = [
            a for a, w in self.waiting.items() if w.deadlines and w.not_before <= now
        ]
        return sorted(loadable, key=lambda a: (-self.priority(a, now), a))

    def reject_late_requests(
        self, now: Instant, loading: frozenset[AdapterRef]
    ) -> list[RejectWaiter]:
        """Reject the requests whose adapter would be loaded after their deadline."""
        commands = []
        ranked = sorted(self.waiting, key=lambda a: (-self.priority(a, now), a))
        loads_ahead = 0
        for adapter in ranked:
            waiting = self.waiting[adapter]
            if adapter in loading:
                wait = ZERO
            else:
                wait = self.estimate_wait(loads_ahead, waiting, now)
                loads_ahead += 1
            late_tickets = [t for t, d in waiting.deadlines.items() if now + wait > d]
            for ticket in late_tickets:
                del waiting.deadlines[ticket]
                commands.append(RejectWaiter(ticket, wait or self.load_time))
            self.reset_failures_if_idle(waiting, now)
            self.prune_if_empty(adapter)
        return commands

    def reset_failures_if_idle(self, waiting: WaitingRequests, now: Instant) -> None:
        """Reset the failure count of an idle adapter when its backoff has ended."""
        if not waiting.deadlines and now >= waiting.not_before:
            waiting.failures = 0

    def remove_loaded(
        self, adapter: AdapterRef, load_duration: timedelta
    ) -> tuple[int, ...]:
        """Remove a loaded adapter; return the tickets of its waiting requests."""
        old_estimate = self.load_time * LOAD_TIME_SMOOTHING
        self.load_time = old_estimate + load_duration * (1 - LOAD_TIME_SMOOTHING)
        waiting = self.waiting.pop(adapter, None)
        return tuple(waiting.deadlines) if waiting else ()

    def back_off(self, adapter: AdapterRef, now: Instant) -> None:
        """Delay an adapter's next load after a failure, with exponential backoff."""
        waiting = self.waiting.setdefault(adapter, WaitingRequests())
        doublings = min(waiting.failures, MAX_BACKOFF_DOUBLINGS)
        waiting.failures += 1
        waiting.not_before = now + self.policy.initial_backoff * 2**doublings
