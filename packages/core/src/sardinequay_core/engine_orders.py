"""Engine reports, orders to engines, and the requests that wait for adapters."""

from dataclasses import dataclass, field

from .clock import Instant
from .names import AdapterRef

LATE_ANSWER_WORTH = 0.3
"""Value of a late answer relative to one on time; about what users assign to it."""


@dataclass(frozen=True, slots=True)
class EngineStatus:
    """An engine's report of its state, some hundred milliseconds old.

    Parameters
    ----------
    orders : int
        Number of orders accepted since the engine started.
    incarnation : int
        Start time of the engine, in Unix milliseconds; 0 if it is not reported.
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
    """Order: load the newest version of an adapter."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class UnloadAdapter:
    """Order: unload an adapter."""

    adapter: AdapterRef


@dataclass(frozen=True, slots=True)
class AskReport:
    """Step: request a report from the engine."""


@dataclass(frozen=True, slots=True)
class Rest:
    """Step: wait for `for_s` seconds."""

    for_s: float


EngineOrder = LoadModel | LoadAdapter | UnloadAdapter
SchedulerStep = EngineOrder | AskReport | Rest


@dataclass(frozen=True, slots=True)
class Waiter:
    """One request that waits for an adapter.

    Parameters
    ----------
    worth : float
        The value of an answer on time.
    goal_at : timedelta
        If the adapter is ready later than this, the answer is late.
    until : timedelta
        If the adapter is loaded later than this, the request gains nothing.
    since : timedelta
        When the request started to wait.
    """

    worth: float
    goal_at: Instant
    until: Instant
    since: Instant


@dataclass(slots=True)
class Wanted:
    """The requests that wait for one adapter, by ticket."""

    waiters: dict[int, Waiter] = field(default_factory=dict)

    def earliest_since(self) -> Instant:
        """Return the start of the longest wait."""
        return min(w.since for w in self.waiters.values())

    def most_urgent(self) -> Waiter:
        """Return the request whose answer on time is worth most."""
        return max(self.waiters.values(), key=lambda waiter: waiter.worth)

    def value_if_ready(self, ready_at: Instant) -> float:
        """Return the total value of a load to the waiting requests.

        Parameters
        ----------
        ready_at : timedelta
            When the load is done. An answer that it makes late counts with the value of
            a late one. Otherwise a request close to its goal would displace another
            request that can still be answered on time.
        """
        # A loop: for a single waiter, the usual case, a generator costs more.
        total = 0.0
        for waiter in self.waiters.values():
            is_late = ready_at > waiter.goal_at
            total += waiter.worth * LATE_ANSWER_WORTH if is_late else waiter.worth
        return total
