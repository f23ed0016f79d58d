"""Callers that keep to no limits must not end or block the daemon that they press.

Real processes. The pressed host must live, stay within its memory, and answer an
ordinary request while the crowd's connections are still open. Run alone on a machine:
the kernel's share of the memory hangs on who else runs.
"""

import asyncio
import os
from collections.abc import Iterator

import aiohttp
import pytest

from sardinequay_core.names import Address, parse_address
from sardinequay_lab.cluster import Cluster, HostPlace
from sardinequay_lab.flood import FLOODS, HEAD, Crowd, Watch
from sardinequay_lab.plan import Plan
from sardinequay_lab.trial_files import adapter_name

pytestmark = pytest.mark.alone

MAX_MEMORY_BYTES = 150_000_000
"""Half of what a process may take on the users' machines."""

MAX_LOG_BYTES = 10_000_000
ROUNDS = 2
TRIES = 5
TRY_WITHIN_S = 10.0
PAUSE_S = 0.3
MANY_CALLERS = 400
BODY_PART = b"x" * 50_000
PLAN = Plan(
    data_centres=("tukwila",),
    hosts=1,
    engines=2,
    adapters=4,
    loads_per_s=20.0,
    limits={"max_body_bytes": 65_536},
)
HEADERS = {"Authorization": "Bearer kiosks-token"}
BODY = {"model": f"{adapter_name(0)}@1", "prompt": "hello", "max_tokens": 4}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    made = Cluster(tmp_path_factory.mktemp("past-limits"), PLAN)
    try:
        made.start()
        asyncio.run(made.ready())
        yield made
    finally:
        made.stop()


@pytest.fixture
def host(cluster: Cluster) -> HostPlace:
    (made,) = cluster.hosts.values()
    return made


@pytest.fixture
def watch(cluster: Cluster, host: HostPlace) -> Iterator[Watch]:
    ports = [
        address_of(text).port for text in (host.callers, host.operators, host.peers)
    ]
    process = cluster.processes[host.host_id]
    made = Watch(process.pid, ports, MAX_MEMORY_BYTES).start()
    yield made
    made.stop()


def address_of(text: str) -> Address:
    return parse_address(text).unwrap()


async def ask(host: HostPlace) -> int:
    """Send an ordinary request, as often as callers try; return its status."""
    timeout = aiohttp.ClientTimeout(total=TRY_WITHIN_S)
    url = f"http://{host.callers}/v1/completions"
    for _ in range(TRIES):
        try:
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(url, json=BODY, headers=HEADERS) as answer,
            ):
                await answer.read()
                if answer.status == 200:
                    return 200
        except (aiohttp.ClientError, TimeoutError):
            pass
        await asyncio.sleep(PAUSE_S)
    return 0


def check(cluster: Cluster, host: HostPlace, watch: Watch) -> None:
    """Check that the host lives, and that it stayed within its bounds."""
    watch.stop()
    assert watch.peak_memory_bytes <= MAX_MEMORY_BYTES
    assert not watch.was_ended
    assert cluster.processes[host.host_id].poll() is None
    logs = cluster.directory / "logs"
    sizes = [logs.joinpath(name).stat().st_size for name in os.listdir(logs)]  # noqa: PTH208
    assert max(sizes) <= MAX_LOG_BYTES


async def press(cluster: Cluster, host: HostPlace, address: Address, flood) -> None:
    for _ in range(ROUNDS):
        crowd = Crowd(address.ip, address.port)
        await asyncio.to_thread(crowd.press, flood)
        status = await ask(host)
        crowd.leave()
        assert cluster.processes[host.host_id].poll() is None
        assert status == 200


@pytest.mark.parametrize("flood", FLOODS, ids=lambda flood: flood.name)
async def test_daemon_outlives_bytes_without_end(cluster, host, watch, flood) -> None:
    await press(cluster, host, address_of(host.callers), flood)
    check(cluster, host, watch)


@pytest.mark.parametrize("flood", FLOODS[:5], ids=lambda flood: flood.name)
async def test_daemon_outlives_bytes_without_end_where_operators_call(
    cluster, host, watch, flood
) -> None:
    await press(cluster, host, address_of(host.operators), flood)
    check(cluster, host, watch)


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(HEAD + b"x: " + b"a" * 16_000, id="part-of-a-head"),
        pytest.param(
            HEAD + b"Content-Length: 60000\r\n\r\n" + BODY_PART, id="part-of-a-body"
        ),
    ],
)
async def test_daemon_outlives_messages_that_stop(cluster, host, watch, data) -> None:
    for _ in range(ROUNDS):
        address = address_of(host.callers)
        crowd = Crowd(address.ip, address.port)
        await asyncio.to_thread(crowd.open_with, data, MANY_CALLERS)
        status = await ask(host)
        crowd.leave()
        assert status == 200
    check(cluster, host, watch)
