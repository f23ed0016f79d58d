"""StoreTask: listings and changes, their age, outages, and items for and from peers."""

import pytest

from sardinequay_core.catalogue import TargetPublished, apply_change
from sardinequay_core.clock import seconds
from sardinequay_core.freshness import FreshnessStatement
from sardinequay_core.names import HostId, TargetId
from sardinequay_daemon.serving_messages import FetchItems, ItemsReply
from sardinequay_daemon.serving_ports import StoreItem, StoreRead
from sardinequay_daemon.store.task import StoreTask

from .conftest import ManualClock
from .store_world import ScriptedStore, entry, item, make_task

PEER = HostId("h2")
T = TargetId("t")


@pytest.fixture
def task(clock: ManualClock) -> StoreTask:
    return make_task(ScriptedStore(), clock)


def apply_read(task: StoreTask, *items: StoreItem, revision: int) -> bool:
    """Apply what the store answers right now."""
    read = StoreRead(items, revision)
    return task.apply_read(read, task.clock.monotonic(), task.catalogue.revision)


def state(task: StoreTask, revision: int, age_s: float = 0.0) -> None:
    """Let a peer state what was the newest revision in the store some time ago."""
    as_of = task.clock.monotonic() - seconds(age_s)
    task.record_statement(FreshnessStatement(revision, as_of))


def test_listing_then_changes(task: StoreTask) -> None:
    assert apply_read(task, item(1, 5), revision=6)
    assert apply_read(task, item(2, 7), revision=7)
    assert task.catalogue.config.version == 2
    assert task.catalogue.revision == 7


def test_older_answer_is_ignored_and_proves_nothing(task, clock) -> None:
    apply_read(task, item(5, 9), revision=9)
    clock.advance(1)
    assert not apply_read(task, item(4, 4), revision=4)
    assert task.must_list
    assert task.catalogue.config.version == 5
    assert task.age_s() == 1


def test_answer_that_peers_have_overtaken_causes_no_listing(task, clock) -> None:
    apply_read(task, item(1, 5), revision=5)
    asked_at = clock.monotonic()
    reply = ItemsReply((item(2, 8),), 8, False, 8, 0.0)
    task.apply_peer_items(reply, PEER, asked_at)
    assert task.apply_read(StoreRead((entry(1, 6),), 6), asked_at, asked_revision=5)
    assert not task.must_list
    assert task.catalogue.config.version == 2


def test_undecodable_item_does_not_affect_others(task: StoreTask) -> None:
    apply_read(task, StoreItem("x", 1, b"spoiled"), item(1, 2), revision=2)
    assert task.catalogue.config.version == 1


def test_own_read_proves_the_copy(task: StoreTask, clock: ManualClock) -> None:
    assert task.status().age_s == float("inf")
    apply_read(task, item(1, 5), revision=5)
    clock.advance(0.5)
    assert task.age_s() == 0.5
    assert task.is_current()
    clock.advance(1.6)
    assert not task.is_current()


def test_read_of_a_peer_proves_nothing_as_long_as_its_items_are_missing(
    task, clock
) -> None:
    apply_read(task, item(1, 5), revision=5)
    clock.advance(1.5)
    state(task, 6, age_s=0.1)
    assert task.age_s() == 1.5
    assert not task.is_current()
    reply = ItemsReply((item(2, 6),), 6, False, news_revision=6, age_s=0.2)
    task.apply_peer_items(reply, PEER, asked_at=clock.monotonic())
    assert task.age_s() == pytest.approx(0.1)
    assert task.is_current()


def test_read_of_a_peer_proves_a_copy_that_has_all_it_states(task, clock) -> None:
    apply_read(task, item(1, 5), revision=9)
    clock.advance(1.5)
    state(task, 9, age_s=0.1)
    assert task.age_s() == pytest.approx(0.1)


def test_what_is_stated_to_peers_holds_for_whatever_proved_it(task, clock) -> None:
    apply_read(task, item(1, 5), revision=9)
    clock.advance(1)
    assert task.status().news_revision == 9
    task.items.save(StoreItem("y", 10, b"1"))
    reply = ItemsReply((item(2, 12),), 14, False, news_revision=12, age_s=0.3)
    task.apply_peer_items(reply, PEER, asked_at=clock.monotonic())
    status = task.status()
    assert (status.revision, status.news_revision) == (14, 12)
    assert status.age_s == pytest.approx(0.3)


