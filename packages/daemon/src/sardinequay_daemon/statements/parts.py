"""The parts of a host that record what targets state, and keep to it."""

import asyncio
from collections.abc import Callable
from dataclasses import replace

from sardinequay_core.clock import Clock
from sardinequay_core.names import HostId

from ..fleet_task import FleetTask
from ..peers import PeerClient, PeerServer
from ..relay_state import RelayState
from ..serving_metrics import ServingMetrics
from ..serving_ports import ControlAnswer, EngineOrders
from ..unforeseen import ANSWER_KIND, DIGEST_KIND, subscribe_contained
from .limit_messages import AskToSend
from .permit_issuer import PermitIssuer
from .permit_request import PermitRequest
from .recorders import StatementRecorders
from .room_client import RoomClient, RoomPermit
from .room_issuer import RoomIssuer
from .room_messages import AskRoom, RoomBack
from .target_limiter import TargetLimiter


class StatementParts:
    """Creates and connects the parts.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        me: HostId,
        state: RelayState,
        fleet: FleetTask,
        peers: PeerClient,
        clock: Clock,
        draw: Callable[[], float],
        metrics: ServingMetrics,
    ) -> None:
        def announce_change() -> None:
            fleet.request_update(far=True)

        def handle_leaving() -> None:
            announce_change()
            if state.orders is not None:
                state.orders.handle_leaving()

        self.clock = clock
        self.state = state
        self.recorders = StatementRecorders(
            state.statements, clock, metrics, announce_change, handle_leaving
        )
        limits = self.recorders.limits
        rejection_limits = self.recorders.rejection_limits
        self.permit_issuer = PermitIssuer(
            limits, clock, state.fleet_size.live_fraction, draw
        )
        self.room_issuer = RoomIssuer(rejection_limits, clock)
        self.metrics = metrics
        self.limiter = TargetLimiter(
            me, limits, self.permit_issuer, fleet, peers, clock, metrics
        )
        self.rooms = RoomClient(
            me, rejection_limits, self.room_issuer, fleet, peers, clock, metrics
        )

    def subscribe(
        self, fleet: FleetTask, server: PeerServer, engines: EngineOrders
    ) -> None:
        """Hear of targets' statements, and answer peers that ask."""
        subscribe_contained(
            engines.answers, self.record_control_answer, self.metrics, ANSWER_KIND
        )
        subscribe_contained(
            fleet.digests, self.recorders.apply_digest, self.metrics, DIGEST_KIND
        )
        server.register(AskToSend, self.permit_issuer.handle_ask)
        server.register(AskRoom, self.room_issuer.handle_ask)
        server.register(RoomBack, self.room_issuer.handle_back)

    def record_control_answer(self, answer: ControlAnswer) -> None:
        """Apply what the answer to a status query or an order states."""
        published = self.state.catalogue.targets.get(answer.target)
        if published is not None:
            self.recorders.record_refusals(published, answer.facts, answer.status)

    async def permit_send(self, request: PermitRequest) -> RoomPermit | None:
        """Wait for the end of a target's backoff, and for the permits to send to it.

        Returns
        -------
        RoomPermit or None
            To be released at the request's end; None if it may not be sent there, or
            if the target begins to leave.
        """
        permit = self.wait_for_permits(request)
        if request.max_wait is None:
            return await permit
        waiting = asyncio.create_task(permit)
        begins_to_leave = asyncio.create_task(
            self.recorders.leaving.wait_for(request.target)
        )
        tasks = (waiting, begins_to_leave)
        try:
            await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
            return waiting.result() if waiting.done() else None
        finally:
            for task in tasks:
                task.cancel()

    async def wait_for_permits(self, request: PermitRequest) -> RoomPermit | None:
        """Wait for the end of a backoff, then for a permit, then for room."""
        now, max_wait = self.clock.monotonic(), request.max_wait
        wait = self.state.statements.backoff_wait(request.target, now)
        if wait:
            if max_wait is None or wait > max_wait:
                return None
            await asyncio.sleep(wait.total_seconds())
            request = replace(request, max_wait=max_wait - wait)
        if not await self.limiter.may_send(request):
            return None
        return await self.rooms.acquire(request)

    def expire(self) -> None:
        """Drop what nobody needs any more."""
        self.recorders.expire()
        self.permit_issuer.expire()
        self.room_issuer.expire()
