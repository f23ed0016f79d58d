"""Keeper: loads, evictions, leases, and the succession of keepers."""

from collections.abc import Callable
from datetime import timedelta

import pytest

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.engine_record import (
    EngineReport,
    KeeperPolicy,
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from sardinequay_core.keeper import Keeper
from sardinequay_core.leases import AdapterUse, HolderId
from sardinequay_core.load_queue import RejectWaiter
from sardinequay_core.names import AdapterRef, TargetId
from sardinequay_core.roster import Presence, Target

START = seconds(1000)
Report = Callable[..., EngineReport]
Confirm = Callable[..., None]
Y, Z = AdapterRef("y", "1"), AdapterRef("z", "1")
LATER = START + seconds(20)


def orders(keeper: Keeper, now: Instant, kind: type) -> list[object]:
    return [command for command in keeper.tick(now) if isinstance(command, kind)]


@pytest.fixture
def confirm(keeper: Keeper, report: Report) -> Callable[..., None]:
    """Return a function that delivers an engine report to the keeper."""

    def deliver_report(now: Instant, *names: str, in_use: tuple[str, ...] = ()) -> None:
        token = keeper.engines[TargetId("engine")].token
        keeper.handle_report(report(*names, token=token, in_use=in_use), now, now)

    return deliver_report


def request_z(keeper: Keeper, now: Instant) -> None:
    """Queue so many requests for z that x is evicted, while y is in demand."""
    for ticket in range(5):
        keeper.handle_load_request(100 + ticket, Z, now + seconds(60), now)
        keeper.queue.demand.record_requests(Y, now, 10)


def test_renewal_without_requests_returns_no_lease(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, confirm: Confirm
) -> None:
    # The holder may start a request after it sent the renewal, so only an explicit
    # return ends a lease. Exploration of evictions found this with seed 32.
    confirm(LATER, "x")
    keeper.handle_acquire(holder, x_use.adapter, 1, LATER)
    keeper.engines[x_use.target].draining.add(x_use.adapter)
    keeper.handle_renew(holder, [(x_use, 0)], 2, LATER)
    assert not orders(keeper, LATER, UnloadCommand)


def test_idle_adapter_is_evicted_once_its_lease_is_returned(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, confirm: Confirm
) -> None:
    confirm(LATER, "x")
    keeper.handle_acquire(holder, x_use.adapter, 1, LATER)
    confirm(LATER, "x", "y")
    request_z(keeper, LATER)
    assert orders(keeper, LATER, RecallCommand) == [RecallCommand(holder, x_use)]
    assert not orders(keeper, LATER, UnloadCommand)
    keeper.handle_lease_return(holder, x_use, 2)
    (order,) = orders(keeper, LATER, UnloadCommand)
    assert order.use == x_use


@pytest.mark.parametrize(
    ("trusts_reports", "after", "evicted"),
    [
        pytest.param(True, 4.5, False, id="a report too early to tell"),
        pytest.param(True, 5, True, id="a report later than the lag"),
        pytest.param(False, 9.5, False, id="the longest request may still run"),
        pytest.param(False, 10, True, id="the longest request is over"),
    ],
)
def test_lease_that_is_not_returned_delays_eviction(
    policy: KeeperPolicy,
    keeper: Keeper,
    x_use: AdapterUse,
    holder: HolderId,
    trusts_reports: bool,
    after: float,
    evicted: bool,
    confirm: Confirm,
) -> None:
    keeper.policy = KeeperPolicy(
        lease_duration=policy.lease_duration,
        longest_request=policy.longest_request,
        report_lag=policy.report_lag,
        report_timeout=policy.report_timeout,
        are_reports_trusted=trusts_reports,
        load_policy=policy.load_policy,
    )
    confirm(LATER, "x")
    keeper.handle_acquire(holder, x_use.adapter, 1, LATER)
    keeper.engines[x_use.target].draining.add(x_use.adapter)
    now = LATER + seconds(after)
    confirm(now, "x")
    assert bool(orders(keeper, now, UnloadCommand)) is evicted


def test_adapter_reported_in_use_is_not_evicted(
    keeper: Keeper, x_use: AdapterUse, confirm: Confirm
) -> None:
    keeper.engines[x_use.target].draining.add(x_use.adapter)
    confirm(LATER, "x", in_use=("x",))
    assert not orders(keeper, LATER, UnloadCommand)


def test_new_keeper_grants_nothing_before_the_engine_accepts_its_token(
    policy: KeeperPolicy,
    engine: Target,
    x_use: AdapterUse,
    holder: HolderId,
    report: Report,
) -> None:
    keeper = Keeper(policy, 9, START)
    keeper.set_targets([engine])
    keeper.handle_report(report("x", token=5 << 40), START, START)
    assert keeper.handle_acquire(holder, x_use.adapter, 1, START) == []
    (order,) = orders(keeper, START, LoadCommand)
    assert order.use == x_use
    assert order.token > 5 << 40
    keeper.handle_load_done(order.use, timedelta(0), START)
    assert [
        use for use, _ in keeper.handle_acquire(holder, x_use.adapter, 2, START)
    ] == [x_use]


def test_new_keeper_waits_for_the_end_of_its_predecessors_leases(
    policy: KeeperPolicy, engine: Target, x_use: AdapterUse, report: Report
) -> None:
    keeper = Keeper(policy, 9, START)
    keeper.set_targets([engine])
    keeper.handle_report(report("x", token=5 << 40), START, START)
    (order,) = orders(keeper, START, LoadCommand)
    keeper.handle_load_done(order.use, timedelta(0), START)
    keeper.engines[x_use.target].draining.add(x_use.adapter)
    token = keeper.engines[x_use.target].token
    for after, evicted in ((5.5, False), (6, True)):
        now = START + seconds(after)
        keeper.handle_report(report("x", token=token), now, now)
        assert bool(orders(keeper, now, UnloadCommand)) is evicted


def test_keeper_with_an_old_token_steps_down(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, report: Report
) -> None:
    keeper.handle_report(report("x", token=99 << 40), LATER, LATER)
    assert keeper.handle_acquire(holder, x_use.adapter, 1, LATER) == []
    assert not orders(keeper, LATER, LoadCommand)


def test_lease_ends_with_the_keepers_confirmed_control(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, confirm: Confirm
) -> None:
    confirm(LATER, "x")
    ((_, lasts),) = keeper.handle_acquire(holder, x_use.adapter, 1, LATER + seconds(3))
    assert lasts == seconds(1)
    assert keeper.handle_acquire(holder, x_use.adapter, 2, LATER + seconds(4)) == []


def test_restarted_engine_is_empty_and_its_leases_remain(
    keeper: Keeper,
    x_use: AdapterUse,
    holder: HolderId,
    confirm: Confirm,
    report: Report,
) -> None:
    confirm(LATER, "x")
    keeper.handle_acquire(holder, x_use.adapter, 1, LATER)
    keeper.handle_report(report(incarnation="2"), LATER, LATER)
    assert keeper.handle_acquire(HolderId("h2"), x_use.adapter, 1, LATER) == []
    assert keeper.lease_holders(x_use) == (holder,)


def test_return_older_than_the_last_grant_is_ignored(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, confirm: Confirm
) -> None:
    confirm(LATER, "x")
    keeper.handle_acquire(holder, x_use.adapter, 5, LATER)
    keeper.handle_lease_return(holder, x_use, 4)
    assert keeper.lease_holders(x_use) == (holder,)


def test_leaving_engine_gets_no_lease_and_no_load(
    keeper: Keeper,
    engine: Target,
    x_use: AdapterUse,
    holder: HolderId,
    confirm: Confirm,
) -> None:
    confirm(LATER, "x")
    leaving = Target(
        engine.target_id,
        engine.pool,
        engine.kind,
        engine.data_centre,
        engine.address,
        Presence.LEAVING,
    )
    keeper.set_targets([leaving])
    assert keeper.handle_acquire(holder, x_use.adapter, 1, LATER) == []
    keeper.handle_load_request(9, Y, LATER + seconds(60), LATER)
    assert not orders(keeper, LATER, LoadCommand)


def test_engine_without_reports_gets_no_lease(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, confirm: Confirm
) -> None:
    confirm(LATER, "x")
    now = LATER + keeper.policy.report_timeout + seconds(1)
    keeper.engines[x_use.target].confirmed_at = now
    assert keeper.handle_acquire(holder, x_use.adapter, 1, now) == []


def test_failed_load_is_delayed_and_late_requests_are_rejected_at_once(
    keeper: Keeper, confirm: Confirm
) -> None:
    confirm(LATER, "x")
    keeper.handle_load_request(2, Y, LATER + seconds(0.5), LATER)
    (order,) = orders(keeper, LATER, LoadCommand)
    keeper.handle_load_failed(order.use, LATER)
    assert [c.ticket for c in orders(keeper, LATER, RejectWaiter)] == [2]


def test_late_report_does_not_undo_a_completed_load(
    keeper: Keeper, x_use: AdapterUse, holder: HolderId, report: Report
) -> None:
    keeper.handle_report(report(token=0), START, START + seconds(0.5))
    assert keeper.handle_acquire(holder, x_use.adapter, 1, START + seconds(0.5))


def test_order_refused_for_its_token_ends_control_for_a_lease(
    keeper: Keeper, x_use: AdapterUse, report: Report
) -> None:
    keeper.handle_superseded(x_use.target, LATER)
    assert not orders(keeper, LATER, LoadCommand)
    keeper.handle_report(report("x", token=99 << 40), LATER, LATER)
    now = LATER + keeper.policy.lease_duration
    (order,) = orders(keeper, now, LoadCommand)
    assert order.token > 99 << 40


def test_tokens_of_an_old_term_never_exceed_a_newer_term(
    policy: KeeperPolicy, engine: Target, x_use: AdapterUse, report: Report
) -> None:
    # Exploration of evictions found this with seed 100: when each order started a new
    # term, a replaced keeper exceeded its successor's tokens without noticing.
    old = Keeper(policy, 1, START)
    old.set_targets([engine])
    old.handle_report(report(), START, START)
    new = Keeper(policy, 2, START)
    new.set_targets([engine])
    new.handle_report(report(token=old.engines[x_use.target].token), START, START)
    newer = new.engines[x_use.target].token
    assert all(old.engines[x_use.target].next_token() < newer for _ in range(100))


def test_demand_for_idle_adapters_expires(keeper: Keeper) -> None:
    keeper.queue.demand.record_requests(Y, START)
    keeper.tick(START + seconds(3600))
    assert Y not in keeper.queue.demand.counts
