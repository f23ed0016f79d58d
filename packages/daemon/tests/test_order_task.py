"""Ordering engines: what holds only for one start of an engine."""

import asyncio
from dataclasses import replace

import pytest
from returns.result import Success

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.engine_scheduler import EngineScheduler
from sardinequay_core.engine_orders import EngineStatus, LoadAdapter
from sardinequay_core.names import (
    AdapterRef,
    Address,
    DataCentre,
    HostId,
    PoolName,
    TargetId,
)
from sardinequay_core.order_candidate import OrderCandidate
from sardinequay_core.order_lease import OrderPolicy
from sardinequay_core.residency import AdapterUses
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.serving import (
    CallerLimits,
    EnginePool,
    Pool,
    ServedModel,
    make_config,
)
from sardinequay_daemon.order_task import OrderTask
from sardinequay_daemon.ordered_engine import OrderedEngine
from sardinequay_daemon.serving_messages import AdapterMissing
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import OrderAccepted

E = TargetId("e")
A = AdapterRef("m/a", "1")
FIRST, SECOND = 1_000, 2_000
"""When the engine started, and when it started again, in Unix milliseconds."""


class Lease:
    """A lease that this host holds."""

    def __init__(self) -> None:
        self.candidate = OrderCandidate(HostId("h1"), OrderPolicy(), is_holder=True)
        self.orders_in_s = 0.0

    def lost(self) -> None:
        pass

    def take_catalogue(self, catalogue: Catalogue) -> None:
        pass


class Engines:
    """Answers orders and reports as a test says, when it says so."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.status = holding(FIRST)

    async def report(self, target: Target):
        return Success(self.status)

    async def order(self, target: Target, order, terms):
        await self.may_answer.wait()
        return Success(OrderAccepted(holds_already=False))


def holding(incarnation: int, *adapters: AdapterRef) -> EngineStatus:
    return EngineStatus(
        frozenset({"m"}),
        frozenset(adapters),
        frozenset(),
        False,
        0,
        incarnation=incarnation,
    )


def published(incarnation: int) -> PublishedTarget:
    address = Address("127.0.0.1", 1)
    target = Target(E, PoolName("p"), TargetKind.ENGINE, DataCentre("za"), address)
    return PublishedTarget(
        target, 64, incarnation, frozenset({"m"}), incarnation=incarnation
    )


def catalogue(incarnation: int) -> Catalogue:
    engines = EnginePool(64, 1000, 0.0, 2, 1.0, (ServedModel("m", 1.0, 9, 1.0),))
    pool = Pool(PoolName("p"), 0, engines)
    config = make_config(1, (), (pool,), CallerLimits())
    return Catalogue(incarnation, config, targets={E: published(incarnation)})


@pytest.fixture
def engines() -> Engines:
    return Engines()


@pytest.fixture
def task(engines, clock) -> OrderTask:
    clock.turn(100)
    made = OrderTask(
        HostId("h1"),
        "za",
        engines,
        Lease(),
        clock,
        ServingMetrics("h1", "za"),
        AdapterUses(),
        lambda: None,
    )
    made.catalogue = catalogue(FIRST)
    made.is_ordering = True
    book = EngineScheduler(E, 2, FIRST)
    book.apply_report(holding(FIRST, A), clock.monotonic(), clock.monotonic())
    made.ordered[E] = OrderedEngine(published(FIRST), book)
    return made


def test_listing_of_a_later_start_opens_another_book(task: OrderTask, clock) -> None:
    number = task.ordered[E].book.change_number
    task.take_catalogue(catalogue(SECOND))
    book = task.ordered[E].book
    assert book.incarnation == SECOND
    assert not book.open_adapters()
    assert book.accepted_orders is None
    assert book.change_number > number


def test_listing_of_an_earlier_start_changes_nothing(task: OrderTask) -> None:
    task.ordered[E].book.incarnation = SECOND
    task.take_catalogue(catalogue(FIRST))
    assert task.ordered[E].book.open_adapters() == (A,)


async def test_report_of_a_later_start_opens_another_book(
    task: OrderTask, engines
) -> None:
    engines.status = holding(SECOND)
    await task.ask_report(task.ordered[E])
    assert task.ordered[E].book.incarnation == SECOND
    assert not task.ordered[E].book.open_adapters()


async def test_order_meant_for_the_start_before_is_not_counted(
    task: OrderTask, engines
) -> None:
    engine = task.ordered[E]
    giving = asyncio.create_task(task.give(engine, LoadAdapter(AdapterRef("m/b", "1"))))
    await asyncio.sleep(0)
    task.take_catalogue(catalogue(SECOND))
    engines.may_answer.set()
    await giving
    assert not engine.book.loading_until
    assert engine.book.accepted_orders is None


async def test_denial_of_the_start_before_is_not_believed(task: OrderTask) -> None:
    book = task.ordered[E].book
    later = replace(published(SECOND), incarnation=SECOND)
    task.reopen_book(task.ordered[E], later)
    book = task.ordered[E].book
    now = task.clock.monotonic() + seconds(9)
    book.apply_report(holding(SECOND, A), now, now)
    await task.answer_telling(AdapterMissing(E, A, FIRST))
    assert book.open_adapters() == (A,)
    await task.answer_telling(AdapterMissing(E, A, SECOND))
    assert book.open_adapters() == ()


def test_what_engines_hold_is_written_once_for_many_hosts(
    task: OrderTask, clock
) -> None:
    first = task.recent_holdings()
    assert first[0].adapters == (A,)
    assert task.recent_holdings() is first
    clock.turn(0.06)
    assert task.recent_holdings() is not first


def test_a_change_is_told_at_once(task: OrderTask, clock) -> None:
    task.recent_holdings()
    task.take_catalogue(catalogue(SECOND))
    written = task.holdings()
    assert task.recent_holdings() is written
    assert not written[0].adapters
    task.stop_ordering()
    assert not task.recent_holdings()
