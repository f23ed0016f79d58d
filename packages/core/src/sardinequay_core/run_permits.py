"""Permits that let one request at a time run of a content under suspicion.

Load pattern: copies of one request arrive at the same moment at several hosts. Each
could crash a target before any host has learned of the first crash.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import Instant
from .names import FeatureId

PERMIT_DURATION = timedelta(seconds=5)
"""A request that crashes its target does so when the target starts to run it; one that
runs for longer is most likely harmless, and another may run."""


@dataclass(frozen=True, slots=True)
class RunPermit:
    """Permission to run one request of a content.

    Parameters
    ----------
    run : str
        Id of the attempt that holds the permit, unique in the fleet.
    """

    run: str
    until: Instant


@dataclass(slots=True)
class RunPermits:
    """Permits by content, at most one at a time for each."""

    permits: dict[FeatureId, RunPermit] = field(default_factory=dict)

    def grant(self, content: FeatureId, run: str, now: Instant) -> bool:
        """Grant the permit for a content, unless another attempt holds it."""
        permit = self.permits.get(content)
        if permit is not None and permit.run != run and now < permit.until:
            return False
        self.permits[content] = RunPermit(run, now + PERMIT_DURATION)
        return True

    def release(self, content: FeatureId, run: str) -> None:
        """Release a permit if the attempt holds it."""
        permit = self.permits.get(content)
        if permit is not None and permit.run == run:
            del self.permits[content]

    def expire_permits(self, now: Instant) -> None:
        """Drop permits that have expired."""
        for content, permit in tuple(self.permits.items()):
            if now >= permit.until:
                del self.permits[content]
