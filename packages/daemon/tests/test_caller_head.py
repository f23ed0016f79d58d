"""A head that cannot be written leaves room for another answer on its connection."""

from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer

from sardinequay_daemon.caller_head import write_head
from sardinequay_daemon.errors import HeadNotWrittenError

ODD_HEADERS = ({"X-A": "b\x01"}, {"X-A": "b\r\nc"}, {"X\n": "b"})


async def answer(http: web.Request) -> web.StreamResponse:
    """Try an odd head, then answer; the path names both."""
    number, kind = http.path.strip("/").split("/")
    headers = ODD_HEADERS[int(number)]
    odd: web.StreamResponse = web.StreamResponse(headers=headers)
    if kind == "length":
        odd = web.Response(body=b"odd answer", headers=headers)
    try:
        await write_head(odd, http)
    except HeadNotWrittenError as error:
        return web.Response(status=502, text=str(error))
    return odd


@pytest.fixture
async def server() -> AsyncIterator[TestServer]:
    app = web.Application()
    app.router.add_get("/{number}/{kind}", answer)
    async with TestServer(app) as made:
        yield made


@pytest.mark.parametrize("kind", ["length", "chunks"])
@pytest.mark.parametrize("version", [aiohttp.HttpVersion10, aiohttp.HttpVersion11])
async def test_another_answer_may_follow_a_head_that_was_not_written(
    server: TestServer, kind: str, version: aiohttp.HttpVersion
) -> None:
    async with aiohttp.ClientSession(version=version) as session:
        for number in range(len(ODD_HEADERS)):
            async with session.get(server.make_url(f"/{number}/{kind}")) as got:
                text = await got.text()
            assert got.status == 502
            assert text.startswith("the answer's head cannot be passed on: ")
            assert "Transfer-Encoding" not in got.headers
