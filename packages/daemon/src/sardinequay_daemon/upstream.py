"""Sends one attempt to a target, and says what a failure proves."""

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass
from http import HTTPStatus

import aiohttp
from multidict import CIMultiDict
from yarl import URL

from sardinequay_core.names import Address

from .engines import TurnedErrors
from .errors import TargetError, TargetFault

CONNECT_S = 0.4
"""Bound on opening a connection: many times a round trip, below a lost packet's second
of waiting. A target that does not answer to this is cut off or gone."""

IDLE_CONNECTION_S = 3.0
"""How long a connection is kept for another request. Targets keep theirs longer; what
a connection that went silent costs grows with this."""

MAX_WHOLE_BYTES = 65_536
"""Answers up to this are read whole before the caller gets any of them."""

NO_AUTOMATIC_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


@dataclass(frozen=True, slots=True)
class Outgoing:
    """A request as it goes out.

    Parameters
    ----------
    is_repeatable : bool
        Whether it may use a connection that was used before. What must not run twice
        takes a new one: an old one may have gone silent, or hold another's answer.
    """

    method: str
    path: str
    headers: CIMultiDict[str]
    body: bytes
    is_repeatable: bool


class Upstream:
    """Connections to targets."""

    def __init__(self, source_ip: str) -> None:
        source = (source_ip, 0)
        self.pooled = make_session(
            aiohttp.TCPConnector(
                limit=0, keepalive_timeout=IDLE_CONNECTION_S, local_addr=source
            )
        )
        self.fresh = make_session(
            aiohttp.TCPConnector(limit=0, force_close=True, local_addr=source)
        )

    @asynccontextmanager
    async def send(
        self, address: Address, request: Outgoing, head_within_s: float
    ) -> AsyncGenerator[aiohttp.ClientResponse, None]:
        """Send a request and yield its answer once the head is there.

        Leaving before the answer's end closes the connection, which cancels the request
        at the target.

        Raises
        ------
        TargetError
            If no head came; the fault says whether the target may have run it.
        """
        answer = await self.head(address, request, head_within_s)
        try:
            yield answer
        finally:
            answer.close()

    async def head(
        self, address: Address, request: Outgoing, within_s: float
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its answer."""
        session = self.pooled if request.is_repeatable else self.fresh
        url = URL(f"http://{address}{request.path}", encoded=True)
        timer = asyncio.timeout(within_s)
        try:
            async with timer:
                with TurnedErrors():
                    return await session.request(
                        request.method,
                        url,
                        data=request.body or None,
                        headers=request.headers,
                        allow_redirects=False,
                        skip_auto_headers=NO_AUTOMATIC_HEADERS,
                    )
        except TimeoutError as error:
            raise TargetError(TargetFault.BROKEN, f"silent for {within_s} s") from error

    async def whole(self, answer: aiohttp.ClientResponse, within_s: float) -> bytes:
        """Read an answer's whole body."""
        try:
            async with asyncio.timeout(within_s):
                with TurnedErrors():
                    return await answer.read()
        except TimeoutError as error:
            raise TargetError(TargetFault.BROKEN, "the body took too long") from error

    async def close(self) -> None:
        """Close all connections."""
        await self.pooled.close()
        await self.fresh.close()


def make_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    """Return a session that passes bytes on as they are."""
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_S),
    )


def is_small(answer: aiohttp.ClientResponse) -> bool:
    """Return whether an answer is to be read whole before it is passed on."""
    if answer.status == HTTPStatus.NO_CONTENT:
        return True
    length = answer.content_length
    return length is not None and length <= MAX_WHOLE_BYTES
