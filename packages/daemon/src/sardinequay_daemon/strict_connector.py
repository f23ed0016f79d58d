"""Connections to targets that tell a reset apart from the end of an answer."""

import asyncio
from functools import partial
from typing import Any

import aiohttp
from aiohttp.client_proto import ResponseHandler

from .connection_reset import reset


class StrictResponseHandler(ResponseHandler):
    """Connection protocol that detects resets and unsolicited answers.

    aiohttp takes any end of a connection for the end of an answer without a length. It
    also reuses an idle connection on which an unsolicited answer has arrived.
    """

    def connection_lost(self, exc: BaseException | None) -> None:
        """Raise an error in the reader of an answer whose connection was reset."""
        payload = self._payload
        if exc is not None and payload is not None and not payload.is_eof():
            payload.set_exception(aiohttp.ClientPayloadError(f"reset: {exc!r}"))
        super().connection_lost(exc)

    def close(self) -> None:
        """Close the connection; reset it while an answer is due.

        The request was given up then. On a lost path it would else reach the target
        once the path is back, beside its repeats.
        """
        transport, payload = self.transport, self._payload
        is_complete = payload is not None and payload.is_eof()
        if isinstance(transport, asyncio.Transport) and not is_complete:
            reset(transport)
        super().close()

    def is_connected(self) -> bool:
        """Return whether the connection can take another request."""
        return super().is_connected() and not self.should_close


class StrictConnector(aiohttp.TCPConnector):
    """Connector to targets whose connections use `StrictResponseHandler`."""

    def __init__(self, source_ip: str, **options: Any) -> None:
        super().__init__(limit=0, local_addr=(source_ip, 0), **options)
        self._factory = partial(StrictResponseHandler, loop=self._loop)  # type: ignore[assignment]
