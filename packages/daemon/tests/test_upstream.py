"""What is asked right before the bytes of a request leave for a target."""

from collections.abc import AsyncIterator, Callable
from types import SimpleNamespace

import pytest
from aiohttp import web
from multidict import CIMultiDict

from sardinequay_core.names import Address, TargetId
from sardinequay_daemon.errors import TargetError, TargetFault
from sardinequay_daemon.path_monitor import PathMonitor
from sardinequay_daemon.pending_send import PendingSend
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.upstream import Upstream, UpstreamRequest

from .conftest import ManualClock

IP = "127.0.0.1"


@pytest.fixture
async def target() -> AsyncIterator[SimpleNamespace]:
    """A server that counts its connections and requests."""
    seen = SimpleNamespace(connections=set(), requests=0)

    async def answer(request: web.BaseRequest) -> web.Response:
        seen.requests += 1
        seen.connections.add(request.transport)
        return web.Response(text="whole")

    runner = web.ServerRunner(web.Server(answer))
    await runner.setup()
    site = web.TCPSite(runner, IP, 0)
    await site.start()
    seen.address = Address(IP, site._server.sockets[0].getsockname()[1])
    yield seen
    await runner.cleanup()


@pytest.fixture
async def upstream(clock: ManualClock) -> AsyncIterator[Upstream]:
    async def accepts(_: Address) -> bool:
        return True

    metrics = ServingMetrics("h1", "za")
    monitor = PathMonitor(accepts, None, clock, metrics, lambda _: None)
    made = Upstream(IP, monitor)
    yield made
    await made.close()


async def send(upstream: Upstream, target, confirm: Callable[[], None]) -> str:
    request = UpstreamRequest("POST", "/", CIMultiDict(), b"body", True)
    pending = PendingSend("r1", TargetId("t"), confirm)
    async with upstream.send(target.address, request, 1.0, pending) as answer:
        return await answer.text()


def withhold() -> None:
    raise TargetError(TargetFault.WITHHELD, "leaving")


async def test_request_that_is_withheld_sends_no_byte(upstream, target) -> None:
    with pytest.raises(TargetError) as raised:
        await send(upstream, target, withhold)
    assert raised.value.fault is TargetFault.WITHHELD
    assert raised.value.proves_not_run
    assert target.requests == 0


async def test_connection_of_a_withheld_request_is_kept_for_others(
    upstream, target
) -> None:
    await send(upstream, target, lambda: None)
    with pytest.raises(TargetError):
        await send(upstream, target, withhold)
    assert await send(upstream, target, lambda: None) == "whole"
    assert len(target.connections) == 1


async def test_question_is_asked_for_a_connection_that_was_used_before(
    upstream, target
) -> None:
    asked: list[int] = []
    for number in range(3):
        await send(upstream, target, lambda number=number: asked.append(number))
    assert asked == [0, 1, 2]
    assert len(target.connections) == 1
