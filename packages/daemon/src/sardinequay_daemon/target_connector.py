"""Opens connections to targets: directly, or through a peer where that fails.

A connection that was never opened has carried nothing, so going another way to the same
target is no second attempt.
"""

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection

from sardinequay_core.names import Address

from .connection_probe import MIN_OPEN_S
from .errors import PeerError, TargetError
from .path_messages import NO_TARGET
from .path_monitor import PathMonitor
from .pending_send import pending_send
from .strict_connector import StrictConnector

if TYPE_CHECKING:
    from aiohttp.tracing import Trace

PEER_DELAY_S = 0.15
"""Time after which a connection that is not open yet is tried through a peer as well,
in seconds: many round trips between data centres."""


class TargetConnector(StrictConnector):
    """Connector to targets whose connections use `StrictResponseHandler`."""

    def __init__(self, source_ip: str, monitor: PathMonitor, **options: Any) -> None:
        super().__init__(source_ip, **options)
        self.monitor = monitor

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list["Trace"],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Return a connection for a request, which its target may still get.

        The request's bytes leave with no wait after this. A wait for the connection
        comes before: what the target states meanwhile binds the request, too.

        Raises
        ------
        TargetError
            If the target must not get the request any more.
        """
        connection = await super().connect(req, traces, timeout)
        pending = pending_send.get()
        if pending is None:
            return connection
        try:
            pending.confirm()
        except TargetError:
            connection.release()
            raise
        return connection

    async def _create_connection(
        self,
        req: aiohttp.ClientRequest,
        traces: list["Trace"],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Open a connection, through a peer if the direct path is lost or fails."""
        address = Address(str(req.url.raw_host), int(req.url.port or 0))
        if self.monitor.paths.is_lost(address):
            try:
                return await self.connect_through_peer(address)
            except PeerError:
                # Peers may have lost the target, too, or the path may be back.
                return await self.connect_directly(address, req, traces, timeout)
        direct = asyncio.create_task(
            self.connect_directly(address, req, traces, timeout)
        )
        try:
            await asyncio.wait((direct,), timeout=PEER_DELAY_S)
            if direct.done() and direct.exception() is None:
                return direct.result()
            return await self.connect_either_way(address, direct)
        except BaseException:
            discard(direct)
            raise

    async def connect_directly(
        self,
        address: Address,
        req: aiohttp.ClientRequest,
        traces: list["Trace"],
        timeout: aiohttp.ClientTimeout,
    ) -> ResponseHandler:
        """Open a connection of this host's own."""
        opened = await super()._create_connection(req, traces, timeout)
        self.monitor.record_opened(address)
        return opened

    async def connect_through_peer(self, address: Address) -> ResponseHandler:
        """Open a connection through a peer; it is used for one request.

        Raises
        ------
        PeerError
            If no peer opened one.
        """
        pending = pending_send.get()
        target = pending.target if pending is not None else NO_TARGET
        transport = await self.monitor.tunnels.open(address, target)
        protocol = self._factory()
        transport.set_protocol(protocol)
        protocol.connection_made(transport)
        protocol.force_close()
        return protocol

    async def connect_either_way(
        self, address: Address, direct: asyncio.Task[ResponseHandler]
    ) -> ResponseHandler:
        """Try a peer, too, after the direct way failed or while it takes long.

        The direct way's error is raised if both fail.
        """
        through_peer = asyncio.create_task(self.connect_through_peer(address))
        try:
            await asyncio.wait(
                (direct, through_peer), return_when=asyncio.FIRST_COMPLETED
            )
            if not through_peer.done() and direct.exception() is None:
                discard(through_peer)
                return direct.result()
            await asyncio.wait((through_peer,))
            if direct.done() and direct.exception() is None:
                discard(through_peer)
                return direct.result()
            if isinstance(through_peer.exception(), PeerError):
                return await direct
            if direct.done() and not await stays_open(through_peer.result()):
                discard(through_peer)
                return await direct
        except BaseException:
            discard(through_peer)
            raise
        reason = repr(direct.exception()) if direct.done() else "not open in time"
        discard(direct)
        self.monitor.record_lost(address, reason)
        return through_peer.result()


async def stays_open(opened: ResponseHandler) -> bool:
    """Return whether a connection is still open some time after it was opened.

    A gateway before a target that has ended may accept connections and close them.
    """
    await asyncio.sleep(MIN_OPEN_S)
    return opened.transport is not None and not opened.transport.is_closing()


def discard(connecting: asyncio.Task[ResponseHandler]) -> None:
    """Cancel the opening of a connection, or close the connection."""
    if not connecting.done():
        connecting.add_done_callback(close_opened)
        connecting.cancel()
        return
    close_opened(connecting)


def close_opened(connecting: asyncio.Task[ResponseHandler]) -> None:
    """Close a connection that was opened and is not needed."""
    if not connecting.cancelled() and connecting.exception() is None:
        connecting.result().close()
