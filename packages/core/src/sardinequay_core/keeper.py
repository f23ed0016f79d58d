"""The keeper of one pool in one data centre: loads, evictions and use leases.

One entry host keeps all engines of a pool in its data centre. It alone orders loads and
evictions there, each with a fencing token above the highest that the engine reported.

An adapter is evicted only when no request under a use lease can be left: each lease was
returned, or it ran out and then either the longest request has passed or a report that
was asked for later than that shows the adapter idle. A keeper grants leases only while
an engine's report, asked for less than a lease ago, showed no token above its own; so a
replaced keeper stops granting, and its successor treats every adapter as leased until a
lease after the engine took its token.
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
"""A million orders in a term: days of loads at the highest rate."""


def first_token(highest: int, suffix: int) -> int:
    """Return a new term's token, above all tokens of the terms before.

    A token is made of the term, the keeper's own suffix and the number of the order.
    A keeper's later orders never rise above another keeper's newer term.
    """
    term = (highest >> (SUFFIX_BITS + ORDER_BITS)) + 1
    return (term << SUFFIX_BITS | suffix) << ORDER_BITS


@dataclass(frozen=True, slots=True, order=True)
class EvictionCandidate:
    """An adapter that may be evicted, by its worth."""

    worth: float
    adapter: AdapterRef
    target: TargetId


class Keeper:
    """The state of one keepership; every method is a transition without any wait.

    Parameters
    ----------
    policy : KeeperPolicy
        What it works by.
    suffix : int
        Below ``1 << SUFFIX_BITS``, drawn at random by each keeper, so that two keepers
        never use the same token.
    now : timedelta
        The monotonic clock's reading.
    """

    def __init__(self, policy: KeeperPolicy, suffix: int, now: Instant) -> None:
        self.policy = policy
        self.suffix = suffix
        self.engines: dict[TargetId, EngineRecord] = {}
        self.leases: dict[AdapterUse, dict[HolderId, LeaseGrant]] = {}
        self.queue = LoadQueue(policy.load_policy, now)

    # What the platform and the engines say.

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Take the pool's engines in this data centre."""
        listed = {t.target_id: t for t in targets}
        for removed in self.engines.keys() - listed.keys():
            del self.engines[removed]
        for target_id, target in listed.items():
            kept = self.engines.get(target_id)
            if kept is None or kept.target.address != target.address:
                self.engines[target_id] = EngineRecord(target)
            else:
                kept.target = target

    def handle_report(
        self, report: EngineReport, asked_at: Instant, now: Instant
    ) -> None:
        """Take an engine's report that was asked for at `asked_at`."""
        kept = self.engines.get(report.target)
        if kept is None:
            return
        before = kept.report
        kept.report = report
        kept.reported_at = now
        kept.report_requested_at = asked_at
        if before is None:
            self.take_over_engine(kept)
        elif before.incarnation != report.incarnation:
            self.handle_engine_restart(kept)
        elif kept.token and report.highest_token > kept.token:
            self.step_down(kept, now)
        self.apply_recent_orders(kept, asked_at)
        if kept.token and not kept.is_token_pending:
            kept.confirmed_at = max(kept.confirmed_at or asked_at, asked_at)

    def step_down(self, kept: EngineRecord, now: Instant) -> None:
        """Leave an engine to the keeper with the higher token."""
        kept.token = 0
        kept.confirmed_at = None
        kept.stepped_down_at = now

    def handle_superseded(self, target: TargetId, now: Instant) -> None:
        """Take an engine's refusal of an order because of its old token."""
        kept = self.engines.get(target)
        if kept is not None:
            kept.loading = None
            kept.unloading.clear()
            self.step_down(kept, now)

    def take_over_engine(self, kept: EngineRecord) -> None:
        """Become an engine's keeper, with a higher token that it must take first."""
        assert kept.report is not None
        kept.token = first_token(kept.report.highest_token, self.suffix)
        kept.stepped_down_at = None
        self.start_token_assertion(kept)

    def start_token_assertion(self, kept: EngineRecord) -> None:
        """Grant and evict nothing until the engine took this keeper's token."""
        kept.is_token_pending = True
        kept.confirmed_at = None
        kept.foreign_leases_until = timedelta.max

    def handle_engine_restart(self, kept: EngineRecord) -> None:
        """Take an engine that lost all it had.

        Its leases are kept: holders may still dispatch under them, and an adapter
        that is loaded again must not be evicted under such a request. It forgot its
        highest token too, so the token is asserted anew before anything is granted.
        """
        self.start_token_assertion(kept)
        kept.loading = None
        kept.draining.clear()
        kept.unloading.clear()
        kept.recent_orders.clear()

    def apply_recent_orders(self, kept: EngineRecord, asked_at: Instant) -> None:
        """Hold what orders changed against reports that are older than they."""
        assert kept.report is not None
        resident = set(kept.report.resident)
        for adapter, (present, at) in list(kept.recent_orders.items()):
            if asked_at > at + self.policy.report_lag:
                del kept.recent_orders[adapter]
            elif present:
                resident.add(adapter)
            else:
                resident.discard(adapter)
        kept.resident = resident
        kept.draining &= resident | kept.unloading

    # What the hosts ask.

    def can_grant(self, kept: EngineRecord, now: Instant) -> bool:
        """Return whether this keeper's authority over an engine is recent enough."""
        return (
            kept.token > 0
            and kept.confirmed_at is not None
            and now < kept.confirmed_at + self.policy.lease_duration
        )

    def grant_lease(
        self, kept: EngineRecord, use: AdapterUse, holder: HolderId, sequence: int
    ) -> None:
        """Grant a lease that ends with this keeper's own authority at the latest."""
        assert kept.confirmed_at is not None
        until = kept.confirmed_at + self.policy.lease_duration
        old = self.leases.setdefault(use, {}).get(holder)
        if old is not None:
            until, sequence = max(until, old.until), max(sequence, old.sequence)
        self.leases[use][holder] = LeaseGrant(until, sequence)

    def handle_acquire(
        self, holder: HolderId, adapter: AdapterRef, sequence: int, now: Instant
    ) -> list[tuple[AdapterUse, timedelta]]:
        """Grant leases on every engine of the data centre that holds an adapter.

        Returns
        -------
        list of (Use, timedelta)
            Each lease with how long it lasts from now.
        """
        self.queue.demand.record_requests(adapter, now)
        granted = []
        for target_id, kept in self.engines.items():
            use = AdapterUse(adapter, target_id)
            if adapter in kept.resident and self.is_renewable(kept, use, now):
                self.grant_lease(kept, use, holder, sequence)
                granted.append((use, self.remaining_lease(kept, now)))
        return granted

    def remaining_lease(self, kept: EngineRecord, now: Instant) -> timedelta:
        """Return how long a lease granted now lasts."""
        assert kept.confirmed_at is not None
        return kept.confirmed_at + self.policy.lease_duration - now

    def handle_renew(
        self,
        holder: HolderId,
        uses: Iterable[tuple[AdapterUse, int]],
        sequence: int,
        now: Instant,
    ) -> list[tuple[AdapterUse, timedelta]]:
        """Renew a holder's leases and return those renewed; the others are recalled.

        A lease that is not renewed is not returned by that: the holder may have begun
        a request since it asked, and says so itself when it has stopped.
        """
        renewed = []
        for use, in_flight in uses:
            kept = self.engines.get(use.target)
            if kept is None or use.adapter not in kept.resident:
                continue
            if self.is_renewable(kept, use, now):
                self.queue.demand.record_requests(use.adapter, now, in_flight)
                self.grant_lease(kept, use, holder, sequence)
                renewed.append((use, self.remaining_lease(kept, now)))
            elif in_flight:
                # Recalled, but still running: the eviction waits for it.
                until = now + self.policy.lease_duration
                self.leases.setdefault(use, {})[holder] = LeaseGrant(until, sequence)
        return renewed

    def is_renewable(self, kept: EngineRecord, use: AdapterUse, now: Instant) -> bool:
        """Return whether leases on a use are granted and go on."""
        return (
            use.adapter not in kept.draining
            and kept.target.presence is Presence.LIVE
            and self.is_responsive(kept, now)
            and self.can_grant(kept, now)
        )

    def is_responsive(self, kept: EngineRecord, now: Instant) -> bool:
        """Return whether an engine reported lately."""
        return now - kept.reported_at <= self.policy.report_timeout

    def handle_lease_return(
        self, holder: HolderId, use: AdapterUse, sequence: int
    ) -> None:
        """Take a lease back, unless it was granted by a later message."""
        held = self.leases.get(use, {})
        grant = held.get(holder)
        if grant is not None and sequence >= grant.sequence:
            del held[holder]

    def handle_load_request(
        self, ticket: int, adapter: AdapterRef, deadline: Instant, now: Instant
    ) -> RejectWaiter | None:
        """Queue a request for a cold adapter, or give it up at once."""
        self.queue.demand.record_requests(adapter, now)
        if adapter in self.loading_adapters():
            deadline = max(deadline, now + self.queue.load_time)
        return self.queue.add_request(ticket, adapter, deadline, now)

    def loading_adapters(self) -> frozenset[AdapterRef]:
        """Return the adapters whose load is under way."""
        return frozenset(k.loading for k in self.engines.values() if k.loading)

    # What is decided.

    def tick(self, now: Instant) -> list[Command]:
        """Decide what to order now."""
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
        """Take an engine again that another keeper had, if it is still ours to keep."""
        for kept in self.engines.values():
            at = kept.stepped_down_at
            if at is not None and now >= at + self.policy.lease_duration:
                self.take_over_engine(kept)

    def assert_tokens(self) -> list[Command]:
        """Make taken-over engines know the new token by an order without effect."""
        commands: list[Command] = []
        for kept in self.engines.values():
            if kept.is_token_pending and kept.resident and kept.loading is None:
                adapter = min(kept.resident)
                kept.loading = adapter
                use = AdapterUse(adapter, kept.target.target_id)
                commands.append(LoadCommand(use, kept.next_token()))
        return commands

    def orderable_engines(self) -> list[EngineRecord]:
        """Return the engines that may be ordered to load or evict."""
        return [
            kept
            for kept in self.engines.values()
            if kept.can_order() and kept.target.presence is Presence.LIVE
        ]

    def advance_loads(self, now: Instant) -> list[Command]:
        """Order loads where slots are free, else make room, the most wanted first."""
        commands: list[Command] = []
        loading = self.loading_adapters()
        room = self.engines_with_free_slots(now)
        victims: list[EvictionCandidate] | None = None
        drains = sum(len(kept.draining) for kept in self.engines.values())
        for adapter in self.queue.loadable_adapters(now):
            if adapter in loading:
                continue
            kept = next((k for k in room if adapter not in k.resident), None)
            if kept is not None:
                if self.queue.permits < 1:
                    break
                room.remove(kept)
                commands.append(self.load_command(kept, adapter))
                continue
            if drains >= self.policy.max_concurrent_drains:
                break
            victims = self.eviction_candidates(now) if victims is None else victims
            if not victims or victims[0].worth >= self.queue.priority(adapter, now):
                break
            victim = victims.pop(0)
            drains += 1
            commands += self.drain_adapter(self.engines[victim.target], victim.adapter)
        return commands

    def load_command(self, kept: EngineRecord, adapter: AdapterRef) -> LoadCommand:
        """Spend a permit on a load."""
        self.queue.permits -= 1
        kept.loading = adapter
        return LoadCommand(
            AdapterUse(adapter, kept.target.target_id), kept.next_token()
        )

    def engines_with_free_slots(self, now: Instant) -> list[EngineRecord]:
        """Return the engines that can load now, the least busy first."""
        free = [
            kept
            for kept in self.orderable_engines()
            if kept.free_slots() > 0
            and kept.loading is None
            and self.is_responsive(kept, now)
        ]
        return sorted(
            free, key=lambda kept: (kept.request_count(), kept.target.target_id)
        )

    def eviction_candidates(self, now: Instant) -> list[EvictionCandidate]:
        """Return the adapters that may be evicted, the least wanted first."""
        return sorted(
            EvictionCandidate(
                self.queue.priority(resident, now), resident, kept.target.target_id
            )
            for kept in self.orderable_engines()
            if not kept.is_token_pending and now >= kept.foreign_leases_until
            for resident in kept.usable_adapters()
            if resident != kept.loading
        )

    def drain_adapter(self, kept: EngineRecord, victim: AdapterRef) -> list[Command]:
        """Stop granting an adapter and recall what was granted."""
        kept.draining.add(victim)
        use = AdapterUse(victim, kept.target.target_id)
        return [
            RecallCommand(holder, use) for holder in sorted(self.leases.get(use, {}))
        ]

    def unload_drained(self, now: Instant) -> list[Command]:
        """Order the eviction of adapters that nobody can use any more."""
        commands: list[Command] = []
        for kept in self.orderable_engines():
            for adapter in sorted(kept.draining - kept.unloading):
                use = AdapterUse(adapter, kept.target.target_id)
                if self.is_unused(kept, use, now):
                    kept.unloading.add(adapter)
                    commands.append(UnloadCommand(use, kept.next_token()))
        return commands

    def is_unused(self, kept: EngineRecord, use: AdapterUse, now: Instant) -> bool:
        """Return whether no request under a lease on a use can be left."""
        ends = [grant.until for grant in self.leases.get(use, {}).values()]
        ends.append(kept.foreign_leases_until)
        in_use = kept.report is not None and use.adapter in kept.report.in_use
        return not in_use and self.are_requests_over(kept, max(ends), now)

    def are_requests_over(self, kept: EngineRecord, end: Instant, now: Instant) -> bool:
        """Return whether requests under leases that ended at `end` are surely over."""
        if now < end:
            return False
        lag = self.policy.report_lag
        if self.policy.are_reports_trusted and kept.report_requested_at >= end + lag:
            return True
        return now >= end + self.policy.longest_request

    # What became of orders.

    def handle_load_done(
        self, use: AdapterUse, load_duration: timedelta, now: Instant
    ) -> tuple[int, ...]:
        """Take a finished load; return the tickets that need not wait any more."""
        kept = self.engines.get(use.target)
        if kept is None or kept.loading != use.adapter:
            return ()
        kept.loading = None
        kept.resident.add(use.adapter)
        kept.recent_orders[use.adapter] = (True, now)
        if kept.is_token_pending:
            kept.is_token_pending = False
            # Another keeper may be confirmed by a report from just before.
            kept.foreign_leases_until = (
                now + self.policy.report_lag + self.policy.lease_duration
            )
        if kept.token:
            kept.confirmed_at = max(
                kept.confirmed_at or now - load_duration, now - load_duration
            )
        return self.queue.remove_loaded(use.adapter, load_duration)

    def handle_load_failed(self, use: AdapterUse, now: Instant) -> None:
        """Take a failed load: back off, and try where room is when the time comes."""
        kept = self.engines.get(use.target)
        if kept is not None and kept.loading == use.adapter:
            kept.loading = None
        if kept is None or not kept.is_token_pending:
            self.queue.back_off(use.adapter, now)

    def handle_unload_done(self, use: AdapterUse, now: Instant) -> None:
        """Take a finished eviction."""
        kept = self.engines.get(use.target)
        if kept is None:
            return
        kept.unloading.discard(use.adapter)
        kept.draining.discard(use.adapter)
        kept.resident.discard(use.adapter)
        kept.recent_orders[use.adapter] = (False, now)
        self.leases.pop(use, None)

    def handle_unload_failed(self, use: AdapterUse) -> None:
        """Take an eviction of unknown fate; it is ordered again at the next tick."""
        kept = self.engines.get(use.target)
        if kept is not None:
            kept.unloading.discard(use.adapter)

    def lease_holders(self, use: AdapterUse) -> tuple[HolderId, ...]:
        """Return who holds a lease on a use."""
        return tuple(sorted(self.leases.get(use, {})))
