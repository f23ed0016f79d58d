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
    EngineStatus,
    LoadAdapter,
    LoadModel,
    Order,
    Rest,
    Step,
    UnloadAdapter,
    Waiter,
    Wanted,
)
from .load_times import LoadTimes
from .names import AdapterRef, TargetId

REPORT_LAG_S = 0.4
"""How old a report may be. After an order whose fate is open, only a report asked for
this much later shows it."""

MAX_COMING = 4
"""Adapters that may be on their way to one engine at a time; a bound of engines."""

STILL_COMING_S = 0.08
"""Until a request is sent again to an engine whose load took longer than expected."""

LATE_LOAD_S = 0.3
"""An engine that denies an adapter this soon after it was due is still loading it."""

LONGEST_LATE_S = 1.0
"""How long an adapter that the engine denies counts as still loading. Then its load is
in doubt: an engine that started again unnoticed has lost it for good."""

JUST_LOADED_S = 0.1
"""How long a loaded adapter is kept although no use of it is known yet: those who
waited for it are on their way, and their uses are told as they begin. Without
it, two of three refused attempts met an adapter that was dropped as it came."""

EVICTION_HALF_LIFE = seconds(6)
"""Half-life of the demand by which adapters stay: popularity shifts within seconds, and
by recency alone an adapter asked for once displaced those in steady demand."""

JUST_USED_S = 0.02
"""The same after an adapter's last known use."""

RETRY_UNLOAD_S = 0.05
"""Until an unload that met a running request is tried again, in seconds."""

REPORT_EVERY_S = 10.0
"""How often an engine is asked although nothing is in doubt, in seconds."""

BUSY_REPORT_S = 0.25
"""Between reports while an engine loads a base model, which takes it seconds."""

REPORT_RETRY_S = 0.1
"""Between reports while something is in doubt; about the lag of reports."""


