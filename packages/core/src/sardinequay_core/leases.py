"""The holder's side of use leases: which engines a host may send an adapter's work to.

A lease is counted from before the holder asked for it, on the holder's own monotonic
clock, so it ends for the holder no later than for the keeper that granted it.

Every message of a holder carries a rising sequence number. A grant that answers a
message older than the lease's last return is void: the keeper has forgotten it.
"""

from dataclasses import dataclass, field
from typing import NewType

from .clock import Instant
from .names import AdapterRef, TargetId

HolderId = NewType("HolderId", str)
"""A host and its incarnation: a restarted host is another holder."""

RETURN_HISTORY_MESSAGES = 10_000
"""Messages for which a return is remembered; calls end long before so many more."""


@dataclass(frozen=True, slots=True, order=True)
class AdapterUse:
    """One adapter on one engine."""

    adapter: AdapterRef
    target: TargetId


@dataclass(slots=True)
class HeldLease:
    """What a host holds for one use."""

    until: Instant
    in_flight: int = 0
    is_recalled: bool = False


@dataclass(slots=True)
class LeaseTable:
    """All use leases of one host, owned by one task."""

    leases: dict[AdapterUse, HeldLease] = field(default_factory=dict)
    uses_by_adapter: dict[AdapterRef, set[AdapterUse]] = field(default_factory=dict)
    returned_at_sequence: dict[AdapterUse, int] = field(default_factory=dict)
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return the number of the next message to a keeper."""
        self.sequence += 1
        return self.sequence

    def record_grant(self, use: AdapterUse, until: Instant, sequence: int) -> None:
        """Take the lease that answers the message with this sequence number."""
        if sequence <= self.returned_at_sequence.get(use, 0):
            return
        held = self.leases.get(use)
        if held is None:
            self.leases[use] = HeldLease(until)
            self.uses_by_adapter.setdefault(use.adapter, set()).add(use)
        elif not held.is_recalled:
            held.until = max(held.until, until)

    def usable_uses(self, adapter: AdapterRef, now: Instant) -> list[AdapterUse]:
        """Return the uses of an adapter that may be dispatched to right now."""
        uses = self.uses_by_adapter.get(adapter, ())
        return sorted(use for use in uses if self.is_usable(use, now))

    def is_usable(self, use: AdapterUse, now: Instant) -> bool:
        """Return whether a dispatch under this lease is allowed right now."""
        held = self.leases.get(use)
        return held is not None and not held.is_recalled and now < held.until

    def begin_request(self, use: AdapterUse, now: Instant) -> bool:
        """Count one request in, if the lease still allows it."""
        if not self.is_usable(use, now):
            return False
        self.leases[use].in_flight += 1
        return True

    def end_request(self, use: AdapterUse) -> bool:
        """Count one request out; return whether that returns a recalled lease."""
        held = self.leases.get(use)
        if held is None:
            return False
        held.in_flight -= 1
        if held.is_recalled and not held.in_flight:
            self.return_lease(use)
            return True
        return False

    def handle_recall(self, use: AdapterUse) -> int:
        """Stop dispatching under a lease; return how many requests still run on it."""
        held = self.leases.get(use)
        if held is not None and held.in_flight:
            held.is_recalled = True
            return held.in_flight
        self.return_lease(use)
        return 0

    def return_lease(self, use: AdapterUse) -> None:
        """Return a lease: no answer to an earlier message may bring it back."""
        self.returned_at_sequence[use] = self.sequence
        if self.leases.pop(use, None) is None:
            return
        uses = self.uses_by_adapter[use.adapter]
        uses.discard(use)
        if not uses:
            del self.uses_by_adapter[use.adapter]

    def expire_idle(self, now: Instant) -> list[AdapterUse]:
        """Drop and return leases that ran out with no request on them."""
        gone = [u for u, h in self.leases.items() if now >= h.until and not h.in_flight]
        for use in gone:
            self.return_lease(use)
        oldest = self.sequence - RETURN_HISTORY_MESSAGES
        self.returned_at_sequence = {
            u: n for u, n in self.returned_at_sequence.items() if n >= oldest
        }
        return gone

    def held_leases(self) -> list[tuple[AdapterUse, int]]:
        """Return all leases to renew, with the requests that run on each."""
        return sorted((use, held.in_flight) for use, held in self.leases.items())
