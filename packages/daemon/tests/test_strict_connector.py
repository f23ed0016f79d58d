"""An answer that its connection or its own bytes break off is not whole."""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest

from sardinequay_daemon.connection_reset import reset
from sardinequay_daemon.strict_connector import StrictConnector

HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
PART = b"4\r\nhalf\r\n"
End = Callable[[asyncio.WriteTransport], None]


@contextlib.asynccontextmanager
async def target(end: End, begin: bytes = HEAD + b"half") -> AsyncIterator[str]:
    """A target that answers with half of something and ends the connection."""

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(begin)
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
    async with target(lambda transport: transport.close()) as url:
        assert await get(url) == b"half"


def end_in_no_chunk(transport: asyncio.WriteTransport) -> None:
    transport.write(b"no chunk\r\n")


@pytest.mark.parametrize("read_after_s", [0, 0.2])
async def test_an_answer_that_goes_on_with_no_chunk_breaks_off(read_after_s) -> None:
    connector = StrictConnector("127.0.0.1")
    async with (
        target(end_in_no_chunk, CHUNKED_HEAD + PART) as url,
        aiohttp.ClientSession(connector=connector) as session,
        session.get(url) as answer,
        asyncio.timeout(5),
    ):
        assert await answer.content.readany() == b"half"
        await asyncio.sleep(read_after_s)
        with pytest.raises(aiohttp.ClientPayloadError):
            await answer.content.readany()


@pytest.mark.parametrize("answers_before", [0, 1, 3])
async def test_request_that_is_given_up_resets_its_connection(
    answers_before: int,
) -> None:
    """Guards against requests and orders that a cut holds up on a kept connection."""
    ended: asyncio.Future[BaseException | None] = asyncio.Future()

    async def hang(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        for _ in range(answers_before):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        try:
            while await reader.read(4096):
                pass
            ended.set_result(None)
        except OSError as error:
            ended.set_result(error)
        writer.close()

    server = await asyncio.start_server(hang, "127.0.0.1", 0)
    url = f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"
    async with aiohttp.ClientSession(connector=StrictConnector("127.0.0.1")) as session:
        for _ in range(answers_before):
            async with session.get(url) as answer:
                assert await answer.read() == b"ok"
        with pytest.raises(TimeoutError):
            await session.get(url, timeout=aiohttp.ClientTimeout(0.1))
        async with asyncio.timeout(5):
            assert isinstance(await ended, ConnectionResetError)
    server.close()


async def test_connection_whose_answer_is_complete_is_closed_and_not_reset() -> None:
    ended: asyncio.Future[BaseException | None] = asyncio.Future()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
        try:
            await reader.read(4096)
            ended.set_result(None)
        except OSError as error:
            ended.set_result(error)
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    await get(f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/")
    async with asyncio.timeout(5):
        assert await ended is None
    server.close()
