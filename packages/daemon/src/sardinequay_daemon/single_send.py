"""HTTP client sessions without the automatic resends of aiohttp.

aiohttp resends requests with idempotent methods by itself when a connection breaks.
Such a resend is outside the retry budgets, and hidden from the code which ensures that
a request does not run twice.
"""

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


class SingleSend:
    """Middleware of one request that sends it once, and knows on which connection.

    Attributes
    ----------
    is_on_reused_connection : bool
        Whether the request was sent over a connection that had been used before.
    """

    def __init__(self) -> None:
        self.is_on_reused_connection = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Send the request once.

        Raises
        ------
        TargetError
            If a connection that had been used before broke before the answer's head.
        """
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

    Each call of the session passes its `SingleSend` as ``trace_request_ctx``.
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
    send: SingleSend = context.trace_request_ctx
    send.is_on_reused_connection = True
