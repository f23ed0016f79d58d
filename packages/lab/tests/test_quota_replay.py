"""Quotas replayed over whole fleets: what must hold whoever decides, and what it costs.

An organisation asks for 4.1 times its quota while a data centre is cut off and hosts
start anew. Hosts that count for themselves, or hear one another late, let through
several times the quota then, and hosts with a fixed part pass nothing of a small one.
"""

import functools
from dataclasses import replace

import pytest

from sardinequay_lab.quota_policies import (
    ASK_TIMEOUT_S,
    FixedShares,
    LeasedAllowance,
    SharedUsage,
)
from sardinequay_lab.quota_replay import BOUND, SCENARIOS
from sardinequay_lab.quota_world import Result, Scenario, replay

SEED = 1
BY_NAME = {scenario.name: scenario for scenario in SCENARIOS}


@functools.cache
def shared(scenario: Scenario) -> Result:
    return replay(scenario, SharedUsage(scenario, BOUND, SEED), BOUND, SEED)


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_no_window_holds_more_than_may_be(scenario: Scenario) -> None:
    assert shared(scenario).worst_of_bound <= 1


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda s: s.name)
def test_little_is_refused_within_the_quota(scenario: Scenario) -> None:
    assert shared(scenario).refused_within <= 0.02


def test_usual_demand_is_not_refused_in_a_cut() -> None:
    assert shared(BY_NAME["cut"]).refused <= 0.01


def test_cost_of_a_host_does_not_grow_with_the_fleet() -> None:
    large = replace(BY_NAME["usual, large"], hosts=120, data_centres=4, lasts_s=12.0)
    small = replace(large, hosts=60, data_centres=2)
    assert shared(large).bytes_per_s <= 1.5 * shared(small).bytes_per_s


def test_only_a_granter_of_each_request_makes_requests_wait() -> None:
    scenario = BY_NAME["hot, cut"]
    leased = replay(scenario, LeasedAllowance(scenario, BOUND, SEED), BOUND, SEED)
    assert max(leased.waits_s) >= ASK_TIMEOUT_S
    assert not shared(scenario).waits_s


def test_fixed_parts_pass_nothing_of_a_small_quota() -> None:
    scenario = BY_NAME["usual, small"]
    policy = FixedShares(scenario, BOUND, SEED)
    assert replay(scenario, policy, BOUND, SEED).refused > 0.9
