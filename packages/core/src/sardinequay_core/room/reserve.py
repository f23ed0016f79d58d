"""Slots of an engine that requests which can wait leave to more urgent ones.

Load pattern: callers of the most urgent route have little time, and those of another
route hold slots for seconds. Each slot that falls free goes to an urgent load first,
but when none waits for a moment, the others take all slots, and the urgent requests of
the next seconds find none. (Trunk reservation, as telephone networks know it.)
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import ZERO, Instant, seconds

RESERVED_SHARE = 0.5
"""Share of an engine's slots that patient loads leave while urgent ones lack slots."""

SHORTAGE_WINDOW = seconds(2)
"""How long slots count as scarce after an urgent load found none: about as long as a
request that can wait holds one."""

PATIENCE_RATIO = 1.5
"""Ratio of the times that requests can wait from which on one counts as patient beside
the other."""


@dataclass(frozen=True, slots=True)
class SlotClaim:
    """What the most urgent request has for which an adapter is loaded.

    Parameters
    ----------
    worth : float
        Value of its answer on time.
    patience : timedelta
        How long it can wait for the load, from its arrival on.
    """

    worth: float
    patience: timedelta

    def yields_to(self, other: "SlotClaim") -> bool:
        """Return whether a load is patient beside another: worth less, and can wait."""
        return (
            self.worth < other.worth
            and self.patience >= PATIENCE_RATIO * other.patience
        )


@dataclass(slots=True)
class SlotReserve:
    """The most urgent load that lately found no slot on one engine.

    While slots suffice, nothing is reserved.

    Parameters
    ----------
    urgent : SlotClaim or None
        What the urgent load's request has; None before any.
    urgent_at : timedelta
        When it found no slot.
    """

    urgent: SlotClaim | None = None
    urgent_at: Instant = ZERO

    def record_shortage(self, claim: SlotClaim, now: Instant) -> None:
        """Record a load for which no slot is free."""
        if (
            self.urgent is None
            or not claim.yields_to(self.urgent)
            or now - self.urgent_at >= SHORTAGE_WINDOW
        ):
            self.urgent = claim
            self.urgent_at = now

    def is_patient(self, claim: SlotClaim, now: Instant) -> bool:
        """Return whether a load must leave slots free."""
        if self.urgent is None or now - self.urgent_at >= SHORTAGE_WINDOW:
            return False
        return claim.yields_to(self.urgent)

    def may_load(
        self, claim: SlotClaim, taken: Iterable[SlotClaim], slots: int, now: Instant
    ) -> bool:
        """Return whether a load may take one more slot; see `open_slots`."""
        return self.open_slots(claim, taken, slots, now) > 0

    def open_slots(
        self, claim: SlotClaim, taken: Iterable[SlotClaim], slots: int, now: Instant
    ) -> int:
        """Return a bound of the slots that loads of a claim may still take.

        The caller bounds it by the slots that are free.

        Parameters
        ----------
        taken : iterable of SlotClaim
            Of the loads whose adapters are in use or loading.
        slots : int
            Adapter slots of the engine.
        """
        if not self.is_patient(claim, now):
            return slots
        patient = sum(1 for other in taken if self.is_patient(other, now))
        return max(0, math.ceil(slots * (1 - RESERVED_SHARE)) - patient)
