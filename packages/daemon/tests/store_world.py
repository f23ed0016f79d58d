"""A scripted store, and the tasks of a host that follow it, for tests."""

from datetime import timedelta
from random import Random

from returns.result import Failure, Success

from sardinequay_core.catalogue import (
    Change,
    ConfigPublished,
    PublishedTarget,
    TargetPublished,
    TargetRemoved,
    TargetUnreadable,
)
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.read_times import ReadTimes, read_times
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.serving import CallerLimits, make_serving_config
from sardinequay_daemon.errors import PlatformError
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import StoreItem, StoreRead
from sardinequay_daemon.store.reader import StoreReader
from sardinequay_daemon.store.task import StoreTask

BUDGET = seconds(2)


def item(version: int, revision: int) -> StoreItem:
    return StoreItem("config", revision, str(version).encode())


def entry(port: int, revision: int) -> StoreItem:
    return StoreItem("target", revision, str(port).encode())


def published(port: str, revision: int) -> TargetPublished:
    target = Target(
        TargetId("t"),
        PoolName("pool"),
        TargetKind.SERVICE,
        DataCentre("here"),
        Address("127.0.0.1", int(port)),
    )
    return TargetPublished(PublishedTarget(target, 4, revision))


def read(*items: StoreItem, revision: int) -> Success[StoreRead]:
    return Success(StoreRead(items, revision))


REFUSED = Failure(PlatformError("store", "status 503"))
SILENT = Failure(PlatformError("store", "TimeoutError()", is_timeout=True))
GONE = Failure(PlatformError("store", "status 410", is_history_gone=True))


class ScriptedStore:
    """Store that returns prepared results, and calls `on_call` before each."""

    def __init__(self) -> None:
        self.answers: list = []
        self.listings = 0
        self.waits: list[timedelta] = []
        self.answer_waits: list[timedelta] = []
        self.on_call = lambda: None

    async def list_all(self, answer_wait: timedelta):
        self.listings += 1
        self.answer_waits.append(answer_wait)
        self.on_call()
        return self.answers.pop(0)

    async def watch(self, after: int, wait: timedelta, answer_wait: timedelta):
        self.waits.append(wait)
        self.answer_waits.append(answer_wait)
        self.on_call()
        return self.answers.pop(0)

    def decode(self, found: StoreItem) -> Change | None:
        if found.key == "target" and found.value is None:
            return TargetRemoved(TargetId("t"))
        if found.value is None:
            return None
        if found.value == b"poison":
            raise RecursionError("poison")
        if found.key == "target":
            return published(found.value.decode(), found.revision)
        if found.value == b"spoiled":
            raise PlatformError("config", "spoiled")
        config = make_serving_config(int(found.value), (), (), CallerLimits())
        return ConfigPublished(config)

    def withdraw(self, key: str) -> Change | None:
        return TargetUnreadable(TargetId("t"), "") if key == "target" else None


def small_fleet_times() -> ReadTimes:
    return read_times(BUDGET, 2000, hosts=8)


def make_task(store: ScriptedStore, clock: Clock) -> StoreTask:
    return StoreTask(store, clock, seconds(2), BUDGET, ServingMetrics("h1", "here"))


def make_reader(
    store: ScriptedStore, task: StoreTask, clock: Clock, **more
) -> StoreReader:
    arguments = {
        "is_reader": lambda: True,
        "is_substitute": lambda: False,
        "times": small_fleet_times,
    }
    return StoreReader(
        store,
        task,
        clock,
        Random(1),
        metrics=ServingMetrics("h1", "za"),
        **(arguments | more),
    )
