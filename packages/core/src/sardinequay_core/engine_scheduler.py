"""Scheduling of load and unload orders for one engine, from its reports and orders.

The scheduler counts slots from the engine's report and from orders that the report
cannot show yet. An order whose answer was lost may have been accepted, so no further
order is sent until a report shows the result. Adapters in use are not evicted, because
the engine refuses that. Idle adapters are evicted in ascending order of recent demand,
so that adapters in steady demand stay loaded.
"""

from collections.abc import Mapping
from dataclasses import dataclass

from .clock import Instant, seconds
from .engine_orders import (
    AskReport,
    EngineOrder,
    LoadAdapter,
    LoadModel,
    Rest,
    SchedulerStep,
    UnloadAdapter,
)
from .engine_state import REPORT_INTERVAL_S, EngineState, slot_claim
from .names import AdapterRef

MAX_CONCURRENT_LOADS = 4
"""Maximum number of adapters loading on one engine; engines impose this limit."""

LOADED_GRACE_S = 0.1
"""Time for which a loaded adapter is kept without any known use, in seconds.

The requests that waited for it are on their way, and their uses are reported only when
they start. Without this delay, two of three refused attempts were for adapters that had
been evicted immediately after they were loaded.
"""

USED_GRACE_S = 0.02
"""Time for which an adapter is kept after its last known use, in seconds."""

UNLOAD_RETRY_S = 0.05
"""Delay before an unload that was refused because of a use is retried, in seconds."""

MIN_REST_S = 0.005
"""Least time until the scheduler decides again, in seconds."""

BUSY_REPORT_INTERVAL_S = 0.25
"""Interval between reports while a model loads or adapters unload, in seconds.

Loading a base model takes an engine seconds.
"""

DUE_REPORT_INTERVAL_S = 0.5
"""Minimum interval between reports that are requested because one is due, in seconds.

Each late load makes a report due, and each report is a call to the engine.
"""

DOUBT_REPORT_INTERVAL_S = 0.1
"""Interval between reports while a result is in doubt, in seconds.

It is about the delay of reports.
"""


