"""An HTTP server with bounds on what each connection may send."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any

from aiohttp import web

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.outcome import Refusal
from sardinequay_core.request_framing import FramingLimits
from sardinequay_core.serving import CallerLimits

from .connection import BoundedConnection
from .refused_callers import RefusedCallers
from .turns import InputTurns

OVERDUE_CHECK_S = 0.25
"""Period of the check for connections past their time limits, in seconds."""

Handler = Callable[[Any], Awaitable[web.StreamResponse]]


@dataclass(frozen=True, slots=True)
class ListenerBounds:
    """What the servers of one listener share.

    Parameters
    ----------
    turns : InputTurns
        Shares the event loop among the connections of all listeners.
    refused : RefusedCallers
        Counts the callers of this listener that are refused.
    """

    clock: Clock
    turns: InputTurns
    refused: RefusedCallers


class BoundedServer(web.Server):
    """HTTP server whose callers need not keep to any limit."""

    def __init__(
        self, handler: Handler, bounds: ListenerBounds, **options: Any
    ) -> None:
        super().__init__(handler, **options)
        self.clock = bounds.clock
        self.turns = bounds.turns
        self.refused = bounds.refused
        self.open_connections: set[BoundedConnection] = set()

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

    def __call__(self) -> BoundedConnection:
        """Return the protocol of a new connection."""
        return self.make_connection()

    def connection_made(
        self, handler: web.RequestHandler, transport: asyncio.Transport
    ) -> None:
        """Count a connection that is set up."""
        super().connection_made(handler, transport)
        assert isinstance(handler, BoundedConnection)
        self.open_connections.add(handler)

    def connection_lost(
        self, handler: web.RequestHandler, exc: BaseException | None = None
    ) -> None:
        """Count a connection that is closed no longer."""
        super().connection_lost(handler, exc)
        assert isinstance(handler, BoundedConnection)
        self.open_connections.discard(handler)

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
