"""An answer whose connection was reset is not whole, also without a length."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest

from sardinequay_daemon.connection_reset import reset
from sardinequay_daemon.strict_connector import StrictConnector

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
End = Callable[[asyncio.WriteTransport], None]


@contextlib.asynccontextmanager
async def target(end: End) -> AsyncIterator[str]:
    """A target that answers with half of something and ends the connection."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(HEAD + b"half")
        await asyncio.sleep(0.05)
        end(writer.transport)

    server = await asyncio.start_server(answer, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"


async def get(url: str) -> bytes:
    connector = StrictConnector("127.0.0.1")
    session = aiohttp.ClientSession(connector=connector)
    async with session, session.get(url) as answer:
        return await answer.read()


async def test_an_answer_without_a_length_that_is_reset_is_not_whole() -> None:
    async with target(reset) as url:
        with pytest.raises(aiohttp.ClientPayloadError):
            await get(url)


async def test_an_answer_without_a_length_ends_with_its_connection() -> None:
    async with target(asyncio.WriteTransport.close) as url:
        assert await get(url) == b"half"
