"""Finds out whether a target at which a request's connection broke has ended.

Connections also break where a target gives up one answer, or a link is harmed. A target
whose process has ended takes no new connection until it is started again.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from sardinequay_core.names import Address, ContentId, PoolName, TargetId
from sardinequay_core.roster import Target

ASK_AFTER_S = 0.02
"""A process that ends closes its connections and its listener one after the other."""

Accepts = Callable[[Address], Awaitable[bool]]
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request whose connection to a target broke.

    Parameters
    ----------
    incarnation : int
        The target's start that had it, in Unix milliseconds; 0 if it does not say.
    ran_s : float
        For how long the request had been there, in seconds.
    """

    request_id: str
    content: ContentId
    target: Target
    incarnation: int
    ran_s: float


class EndWatch:
    """Asks targets for a connection after requests broke there, once for all of them.

    Parameters
    ----------
    accepts : callable
        Returns whether something takes connections at an address.
    is_live : callable
        Returns whether a target is listed and not about to leave. One that leaves may
        end while it has requests; none of them is at fault.
    note_end : callable
        Counts that a target of a pool ended.
    """

    def __init__(
        self,
        accepts: Accepts,
        is_live: Callable[[TargetId], bool],
        note_end: Callable[[PoolName], None],
    ) -> None:
        self.accepts = accepts
        self.is_live = is_live
        self.note_end = note_end
        self.asking: dict[tuple[TargetId, int], asyncio.Task[bool]] = {}

    async def ended_under(self, broken: BrokenRequest) -> bool:
        """Return whether a target ended, unplanned, while it had a request."""
        target = broken.target
        if not self.is_live(target.target_id):
            return False
        key = (target.target_id, broken.incarnation)
        asking = self.asking.get(key)
        if asking is None:
            asking = asyncio.create_task(self.ask(target))
            self.asking[key] = asking
            asking.add_done_callback(lambda _: self.asking.pop(key, None))
        has_ended = await asyncio.shield(asking)
        if has_ended:
            self.note(broken)
        return has_ended

    async def ask(self, target: Target) -> bool:
        """Return whether a target takes no connection any more."""
        await asyncio.sleep(ASK_AFTER_S)
        has_ended = not await self.accepts(target.address)
        if has_ended:
            self.note_end(target.pool)
        return has_ended

    def note(self, broken: BrokenRequest) -> None:
        """Log that a target ended under a request."""
        log.warning(
            "target ended",
            extra={
                "request": broken.request_id,
                "content": broken.content,
                "target": broken.target.target_id,
                "incarnation": broken.incarnation,
                "ran_s": round(broken.ran_s, 4),
            },
        )
