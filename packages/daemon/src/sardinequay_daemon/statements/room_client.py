"""Asks for room at brittle targets, and gives it back.

For each brittle target one host, the same on all hosts, gives out its room. In a large
fleet it is one of the hubs. While that host does not answer, nothing is sent there.
"""

import asyncio
import itertools
import logging
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import ZERO, Clock, seconds
from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.rendezvous import first_member
from sardinequay_core.statements.limits import PermitOutlook
from sardinequay_core.statements.room import RoomReport

from ..peers import PeerClient
from ..serving_metrics import ServingMetrics
from .limit_recorder import LimitRecorder
from .room_issuer import RoomIssuer
from .room_messages import AskRoom, RoomBack, RoomReply

REPLY_SLACK_S = 0.1
"""Time that a reply may take beyond the wait for room, in seconds."""

NO_ISSUER_PAUSE = seconds(0.3)
"""How long a target is left out after its issuer did not answer: others are live, or
take over within about a second."""

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


class RoomPeers(Protocol):
    """What asking for room needs of the fleet."""

    def known_to_all(self) -> list[HostId]:
        """Return live hosts that all hosts know."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a host, if known."""


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
        fleet: RoomPeers,
        peers: PeerClient,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.me = me
        self.recorder = recorder
        self.limits = recorder.limits
        self.issuer = issuer
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.numbers = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    async def acquire(
        self,
        request_id: str,
        published: PublishedTarget,
        max_wait: timedelta | None,
        lasts: timedelta,
    ) -> RoomPermit | None:
        """Wait for room for a request at a target; return None if there is none.

        Parameters
        ----------
        max_wait : timedelta or None
            How long the request can wait for this target; None if others can serve it.
        lasts : timedelta
            Time after which the request has ended in any case.
        """
        target = published.target.target_id
        now = self.clock.monotonic()
        news = self.recorder.news_of(target)
        if news is None or self.limits.rate_of(target, now) is None:
            return RoomPermit(target)
        issuer = HostId(first_member(f"room {target}", self.fleet.known_to_all()))
        permit = RoomPermit(target, f"{self.me}/{next(self.numbers)}", issuer)
        max_wait_s = max(ZERO, max_wait or ZERO).total_seconds()
        message = AskRoom(
            self.me,
            permit.name,
            published.slots,
            max_wait_s,
            max(ZERO, lasts).total_seconds(),
            news,
        )
        try:
            reply = await self.ask(issuer, message)
        except asyncio.CancelledError:
            self.release(permit, UNUSED, max_wait_s + REPLY_SLACK_S)
            raise
        self.log_reply(request_id, permit, reply)
        if reply is not None and reply.is_granted:
            self.limits.outlooks.pop(target, None)
            return permit
        if reply is None:
            self.release(permit, UNUSED, max_wait_s)
        self.record_denial(target, reply)
        return None

    async def ask(self, issuer: HostId, message: AskRoom) -> RoomReply | None:
        """Ask an issuer for room; return None if it does not answer."""
        if issuer == self.me:
            return await self.issuer.issue(message)
        address = self.fleet.address_of(issuer)
        if address is None:
            return None
        timeout_s = message.max_wait_s + REPLY_SLACK_S
        answer = await self.peers.call(address, message, timeout_s)
        reply = answer.value_or(None)
        return reply if isinstance(reply, RoomReply) else None

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
        task = asyncio.create_task(
            self.give_back(permit.issuer, permit, report, after_s)
        )
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def give_back(
        self, issuer: HostId, permit: RoomPermit, report: RoomReport, after_s: float
    ) -> None:
        """Give room back to its issuer, after some time."""
        await asyncio.sleep(after_s)
        message = RoomBack(permit.target, permit.name, report)
        if issuer == self.me:
            await self.issuer.handle_back(message)
            return
        address = self.fleet.address_of(issuer)
        if address is not None:
            await self.peers.call(address, message)

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
