"""Known state of one engine, from its reports, the orders to it and their answers.

Slots are counted from the engine's report and from orders that the report cannot show
yet. An order whose answer was lost may have been accepted, so it is in doubt until a
report shows the result.
"""

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ..clock import ZERO, Instant, seconds
from ..demand_table import DemandTable
from ..engine_orders import (
    EngineOrder,
    EngineStatus,
    LoadModel,
    UnloadAdapter,
    Waiter,
    Wanted,
)
from ..load_times import WARM_LOAD_S, LoadTimes
from ..names import AdapterRef, TargetId
from ..room import (
    LoadClaim,
    SlotClaim,
    SlotReserve,
    expected_loads_ahead,
    slot_wait_s,
    summarise,
)

REPORT_LAG_S = 0.4
"""Maximum age of the state in a report, in seconds.

After an order with unknown result, only a report requested at least this much later
shows the result.
"""

LATE_LOAD_RETRY_S = 0.08
"""Delay before requests are sent again after a load was late, in seconds."""

LATE_LOAD_WINDOW_S = 0.3
"""Time after a load was due for which a missing adapter counts as loading.

In seconds; the engine is probably still loading the adapter.
"""

MAX_LATE_LOAD_S = 1.0
"""Maximum time for which a missing adapter counts as loading, in seconds.

After that the result of the load is in doubt: an engine that restarted unnoticed has
lost the adapter.
"""

EVICTION_HALF_LIFE = seconds(6)
"""Half-life of the demand that ranks adapters for eviction.

Popularity shifts within seconds. Ranked by recency alone, an adapter requested once
would displace adapters in steady demand.
"""

REPORT_INTERVAL_S = 10.0
"""Interval between reports while nothing is in doubt, in seconds."""


