"""StoreTask: listings, watches, outages, and items received from peers."""

import asyncio
from datetime import timedelta
from random import Random

import pytest
from returns.result import Failure, Success

from sardinequay_core.catalogue import (
    Change,
    ConfigPublished,
    PublishedTarget,
    TargetPublished,
)
from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.serving import CallerLimits, make_serving_config
from sardinequay_daemon.errors import PlatformError
from sardinequay_daemon.serving_messages import FetchItems, ItemsReply
from sardinequay_daemon.serving_ports import StoreItem, StoreRead
from sardinequay_daemon.store_task import StoreTask, head_start_s

from .conftest import ManualClock


def item(version: int, revision: int) -> StoreItem:
    return StoreItem("config", revision, str(version).encode())


def published(port: str, revision: int) -> TargetPublished:
    target = Target(
        TargetId("t"),
        PoolName("pool"),
        TargetKind.SERVICE,
        DataCentre("here"),
        Address("127.0.0.1", int(port)),
    )
    return TargetPublished(PublishedTarget(target, 4, revision))


def entry(port: int, revision: int) -> StoreItem:
    return StoreItem("target", revision, str(port).encode())


class ScriptedStore:
    """Store that returns prepared results."""

    def __init__(self) -> None:
        self.answers: list = []
        self.listings = 0

    async def list_all(self):
        self.listings += 1
        return self.answers.pop(0)

    async def watch(self, after: int, wait: timedelta):
        return self.answers.pop(0)

    def decode(self, found: StoreItem) -> Change | None:
        if found.value is None:
            return None
        if found.key == "target":
            return published(found.value.decode(), found.revision)
        if found.value == b"spoiled":
            raise PlatformError("config", "spoiled")
        config = make_serving_config(int(found.value), (), (), CallerLimits())
        return ConfigPublished(config)


@pytest.fixture
def scripted() -> ScriptedStore:
    return ScriptedStore()


@pytest.fixture
def peers() -> dict[str, object]:
    """Return what the task learns about other hosts; tests change it."""
    return {"is_reader": True, "age_s": float("inf")}


@pytest.fixture
def task(scripted, clock: ManualClock, peers, monkeypatch) -> StoreTask:
    monkeypatch.setattr("sardinequay_daemon.store_task.BATCH_PAUSE_S", 0)
    monkeypatch.setattr("sardinequay_daemon.store_task.RETRY_DELAYS_S", (0,))
    return StoreTask(
        scripted,
        clock,
        Random(1),
        seconds(2),
        lambda: bool(peers["is_reader"]),
        lambda: float(peers["age_s"]),
    )


def read(*items: StoreItem, revision: int) -> Success[StoreRead]:
    return Success(StoreRead(items, revision))


REFUSED = Failure(PlatformError("store", "status 503"))
GONE = Failure(PlatformError("store", "status 410", is_history_gone=True))


class SlowStore(ScriptedStore):
    """Store whose listing takes long."""

    async def list_all(self):
        self.listings += 1
        await asyncio.sleep(30)


async def test_items_from_a_peer_end_a_slow_listing(clock: ManualClock, peers) -> None:
    # After all hosts were killed at once, a listing with a configuration of a megabyte
    # took longer than its timeout on links of 5 Mbit/s. It also delayed the items from
    # peers, a tenth of that size, so that hosts had no configuration 0.9 s after their
    # start.
    store = SlowStore()
    task = StoreTask(
        store, clock, Random(1), seconds(2), lambda: True, lambda: float("inf")
    )
    listing = asyncio.create_task(task.read_once())
    await asyncio.sleep(0.01)
    task.apply_peer_items(ItemsReply((item(4, 8),), 8, is_whole=True))
    async with asyncio.timeout(1):
        await listing
    assert task.catalogue.config.version == 4
    assert not task.must_list


async def test_restarting_host_waits_for_peer_items_first(
    scripted, clock: ManualClock, peers
) -> None:
    task = StoreTask(
        scripted,
        clock,
        Random(1),
        seconds(2),
        lambda: False,
        lambda: 0.0,
        head_start_s=10.0,
    )
    following = asyncio.create_task(task.run())
    await asyncio.sleep(0.01)
    assert scripted.listings == 0
    task.apply_peer_items(ItemsReply((item(4, 8),), 8, is_whole=True))
    await asyncio.sleep(0.01)
    assert scripted.listings == 0
    assert task.catalogue.config.version == 4
    following.cancel()


@pytest.mark.parametrize(
    ("link_mbps", "is_first", "least_s", "most_s"),
    [
        (1000.0, False, 0.0, 0.02),
        (100.0, False, 0.05, 0.1),
        (5.0, False, 0.4, 0.5),
        (5.0, True, 0.0, 0.0),
        (0.0, False, 0.0, 0.0),
    ],
)
def test_hosts_with_fast_links_list_first(link_mbps, is_first, least_s, most_s) -> None:
    assert least_s <= head_start_s(link_mbps, is_first) <= most_s


async def test_lists_then_watches(task: StoreTask, scripted) -> None:
    scripted.answers = [read(item(1, 5), revision=6), read(item(2, 7), revision=7)]
    await task.read_once()
    await task.read_once()
    assert scripted.listings == 1
    assert task.catalogue.config.version == 2
    assert task.catalogue.revision == 7


async def test_lost_history_causes_a_new_listing(task: StoreTask, scripted) -> None:
    scripted.answers = [read(revision=6), GONE, read(item(3, 9), revision=9)]
    for _ in range(3):
        await task.read_once()
    assert scripted.listings == 2
    assert task.catalogue.config.version == 3


