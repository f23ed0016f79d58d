"""Orders to engines that restart, and the cache of engine holdings.

An engine that restarts under its id loses its adapters. Holdings, replies and reports
of the previous incarnation must not count for the new one, or requests are sent to
adapters that are not loaded.
"""

import asyncio
from dataclasses import replace
from types import SimpleNamespace

import pytest
from returns.result import Success

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.engine_orders import EngineStatus, LoadAdapter
from sardinequay_core.engine_scheduler import EngineScheduler
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
    ServedModel,
    TargetPool,
    make_serving_config,
)
from sardinequay_daemon import engine_runner
from sardinequay_daemon.managed_engine import ManagedEngine
from sardinequay_daemon.order_task import OrderTask
from sardinequay_daemon.serving_messages import AdapterMissing, EngineHoldings
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import OrderAccepted

ENGINE_ID = TargetId("e")
ADAPTER = AdapterRef("m/a", "1")
FIRST_INCARNATION, SECOND_INCARNATION = 1_000, 2_000
"""Times at which the engine started and restarted, in Unix milliseconds."""


class FakeLease:
    """An order lease that this host always holds."""

    def record_orders_watched(self, is_foreign: bool) -> None:
        return

    def __init__(self) -> None:
        self.candidate = OrderCandidate(HostId("h1"), OrderPolicy(), is_holder=True)
        self.orders_in_s = 0.0

    def record_lease_lost(self) -> None:
        pass

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        pass


class FakeEngines:
    """Returns the test's report, and accepts orders once `may_answer` is set."""

    def __init__(self) -> None:
        self.may_answer = asyncio.Event()
        self.status = status_holding(FIRST_INCARNATION)

    async def report(self, target: Target):
        return Success(self.status)

    async def order(self, target: Target, order, terms):
        await self.may_answer.wait()
        return Success(OrderAccepted(holds_already=False))


def status_holding(incarnation: int, *adapters: AdapterRef) -> EngineStatus:
    return EngineStatus(
        frozenset({"m"}),
        frozenset(adapters),
        frozenset(),
        False,
        0,
        incarnation=incarnation,
    )


def published_engine(incarnation: int) -> PublishedTarget:
    address = Address("127.0.0.1", 1)
    target = Target(
        ENGINE_ID, PoolName("p"), TargetKind.ENGINE, DataCentre("za"), address
    )
    return PublishedTarget(
        target, 64, incarnation, frozenset({"m"}), incarnation=incarnation
    )


def catalogue(incarnation: int) -> Catalogue:
    engines = EnginePool(64, 1000, 0.0, 2, 1.0, (ServedModel("m", 1.0, 9, 1.0),))
    pool = TargetPool(PoolName("p"), 0, engines)
    config = make_serving_config(1, (), (pool,), CallerLimits())
    return Catalogue(
        incarnation, config, targets={ENGINE_ID: published_engine(incarnation)}
    )


@pytest.fixture
def engines() -> FakeEngines:
    return FakeEngines()


@pytest.fixture
def task(engines, clock) -> OrderTask:
    clock.advance(100)
    task = OrderTask(
        HostId("h1"),
        "za",
        engines,
        FakeLease(),
        clock,
        ServingMetrics("h1", "za"),
        AdapterUses(),
        lambda: None,
    )
    task.catalogue = catalogue(FIRST_INCARNATION)
    task.is_ordering = True
    scheduler = EngineScheduler(ENGINE_ID, 2, FIRST_INCARNATION)
    scheduler.apply_report(
        status_holding(FIRST_INCARNATION, ADAPTER), clock.monotonic(), clock.monotonic()
    )
    task.managed_engines[ENGINE_ID] = ManagedEngine(
        published_engine(FIRST_INCARNATION), scheduler
    )
    return task


def test_listing_of_a_later_incarnation_resets_the_scheduler(
    task: OrderTask, clock
) -> None:
    number = task.managed_engines[ENGINE_ID].scheduler.change_number
    task.apply_catalogue(catalogue(SECOND_INCARNATION))
    scheduler = task.managed_engines[ENGINE_ID].scheduler
    assert scheduler.incarnation == SECOND_INCARNATION
    assert not scheduler.open_adapters()
    assert scheduler.accepted_orders is None
    assert scheduler.change_number > number


def test_listing_of_an_earlier_incarnation_changes_nothing(task: OrderTask) -> None:
    task.managed_engines[ENGINE_ID].scheduler.incarnation = SECOND_INCARNATION
    task.apply_catalogue(catalogue(FIRST_INCARNATION))
    assert task.managed_engines[ENGINE_ID].scheduler.open_adapters() == (ADAPTER,)


