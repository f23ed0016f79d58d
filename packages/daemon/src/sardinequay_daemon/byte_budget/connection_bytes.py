"""What one caller's connection holds in memory, and since when without progress."""

import asyncio
import fcntl
import struct
import termios
from typing import Protocol

from sardinequay_core.byte_budget import Holding
from sardinequay_core.clock import Instant, seconds

SLOW_CALLER_MARGIN = seconds(1)
"""How long after the end of a request's time its caller may still take the answer."""


class UnreadAnswer(Protocol):
    """A target's answer that is passed on."""

    def held_bytes(self) -> int:
        """Return how many bytes came from the target and were not passed on."""

    def is_open(self) -> bool:
        """Return whether the target has not sent all of the answer."""


class ConnectionBytes:
    """The bytes of one connection's request and answer.

    Attributes
    ----------
    request_id : str
        The request in flight or the last one; empty before its head is read.
    body_timer : Timeout or None
        Ends the wait for the request's body; None while none comes.
    body_bytes : int
        Bytes that came of that body.
    written_bytes : int
        Bytes of answers that were written to the connection.
    answer : UnreadAnswer or None
        The target's answer while it is passed on.
    deadline : timedelta or None
        End of the time of the request in flight; None while there is none.
    is_cut : bool
        Whether the connection, or the body that comes on it, is given up.
    progress : tuple of int
        Bytes that had come of a body, that the caller had taken of answers, and that
        had come otherwise, when last sampled.
    progress_at : timedelta
        When either last changed, or nothing was waited for.
    """

    def __init__(self, now: Instant) -> None:
        self.request_id = ""
        self.body_timer: asyncio.Timeout | None = None
        self.body_bytes = 0
        self.written_bytes = 0
        self.answer: UnreadAnswer | None = None
        self.is_cut = False
        self.deadline: Instant | None = None
        self.progress = (0, 0, 0)
        self.progress_at = now

    def sample(
        self,
        transport: asyncio.Transport,
        number: int,
        now: Instant,
        input_bytes: int = 0,
    ) -> Holding:
        """Return what the connection holds now; call it periodically.

        Parameters
        ----------
        input_bytes : int
            Bytes that have come, and that no handler has been given.
        """
        unsent_bytes = transport.get_write_buffer_size()
        unread_bytes = self.answer.held_bytes() if self.answer is not None else 0
        held_bytes = unsent_bytes + unread_bytes + self.body_bytes + input_bytes
        waiting_bytes = unsent_bytes + unacknowledged_bytes(transport, unsent_bytes)
        taken_bytes = self.written_bytes - waiting_bytes
        progress = (self.body_bytes, taken_bytes, input_bytes)
        is_waiting = unsent_bytes > 0 or self.body_timer is not None or input_bytes > 0
        if progress != self.progress or not is_waiting:
            self.progress = progress
            self.progress_at = now
        answer = self.answer
        keeps_target = unsent_bytes > 0 and answer is not None and answer.is_open()
        stalled_for = now - self.progress_at
        is_overdue = unsent_bytes > 0 and self.is_past_deadline(now)
        return Holding(number, held_bytes, stalled_for, keeps_target, is_overdue)

    def begin_request(self, now: Instant) -> None:
        """Count the time without progress from now: it was not sampled while idle."""
        self.progress_at = now

    def is_past_deadline(self, now: Instant) -> bool:
        """Return whether a request in flight should have ended."""
        return self.deadline is not None and now > self.deadline + SLOW_CALLER_MARGIN

    def begin_body(self, timer: asyncio.Timeout) -> None:
        """Record that a body begins to come."""
        self.body_timer = timer

    def end_body(self) -> None:
        """Record that a body is complete or given up."""
        self.body_timer = None
        self.body_bytes = 0
        self.is_cut = False

    def give_up_body(self) -> None:
        """End the wait for the request's body."""
        if self.body_timer is not None:
            self.body_timer.reschedule(asyncio.get_running_loop().time())


def unread_bytes(transport: asyncio.Transport) -> int:
    """Return how many bytes the kernel has received for a connection, and holds."""
    return queued_bytes(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport, unsent_bytes: int) -> int:
    """Return how many bytes the kernel holds that the caller has not taken.

    The kernel takes more from a host in large steps only. These bytes tell between two
    steps whether a caller reads.
    """
    return queued_bytes(transport, termios.TIOCOUTQ) if unsent_bytes else 0


def queued_bytes(transport: asyncio.Transport, queue: int) -> int:
    """Return the bytes in a queue of a connection's socket; 0 if that is not known.

    Parameters
    ----------
    queue : int
        The request to the kernel that names the queue.
    """
    sock = transport.get_extra_info("socket")
    if sock is None:
        return 0
    try:
        size = fcntl.ioctl(sock.fileno(), queue, struct.pack("i", 0))
    except OSError:
        # Just closed, or no socket of the kernel.
        return 0
    return int(struct.unpack("i", size)[0])
