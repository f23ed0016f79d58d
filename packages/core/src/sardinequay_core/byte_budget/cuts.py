"""Choice of the connections to cut, so that what they hold stays within a budget."""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from ..clock import seconds

NEXT_TO_NOTHING_BYTES = 16_384
"""A connection that holds no more than this is not cut: it would free nothing."""

MAX_STALL = seconds(15)
"""How long a caller may take nothing of an answer while its target waits to send more.
A caller that reads a few kilobytes a second acknowledges them in steps of 64 KB."""


class CutReason(Enum):
    """Why a connection is cut."""

    BUDGET = "over budget"
    STALLED = "not passed on"
    OVERDUE = "time over"


@dataclass(frozen=True, slots=True)
class Holding:
    """The bytes that one connection holds.

    Parameters
    ----------
    connection : int
        Number of the connection, unique among the holdings.
    held_bytes : int
        Bytes of a body that is not complete, of an answer that is not passed on, and
        of one that its caller has not taken.
    stalled_for : timedelta
        Time without progress: nothing came of the body, or nothing was taken of the
        answer.
    keeps_target : bool
        Whether a target cannot send the rest of the answer until this is taken.
    is_overdue : bool
        Whether the request's time is over, and the caller has not taken the answer.
    """

    connection: int
    held_bytes: int
    stalled_for: timedelta
    keeps_target: bool = False
    is_overdue: bool = False

    @property
    def cost_byte_s(self) -> float:
        """Return the bytes held, times the time without progress."""
        return self.held_bytes * self.stalled_for.total_seconds()


@dataclass(frozen=True, slots=True)
class Cut:
    """A connection to cut, and why."""

    holding: Holding
    reason: CutReason


def choose_cuts(
    holdings: Iterable[Holding], budget_bytes: int, max_stall: timedelta = MAX_STALL
) -> tuple[Cut, ...]:
    """Return the connections to cut.

    Those that are overdue or hold a target up for `max_stall` are cut anyway. While the
    others exceed the budget, the one that costs most is cut: large ones that have made
    no progress for long come first, then large ones.

    Parameters
    ----------
    budget_bytes : int
        Bytes that all connections together may hold.
    max_stall : timedelta
        Time without progress for which a target may be held up.
    """
    kept: list[Holding] = []
    cuts: list[Cut] = []
    for holding in holdings:
        if holding.is_overdue:
            cuts.append(Cut(holding, CutReason.OVERDUE))
        elif holding.keeps_target and holding.stalled_for >= max_stall:
            cuts.append(Cut(holding, CutReason.STALLED))
        else:
            kept.append(holding)
    excess_bytes = sum(holding.held_bytes for holding in kept) - budget_bytes
    if excess_bytes <= 0:
        return tuple(cuts)
    kept.sort(key=lambda holding: (-holding.cost_byte_s, -holding.held_bytes))
    for holding in kept:
        if excess_bytes <= 0:
            break
        if holding.held_bytes > NEXT_TO_NOTHING_BYTES:
            excess_bytes -= holding.held_bytes
            cuts.append(Cut(holding, CutReason.BUDGET))
    return tuple(cuts)


def choose_bodies_to_give_up(
    stopped: Sequence[Holding], excess_bytes: int, left_bytes: int
) -> tuple[Cut, ...]:
    """Return the bodies to give up now for one that comes.

    None is given up if all of them would not make room for the whole of that body: it
    is refused anyway.

    Parameters
    ----------
    stopped : sequence of Holding
        Bodies of which nothing comes any more, without other bytes.
    excess_bytes : int
        Bytes by which all bodies exceed their room so far.
    left_bytes : int
        Bytes that are still to come of the body.
    """
    stopped_bytes = sum(holding.held_bytes for holding in stopped)
    needed_bytes = excess_bytes + left_bytes
    for_whole = choose_cuts(stopped, stopped_bytes - needed_bytes)
    if sum(cut.holding.held_bytes for cut in for_whole) < needed_bytes:
        return ()
    return choose_cuts(stopped, stopped_bytes - excess_bytes)