async def test_older_result_is_ignored(task: StoreTask, scripted) -> None:
    scripted.answers = [
        read(item(5, 9), revision=9),
        read(item(4, 4), revision=4),
        read(item(5, 9), revision=9),
    ]
    for _ in range(3):
        await task.read_once()
    assert task.catalogue.config.version == 5


async def test_undecodable_item_does_not_affect_others(task, scripted) -> None:
    scripted.answers = [read(StoreItem("x", 1, b"spoiled"), item(1, 2), revision=2)]
    await task.read_once()
    assert task.catalogue.config.version == 1


async def test_host_with_a_fresh_reader_relies_on_peers(task, scripted, peers) -> None:
    assert not task.may_rely_on_peers()
    scripted.answers = [read(item(1, 1), revision=1)]
    await task.read_once()
    peers |= {"is_reader": False, "age_s": 0.5}
    assert task.may_rely_on_peers()
    peers["age_s"] = 3.0
    assert not task.may_rely_on_peers()


async def test_missing_entries_are_dropped_at_once_after_a_short_outage(
    task, scripted, clock
) -> None:
    scripted.answers = [read(revision=1), REFUSED, read(revision=2)]
    await task.read_once()
    clock.advance(1)
    await task.read_once()
    assert task.removal_policy().keep_until is None
    clock.advance(0.5)
    await task.read_once()
    assert task.removal_policy().keep_until is None


async def test_missing_entries_are_kept_around_a_long_outage(
    task, scripted, clock
) -> None:
    scripted.answers = [read(revision=1), REFUSED, read(revision=2)]
    await task.read_once()
    clock.advance(4)
    await task.read_once()
    assert task.removal_policy().keep_until == clock.monotonic() + seconds(2)
    await task.read_once()
    clock.advance(1.9)
    assert task.removal_policy().keep_until is not None
    clock.advance(0.2)
    assert task.removal_policy().keep_until is None


async def test_host_that_alone_cannot_read_drops_missing_entries(
    task, scripted, clock, peers
) -> None:
    scripted.answers = [read(revision=1), REFUSED]
    await task.read_once()
    clock.advance(8)
    peers["age_s"] = 0.4
    await task.read_once()
    assert task.removal_policy().keep_until is None


async def test_fetch_returns_only_changed_items(task: StoreTask, scripted) -> None:
    scripted.answers = [
        read(item(1, 5), StoreItem("a", 2, b"7"), revision=6),
        read(StoreItem("a", 8, None), revision=8),
    ]
    await task.read_once()
    await task.read_once()
    reply = await task.handle_fetch(FetchItems(6))
    assert [i.key for i in reply.items] == ["a"]
    assert not reply.is_whole
    whole = await task.handle_fetch(FetchItems(0))
    assert whole.is_whole
    assert [i.key for i in whole.items] == ["config"]


async def test_host_that_starts_in_an_outage_gets_items_from_a_peer(
    task: StoreTask, scripted
) -> None:
    scripted.answers = [REFUSED]
    await task.read_once()
    other = ScriptedStore()
    other.answers = [read(item(4, 9), revision=9)]
    peer = StoreTask(
        other, task.clock, Random(1), seconds(2), lambda: True, lambda: 9.0
    )
    await peer.read_once()
    task.apply_peer_items(await peer.handle_fetch(FetchItems(0)))
    assert task.catalogue.config.version == 4
    assert task.catalogue.revision == 9


async def test_host_with_a_hub_does_not_read_in_an_outage(
    task, scripted, peers
) -> None:
    scripted.answers = [read(item(1, 1), revision=1)]
    await task.read_once()
    peers |= {"is_reader": False, "age_s": 9.0}
    assert not task.may_rely_on_peers()
    task.has_hub = lambda: True
    assert task.may_rely_on_peers()
    peers |= {"is_reader": True}
    assert not task.may_rely_on_peers()


async def test_renewed_entries_are_announced_only_now_and_then(
    task: StoreTask, scripted: ScriptedStore, clock: ManualClock
) -> None:
    # 30 engines renew their entries about once a second. If each renewal were
    # announced, each of 87 hosts would fetch the entries four times a second.
    clock.advance(10)
    scripted.answers = [read(entry(1, 5), revision=5)]
    scripted.answers += [read(entry(1, r), revision=r) for r in range(6, 16)]
    announced = []
    for _ in range(11):
        await task.read_once()
        announced.append(task.status().news_revision)
        assert task.status().revision == task.catalogue.revision
        clock.advance(0.3)
    assert announced[0] == 5
    assert len(set(announced)) == 2
    assert task.catalogue.revision == 15
    reply = await task.handle_fetch(FetchItems(5))
    assert reply.revision == 15


async def test_changed_entry_is_announced_at_once(
    task: StoreTask, scripted: ScriptedStore, clock: ManualClock
) -> None:
    scripted.answers = [
        read(entry(1, 5), revision=5),
        read(entry(1, 6), revision=6),
        read(entry(2, 7), revision=7),
    ]
    clock.advance(10)
    for _ in range(3):
        await task.read_once()
    assert task.status().news_revision == 7


async def test_newer_revision_reported_by_a_peer_is_passed_on(
    task: StoreTask, scripted: ScriptedStore
) -> None:
    scripted.answers = [read(entry(1, 5), revision=5)]
    await task.read_once()
    task.record_peer_revision(9)
    assert task.status().revision == 9
    assert task.status().news_revision == 5
    assert task.catalogue.revision == 5
