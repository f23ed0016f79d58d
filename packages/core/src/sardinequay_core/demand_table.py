"""Decayed request counts of adapters, which follow shifts in popularity."""

import math
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant
from .names import AdapterRef

HALF_LIFE = timedelta(seconds=60)
"""Long enough to rank adapters by a few requests each, short compared with a school
lesson."""

MIN_COUNT = 0.01


@dataclass(slots=True)
class DemandTable:
    """Requests for each adapter, halved every `HALF_LIFE`."""

    half_life: timedelta = HALF_LIFE
    counts: dict[AdapterRef, tuple[float, Instant]] = field(default_factory=dict)
    pruned_at: Instant = ZERO

    def decayed_count(self, adapter: AdapterRef, now: Instant) -> float:
        """Return the decayed count of requests for an adapter."""
        entry = self.counts.get(adapter)
        if entry is None:
            return 0.0
        count, counted_at = entry
        return count * math.exp2(-((now - counted_at) / self.half_life))

    def record_requests(
        self, adapter: AdapterRef, now: Instant, count: float = 1.0
    ) -> None:
        """Count requests for an adapter."""
        self.counts[adapter] = (self.decayed_count(adapter, now) + count, now)

    def prune_idle(self, now: Instant) -> None:
        """Drop adapters without recent requests, at most once per half-life."""
        if now - self.pruned_at < self.half_life:
            return
        self.pruned_at = now
        idle = [a for a in self.counts if self.decayed_count(a, now) < MIN_COUNT]
        for adapter in idle:
            del self.counts[adapter]
