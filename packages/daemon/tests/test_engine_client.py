"""Calls to engines in trouble: answers without end, and answers that are none."""

import tracemalloc
from collections.abc import AsyncIterator, Awaitable, Callable, Iterator
from contextlib import asynccontextmanager

import pytest

from sardinequay_core.leases import AdapterUse
from sardinequay_core.names import (
    AdapterRef,
    DataCentre,
    PoolName,
    TargetId,
)
from sardinequay_core.roster import Target, TargetKind
from sardinequay_daemon.engine_client import EngineRequest, HttpEngineClient
from sardinequay_daemon.errors import TargetError, TargetFault
from sardinequay_daemon.single_send import client_session
from sardinequay_daemon.strict_connector import StrictConnector
from sardinequay_lab.broken_answers import refused_cases
from sardinequay_lab.raw_server import raw_server

IP = "127.0.0.1"
MAX_HELD_BYTES = 40_000_000
ADAPTER = AdapterRef("x", "1")
Call = Callable[[HttpEngineClient, Target], Awaitable[object]]


async def report(engines: HttpEngineClient, engine: Target) -> object:
    return (await engines.report(engine)).failure()


async def load(engines: HttpEngineClient, engine: Target) -> object:
    use = AdapterUse(ADAPTER, engine.target_id)
    return (await engines.load(engine, use, 1)).failure()


async def unload(engines: HttpEngineClient, engine: Target) -> object:
    use = AdapterUse(ADAPTER, engine.target_id)
    return (await engines.unload(engine, use, 1)).failure()


async def send(engines: HttpEngineClient, engine: Target) -> object:
    request = EngineRequest("/v1/completions", "r1", b"{}", {})
    try:
        async with engines.send_request(engine.address, request):
            pass
    except TargetError as error:
        return error
    return None


async def resume(engines: HttpEngineClient, engine: Target) -> object:
    try:
        async with engines.resume_stream(engine.address, "r1", 3):
            pass
    except TargetError as error:
        return error
    return None


CALLS: dict[str, Call] = {
    "report": report,
    "load": load,
    "unload": unload,
    "send": send,
    "resume": resume,
}


@asynccontextmanager
async def engine(beginning: bytes, repeated: bytes = b"") -> AsyncIterator[Target]:
    """An engine that answers with the same bytes."""
    async with raw_server(beginning, repeated) as address:
        yield Target(
            TargetId("e"), PoolName("p"), TargetKind.ENGINE, DataCentre("d"), address
        )


@pytest.fixture
async def engines() -> AsyncIterator[HttpEngineClient]:
    async with (
        client_session(StrictConnector(IP)) as kept,
        client_session(StrictConnector(IP, force_close=True)) as fresh,
    ):
        yield HttpEngineClient(kept, fresh, silence_s=2.0, order_timeout_s=2.0)


@pytest.fixture
def memory() -> Iterator[None]:
    """Check how much memory was in use at most."""
    tracemalloc.start()
    try:
        yield
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak < MAX_HELD_BYTES


@pytest.mark.parametrize("status", [b"200 OK", b"409 Conflict", b"503 Busy"])
@pytest.mark.parametrize("call", ["report", "load", "unload", "send"])
async def test_answer_without_end_is_held_within_a_bound(
    engines: HttpEngineClient, memory, call: str, status: bytes
) -> None:
    """Guards against one engine that takes all of a host's memory."""
    head = b"HTTP/1.1 " + status + b"\r\n\r\n"
    async with engine(head, b"x" * 65_536) as target:
        error = await CALLS[call](engines, target)
    if call == "send" and status.startswith(b"200"):
        assert error is None
        return
    assert isinstance(error, TargetError)
    assert not error.proves_not_run


async def test_answer_without_end_to_a_cancellation_is_held_within_a_bound(
    engines: HttpEngineClient, memory
) -> None:
    async with engine(b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 65_536) as target:
        await engines.cancel(target.address, "r1")


@pytest.mark.parametrize("call", CALLS)
async def test_answer_that_is_none_is_a_typed_error(
    engines: HttpEngineClient, call: str
) -> None:
    for case in refused_cases():
        if not case.is_head_refused:
            continue
        async with engine(case.data()) as target:
            error = await CALLS[call](engines, target)
            await engines.cancel(target.address, "r1")
        assert isinstance(error, TargetError), case.name
        assert error.fault is TargetFault.BROKEN, case.name
