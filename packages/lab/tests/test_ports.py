"""Contracts: each port of the daemon against its stand-in."""

import asyncio
import json
from argparse import Namespace
from collections.abc import AsyncIterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from sardinequay_core.leases import AdapterUse
from sardinequay_core.names import AdapterRef, Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind
from sardinequay_daemon.engine_client import EngineRequest, HttpEngineClient
from sardinequay_daemon.errors import TargetError, TargetFault
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.platform import (
    HttpConfigurationService,
    HttpHostList,
    HttpReader,
)
from sardinequay_daemon.target_stream import read_events
from sardinequay_lab.history import HistoryWriter
from sardinequay_lab.standins.engine import Engine, whole_text
from sardinequay_lab.standins.published import (
    Publisher,
    RateLimit,
    configuration_app,
    host_list_app,
)

X = AdapterRef("x", "1")
NO_HISTORY = HistoryWriter(None, "")


@pytest.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as made:
        yield made


def reader(session: aiohttp.ClientSession, server: TestServer) -> HttpReader:
    return HttpReader(session, str(server.make_url("/")), Metrics("h", "d"), "service")


@pytest.fixture
async def configuration(
    tmp_path: Path, session: aiohttp.ClientSession
) -> AsyncIterator[HttpConfigurationService]:
    app = configuration_app(tmp_path, Publisher(RateLimit(100), NO_HISTORY))
    async with TestServer(app) as server:
        yield HttpConfigurationService(reader(session, server))


async def test_configuration_is_read_and_watched(
    configuration: HttpConfigurationService, tmp_path: Path
) -> None:
    missing = await configuration.watch_root(0, 0)
    assert missing.unwrap().data is None
    (tmp_path / "root").write_bytes(b"one")
    first = (await configuration.watch_root(0, 0)).unwrap()
    assert first.data == b"one"
    unchanged = (await configuration.watch_root(first.revision, 0.05)).unwrap()
    assert unchanged.data is None
    watch = asyncio.create_task(configuration.watch_root(first.revision, 10))
    await asyncio.sleep(0.05)
    (tmp_path / "root").write_bytes(b"two")
    assert (await watch).unwrap().data == b"two"


async def test_missing_blob_is_an_error(
    configuration: HttpConfigurationService,
) -> None:
    answer = await configuration.blob("0" * 64)  # type: ignore[arg-type]
    assert "404" in str(answer.failure())


async def test_value_over_the_limit_is_refused(
    configuration: HttpConfigurationService, tmp_path: Path
) -> None:
    (tmp_path / "root").write_bytes(b"x" * 1_000_001)
    answer = await configuration.watch_root(0, 0)
    assert "limit" in str(answer.failure())


async def test_service_that_is_down_is_an_error(session: aiohttp.ClientSession) -> None:
    down = HttpReader(session, "http://127.0.0.1:1", Metrics("h", "d"), "service")
    answer = await HttpConfigurationService(down).watch_root(0, 0)
    assert "ClientConnectorError" in str(answer.failure())


async def test_rate_limit_counts_every_call(
    tmp_path: Path, session: aiohttp.ClientSession
) -> None:
    (tmp_path / "root").write_bytes(b"one")
    app = configuration_app(tmp_path, Publisher(RateLimit(2), NO_HISTORY))
    async with TestServer(app) as server:
        service = HttpConfigurationService(reader(session, server))
        answers = [await service.watch_root(0, 0) for _ in range(3)]
    assert "429" in str(answers[2].failure())


async def test_host_list_is_decoded_and_garbage_is_an_error(
    tmp_path: Path, session: aiohttp.ClientSession
) -> None:
    file = tmp_path / "roster.json"
    file.write_text(json.dumps({"number": 3, "entry_hosts": [], "targets": []}))
    async with TestServer(
        host_list_app(file, Publisher(RateLimit(100), NO_HISTORY))
    ) as server:
        hosts = HttpHostList(reader(session, server))
        assert (await hosts.watch(0, 0)).unwrap().number == 3
        file.write_text("{")
        assert "host list" in str((await hosts.watch(1, 1)).failure())


@pytest.fixture
async def engine() -> AsyncIterator[Target]:
    arguments = Namespace(
        slots=2, max_batch=8, step_s=0.002, ignores_fencing=False, weight_store=""
    )
    async with TestServer(Engine(arguments, NO_HISTORY).app()) as server:
        address = Address("127.0.0.1", server.port or 0)
        yield Target(
            TargetId("e"),
            PoolName("p"),
            TargetKind.ENGINE,
            DataCentre("d"),
            address,
        )


