"""Messages between hosts about the paths from them to targets."""

from dataclasses import dataclass
from enum import Enum

from sardinequay_core.names import HostId, TargetId

from .wire import register_messages

NO_TARGET = TargetId("")


@dataclass(frozen=True, slots=True)
class OpenTunnel:
    """Requests a connection to a target through the receiver.

    Parameters
    ----------
    host_id : HostId
        The host that asks.
    address : str
        Where the target listens.
    request_id : str
        The request that is to be sent, for the log.
    target : TargetId
        The target that is to get the request; empty if none is to be sent.
    """

    host_id: HostId
    address: str
    request_id: str = ""
    target: TargetId = NO_TARGET


@dataclass(frozen=True, slots=True)
class TunnelReply:
    """Reply to `OpenTunnel`: whether the connection is open, else why not.

    Parameters
    ----------
    is_unreached : bool
        Whether the target accepted no connection.
    """

    is_open: bool
    detail: str = ""
    is_unreached: bool = False


@dataclass(frozen=True, slots=True)
class AskAlive:
    """Asks whether an incarnation of a target still runs, as the receiver sees it."""

    target: TargetId
    incarnation: int


class Verdict(Enum):
    """What a host can say of a target that another host cannot reach.

    UNSURE means that the host reaches no other target either, or does not know it.
    """

    ALIVE = "alive"
    ENDED = "ended"
    UNSURE = "unsure"


@dataclass(frozen=True, slots=True)
class AliveReply:
    """Reply to `AskAlive`."""

    verdict: Verdict


register_messages((AliveReply, AskAlive, OpenTunnel, TunnelReply))
