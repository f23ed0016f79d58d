"""The HTTP listeners of a host, opened one after the other and closed together."""

import asyncio
import logging
import ssl

from aiohttp import web

from sardinequay_core.clock import Clock
from sardinequay_core.names import Address

from .bounded_http import (
    BoundedPages,
    BoundedServer,
    InputTurns,
    ListenerBounds,
    RefusedCallers,
)
from .bounded_http.listening import BoundedSite
from .metrics import HostMetrics

AnyRunner = web.AppRunner | web.ServerRunner
ABANDON_AFTER_S = 0.2
"""Time that requests still have to end when their listener is closed, in seconds: the
process is killed half a second after the drain, and has more to close."""

MAX_PAGE_CONNECTIONS = 64
"""Connections to a listener for operators or for readiness checks, at most."""

log = logging.getLogger(__name__)


def caller_runner(server: web.Server) -> web.ServerRunner:
    """Return a runner of a listener for callers; its close abandons their requests.

    By default its close would wait a minute for them.
    """
    return web.ServerRunner(server, shutdown_timeout=ABANDON_AFTER_S)


class HttpListeners:
    """Listeners and what serves them; the last one opened is closed first.

    Attributes
    ----------
    turns : InputTurns
        Shares the event loop among the connections of all listeners.
    """

    def __init__(self, clock: Clock, metrics: HostMetrics) -> None:
        self.clock = clock
        self.metrics = metrics
        self.turns = InputTurns()
        self.runners: list[AnyRunner] = []
        self.servers: list[BoundedServer] = []

    def bounds(self, name: str, max_connections: int) -> ListenerBounds:
        """Return the bounds of a listener.

        Parameters
        ----------
        name : str
            Name of the listener, in log lines and metric labels.
        """
        refused = RefusedCallers(name, self.metrics)
        return ListenerBounds(self.clock, self.turns, refused, max_connections)

    async def serve(
        self,
        runner: AnyRunner,
        address: Address,
        tls: ssl.SSLContext | None = None,
    ) -> None:
        """Serve HTTP at an address.

        Raises
        ------
        OSError
            If the address cannot be listened at.
        """
        await runner.setup()
        self.runners.append(runner)
        if isinstance(runner.server, BoundedServer):
            self.servers.append(runner.server)
        await BoundedSite(runner, address, tls).start()

    async def serve_pages(
        self, app: web.Application, name: str, address: Address
    ) -> None:
        """Serve an application's pages at an address, to any caller.

        Raises
        ------
        OSError
            If the address cannot be listened at.
        """
        pages = web.AppRunner(app, access_log=None)
        await pages.setup()
        self.runners.append(pages)
        assert pages.server is not None
        server = BoundedPages(pages.server, self.bounds(name, MAX_PAGE_CONNECTIONS))
        await self.serve(web.ServerRunner(server, shutdown_timeout=1.0), address)

    async def close_overdue_connections(self) -> None:
        """Close connections of all listeners that are past their limits, for good."""
        async with asyncio.TaskGroup() as group:
            for server in self.servers:
                group.create_task(server.close_overdue_connections())

    async def close(self) -> None:
        """Close all listeners and their connections."""
        for runner in reversed(self.runners):
            try:
                await runner.cleanup()
            except TimeoutError:
                log.warning("listener not closed in time")
