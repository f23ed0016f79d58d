"""Whether a target has ended, or only one answer broke."""

import asyncio

import pytest

from sardinequay_core.catalogue import (
    Absence,
    Catalogue,
    PublishedTarget,
    TargetPublished,
    TargetRemoved,
    fold,
)
from sardinequay_core.names import (
    Address,
    ContentId,
    DataCentre,
    PoolName,
    TargetId,
)
from sardinequay_core.roster import Presence, Target, TargetKind
from sardinequay_daemon.end_watch import BrokenRequest, EndWatch
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.upstream import Upstream
from sardinequay_lab.ports import free_port

IP = "127.0.0.1"


def published(presence: Presence = Presence.LIVE) -> PublishedTarget:
    target = Target(
        TargetId("e1"),
        PoolName("lm"),
        TargetKind.ENGINE,
        DataCentre("za"),
        Address(IP, 1),
        presence,
    )
    return PublishedTarget(target, slots=8, revision=1, incarnation=7)


def broken(content: str) -> BrokenRequest:
    return BrokenRequest("r1", ContentId(content), published(), 0.1)


class Asked:
    """Counts questions; `is_up` is the answer."""

    def __init__(self) -> None:
        self.is_up = False
        self.count = 0

    async def accepts(self, _: Address) -> bool:
        self.count += 1
        return self.is_up


@pytest.fixture
def asked() -> Asked:
    return Asked()


@pytest.fixture
def listed() -> list[Catalogue]:
    """What the store publishes, as one item that a test may replace."""
    return [fold(TargetPublished(published()), Catalogue(), Absence())]


@pytest.fixture
def watch(asked: Asked, listed: list[Catalogue]) -> EndWatch:
    return EndWatch(asked.accepts, lambda: listed[0], ServingMetrics("h", "za"))


async def test_target_that_takes_no_connection_has_ended(watch) -> None:
    assert await watch.ended_under(broken("c1"))


async def test_target_that_takes_connections_gave_up_one_answer(watch, asked) -> None:
    asked.is_up = True
    assert not await watch.ended_under(broken("c1"))


async def test_one_question_serves_all_that_broke_at_once(watch, asked) -> None:
    found = await asyncio.gather(*(watch.ended_under(broken(c)) for c in "abc"))
    assert found == [True, True, True]
    assert asked.count == 1


async def test_target_that_leaves_ends_by_plan(watch, asked, listed) -> None:
    leaving = TargetPublished(published(Presence.LEAVING))
    listed[0] = fold(leaving, listed[0], Absence())
    assert not await watch.ended_under(broken("c1"))
    listed[0] = fold(TargetRemoved(TargetId("e1")), listed[0], Absence())
    assert not await watch.ended_under(broken("c1"))
    assert asked.count == 0


async def test_who_takes_and_keeps_connections() -> None:
    upstream = Upstream(IP)

    async def keep(reader: asyncio.StreamReader, _: asyncio.StreamWriter) -> None:
        await reader.read()

    async def close(_: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        writer.close()

    assert not await upstream.accepts(Address(IP, free_port(IP)))
    for handler, is_up in ((keep, True), (close, False)):
        server = await asyncio.start_server(handler, IP, 0)
        address = Address(IP, server.sockets[0].getsockname()[1])
        assert await upstream.accepts(address) is is_up
        server.close()
    await upstream.close()
