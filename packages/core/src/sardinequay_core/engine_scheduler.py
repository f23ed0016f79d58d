"""What the host that orders an engine knows of it, and which order comes next.

The book counts places from the engine's own report and from the orders that the report
cannot show yet. An order whose answer was lost may have been accepted, so nothing more
is ordered until a report shows. Adapters in use are not evicted: the engine refuses
that, and the adapter asked for least lately makes way first, so that the ones in steady
demand stay.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .demand_table import DemandTable
from .engine_orders import (
    AskReport,
    EngineOrder,
    EngineStatus,
    LoadAdapter,
    LoadModel,
    Rest,
    SchedulerStep,
    UnloadAdapter,
    Waiter,
    Wanted,
)
from .load_times import LoadTimes
from .names import AdapterRef, TargetId

REPORT_LAG_S = 0.4
"""How old a report may be. After an order whose fate is open, only a report asked for
this much later shows it."""

MAX_CONCURRENT_LOADS = 4
"""Adapters that may be on their way to one engine at a time; a bound of engines."""

LATE_LOAD_RETRY_S = 0.08
"""Until a request is sent again to an engine whose load took longer than expected."""

LATE_LOAD_WINDOW_S = 0.3
"""An engine that denies an adapter this soon after it was due is still loading it."""

MAX_LATE_LOAD_S = 1.0
"""How long an adapter that the engine denies counts as still loading. Then its load is
in doubt: an engine that started again unnoticed has lost it for good."""

LOADED_GRACE_S = 0.1
"""How long a loaded adapter is kept although no use of it is known yet: those who
waited for it are on their way, and their uses are told as they begin. Without
it, two of three refused attempts met an adapter that was dropped as it came."""

EVICTION_HALF_LIFE = seconds(6)
"""Half-life of the demand by which adapters stay: popularity shifts within seconds, and
by recency alone an adapter asked for once displaced those in steady demand."""

USED_GRACE_S = 0.02
"""The same after an adapter's last known use."""

UNLOAD_RETRY_S = 0.05
"""Until an unload that met a running request is tried again, in seconds."""

REPORT_INTERVAL_S = 10.0
"""How often an engine is asked although nothing is in doubt, in seconds."""

BUSY_REPORT_INTERVAL_S = 0.25
"""Between reports while an engine loads a base model, which takes it seconds."""

DOUBT_REPORT_INTERVAL_S = 0.1
"""Between reports while something is in doubt; about the lag of reports."""


