"""Finds out whether a target at which a request's connection broke has ended.

Connections also break where a target gives up one answer, or a link is harmed. So the
target is asked whether it lives (`target_probe`); and if it seemed to, a later start of
it that shows up in the store soon after tells that it had ended all the same.
"""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.names import ContentId, PoolName, TargetId
from sardinequay_core.roster import Target

PROBE_DELAY_S = 0.02
"""A process that ends closes its connections and its listener one after the other."""

RESTART_VISIBLE_WITHIN = seconds(4)
"""A target that starts again tells the store with its first entry, some heartbeats
after it ended. A later start has other reasons."""

MAX_PRESUMED_ALIVE = 256
"""Broken requests that are kept for that; the oldest go first."""

AliveCheck = Callable[[Target, int], Awaitable[bool]]
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class InterruptedRequest:
    """A request whose connection to a target broke.

    Parameters
    ----------
    incarnation : int
        The target's start that had it, in Unix milliseconds; 0 if it does not say.
    ran_s : float
        For how long the request had been there, in seconds.
    at : timedelta
        When the connection broke.
    """

    request_id: str
    content: ContentId
    target: Target
    incarnation: int
    ran_s: float
    at: Instant = field(default=ZERO, compare=False)


class TargetEndDetector:
    """Asks targets whether they live after requests broke there, once for all of them.

    Parameters
    ----------
    is_alive : callable
        Returns whether the start of a target that had a request still lives.
    is_live : callable
        Returns whether a target is listed and not about to leave. One that leaves may
        end while it has requests; none of them is at fault.
    record_end : callable
        Counts that a target of a pool ended.
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
        """Return whether a target ended, unplanned, while it had a request."""
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
        """Return requests whose targets had ended, by what the store lists now."""
        since = now - RESTART_VISIBLE_WITHIN
        while self.presumed_alive and self.presumed_alive[0].at < since:
            self.presumed_alive.popleft()
        shown = [b for b in self.presumed_alive if has_started_again(b, catalogue)]
        for interrupted in shown:
            self.presumed_alive.remove(interrupted)
            self.log_target_end(interrupted)
        return shown

    async def probe_end(self, target: Target, incarnation: int) -> bool:
        """Return whether a start of a target has ended."""
        await asyncio.sleep(PROBE_DELAY_S)
        has_ended = not await self.is_alive(target, incarnation)
        if has_ended:
            self.record_end(target.pool)
        return has_ended

    def log_target_end(self, interrupted: InterruptedRequest) -> None:
        """Log that a target ended under a request."""
        log.warning(
            "target ended",
            extra={
                "request": interrupted.request_id,
                "content": interrupted.content,
                "target": interrupted.target.target_id,
                "incarnation": interrupted.incarnation,
                "ran_s": round(interrupted.ran_s, 4),
            },
        )


def has_started_again(interrupted: InterruptedRequest, catalogue: Catalogue) -> bool:
    """Return whether a later start of a request's target is listed."""
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
