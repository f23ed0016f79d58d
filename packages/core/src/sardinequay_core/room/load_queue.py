"""Expected wait for an adapter slot, by the loads that come before.

Load pattern: more adapters are asked for than engines have slots, for seconds. Most of
the requests that wait are late by then, and the keeper loads those of the others first.
A host that counted all of them as ahead of a new request would refuse it while it can
still be answered on time.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass

from ..engine_orders import LATE_ANSWER_WORTH

LEVELS_PER_DOUBLING = 8
"""Levels by which values of loads are told to hosts: one is nine percent."""

MAX_SUMMARY_LEVELS = 32
"""Waiting loads of one engine that are told to hosts, the most valuable ones."""

MIN_VALUE = 1e-30
"""The lowest value of a load that is told apart from none."""


def value_level(value: float) -> int:
    """Return the level of a load's value; a higher one comes first."""
    return round(math.log2(max(MIN_VALUE, value)) * LEVELS_PER_DOUBLING)


@dataclass(frozen=True, slots=True)
class LoadClaim:
    """What a request that waits for an adapter gains by its load.

    Parameters
    ----------
    worth : float
        Value of its answer on time.
    goal_s : float
        Time within which the adapter must be loaded for that, in seconds.
    """

    worth: float
    goal_s: float


@dataclass(frozen=True, slots=True)
class LoadQueueSummary:
    """Loads that wait at an engine, as its keeper tells hosts.

    Parameters
    ----------
    levels : tuple of int
        Levels of their values, descending.
    """

    levels: tuple[int, ...] = ()

    def loads_ahead(self, value: float) -> int:
        """Return how many loads come before one of a value."""
        level = value_level(value)
        return sum(1 for other in self.levels if other >= level)


def summarise(values: Iterable[float]) -> LoadQueueSummary:
    """Return the summary of waiting loads by their values."""
    levels = sorted(map(value_level, values), reverse=True)
    return LoadQueueSummary(tuple(levels))


def slot_wait_s(loads_ahead: int, free_slots: int, turnover_s: float) -> float:
    """Return the expected wait for a slot after the loads ahead, in seconds.

    Parameters
    ----------
    turnover_s : float
        Time between two loads while the engine is full, in seconds.
    """
    return max(0, loads_ahead + 1 - free_slots) * turnover_s


def expected_loads_ahead(
    queue: LoadQueueSummary,
    claim: LoadClaim,
    load_s: float,
    turnover_s: float,
    others: float = 0.0,
    free_slots: int = 0,
) -> int:
    """Return how many loads are expected to come before that of a request.

    Parameters
    ----------
    queue : LoadQueueSummary
        Loads of other adapters that wait at the engine.
    load_s : float
        Duration of the load, in seconds.
    turnover_s : float
        Time between two loads while the engine is full, in seconds.
    others : float
        Value of further requests that wait for the same adapter.
    free_slots : int
        Slots of the engine that no adapter takes.
    """
    ahead = queue.loads_ahead(claim.worth + others)
    wait_s = slot_wait_s(ahead, free_slots, turnover_s)
    if load_s + wait_s <= claim.goal_s:
        return ahead
    return queue.loads_ahead(claim.worth * LATE_ANSWER_WORTH + others)
