"""Admission, retry budgets, the load queue, demand, rendezvous ranks and refusals."""

from datetime import timedelta

import pytest

from sardinequay_core.admission import (
    Admission,
    AdmissionPolicy,
    RetryBudget,
    RetryPolicy,
)
from sardinequay_core.clock import seconds
from sardinequay_core.demand_table import DemandTable
from sardinequay_core.load_queue import LoadPolicy, LoadQueue
from sardinequay_core.names import AdapterRef
from sardinequay_core.outcome import SENT_REASONS, Outcome, Reason, not_run_refusal
from sardinequay_core.rendezvous import rank_members, rank_members_weighted

NOW = seconds(100)
X, Y, Z = (AdapterRef(name, "1") for name in "xyz")


def test_high_priority_uses_capacity_reserved_from_low_priority() -> None:
    admission = Admission(AdmissionPolicy(max_in_flight=8, reserved_share=0.25))
    assert all(admission.try_enter(0) for _ in range(6))
    assert not admission.try_enter(0)
    assert admission.try_enter(9)
    assert admission.try_enter(9)
    assert not admission.try_enter(9)


def test_retries_stay_a_share_of_first_attempts() -> None:
    budget = RetryBudget(RetryPolicy(ratio=0.125, max_saved=2))
    assert [budget.try_spend(1) for _ in range(2)] == [True, False]
    for _ in range(8):
        budget.record_first_attempt()
    assert [budget.try_spend(1) for _ in range(2)] == [True, False]
    for _ in range(80):
        budget.record_first_attempt()
    assert [budget.try_spend(1) for _ in range(3)] == [True, True, False]


def test_repeated_restarts_earn_no_retries() -> None:
    starts = 20
    retries = 0
    for _ in range(starts):
        budget = RetryBudget(RetryPolicy())
        retries += sum(budget.try_spend(1) for _ in range(10))
    assert retries <= starts


def test_attempts_for_one_request_are_bounded() -> None:
    assert not RetryBudget(RetryPolicy(max_attempts=3)).try_spend(3)


def test_most_requested_adapter_is_loaded_first() -> None:
    queue = LoadQueue(LoadPolicy(loads_per_s=1), NOW)
    for ticket, adapter in enumerate((X, Y, Y, Z)):
        queue.add_request(ticket, adapter, NOW + seconds(60), NOW)
    assert queue.loadable_adapters(NOW)[0] == Y


def test_request_that_would_wait_past_its_deadline_is_given_up_at_once() -> None:
    queue = LoadQueue(LoadPolicy(loads_per_s=1, burst=1), NOW)
    for ticket in range(5):
        queue.add_request(ticket, AdapterRef(f"a{ticket}", "1"), NOW + seconds(60), NOW)
    given_up = queue.add_request(9, X, NOW + seconds(3), NOW)
    assert given_up.retry_after > seconds(3)


def test_queue_of_adapters_is_bounded() -> None:
    queue = LoadQueue(LoadPolicy(loads_per_s=1000, max_waiting_adapters=1), NOW)
    assert queue.add_request(1, X, NOW + seconds(60), NOW) is None
    assert queue.add_request(2, Y, NOW + seconds(60), NOW) is not None


def test_failed_loads_are_held_back_longer_each_time() -> None:
    queue = LoadQueue(LoadPolicy(loads_per_s=1, initial_backoff=seconds(1)), NOW)
    queue.add_request(1, X, NOW + seconds(600), NOW)
    queue.back_off(X, NOW)
    assert queue.waiting[X].not_before == NOW + seconds(1)
    queue.back_off(X, NOW)
    assert queue.waiting[X].not_before == NOW + seconds(2)
    assert queue.loadable_adapters(NOW) == []


def test_adapter_of_a_cancelled_request_is_not_loaded() -> None:
    queue = LoadQueue(LoadPolicy(loads_per_s=1), NOW)
    queue.add_request(1, X, NOW + seconds(60), NOW)
    queue.cancel_request(1, X)
    assert queue.loadable_adapters(NOW) == []


def test_demand_decays_and_is_pruned() -> None:
    demand = DemandTable(half_life=seconds(10))
    demand.record_requests(X, NOW, 8)
    assert demand.decayed_count(X, NOW + seconds(20)) == pytest.approx(2)
    demand.prune_idle(NOW + seconds(200))
    assert demand.counts == {}


def test_rank_ignores_member_order_and_moves_few_keys() -> None:
    members = [f"m{n}" for n in range(10)]
    keys = [f"k{n}" for n in range(1000)]
    before = {k: rank_members(k, members)[0] for k in keys}
    after = {k: rank_members(k, reversed(members[1:]))[0] for k in keys}
    moved = [k for k in keys if before[k] != after[k]]
    assert all(before[k] == "m0" for k in moved)


def test_weighted_rank_follows_the_weights() -> None:
    weights = {"a": 3.0, "b": 1.0, "c": 0.0}
    firsts = [rank_members_weighted(f"k{n}", weights)[0] for n in range(4000)]
    assert 2800 < firsts.count("a") < 3200
    assert "c" not in firsts


@pytest.mark.parametrize("reason", list(Reason))
def test_only_reasons_before_dispatch_permit_a_not_run_refusal(reason: Reason) -> None:
    if reason in SENT_REASONS:
        with pytest.raises(ValueError, match="does not prove"):
            not_run_refusal(reason, "")
    else:
        refusal = not_run_refusal(reason, "", timedelta(seconds=1))
        assert refusal.outcome is Outcome.NOT_RUN
        assert 400 <= refusal.status < 600
