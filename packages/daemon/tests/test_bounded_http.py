"""Servers whose callers keep to no limits, on real sockets."""

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import pytest
from aiohttp import http_parser, web
from aiohttp.base_protocol import BaseProtocol

from sardinequay_core.clock import seconds
from sardinequay_core.names import Address
from sardinequay_core.request_framing import FramingLimits, RequestFramer
from sardinequay_core.serving import CallerLimits
from sardinequay_daemon.bounded_http import (
    BoundedConnection,
    BoundedServer,
    InputTurns,
)
from sardinequay_daemon.bounded_http.turns import (
    LIGHT_PIECES,
    PIECES_A_SLICE,
    PIECES_A_TURN,
)
from sardinequay_daemon.errors import BodyRefusedError
from sardinequay_daemon.http_listeners import HttpListeners
from sardinequay_daemon.system_clock import SystemClock

IP = "127.0.0.1"
HEAD = b"POST /x HTTP/1.1\r\nHost: h\r\n"
MAX_CONNECTIONS = 5
MAX_BODY_BYTES = 1000
ENDS_WITHIN_S = 20.0


class Server(BoundedServer):
    """Answers each request with its body, once it is let go on."""

    def __init__(self, bounds) -> None:
        super().__init__(self.handle, bounds)
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.began = 0
        self.idle_s = self.header_s = 60.0
        self.reads_bodies = True

    def limits(self) -> CallerLimits:
        return CallerLimits(
            500, MAX_BODY_BYTES, seconds(self.header_s), seconds(self.idle_s)
        )

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        connection = http.protocol
        assert isinstance(connection, BoundedConnection)
        connection.begin_request(http.content)
        self.began += 1
        await self.may_answer.wait()
        if not self.reads_bodies:
            return web.Response(body=b"<early>")
        try:
            body = await http.content.read()
        except BodyRefusedError as error:
            return web.Response(status=error.cause.refusal.status, text="refused")
        return web.Response(body=b"<" + body + b">")


@pytest.fixture
async def server(metrics) -> AsyncIterator[Server]:
    listeners = HttpListeners(SystemClock(), metrics)
    made = Server(listeners.bounds("callers", MAX_CONNECTIONS))
    await listeners.serve(web.ServerRunner(made), Address(IP, 0))
    made.address = listeners.runners[0].addresses[0]
    check = asyncio.create_task(listeners.close_overdue_connections())
    yield made
    check.cancel()
    made.may_answer.set()
    await listeners.close()


async def call(server: Server, data: bytes) -> bytes:
    """Send some bytes; return all that comes until the connection is closed."""
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(data)
    async with asyncio.timeout(ENDS_WITHIN_S):
        received = await reader.read()
    writer.close()
    return received


async def until(condition) -> None:
    async with asyncio.timeout(ENDS_WITHIN_S):
        while not condition():
            await asyncio.sleep(0.01)


LAST = HEAD + b"Connection: close\r\nContent-Length: 4\r\n\r\nlast"


async def test_requests_in_a_row_are_answered_in_order(server) -> None:
    first = HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\r\n"
    received = await call(server, first + LAST)
    assert received.index(b"<first>") < received.index(b"<last>")


async def test_next_request_waits_until_the_answer_is_written(server) -> None:
    server.may_answer.clear()
    calling = asyncio.create_task(call(server, HEAD + b"\r\n" + LAST))
    await until(lambda: server.began)
    await asyncio.sleep(0.05)
    assert server.began == 1
    server.may_answer.set()
    assert b"<last>" in await calling
    assert server.began == 2


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"\0\0", b"400"),
        (b"GET / HTTP/1.1\n\n", b"400"),
        (HEAD + b"a: " + b"a" * 3000, b"431"),
        (b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
        (b"NOMETHOD / HTTP/1.1\r\nHost: h\r\n\r\n", b"400"),
    ],
)
async def test_refusal_follows_the_answers_before_it(server, data, status) -> None:
    received = await call(server, HEAD + b"Content-Length: 3\r\n\r\nabc" + data)
    answer, _, refusal = received.partition(b"<abc>")
    assert answer.startswith(b"HTTP/1.1 200")
    assert refusal.split()[1] == status
    assert b"connection: close" in refusal.lower()
    assert data[:2] not in refusal.partition(b"\r\n\r\n")[2]


async def test_body_that_is_refused_is_not_taken_for_whole(server) -> None:
    chunked = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    for data in (chunked + b"zz\r\n", chunked + b"3\r\nabc\r\n?"):
        received = await call(server, data + LAST)
        assert received.startswith(b"HTTP/1.1 400")
        assert received.count(b"HTTP/1.1") == 1


async def test_bytes_after_an_upgrade_are_the_next_request(server) -> None:
    upgrade = b"Connection: upgrade\r\nUpgrade: websocket\r\n\r\n"
    received = await call(server, HEAD + upgrade + LAST)
    assert received.index(b"<>") < received.index(b"<last>")


