"""The request that a connection to a target is opened or taken for."""

from collections.abc import Callable
from contextvars import ContextVar
from dataclasses import dataclass

from sardinequay_core.names import TargetId


@dataclass(frozen=True, slots=True)
class PendingSend:
    """A request whose bytes have not left yet.

    Parameters
    ----------
    confirm : callable
        Called right before the bytes leave. Raises `TargetError` if the target must not
        get the request any more.
    """

    request_id: str
    target: TargetId
    confirm: Callable[[], None]


pending_send: ContextVar[PendingSend | None] = ContextVar("pending_send", default=None)
"""Set for the task that sends a request; None for a connection without one."""
