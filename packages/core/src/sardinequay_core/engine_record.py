"""Keeper policy, the keeper's record of an engine, and the keeper's commands."""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant
from .leases import AdapterUse, HolderId
from .load_queue import LoadPolicy, RejectWaiter
from .names import AdapterRef, TargetId
from .roster import Target


@dataclass(frozen=True, slots=True)
class KeeperPolicy:
    """Timing and limits of a keeper.

    Parameters
    ----------
    lease_duration : timedelta
        Duration of a use lease.
    longest_request : timedelta
        Maximum duration of any request, enforced by hosts; an eviction waits longer.
    report_lag : timedelta
        Maximum age of the state that an engine's report shows.
    are_reports_trusted : bool
        Whether a report that shows an adapter idle ends the wait for requests under
        expired leases; otherwise only `longest_request` ends it.
    max_concurrent_drains : int
        Maximum number of evictions in preparation at once.
    report_timeout : timedelta
        An engine without a report for this long gets no new leases and loads.
    load_policy : LoadPolicy
        Limits and weights of the load queue.
    """

    lease_duration: timedelta = timedelta(seconds=10)
    longest_request: timedelta = timedelta(seconds=120)
    report_lag: timedelta = timedelta(seconds=2)
    are_reports_trusted: bool = True
    max_concurrent_drains: int = 2
    report_timeout: timedelta = timedelta(seconds=2)
    load_policy: LoadPolicy = field(default_factory=LoadPolicy)


@dataclass(frozen=True, slots=True)
class EngineReport:
    """An engine's report of its state, received with a delay.

    Parameters
    ----------
    incarnation : str
        Differs after each restart. A restart loses all loaded adapters.
    running, waiting : int
        Requests in the batch, and requests queued for it.
    in_use : tuple of AdapterRef
        Adapters that requests in the batch use.
    """

    target: TargetId
    incarnation: str
    highest_token: int
    slots: int
    resident: tuple[AdapterRef, ...]
    running: int = 0
    waiting: int = 0
    in_use: tuple[AdapterRef, ...] = ()


@dataclass(frozen=True, slots=True)
class LoadCommand:
    """Command: make an engine load an adapter; no effect if it is resident."""

    use: AdapterUse
    token: int


@dataclass(frozen=True, slots=True)
class UnloadCommand:
    """Command: make an engine evict an adapter."""

    use: AdapterUse
    token: int


@dataclass(frozen=True, slots=True)
class RecallCommand:
    """Command: ask a lease holder to stop using an adapter and return the lease."""

    holder: HolderId
    use: AdapterUse


Command = LoadCommand | UnloadCommand | RecallCommand | RejectWaiter


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """The end of a lease, and the sequence number of the message it answers."""

    until: Instant
    sequence: int


@dataclass(slots=True)
class EngineRecord:
    """The keeper's record of one engine.

    Parameters
    ----------
    token : int
        The last fencing token used; 0 while another keeper controls the engine.
    is_token_pending : bool
        Whether the engine has not yet accepted an order with this keeper's token.
    confirmed_at : timedelta or None
        When the last report that showed no higher token was requested.
    reported_at : timedelta
        When the last report arrived.
    report_requested_at : timedelta
        When the last report was requested.
    foreign_leases_until : timedelta
        When leases of another keeper have ended at the latest; `timedelta.max` until
        the engine has accepted this keeper's token.
    recent_orders : dict
        Adapters recently loaded (True) or evicted (False) by order, with the time.
        Reports may not show them yet.
    """

    target: Target
    report: EngineReport | None = None
    token: int = 0
    is_token_pending: bool = False
    confirmed_at: Instant | None = None
    reported_at: Instant = ZERO
    stepped_down_at: Instant | None = None
    report_requested_at: Instant = ZERO
    foreign_leases_until: Instant = timedelta.max
    loading: AdapterRef | None = None
    draining: set[AdapterRef] = field(default_factory=set)
    unloading: set[AdapterRef] = field(default_factory=set)
    recent_orders: dict[AdapterRef, tuple[bool, Instant]] = field(default_factory=dict)
    resident: set[AdapterRef] = field(default_factory=set)

    def usable_adapters(self) -> list[AdapterRef]:
        """Return the resident adapters that are not being drained."""
        return sorted(self.resident - self.draining)

    def free_slots(self) -> int:
        """Return the number of slots without a resident or loading adapter."""
        if self.report is None:
            return 0
        is_slot_reserved = (
            self.loading is not None and self.loading not in self.resident
        )
        return self.report.slots - len(self.resident) - int(is_slot_reserved)

    def next_token(self) -> int:
        """Advance and return the fencing token for the next order in this term."""
        self.token += 1
        return self.token

    def can_order(self) -> bool:
        """Return whether this keeper controls the engine and has a report of it."""
        return self.report is not None and self.token > 0

    def request_count(self) -> int:
        """Return the number of running and queued requests in the last report."""
        return self.report.running + self.report.waiting if self.report else 0
