"""Client sessions of the daemon send each request once."""

import asyncio
from collections.abc import AsyncIterator
from pathlib import Path

import aiohttp
import pytest

import sardinequay_daemon
from sardinequay_daemon.errors import ConnectionLostError
from sardinequay_daemon.single_send import client_session


class ClosingServer:
    """A server that reads requests and closes their connections unanswered."""

    def __init__(self) -> None:
        self.arrived: list[bytes] = []
        self.server: asyncio.Server | None = None

    async def handle(self, reader: asyncio.StreamReader, writer) -> None:
        self.arrived.append(await reader.readuntil(b"\r\n\r\n"))
        writer.close()

    @property
    def url(self) -> str:
        assert self.server is not None
        ip, port = self.server.sockets[0].getsockname()
        return f"http://{ip}:{port}/"


@pytest.fixture
async def closing() -> AsyncIterator[ClosingServer]:
    made = ClosingServer()
    made.server = await asyncio.start_server(made.handle, "127.0.0.1", 0)
    yield made
    made.server.close()


@pytest.mark.parametrize("method", ["GET", "HEAD", "PUT", "DELETE", "POST"])
async def test_call_on_a_connection_that_breaks_goes_out_once(
    closing: ClosingServer, method: str
) -> None:
    async with client_session(aiohttp.TCPConnector()) as session:
        with pytest.raises(ConnectionLostError):
            await session.request(method, closing.url)
    assert len(closing.arrived) == 1


async def test_refused_connection_still_proves_that_nothing_went_out(
    closing: ClosingServer,
) -> None:
    url = closing.url
    assert closing.server is not None
    closing.server.close()
    async with client_session(aiohttp.TCPConnector()) as session:
        with pytest.raises(aiohttp.ClientConnectorError):
            await session.get(url)


def test_no_client_of_the_daemon_is_made_elsewhere() -> None:
    sources = Path(sardinequay_daemon.__file__).parent.glob("*.py")
    makers = {s.name for s in sources if "ClientSession(" in s.read_text()}
    assert makers == {"single_send.py"}
