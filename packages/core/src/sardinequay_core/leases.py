"""Holder side of use leases: engines to which a host may send an adapter's requests.

The holder measures a lease on its own monotonic clock, starting before it requested the
lease. The lease therefore ends for the holder no later than for the keeper that granted
it.

Each message of a holder carries an increasing sequence number. A grant that answers a
message older than the last return of the lease is ignored, because the keeper has
already removed it.
"""

from dataclasses import dataclass, field
from typing import NewType

from .clock import Instant
from .names import AdapterRef, TargetId

HolderId = NewType("HolderId", str)
"""A host with its incarnation: a restarted host is a different holder."""

RETURN_HISTORY_MESSAGES = 10_000
"""Number of messages for which a return is remembered; calls end much sooner."""


@dataclass(frozen=True, slots=True, order=True)
class AdapterUse:
    """The use of one adapter on one engine; leases are granted per use."""

    adapter: AdapterRef
    target: TargetId


@dataclass(slots=True)
class HeldLease:
    """A host's lease on one use."""

    until: Instant
    in_flight: int = 0
    is_recalled: bool = False


@dataclass(slots=True)
class LeaseTable:
    """All use leases of one host; owned by a single task."""

    leases: dict[AdapterUse, HeldLease] = field(default_factory=dict)
    uses_by_adapter: dict[AdapterRef, set[AdapterUse]] = field(default_factory=dict)
    returned_at_sequence: dict[AdapterUse, int] = field(default_factory=dict)
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return the sequence number for the next message to a keeper."""
        self.sequence += 1
        return self.sequence

    def record_grant(self, use: AdapterUse, until: Instant, sequence: int) -> None:
        """Record a lease granted in answer to the message with this sequence number."""
        if sequence <= self.returned_at_sequence.get(use, 0):
            return
        lease = self.leases.get(use)
        if lease is None:
            self.leases[use] = HeldLease(until)
            self.uses_by_adapter.setdefault(use.adapter, set()).add(use)
        elif not lease.is_recalled:
            lease.until = max(lease.until, until)

    def usable_uses(self, adapter: AdapterRef, now: Instant) -> list[AdapterUse]:
        """Return the uses of an adapter that allow dispatches at `now`."""
        uses = self.uses_by_adapter.get(adapter, ())
        return sorted(use for use in uses if self.is_usable(use, now))

    def is_usable(self, use: AdapterUse, now: Instant) -> bool:
        """Return whether a dispatch under this lease is allowed at `now`."""
        lease = self.leases.get(use)
        return lease is not None and not lease.is_recalled and now < lease.until

    def begin_request(self, use: AdapterUse, now: Instant) -> bool:
        """Add one running request, if the lease still allows dispatches."""
        if not self.is_usable(use, now):
            return False
        self.leases[use].in_flight += 1
        return True

    def end_request(self, use: AdapterUse) -> bool:
        """Remove one running request; return whether that returns a recalled lease."""
        lease = self.leases.get(use)
        if lease is None:
            return False
        lease.in_flight -= 1
        if lease.is_recalled and not lease.in_flight:
            self.return_lease(use)
            return True
        return False

    def handle_recall(self, use: AdapterUse) -> int:
        """Stop dispatches under a lease; return how many requests still run."""
        lease = self.leases.get(use)
        if lease is not None and lease.in_flight:
            lease.is_recalled = True
            return lease.in_flight
        self.return_lease(use)
        return 0

    def return_lease(self, use: AdapterUse) -> None:
        """Remove a lease; ignore later grants that answer earlier messages."""
        self.returned_at_sequence[use] = self.sequence
        if self.leases.pop(use, None) is None:
            return
        uses = self.uses_by_adapter[use.adapter]
        uses.discard(use)
        if not uses:
            del self.uses_by_adapter[use.adapter]

    def expire_idle(self, now: Instant) -> list[AdapterUse]:
        """Remove and return the expired leases without running requests."""
        expired = [
            u for u, h in self.leases.items() if now >= h.until and not h.in_flight
        ]
        for use in expired:
            self.return_lease(use)
        oldest_sequence = self.sequence - RETURN_HISTORY_MESSAGES
        self.returned_at_sequence = {
            u: n for u, n in self.returned_at_sequence.items() if n >= oldest_sequence
        }
        return expired

    def held_leases(self) -> list[tuple[AdapterUse, int]]:
        """Return all held uses, each with its number of running requests."""
        return sorted((use, lease.in_flight) for use, lease in self.leases.items())
