"""Shares the event loop among connections by what their input costs, not by its bytes.

Input in many small pieces costs far more time a byte than usual input. So each
connection is handled a slice at a time, and all together only for a share of each turn
of the event loop. Messages that have cost little go first.
"""

import asyncio
from collections import deque
from typing import Protocol

PIECES_A_SLICE = 64
"""Steps that are taken for one connection before others have their turn."""

PIECES_A_TURN = 512
"""Steps that are taken for all connections in one turn of the event loop: about a
millisecond."""

LIGHT_PIECES = 64
"""A message that took no more steps so far goes before those that took more."""


class InputSource(Protocol):
    """A connection with input to handle.

    Attributes
    ----------
    is_queued : bool
        Whether it waits for its turn.
    message_pieces : int
        Steps that its message has taken so far.
    has_input : bool
        Whether there is input that can be handled now.
    """

    is_queued: bool

    @property
    def message_pieces(self) -> int:
        """Return how many steps its message has taken so far."""

    @property
    def has_input(self) -> bool:
        """Return whether there is input that can be handled now."""

    def handle_input(self, max_pieces: int) -> int:
        """Handle some input; return how many steps that took."""


class InputTurns:
    """Lets connections handle their input in turns.

    Attributes
    ----------
    left_pieces : int
        Steps that may still be taken in this turn of the event loop.
    """

    def __init__(self) -> None:
        self.left_pieces = PIECES_A_TURN
        self.is_turn_due = False
        self.light: deque[InputSource] = deque()
        self.heavy: deque[InputSource] = deque()

    def offer(self, source: InputSource) -> None:
        """Handle a connection's input now if there is time, else in its turn."""
        if source.is_queued or not source.has_input:
            return
        if self.left_pieces > 0:
            self.run(source)
        else:
            self.enqueue(source)
        self.schedule_turn()

    def run(self, source: InputSource) -> None:
        """Handle a slice of a connection's input; the rest waits for its turn."""
        self.left_pieces -= max(1, source.handle_input(PIECES_A_SLICE))
        if source.has_input:
            self.enqueue(source)

    def enqueue(self, source: InputSource) -> None:
        """Let a connection wait for its turn."""
        source.is_queued = True
        is_light = source.message_pieces <= LIGHT_PIECES
        (self.light if is_light else self.heavy).append(source)

    def schedule_turn(self) -> None:
        """Let the next turn of the event loop begin with new time."""
        if not self.is_turn_due:
            self.is_turn_due = True
            asyncio.get_running_loop().call_soon(self.begin_turn)

    def begin_turn(self) -> None:
        """Handle what waits for half of the turn; the rest is for new input.

        At least one connection of each kind has its turn.
        """
        self.is_turn_due = False
        self.left_pieces = PIECES_A_TURN
        for queue in (self.light, self.heavy):
            for number in range(len(queue)):
                if number and self.left_pieces <= PIECES_A_TURN // 2:
                    break
                source = queue.popleft()
                source.is_queued = False
                self.run(source)
        if self.light or self.heavy:
            self.schedule_turn()
