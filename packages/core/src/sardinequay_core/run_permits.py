"""One request at a time of a content under suspicion.

Load pattern: copies of one request come at one moment, at several hosts. Each would end
a target before any host has heard of the first end.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import Instant
from .names import ContentId

PERMIT_DURATION = timedelta(seconds=5)
"""A target that a request ends does so when it begins to run it; what runs for longer
has most likely another fate, and others may try."""


@dataclass(frozen=True, slots=True)
class RunPermit:
    """Leave to run one request of a content.

    Parameters
    ----------
    run : str
        The attempt that has it, unlike any other in the fleet.
    """

    run: str
    until: Instant


@dataclass(slots=True)
class RunPermits:
    """Lets one request at a time of each content run."""

    permits: dict[ContentId, RunPermit] = field(default_factory=dict)

    def grant(self, content: ContentId, run: str, now: Instant) -> bool:
        """Give the permit for a content, unless another run has it."""
        permit = self.permits.get(content)
        if permit is not None and permit.run != run and now < permit.until:
            return False
        self.permits[content] = RunPermit(run, now + PERMIT_DURATION)
        return True

    def release(self, content: ContentId, run: str) -> None:
        """Take a permit back."""
        permit = self.permits.get(content)
        if permit is not None and permit.run == run:
            del self.permits[content]

    def expire_permits(self, now: Instant) -> None:
        """Drop permits that ran out."""
        for content, permit in tuple(self.permits.items()):
            if now >= permit.until:
                del self.permits[content]