@dataclass(slots=True)
class EngineBook:
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
    places: int
    incarnation: int = 0
    number: int = 0
    orders: int | None = None
    doubt_since: Instant | None = None
    models: set[str] = field(default_factory=set)
    used_at: dict[AdapterRef, Instant] = field(default_factory=dict)
    demand: DemandTable = field(default_factory=lambda: DemandTable(EVICTION_HALF_LIFE))
    coming: dict[AdapterRef, Instant] = field(default_factory=dict)
    wanted: dict[AdapterRef, Wanted] = field(default_factory=dict)
    dropping: set[AdapterRef] = field(default_factory=set)
    arrived_at: dict[AdapterRef, Instant] = field(default_factory=dict)
    late_since: dict[AdapterRef, Instant] = field(default_factory=dict)
    refused_unload: dict[AdapterRef, Instant] = field(default_factory=dict)
    model_wanted: str | None = None
    is_busy: bool = False
    times: LoadTimes = field(default_factory=LoadTimes)
    tickets: int = 0
    reported_at: Instant = ZERO
    asked_at: Instant = ZERO

    # What others are told.

    def residents(self) -> tuple[AdapterRef, ...]:
        """Return the adapters that take new requests."""
        return tuple(a for a in sorted(self.used_at) if self.is_open(a))

    def changed(self) -> None:
        """Note that peers are to be told."""
        self.number += 1

    # What comes in.

    def want(self, adapter: AdapterRef, waiter: Waiter) -> int:
        """Take a request's wish for an adapter; return its ticket."""
        self.tickets += 1
        wanted = self.wanted.setdefault(adapter, Wanted())
        wanted.waiters[self.tickets] = waiter
        return self.tickets

    def cancel(self, adapter: AdapterRef, ticket: int) -> None:
        """Forget a request that waits no more."""
        wanted = self.wanted.get(adapter)
        if wanted is None:
            return
        wanted.waiters.pop(ticket, None)
        if not wanted.waiters:
            del self.wanted[adapter]

    def expected_wait_s(
        self, adapter: AdapterRef, waiter: Waiter, now: Instant
    ) -> float:
        """Return how long one more request would wait for an adapter, in seconds."""
        coming_s = self.ready_in_s(adapter, now)
        if coming_s is not None:
            return coming_s
        free = self.places - len(self.used_at) - len(self.coming)
        known = self.wanted.get(adapter)
        others = tuple(known.waiters.values()) if known else ()
        mine = Wanted(dict(enumerate((*others, waiter)))).score(
            now, self.times.expected_load_s(adapter)
        )
        ahead = sum(
            1
            for other, wanted in self.wanted.items()
            if other != adapter and wanted.score(now, self.times.expected_load_s(other)) >= mine
        )
        return (
            self.times.expected_load_s(adapter)
            + max(0, ahead + 1 - free) * self.times.turnover_s
        )

    def is_ready(self, adapter: AdapterRef) -> bool:
        """Return whether an adapter takes requests, in this version or a later one."""
        return any(
            self.is_open(held) and held.is_at_least(adapter) for held in self.used_at
        )

    def is_open(self, adapter: AdapterRef) -> bool:
        """Return whether an adapter takes new requests."""
        return adapter not in self.dropping

    def ready_in_s(self, adapter: AdapterRef, now: Instant) -> float | None:
        """Return when an adapter that is coming is expected."""
        at = self.coming.get(adapter)
        return None if at is None else max(0.0, (at - now).total_seconds())

    def begin_use(self, adapter: AdapterRef, now: Instant) -> None:
        """Take that a request begins to use an adapter."""
        self.demand.record_requests(adapter, now)
        self.demand.prune_idle(now)
        self.use({adapter: 1}, now)

    def use(self, in_use: Mapping[AdapterRef, int], now: Instant) -> None:
        """Take which adapters requests use."""
        for adapter, count in in_use.items():
            if count and adapter in self.used_at:
                self.used_at[adapter] = now

    def take_report(
        self, status: EngineStatus, asked_at: Instant, now: Instant
    ) -> None:
        """Take a report asked for at `asked_at`.

        A report that counts fewer orders than were accepted is older than the last of
        them and says nothing; nor does one that may be older than an open order.
        """
        if status.incarnation < self.incarnation:
            return
        if self.orders is not None and status.orders < self.orders:
            return
        doubt = self.doubt_since
        if doubt is not None and asked_at - doubt < seconds(REPORT_LAG_S):
            return
        self.doubt_since = None
        before = (set(self.used_at), set(self.coming))
        self.orders = status.orders
        self.reported_at = now
        self.models = set(status.models)
        self.is_busy = status.is_busy
        self.enter_adapters(status, now)
        if before != (set(self.used_at), set(self.coming)):
            self.changed()

    def enter_adapters(self, status: EngineStatus, now: Instant) -> None:
        """Take the adapters that a report shows."""
        for adapter in status.adapters:
            self.used_at.setdefault(adapter, now)
            self.arrived(adapter, now)
        for adapter in tuple(self.used_at):
            if adapter not in status.adapters:
                del self.used_at[adapter]
        for adapter in tuple(self.coming):
            if adapter not in status.coming:
                del self.coming[adapter]
        self.late_since.clear()
        for adapter in status.coming:
            self.coming.setdefault(adapter, now + seconds(self.times.cold_load_s))
        self.dropping &= set(self.used_at)

    def arrived(self, adapter: AdapterRef, now: Instant) -> None:
        """Note that an adapter is on the engine."""
        if self.coming.pop(adapter, None) is not None:
            self.arrived_at[adapter] = now
        self.wanted.pop(adapter, None)
        self.times.record_recent(adapter)

    def settle(self, now: Instant) -> None:
        """Let loads arrive whose time has come; a request then finds out."""
        for adapter, at in tuple(self.coming.items()):
            if now >= at:
                self.used_at[adapter] = now
                self.arrived(adapter, now)
                self.changed()
        for adapter, wanted in tuple(self.wanted.items()):
            for ticket, waiter in tuple(wanted.waiters.items()):
                if now >= waiter.until:
                    self.cancel(adapter, ticket)

    def accepted(self, order: Order, holds_already: bool, now: Instant) -> None:
        """Take that an order was accepted, or held already."""
        # An engine drops an adapter at once, says that the order holds, and counts it.
        counts = not holds_already or isinstance(order, UnloadAdapter)
        if self.orders is not None and counts:
            self.orders += 1
        if isinstance(order, LoadModel):
            self.is_busy = True
            return
        adapter = order.adapter
        if isinstance(order, UnloadAdapter):
            self.refused_unload.pop(adapter, None)
            if holds_already:
                self.used_at.pop(adapter, None)
                self.arrived_at.pop(adapter, None)
            else:
                self.dropping.add(adapter)
        elif holds_already:
            self.used_at[adapter] = now
            self.arrived(adapter, now)
        else:
            takes_s = self.times.record_load_start(adapter)
            self.late_since.pop(adapter, None)
            self.coming[adapter] = now + seconds(takes_s)
            self.wanted.pop(adapter, None)
            self.times.record_place_taken(bool(self.wanted), now)
        self.changed()

    def refused(self, order: Order, now: Instant) -> None:
        """Take that an order was refused: in use, or the count of orders differs."""
        if isinstance(order, UnloadAdapter):
            self.refused_unload[order.adapter] = now
            self.used_at[order.adapter] = now
        else:
            self.in_doubt(now)

    def in_doubt(self, now: Instant) -> None:
        """Take that an order's answer was lost: it may have been accepted."""
        self.orders = None
        self.doubt_since = now

    def missing(self, adapter: AdapterRef, now: Instant) -> None:
        """Take that the engine says it does not have an adapter."""
        if adapter not in self.used_at:
            return
        del self.used_at[adapter]
        self.changed()
        arrived_at = self.arrived_at.pop(adapter, None)
        late_for = now - self.late_since.setdefault(adapter, now)
        is_recent = arrived_at is not None and now - arrived_at < seconds(LATE_LOAD_S)
        if is_recent and late_for < seconds(LONGEST_LATE_S):
            self.times.record_late_load(adapter)
            self.coming[adapter] = now + seconds(STILL_COMING_S)
        else:
            self.in_doubt(now)

    def expected_orders(self, order: Order) -> int | None:
        """Return the count of orders that the engine must show to accept one.

        A load must not meet an engine that another host has filled meanwhile. Dropping
        an adapter does no harm then, and its refusal is to mean only that it is in use.
        """
        return None if isinstance(order, UnloadAdapter) else self.orders

    # What comes next.

    def next_step(self, in_use: Mapping[AdapterRef, int], now: Instant) -> Step:
        """Return the next order, a report to ask for, or how long to rest."""
        self.settle(now)
        self.use(in_use, now)
        if self.orders is None:
            return self.ask_or_rest(REPORT_RETRY_S, now)
        if self.is_busy or self.dropping:
            return self.ask_or_rest(BUSY_REPORT_S, now)
        if self.model_wanted is not None and self.model_wanted not in self.models:
            return LoadModel(self.model_wanted)
        step = self.next_adapter(in_use, now)
        if step is not None:
            return step
        if (now - self.reported_at).total_seconds() >= REPORT_EVERY_S:
            return self.ask_or_rest(REPORT_RETRY_S, now)
        return Rest(self.rest_s(now))

    def ask_or_rest(self, period_s: float, now: Instant) -> Step:
        """Ask for a report, not more often than a period."""
        since = (now - self.asked_at).total_seconds()
        if since >= period_s:
            self.asked_at = now
            return AskReport()
        return Rest(period_s - since)

    def next_adapter(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> Order | None:
        """Return the order that serves the adapter with the most waiting for it."""
        ranked = sorted(
            self.wanted.items(),
            key=lambda item: (
                -item[1].score(now, self.times.expected_load_s(item[0])),
                item[1].since(),
                item[0],
            ),
        )
        for adapter, _ in ranked:
            if self.is_ready(adapter):
                del self.wanted[adapter]
                continue
            if adapter.name.partition("/")[0] not in self.models:
                continue
            old = self.older_version(adapter)
            if old is not None:
                return self.unload(old, now)
            if len(self.coming) >= MAX_COMING:
                return None
            if len(self.used_at) + len(self.coming) < self.places:
                return LoadAdapter(adapter)
            return self.make_way(in_use, now)
        return None

    def older_version(self, adapter: AdapterRef) -> AdapterRef | None:
        """Return an older version of an adapter, which takes its place."""
        for held in self.used_at:
            if held.name == adapter.name and not held.is_at_least(adapter):
                return held
        return None

    def unload(self, adapter: AdapterRef, now: Instant) -> Order | None:
        """Return the order to drop an adapter, unless it was just refused."""
        refused_at = self.refused_unload.get(adapter)
        if refused_at is not None and now - refused_at < seconds(RETRY_UNLOAD_S):
            return None
        return UnloadAdapter(adapter)

    def is_quiet(self, adapter: AdapterRef, now: Instant) -> bool:
        """Return whether no use of an adapter can be under way unknown."""
        arrived_at = self.arrived_at.get(adapter)
        if arrived_at is not None and now - arrived_at < seconds(JUST_LOADED_S):
            return False
        return now - self.used_at[adapter] >= seconds(JUST_USED_S)

    def make_way(self, in_use: Mapping[AdapterRef, int], now: Instant) -> Order | None:
        """Return the order that frees a place, if an adapter can go.

        What is in use stays open to new requests until it falls idle by itself: closed
        to them, it stood half empty, and they had it loaded elsewhere.
        """
        idle = [
            a
            for a in self.used_at
            if a not in self.wanted
            and a not in self.dropping
            and not in_use.get(a)
            and self.is_quiet(a, now)
        ]
        for adapter in sorted(idle, key=lambda a: self.staying_rank(a, now)):
            order = self.unload(adapter, now)
            if order is not None:
                return order
        self.times.record_waiting_load(now)
        return None

    def staying_rank(
        self, adapter: AdapterRef, now: Instant
    ) -> tuple[float, Instant, AdapterRef]:
        """Return what adapters are ranked by; the least makes way first."""
        return self.demand.decayed_count(adapter, now), self.used_at[adapter], adapter

    def rest_s(self, now: Instant) -> float:
        """Return how long nothing can change by itself."""
        if self.wanted:
            return RETRY_UNLOAD_S
        due = [max(0.005, (at - now).total_seconds()) for at in self.coming.values()]
        return min([1.0, *due])
