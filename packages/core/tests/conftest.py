"""Fixtures shared by the core's tests."""

from collections.abc import Callable
from datetime import timedelta

import pytest
from hypothesis import settings

from sardinequay_core.clock import seconds
from sardinequay_core.engine_record import EngineReport, KeeperPolicy, LoadCommand
from sardinequay_core.keeper import Keeper
from sardinequay_core.leases import AdapterUse, HolderId
from sardinequay_core.load_queue import LoadPolicy
from sardinequay_core.names import AdapterRef, Address, DataCentre, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind

START = seconds(1000)

settings.register_profile("fixed", derandomize=True, deadline=None, database=None)
settings.load_profile("fixed")


@pytest.fixture
def policy() -> KeeperPolicy:
    return KeeperPolicy(
        lease_duration=seconds(4),
        longest_request=seconds(6),
        report_lag=seconds(1),
        report_timeout=seconds(30),
        load_policy=LoadPolicy(loads_per_s=10, burst=5, load_time=seconds(0.1)),
    )


@pytest.fixture
def engine() -> Target:
    return Target(
        TargetId("engine"),
        PoolName("pool"),
        TargetKind.ENGINE,
        DataCentre("home"),
        Address("127.0.0.1", 1),
    )


@pytest.fixture
def x_use(engine: Target) -> AdapterUse:
    return AdapterUse(AdapterRef("x", "1"), engine.target_id)


@pytest.fixture
def holder() -> HolderId:
    return HolderId("h1#1")


@pytest.fixture
def keeper(policy: KeeperPolicy, engine: Target, x_use: AdapterUse) -> Keeper:
    """Return a keeper whose one engine has two slots and a confirmed load of x."""
    made = Keeper(policy, 7, START)
    made.set_targets([engine])
    made.handle_report(make_report(), START, START)
    made.handle_load_request(1, x_use.adapter, START + seconds(60), START)
    (order,) = [c for c in made.tick(START) if isinstance(c, LoadCommand)]
    made.handle_load_done(order.use, timedelta(0), START)
    return made


def make_report(
    *names: str, token: int = 0, incarnation: str = "1", in_use: tuple[str, ...] = ()
) -> EngineReport:
    """Return an engine's report with the given resident adapters."""
    return EngineReport(
        TargetId("engine"),
        incarnation,
        token,
        2,
        tuple(AdapterRef(name, "1") for name in names),
        in_use=tuple(AdapterRef(name, "1") for name in in_use),
    )


@pytest.fixture
def report() -> Callable[..., EngineReport]:
    return make_report
