"""The state of a request that decides whether it may be sent to a target.

A request with a feature that is suspected to crash targets needs a permit; see
`guard`.
"""

import asyncio
from dataclasses import dataclass

from sardinequay_core.clock import Instant
from sardinequay_core.names import FeatureId


@dataclass(slots=True)
class GuardedRequest:
    """A request in progress, as the feature guard tracks it.

    Parameters
    ----------
    content : FeatureId
        Identifies the request's content; equal for each repeat by a caller.
    parts : tuple of FeatureId
        Parts of its prompt that other requests may share.
    may_have_run : bool
        Whether a target was sent the request and did not prove that it has not run it.
    permit : str
        The permit to run a suspected feature; empty if the request holds none.
    permit_feature : FeatureId or None
        The feature that the permit is for.
    permit_waits : int
        How often the request found the permit held by another request.
    target_end_check : Task or None
        Checks whether the last target ended while it ran the request.
    first_event_at : timedelta or None
        When the last target began to answer; None if it has not.
    proof : TimerHandle or None
        Records, unless it is cancelled, that the last target survived the answer.
    is_counted : bool
        Whether the request is counted by its parts.
    """

    request_id: str
    content: FeatureId
    parts: tuple[FeatureId, ...] = ()
    may_have_run: bool = False
    permit: str = ""
    permit_feature: FeatureId | None = None
    permit_waits: int = 0
    target_end_check: asyncio.Task[bool] | None = None
    first_event_at: Instant | None = None
    proof: asyncio.TimerHandle | None = None
    is_counted: bool = False

    @property
    def features(self) -> tuple[FeatureId, ...]:
        """Return all features by which the request may be at fault for an end."""
        return (self.content, *self.parts)

    def begin_attempt(self) -> None:
        """Record that the next target has not begun to answer."""
        self.first_event_at = None
        self.cancel_proof()

    def cancel_proof(self) -> None:
        """Leave it open whether the last target survives the answer."""
        if self.proof is not None:
            self.proof.cancel()
            self.proof = None
