"""Calls between hosts: answered, refused, silent, and closed."""

import asyncio
import gc
import socket
import struct
from collections.abc import AsyncIterator

import pytest
from returns.result import Failure, Success

from sardinequay_core.names import Address
from sardinequay_daemon.messages import FetchRoot, FetchRoster, RootReply
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.peers import PeerClient, PeerServer
from sardinequay_daemon.shared_settings import TimingSettings

IP = "127.0.0.1"


@pytest.fixture
async def server(metrics: Metrics) -> AsyncIterator[tuple[PeerServer, Address]]:
    made = PeerServer(metrics)
    listener = await made.start(Address(IP, 0))
    port = listener.sockets[0].getsockname()[1]
    yield made, Address(IP, port)
    listener.close()
    made.close()


@pytest.fixture
async def caller(metrics: Metrics, timing: TimingSettings) -> AsyncIterator[PeerClient]:
    made = PeerClient(timing, metrics, IP)
    yield made
    made.close()


async def test_call_is_answered(server, caller: PeerClient) -> None:
    made, address = server

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    made.register(FetchRoot, answer)
    assert await caller.call(address, FetchRoot()) == Success(RootReply(b"root"))


async def test_late_answers_go_to_their_own_calls(server, caller: PeerClient) -> None:
    made, address = server
    delays = iter((0.2, 0.1, 0.0))

    async def answer(_: FetchRoot) -> RootReply:
        delay = next(delays)
        await asyncio.sleep(delay)
        return RootReply(str(delay).encode())

    made.register(FetchRoot, answer)
    calls = [caller.call(address, FetchRoot()) for _ in range(3)]
    answers = [a.unwrap().data for a in await asyncio.gather(*calls)]
    assert answers == [b"0.2", b"0.1", b"0.0"]


async def test_request_without_handler_is_refused(server, caller: PeerClient) -> None:
    _, address = server
    answer = await caller.call(address, FetchRoster())
    assert "no request" in str(answer.failure())


async def test_unreachable_host_is_an_error(caller: PeerClient) -> None:
    answer = await caller.call(Address(IP, 1), FetchRoot())
    assert isinstance(answer, Failure)


async def test_long_call_to_a_live_host_is_not_taken_for_silence(
    server, caller: PeerClient, timing: TimingSettings
) -> None:
    made, address = server

    async def answer(_: FetchRoot) -> RootReply:
        await asyncio.sleep(timing.silence_s * 3)
        return RootReply(b"late")

    made.register(FetchRoot, answer)
    assert isinstance(await caller.call(address, FetchRoot(), 30), Success)


async def test_silent_link_fails_its_calls_and_is_replaced(
    caller: PeerClient, metrics: Metrics
) -> None:
    connections = 0

    async def swallow(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        nonlocal connections
        connections += 1
        await reader.read()

    listener = await asyncio.start_server(swallow, IP, 0)
    address = Address(IP, listener.sockets[0].getsockname()[1])
    answer = await caller.call(address, FetchRoot(), 30)
    assert "silent" in str(answer.failure())
    await caller.call(address, FetchRoot(), 30)
    assert connections == 2
    listener.close()


async def test_garbage_closes_only_its_own_connection(
    server, caller: PeerClient
) -> None:
    made, address = server

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    made.register(FetchRoot, answer)
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert await reader.read() == b""
    assert isinstance(await caller.call(address, FetchRoot()), Success)


async def test_reset_by_the_peer_leaves_no_error_behind(
    server, caller: PeerClient
) -> None:
    """A stream that was reset keeps its error until somebody looks at it."""
    made, address = server
    complaints: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: complaints.append(context))

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    made.register(FetchRoot, answer)
    await caller.call(address, FetchRoot())
    link = caller.links[address]
    (connection,) = made.connections
    protocol = connection.writer.transport.get_protocol()
    reset = link.writer.get_extra_info("socket")
    reset.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.writer.transport.abort()
    async with asyncio.timeout(5):
        while made.connections:
            await asyncio.sleep(0.01)
    kept = protocol._closed
    del protocol, connection
    assert not kept._log_traceback
    del kept
    gc.collect()
    assert complaints == []


async def test_link_without_calls_is_closed_and_opened_again(
    server, metrics: Metrics, timing: TimingSettings
) -> None:
    """Replay the start of many hosts: most pairs talk once and then never again."""
    made, address = server

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    made.register(FetchRoot, answer)
    caller = PeerClient(timing, metrics, IP, idle_s=0.05)
    await caller.call(address, FetchRoot())
    async with asyncio.timeout(5):
        while caller.links or made.connections:
            await asyncio.sleep(0.01)
    assert isinstance(await caller.call(address, FetchRoot()), Success)
    caller.close()
