"""Messages between hosts about the room at brittle targets."""

from dataclasses import dataclass

from sardinequay_core.names import HostId, TargetId
from sardinequay_core.statements.room import RoomReport

from ..wire import register_messages
from .limit_messages import LimitNews


@dataclass(frozen=True, slots=True)
class AskRoom:
    """Requests room for one request at a brittle target.

    Parameters
    ----------
    permit : str
        Names the room, unique in the fleet.
    slots : int
        Requests that the target runs at once.
    max_wait_s : float
        How long the request can wait for room, in seconds; 0 if others can serve it.
    lasts_s : float
        Time after which the request has ended in any case, in seconds.
    news : LimitNews
        What the sender knows of how much the target can turn away.
    """

    host_id: HostId
    permit: str
    slots: int
    max_wait_s: float
    lasts_s: float
    news: LimitNews


@dataclass(frozen=True, slots=True)
class RoomReply:
    """Reply to `AskRoom`: whether there is room, else when it is expected.

    Parameters
    ----------
    free_in_s : float
        Expected time until there is room, in seconds.
    """

    is_granted: bool
    free_in_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RoomBack:
    """Gives room back, with what the end of its request showed."""

    target: TargetId
    permit: str
    report: RoomReport


register_messages((AskRoom, RoomBack, RoomReply))
