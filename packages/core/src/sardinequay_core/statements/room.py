"""Room at a brittle target: how many requests all hosts together may have there.

Load pattern: a target that ends when it turns too many requests away has a few slots,
and less room to wait than it has told anybody. What it turns away shows too late that
it is full, and what falls on the others when it ends fills these. So one host lets no
more requests go there than it has slots, and fewer once any wait or are turned away.

The room grows and shrinks as the window of TCP congestion control does: by one for each
answer at first, after a sign of congestion by one for as many answers as it holds.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import ZERO, Instant, seconds

FIRST_ROOM = 1.0
"""Room at a target of which this issuer knows nothing yet: another one may have let
requests go there, or the target has just started."""

SHRINK_INTERVAL = seconds(0.2)
"""Interval between two steps by which the room shrinks while requests wait: the answers
of one moment all tell of the same queue."""

WAITING_FACTOR = 0.75
REJECTED_FACTOR = 0.5
"""Factors of the room when requests wait at the target, and when it turns one away."""

REJECTED_PAUSE = seconds(1)
"""Time without further requests once a target has turned away half of what it can: what
is on its way may be turned away, too."""

ABANDONED_HOLD = seconds(0.5)
"""How long a request still counts that its host has given up: the target may go on."""

FIRST_TYPICAL = seconds(0.05)
TYPICAL_DECAY = 0.9
"""Time of a request at the target that is assumed at first, and the weight of the old
mean at each further one."""

MIN_TIME_SHARE = 0.5
"""Share of a request's typical time at the target that one must have left to get room:
with less it would only take room from others that can be answered."""


@dataclass(frozen=True, slots=True)
class RoomReport:
    """What the end of a request showed of the room at its target.

    Parameters
    ----------
    is_rejected : bool
        Whether the target turned it away for want of room.
    is_abandoned : bool
        Whether it was given up before the target had answered.
    waiting : int
        Requests that waited at the target, as its answer states; 0 if unknown.
    """

    is_rejected: bool = False
    is_abandoned: bool = False
    waiting: int = 0


@dataclass(slots=True)
class HeldRoom:
    """A request's room at a target: since when, and until when at the latest."""

    since: Instant
    until: Instant


@dataclass(slots=True)
class TargetRoom:
    """The room at one target, as the one host that gives it out knows it.

    Parameters
    ----------
    slots : int
        Requests that the target runs at once.
    max_rejections_per_s : float
        Requests that it can turn away in a second.
    room : float
        Requests that all hosts together may have there now.
    is_growing_fast : bool
        Whether no sign of congestion was seen yet.
    """

    slots: int
    max_rejections_per_s: float
    room: float = FIRST_ROOM
    is_growing_fast: bool = True
    held: dict[str, HeldRoom] = field(default_factory=dict)
    rejected_at: deque[Instant] = field(default_factory=deque)
    paused_until: Instant = ZERO
    shrunk_at: Instant = ZERO
    last_asked_at: Instant = ZERO
    typical: timedelta = FIRST_TYPICAL

    def take(self, permit: str, lasts: timedelta, now: Instant) -> bool:
        """Take room for a request, for so long at most; return whether there was any.

        A permit that is asked for again keeps its room.
        """
        self.last_asked_at = now
        self.expire(now)
        if permit in self.held:
            return True
        # An idle target gets even a late one: else nothing would show that it is fast.
        if self.held and lasts < self.typical * MIN_TIME_SHARE:
            return False
        if now < self.paused_until or len(self.held) >= max(1, int(self.room)):
            return False
        self.held[permit] = HeldRoom(now, now + lasts)
        return True

    def free_in(self, now: Instant) -> timedelta:
        """Return the expected time until there is room."""
        turn = self.typical / max(1.0, self.room)
        return max(turn, self.paused_until - now)

    def give_back(self, permit: str, report: RoomReport, now: Instant) -> None:
        """Give room back, and learn from how its request ended."""
        held = self.held.get(permit)
        if held is None:
            return
        if report.is_abandoned:
            held.until = min(held.until, now + ABANDONED_HOLD)
            return
        del self.held[permit]
        if report.is_rejected:
            self.record_rejection(now)
            return
        self.typical = self.typical * TYPICAL_DECAY + (now - held.since) * (
            1 - TYPICAL_DECAY
        )
        if report.waiting:
            self.shrink(WAITING_FACTOR, now)
        else:
            self.grow()

    def record_rejection(self, now: Instant) -> None:
        """Shrink the room, and pause before the target turns too many away."""
        self.rejected_at.append(now)
        while self.rejected_at[0] <= now - seconds(1):
            self.rejected_at.popleft()
        self.shrink(REJECTED_FACTOR, now)
        if len(self.rejected_at) >= self.max_rejections_per_s / 2:
            self.paused_until = now + REJECTED_PAUSE

    def shrink(self, factor: float, now: Instant) -> None:
        """Shrink the room, once for all signs of one moment."""
        self.is_growing_fast = False
        if now - self.shrunk_at < SHRINK_INTERVAL:
            return
        self.shrunk_at = now
        self.room = max(1.0, min(self.room, len(self.held) + 1) * factor)

    def grow(self) -> None:
        """Let the room grow by an answer, up to the target's slots."""
        step = 1.0 if self.is_growing_fast else 1.0 / self.room
        self.room = min(float(max(1, self.slots)), self.room + step)

    def expire(self, now: Instant) -> None:
        """Drop the room of requests whose time is over: their hosts may be gone."""
        for permit, held in tuple(self.held.items()):
            if held.until <= now:
                del self.held[permit]
