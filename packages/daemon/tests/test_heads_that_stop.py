"""A head of an answer that stops half way is no answer, whatever the parser has of it.

Another operator's engine stopped inside the head of an answer and closed, and callers
got a success with an empty or short body that was framed as whole.
"""

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable

import aiohttp
import pytest
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage
from aiohttp.streams import EMPTY_PAYLOAD

from sardinequay_core.answer_framing import AnswerFramer, FramedAnswer
from sardinequay_daemon.answer_head import HeadReader
from sardinequay_daemon.connection_reset import reset
from sardinequay_daemon.strict_connector import BoundedConnector, StrictConnector

WHOLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
HEADS = {
    "length": b"HTTP/1.1 200 OK\r\nX-Seal: abc\r\nContent-Length: 12\r\n\r\n",
    "chunks": b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
    "neither": b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n",
    "empty": b"HTTP/1.1 204 No Content\r\nX-Seal: abc\r\n\r\n",
    "refusal": b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\nRetry-After: 30\r\n\r\n",
    "after 100": b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-A: b\r\n\r\n",
    "after 103": b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
    "upgrade": b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
    "line feeds": b"HTTP/1.1 200 OK\nContent-Length: 0\n\n",
    "old version": b"HTTP/1.0 200 OK\r\nX-Seal: abc\r\n\r\n",
}
End = Callable[[asyncio.WriteTransport], None]
ENDS: dict[str, End] = {"closes": lambda transport: transport.close(), "resets": reset}


class CutTarget:
    """A target that answers calls on one connection, the last one in part.

    Parameters
    ----------
    begin : bytes
        What it sends of the last answer.
    answers_before : int
        Whole answers that it sends on the connection before.
    """

    def __init__(self, end: End, answers_before: int) -> None:
        self.begin = b""
        self.end = end
        self.answers_before = answers_before

    async def answer(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(asyncio.IncompleteReadError, ConnectionError):
            for _ in range(self.answers_before):
                await reader.readuntil(b"\r\n\r\n")
                writer.write(WHOLE)
            await reader.readuntil(b"\r\n\r\n")
            writer.write(self.begin)
            await asyncio.sleep(0)
        self.end(writer.transport)


@contextlib.asynccontextmanager
async def serve(target: CutTarget) -> AsyncIterator[str]:
    server = await asyncio.start_server(target.answer, "127.0.0.1", 0)
    async with server:
        yield f"http://127.0.0.1:{server.sockets[0].getsockname()[1]}/"


async def answers_to_cut_heads(
    connector: type[BoundedConnector], head: bytes, end: End, answers_before: int
) -> list[tuple[int, int, bytes]]:
    """Return what came of a head cut at each byte: the place, status and body."""
    found = []
    target = CutTarget(end, answers_before)
    async with serve(target) as url:
        for place in range(len(head)):
            target.begin = head[:place]
            async with aiohttp.ClientSession(connector=connector("127.0.0.1")) as own:
                for _ in range(answers_before):
                    async with own.get(url) as answer:
                        assert await answer.read() == b"whole"
                with contextlib.suppress(aiohttp.ClientError, ConnectionError):
                    async with asyncio.timeout(5), own.post(url, data=b"x") as answer:
                        found.append((place, answer.status, await answer.read()))
    return found


@pytest.mark.parametrize("answers_before", [0, 1])
@pytest.mark.parametrize("end", ENDS)
@pytest.mark.parametrize("head", HEADS)
@pytest.mark.parametrize("connector", [StrictConnector, BoundedConnector])
async def test_head_that_stops_half_way_is_no_answer(
    connector, head: str, end: str, answers_before: int
) -> None:
    assert not await answers_to_cut_heads(
        connector, HEADS[head], ENDS[end], answers_before
    )


async def test_answers_from_what_the_parser_has_at_the_end_are_detected(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    original = ResponseHandler.connection_lost

    def hand_out_the_rest(self, exc: BaseException | None) -> None:
        rest = self._parser.feed_eof() if self._parser is not None else None
        if isinstance(rest, RawResponseMessage):
            self.feed_data((rest, EMPTY_PAYLOAD), 0)
        original(self, exc)

    def let_all_through(self, data: bytes) -> FramedAnswer:
        return FramedAnswer(data)

    monkeypatch.setattr(ResponseHandler, "connection_lost", hand_out_the_rest)
    assert not await answers_to_cut_heads(
        StrictConnector, HEADS["length"], ENDS["closes"], 0
    )
    monkeypatch.setattr(AnswerFramer, "feed", let_all_through)
    assert await answers_to_cut_heads(
        StrictConnector, HEADS["length"], ENDS["closes"], 0
    )


@pytest.mark.parametrize("head", HEADS)
def test_nothing_is_read_from_a_head_that_stops_half_way(head: str) -> None:
    for place in range(len(HEADS[head])):
        assert HeadReader().feed(HEADS[head][:place]) is None