@dataclass(slots=True)
class EngineScheduler:
    """The record of one engine.

    Parameters
    ----------
    orders : int or None
        Orders that the engine has accepted; None while that is in doubt.
    dropping : set
        Adapters that the engine drops as soon as their requests have ended; they take
        places until a report no longer shows them.
    used_at : dict
        When each resident adapter was last known to be used.
    incarnation : int
        The start of the engine that the record is of; a later start has another record.
    """

    target: TargetId
    max_adapters: int
    incarnation: int = 0
    change_number: int = 0
    accepted_orders: int | None = None
    doubt_since: Instant | None = None
    models: set[str] = field(default_factory=set)
    last_used_at: dict[AdapterRef, Instant] = field(default_factory=dict)
    demand: DemandTable = field(default_factory=lambda: DemandTable(EVICTION_HALF_LIFE))
    loading_until: dict[AdapterRef, Instant] = field(default_factory=dict)
    load_requests: dict[AdapterRef, Wanted] = field(default_factory=dict)
    unloading: set[AdapterRef] = field(default_factory=set)
    loaded_at: dict[AdapterRef, Instant] = field(default_factory=dict)
    late_since: dict[AdapterRef, Instant] = field(default_factory=dict)
    unload_refused_at: dict[AdapterRef, Instant] = field(default_factory=dict)
    requested_model: str | None = None
    is_busy: bool = False
    load_times: LoadTimes = field(default_factory=LoadTimes)
    last_ticket: int = 0
    reported_at: Instant = ZERO
    report_requested_at: Instant = ZERO

    # What others are told.

    def open_adapters(self) -> tuple[AdapterRef, ...]:
        """Return the adapters that take new requests."""
        return tuple(a for a in sorted(self.last_used_at) if self.is_open(a))

    def increment_change_number(self) -> None:
        """Note that peers are to be told."""
        self.change_number += 1

    # What comes in.

    def add_waiter(self, adapter: AdapterRef, waiter: Waiter) -> int:
        """Take a request's wish for an adapter; return its ticket."""
        self.last_ticket += 1
        wanted = self.load_requests.setdefault(adapter, Wanted())
        wanted.waiters[self.last_ticket] = waiter
        return self.last_ticket

    def cancel_waiter(self, adapter: AdapterRef, ticket: int) -> None:
        """Forget a request that waits no more."""
        wanted = self.load_requests.get(adapter)
        if wanted is None:
            return
        wanted.waiters.pop(ticket, None)
        if not wanted.waiters:
            del self.load_requests[adapter]

    def expected_wait_s(
        self, adapter: AdapterRef, waiter: Waiter, now: Instant
    ) -> float:
        """Return how long one more request would wait for an adapter, in seconds."""
        coming_s = self.ready_in_s(adapter, now)
        if coming_s is not None:
            return coming_s
        free = self.max_adapters - len(self.last_used_at) - len(self.loading_until)
        requested = self.load_requests.get(adapter)
        other_waiters = tuple(requested.waiters.values()) if requested else ()
        own_value = Wanted(dict(enumerate((*other_waiters, waiter)))).load_value(
            now, self.load_times.expected_load_s(adapter)
        )
        loads_ahead = sum(
            1
            for other, wanted in self.load_requests.items()
            if other != adapter
            and wanted.load_value(now, self.load_times.expected_load_s(other))
            >= own_value
        )
        return (
            self.load_times.expected_load_s(adapter)
            + max(0, loads_ahead + 1 - free) * self.load_times.turnover_s
        )

    def is_ready(self, adapter: AdapterRef) -> bool:
        """Return whether an adapter takes requests, in this version or a later one."""
        return any(
            self.is_open(held) and held.is_at_least(adapter)
            for held in self.last_used_at
        )

    def is_open(self, adapter: AdapterRef) -> bool:
        """Return whether an adapter takes new requests."""
        return adapter not in self.unloading

    def ready_in_s(self, adapter: AdapterRef, now: Instant) -> float | None:
        """Return when an adapter that is coming is expected."""
        at = self.loading_until.get(adapter)
        return None if at is None else max(0.0, (at - now).total_seconds())

    def record_use_start(self, adapter: AdapterRef, now: Instant) -> None:
        """Take that a request begins to use an adapter."""
        self.demand.record_requests(adapter, now)
        self.demand.prune_idle(now)
        self.record_uses({adapter: 1}, now)

    def record_uses(self, in_use: Mapping[AdapterRef, int], now: Instant) -> None:
        """Take which adapters requests use."""
        for adapter, count in in_use.items():
            if count and adapter in self.last_used_at:
                self.last_used_at[adapter] = now

    def apply_report(
        self, status: EngineStatus, asked_at: Instant, now: Instant
    ) -> None:
        """Take a report asked for at `asked_at`.

        A report that counts fewer orders than were accepted is older than the last of
        them and says nothing; nor does one that may be older than an open order.
        """
        if status.incarnation < self.incarnation:
            return
        if self.accepted_orders is not None and status.orders < self.accepted_orders:
            return
        doubt = self.doubt_since
        if doubt is not None and asked_at - doubt < seconds(REPORT_LAG_S):
            return
        self.doubt_since = None
        before = (set(self.last_used_at), set(self.loading_until))
        self.accepted_orders = status.orders
        self.reported_at = now
        self.models = set(status.models)
        self.is_busy = status.is_busy
        self.apply_reported_adapters(status, now)
        if before != (set(self.last_used_at), set(self.loading_until)):
            self.increment_change_number()

    def apply_reported_adapters(self, status: EngineStatus, now: Instant) -> None:
        """Take the adapters that a report shows."""
        for adapter in status.adapters:
            self.last_used_at.setdefault(adapter, now)
            self.record_loaded(adapter, now)
        for adapter in tuple(self.last_used_at):
            if adapter not in status.adapters:
                del self.last_used_at[adapter]
        for adapter in tuple(self.loading_until):
            if adapter not in status.coming:
                del self.loading_until[adapter]
        self.late_since.clear()
        for adapter in status.coming:
            self.loading_until.setdefault(
                adapter, now + seconds(self.load_times.cold_load_s)
            )
        self.unloading &= set(self.last_used_at)

    def record_loaded(self, adapter: AdapterRef, now: Instant) -> None:
        """Note that an adapter is on the engine."""
        if self.loading_until.pop(adapter, None) is not None:
            self.loaded_at[adapter] = now
        self.load_requests.pop(adapter, None)
        self.load_times.record_recent(adapter)

    def complete_due_loads(self, now: Instant) -> None:
        """Let loads arrive whose time has come; a request then finds out."""
        for adapter, at in tuple(self.loading_until.items()):
            if now >= at:
                self.last_used_at[adapter] = now
                self.record_loaded(adapter, now)
                self.increment_change_number()
        for adapter, wanted in tuple(self.load_requests.items()):
            for ticket, waiter in tuple(wanted.waiters.items()):
                if now >= waiter.until:
                    self.cancel_waiter(adapter, ticket)

    def handle_order_accepted(
        self, order: EngineOrder, holds_already: bool, now: Instant
    ) -> None:
        """Take that an order was accepted, or held already."""
        # An engine drops an adapter at once, says that the order holds, and counts it.
        counts = not holds_already or isinstance(order, UnloadAdapter)
        if self.accepted_orders is not None and counts:
            self.accepted_orders += 1
        if isinstance(order, LoadModel):
            self.is_busy = True
            return
        adapter = order.adapter
        if isinstance(order, UnloadAdapter):
            self.unload_refused_at.pop(adapter, None)
            if holds_already:
                self.last_used_at.pop(adapter, None)
                self.loaded_at.pop(adapter, None)
            else:
                self.unloading.add(adapter)
        elif holds_already:
            self.last_used_at[adapter] = now
            self.record_loaded(adapter, now)
        else:
            takes_s = self.load_times.record_load_start(adapter)
            self.late_since.pop(adapter, None)
            self.loading_until[adapter] = now + seconds(takes_s)
            self.load_requests.pop(adapter, None)
            self.load_times.record_place_taken(bool(self.load_requests), now)
        self.increment_change_number()

    def handle_order_refused(self, order: EngineOrder, now: Instant) -> None:
        """Take that an order was refused: in use, or the count of orders differs."""
        if isinstance(order, UnloadAdapter):
            self.unload_refused_at[order.adapter] = now
            self.last_used_at[order.adapter] = now
        else:
            self.mark_in_doubt(now)

    def mark_in_doubt(self, now: Instant) -> None:
        """Take that an order's answer was lost: it may have been accepted."""
        self.accepted_orders = None
        self.doubt_since = now

    def handle_adapter_missing(self, adapter: AdapterRef, now: Instant) -> None:
        """Take that the engine says it does not have an adapter."""
        if adapter not in self.last_used_at:
            return
        del self.last_used_at[adapter]
        self.increment_change_number()
        arrived_at = self.loaded_at.pop(adapter, None)
        late_duration = now - self.late_since.setdefault(adapter, now)
        is_recent = arrived_at is not None and now - arrived_at < seconds(
            LATE_LOAD_WINDOW_S
        )
        if is_recent and late_duration < seconds(MAX_LATE_LOAD_S):
            self.load_times.record_late_load(adapter)
            self.loading_until[adapter] = now + seconds(LATE_LOAD_RETRY_S)
        else:
            self.mark_in_doubt(now)

    def expected_order_count(self, order: EngineOrder) -> int | None:
        """Return the count of orders that the engine must show to accept one.

        A load must not meet an engine that another host has filled meanwhile. Dropping
        an adapter does no harm then, and its refusal is to mean only that it is in use.
        """
        return None if isinstance(order, UnloadAdapter) else self.accepted_orders

    # What comes next.

    def next_step(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> SchedulerStep:
        """Return the next order, a report to ask for, or how long to rest."""
        self.complete_due_loads(now)
        self.record_uses(in_use, now)
        if self.accepted_orders is None:
            return self.request_report_or_rest(DOUBT_REPORT_INTERVAL_S, now)
        if self.is_busy or self.unloading:
            return self.request_report_or_rest(BUSY_REPORT_INTERVAL_S, now)
        if self.requested_model is not None and self.requested_model not in self.models:
            return LoadModel(self.requested_model)
        step = self.next_adapter_order(in_use, now)
        if step is not None:
            return step
        if (now - self.reported_at).total_seconds() >= REPORT_INTERVAL_S:
            return self.request_report_or_rest(DOUBT_REPORT_INTERVAL_S, now)
        return Rest(self.rest_s(now))

    def request_report_or_rest(self, period_s: float, now: Instant) -> SchedulerStep:
        """Ask for a report, not more often than a period."""
        since = (now - self.report_requested_at).total_seconds()
        if since >= period_s:
            self.report_requested_at = now
            return AskReport()
        return Rest(period_s - since)

    def next_adapter_order(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> EngineOrder | None:
        """Return the order that serves the adapter with the most waiting for it."""
        ranked = sorted(
            self.load_requests.items(),
            key=lambda item: (
                -item[1].load_value(now, self.load_times.expected_load_s(item[0])),
                item[1].earliest_since(),
                item[0],
            ),
        )
        for adapter, _ in ranked:
            if self.is_ready(adapter):
                del self.load_requests[adapter]
                continue
            if adapter.name.partition("/")[0] not in self.models:
                continue
            old = self.older_version(adapter)
            if old is not None:
                return self.unload_order(old, now)
            if len(self.loading_until) >= MAX_CONCURRENT_LOADS:
                return None
            if len(self.last_used_at) + len(self.loading_until) < self.max_adapters:
                return LoadAdapter(adapter)
            return self.eviction_order(in_use, now)
        return None

    def older_version(self, adapter: AdapterRef) -> AdapterRef | None:
        """Return an older version of an adapter, which takes its place."""
        for held in self.last_used_at:
            if held.name == adapter.name and not held.is_at_least(adapter):
                return held
        return None

    def unload_order(self, adapter: AdapterRef, now: Instant) -> EngineOrder | None:
        """Return the order to drop an adapter, unless it was just refused."""
        refused_at = self.unload_refused_at.get(adapter)
        if refused_at is not None and now - refused_at < seconds(UNLOAD_RETRY_S):
            return None
        return UnloadAdapter(adapter)

    def is_surely_idle(self, adapter: AdapterRef, now: Instant) -> bool:
        """Return whether no use of an adapter can be under way unknown."""
        arrived_at = self.loaded_at.get(adapter)
        if arrived_at is not None and now - arrived_at < seconds(LOADED_GRACE_S):
            return False
        return now - self.last_used_at[adapter] >= seconds(USED_GRACE_S)

    def eviction_order(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> EngineOrder | None:
        """Return the order that frees a place, if an adapter can go.

        What is in use stays open to new requests until it falls idle by itself: closed
        to them, it stood half empty, and they had it loaded elsewhere.
        """
        idle = [
            a
            for a in self.last_used_at
            if a not in self.load_requests
            and a not in self.unloading
            and not in_use.get(a)
            and self.is_surely_idle(a, now)
        ]
        for adapter in sorted(idle, key=lambda a: self.eviction_rank(a, now)):
            order = self.unload_order(adapter, now)
            if order is not None:
                return order
        self.load_times.record_waiting_load(now)
        return None

    def eviction_rank(
        self, adapter: AdapterRef, now: Instant
    ) -> tuple[float, Instant, AdapterRef]:
        """Return what adapters are ranked by; the least makes way first."""
        return (
            self.demand.decayed_count(adapter, now),
            self.last_used_at[adapter],
            adapter,
        )

    def rest_s(self, now: Instant) -> float:
        """Return how long nothing can change by itself."""
        if self.load_requests:
            return UNLOAD_RETRY_S
        due = [
            max(0.005, (at - now).total_seconds()) for at in self.loading_until.values()
        ]
        return min([1.0, *due])
