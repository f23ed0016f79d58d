"""An HTTP server with bounds on connections, and on what each may send."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from itertools import islice
from typing import Any
from weakref import WeakSet

from aiohttp import web

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.outcome import Refusal
from sardinequay_core.request_framing import FramingLimits
from sardinequay_core.serving import CallerLimits

from .connection import BoundedConnection, UnreadConnection
from .refused_callers import RefusedCallers
from .turns import InputTurns

OVERDUE_CHECK_S = 0.25
"""Period of the check for connections past their time limits, in seconds."""

MAX_EXAMINED = 16
"""Connections of which one is chosen to give way: a bound on what a new one costs."""

Handler = Callable[[Any], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class ListenerBounds:
    """What the servers of one listener share, and its bound on connections.

    Parameters
    ----------
    turns : InputTurns
        Shares the event loop among the connections of all listeners.
    refused : RefusedCallers
        Counts the callers of this listener that are refused.
    max_connections : int
        Connections open at once. Beyond it, the one that has waited longest for a
        whole request is closed, or the new one if there is none.
    """

    clock: Clock
    turns: InputTurns
    refused: RefusedCallers
    max_connections: int


class BoundedServer(web.Server):
    """HTTP server whose callers need not keep to any limit.

    Attributes
    ----------
    opening : WeakSet
        Connections that are accepted, but not set up yet.
    waiting : dict
        Connections without a request in flight; those that wait longest come first.
    """

    def __init__(
        self, handler: Handler, bounds: ListenerBounds, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.clock = bounds.clock
        self.turns = bounds.turns
        self.refused = bounds.refused
        self.max_connections = bounds.max_connections
        self.opening: WeakSet[BoundedConnection] = WeakSet()
        self.open_connections: set[BoundedConnection] = set()
        self.waiting: dict[BoundedConnection, None] = {}

    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests that are in force."""
        return CallerLimits()

    def framing_limits(self) -> FramingLimits:
        """Return the bounds on a caller's next message."""
        limits = self.limits()
        return FramingLimits(limits.max_header_bytes, limits.max_body_bytes)

    def make_refusal(self, refusal: Refusal) -> web.Response:
        """Return the answer to a request that no handler sees."""
        return web.Response(status=refusal.status, text=refusal.message + "\n")

    def make_connection(self) -> BoundedConnection:
        """Return the protocol of a connection that is read."""
        idle_s = self.limits().idle_timeout.total_seconds()
        return BoundedConnection(self, keepalive_timeout=idle_s + OVERDUE_CHECK_S)

    def __call__(self) -> BoundedConnection | UnreadConnection:  # type: ignore[override]
        """Return the protocol of a new connection."""
        if not self.make_room():
            return UnreadConnection()
        connection = self.make_connection()
        self.opening.add(connection)
        return connection

    def make_room(self) -> bool:
        """Return whether there is room for a connection, if need be for another one."""
        if len(self.open_connections) + len(self.opening) < self.max_connections:
            return True
        self.refused.count_closed()
        victim = self.choose_victim()
        if victim is None or victim.transport is None:
            return False
        victim.transport.abort()
        self.forget(victim)
        return True

    def choose_victim(self) -> BoundedConnection | None:
        """Return the connection that gives way to a new one, if any does.

        Of those that have waited longest, one whose caller has taken all answers.
        """
        oldest = [
            connection
            for connection in islice(self.waiting, MAX_EXAMINED)
            if connection.transport is not None
        ]
        for connection in oldest:
            if not connection.has_unsent_bytes:
                return connection
        return next(iter(oldest), None)

    def forget(self, connection: BoundedConnection) -> None:
        """Count a connection no longer."""
        self.open_connections.discard(connection)
        self.waiting.pop(connection, None)

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a connection that is set up."""
        super().connection_made(handler, transport)
        assert isinstance(handler, BoundedConnection)
        self.opening.discard(handler)
        self.open_connections.add(handler)
        self.mark_waiting(handler)

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Count a connection that is closed no longer."""
        super().connection_lost(handler, exc)
        assert isinstance(handler, BoundedConnection)
        self.forget(handler)

    def mark_waiting(self, connection: BoundedConnection) -> None:
        """Record that a connection waits for a request from now on."""
        if connection in self.open_connections:
            self.waiting.pop(connection, None)
            self.waiting[connection] = None

    def mark_busy(self, connection: BoundedConnection) -> None:
        """Record that a request is in flight on a connection."""
        self.waiting.pop(connection, None)

    async def close_overdue_connections(self) -> None:
        """Check periodically for connections past their time limits, and close them."""
        while True:
            await asyncio.sleep(OVERDUE_CHECK_S)
            self.check_connections(self.clock.monotonic())
            self.refused.log_new()

    def check_connections(self, now: Instant) -> None:
        """Close the connections that are past their time limits."""
        limits = self.limits()
        for connection in list(self.open_connections):
            if connection.is_overdue(limits, now):
                connection.close_overdue()


class BoundedPages(BoundedServer):
    """Serves an application's pages to callers that need not keep to any limit."""

    def __init__(self, pages: web.Server, bounds: ListenerBounds) -> None:
        async def handle(http: web.BaseRequest) -> web.StreamResponse:
            connection = http.protocol
            assert isinstance(connection, BoundedConnection)
            connection.begin_request(http.content)
            return await pages.request_handler(http)

        super().__init__(handle, bounds, request_factory=pages.request_factory)