async def test_caller_that_is_idle_longest_gives_way(server) -> None:
    idle = [await asyncio.open_connection(*server.address) for _ in range(3)]
    server.may_answer.clear()
    busy = [asyncio.create_task(call(server, LAST)) for _ in range(2)]
    await until(lambda: server.began == 2)
    await until(lambda: len(server.open_connections) == MAX_CONNECTIONS)
    late = asyncio.create_task(call(server, LAST))
    async with asyncio.timeout(ENDS_WITHIN_S):
        with pytest.raises((ConnectionError, EOFError)):
            await idle[0][0].readexactly(1)
    await until(lambda: server.began == 3)
    server.may_answer.set()
    for answer in await asyncio.gather(*busy, late):
        assert b"<last>" in answer
    assert len(server.open_connections) <= MAX_CONNECTIONS
    for _, writer in idle:
        writer.close()


async def test_caller_that_still_takes_an_answer_does_not_give_way(
    server, monkeypatch
) -> None:
    idle = [await asyncio.open_connection(*server.address) for _ in range(5)]
    await until(lambda: len(server.open_connections) == MAX_CONNECTIONS)
    oldest, second = list(server.waiting)[:2]
    taking = property(lambda connection: connection is oldest)
    monkeypatch.setattr(BoundedConnection, "has_unsent_bytes", taking)
    assert b"<last>" in await call(server, LAST)
    assert oldest in server.open_connections
    assert second not in server.open_connections
    for _, writer in idle:
        writer.close()


async def test_new_connection_is_left_unread_while_all_are_busy(server) -> None:
    server.may_answer.clear()
    busy = [asyncio.create_task(call(server, LAST)) for _ in range(MAX_CONNECTIONS)]
    await until(lambda: server.began == MAX_CONNECTIONS)
    with contextlib.suppress(ConnectionError):
        assert await call(server, LAST) == b""
    assert server.began == MAX_CONNECTIONS
    server.may_answer.set()
    assert all(b"<last>" in answer for answer in await asyncio.gather(*busy))


@pytest.mark.parametrize("data", [b"", b"\r\n", HEAD])
async def test_connection_without_a_whole_request_is_closed(server, data) -> None:
    server.idle_s = server.header_s = 0.1
    assert await call(server, data) == b""


async def test_rest_of_a_body_is_not_the_beginning_of_a_head(server) -> None:
    # Its connection was closed when the time for a head was over.
    server.header_s = 0.2
    server.reads_bodies = False
    reader, writer = await asyncio.open_connection(*server.address)
    writer.write(HEAD + b"Content-Length: 6\r\n\r\nabc")
    async with asyncio.timeout(ENDS_WITHIN_S):
        await reader.readuntil(b"<early>")
        writer.write(b"def")
        await asyncio.sleep(1)
        writer.write(LAST)
        assert b"<early>" in await reader.read()
    writer.close()


@dataclass
class Source:
    """Input of a number of pieces."""

    left: int
    message_pieces: int = 0
    is_queued: bool = False
    turns: list[int] = field(default_factory=list)

    @property
    def has_input(self) -> bool:
        return self.left > 0

    def handle_input(self, max_pieces: int) -> int:
        taken = min(max_pieces, self.left)
        self.left -= taken
        self.message_pieces += taken
        self.turns.append(taken)
        return taken


async def test_light_input_does_not_wait_for_heavy_input() -> None:
    turns = InputTurns()
    heavy = [Source(1_000_000) for _ in range(500)]
    for source in heavy:
        turns.offer(source)
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    light = Source(1)
    turns.offer(light)
    assert light.left == 0


async def test_input_takes_a_bounded_part_of_each_turn() -> None:
    turns = InputTurns()
    heavy = [Source(1_000_000) for _ in range(500)]
    for source in heavy:
        turns.offer(source)
    for _ in range(20):
        before = sum(source.left for source in heavy)
        await asyncio.sleep(0)
        taken = before - sum(source.left for source in heavy)
        assert taken <= PIECES_A_TURN + 2 * PIECES_A_SLICE


async def test_heavy_input_goes_on_beside_light_input() -> None:
    turns = InputTurns()
    heavy = Source(10 * PIECES_A_SLICE, message_pieces=LIGHT_PIECES + 1)
    turns.offer(heavy)
    while heavy.left:
        before = heavy.left
        for _ in range(PIECES_A_TURN):
            turns.offer(Source(1))
        await asyncio.sleep(0)
        assert heavy.left < before


PARSERS = [http_parser.HttpRequestParserPy, http_parser.HttpRequestParser]


@pytest.mark.parametrize("parser_type", PARSERS)
async def test_what_the_framer_lets_through_ends_where_the_parser_ends(
    parser_type,
) -> None:
    messages = [
        HEAD + b"a: b\r\n\r\n",
        HEAD + b"Content-Length: 2\r\n\r\nab",
        HEAD + b"Transfer-Encoding: Chunked\r\n\r\n2;x=y\r\nab\r\n0\r\nc: d\r\n\r\n",
        b"\r\nGET /%C3%A9?q=%20 HTTP/1.1\r\nHost:\th \r\nb: \xff\r\n\r\n",
        b"POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\na",
    ]
    framer = RequestFramer(FramingLimits())
    loop = asyncio.get_running_loop()
    for data in messages:
        parser = parser_type(BaseProtocol(loop), loop, 65_536, max_headers=1 << 20)
        framer.feed(data)
        found = []
        while (part := framer.take(64)).data or part.pieces:
            found += parser.feed_data(part.data)[0]
        assert framer.is_between
        assert len(found) == 1
        assert found[0][1].is_eof()
