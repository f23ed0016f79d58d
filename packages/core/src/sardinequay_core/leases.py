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

RETURNS_KEPT = 10_000
"""Messages for which a return is remembered; calls end long before so many more."""


@dataclass(frozen=True, slots=True, order=True)
class Use:
    """One adapter on one engine."""

    adapter: AdapterRef
    target: TargetId


@dataclass(slots=True)
class HeldLease:
    """What a host holds for one use."""

    until: Instant
    in_flight: int = 0
    recalled: bool = False


@dataclass(slots=True)
class LeaseTable:
    """All use leases of one host, owned by one task."""

    leases: dict[Use, HeldLease] = field(default_factory=dict)
    by_adapter: dict[AdapterRef, set[Use]] = field(default_factory=dict)
    returned: dict[Use, int] = field(default_factory=dict)
    sequence: int = 0

    def next_sequence(self) -> int:
        """Return the number of the next message to a keeper."""
        self.sequence += 1
        return self.sequence

    def grant(self, use: Use, until: Instant, sequence: int) -> None:
        """Take the lease that answers the message with this sequence number."""
        if sequence <= self.returned.get(use, 0):
            return
        held = self.leases.get(use)
        if held is None:
            self.leases[use] = HeldLease(until)
            self.by_adapter.setdefault(use.adapter, set()).add(use)
        elif not held.recalled:
            held.until = max(held.until, until)

    def usable(self, adapter: AdapterRef, now: Instant) -> list[Use]:
        """Return the uses of an adapter that may be dispatched to right now."""
        uses = self.by_adapter.get(adapter, ())
        return sorted(use for use in uses if self.is_usable(use, now))

    def is_usable(self, use: Use, now: Instant) -> bool:
        """Return whether a dispatch under this lease is allowed right now."""
        held = self.leases.get(use)
        return held is not None and not held.recalled and now < held.until

    def begin(self, use: Use, now: Instant) -> bool:
        """Count one request in, if the lease still allows it."""
        if not self.is_usable(use, now):
            return False
        self.leases[use].in_flight += 1
        return True

    def end(self, use: Use) -> bool:
        """Count one request out; return whether that returns a recalled lease."""
        held = self.leases.get(use)
        if held is None:
            return False
        held.in_flight -= 1
        if held.recalled and not held.in_flight:
            self.drop(use)
            return True
        return False

    def recall(self, use: Use) -> int:
        """Stop dispatching under a lease; return how many requests still run on it."""
        held = self.leases.get(use)
        if held is not None and held.in_flight:
            held.recalled = True
            return held.in_flight
        self.drop(use)
        return 0

    def drop(self, use: Use) -> None:
        """Return a lease: no answer to an earlier message may bring it back."""
        self.returned[use] = self.sequence
        if self.leases.pop(use, None) is None:
            return
        uses = self.by_adapter[use.adapter]
        uses.discard(use)
        if not uses:
            del self.by_adapter[use.adapter]

    def expire(self, now: Instant) -> list[Use]:
        """Drop and return leases that ran out with no request on them."""
        gone = [u for u, h in self.leases.items() if now >= h.until and not h.in_flight]
        for use in gone:
            self.drop(use)
        oldest = self.sequence - RETURNS_KEPT
        self.returned = {u: n for u, n in self.returned.items() if n >= oldest}
        return gone

    def held(self) -> list[tuple[Use, int]]:
        """Return all leases to renew, with the requests that run on each."""
        return sorted((use, held.in_flight) for use, held in self.leases.items())
