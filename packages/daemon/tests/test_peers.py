"""Calls between hosts: replies, failures, silence, resets and idle links."""

import asyncio
import gc
import socket
import struct
from collections.abc import AsyncIterator

import pytest
from returns.result import Failure, Success

from sardinequay_core.names import Address
from sardinequay_core.roster import Roster
from sardinequay_daemon.messages import (
    FetchRoot,
    FetchRoster,
    RootReply,
    RosterReply,
)
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.peer_link import PeerStream
from sardinequay_daemon.peers import PeerClient, PeerServer
from sardinequay_daemon.shared_settings import TimingSettings
from sardinequay_daemon.wire import (
    Frame,
    FrameKind,
    FrameReader,
    encode_frame,
    encode_message,
)

IP = "127.0.0.1"


@pytest.fixture
async def server(metrics: Metrics) -> AsyncIterator[tuple[PeerServer, Address]]:
    peer_server = PeerServer(metrics)
    listener = await peer_server.start(Address(IP, 0))
    port = listener.sockets[0].getsockname()[1]
    yield peer_server, Address(IP, port)
    listener.close()
    peer_server.close()


@pytest.fixture
async def client(metrics: Metrics, timing: TimingSettings) -> AsyncIterator[PeerClient]:
    peer_client = PeerClient(timing, metrics, IP)
    yield peer_client
    peer_client.close()


async def test_call_is_answered(server, client: PeerClient) -> None:
    peer_server, address = server

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    peer_server.register(FetchRoot, answer)
    assert await client.call(address, FetchRoot()) == Success(RootReply(b"root"))


async def test_delayed_replies_complete_their_own_calls(
    server, client: PeerClient
) -> None:
    peer_server, address = server
    delays = iter((0.2, 0.1, 0.0))

    async def answer(_: FetchRoot) -> RootReply:
        delay = next(delays)
        await asyncio.sleep(delay)
        return RootReply(str(delay).encode())

    peer_server.register(FetchRoot, answer)
    calls = [client.call(address, FetchRoot()) for _ in range(3)]
    answers = [a.unwrap().data for a in await asyncio.gather(*calls)]
    assert answers == [b"0.2", b"0.1", b"0.0"]


async def test_request_without_handler_fails(server, client: PeerClient) -> None:
    _, address = server
    answer = await client.call(address, FetchRoster())
    assert "no request" in str(answer.failure())


async def test_call_to_unreachable_host_fails(client: PeerClient) -> None:
    answer = await client.call(Address(IP, 1), FetchRoot())
    assert isinstance(answer, Failure)


async def test_long_call_to_a_live_host_does_not_time_out(
    server, client: PeerClient, timing: TimingSettings
) -> None:
    peer_server, address = server

    async def answer(_: FetchRoot) -> RootReply:
        await asyncio.sleep(timing.silence_s * 3)
        return RootReply(b"late")

    peer_server.register(FetchRoot, answer)
    assert isinstance(await client.call(address, FetchRoot(), 30), Success)


async def test_silent_link_fails_its_calls_and_is_replaced(
    client: PeerClient, metrics: Metrics
) -> None:
    connections = 0

    async def read_without_reply(
        reader: asyncio.StreamReader, _: asyncio.StreamWriter
    ) -> None:
        nonlocal connections
        connections += 1
        await reader.read()

    listener = await asyncio.start_server(read_without_reply, IP, 0)
    address = Address(IP, listener.sockets[0].getsockname()[1])
    answer = await client.call(address, FetchRoot(), 30)
    assert "silent" in str(answer.failure())
    await client.call(address, FetchRoot(), 30)
    assert connections == 2
    listener.close()