def test_items_of_a_peer_that_was_paused_are_not_current(task, clock) -> None:
    old = ItemsReply((item(1, 5),), 5, True, news_revision=5, age_s=9.0)
    task.apply_peer_items(old, PEER, asked_at=clock.monotonic())
    assert task.catalogue.config.version == 1
    assert not task.was_current
    apply_read(task, item(2, 7), revision=7)
    assert task.was_current


def test_older_items_of_a_peer_are_ignored(task, clock) -> None:
    apply_read(task, item(3, 9), revision=9)
    old = ItemsReply((item(1, 5),), 5, True, news_revision=5, age_s=9.0)
    task.apply_peer_items(old, PEER, asked_at=clock.monotonic())
    assert task.catalogue.config.version == 3


def test_missing_entries_are_dropped_at_once_after_a_short_outage(task, clock) -> None:
    apply_read(task, revision=1)
    clock.advance(1.5)
    assert task.removal_policy().keep_until is None
    apply_read(task, revision=2)
    assert task.removal_policy().keep_until is None


def test_missing_entries_are_kept_around_a_long_outage(task, clock) -> None:
    apply_read(task, revision=1)
    clock.advance(4)
    assert task.removal_policy().keep_until == clock.monotonic() + seconds(2)
    apply_read(task, revision=2)
    clock.advance(1.9)
    apply_read(task, revision=2)
    assert task.removal_policy().keep_until is not None
    clock.advance(0.2)
    assert task.removal_policy().keep_until is None


def test_entries_that_lapsed_in_an_outage_are_kept_if_a_peer_reads_first(
    task, clock
) -> None:
    """The peer that read first kept them, and all that heard of it from it did not."""
    apply_read(task, entry(1, 5), revision=5)
    clock.advance(5)
    state(task, 7)
    removed = ItemsReply((StoreItem("target", 7, None),), 7, False, 7, 0.0)
    task.apply_peer_items(removed, PEER, asked_at=clock.monotonic())
    assert T in task.catalogue.targets
    assert T in task.catalogue.unconfirmed
    clock.advance(2.1)
    state(task, 7)
    task.expire_unconfirmed()
    assert T not in task.catalogue.targets


def test_host_that_alone_cannot_read_drops_missing_entries(task, clock) -> None:
    apply_read(task, revision=1)
    for _ in range(8):
        clock.advance(1)
        state(task, 3, age_s=0.4)
    assert task.removal_policy().keep_until is None


async def test_fetch_returns_only_changed_items(task: StoreTask) -> None:
    apply_read(task, item(1, 5), StoreItem("a", 2, b"7"), revision=6)
    apply_read(task, StoreItem("a", 8, None), revision=8)
    reply = await task.handle_fetch(FetchItems(6))
    assert [i.key for i in reply.items] == ["a"]
    assert not reply.is_whole
    whole = await task.handle_fetch(FetchItems(0))
    assert whole.is_whole
    assert [i.key for i in whole.items] == ["config"]


async def test_host_that_starts_in_an_outage_gets_items_from_a_peer(
    task: StoreTask, clock: ManualClock
) -> None:
    peer = make_task(ScriptedStore(), clock)
    apply_read(peer, item(4, 9), revision=9)
    reply = await peer.handle_fetch(FetchItems(0))
    task.apply_peer_items(reply, PEER, asked_at=clock.monotonic())
    assert task.catalogue.config.version == 4
    assert task.catalogue.revision == 9
    assert task.is_current()


async def test_renewed_entries_are_announced_only_now_and_then(
    task: StoreTask, clock: ManualClock
) -> None:
    # 30 engines renew their entries about once a second. If each renewal were
    # announced, each of 87 hosts would fetch the entries four times a second.
    clock.advance(10)
    announced = []
    for revision in range(5, 16):
        apply_read(task, entry(1, revision), revision=revision)
        announced.append(task.status().news_revision)
        assert task.status().revision == task.catalogue.revision
        clock.advance(0.3)
    assert announced[0] == 5
    assert len(set(announced)) == 2
    assert task.catalogue.revision == 15
    reply = await task.handle_fetch(FetchItems(5))
    assert reply.revision == 15


