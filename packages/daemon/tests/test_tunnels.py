"""Connections to targets through a peer, over real sockets."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from random import Random

import aiohttp
import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.statements.obstacle import Obstacle, ObstacleKind
from sardinequay_daemon.answer_head import HttpHead
from sardinequay_daemon.connection_reset import reset
from sardinequay_daemon.path_messages import OpenTunnel
from sardinequay_daemon.path_monitor import PathMonitor
from sardinequay_daemon.peer_table import Peer
from sardinequay_daemon.peers import PeerServer
from sardinequay_daemon.pending_send import PendingSend, pending_send
from sardinequay_daemon.serving_messages import Contact
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.system_clock import SystemClock
from sardinequay_daemon.target_connector import TargetConnector
from sardinequay_daemon.tunnel_client import TunnelClient
from sardinequay_daemon.tunnel_server import FIRST_BYTES_TIMEOUT_S, TunnelServer
from sardinequay_lab.broken_answers import answer_cases, refused_cases

IP = "127.0.0.1"
LATER = seconds(1e6)


@dataclass
class RawTarget:
    """A target that answers each request with given bytes, then ends in some way.

    `ending` is "close", "reset" or "stay".
    """

    answer: bytes
    ending: str = "close"
    received: bytes = b""
    was_reset: bool = False
    closed: asyncio.Event = field(default_factory=asyncio.Event)
    address: Address = field(default=Address(IP, 0))

    async def handle(self, reader, writer) -> None:
        self.received = await reader.readuntil(b"\r\n\r\n")
        writer.write(self.answer)
        await writer.drain()
        if self.ending == "reset":
            await asyncio.sleep(0.05)
            reset(writer.transport)
        elif self.ending == "close":
            writer.close()
        else:
            try:
                await reader.read()
            except ConnectionResetError:
                self.was_reset = True
            self.closed.set()


class ClosingTarget(RawTarget):
    """A target that has ended, behind a gateway that accepts its connections."""

    async def handle(self, reader, writer) -> None:
        writer.close()


@dataclass
class Fleet:
    """A fleet of one peer, at an address."""

    peers: tuple[Peer, ...] = ()
    me: Contact = field(
        default_factory=lambda: Contact(HostId("h1"), "za", "127.0.0.1:1")
    )

    def peers_to_ask(self) -> tuple[Peer, ...]:
        return self.peers


@dataclass
class Paths:
    """A host whose direct connections to targets are all refused, and a peer."""

    session: aiohttp.ClientSession
    monitor: PathMonitor
    fleet: Fleet
    peer_server: PeerServer
    tunnel_server: TunnelServer
    listed: set[Address]
    gate: "Gate"

    async def get(self, target: RawTarget) -> bytes:
        pending_send.set(PendingSend("r1", TargetId("t"), lambda: None))
        async with self.session.get(f"http://{target.address}/x") as answer:
            return await answer.read()


@dataclass
class Gate:
    """What targets have stated to the host that opens tunnels."""

    obstacle: Obstacle | None = None
    heads: list[HttpHead] = field(default_factory=list)
    targets: list[TargetId] = field(default_factory=list)

    def find_obstacle(self, _: TargetId) -> Obstacle | None:
        return self.obstacle

    def record_head(self, target: TargetId, head: HttpHead) -> None:
        self.heads.append(head)
        self.targets.append(target)


class RefusedConnector(TargetConnector):
    """Connector whose direct connections are refused."""

    async def connect_directly(self, address, req, traces, timeout):
        error = ConnectionRefusedError(111, "the path is cut")
        raise aiohttp.ClientConnectorError(req.connection_key, error)


def live_peer(address: Address, host_id: str = "h2", is_cut_off: bool = False) -> Peer:
    contact = Contact(HostId(host_id), "zb", str(address))
    return Peer(contact, LATER, LATER, is_cut_off=is_cut_off)


@pytest.fixture
async def paths() -> AsyncIterator[Paths]:
    metrics, clock = ServingMetrics("h1", "za"), SystemClock()
    listed: set[Address] = set()
    peer_server = PeerServer(metrics)
    gate = Gate()
    tunnel_server = TunnelServer(IP, listed.__contains__, metrics, gate)
    peer_server.register_stream(OpenTunnel, tunnel_server.serve)
    listener = await peer_server.start(Address(IP, 0))
    peer = live_peer(Address(IP, listener.sockets[0].getsockname()[1]))
    fleet = Fleet((peer,))
    tunnels = TunnelClient(fleet, IP, clock, Random(1), lambda _: "zb", metrics)

    async def accepts(_: Address) -> bool:
        return False

    monitor = PathMonitor(accepts, tunnels, clock, metrics, lambda _: None)
    monitor.targets_at = {}
    async with aiohttp.ClientSession(connector=RefusedConnector(IP, monitor)) as made:
        yield Paths(made, monitor, fleet, peer_server, tunnel_server, listed, gate)
    listener.close()
    peer_server.close()


@pytest.fixture
async def serve(paths: Paths):
    servers = []

    async def start(target: RawTarget) -> RawTarget:
        server = await asyncio.start_server(target.handle, IP, 0)
        servers.append(server)
        target.address = Address(IP, server.sockets[0].getsockname()[1])
        paths.listed.add(target.address)
        paths.monitor.targets_at[target.address] = ()
        return target

    yield start
    for server in servers:
        server.close()


UNFRAMED = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"


async def test_a_refused_connection_goes_through_a_peer(paths: Paths, serve) -> None:
    body = b"x" * 300_000
    head = f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode()
    target = await serve(RawTarget(head + body, "stay"))
    assert await paths.get(target) == body
    assert paths.monitor.paths.is_lost(target.address)
    assert target.received.startswith(b"GET /x HTTP/1.1\r\n")


async def test_an_answer_without_a_length_ends_with_the_targets_connection(
    paths: Paths, serve
) -> None:
    target = await serve(RawTarget(UNFRAMED + b"whole"))
    assert await paths.get(target) == b"whole"


async def test_answer_through_a_peer_has_the_verdict_of_the_table(
    paths: Paths, serve
) -> None:
    """The peer believes the heads that the host that asked takes, and no others."""
    for case in answer_cases():
        target = await serve(RawTarget(case.data()))
        paths.gate.heads.clear()
        try:
            body = await paths.get(target)
        except aiohttp.ClientError:
            assert not case.status, case.name
            continue
        assert case.status, case.name
        assert body == case.body
        assert [head.status for head in paths.gate.heads] == [case.status], case.name


async def test_peer_believes_no_refused_head(paths: Paths, serve) -> None:
    for case in refused_cases():
        if case.is_head_refused:
            target = await serve(RawTarget(case.data(b"Server-Leaving: 1\r\n")))
            with pytest.raises(aiohttp.ClientError):
                await paths.get(target)
    assert not paths.gate.heads


async def test_an_answer_that_the_target_resets_is_not_complete(
    paths: Paths, serve
) -> None:
    target = await serve(RawTarget(UNFRAMED + b"half", "reset"))
    with pytest.raises(aiohttp.ClientError):
        await paths.get(target)


async def test_an_answer_whose_peer_dies_is_not_complete(paths: Paths, serve) -> None:
    target = await serve(RawTarget(UNFRAMED + b"half", "stay"))
    async with paths.session.get(f"http://{target.address}/x") as answer:
        assert await answer.content.readany() == b"half"
        for connection in tuple(paths.peer_server.connections):
            # What the kernel does for a killed process: an end without a word.
            connection.writer.transport.close()
        with pytest.raises(aiohttp.ClientError):
            await answer.content.readany()


async def test_a_caller_that_leaves_closes_the_targets_connection(
    paths: Paths, serve
) -> None:
    target = await serve(RawTarget(UNFRAMED + b"half", "stay"))
    async with paths.session.get(f"http://{target.address}/x") as answer:
        await answer.content.readany()
        answer.close()
    async with asyncio.timeout(2):
        await target.closed.wait()
    assert target.was_reset
    async with asyncio.timeout(2):
        while paths.tunnel_server.open_tunnels:
            await asyncio.sleep(0.01)


async def test_a_peer_connects_to_listed_targets_only(paths: Paths, serve) -> None:
    target = await serve(RawTarget(UNFRAMED))
    paths.listed.clear()
    with pytest.raises(aiohttp.ClientConnectorError):
        await paths.get(target)
    assert not target.received


async def test_a_peer_that_stops_opens_no_tunnel(paths: Paths, serve) -> None:
    target = await serve(RawTarget(UNFRAMED))
    paths.tunnel_server.is_closing = True
    with pytest.raises(aiohttp.ClientConnectorError):
        await paths.get(target)


async def test_without_any_path_the_direct_error_remains(paths: Paths, serve) -> None:
    target = await serve(RawTarget(UNFRAMED))
    paths.fleet.peers = ()
    with pytest.raises(aiohttp.ClientConnectorError, match="the path is cut"):
        await paths.get(target)
    assert not paths.monitor.paths.is_lost(target.address)


async def test_a_silent_peer_is_passed_over_for_the_next(paths: Paths, serve) -> None:
    target = await serve(RawTarget(UNFRAMED + b"whole"))
    silent = await asyncio.start_server(lambda r, w: asyncio.sleep(9), IP, 0)
    dead = live_peer(Address(IP, silent.sockets[0].getsockname()[1]), "h3")
    paths.fleet.peers = (dead, *paths.fleet.peers)
    assert await paths.get(target) == b"whole"
    silent.close()


async def test_a_peer_that_is_cut_off_itself_is_not_asked(paths: Paths, serve) -> None:
    target = await serve(RawTarget(UNFRAMED))
    address = Address(IP, 1)
    paths.fleet.peers = (live_peer(address, is_cut_off=True),)
    with pytest.raises(aiohttp.ClientConnectorError):
        await paths.get(target)
    assert not paths.monitor.tunnels.choose_peers(target.address)


async def test_a_tunnel_that_opens_after_a_slow_direct_connection_is_closed(
    paths: Paths, serve, monkeypatch: pytest.MonkeyPatch
) -> None:
    target = await serve(RawTarget(UNFRAMED + b"whole"))
    direct, tunnel = TargetConnector.connect_directly, paths.tunnel_server.connect

    async def connect_slowly(self, address, req, traces, timeout):
        await asyncio.sleep(0.2)
        return await direct(self, address, req, traces, timeout)

    async def open_slowly(address: Address):
        await asyncio.sleep(0.15)
        return await tunnel(address)

    monkeypatch.setattr(RefusedConnector, "connect_directly", connect_slowly)
    monkeypatch.setattr(paths.tunnel_server, "connect", open_slowly)
    assert await paths.get(target) == b"whole"
    await asyncio.sleep(0.3)
    assert not paths.tunnel_server.open_tunnels
    assert not paths.monitor.paths.is_lost(target.address)


async def test_a_request_that_is_given_up_is_not_delivered_later(
    paths: Paths, serve, monkeypatch: pytest.MonkeyPatch
) -> None:
    direct = TargetConnector.connect_directly
    monkeypatch.setattr(RefusedConnector, "connect_directly", direct)
    target = await serve(RawTarget(b"", "stay"))
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(0.1):
            await paths.get(target)
    async with asyncio.timeout(2):
        await target.closed.wait()
    assert target.was_reset


async def test_a_connection_whose_answer_is_complete_is_closed_and_not_reset(
    paths: Paths, serve, monkeypatch: pytest.MonkeyPatch
) -> None:
    direct = TargetConnector.connect_directly
    monkeypatch.setattr(RefusedConnector, "connect_directly", direct)
    head = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nConnection: close\r\n\r\n"
    target = await serve(RawTarget(head + b"ok", "stay"))
    assert await paths.get(target) == b"ok"
    async with asyncio.timeout(2):
        await target.closed.wait()
    assert not target.was_reset


async def test_peer_reads_what_the_target_states_to_it_through_a_tunnel(
    paths: Paths, serve
) -> None:
    head = b"HTTP/1.1 503 Busy\r\nRetry-After: 3\r\nContent-Length: 0\r\n\r\n"
    target = await serve(RawTarget(head, "stay"))
    assert await paths.get(target) == b""
    (read,) = paths.gate.heads
    assert (read.status, read.headers["Retry-After"]) == (503, "3")
    assert paths.gate.targets == ["t"]


@pytest.mark.parametrize("kind", list(ObstacleKind))
async def test_peer_opens_no_tunnel_to_a_target_that_wants_no_request_of_it(
    paths: Paths, serve, kind: ObstacleKind
) -> None:
    target = await serve(RawTarget(UNFRAMED + b"whole"))
    paths.gate.obstacle = Obstacle(kind, seconds(1))
    with pytest.raises(aiohttp.ClientConnectorError):
        await paths.get(target)
    assert not target.received


async def test_tunnel_without_a_request_is_closed(paths: Paths, serve) -> None:
    """A request that came late would not know what the target has stated meanwhile."""
    target = await serve(RawTarget(UNFRAMED, "stay"))
    opened = await paths.monitor.tunnels.open(target.address, TargetId("t"))
    assert paths.tunnel_server.open_tunnels == 1
    async with asyncio.timeout(FIRST_BYTES_TIMEOUT_S * 8):
        while paths.tunnel_server.open_tunnels:
            await asyncio.sleep(0.01)
    opened.abort()


async def test_request_is_not_sent_to_a_target_that_closes_a_peers_connection_at_once(
    paths: Paths, serve
) -> None:
    target = await serve(ClosingTarget(b""))
    with pytest.raises(aiohttp.ClientConnectorError, match="the path is cut"):
        await paths.get(target)
    assert not paths.monitor.paths.is_lost(target.address)


async def test_path_to_a_target_that_closes_each_connection_is_not_lost(
    paths: Paths, serve
) -> None:
    target = await serve(ClosingTarget(b""))
    assert not await paths.monitor.check(target.address)
    assert not paths.monitor.paths.is_lost(target.address)


async def test_path_to_a_target_that_keeps_a_peers_connection_open_is_lost(
    paths: Paths, serve
) -> None:
    target = await serve(RawTarget(b"", "stay"))
    assert not await paths.monitor.check(target.address)
    assert paths.monitor.paths.is_lost(target.address)
