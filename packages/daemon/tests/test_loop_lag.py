"""Lag of the event loop, and connections that an overloaded host leaves unread."""

import asyncio
from collections.abc import AsyncIterator

import aiohttp
import pytest
from aiohttp import web

from sardinequay_daemon.bounded_http import UnreadConnection
from sardinequay_daemon.loop_lag import CHECK_PERIOD, MAX_LAG, LoopLag
from sardinequay_lab.ports import free_port

from .conftest import ManualClock

IP = "127.0.0.1"


@pytest.fixture
async def lag(clock: ManualClock) -> AsyncIterator[LoopLag]:
    made = LoopLag(clock)
    task = asyncio.create_task(made.run())
    await asyncio.sleep(0)
    yield made
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)


def test_loop_that_is_not_measured_yet_has_no_lag(clock) -> None:
    assert not LoopLag(clock).is_overloaded()


async def test_loop_that_is_overdue_is_overloaded_before_it_is_measured(
    lag, clock
) -> None:
    clock.advance(CHECK_PERIOD.total_seconds())
    assert not lag.is_overloaded()
    clock.advance(MAX_LAG.total_seconds() + 0.01)
    assert lag.is_overloaded()


async def test_lag_stays_until_the_next_measurement(lag, clock) -> None:
    clock.advance((CHECK_PERIOD + MAX_LAG).total_seconds() + 0.1)
    while not lag.last:
        await asyncio.sleep(0.01)
    assert lag.is_overloaded()
    while lag.last:
        await asyncio.sleep(0.01)
    assert not lag.is_overloaded()


async def test_connection_that_is_left_unread_is_closed_and_its_request_not_run() -> (
    None
):
    handled: list[str] = []

    async def handle(request: web.BaseRequest) -> web.Response:
        handled.append(request.path)
        return web.Response()

    server = web.Server(handle)
    is_overloaded = True

    def make_protocol() -> asyncio.BaseProtocol:
        return UnreadConnection() if is_overloaded else server()

    port = free_port(IP)
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(make_protocol, IP, port)
    async with aiohttp.ClientSession() as session:
        with pytest.raises(aiohttp.ClientError):
            await session.post(f"http://{IP}:{port}/unread", data=b"x" * 100_000)
        is_overloaded = False
        async with session.post(f"http://{IP}:{port}/read") as answer:
            assert answer.status == 200
    assert handled == ["/read"]
    listener.close()
    await server.shutdown()
