"""HTTP servers for callers that are not known to keep to any limit."""

from .connection import BoundedConnection, UnreadConnection
from .refused_callers import RefusedCallers
from .server import BoundedPages, BoundedServer, ListenerBounds
from .turns import InputTurns

__all__ = [
    "BoundedConnection",
    "BoundedPages",
    "BoundedServer",
    "InputTurns",
    "ListenerBounds",
    "RefusedCallers",
    "UnreadConnection",
]
