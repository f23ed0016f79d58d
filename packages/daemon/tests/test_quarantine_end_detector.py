"""Detection of ended targets, as opposed to single broken answers."""

import asyncio
from dataclasses import replace

import pytest

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.names import (
    Address,
    DataCentre,
    FeatureId,
    PoolName,
    TargetId,
)
from sardinequay_core.roster import Target, TargetKind
from sardinequay_daemon.connection_probe import ConnectionProbe
from sardinequay_daemon.quarantine.end_detector import (
    RESTART_VISIBLE_WITHIN,
    InterruptedRequest,
    TargetEndDetector,
)
from sardinequay_daemon.target_probe import ProbeResult, TargetProbe
from sardinequay_lab.ports import free_port

IP = "127.0.0.1"


def broken(content: str) -> InterruptedRequest:
    target = Target(
        TargetId("e1"),
        PoolName("lm"),
        TargetKind.ENGINE,
        DataCentre("za"),
        Address(IP, 1),
    )
    return InterruptedRequest("r1", FeatureId(content), target, 7, 0.1)


class FakeAliveCheck:
    """Counts the checks, and returns `is_up`."""

    def __init__(self) -> None:
        self.is_up = False
        self.count = 0

    async def is_alive(self, _: Target, incarnation: int) -> bool:
        self.count += 1
        return self.is_up


@pytest.fixture
def alive_check() -> FakeAliveCheck:
    return FakeAliveCheck()


@pytest.fixture
def live() -> set[TargetId]:
    return {TargetId("e1")}


@pytest.fixture
def ended() -> list[PoolName]:
    """Pools of which a target was counted as ended."""
    return []


@pytest.fixture
def detector(
    alive_check: FakeAliveCheck, live: set[TargetId], ended: list[PoolName]
) -> TargetEndDetector:
    return TargetEndDetector(alive_check.is_alive, live.__contains__, ended.append)


async def test_target_that_takes_no_connection_has_ended(detector) -> None:
    assert await detector.has_ended_during(broken("c1"))


async def test_live_target_has_not_ended(detector, alive_check) -> None:
    alive_check.is_up = True
    assert not await detector.has_ended_during(broken("c1"))


async def test_concurrent_interruptions_share_one_probe(
    detector, alive_check, ended
) -> None:
    found = await asyncio.gather(*(detector.has_ended_during(broken(c)) for c in "abc"))
    assert found == [True, True, True]
    assert alive_check.count == 1
    assert ended == [PoolName("lm")]


async def test_end_of_a_leaving_target_is_planned(detector, alive_check, live) -> None:
    live.clear()
    assert not await detector.has_ended_during(broken("c1"))
    assert alive_check.count == 0


async def test_connection_probe_requires_the_connection_to_stay_open() -> None:
    probe = ConnectionProbe(IP)

    async def keep(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    async def close(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    assert not await probe.accepts(Address(IP, free_port(IP)))
    for handler, is_up in ((keep, True), (close, False)):
        server = await asyncio.start_server(handler, IP, 0)
        address = Address(IP, server.sockets[0].getsockname()[1])
        assert await probe.accepts(address) is is_up
        server.close()


class FakeStatusProbe:
    """Returns a fixed result."""

    def __init__(self, sign: ProbeResult) -> None:
        self.sign = sign

    async def probe_status(
        self, target: Target, incarnation: int, health_path: str
    ) -> ProbeResult:
        return self.sign


async def accepts(_: Address) -> bool:
    return True


@pytest.mark.parametrize(
    ("sign", "is_busy", "lives"),
    [
        (ProbeResult.HEALTHY, False, True),
        (ProbeResult.HEALTHY, True, True),
        (ProbeResult.RESTARTED, True, False),
        (ProbeResult.UNHEALTHY, True, False),
        (ProbeResult.REFUSED, False, False),
        (ProbeResult.REFUSED, True, True),
        (ProbeResult.NO_ANSWER, False, False),
        (ProbeResult.NO_ANSWER, True, True),
    ],
)
async def test_probe_result_decides_whether_target_is_alive(
    sign, is_busy, lives
) -> None:
    probe = TargetProbe(
        accepts, FakeStatusProbe(sign), lambda _: is_busy, lambda _: "/health"
    )
    assert await probe.is_alive(broken("c").target, 7) is lives


async def test_service_in_a_backoff_gets_no_health_check() -> None:
    """The check would take a slot, and its rejection look like an end."""
    status = FakeStatusProbe(ProbeResult.REFUSED)
    probe = TargetProbe(
        accepts, status, lambda _: False, lambda _: "/health", lambda _: True
    )
    service = replace(broken("c").target, kind=TargetKind.SERVICE)
    assert await probe.is_alive(service, 7)


def listed(name: str, incarnation: int) -> Catalogue:
    target = replace(broken("c").target, target_id=TargetId(name))
    published = PublishedTarget(target, 8, 1, incarnation=incarnation)
    return Catalogue(targets={target.target_id: published})


@pytest.mark.parametrize(
    ("catalogue", "shown"),
    [
        (listed("e1", 7), 0),
        (listed("e1", 8), 1),
        (listed("e2", 8), 1),
        (Catalogue(), 0),
    ],
)
async def test_later_start_reveals_an_undetected_end(
    detector, alive_check, catalogue, shown
) -> None:
    alive_check.is_up = True
    sent = replace(broken("c"), at=seconds(10))
    assert not await detector.has_ended_during(sent)
    assert len(detector.find_restarted(catalogue, seconds(11))) == shown
    assert not detector.find_restarted(catalogue, seconds(11))


async def test_start_long_after_a_broken_answer_is_ignored(
    detector, alive_check
) -> None:
    alive_check.is_up = True
    await detector.has_ended_during(replace(broken("c"), at=seconds(10)))
    late = seconds(10.1) + RESTART_VISIBLE_WITHIN
    assert not detector.find_restarted(listed("e1", 8), late)
