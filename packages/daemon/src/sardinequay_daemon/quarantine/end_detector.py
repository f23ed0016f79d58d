"""Detection of targets whose process ended while it had a request.

A broken connection alone does not show this: a target may abort one answer, or a link
may fail. So the target is probed (`target_probe`). If the probe found it alive, a later
start of it that appears in the store soon after still shows that it had ended.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.names import FeatureId, PoolName, TargetId
from sardinequay_core.roster import Target

PROBE_DELAY_S = 0.02
"""Delay before a probe, in seconds: a process that ends closes its connections and its
listening socket one after the other."""

RESTART_VISIBLE_WITHIN = seconds(4)
"""Time within which the store lists the restart of a target that ended: its first entry
appears some heartbeats after the end. A later start has other reasons."""

MAX_PRESUMED_ALIVE = 256
"""Number of interrupted requests stored to compare with later starts of their targets;
the oldest are dropped first."""

AliveCheck = Callable[[Target, int], Awaitable[bool]]
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose connection to a target broke.

    Parameters
    ----------
    incarnation : int
        When the target process that had the request started, in Unix milliseconds; 0
        if unknown.
    ran_s : float
        How long the request had been at the target, in seconds.
    at : timedelta
        When the connection broke.
    parts : tuple of FeatureId
        Parts of the request's prompt that may be at fault.
    had_event : bool
        Whether the target had begun to answer.
    """

    request_id: str
    content: FeatureId
    target: Target
    incarnation: int
    ran_s: float
    at: Instant = field(default=ZERO, compare=False)
    parts: tuple[FeatureId, ...] = ()
    had_event: bool = False

    @property
    def features(self) -> tuple[FeatureId, ...]:
        """Return all features that may be at fault."""
        return (self.content, *self.parts)


class TargetEndDetector:
    """Probes targets at which requests were interrupted, once for concurrent ones.

    Parameters
    ----------
    is_alive : callable
        Returns whether the incarnation of a target that had a request still runs.
    is_live : callable
        Returns whether a target is listed and not about to leave. One that leaves may
        end while it has requests, and none of them is the cause.
    record_end : callable
        Counts an ended target of a pool.
    """

    def __init__(
        self,
        is_alive: AliveCheck,
        is_live: Callable[[TargetId], bool],
        record_end: Callable[[PoolName], None],
    ) -> None:
        self.is_alive = is_alive
        self.is_live = is_live
        self.record_end = record_end
        self.probes: dict[tuple[TargetId, int], asyncio.Task[bool]] = {}
        self.presumed_alive: deque[InterruptedRequest] = deque(
            maxlen=MAX_PRESUMED_ALIVE
        )

    async def has_ended_during(self, interrupted: InterruptedRequest) -> bool:
        """Return whether a target ended unplanned while it had a request."""
        target = interrupted.target
        if not self.is_live(target.target_id):
            return False
        key = (target.target_id, interrupted.incarnation)
        probe = self.probes.get(key)
        if probe is None:
            probe = asyncio.create_task(self.probe_end(target, interrupted.incarnation))
            self.probes[key] = probe
            probe.add_done_callback(lambda _: self.probes.pop(key, None))
        has_ended = await asyncio.shield(probe)
        if has_ended:
            self.log_target_end(interrupted)
        else:
            self.presumed_alive.append(interrupted)
        return has_ended

    def find_restarted(
        self, catalogue: Catalogue, now: Instant
    ) -> list[InterruptedRequest]:
        """Remove and return the requests whose targets have restarted since."""
        oldest = now - RESTART_VISIBLE_WITHIN
        while self.presumed_alive and self.presumed_alive[0].at < oldest:
            self.presumed_alive.popleft()
        restarted = [
            request
            for request in self.presumed_alive
            if is_restart_listed(request, catalogue)
        ]
        for interrupted in restarted:
            self.presumed_alive.remove(interrupted)
            self.log_target_end(interrupted)
        return restarted

    async def probe_end(self, target: Target, incarnation: int) -> bool:
        """Probe a target and return whether an incarnation of it has ended."""
        await asyncio.sleep(PROBE_DELAY_S)
        has_ended = not await self.is_alive(target, incarnation)
        if has_ended:
            self.record_end(target.pool)
        return has_ended

    def log_target_end(self, interrupted: InterruptedRequest) -> None:
        """Log that a target ended while it had a request."""
        log.warning(
            "target ended",
            extra={
                "request": interrupted.request_id,
                "content": interrupted.content,
                "target": interrupted.target.target_id,
                "incarnation": interrupted.incarnation,
                "ran_s": round(interrupted.ran_s, 4),
                "parts": interrupted.parts,
                "had_event": interrupted.had_event,
            },
        )


def is_restart_listed(interrupted: InterruptedRequest, catalogue: Catalogue) -> bool:
    """Return whether the catalogue lists a later start of a target.

    Another target of its pool at its address counts as one, too.
    """
    target = interrupted.target
    listed = catalogue.targets.get(target.target_id)
    if listed is not None:
        return (
            interrupted.incarnation < listed.incarnation and interrupted.incarnation > 0
        )
    return any(
        other.target.address == target.address and other.target.pool == target.pool
        for other in catalogue.targets.values()
    )
