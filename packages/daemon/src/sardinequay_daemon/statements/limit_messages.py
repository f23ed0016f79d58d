"""Messages between hosts about the rate limits of targets.

Times are sent as ages and durations in seconds.
"""

from dataclasses import dataclass

from sardinequay_core.names import HostId, TargetId

from ..wire import register_messages


@dataclass(frozen=True, slots=True)
class LimitNews:
    """What a target last stated about its rate limit, as the sender knows it.

    Parameters
    ----------
    rate_per_s : float or None
        Requests a second from all hosts together; None if it stated no limit.
    incarnation : int
        Start of the target's process, in Unix milliseconds.
    age_s : float
        Time since the answer that stated it, in seconds.
    """

    target: TargetId
    rate_per_s: float | None
    incarnation: int
    age_s: float


@dataclass(frozen=True, slots=True)
class AskToSend:
    """Requests a permit to send one request to a limited target.

    Parameters
    ----------
    host_id : HostId
        The host that asks.
    max_wait_s : float or None
        How long the request can wait for this target, in seconds; None if another
        target can serve it.
    news : LimitNews
        What the sender knows of the limit.
    """

    host_id: HostId
    max_wait_s: float | None
    news: LimitNews


@dataclass(frozen=True, slots=True)
class SendReply:
    """Reply to `AskToSend`.

    Parameters
    ----------
    start_in_s : float or None
        Time until the request may be sent, in seconds; None without a permit.
    free_in_s : float
        Time until a request that can wait would get a permit, in seconds.
    ask_in_s : float
        Time after which to ask again for a request that cannot wait, in seconds.
    news : LimitNews or None
        What the issuer knows of the limit.
    """

    start_in_s: float | None
    free_in_s: float = 0.0
    ask_in_s: float = 0.0
    news: LimitNews | None = None


register_messages((AskToSend, SendReply))
