"""HTTP client sessions without the automatic resends of aiohttp.

aiohttp resends requests with idempotent methods by itself when a connection breaks.
Such a resend is outside the retry budgets, and hidden from the code which ensures that
a request does not run twice.
"""

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import aiohttp

from .errors import ConnectionLostError, TargetError, TargetFault
from .target_errors import NOT_SENT_ERRORS


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Send a request, and raise an error of its own where aiohttp would resend it.

    Raises
    ------
    ConnectionLostError
        If the connection broke before the answer's head arrived.
    """
    try:
        return await handler(request)
    except NOT_SENT_ERRORS:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLostError(repr(error)) from error


def client_session(
    connector: aiohttp.BaseConnector, **options: Any
) -> aiohttp.ClientSession:
    """Return a client session that sends each request once.

    All client sessions of the daemon are made here.

    Parameters
    ----------
    options
        Keyword arguments of `aiohttp.ClientSession`.
    """
    return aiohttp.ClientSession(
        connector=connector, middlewares=(send_once,), **options
    )


class CountedSend:
    """Middleware of one request that reports when it is sent and on which connection.

    Parameters
    ----------
    on_send : callable
        Called when the request is sent.

    Attributes
    ----------
    is_on_reused_connection : bool
        Whether the request was sent over a connection that had been used before.
    """

    def __init__(self, on_send: Callable[[], None]) -> None:
        self.on_send = on_send
        self.is_on_reused_connection = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Report that the request is sent, and send it once.

        Raises
        ------
        TargetError
            If a connection that had been used before broke before the answer's head.
        """
        self.on_send()
        try:
            return await send_once(request, handler)
        except ConnectionLostError as error:
            if not self.is_on_reused_connection:
                raise
            raise TargetError(
                TargetFault.LOST_ON_REUSED_CONNECTION, str(error)
            ) from error


def connection_reuse_trace() -> aiohttp.TraceConfig:
    """Return the trace configuration that marks requests on reused connections.

    Each call of the session passes its `CountedSend` as ``trace_request_ctx``.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(mark_connection_reused)
    return trace


async def mark_connection_reused(
    _: aiohttp.ClientSession,
    context: SimpleNamespace,
    __: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    """Mark a request as sent over a connection that had been used before."""
    send: CountedSend = context.trace_request_ctx
    send.is_on_reused_connection = True
