"""HTTP client for targets, whose errors state whether a request may have run."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from sardinequay_core.names import Address

from .connection_probe import CONNECT_S
from .errors import TargetError, TargetFault
from .path_monitor import PathMonitor
from .pending_send import PendingSend, pending_send
from .single_send import SingleSend, client_session, connection_reuse_trace
from .strict_connector import READ_BUFFER_BYTES
from .target_connector import TargetConnector
from .target_errors import TargetErrorTranslator

KEEPALIVE_S = 3.0
"""How long an idle connection is kept for reuse, in seconds. Targets keep theirs
longer; the cost of connections that died unnoticed grows with this."""

MAX_BUFFERED_BYTES = 65_536
"""Size up to which an answer is buffered whole before the caller gets any of it."""

SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True, slots=True)
class UpstreamRequest:
    """A request to a target, ready to be sent.

    Parameters
    ----------
    may_reuse_connection : bool
        Whether the request may use a connection that was used before. A request that
        must not run twice gets a new one: an old one may be dead, or may hold the
        answer to another request.
    """

    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    may_reuse_connection: bool


class Upstream:
    """Client sessions for targets: one that reuses connections, one that does not."""

    def __init__(self, source_ip: str, monitor: PathMonitor) -> None:
        self.pooled_session = make_session(
            TargetConnector(source_ip, monitor, keepalive_timeout=KEEPALIVE_S)
        )
        self.fresh_session = make_session(
            TargetConnector(source_ip, monitor, force_close=True)
        )

    @asynccontextmanager
    async def send(
        self,
        address: Address,
        request: UpstreamRequest,
        head_timeout_s: float,
        pending: PendingSend,
    ) -> AsyncGenerator[aiohttp.ClientResponse, None]:
        """Send a request and yield the answer once its head has arrived.

        Leaving the context before the answer's end closes the connection, which cancels
        the request at the target.

        Raises
        ------
        TargetError
            If no head arrived; the fault states whether the target may have run the
            request.
        """
        answer = await self.wait_for_head(address, request, head_timeout_s, pending)
        try:
            yield answer
        finally:
            answer.close()

    async def wait_for_head(
        self,
        address: Address,
        request: UpstreamRequest,
        timeout_s: float,
        pending: PendingSend,
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its answer."""
        session = (
            self.pooled_session if request.may_reuse_connection else self.fresh_session
        )
        url = URL(f"http://{address}{request.path}", encoded=True)
        send = SingleSend()
        pending_send.set(pending)
        timer = asyncio.timeout(timeout_s)
        try:
            async with timer:
                with TargetErrorTranslator():
                    return await session.request(
                        request.method,
                        url,
                        data=request.body or None,
                        headers=request.headers,
                        allow_redirects=False,
                        skip_auto_headers=SKIPPED_AUTO_HEADERS,
                        middlewares=(send,),
                        trace_request_ctx=send,
                    )
        except TimeoutError as error:
            detail = f"silent for {timeout_s:.3f} s"
            raise TargetError(TargetFault.SILENT, detail) from error

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled_session.close()
        await self.fresh_session.close()


def make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Return a session that keeps answers as received and stores no cookies."""
    return client_session(
        connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        read_bufsize=READ_BUFFER_BYTES,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
        trace_configs=[connection_reuse_trace()],
    )
