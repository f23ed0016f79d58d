"""The keeper of one pool in one data centre: loads, evictions and use leases.

One entry host, the keeper, controls all engines of a pool in its data centre. Only the
keeper orders loads and evictions there. Each order carries a fencing token above the
highest token that the engine reported. A use lease allows its holder, another host, to
send requests for an adapter to an engine.

An adapter is evicted only when no request under a use lease can be running: each lease
was returned, or it expired and afterwards either the longest request duration has
passed or a report that was requested after the expiry shows the adapter idle. A keeper
grants leases only while a report requested less than a lease duration ago showed no
token above its own. A replaced keeper therefore stops granting. Its successor treats
every adapter as leased until one lease duration after the engine accepted the
successor's token.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from .clock import Instant
from .engine_record import (
    Command,
    EngineRecord,
    EngineReport,
    KeeperPolicy,
    LeaseGrant,
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from .leases import AdapterUse, HolderId
from .load_queue import LoadQueue, RejectWaiter
from .names import AdapterRef, TargetId
from .roster import Presence, Target

SUFFIX_BITS = 20
ORDER_BITS = 20
"""Allows a million orders in a term: days of loads at the highest rate."""


def first_token(highest: int, suffix: int) -> int:
    """Return the first fencing token of a new term, above all tokens of earlier terms.

    A token consists of the term, the keeper's suffix and the number of the order, from
    high to low bits. Later orders of a keeper therefore never exceed the tokens of
    another keeper's newer term.
    """
    term = (highest >> (SUFFIX_BITS + ORDER_BITS)) + 1
    return (term << SUFFIX_BITS | suffix) << ORDER_BITS


@dataclass(frozen=True, slots=True, order=True)
class EvictionCandidate:
    """An adapter that may be evicted, ordered by its priority for staying loaded."""

    worth: float
    adapter: AdapterRef
    target: TargetId


class Keeper:
    """The state of one keeper; its methods are state transitions and never block.

    Parameters
    ----------
    policy : KeeperPolicy
        Timing and limits.
    suffix : int
        Random number below ``1 << SUFFIX_BITS``, drawn by each keeper so that two
        keepers never use the same token.
    now : timedelta
        Reading of the monotonic clock.
    """

    def __init__(self, policy: KeeperPolicy, suffix: int, now: Instant) -> None:
        self.policy = policy
        self.suffix = suffix
        self.engines: dict[TargetId, EngineRecord] = {}
        self.leases: dict[AdapterUse, dict[HolderId, LeaseGrant]] = {}
        self.queue = LoadQueue(policy.load_policy, now)

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Set the pool's engines; an engine with a new address gets a new record."""
        listed = {t.target_id: t for t in targets}
        for removed in self.engines.keys() - listed.keys():
            del self.engines[removed]
        for target_id, target in listed.items():
            engine = self.engines.get(target_id)
            if engine is None or engine.target.address != target.address:
                self.engines[target_id] = EngineRecord(target)
            else:
                engine.target = target

    def handle_report(
        self, report: EngineReport, asked_at: Instant, now: Instant
    ) -> None:
        """Apply an engine's report that was requested at `asked_at`."""
        engine = self.engines.get(report.target)
        if engine is None:
            return
        previous = engine.report
        engine.report = report
        engine.reported_at = now
        engine.report_requested_at = asked_at
        if previous is None:
            self.take_over_engine(engine)
        elif previous.incarnation != report.incarnation:
            self.handle_engine_restart(engine)
        elif engine.token and report.highest_token > engine.token:
            self.step_down(engine, now)
        self.apply_recent_orders(engine, asked_at)
        if engine.token and not engine.is_token_pending:
            engine.confirmed_at = max(engine.confirmed_at or asked_at, asked_at)

    def step_down(self, engine: EngineRecord, now: Instant) -> None:
        """Give up control of an engine to the keeper with the higher token."""
        engine.token = 0
        engine.confirmed_at = None
        engine.stepped_down_at = now

    def handle_superseded(self, target: TargetId, now: Instant) -> None:
        """Handle an engine's rejection of an order because of an outdated token."""
        engine = self.engines.get(target)
        if engine is not None:
            engine.loading = None
            engine.unloading.clear()
            self.step_down(engine, now)

    def take_over_engine(self, engine: EngineRecord) -> None:
        """Take control of an engine with a higher token, which it must accept first."""
        assert engine.report is not None
        engine.token = first_token(engine.report.highest_token, self.suffix)
        engine.stepped_down_at = None
        self.start_token_assertion(engine)

    def start_token_assertion(self, engine: EngineRecord) -> None:
        """Suspend leases and evictions until the engine accepts this keeper's token."""
        engine.is_token_pending = True
        engine.confirmed_at = None
        engine.foreign_leases_until = timedelta.max

    def handle_engine_restart(self, engine: EngineRecord) -> None:
        """Handle a restart of an engine, which loses all its adapters.

        Leases are kept: holders may still dispatch under them, and a reloaded adapter
        must not be evicted while such a request runs. The engine has also lost its
        highest token, so the token is asserted again before any lease is granted.
        """
        self.start_token_assertion(engine)
        engine.loading = None
        engine.draining.clear()
        engine.unloading.clear()
        engine.recent_orders.clear()

    def apply_recent_orders(self, engine: EngineRecord, asked_at: Instant) -> None:
        """Combine the report with recent orders that it may be too old to show."""
        assert engine.report is not None
        resident = set(engine.report.resident)
        for adapter, (is_loaded, ordered_at) in list(engine.recent_orders.items()):
            if asked_at > ordered_at + self.policy.report_lag:
                del engine.recent_orders[adapter]
            elif is_loaded:
                resident.add(adapter)
            else:
                resident.discard(adapter)
        engine.resident = resident
        engine.draining &= resident | engine.unloading

    def can_grant(self, engine: EngineRecord, now: Instant) -> bool:
        """Return whether this keeper's control of an engine was confirmed recently."""
        return (
            engine.token > 0
            and engine.confirmed_at is not None
            and now < engine.confirmed_at + self.policy.lease_duration
        )

    def grant_lease(
        self, engine: EngineRecord, use: AdapterUse, holder: HolderId, sequence: int
    ) -> None:
        """Grant a lease that ends no later than this keeper's confirmed control."""
        assert engine.confirmed_at is not None
        until = engine.confirmed_at + self.policy.lease_duration
        earlier = self.leases.setdefault(use, {}).get(holder)
        if earlier is not None:
            until, sequence = (
                max(until, earlier.until),
                max(sequence, earlier.sequence),
            )
        self.leases[use][holder] = LeaseGrant(until, sequence)

    def handle_acquire(
        self, holder: HolderId, adapter: AdapterRef, sequence: int, now: Instant
    ) -> list[tuple[AdapterUse, timedelta]]:
        """Grant leases on all engines of the data centre that hold an adapter.

        Returns
        -------
        list of (Use, timedelta)
            Each lease with its remaining duration.
        """
        self.queue.demand.record_requests(adapter, now)
        granted = []
        for target_id, engine in self.engines.items():
            use = AdapterUse(adapter, target_id)
            if adapter in engine.resident and self.is_renewable(engine, use, now):
                self.grant_lease(engine, use, holder, sequence)
                granted.append((use, self.remaining_lease(engine, now)))
        return granted

    def remaining_lease(self, engine: EngineRecord, now: Instant) -> timedelta:
        """Return the duration of a lease granted at `now`."""
        assert engine.confirmed_at is not None
        return engine.confirmed_at + self.policy.lease_duration - now

    def handle_renew(
        self,
        holder: HolderId,
        uses: Iterable[tuple[AdapterUse, int]],
        sequence: int,
        now: Instant,
    ) -> list[tuple[AdapterUse, timedelta]]:
        """Renew a holder's leases and list the renewed ones; the others are recalled.

        A lease that is not renewed does not count as returned: the holder may have
        started a request since it asked, and returns the lease itself.
        """
        renewed = []
        for use, in_flight in uses:
            engine = self.engines.get(use.target)
            if engine is None or use.adapter not in engine.resident:
                continue
            if self.is_renewable(engine, use, now):
                self.queue.demand.record_requests(use.adapter, now, in_flight)
                self.grant_lease(engine, use, holder, sequence)
                renewed.append((use, self.remaining_lease(engine, now)))
            elif in_flight:
                # The lease is recalled, but its requests still run: extending the grant
                # makes the eviction wait for them.
                until = now + self.policy.lease_duration
                self.leases.setdefault(use, {})[holder] = LeaseGrant(until, sequence)
        return renewed

    def is_renewable(self, engine: EngineRecord, use: AdapterUse, now: Instant) -> bool:
        """Return whether leases on a use may be granted and renewed."""
        return (
            use.adapter not in engine.draining
            and engine.target.presence is Presence.LIVE
            and self.is_responsive(engine, now)
            and self.can_grant(engine, now)
        )

    def is_responsive(self, engine: EngineRecord, now: Instant) -> bool:
        """Return whether an engine reported within the report timeout."""
        return now - engine.reported_at <= self.policy.report_timeout

    def handle_lease_return(
        self, holder: HolderId, use: AdapterUse, sequence: int
    ) -> None:
        """Remove a returned lease, unless it was granted again by a later message."""
        grants = self.leases.get(use, {})
        grant = grants.get(holder)
        if grant is not None and sequence >= grant.sequence:
            del grants[holder]

    def handle_load_request(
        self, ticket: int, adapter: AdapterRef, deadline: Instant, now: Instant
    ) -> RejectWaiter | None:
        """Queue a request for an adapter that is not loaded, or reject it at once."""
        self.queue.demand.record_requests(adapter, now)
        if adapter in self.loading_adapters():
            deadline = max(deadline, now + self.queue.load_time)
        return self.queue.add_request(ticket, adapter, deadline, now)

    def loading_adapters(self) -> frozenset[AdapterRef]:
        """Return the adapters that are being loaded."""
        return frozenset(
            engine.loading for engine in self.engines.values() if engine.loading
        )

    def tick(self, now: Instant) -> list[Command]:
        """Return the commands to carry out at `now`."""
        self.queue.refill_permits(now)
        self.queue.demand.prune_idle(now)
        self.retake_engines(now)
        commands: list[Command] = [
            *self.queue.reject_late_requests(now, self.loading_adapters())
        ]
        commands += self.assert_tokens()
        commands += self.unload_drained(now)
        return commands + self.advance_loads(now)

    def retake_engines(self, now: Instant) -> None:
        """Take control again of engines lost to another keeper at least a lease ago."""
        for engine in self.engines.values():
            lost_at = engine.stepped_down_at
            if lost_at is not None and now >= lost_at + self.policy.lease_duration:
                self.take_over_engine(engine)

    def assert_tokens(self) -> list[Command]:
        """Make taken-over engines accept the new token by an order without effect.

        The order is a load of an adapter that is already resident.
        """
        commands: list[Command] = []
        for engine in self.engines.values():
            if engine.is_token_pending and engine.resident and engine.loading is None:
                adapter = min(engine.resident)
                engine.loading = adapter
                use = AdapterUse(adapter, engine.target.target_id)
                commands.append(LoadCommand(use, engine.next_token()))
        return commands

    def orderable_engines(self) -> list[EngineRecord]:
        """Return the live engines that this keeper controls."""
        return [
            engine
            for engine in self.engines.values()
            if engine.can_order() and engine.target.presence is Presence.LIVE
        ]

    def advance_loads(self, now: Instant) -> list[Command]:
        """Order loads by priority on free slots; start evictions if no slot is free."""
        commands: list[Command] = []
        loading = self.loading_adapters()
        free_engines = self.engines_with_free_slots(now)
        candidates: list[EvictionCandidate] | None = None
        drain_count = sum(len(engine.draining) for engine in self.engines.values())
        for adapter in self.queue.loadable_adapters(now):
            if adapter in loading:
                continue
            engine = next(
                (
                    candidate
                    for candidate in free_engines
                    if adapter not in candidate.resident
                ),
                None,
            )
            if engine is not None:
                if self.queue.permits < 1:
                    break
                free_engines.remove(engine)
                commands.append(self.load_command(engine, adapter))
                continue
            if drain_count >= self.policy.max_concurrent_drains:
                break
            candidates = (
                self.eviction_candidates(now) if candidates is None else candidates
            )
            if not candidates or candidates[0].worth >= self.queue.priority(
                adapter, now
            ):
                break
            evicted = candidates.pop(0)
            drain_count += 1
            commands += self.drain_adapter(
                self.engines[evicted.target], evicted.adapter
            )
        return commands

    def load_command(self, engine: EngineRecord, adapter: AdapterRef) -> LoadCommand:
        """Return the command to load an adapter, and consume a load permit."""
        self.queue.permits -= 1
        engine.loading = adapter
        return LoadCommand(
            AdapterUse(adapter, engine.target.target_id), engine.next_token()
        )

    def engines_with_free_slots(self, now: Instant) -> list[EngineRecord]:
        """Return the engines that can load an adapter now, least busy first."""
        loadable = [
            engine
            for engine in self.orderable_engines()
            if engine.free_slots() > 0
            and engine.loading is None
            and self.is_responsive(engine, now)
        ]
        return sorted(
            loadable,
            key=lambda engine: (engine.request_count(), engine.target.target_id),
        )

    def eviction_candidates(self, now: Instant) -> list[EvictionCandidate]:
        """Return the adapters that may be evicted, lowest priority first."""
        return sorted(
            EvictionCandidate(
                self.queue.priority(resident, now), resident, engine.target.target_id
            )
            for engine in self.orderable_engines()
            if not engine.is_token_pending and now >= engine.foreign_leases_until
            for resident in engine.usable_adapters()
            if resident != engine.loading
        )

    def drain_adapter(self, engine: EngineRecord, drained: AdapterRef) -> list[Command]:
        """Stop granting leases on an adapter and return recalls of the granted ones."""
        engine.draining.add(drained)
        use = AdapterUse(drained, engine.target.target_id)
        return [
            RecallCommand(holder, use) for holder in sorted(self.leases.get(use, {}))
        ]

    def unload_drained(self, now: Instant) -> list[Command]:
        """Order the eviction of drained adapters that no request can use any more."""
        commands: list[Command] = []
        for engine in self.orderable_engines():
            for adapter in sorted(engine.draining - engine.unloading):
                use = AdapterUse(adapter, engine.target.target_id)
                if self.is_unused(engine, use, now):
                    engine.unloading.add(adapter)
                    commands.append(UnloadCommand(use, engine.next_token()))
        return commands

    def is_unused(self, engine: EngineRecord, use: AdapterUse, now: Instant) -> bool:
        """Return whether no request under a lease on this use can be running."""
        ends = [grant.until for grant in self.leases.get(use, {}).values()]
        ends.append(engine.foreign_leases_until)
        in_use = engine.report is not None and use.adapter in engine.report.in_use
        return not in_use and self.are_requests_over(engine, max(ends), now)

    def are_requests_over(
        self, engine: EngineRecord, end: Instant, now: Instant
    ) -> bool:
        """Return whether all requests under leases that ended at `end` have ended."""
        if now < end:
            return False
        lag = self.policy.report_lag
        if self.policy.are_reports_trusted and engine.report_requested_at >= end + lag:
            return True
        return now >= end + self.policy.longest_request

    def handle_load_done(
        self, use: AdapterUse, load_duration: timedelta, now: Instant
    ) -> tuple[int, ...]:
        """Record a completed load; return the tickets of the requests it was for."""
        engine = self.engines.get(use.target)
        if engine is None or engine.loading != use.adapter:
            return ()
        engine.loading = None
        engine.resident.add(use.adapter)
        engine.recent_orders[use.adapter] = (True, now)
        if engine.is_token_pending:
            engine.is_token_pending = False
            # A report from just before may have confirmed another keeper's control.
            engine.foreign_leases_until = (
                now + self.policy.report_lag + self.policy.lease_duration
            )
        if engine.token:
            engine.confirmed_at = max(
                engine.confirmed_at or now - load_duration, now - load_duration
            )
        return self.queue.remove_loaded(use.adapter, load_duration)

    def handle_load_failed(self, use: AdapterUse, now: Instant) -> None:
        """Record a failed load and delay further attempts; any engine may retry it."""
        engine = self.engines.get(use.target)
        if engine is not None and engine.loading == use.adapter:
            engine.loading = None
        if engine is None or not engine.is_token_pending:
            self.queue.back_off(use.adapter, now)

    def handle_unload_done(self, use: AdapterUse, now: Instant) -> None:
        """Record a completed eviction."""
        engine = self.engines.get(use.target)
        if engine is None:
            return
        engine.unloading.discard(use.adapter)
        engine.draining.discard(use.adapter)
        engine.resident.discard(use.adapter)
        engine.recent_orders[use.adapter] = (False, now)
        self.leases.pop(use, None)

    def handle_unload_failed(self, use: AdapterUse) -> None:
        """Handle an eviction of unknown result; the next tick orders it again."""
        engine = self.engines.get(use.target)
        if engine is not None:
            engine.unloading.discard(use.adapter)

    def lease_holders(self, use: AdapterUse) -> tuple[HolderId, ...]:
        """Return the holders of leases on a use."""
        return tuple(sorted(self.leases.get(use, {})))
