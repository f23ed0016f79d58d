"""Gives out the room at some brittle targets, for all hosts."""

import asyncio

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.room import TargetRoom

from ..serving_messages import Noted
from .limit_recorder import LimitRecorder
from .room_messages import AskRoom, RoomBack, RoomReply

ROOM_RETENTION = seconds(60)
"""How long the room at a target is kept that no host asks for."""

POLL_S = 0.02
"""Interval at which a waiting request looks for room that time alone has made, in
seconds: a pause that is over, or the room of a host that vanished."""


class RoomIssuer:
    """Owns the room at the targets whose room this host gives out."""

    def __init__(self, recorder: LimitRecorder, clock: Clock) -> None:
        self.recorder = recorder
        self.limits = recorder.limits
        self.clock = clock
        self.rooms: dict[TargetId, TargetRoom] = {}
        self.given_back: dict[TargetId, asyncio.Condition] = {}

    async def handle_ask(self, message: AskRoom) -> RoomReply:
        """Reply to a host that asks for room, at once or when there is some."""
        self.recorder.apply_report(message.news, message.host_id)
        return await self.issue(message)

    async def issue(self, message: AskRoom) -> RoomReply:
        """Grant room, waiting for it as long as the request can."""
        target, started_at = message.news.target, self.clock.monotonic()
        max_wait = seconds(message.max_wait_s)
        while True:
            now = self.clock.monotonic()
            limit = self.limits.rate_of(target, now)
            if limit is None:
                return RoomReply(True)
            room = self.room_at(message, limit)
            waited = now - started_at
            if room.take(message.permit, seconds(message.lasts_s) - waited, now):
                return RoomReply(True)
            left = max_wait - waited
            if left <= seconds(0):
                return RoomReply(False, room.free_in(now).total_seconds())
            await self.wait_for_room(target, min(POLL_S, left.total_seconds()))

    def room_at(self, message: AskRoom, limit: float) -> TargetRoom:
        """Return the room at a target by what is known of it now."""
        target = message.news.target
        room = self.rooms.get(target)
        if room is None:
            room = self.rooms[target] = TargetRoom(message.slots, limit)
        room.slots, room.max_rejections_per_s = message.slots, limit
        return room

    async def wait_for_room(self, target: TargetId, timeout_s: float) -> None:
        """Wait until room at a target is given back, first come, first served."""
        condition = self.given_back.setdefault(target, asyncio.Condition())
        try:
            async with asyncio.timeout(timeout_s), condition:
                await condition.wait()
        except TimeoutError:
            return

    async def handle_back(self, message: RoomBack) -> Noted:
        """Take room back."""
        room = self.rooms.get(message.target)
        if room is not None:
            room.give_back(message.permit, message.report, self.clock.monotonic())
        condition = self.given_back.get(message.target)
        if condition is not None:
            async with condition:
                condition.notify(1)
        return Noted()

    def expire(self) -> None:
        """Drop the room at targets that are not brittle any more or not asked for."""
        now = self.clock.monotonic()
        for target, room in tuple(self.rooms.items()):
            if self.is_needed(target, room, now):
                continue
            del self.rooms[target]
            self.given_back.pop(target, None)

    def is_needed(self, target: TargetId, room: TargetRoom, now: Instant) -> bool:
        """Return whether hosts ask for the room at a target."""
        is_unused = now - room.last_asked_at > ROOM_RETENTION
        return not is_unused and self.limits.rate_of(target, now) is not None
