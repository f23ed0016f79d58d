"""The checker: one history for each promise that must fail, and one that must not."""

from typing import Any

import pytest

from sardinequay_lab.checker import LEAVING_BOUND_S, judge
from sardinequay_lab.history import Event


def event(at_s: float, who: str, what: str, **fields: Any) -> Event:
    return Event(at_s, who, what, fields)


def answered(at_s: float, request: str, outcome: str = "ran", **fields: Any) -> Event:
    defaults = {"complete": outcome == "ran", "whole": outcome == "ran"}
    return event(
        at_s,
        "callers",
        "answered",
        request=request,
        outcome=outcome,
        **{**defaults, **fields},
    )


GOOD = [
    event(0, "callers", "asked", request="r1", model="x@1"),
    event(1, "engine", "started", request="r1.1", adapter="x@1", key=""),
    answered(2, "r1"),
    event(3, "service", "started", request="r2", key="k"),
    answered(4, "r2"),
    answered(5, "r3", "not_run"),
    event(6, "engine", "evicted", adapter="x@1", in_use=[]),
    event(7, "trial", "left", target="engine"),
    event(7 + LEAVING_BOUND_S, "engine", "started", request="r4.1", adapter="y@1"),
    event(8, "trial", "in force", process="host 1", version=1),
    event(9, "trial", "in force", process="host 1", version=2),
    event(10, "trial", "in force", process="host 2", version=1),
]

BAD = {
    "at most once": [event(20, "other", "started", request="r9", key="k")],
    "not run is true": [event(20, "other", "started", request="r3.1", adapter="x@1")],
    "whole answers": [answered(20, "r5", whole=False)],
    "named adapter": [event(20, "other", "started", request="r1.2", adapter="x@2")],
    "no eviction in use": [
        event(20, "other", "evicted", adapter="x@1", in_use=["r1.1"])
    ],
    "leaving gets no work": [
        event(20, "engine", "started", request="r6.1", adapter="x@1")
    ],
    "never reverts": [event(20, "trial", "in force", process="host 1", version=1)],
}


def test_good_history_breaks_nothing() -> None:
    assert judge(GOOD) == []


@pytest.mark.parametrize("promise", sorted(BAD))
def test_bad_history_breaks_its_promise_and_no_other(promise: str) -> None:
    assert [breach.promise for breach in judge(GOOD + BAD[promise])] == [promise]


@pytest.mark.parametrize("outcome", ["unknown", "ran"])
def test_incomplete_answers_may_have_run(outcome: str) -> None:
    extra = [
        event(20, "engine2", "started", request="r7.1", adapter="x@1"),
        answered(21, "r7", outcome, complete=False, whole=False),
    ]
    assert judge(GOOD + extra) == []
