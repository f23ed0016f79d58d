"""Records targets that leave, by their answers and by what peers tell."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from weakref import WeakValueDictionary

from returns.result import Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import HostId, TargetId
from sardinequay_core.statements.leaving import LeavingStatement, LeavingTargets

from ..serving_metrics import ServingMetrics
from ..serving_ports import AnswerFacts
from .invalid_log import InvalidStatementLog
from .messages import LeavingNews

log = logging.getLogger(__name__)


class LeavingRecorder:
    """Records which targets leave, and logs and shows it.

    Parameters
    ----------
    on_leaving : callable
        Called when a target has begun to leave.
    """

    def __init__(
        self,
        leaving: LeavingTargets,
        clock: Clock,
        metrics: ServingMetrics,
        on_leaving: Callable[[], None],
    ) -> None:
        self.leaving = leaving
        self.clock = clock
        self.metrics = metrics
        self.on_leaving = on_leaving
        self.invalid = InvalidStatementLog("target leaving invalid", clock)
        self.waiting: WeakValueDictionary[TargetId, asyncio.Event]
        self.waiting = WeakValueDictionary()

    def record_answer(
        self, published: PublishedTarget, facts: AnswerFacts, status: int
    ) -> None:
        """Apply what the head of a target's answer states."""
        target = published.target.target_id
        if not isinstance(facts.is_leaving, Success):
            self.invalid.record(target, facts.is_leaving.failure())
        elif facts.is_leaving.unwrap():
            stated = LeavingStatement(published.incarnation, self.clock.monotonic())
            self.record(target, stated, status=status, request_id=facts.request_id)

    def apply_reports(self, reports: Iterable[LeavingNews], peer: HostId) -> None:
        """Apply what a peer knows of leaving targets."""
        now = self.clock.monotonic()
        for news in reports:
            stated = LeavingStatement(news.incarnation, now - seconds(news.age_s))
            self.record(news.target, stated, peer=peer)

    def record(
        self,
        target: TargetId,
        stated: LeavingStatement,
        peer: str = "",
        status: int = 0,
        request_id: str = "",
    ) -> None:
        """Record a statement; log it and call `on_leaving` if it is the first."""
        if not self.leaving.record(target, stated):
            return
        age_s = (self.clock.monotonic() - stated.heard_at).total_seconds()
        extra = {
            "target": target,
            "incarnation": stated.incarnation,
            "peer": peer,
            "status": status,
            "request": request_id,
            "age_s": round(age_s, 3),
        }
        log.info("target leaving", extra=extra)
        event = self.waiting.pop(target, None)
        if event is not None:
            event.set()
        self.on_leaving()

    async def wait_for(self, target: TargetId) -> None:
        """Wait until a target begins to leave, for as long as that takes."""
        event = self.waiting.setdefault(target, asyncio.Event())
        await event.wait()

    def changed_since(self, number: int, limit: int) -> tuple[LeavingNews, ...]:
        """Return what peers should hear that changed after a change number."""
        changed = self.leaving.changes.since(number)[:limit]
        return tuple(self.news_of(target) for target in changed)

    def news_of(self, target: TargetId) -> LeavingNews:
        """Return what this host knows of a leaving target, for a message."""
        stated = self.leaving.statements[target]
        age_s = (self.clock.monotonic() - stated.heard_at).total_seconds()
        return LeavingNews(target, stated.incarnation, round(age_s, 3))

    def expire(self) -> None:
        """Update the gauge."""
        self.metrics.leaving_targets.set({}, len(self.leaving.statements))
        self.invalid.expire()
