"""StoreReader: when a host reads the store, and what it does with failures."""

import asyncio

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.freshness import FreshnessStatement
from sardinequay_core.names import HostId
from sardinequay_daemon.serving_messages import ItemsReply
from sardinequay_daemon.store.reader import StoreReader, head_start_s
from sardinequay_daemon.store.task import StoreTask

from .conftest import ManualClock
from .store_world import (
    BUDGET,
    GONE,
    REFUSED,
    SILENT,
    ScriptedStore,
    item,
    make_reader,
    make_task,
    read,
    small_fleet_times,
)

PEER = HostId("h2")
TIMES = small_fleet_times()


@pytest.fixture
def scripted() -> ScriptedStore:
    return ScriptedStore()


@pytest.fixture
def task(scripted: ScriptedStore, clock: ManualClock) -> StoreTask:
    return make_task(scripted, clock)


@pytest.fixture(autouse=True)
def no_pauses(monkeypatch: pytest.MonkeyPatch) -> None:
    """Let reads follow one another at once."""
    sleep = asyncio.sleep
    monkeypatch.setattr(asyncio, "sleep", lambda _: sleep(0))


@pytest.fixture
def reader(scripted, task, clock) -> StoreReader:
    return make_reader(scripted, task, clock)


@pytest.fixture
def other(scripted, task, clock) -> StoreReader:
    """Of a host that is no reader, and has a configuration."""
    made = make_reader(scripted, task, clock, is_reader=lambda: False)
    reply = ItemsReply((item(1, 5),), 5, True, 5, 0.0)
    task.apply_peer_items(reply, PEER, asked_at=clock.monotonic())
    return made


class SlowStore(ScriptedStore):
    """Store whose listing takes long."""

    async def list_all(self, answer_wait):
        self.listings += 1
        await asyncio.Event().wait()


async def test_items_from_a_peer_end_a_slow_listing(clock: ManualClock) -> None:
    # After all hosts were killed at once, a listing with a configuration of a megabyte
    # took longer than its timeout on links of 5 Mbit/s. It also delayed the items from
    # peers, a tenth of that size, so that hosts had no configuration 0.9 s after their
    # start.
    store = SlowStore()
    task = make_task(store, clock)
    reader = make_reader(store, task, clock)
    listing = asyncio.create_task(reader.read_once())
    while not store.listings:
        await asyncio.sleep(0)
    task.apply_peer_items(ItemsReply((item(4, 8),), 8, True), PEER, clock.monotonic())
    async with asyncio.timeout(1):
        await listing
    assert task.catalogue.config.version == 4
    assert not task.must_list


async def test_restarting_host_waits_for_peer_items_first(
    scripted, task, clock
) -> None:
    reader = make_reader(
        scripted, task, clock, is_reader=lambda: False, head_start_s=10.0
    )
    following = asyncio.create_task(reader.run())
    for _ in range(9):
        await asyncio.sleep(0)
    assert scripted.listings == 0
    reply = ItemsReply((item(4, 8),), 8, True, 8, 0.0)
    task.apply_peer_items(reply, PEER, clock.monotonic())
    for _ in range(9):
        await asyncio.sleep(0)
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


async def test_reader_lists_then_watches(reader, task, scripted) -> None:
    scripted.answers = [read(item(1, 5), revision=6), read(item(2, 7), revision=7)]
    await reader.read_once()
    await reader.read_once()
    assert scripted.listings == 1
    assert scripted.waits == [TIMES.watch]
    assert task.catalogue.config.version == 2
    assert reader.may_wait_s() == 0


class EmptyStore(ScriptedStore):
    """Store in which nothing is published yet, and which answers at once."""

    def __init__(self, clock: ManualClock) -> None:
        super().__init__()
        self.clock = clock

    async def list_all(self, answer_wait):
        self.listings += 1
        self.clock.advance(0.004)
        return read(revision=1)

    async def watch(self, after, wait, answer_wait):
        self.waits.append(wait)
        self.clock.advance(wait.total_seconds() + 0.004)
        return read(revision=1)