async def test_report_of_a_later_incarnation_resets_the_scheduler(
    task: OrderTask, engines
) -> None:
    engines.status = status_holding(SECOND_INCARNATION)
    await task.runner.request_report(task.managed_engines[ENGINE_ID])
    assert task.managed_engines[ENGINE_ID].scheduler.incarnation == SECOND_INCARNATION
    assert not task.managed_engines[ENGINE_ID].scheduler.open_adapters()


async def test_reply_to_an_order_of_the_previous_incarnation_is_ignored(
    task: OrderTask, engines
) -> None:
    engine = task.managed_engines[ENGINE_ID]
    sending = asyncio.create_task(
        task.runner.send_order(engine, LoadAdapter(AdapterRef("m/b", "1")))
    )
    await asyncio.sleep(0)
    task.apply_catalogue(catalogue(SECOND_INCARNATION))
    engines.may_answer.set()
    await sending
    assert not engine.scheduler.loading_until
    assert engine.scheduler.accepted_orders is None


async def test_missing_adapter_report_of_the_previous_incarnation_is_ignored(
    task: OrderTask,
) -> None:
    scheduler = task.managed_engines[ENGINE_ID].scheduler
    later = replace(
        published_engine(SECOND_INCARNATION), incarnation=SECOND_INCARNATION
    )
    task.runner.reset_scheduler(task.managed_engines[ENGINE_ID], later)
    scheduler = task.managed_engines[ENGINE_ID].scheduler
    now = task.clock.monotonic() + seconds(9)
    scheduler.apply_report(status_holding(SECOND_INCARNATION, ADAPTER), now, now)
    await task.handle_adapter_event(
        AdapterMissing(ENGINE_ID, ADAPTER, FIRST_INCARNATION)
    )
    assert scheduler.open_adapters() == (ADAPTER,)
    await task.handle_adapter_event(
        AdapterMissing(ENGINE_ID, ADAPTER, SECOND_INCARNATION)
    )
    assert scheduler.open_adapters() == ()


def test_recent_holdings_are_cached_for_many_hosts(task: OrderTask, clock) -> None:
    first = task.recent_holdings()
    assert first[0].adapters == (ADAPTER,)
    assert task.recent_holdings() is first
    clock.advance(0.06)
    assert task.recent_holdings() is not first


def test_changed_holdings_replace_the_cache_at_once(task: OrderTask, clock) -> None:
    task.recent_holdings()
    task.apply_catalogue(catalogue(SECOND_INCARNATION))
    latest = task.holdings_snapshot()
    assert task.recent_holdings() is latest
    assert not latest[0].adapters
    task.stop_ordering()
    assert not task.recent_holdings()


async def test_engine_is_ordered_again_after_a_step_that_failed_unforeseen(
    task: OrderTask, engines, monkeypatch
) -> None:
    """Guards against an engine whose task ends in silence by one odd report."""
    monkeypatch.setattr(engine_runner, "FAULT_PAUSE_S", 0.0)
    reports = [RecursionError("deep"), Success(engines.status)]
    asked = asyncio.Event()

    async def report(_: Target):
        found = reports.pop(0) if len(reports) > 1 else reports[0]
        if isinstance(found, Exception):
            raise found
        asked.set()
        return found

    engine = task.managed_engines[ENGINE_ID]
    engine.scheduler = EngineScheduler(ENGINE_ID, 2, FIRST_INCARNATION)
    monkeypatch.setattr(engines, "report", report)
    engine.task = asyncio.create_task(task.runner.run(engine))
    async with asyncio.timeout(10):
        await asked.wait()
        while engine.scheduler.accepted_orders is None:
            task.clock.advance(1)
            await asyncio.sleep(0.01)
    counter = task.runner.metrics.unforeseen_errors
    assert counter.get({"kind": "engine"}) == 1
    engine.task.cancel()


def test_adapter_that_cannot_be_parsed_is_not_inherited(task: OrderTask) -> None:
    """Guards against a name in a peer's digest that ends the next keeper."""
    task.remove_engine(ENGINE_ID)
    recent = ("m/b@1", "m/" + "x" * 300 + "@1", "@")
    holdings = EngineHoldings(
        ENGINE_ID, 1, 1, (), {}, recent, incarnation=FIRST_INCARNATION
    )
    task.record_peer_holdings(holdings)
    task.engine_tasks = SimpleNamespace(start=lambda work, key: work.close())
    task.add_engine(published_engine(FIRST_INCARNATION))
    recent_loads = task.managed_engines[ENGINE_ID].scheduler.load_times.recent
    assert [str(adapter) for adapter in recent_loads] == ["m/b@1"]
