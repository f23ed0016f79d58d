"""Desired copies of adapters under skewed demand on many engines."""

from random import Random

import pytest

from sardinequay_core.adapter_demand import (
    AdapterDemand,
    Demand,
    popular_demand,
)
from sardinequay_core.clock import seconds
from sardinequay_core.names import HostId, TargetId
from sardinequay_core.target_choice import (
    AdapterState,
    EngineOption,
    LoadOnEngine,
    SendToEngine,
    select_engine,
)

NOW = seconds(100)
ENGINES = 39


def option(number: int, state: AdapterState, first_event_s: float, rank: int = 0):
    return EngineOption(
        TargetId(f"e{number:02}"),
        state,
        first_event_s,
        is_local=True,
        free_places=1,
        home_rank=rank,
    )


def make_hosts_with_skewed_demand(hosts: int, requests: int) -> list[AdapterDemand]:
    """Return the demand at hosts whose callers follow Zipf's law with exponent 1.2."""
    random = Random(7)
    weights = [1 / (rank + 1) ** 1.2 for rank in range(2000)]
    names = [f"m/a{rank}" for rank in range(2000)]
    found = [AdapterDemand() for _ in range(hosts)]
    for n, name in enumerate(random.choices(names, weights, k=requests)):
        at = NOW - seconds(4 * (1 - n / requests))
        random.choice(found).record_request(name, at)
    return found


def test_most_requested_adapter_gets_its_share_of_the_engines() -> None:
    hosts = make_hosts_with_skewed_demand(195, 900)
    hub = AdapterDemand()
    for number, host in enumerate(hosts):
        hub.apply_peer_demand(HostId(f"h{number}"), host.own_demand(NOW), NOW)
    assert 7 <= hub.desired_copies("m/a0", ENGINES, NOW) <= 14
    assert 2 <= hub.desired_copies("m/a2", ENGINES, NOW) <= 6
    assert hub.desired_copies("m/a500", ENGINES, NOW) == 1


def test_host_without_callers_gets_enough_demand_from_the_hub() -> None:
    hosts = make_hosts_with_skewed_demand(195, 900)
    hub, other = AdapterDemand(), AdapterDemand()
    names = [HostId(f"h{n}") for n in range(195)]
    for name, host in zip(names, hosts, strict=True):
        hub.apply_peer_demand(name, host.own_demand(NOW), NOW)
    report = popular_demand(hub.summed_demand(names, NOW), ENGINES)
    other.apply_fleet_demand(HostId("hub"), report, NOW)
    assert len(report.by_adapter) < 20
    desired = hub.desired_copies("m/a0", ENGINES, NOW)
    assert other.desired_copies("m/a0", ENGINES, NOW) == desired


def test_demand_that_shifted_away_decays() -> None:
    demand = AdapterDemand()
    for _ in range(40):
        demand.record_request("m/old", NOW)
    later = NOW + seconds(20)
    for _ in range(20):
        demand.record_request("m/new", later)
    assert demand.desired_copies("m/old", ENGINES, later) <= 6
    assert demand.desired_copies("m/new", ENGINES, later) >= 30


def test_demand_of_a_silent_peer_expires() -> None:
    demand = AdapterDemand()
    demand.apply_peer_demand(HostId("h"), Demand(100, {"m/a": 100}), NOW)
    assert demand.desired_copies("m/a", ENGINES, NOW) > 1
    assert demand.desired_copies("m/a", ENGINES, NOW + seconds(4)) == 1


def test_one_copy_is_desired_without_any_demand() -> None:
    assert AdapterDemand().desired_copies("m/a", ENGINES, NOW) == 1


@pytest.mark.parametrize("desired", [1, 8])
def test_copy_is_loaded_before_the_queue_grows_by_seconds(desired: int) -> None:
    """The most requested adapter is on two busy engines of six."""
    options = [
        option(0, AdapterState.RESIDENT, 0.9),
        option(1, AdapterState.RESIDENT, 0.9),
        *(option(n, AdapterState.ABSENT, 0.1, rank=n) for n in range(2, 6)),
    ]
    choice = select_engine(options, 4.0, desired)
    if desired == 1:
        assert isinstance(choice, SendToEngine)
    else:
        assert isinstance(choice, LoadOnEngine)
        assert choice.target == "e02"


def test_idle_engine_with_the_adapter_is_preferred_to_a_desired_copy() -> None:
    options = [
        option(0, AdapterState.RESIDENT, 0.2),
        option(1, AdapterState.ABSENT, 0.1, rank=1),
    ]
    assert isinstance(select_engine(options, 4.0, 8), SendToEngine)