@pytest.mark.parametrize("is_reader", [True, False])
@pytest.mark.parametrize("failures", [0, 1])
async def test_host_without_a_configuration_does_not_ask_in_a_loop(
    clock: ManualClock, monkeypatch, is_reader: bool, failures: int
) -> None:
    """The store answers at once, as it has no changes."""
    sleep = asyncio.sleep

    async def advance(pause_s: float) -> None:
        clock.advance(pause_s)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", advance)
    store = EmptyStore(clock)
    task = make_task(store, clock)
    reader = make_reader(store, task, clock, is_reader=lambda: is_reader)
    reader.failures = failures
    began_at = clock.monotonic()
    while clock.monotonic() - began_at < BUDGET:
        assert reader.may_wait_s() == 0
        await reader.read_once()
    assert len(store.waits) <= BUDGET / TIMES.watch + 1


async def test_own_read_without_changes_is_not_repeated_at_once(
    other, task, scripted, clock, monkeypatch
) -> None:
    pauses = []
    sleep = asyncio.sleep

    async def record(pause_s: float) -> None:
        pauses.append(pause_s)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", record)
    clock.advance(1.5)
    scripted.answers = [read(revision=5)]
    await other.read_once()
    assert scripted.waits == [seconds(0)]
    assert pauses[-1] > 0


async def test_lost_history_causes_a_new_listing(reader, task, scripted) -> None:
    scripted.answers = [read(revision=6), GONE, read(item(3, 9), revision=9)]
    for _ in range(3):
        await reader.read_once()
    assert scripted.listings == 2
    assert task.catalogue.config.version == 3


async def test_host_does_not_list_what_a_peer_sends_once_history_is_lost(
    other, task, scripted, clock
) -> None:
    scripted.answers = [GONE]
    await other.read_once()
    reading = asyncio.create_task(other.read_once())
    await asyncio.sleep(0)
    reply = ItemsReply((item(2, 9),), 9, False, 9, 0.0)
    task.apply_peer_items(reply, PEER, clock.monotonic())
    await reading
    assert scripted.listings == 0
    assert not task.must_list


async def test_store_that_answers_with_an_older_state_is_not_asked_in_a_loop(
    reader, scripted, monkeypatch
) -> None:
    pauses = []
    sleep = asyncio.sleep

    async def record(pause_s: float) -> None:
        pauses.append(pause_s)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", record)
    scripted.answers = [read(item(5, 9), revision=9), read(revision=4)]
    await reader.read_once()
    await reader.read_once()
    assert pauses[-1] >= 0.5


def test_host_with_a_proved_copy_waits(other: StoreReader, task, clock) -> None:
    assert 0 < other.may_wait_s() <= TIMES.own_read_age.total_seconds()
    clock.advance(0.9)
    assert other.may_wait_s() > 0
    clock.advance(0.5)
    assert other.may_wait_s() == 0


def test_host_reads_though_peers_have_read_if_it_lacks_their_revision(
    other, task, clock
) -> None:
    """Any peer that had read lately kept it from reading, whatever it had itself."""
    for _ in range(14):
        clock.advance(0.1)
        task.record_statement(FreshnessStatement(8, clock.monotonic()))
    assert other.may_wait_s() == 0


def test_host_reads_before_a_change_must_be_in_force(other, task, clock) -> None:
    for _ in range(50):
        other.spread_draw = other.random.random()
        latest = other.may_wait_s()
        two_reads = TIMES.answer_wait + TIMES.min_read_gap
        assert seconds(latest) + two_reads < 0.9 * BUDGET


