"""A request that waits to be sent to a target."""

from dataclasses import dataclass
from datetime import timedelta

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import ZERO
from sardinequay_core.names import TargetId


@dataclass(frozen=True, slots=True)
class PermitRequest:
    """A request for which a target was chosen, before it may be sent there.

    Parameters
    ----------
    max_wait : timedelta or None
        How long the request can wait for this target; None if others can serve it.
    lasts : timedelta
        Time after which the request has ended in any case.
    """

    request_id: str
    published: PublishedTarget
    max_wait: timedelta | None = None
    lasts: timedelta = ZERO

    @property
    def target(self) -> TargetId:
        """Return the target's id."""
        return self.published.target.target_id

    @property
    def max_wait_s(self) -> float:
        """Return how long it can wait, in seconds; 0 if others can serve it."""
        return max(ZERO, self.max_wait or ZERO).total_seconds()