@dataclass(slots=True)
class EngineScheduler(EngineState):
    """The choice of an engine's next order, by its known state."""

    def next_step(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> SchedulerStep:
        """Return the next order, a report request, or how long to wait."""
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
        if self.is_report_due(now):
            self.due_report_requested_at = now
            return self.request_report_or_rest(DOUBT_REPORT_INTERVAL_S, now)
        return Rest(self.rest_s(in_use, now))

    def is_report_due(self, now: Instant) -> bool:
        """Return whether the last report is too old and none was just requested."""
        return (
            now - self.reported_at >= seconds(REPORT_INTERVAL_S)
            and now - self.report_requested_at >= seconds(DOUBT_REPORT_INTERVAL_S)
            and now - self.due_report_requested_at >= seconds(DUE_REPORT_INTERVAL_S)
        )

    def request_report_or_rest(self, period_s: float, now: Instant) -> SchedulerStep:
        """Request a report if the last request is `period_s` ago; wait otherwise."""
        elapsed_s = (now - self.report_requested_at).total_seconds()
        if elapsed_s >= period_s:
            self.report_requested_at = now
            return AskReport()
        return Rest(period_s - elapsed_s)

    def next_adapter_order(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> EngineOrder | None:
        """Return the next order for the most valuable load request that can proceed."""
        values = self.load_values(now)
        ranked = sorted(
            self.load_requests,
            key=lambda adapter: (
                -values[adapter],
                self.load_requests[adapter].earliest_since(),
                adapter,
            ),
        )
        for adapter in ranked:
            if self.is_ready(adapter):
                del self.load_requests[adapter]
                continue
            if adapter.name.partition("/")[0] not in self.models:
                continue
            if not self.may_take_slot(adapter, in_use, now):
                continue
            if self.is_version_loading(adapter):
                continue
            newest = self.newest_wanted(adapter)
            older = self.older_version(newest)
            if older is not None:
                return self.unload_order(older, now)
            if len(self.loading_until) >= MAX_CONCURRENT_LOADS:
                return None
            if len(self.last_used_at) + len(self.loading_until) < self.max_adapters:
                return LoadAdapter(newest)
            order = self.eviction_order(in_use, now)
            if order is None:
                claim = slot_claim(self.load_requests[adapter])
                self.reserve.record_shortage(claim, now)
            return order
        return None

    def may_take_slot(
        self, adapter: AdapterRef, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> bool:
        """Return whether a load leaves enough slots to more urgent ones."""
        return self.reserve.may_load(
            slot_claim(self.load_requests[adapter]),
            self.taken_claims(in_use),
            self.max_adapters,
            now,
        )

    def is_version_loading(self, adapter: AdapterRef) -> bool:
        """Return whether any version of an adapter loads.

        A second load of the adapter would be counted with a slot of its own, which the
        engine does not use.
        """
        return any(loading.name == adapter.name for loading in self.loading_until)

    def newest_wanted(self, adapter: AdapterRef) -> AdapterRef:
        """Return the newest version of an adapter that is wanted, at least this one."""
        later = [a for a in self.load_requests if a.is_at_least(adapter)]
        return max(later, key=lambda a: a.version_number or 0, default=adapter)

    def older_version(self, adapter: AdapterRef) -> AdapterRef | None:
        """Return a resident older version of an adapter, whose slot it needs."""
        for resident in self.last_used_at:
            if resident.name == adapter.name and not resident.is_at_least(adapter):
                return resident
        return None

    def unload_order(self, adapter: AdapterRef, now: Instant) -> EngineOrder | None:
        """Return the order to unload an adapter, unless it was just refused."""
        refused_at = self.unload_refused_at.get(adapter)
        if refused_at is not None and now - refused_at < seconds(UNLOAD_RETRY_S):
            return None
        return UnloadAdapter(adapter)

    def surely_idle_at(self, adapter: AdapterRef) -> Instant:
        """Return when an adapter that is not used counts as idle.

        It must be idle long enough that no use is unreported.
        """
        idle_at = self.last_used_at[adapter] + seconds(USED_GRACE_S)
        arrived_at = self.loaded_at.get(adapter)
        if arrived_at is None:
            return idle_at
        return max(idle_at, arrived_at + seconds(LOADED_GRACE_S))

    def next_eviction_s(self, in_use: Mapping[AdapterRef, int], now: Instant) -> float:
        """Return the time until an adapter may be evicted, in seconds.

        A longer rest would leave an idle adapter in its slot.
        """
        idle_in_s = [
            (self.surely_idle_at(adapter) - now).total_seconds()
            for adapter in self.last_used_at
            if not in_use.get(adapter) and adapter not in self.load_requests
        ]
        soonest_s = min((s for s in idle_in_s if s > 0), default=UNLOAD_RETRY_S)
        return min(UNLOAD_RETRY_S, max(MIN_REST_S, soonest_s))

    def eviction_order(
        self, in_use: Mapping[AdapterRef, int], now: Instant
    ) -> EngineOrder | None:
        """Return the order that frees a slot, if an adapter can be evicted.

        An adapter in use accepts new requests until it becomes idle. When it was closed
        to them, its batch ran half empty, and the requests caused a load elsewhere.
        """
        idle = [
            a
            for a in self.last_used_at
            if a not in self.load_requests
            and a not in self.unloading
            and not in_use.get(a)
            and now >= self.surely_idle_at(a)
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
        """Return the sort key for evictions; the lowest is evicted first."""
        return (
            self.demand.decayed_count(adapter, now),
            self.last_used_at[adapter],
            adapter,
        )

    def rest_s(self, in_use: Mapping[AdapterRef, int], now: Instant) -> float:
        """Return the time until the scheduler must decide again, in seconds."""
        if self.load_requests:
            return self.next_eviction_s(in_use, now)
        due_in_s = [
            max(MIN_REST_S, (due_at - now).total_seconds())
            for due_at in self.loading_until.values()
        ]
        return min([1.0, *due_in_s])
