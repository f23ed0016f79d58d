"""Asks for room at brittle targets, and gives it back.

While the issuer of a target's room does not answer, nothing is sent there.
"""

import asyncio
import itertools
import logging
from dataclasses import dataclass

from sardinequay_core.clock import ZERO, Clock, seconds
from sardinequay_core.names import HostId, TargetId
from sardinequay_core.statements.limits import PermitOutlook
from sardinequay_core.statements.room import RoomReport

from ..background_tasks import BackgroundTasks
from ..peers import PeerClient
from ..serving_messages import Noted
from ..serving_metrics import ServingMetrics
from .issuer_client import NO_ISSUER_PAUSE, IssuerClient, IssuerPeers
from .limit_recorder import LimitRecorder
from .permit_request import PermitRequest
from .room_issuer import RoomIssuer
from .room_messages import AskRoom, RoomBack, RoomReply

REPLY_SLACK_S = 0.1
"""Time that a reply may take beyond the wait for room, in seconds."""

MIN_OUTLOOK = seconds(0.02)
"""Least time for which a target without room is left out."""

UNUSED = RoomReport(is_abandoned=True)
"""Report of room that may have been granted, and that no request has used."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RoomPermit:
    """Room for one request at a target, from an issuer; none is needed without one."""

    target: TargetId
    name: str = ""
    issuer: HostId | None = None


class RoomClient:
    """Asks a brittle target's issuer, which may be this host, for room.

    Parameters
    ----------
    issuer : RoomIssuer
        Gives out the room of the targets that this host is the issuer of.
    """

    def __init__(
        self,
        me: HostId,
        recorder: LimitRecorder,
        issuer: RoomIssuer,
        fleet: IssuerPeers,
        peers: PeerClient,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.me = me
        self.issuers = IssuerClient(me, "room", fleet, peers)
        self.recorder = recorder
        self.limits = recorder.limits
        self.issuer = issuer
        self.clock = clock
        self.metrics = metrics
        self.numbers = itertools.count(1)
        self.tasks = BackgroundTasks("room permit")

    async def acquire(self, request: PermitRequest) -> RoomPermit | None:
        """Wait for room for a request at a target; return None if there is none."""
        target = request.target
        now = self.clock.monotonic()
        news = self.recorder.news_of(target)
        if news is None or self.limits.rate_of(target, now) is None:
            return RoomPermit(target)
        issuer = self.issuers.issuer_of(target)
        permit = RoomPermit(target, f"{self.me}/{next(self.numbers)}", issuer)
        message = AskRoom(
            self.me,
            permit.name,
            request.published.slots,
            request.max_wait_s,
            max(ZERO, request.lasts).total_seconds(),
            news,
        )
        try:
            reply = await self.ask(issuer, message)
        except asyncio.CancelledError:
            self.release(permit, UNUSED, request.max_wait_s + REPLY_SLACK_S)
            raise
        self.log_reply(request.request_id, permit, reply)
        if reply is not None and reply.is_granted:
            self.limits.outlooks.pop(target, None)
            return permit
        if reply is None:
            self.release(permit, UNUSED, request.max_wait_s)
        self.record_denial(target, reply)
        return None

    async def ask(self, issuer: HostId, message: AskRoom) -> RoomReply | None:
        """Ask an issuer for room; return None if it does not answer."""
        return await self.issuers.call(
            issuer,
            message,
            RoomReply,
            lambda: self.issuer.issue(message),
            message.max_wait_s + REPLY_SLACK_S,
        )

    def record_denial(self, target: TargetId, reply: RoomReply | None) -> None:
        """Record when there is room again, as far as is known."""
        now = self.clock.monotonic()
        free_in = NO_ISSUER_PAUSE
        if reply is not None:
            free_in = max(MIN_OUTLOOK, seconds(reply.free_in_s))
        until = now + free_in
        self.limits.record_outlook(target, PermitOutlook(until, until))

    def release(
        self, permit: RoomPermit, report: RoomReport, after_s: float = 0.0
    ) -> None:
        """Give room back, without waiting for that.

        Parameters
        ----------
        after_s : float
            Time for which the issuer may still grant the room, in seconds, if it has
            not replied.
        """
        if permit.issuer is None:
            return
        giving_back = self.give_back(permit.issuer, permit, report, after_s)
        self.tasks.start(giving_back, permit.target)

    async def give_back(
        self, issuer: HostId, permit: RoomPermit, report: RoomReport, after_s: float
    ) -> None:
        """Give room back to its issuer, after some time."""
        await asyncio.sleep(after_s)
        message = RoomBack(permit.target, permit.name, report)
        await self.issuers.call(
            issuer, message, Noted, lambda: self.issuer.handle_back(message)
        )

    def log_reply(
        self, request_id: str, permit: RoomPermit, reply: RoomReply | None
    ) -> None:
        """Log and count whether there was room."""
        result = "no issuer"
        if reply is not None:
            result = "granted" if reply.is_granted else "denied"
        self.metrics.room_permits.inc({"result": result})
        log.info(
            "room permit",
            extra={
                "request": request_id,
                "target": permit.target,
                "issuer": permit.issuer,
                "result": result,
                "free_in_s": round(reply.free_in_s, 3) if reply is not None else None,
            },
        )
