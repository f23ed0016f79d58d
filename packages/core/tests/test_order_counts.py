"""Counts of engines' orders: which rises are this host's own."""

from dataclasses import replace

import pytest

from sardinequay_core.clock import seconds
from sardinequay_core.engine_orders import EngineStatus
from sardinequay_core.names import TargetId
from sardinequay_core.order_counts import OrderCounts

ENGINE = TargetId("e1")
STATUS = EngineStatus(
    models=frozenset(),
    adapters=frozenset(),
    coming=frozenset(),
    is_busy=False,
    orders=5,
    incarnation=1,
)


@pytest.fixture
def counts() -> OrderCounts:
    """Counts after a first report of one engine."""
    counts = OrderCounts()
    assert not counts.apply_report(ENGINE, STATUS, seconds(1))
    return counts


def apply_count(counts: OrderCounts, orders: int, asked_s: float) -> bool:
    status = replace(STATUS, orders=orders)
    return counts.apply_report(ENGINE, status, seconds(asked_s))


def test_rise_without_own_orders_is_foreign(counts) -> None:
    assert not apply_count(counts, 5, 2)
    assert apply_count(counts, 6, 3)
    assert not apply_count(counts, 6, 4)


def test_own_orders_explain_a_rise_that_shows_late(counts) -> None:
    for _ in range(2):
        counts.begin_own_order(ENGINE, seconds(2))
        counts.end_own_order(ENGINE, True, seconds(2.1))
    assert not apply_count(counts, 6, 2.2)
    assert not apply_count(counts, 7, 2.3)
    assert apply_count(counts, 8, 2.4)


def test_refused_order_explains_nothing(counts) -> None:
    counts.begin_own_order(ENGINE, seconds(2))
    counts.end_own_order(ENGINE, False, seconds(2.1))
    assert apply_count(counts, 6, 2.2)


def test_own_order_that_was_not_counted_in_time_explains_no_later_rise(counts) -> None:
    counts.begin_own_order(ENGINE, seconds(2))
    counts.end_own_order(ENGINE, True, seconds(2.1))
    assert not apply_count(counts, 5, 2.6)
    assert apply_count(counts, 6, 3)


def test_restart_of_an_engine_and_late_reports_prove_nothing(counts) -> None:
    assert not apply_count(counts, 4, 2)
    restarted = replace(STATUS, orders=9, incarnation=2)
    assert not counts.apply_report(ENGINE, restarted, seconds(3))
    assert not apply_count(counts, 20, 4)


def test_first_report_may_lack_own_orders_of_a_moment_ago() -> None:
    counts = OrderCounts()
    for begun_s in (0.4, 0.9, 1.1):
        counts.begin_own_order(ENGINE, seconds(begun_s))
        counts.end_own_order(ENGINE, True, seconds(begun_s))
    assert not apply_count(counts, 5, 1.2)
    assert not apply_count(counts, 7, 1.3)
    assert apply_count(counts, 8, 1.4)


def test_engines_that_are_gone_are_forgotten(counts) -> None:
    counts.begin_own_order(ENGINE, seconds(2))
    counts.keep_only(frozenset())
    assert not counts.counts
    assert not counts.sent_at