@dataclass(slots=True)
class EngineState:
    """The known state of one engine, and what waits for it.

    Parameters
    ----------
    max_adapters : int
        Number of adapter slots of the engine.
    incarnation : int
        The incarnation of the engine; a restarted engine gets a new state.
    change_number : int
        Incremented whenever peers must be informed of a change.
    accepted_orders : int or None
        Number of orders that the engine has accepted; None while that is in doubt.
    last_used_at : dict
        When each resident adapter was last known to be used.
    loading_until : dict
        When the load of each loading adapter is expected to complete.
    unloading : set
        Adapters that the engine evicts as soon as their requests have ended. They
        occupy slots until a report no longer shows them.
    reserve : SlotReserve
        Slots that loads which can wait leave to more urgent ones.
    loaded_for : dict
        What the most urgent request had for which each adapter was loaded.
    reported_at : timedelta
        When the last report was applied; set back where a report is due at once.
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
    reserve: SlotReserve = field(default_factory=SlotReserve)
    loaded_for: dict[AdapterRef, SlotClaim] = field(default_factory=dict)
    last_ticket: int = 0
    reported_at: Instant = ZERO
    report_requested_at: Instant = ZERO
    due_report_requested_at: Instant = ZERO

    def open_adapters(self) -> tuple[AdapterRef, ...]:
        """Return the resident adapters that accept new requests."""
        return tuple(a for a in sorted(self.last_used_at) if self.is_open(a))

    def increment_change_number(self) -> None:
        """Mark the state as changed, so that peers are informed."""
        self.change_number += 1

    def add_waiter(self, adapter: AdapterRef, waiter: Waiter) -> int:
        """Add a request that waits for an adapter; return its ticket."""
        self.last_ticket += 1
        request = self.load_requests.setdefault(adapter, Wanted())
        request.waiters[self.last_ticket] = waiter
        return self.last_ticket

    def cancel_waiter(self, adapter: AdapterRef, ticket: int) -> None:
        """Remove a request that no longer waits."""
        request = self.load_requests.get(adapter)
        if request is None:
            return
        request.waiters.pop(ticket, None)
        if not request.waiters:
            del self.load_requests[adapter]

    def expected_wait_s(
        self,
        adapter: AdapterRef,
        waiter: Waiter,
        in_use: Mapping[AdapterRef, int],
        now: Instant,
    ) -> float:
        """Return the expected wait of one more request for an adapter, in seconds."""
        ready_in_s = self.ready_in_s(adapter, now)
        if ready_in_s is not None:
            return ready_in_s
        free = self.free_slots(self.claim_with(adapter, waiter), in_use, now)
        values = self.load_values(now)
        load_s = self.load_times.expected_load_s(adapter)
        loads_ahead = expected_loads_ahead(
            summarise(value for other, value in values.items() if other != adapter),
            LoadClaim(waiter.worth, (waiter.goal_at - now).total_seconds()),
            load_s,
            self.load_times.turnover_s,
            values.get(adapter, 0.0),
            free,
        )
        return load_s + slot_wait_s(loads_ahead, free, self.load_times.turnover_s)

    def free_slots(
        self, claim: SlotClaim, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> int:
        """Return the slots without an adapter that loads of a claim may take."""
        free = self.max_adapters - len(self.last_used_at) - len(self.loading_until)
        taken = self.taken_claims(in_use)
        return min(free, self.reserve.open_slots(claim, taken, self.max_adapters, now))

    def taken_claims(self, in_use: Mapping[AdapterRef, int]) -> Iterator[SlotClaim]:
        """Return the claims of the adapters that are in use or loading."""
        return (
            claim
            for adapter, claim in self.loaded_for.items()
            if adapter in self.loading_until
            or (adapter in self.last_used_at and in_use.get(adapter))
        )

    def claim_with(self, adapter: AdapterRef, waiter: Waiter) -> SlotClaim:
        """Return the claim of an adapter's load if one more request waits for it."""
        request = self.load_requests.get(adapter)
        others = request.waiters if request is not None else {}
        # A ticket that is not in use, so that no waiter is replaced.
        return slot_claim(Wanted({**others, self.last_ticket + 1: waiter}))

    def load_values(self, now: Instant) -> dict[AdapterRef, float]:
        """Return the value of the load of each adapter that requests wait for."""
        recent = self.load_times.recent
        cold_at = now + seconds(self.load_times.cold_load_s)
        warm_at = now + seconds(WARM_LOAD_S)
        return {
            adapter: request.value_if_ready(warm_at if adapter in recent else cold_at)
            for adapter, request in self.load_requests.items()
        }

    def is_ready(self, adapter: AdapterRef) -> bool:
        """Return whether this or a later version of an adapter accepts requests."""
        return any(
            self.is_open(resident) and resident.is_at_least(adapter)
            for resident in self.last_used_at
        )

    def is_open(self, adapter: AdapterRef) -> bool:
        """Return whether an adapter is not being unloaded, so accepts new requests."""
        return adapter not in self.unloading

    def ready_in_s(self, adapter: AdapterRef, now: Instant) -> float | None:
        """Return the expected time until an adapter is ready; None if not loading.

        A later version that loads serves requests for it, too.
        """
        due_at = [
            at
            for loading, at in self.loading_until.items()
            if loading.is_at_least(adapter)
        ]
        if not due_at:
            return None
        return max(0.0, (min(due_at) - now).total_seconds())

    def record_use_start(self, adapter: AdapterRef, now: Instant) -> None:
        """Record that a request starts to use an adapter."""
        self.demand.record_requests(adapter, now)
        self.demand.prune_idle(now)
        self.record_uses({adapter: 1}, now)

    def record_uses(self, in_use: Mapping[AdapterRef, int], now: Instant) -> None:
        """Record which adapters running requests use."""
        for adapter, count in in_use.items():
            if count and adapter in self.last_used_at:
                self.last_used_at[adapter] = now

    def apply_report(
        self, status: EngineStatus, asked_at: Instant, now: Instant
    ) -> None:
        """Apply a report that was requested at `asked_at`.

        A report that counts fewer orders than the engine has accepted is older than the
        last order and is ignored. So is one that may be older than an order in doubt.
        """
        if status.incarnation < self.incarnation:
            return
        if self.accepted_orders is not None and status.orders < self.accepted_orders:
            return
        doubt_since = self.doubt_since
        if doubt_since is not None and asked_at - doubt_since < seconds(REPORT_LAG_S):
            return
        self.doubt_since = None
        previous = (set(self.last_used_at), set(self.loading_until))
        self.accepted_orders = status.orders
        self.reported_at = now
        self.models = set(status.models)
        self.is_busy = status.is_busy
        self.apply_reported_adapters(status, now)
        if previous != (set(self.last_used_at), set(self.loading_until)):
            self.increment_change_number()

    def apply_reported_adapters(self, status: EngineStatus, now: Instant) -> None:
        """Set the resident and loading adapters from a report."""
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
        """Record that an adapter is resident on the engine."""
        if self.loading_until.pop(adapter, None) is not None:
            self.loaded_at[adapter] = now
        self.load_requests.pop(adapter, None)
        self.load_times.record_recent(adapter)

    def complete_due_loads(self, now: Instant) -> None:
        """Treat loads that are due as completed, and remove waiters past their limit.

        If the load is late, the next request for the adapter detects that.
        """
        for adapter, due_at in tuple(self.loading_until.items()):
            if now >= due_at:
                self.last_used_at[adapter] = now
                self.record_loaded(adapter, now)
                self.increment_change_number()
        for adapter, request in tuple(self.load_requests.items()):
            for ticket, waiter in tuple(request.waiters.items()):
                if now >= waiter.until:
                    self.cancel_waiter(adapter, ticket)

    def handle_order_accepted(
        self, order: EngineOrder, holds_already: bool, now: Instant
    ) -> None:
        """Record that the engine accepted an order or had fulfilled it already."""
        # An engine evicts an idle adapter at once and answers that the unload was
        # fulfilled already, but it counts the order.
        is_counted = not holds_already or isinstance(order, UnloadAdapter)
        if self.accepted_orders is not None and is_counted:
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
            load_s = self.load_times.record_load_start(adapter)
            self.late_since.pop(adapter, None)
            self.loading_until[adapter] = now + seconds(load_s)
            self.record_loaded_for(adapter)
            self.load_requests.pop(adapter, None)
            self.load_times.record_place_taken(bool(self.load_requests), now)
        self.increment_change_number()

    def record_loaded_for(self, adapter: AdapterRef) -> None:
        """Record the worth of the most urgent request that an adapter is loaded for."""
        held = self.last_used_at.keys() | self.loading_until.keys()
        self.loaded_for = {a: c for a, c in self.loaded_for.items() if a in held}
        request = self.load_requests.get(adapter)
        if request is not None and request.waiters:
            self.loaded_for[adapter] = slot_claim(request)

    def handle_order_refused(self, order: EngineOrder, now: Instant) -> None:
        """Handle a refusal: the adapter is in use, or the order count differs."""
        if isinstance(order, UnloadAdapter):
            self.unload_refused_at[order.adapter] = now
            self.last_used_at[order.adapter] = now
        else:
            self.mark_in_doubt(now)

    def mark_in_doubt(self, now: Instant) -> None:
        """Record that the engine's order count is unknown until the next valid report.

        After a lost answer, for example, the order may have been accepted.
        """
        self.accepted_orders = None
        self.doubt_since = now

    def handle_adapter_missing(self, adapter: AdapterRef, now: Instant) -> None:
        """Handle the engine's answer that an adapter is not loaded."""
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
            # A report is due: the engine may hold a newer version than was ordered.
            self.reported_at = now - seconds(REPORT_INTERVAL_S)
        else:
            self.mark_in_doubt(now)

    def expected_order_count(self, order: EngineOrder) -> int | None:
        """Return the order count that the engine must have to accept an order, or None.

        A load must be refused if another host has loaded adapters on the engine in the
        meantime. An unload is harmless then, and its refusal should mean only that the
        adapter is in use, so it requires no count.
        """
        return None if isinstance(order, UnloadAdapter) else self.accepted_orders


def slot_claim(request: Wanted) -> SlotClaim:
    """Return what the most urgent request has that waits for an adapter."""
    waiter = request.most_urgent()
    return SlotClaim(waiter.worth, waiter.until - waiter.since)
