"""Permits for one limited target: the bound over any asking, bookings, and waits."""

from datetime import timedelta

import pytest
from hypothesis import given
from hypothesis import strategies as st

from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.statements.send_schedule import (
    BURST_PERMITS,
    BURST_S,
    Denied,
    Granted,
    SendSchedule,
    new_schedule,
)

START = seconds(1000)
WINDOW_S = 4.0
HOST = HostId("h1")


def after(value_s: float) -> Instant:
    return START + seconds(value_s)


@pytest.fixture
def schedule() -> SendSchedule:
    """A schedule of two a second with all its permits in hand."""
    return SendSchedule(2.0, START, lambda: 0.5)


asks = st.lists(
    st.tuples(
        st.floats(0, 0.3),
        st.sampled_from([None, 0.0, 0.2, 1.0, 5.0]),
        st.sampled_from([0.2, 0.5, 2.0, 20.0]),
    ),
    max_size=200,
)


@given(asks, st.booleans())
def test_no_window_gets_more_than_the_rate_and_a_burst(asks, changes_rate) -> None:
    """Whoever asks, for how long and in whatever order; also while the rate changes."""
    schedule = new_schedule(2.0, lambda: 0.5, START)
    now, starts, highest = START, [], 2.0
    for pause_s, wait_s, rate in asks:
        now += seconds(pause_s)
        if changes_rate:
            schedule.apply_limit(rate, now)
            highest = 20.0
        wait = None if wait_s is None else seconds(wait_s)
        reply = schedule.ask(HOST, wait, now)
        if isinstance(reply, Granted):
            starts.append((now + reply.start_in - START).total_seconds())
    bound = highest * (WINDOW_S + BURST_S) + BURST_PERMITS
    for start in starts:
        assert sum(start <= s < start + WINDOW_S for s in starts) <= bound + 1e-6


def test_new_schedule_grants_nothing_at_once() -> None:
    schedule = new_schedule(2.0, lambda: 0.5, START)
    assert isinstance(schedule.ask(HOST, None, START), Denied)
    assert isinstance(schedule.ask(HOST, ZERO, START), Denied)
    assert schedule.ask(HOST, seconds(1), START) == Granted(seconds(0.5))


def test_last_permit_in_hand_is_kept_for_what_only_this_target_can_serve(
    schedule,
) -> None:
    granted = 0
    while isinstance(schedule.ask(HOST, None, START), Granted):
        granted += 1
    assert granted == BURST_PERMITS - 1 + int(2.0 * BURST_S)
    assert schedule.ask(HOST, ZERO, START) == Granted(ZERO)
    assert isinstance(schedule.ask(HOST, ZERO, START), Denied)


def test_requests_that_wait_are_sent_one_after_the_other(schedule) -> None:
    while isinstance(schedule.ask(HOST, ZERO, START), Granted):
        pass
    starts = [schedule.ask(HOST, seconds(9), START) for _ in range(3)]
    assert starts == [Granted(seconds(s)) for s in (0.5, 1.0, 1.5)]
    assert schedule.ask(HOST, seconds(1), START) == Denied(seconds(2), seconds(2.5))


def test_a_rate_that_falls_slows_what_is_booked_next(schedule) -> None:
    while isinstance(schedule.ask(HOST, ZERO, START), Granted):
        pass
    schedule.apply_limit(1.0, START)
    reply = schedule.ask(HOST, seconds(9), START)
    assert isinstance(reply, Granted)
    assert reply.start_in >= seconds(1)


def test_bookings_hold_when_only_the_share_of_the_limit_falls(schedule) -> None:
    """Requests that wait were forgotten by the issuer, though they were sent later."""
    while isinstance(schedule.ask(HOST, ZERO, START), Granted):
        pass
    booked = [schedule.ask(HOST, seconds(9), START) for _ in range(3)]
    assert all(isinstance(b, Granted) for b in booked)
    schedule.apply_limit(2.0, START, share=0.5)
    reply = schedule.ask(HOST, seconds(9), START)
    assert isinstance(reply, Granted)
    assert reply.start_in >= seconds(3)


def test_hosts_that_found_none_are_told_to_ask_one_after_the_other(schedule) -> None:
    while isinstance(schedule.ask(HOST, ZERO, START), Granted):
        pass
    waits: list[timedelta] = []
    for number in range(20):
        reply = schedule.ask(HostId(f"h{number}"), None, START)
        assert isinstance(reply, Denied)
        waits.append(reply.ask_in)
    assert waits == sorted(waits)
    assert waits[-1] - waits[0] >= seconds(4)
    later = schedule.ask(HOST, None, after(30))
    assert later == Granted(ZERO)