async def test_silent_link_is_replaced_though_calls_follow_one_another(
    server, client: PeerClient, timing: TimingSettings
) -> None:
    """Each call began the wait for a frame anew, and none lasted as long as that."""
    peer_server, _ = server
    is_silent = True

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    async def swallow(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if is_silent:
            await reader.read()
            writer.close()
        else:
            await peer_server.serve_connection(reader, writer)

    peer_server.register(FetchRoot, answer)
    listener = await asyncio.start_server(swallow, IP, 0)
    silent = Address(IP, listener.sockets[0].getsockname()[1])
    call_s = timing.silence_s / 3
    assert isinstance(await client.call(silent, FetchRoot(), call_s), Failure)
    first = client.links[silent]
    is_silent = False
    answers = [await client.call(silent, FetchRoot(), call_s) for _ in range(9)]
    assert not first.is_open
    assert answers[-1] == Success(RootReply(b"root"))
    listener.close()


async def test_connection_without_frames_is_closed_by_the_called_host(
    server, metrics: Metrics, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The caller's end may have gone without a trace; each kept a descriptor."""
    monkeypatch.setattr("sardinequay_daemon.peers.SERVED_IDLE_TIMEOUT_S", 0.1)
    peer_server, address = server
    _, writer = await asyncio.open_connection(address.ip, address.port)
    async with asyncio.timeout(5):
        while not peer_server.connections:
            await asyncio.sleep(0.01)
        while peer_server.connections:
            await asyncio.sleep(0.01)
    writer.close()


async def test_invalid_bytes_close_only_their_own_connection(
    server, client: PeerClient
) -> None:
    peer_server, address = server

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    peer_server.register(FetchRoot, answer)
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    writer.write(b"GET / HTTP/1.1\r\n\r\n")
    assert await reader.read() == b""
    assert isinstance(await client.call(address, FetchRoot()), Success)


async def test_reset_by_the_peer_leaves_no_unretrieved_exception(
    server, client: PeerClient
) -> None:
    """A reset connection leaves no unretrieved exception.

    The stream stores the reset as an exception, which the event loop logs as never
    retrieved unless the server waits for the connection to close.
    """
    peer_server, address = server
    errors: list[dict[str, object]] = []
    loop = asyncio.get_running_loop()
    loop.set_exception_handler(lambda _, context: errors.append(context))

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    peer_server.register(FetchRoot, answer)
    await client.call(address, FetchRoot())
    link = client.links[address]
    (connection,) = peer_server.connections
    protocol = connection.writer.transport.get_protocol()
    link_socket = link.writer.get_extra_info("socket")
    link_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    link.writer.transport.abort()
    async with asyncio.timeout(5):
        while peer_server.connections:
            await asyncio.sleep(0.01)
    close_future = protocol._closed
    del protocol, connection
    assert not close_future._log_traceback
    del close_future
    gc.collect()
    assert errors == []


async def test_link_without_calls_is_closed_and_opened_again(
    server, metrics: Metrics, timing: TimingSettings
) -> None:
    """An idle link is closed on both ends, and the next call opens another one.

    At the start of many hosts, most pairs exchange digests once and then never again.
    """
    peer_server, address = server

    async def answer(_: FetchRoot) -> RootReply:
        return RootReply(b"root")

    peer_server.register(FetchRoot, answer)
    client = PeerClient(timing, metrics, IP, idle_s=0.05)
    await client.call(address, FetchRoot())
    async with asyncio.timeout(5):
        while client.links or peer_server.connections:
            await asyncio.sleep(0.01)
    assert isinstance(await client.call(address, FetchRoot()), Success)
    client.close()


async def test_a_stream_whose_end_was_given_up_can_still_be_waited_for(
    metrics: Metrics,
) -> None:
    streams: asyncio.Queue[PeerStream] = asyncio.Queue()

    async def serve(reader, writer) -> None:
        await streams.put(PeerStream(reader, writer, metrics, FrameReader(), 0))

    server = await asyncio.start_server(serve, IP, 0)
    port = server.sockets[0].getsockname()[1]
    _, unread = await asyncio.open_connection(IP, port)
    stream = await streams.get()
    stream.writer.write(b"x" * 50_000_000)
    ending = asyncio.create_task(stream.finish())
    await asyncio.sleep(0.05)
    ending.cancel()
    await asyncio.wait((ending,))
    unread.transport.abort()
    async with asyncio.timeout(5):
        await stream.wait_closed()
    server.close()


async def test_request_that_fails_unforeseen_is_a_failure_at_once(
    server, client: PeerClient, metrics: Metrics
) -> None:
    """Guards against calls that wait for timeouts, and faults that nobody sees."""
    peer_server, address = server

    async def answer(_: FetchRoot) -> RootReply:
        raise RecursionError("deep")

    peer_server.register(FetchRoot, answer)
    result = await client.call(address, FetchRoot(), 30)
    assert "deep" in str(result.failure())
    kind = {"kind": "request of a peer"}
    assert metrics.unforeseen_errors.get(kind) == 1


async def test_message_that_cannot_be_encoded_is_a_failure(
    server, client: PeerClient
) -> None:
    """Guards against numbers past 64 bits that end the tasks which send them."""
    peer_server, address = server

    async def answer(_: FetchRoot) -> RosterReply:
        return RosterReply(Roster(2**64))

    peer_server.register(FetchRoot, answer)
    roster = RosterReply(Roster(2**64))
    assert isinstance(await client.call(address, roster), Failure)
    assert "2**64" in str((await client.call(address, FetchRoot(), 30)).failure())


async def test_reply_that_cannot_be_decoded_fails_its_own_call_only(
    client: PeerClient,
) -> None:
    async def reply(reader: asyncio.StreamReader, writer: asyncio.StreamWriter):
        frames = FrameReader()
        requests = []
        while len(requests) < 2:
            requests += [
                f
                for f in frames.feed(await reader.read(4096))
                if f.kind is FrameKind.REQUEST
            ]
        nested = b"\x91" * 2_000 + b"\x01"
        first, second = (f.correlation for f in requests)
        bad = Frame(FrameKind.REPLY, first, "RootReply", nested)
        good = encode_message(FrameKind.REPLY, second, RootReply(b"root"))
        writer.write(encode_frame(bad) + encode_frame(good))

    listener = await asyncio.start_server(reply, IP, 0)
    address = Address(IP, listener.sockets[0].getsockname()[1])
    calls = [client.call(address, FetchRoot(), 30) for _ in range(2)]
    first, second = await asyncio.gather(*calls)
    assert isinstance(first, Failure)
    assert second == Success(RootReply(b"root"))
    listener.close()


async def test_link_whose_tasks_are_cancelled_closes_its_connection(
    server, client: PeerClient
) -> None:
    # A host that ended while links were silent left streams open to its closed loop.
    _, address = server
    link = await client.open_link(address)
    await asyncio.sleep(0)
    for task in link.tasks:
        task.cancel()
    await asyncio.gather(*link.tasks, return_exceptions=True)
    assert link.writer.transport.is_closing()


async def test_client_that_is_closed_opens_no_further_link(
    server, client: PeerClient
) -> None:
    peer_server, address = server
    client.close()
    result = await client.call(address, FetchRoot())
    assert isinstance(result, Failure)
    assert not client.links
    assert not peer_server.connections


async def test_keepalive_frames_add_nothing_to_what_a_host_holds(
    server, metrics: Metrics
) -> None:
    # Each tag became a label of a metric, and each body was sent back.
    _, address = server
    reader, writer = await asyncio.open_connection(address.ip, address.port)
    for number in range(50):
        frame = Frame(FrameKind.ALIVE, number, f"tag {number}", b"x" * 9000)
        writer.write(encode_frame(frame))
    frames = FrameReader()
    received: list[Frame] = []
    async with asyncio.timeout(5):
        while len(received) < 50:
            received += frames.feed(await reader.read(65_536))
    writer.close()
    assert not any(frame.tag or frame.body for frame in received)
    assert len(metrics.peer_messages.get_all()) == 1
