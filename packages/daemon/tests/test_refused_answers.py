"""Connections on which answers are judged before they are parsed, by either parser."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from unittest.mock import Mock

import aiohttp
import pytest
from aiohttp.http_parser import HttpResponseParserPy
from multidict import CIMultiDict

from sardinequay_core.names import Address, TargetId
from sardinequay_daemon.connection_reset import reset
from sardinequay_daemon.errors import TargetError, TargetFault
from sardinequay_daemon.pending_send import PendingSend
from sardinequay_daemon.strict_connector import (
    BoundedConnector,
    BoundedResponseHandler,
    StrictConnector,
    StrictResponseHandler,
)
from sardinequay_daemon.target_errors import TargetErrorTranslator
from sardinequay_daemon.upstream import Upstream, UpstreamRequest
from sardinequay_lab.broken_answers import AnswerCase, answer_cases, refused_cases

IP = "127.0.0.1"
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nsound"
STALE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstale"


@dataclass
class RawTarget:
    """Sends bytes as answers.

    Parameters
    ----------
    answers : list of bytes
        Answers to the requests in order, over all connections.
    closes : bool
        Whether a connection ends after the last answer.
    """

    answers: list[bytes]
    closes: bool = False
    connections: int = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        try:
            while self.answers and await reader.readuntil(b"\r\n\r\n"):
                writer.write(self.answers.pop(0))
            if not self.closes:
                await reader.read()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        writer.close()


@contextlib.asynccontextmanager
async def listening(target: RawTarget) -> AsyncIterator[Address]:
    server = await asyncio.start_server(target.serve, IP, 0)
    async with server:
        yield Address(IP, server.sockets[0].getsockname()[1])


@pytest.fixture(params=["c", "python"], autouse=True)
def parser(request, monkeypatch: pytest.MonkeyPatch) -> str:
    """Parse answers by either parser of the HTTP library."""
    if request.param == "python":
        name = "aiohttp.client_proto.HttpResponseParser"
        monkeypatch.setattr(name, HttpResponseParserPy)
    return request.param


async def answer_to(connector: type[BoundedConnector], data: bytes) -> str:
    """Return what comes of an answer's bytes: its status and body, if any."""
    target = RawTarget([data], closes=True)
    session = aiohttp.ClientSession(connector=connector(IP), auto_decompress=False)
    async with listening(target) as address, session, asyncio.timeout(5):
        try:
            async with session.get(f"http://{address}/") as answer:
                return f"{answer.status} {await answer.read()!r}"
        except aiohttp.ClientError:
            return "refused"


def verdict(case: AnswerCase) -> str:
    return f"{case.status} {case.body!r}" if case.status else "refused"


@pytest.mark.parametrize("connector", [StrictConnector, BoundedConnector])
async def test_each_answer_has_the_verdict_of_the_table(connector) -> None:
    wrong = []
    for case in answer_cases():
        found = await answer_to(connector, case.data())
        if found != verdict(case):
            wrong.append(f"{case.name}: {found}")
    assert not wrong, "\n".join(wrong)


@pytest.mark.parametrize("connector", [StrictConnector, BoundedConnector])
@pytest.mark.parametrize("excess", [STALE, b"\r\n", b"x", b"HTTP/1.1 000 X\r\n\r\n"])
async def test_bytes_after_an_answer_are_no_answer_to_the_next_request(
    connector, excess: bytes
) -> None:
    """Guards against reports and orders that got the answers of others."""
    target = RawTarget([SOUND + excess, SOUND])
    session = aiohttp.ClientSession(connector=connector(IP))
    async with listening(target) as address, session, asyncio.timeout(5):
        for _ in range(2):
            async with session.get(f"http://{address}/") as answer:
                assert await answer.read() == b"sound"
    assert target.connections == 2


@pytest.mark.parametrize("connector", [StrictConnector, BoundedConnector])
async def test_bytes_that_come_on_an_idle_connection_end_it(connector) -> None:
    target = RawTarget([SOUND, SOUND])
    writers: list[asyncio.StreamWriter] = []

    async def serve(reader, writer) -> None:
        writers.append(writer)
        await target.serve(reader, writer)

    server = await asyncio.start_server(serve, IP, 0)
    url = f"http://{IP}:{server.sockets[0].getsockname()[1]}/"
    session = aiohttp.ClientSession(connector=connector(IP))
    async with server, session, asyncio.timeout(5):
        async with session.get(url) as answer:
            assert await answer.read() == b"sound"
        writers[0].write(STALE)
        await asyncio.sleep(0.05)
        async with session.get(url) as answer:
            assert await answer.read() == b"sound"
    assert target.connections == 2


@pytest.fixture
async def send(upstream: Upstream):
    """Return a function that sends a request and returns the error that it met."""

    async def send_one(address: Address, may_reuse: bool = True) -> TargetError | None:
        request = UpstreamRequest("POST", "/", CIMultiDict(), b"x", may_reuse)
        pending = PendingSend("r1", TargetId("t"), lambda: None)
        try:
            async with upstream.send(address, request, 2.0, pending) as answer:
                with TargetErrorTranslator():
                    await answer.read()
        except TargetError as error:
            return error
        return None

    return send_one


@pytest.mark.parametrize("answers_before", [0, 1])
async def test_request_whose_answer_is_refused_may_have_run(
    send, answers_before: int
) -> None:
    """A kept connection whose answer is refused was not closed while it was idle."""
    for case in refused_cases():
        target = RawTarget([SOUND] * answers_before + [case.data()])
        async with listening(target) as address:
            for _ in range(answers_before):
                assert await send(address) is None
            error = await send(address)
        assert error is not None, case.name
        assert error.fault is TargetFault.BROKEN, case.name
        assert not error.proves_not_run
        assert "no answer: " in error.detail, case.name


@pytest.mark.parametrize("handler", [StrictResponseHandler, BoundedResponseHandler])
async def test_bytes_that_come_before_a_request_end_their_connection(handler) -> None:
    """A target that speaks first has answered no request."""
    transport = Mock(spec=asyncio.Transport)
    transport.is_closing.return_value = False
    connection = handler(asyncio.get_running_loop())
    connection.connection_made(transport)
    assert connection.is_connected()
    connection.data_received(STALE)
    assert not connection.is_connected()
    transport.close.assert_called_once()


async def test_refused_answer_ends_its_connection(send) -> None:
    ended: asyncio.Future[bool] = asyncio.get_running_loop().create_future()

    async def serve(reader, writer) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 000 X\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            while await reader.read(4096):
                pass
        ended.set_result(True)
        reset(writer.transport)

    server = await asyncio.start_server(serve, IP, 0)
    async with server, asyncio.timeout(5):
        address = Address(IP, server.sockets[0].getsockname()[1])
        error = await send(address)
        assert await ended
    assert error is not None
