"""When a target's answer was read, and whether the target ended it while it was not."""

from dataclasses import dataclass

from ..clock import Instant, seconds

UNREAD_PAUSE = seconds(1)
"""A pause of reading after which a target may end its answer as unread. Shorter ones
occur with every caller that is slower than its target."""

CATCH_UP = seconds(1)
"""Time of reading in which a host takes what was on its way when a pause ended. An end
that was on its way, too, is seen within it."""


@dataclass(slots=True)
class AnswerReading:
    """The pauses in which a host did not read an answer, as its caller took none of it.

    Parameters
    ----------
    paused_at : timedelta or None
        When reading paused; None while the host reads.
    caught_up_at : timedelta or None
        When the host has read what came in its last long pause, unless reading pauses
        before; None before the first long pause.
    has_ended : bool
        Whether the target has ended the connection.
    ended_unread : bool
        Whether it did so before the host had caught up.
    """

    paused_at: Instant | None = None
    caught_up_at: Instant | None = None
    has_ended: bool = False
    ended_unread: bool = False

    def pause(self, now: Instant) -> None:
        """Record that the host reads no further."""
        if self.paused_at is None:
            self.paused_at = now

    def resume(self, now: Instant) -> None:
        """Record that the host reads on, if it had paused."""
        if self.paused_at is None:
            return
        paused_at, self.paused_at = self.paused_at, None
        if now - paused_at >= UNREAD_PAUSE:
            self.caught_up_at = now + CATCH_UP
        elif self.is_behind(paused_at):
            assert self.caught_up_at is not None
            self.caught_up_at += now - paused_at

    def end(self, now: Instant) -> None:
        """Record that the target has ended the connection, the first time."""
        if self.has_ended:
            return
        self.has_ended = True
        self.resume(now)
        self.ended_unread = self.is_behind(now)

    def is_behind(self, now: Instant) -> bool:
        """Return whether the host still reads what came in a long pause."""
        return self.caught_up_at is not None and now < self.caught_up_at
