"""Which target of a plain service gets a request."""

from dataclasses import replace
from random import Random
from types import SimpleNamespace

import pytest
from multidict import CIMultiDict

from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, DataCentre, PoolName, TargetId
from sardinequay_core.outcome import Outcome, Reason
from sardinequay_core.roster import EMPTY_ROSTER, Roster, Target, TargetKind
from sardinequay_daemon.progress import RequestRefusedError
from sardinequay_daemon.services import ServiceForwarder

from .conftest import ManualClock

POOL = PoolName("plain")
REQUEST = SimpleNamespace(service=SimpleNamespace(pool=POOL))


def target(name: str) -> Target:
    return Target(
        TargetId(name), POOL, TargetKind.SERVICE, DataCentre("za"), Address("::1", 1)
    )


FIRST, SECOND = target("s1"), target("s2")


@pytest.fixture
def forwarder(clock: ManualClock) -> ServiceForwarder:
    made = ServiceForwarder(
        *(None,) * 7, clock=clock, random=Random(1), silence_s=1.0, guard=None
    )
    made.apply_roster(roster_of(FIRST, SECOND))
    return made


def roster_of(*targets: Target) -> Roster:
    return replace(EMPTY_ROSTER, targets=tuple(targets))


def hear(forwarder: ServiceForwarder, of: Target, status: int, text: str) -> None:
    headers = CIMultiDict({"Retry-After": text})
    forwarder.record_answer(of, SimpleNamespace(status=status, headers=headers))


def chosen(forwarder: ServiceForwarder) -> set[Target]:
    return {forwarder.choose(REQUEST) for _ in range(20)}


def test_target_that_asked_for_a_backoff_is_left_out_until_its_end(
    forwarder, clock
) -> None:
    hear(forwarder, FIRST, 503, "3")
    assert chosen(forwarder) == {SECOND}
    clock.advance(3)
    assert chosen(forwarder) == {FIRST, SECOND}


def test_request_is_refused_at_once_while_all_targets_want_a_backoff(forwarder) -> None:
    hear(forwarder, FIRST, 503, "3")
    hear(forwarder, SECOND, 429, "2.5")
    with pytest.raises(RequestRefusedError) as refused:
        forwarder.choose(REQUEST)
    refusal = refused.value.refusal
    assert refusal.reason is Reason.TARGET_LIMITED
    assert refusal.outcome is Outcome.NOT_RUN
    assert refusal.retry_after == seconds(2.5)


@pytest.mark.parametrize(("status", "text"), [(200, "3"), (503, "soon"), (503, "0")])
def test_other_answers_ask_for_no_backoff(forwarder, status: int, text: str) -> None:
    hear(forwarder, FIRST, status, text)
    assert chosen(forwarder) == {FIRST, SECOND}
