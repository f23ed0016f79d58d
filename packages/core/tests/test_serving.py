"""Routing by longest prefix and split traffic, repetition, and engine capacities."""

from dataclasses import replace
from datetime import timedelta

import pytest

from sardinequay_core.names import PoolName
from sardinequay_core.serving import (
    CallerLimits,
    EnginePool,
    PoolShare,
    Repetition,
    Route,
    ServedModel,
    make_serving_config,
)


@pytest.fixture
def route() -> Route:
    return Route(
        name="r",
        host="a.example",
        prefix="/x/",
        repetition=Repetition.ONCE,
        timeout=timedelta(seconds=1),
        goal=timedelta(seconds=0.1),
        priority=1,
        max_runs=1,
        shares=(PoolShare(PoolName("p"), 1.0),),
    )


def test_longest_prefix_of_the_host_wins(route: Route) -> None:
    longer = replace(route, name="longer", prefix="/x/y/")
    other = replace(route, name="other", host="b.example", prefix="/x/y/z/")
    config = make_serving_config(1, (route, longer, other), (), CallerLimits())
    assert config.match_route("a.example", "/x/y/z/1") == longer
    assert config.match_route("a.example", "/x/1") == route
    assert config.match_route("a.example", "/y/") is None
    assert config.match_route("c.example", "/x/") is None


def test_split_traffic_follows_weights_and_is_stable_per_request(route: Route) -> None:
    shares = (PoolShare(PoolName("p"), 90), PoolShare(PoolName("q"), 10))
    split = replace(route, shares=shares)
    ids = [f"request-{n}" for n in range(4000)]
    to_q = sum(split.pool_for(i) == "q" for i in ids)
    assert 300 < to_q < 500
    assert [split.pool_for(i) for i in ids] == [split.pool_for(i) for i in ids]


@pytest.mark.parametrize(
    ("kind", "again", "stream"),
    [
        (Repetition.IDEMPOTENT, True, False),
        (Repetition.ONCE, False, False),
        (Repetition.STREAM, False, True),
        (Repetition.RESUMABLE_STREAM, True, True),
    ],
)
def test_repetition_properties(kind: Repetition, again: bool, stream: bool) -> None:
    assert kind.may_run_again is again
    assert kind.is_stream is stream


@pytest.mark.parametrize(
    ("weight_mb", "held", "places"),
    [
        (200.0, {"m"}, 6),
        (130.0, {"m"}, 3),
        (130.0, {"m", "n"}, 0),
        (0.0, {"m"}, 6),
        (200.0, set(), 6),
    ],
)
def test_memory_limits_the_adapter_capacity(weight_mb, held, places) -> None:
    models = (ServedModel("m", 100, 9, 10), ServedModel("n", 40, 9, 10))
    pool = EnginePool(8, 1000, weight_mb, 6, 2, models)
    assert pool.adapter_capacity(held) == places


def test_model_that_does_not_fit_is_never_loaded() -> None:
    models = (ServedModel("m", 100, 9, 10), ServedModel("n", 40, 9, 10))
    assert EnginePool(8, 1000, 60, 6, 2, models).loadable_models() == ("n",)
