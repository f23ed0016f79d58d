"""Finds out whether a target at which a request's connection broke has ended.

Connections also break where a target gives up one answer, or a link is harmed. A target
whose process has ended takes no new connection until it is started again.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.names import Address, ContentId, TargetId
from sardinequay_core.roster import Presence

from .serving_metrics import ServingMetrics

ASK_AFTER_S = 0.02
"""A process that ends closes its connections and its listener one after the other."""

Accepts = Callable[[Address], Awaitable[bool]]
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request whose connection to a target broke.

    Parameters
    ----------
    published : PublishedTarget
        The target as it was when the request was sent.
    ran_s : float
        For how long the request had been there, in seconds.
    """

    request_id: str
    content: ContentId
    published: PublishedTarget
    ran_s: float


class EndWatch:
    """Asks targets for a connection after requests broke there, once for all of them.

    Parameters
    ----------
    accepts : callable
        Returns whether something takes connections at an address.
    catalogue : callable
        Returns what the store publishes now.
    """

    def __init__(
        self,
        accepts: Accepts,
        catalogue: Callable[[], Catalogue],
        metrics: ServingMetrics,
    ) -> None:
        self.accepts = accepts
        self.catalogue = catalogue
        self.metrics = metrics
        self.asking: dict[tuple[TargetId, int], asyncio.Task[bool]] = {}

    async def ended_under(self, broken: BrokenRequest) -> bool:
        """Return whether a target ended, unplanned, while it had a request."""
        published = broken.published
        if not self.is_live(published):
            return False
        key = (published.target.target_id, published.incarnation)
        asking = self.asking.get(key)
        if asking is None:
            asking = asyncio.create_task(self.ask(published))
            self.asking[key] = asking
            asking.add_done_callback(lambda _: self.asking.pop(key, None))
        has_ended = await asyncio.shield(asking)
        if has_ended:
            self.note(broken)
        return has_ended

    def is_live(self, published: PublishedTarget) -> bool:
        """Return whether a target is listed and not about to leave.

        One that leaves may end while it has requests; none of them is at fault.
        """
        listed = self.catalogue().targets.get(published.target.target_id)
        return listed is not None and listed.target.presence is Presence.LIVE

    async def ask(self, published: PublishedTarget) -> bool:
        """Return whether a target takes no connection any more."""
        await asyncio.sleep(ASK_AFTER_S)
        has_ended = not await self.accepts(published.target.address)
        if has_ended:
            self.metrics.target_ends.inc({"pool": published.target.pool})
        return has_ended

    def note(self, broken: BrokenRequest) -> None:
        """Log that a target ended under a request."""
        log.warning(
            "target ended",
            extra={
                "request": broken.request_id,
                "content": broken.content,
                "target": broken.published.target.target_id,
                "incarnation": broken.published.incarnation,
                "ran_s": round(broken.ran_s, 4),
            },
        )
