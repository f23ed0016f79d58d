"""One request goes out once, whatever the HTTP library would do.

The library sends idempotent methods once more by itself when a connection breaks. Such
a send is within no budget, and is not known to whoever must not run the request twice.
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
    """Pass a request on to the library, and on what it would send again, fail.

    Raises
    ------
    ConnectionLostError
        If the connection broke before an answer's head came.
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
    """Return a client whose calls go out once; all clients of hosts are made here.

    Parameters
    ----------
    options
        As the library's session takes them.
    """
    return aiohttp.ClientSession(
        connector=connector, middlewares=(send_once,), **options
    )


class CountedSend:
    """One request on its way to a target.

    Parameters
    ----------
    on_send : callable
        Called when the request goes out.
    is_on_reused_connection : bool
        Whether it went over a connection that had been used before.
    """

    def __init__(self, on_send: Callable[[], None]) -> None:
        self.on_send = on_send
        self.is_on_reused_connection = False

    async def __call__(
        self, request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
    ) -> aiohttp.ClientResponse:
        """Count the request and send it once.

        Raises
        ------
        TargetError
            If a connection that had been used before broke without an answer.
        """
        self.on_send()
        try:
            return await send_once(request, handler)
        except ConnectionLostError as error:
            if not self.is_on_reused_connection:
                raise
            raise TargetError(TargetFault.LOST_ON_KEPT, str(error)) from error


def connection_reuse_trace() -> aiohttp.TraceConfig:
    """Return what tells sends that their connections had been used before.

    Each call of the session gives its `CountedSend` as its trace's context.
    """
    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(mark_connection_reused)
    return trace


async def mark_connection_reused(
    _: aiohttp.ClientSession,
    context: SimpleNamespace,
    __: aiohttp.TraceConnectionReuseconnParams,
) -> None:
    """Note that a request goes over a connection that had been used before."""
    send: CountedSend = context.trace_request_ctx
    send.is_on_reused_connection = True