def test_changed_entry_is_announced_at_once(task, clock) -> None:
    news = []
    task.own_news.subscribe(news.append)
    clock.advance(10)
    apply_read(task, entry(1, 5), revision=5)
    apply_read(task, entry(1, 6), revision=6)
    apply_read(task, entry(2, 7), revision=7)
    assert task.status().news_revision == 7
    assert news == [5, 7]


def test_newer_revision_reported_by_a_peer_is_passed_on(task: StoreTask) -> None:
    apply_read(task, entry(1, 5), revision=5)
    task.record_peer_revision(9)
    assert task.status().revision == 9
    assert task.status().news_revision == 5
    assert task.catalogue.revision == 5


def test_host_that_is_behind_its_peers_says_so_once(task, clock, caplog) -> None:
    apply_read(task, item(1, 5), revision=5)
    state(task, 8)
    task.log_behind()
    assert not caplog.records
    clock.advance(0.6)
    task.log_behind()
    task.log_behind()
    assert [r.message for r in caplog.records] == ["behind the store"]
    assert (caplog.records[0].revision, caplog.records[0].known) == (5, 8)
    apply_read(task, item(2, 8), revision=8)
    task.log_behind()
    assert caplog.records[-1].message == "caught up with the store"


@pytest.mark.parametrize("age_s", [-5.0, float("nan"), float("inf")])
async def test_copy_gets_no_younger_by_what_is_no_age(task, clock, age_s) -> None:
    """An age below zero proved the copy up to date for seconds to come."""
    state(task, 1)
    clock.advance(1)
    reply = ItemsReply((), 1, False, news_revision=1, age_s=age_s)
    task.apply_peer_items(reply, HostId("h2"), clock.monotonic())
    assert task.age_s() >= 1


def test_item_that_fails_unforeseen_costs_itself_alone(task: StoreTask, caplog) -> None:
    """Guards against the end of all hosts by one entry that nobody foresaw."""
    poison = StoreItem("poison", 7, b"poison")
    apply_read(task, item(1, 5), entry(1, 6), poison, revision=7)
    assert task.catalogue.config.version == 1
    assert T in task.catalogue.targets
    apply_read(task, StoreItem("poison", 8, b"poison"), item(2, 9), revision=9)
    assert task.catalogue.config.version == 2
    assert task.catalogue.revision == 9
    counter = task.decoder.metrics.unforeseen_errors
    assert counter.get({"kind": "store item"}) == 2
    lines = [line for line in caplog.records if "unforeseen" in line.message]
    assert [line.key for line in lines] == ["poison"]
    assert task.decoder.unreadable == {"poison"}
    apply_read(task, item(3, 10), StoreItem("poison", 11, None), revision=11)
    assert not task.decoder.unreadable


@pytest.mark.parametrize("is_listing", [True, False])
def test_target_whose_entry_fails_unforeseen_is_not_used(
    task: StoreTask, is_listing: bool
) -> None:
    apply_read(task, item(1, 5), entry(1, 6), revision=6)
    assert T in task.catalogue.targets
    task.must_list = is_listing
    apply_read(task, item(1, 5), StoreItem("target", 7, b"poison"), revision=7)
    assert T not in task.catalogue.targets
    apply_read(task, entry(2, 8), revision=8)
    assert T in task.catalogue.targets


def test_change_that_cannot_be_applied_costs_itself_alone(
    task: StoreTask, monkeypatch
) -> None:
    def fail(change, catalogue, policy):
        if isinstance(change, TargetPublished):
            raise KeyError("unforeseen")
        return apply_change(change, catalogue, policy)

    module = "sardinequay_daemon.store.item_decoder.apply_change"
    monkeypatch.setattr(module, fail)
    apply_read(task, entry(1, 5), item(4, 6), revision=6)
    assert task.catalogue.config.version == 4
    assert not task.catalogue.targets
    apply_read(task, item(5, 7), entry(2, 8), revision=8)
    assert task.catalogue.config.version == 5
