"""What a keeper works by, what it knows of an engine, and the orders that it gives."""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant
from .leases import AdapterUse, HolderId
from .load_queue import LoadPolicy, RejectWaiter
from .names import AdapterRef, TargetId
from .roster import Target


@dataclass(frozen=True, slots=True)
class KeeperPolicy:
    """What a keeper works by.

    Parameters
    ----------
    lease : timedelta
        How long a use lease lasts.
    longest_request : timedelta
        The bound that hosts put on any request; an eviction outlasts it.
    report_lag : timedelta
        How old what an engine reports may be.
    trusts_reports : bool
        Whether an engine that reports an adapter idle ends the wait for requests whose
        lease ran out; else only the longest request does.
    max_drains : int
        Evictions prepared at once.
    silent_after : timedelta
        An engine without a report for so long gets no new work.
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
    """What an engine says of itself, late.

    Parameters
    ----------
    incarnation : str
        Differs after each restart, which loses all that was loaded.
    running, waiting : int
        Requests in the batch, and those that wait for a place in it.
    in_use : tuple of AdapterRef
        Adapters with a request in the batch.
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
    """Command: have an engine load an adapter; done at once if it holds it."""

    use: AdapterUse
    token: int


@dataclass(frozen=True, slots=True)
class UnloadCommand:
    """Command: have an engine evict an adapter."""

    use: AdapterUse
    token: int


@dataclass(frozen=True, slots=True)
class RecallCommand:
    """Command: ask a holder to stop using an adapter and to return its lease."""

    holder: HolderId
    use: AdapterUse


Command = LoadCommand | UnloadCommand | RecallCommand | RejectWaiter


@dataclass(frozen=True, slots=True)
class LeaseGrant:
    """When a lease ends, and the holder's message that it answers."""

    until: Instant
    sequence: int


@dataclass(slots=True)
class EngineRecord:
    """What the keeper knows of one engine.

    Parameters
    ----------
    token : int
        The last token used; 0 while another keeper has the engine.
    reported_at : timedelta
        When the last report came.
    confirmed_at : timedelta or None
        When the last report was asked for that showed no higher token.
    asked_at : timedelta
        When the last report was asked for.
    foreign_until : timedelta
        Until when leases of another keeper may last; unknown before the engine took
        this keeper's token.
    ordered : dict
        What orders changed since, with the time: reports lag behind them.
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
        """Return resident adapters that are not on their way out."""
        return sorted(self.resident - self.draining)

    def free_slots(self) -> int:
        """Return the slots that hold nothing and wait for nothing."""
        if self.report is None:
            return 0
        loading = self.loading is not None and self.loading not in self.resident
        return self.report.slots - len(self.resident) - int(loading)

    def next_token(self) -> int:
        """Return the token of the next order in this keeper's term."""
        self.token += 1
        return self.token

    def can_order(self) -> bool:
        """Return whether this keeper may order the engine at all."""
        return self.report is not None and self.token > 0

    def request_count(self) -> int:
        """Return the requests on the engine, as last reported."""
        return self.report.running + self.report.waiting if self.report else 0