@pytest.fixture
def engines(session: aiohttp.ClientSession) -> HttpEngineClient:
    return HttpEngineClient(session, session, silence_s=1, order_timeout_s=5)


def use(engine: Target, adapter: AdapterRef = X) -> AdapterUse:
    return AdapterUse(adapter, engine.target_id)


def request(model: str = "x@1", tokens: int = 5, **more: Any) -> EngineRequest:
    body = {"model": model, "prompt": "p", "max_tokens": tokens, **more}
    return EngineRequest("/v1/completions", "r1", json.dumps(body).encode(), {})


async def test_orders_change_what_an_engine_reports(
    engine: Target, engines: HttpEngineClient
) -> None:
    await engines.load(engine, use(engine), 5)
    report = (await engines.report(engine)).unwrap()
    assert (report.resident, report.highest_token, report.slots) == ((X,), 5, 2)
    await engines.unload(engine, use(engine), 6)
    assert (await engines.report(engine)).unwrap().resident == ()


async def test_old_token_is_refused_as_such(
    engine: Target, engines: HttpEngineClient
) -> None:
    await engines.load(engine, use(engine), 5)
    answer = await engines.unload(engine, use(engine), 4)
    assert answer.failure().fault is TargetFault.STALE_TOKEN


async def test_stream_is_whole_and_resumes_after_any_event(
    engine: Target, engines: HttpEngineClient
) -> None:
    await engines.load(engine, use(engine), 1)
    async with engines.send_request(engine.address, request()) as answer:
        assert answer.headers["X-Adapter"] == "x@1"
        whole = b"".join([part.data async for part in read_events(answer)])
    assert whole.count(b"id: ") == 6
    async with engines.resume_stream(engine.address, "r1", 4) as answer:
        rest = b"".join([part.data async for part in read_events(answer)])
    assert whole.endswith(rest)
    assert rest.startswith(b"id: 5")
    texts = [
        json.loads(x[6:])["choices"][0]["text"] for x in whole.split(b"\n") if b"{" in x
    ]
    assert "".join(texts) == whole_text("x@1", "p", 5)


@pytest.mark.parametrize(
    ("model", "fault", "proves"),
    [("gone@1", TargetFault.NOT_LOADED, True)],
)
async def test_adapter_that_is_not_loaded_proves_not_run(
    engine: Target,
    engines: HttpEngineClient,
    model: str,
    fault: TargetFault,
    proves: bool,
) -> None:
    with pytest.raises(TargetError) as caught:
        async with engines.send_request(engine.address, request(model)):
            pass
    assert (caught.value.fault, caught.value.proves_not_run) == (fault, proves)


async def test_unreachable_engine_proves_not_run(engines: HttpEngineClient) -> None:
    with pytest.raises(TargetError) as caught:
        async with engines.send_request(Address("127.0.0.1", 1), request()):
            pass
    assert caught.value.fault is TargetFault.NOT_SENT


async def test_unreachable_engine_proves_nothing_of_a_run_that_began(
    engines: HttpEngineClient,
) -> None:
    # Found in a trial with a restarted engine: the engine was down when a stream was to
    # be opened again, which was taken for a proof that the request had not run.
    with pytest.raises(TargetError) as caught:
        async with engines.resume_stream(Address("127.0.0.1", 1), "r1", 0):
            pass
    assert not caught.value.proves_not_run


async def test_engine_that_closes_without_answer_proves_nothing(
    engines: HttpEngineClient,
) -> None:
    async def close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.read(10)
        writer.close()

    server = await asyncio.start_server(close, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    with pytest.raises(TargetError) as caught:
        async with engines.send_request(Address("127.0.0.1", port), request()):
            pass
    server.close()
    assert not caught.value.proves_not_run


async def test_cancelled_request_leaves_the_batch(
    engine: Target, engines: HttpEngineClient
) -> None:
    await engines.load(engine, use(engine), 1)
    async with engines.send_request(engine.address, request(tokens=4000)):
        await engines.cancel(engine.address, "r1")
    report = (await engines.report(engine)).unwrap()
    assert (report.running, report.waiting, report.in_use) == (0, 0, ())


async def test_silent_engine_is_found_within_the_bound(
    session: aiohttp.ClientSession,
) -> None:
    async def swallow(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    server = await asyncio.start_server(swallow, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    engines = HttpEngineClient(session, session, silence_s=0.2, order_timeout_s=5)
    with pytest.raises(TargetError) as caught:
        async with engines.send_request(Address("127.0.0.1", port), request()):
            pass
    server.close()
    assert caught.value.fault is TargetFault.BROKEN
