"""What an engine reports, the orders to it, and the requests that wait for one."""

from dataclasses import dataclass, field

from .clock import Instant, seconds
from .names import AdapterRef

LATE_ANSWER_WORTH = 0.3
"""Worth of a late answer against one on time; about what users give for it."""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's report of itself, some hundred milliseconds old.

    Parameters
    ----------
    orders : int
        Orders accepted since it started.
    incarnation : int
        When it started, in Unix milliseconds; 0 if it does not say.
    """

    models: frozenset[str]
    adapters: frozenset[AdapterRef]
    coming: frozenset[AdapterRef]
    is_busy: bool
    orders: int
    waiting: int = 0
    running: int = 0
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class LoadModel:
    """Order: load a base model."""

    model: str


@dataclass(frozen=True, slots=True)
class LoadAdapter:
    """Order: load an adapter, its newest version."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Order: drop an adapter."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class AskReport:
    """Ask the engine for its report."""


@dataclass(frozen=True, slots=True)
class Rest:
    """Nothing to do for a while, in seconds."""

    for_s: float


EngineOrder = LoadModel | LoadAdapter | UnloadAdapter
SchedulerStep = EngineOrder | AskReport | Rest


@dataclass(frozen=True, slots=True)
class Waiter:
    """One request that waits for an adapter.

    Parameters
    ----------
    worth : float
        What its answer is worth on time.
    goal_at : timedelta
        With its adapter there later than this, its answer is late.
    until : timedelta
        Loading later than this does not help it.
    """

    worth: float
    goal_at: Instant
    until: Instant
    since: Instant


@dataclass(slots=True)
class Wanted:
    """An adapter that requests wait for, by their tickets."""

    waiters: dict[int, Waiter] = field(default_factory=dict)

    def earliest_since(self) -> Instant:
        """Return since when the longest waits."""
        return min(w.since for w in self.waiters.values())

    def load_value(self, now: Instant, load_s: float) -> float:
        """Return what loading the adapter now is worth to all who wait.

        Parameters
        ----------
        load_s : float
            How long the load takes. An answer that it makes late counts as late: else
            a request near its goal took the place of one that could still meet it.
        """
        ready_at = now + seconds(load_s)
        return sum(
            w.worth if ready_at <= w.goal_at else w.worth * LATE_ANSWER_WORTH
            for w in self.waiters.values()
        )