def test_substitute_reads_before_other_hosts(scripted, task, clock, other) -> None:
    substitute = make_reader(
        scripted, task, clock, is_reader=lambda: False, is_substitute=lambda: True
    )
    clock.advance(TIMES.substitute_read_age.total_seconds())
    assert substitute.may_wait_s() == 0
    assert other.may_wait_s() > 0


async def test_own_read_of_another_host_asks_for_no_wait(
    other, task, scripted, clock
) -> None:
    clock.advance(1.5)
    scripted.answers = [read(item(2, 9), revision=9)]
    await other.read_once()
    assert scripted.waits == [seconds(0)]
    assert task.catalogue.config.version == 2
    assert other.may_wait_s() > 0


async def test_answer_is_dated_by_when_it_was_asked_for(
    reader, task, scripted, clock
) -> None:
    """An answer may have been held up on its way."""
    scripted.answers = [read(item(1, 5), revision=5), read(item(2, 6), revision=6)]
    await reader.read_once()
    scripted.on_call = lambda: clock.advance(0.25)
    await reader.read_once()
    assert task.age_s() == 0.25


async def test_answer_without_changes_is_dated_by_the_end_of_its_wait(
    reader, task, scripted, clock
) -> None:
    scripted.answers = [read(item(1, 5), revision=5), read(revision=5)]
    await reader.read_once()
    scripted.on_call = lambda: clock.advance(TIMES.watch.total_seconds() + 0.1)
    await reader.read_once()
    assert task.age_s() == pytest.approx(0.1)


async def test_early_answer_without_changes_is_dated_by_its_question(
    reader, task, scripted, clock, monkeypatch
) -> None:
    """Such answers must not follow one another without a pause either."""
    pauses = []
    sleep = asyncio.sleep

    async def record(pause_s: float) -> None:
        pauses.append(pause_s)
        await sleep(0)

    monkeypatch.setattr(asyncio, "sleep", record)
    scripted.answers = [read(item(1, 5), revision=5), read(revision=5)]
    await reader.read_once()
    scripted.on_call = lambda: clock.advance(0.05)
    await reader.read_once()
    assert task.age_s() == 0.05
    assert pauses[-1] > 0


async def test_silent_store_is_waited_for_longer_until_it_answers(
    reader, scripted
) -> None:
    scripted.answers = [read(revision=1), SILENT, SILENT, read(revision=1)]
    scripted.answers += [read(revision=1)]
    for _ in range(5):
        await reader.read_once()
    waits = [wait / TIMES.answer_wait for wait in scripted.answer_waits]
    assert waits[:3] == [1, 1, 2]
    assert waits[3] > 2
    assert waits[4] == 1


async def test_refused_reads_do_not_lengthen_the_wait(reader, scripted) -> None:
    scripted.answers = [read(revision=1), REFUSED, REFUSED, read(revision=1)]
    for _ in range(4):
        await reader.read_once()
    assert set(scripted.answer_waits) == {TIMES.answer_wait}


@pytest.mark.parametrize("is_reader", [True, False])
def test_failed_reads_are_repeated_ever_less_often(
    scripted, task, clock, is_reader: bool
) -> None:
    reader = make_reader(scripted, task, clock, is_reader=lambda: is_reader)
    delays_s = []
    for _ in range(12):
        delays_s.append(reader.retry_delay_s(clock.monotonic()))
        reader.failures += 1
    assert delays_s[0] < 0.1
    assert 0.7 < delays_s[-1] <= (1.25 if is_reader else 2.5)


async def test_call_that_fails_unforeseen_is_a_failed_read(clock) -> None:
    """Guards against the end of a host by a reply of the store that nobody foresaw."""
    store = ScriptedStore()
    task = make_task(store, clock)
    reader = make_reader(store, task, clock)
    await reader.read_once()
    assert reader.failures == 1
    assert reader.metrics.unforeseen_errors.get({"kind": "store reply"}) == 1
    store.answers = [read(item(1, 5), revision=5)]
    await reader.read_once()
    assert task.catalogue.config.version == 1
