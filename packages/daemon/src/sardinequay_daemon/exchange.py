"""One request on its way, and where its answer goes."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import aiohttp
from opentelemetry.trace import Span

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import PoolName, TargetId
from sardinequay_core.organisations import Organisation
from sardinequay_core.repeat_budget import RepeatBudget
from sardinequay_core.retry_decision import AttemptCounts
from sardinequay_core.serving import Route

from .errors import DaemonError
from .guarded_run import GuardedRun
from .serving_ports import Headers, RequestTerms

FIRST_EVENT_FLOOR_S = 2.0
FIRST_EVENT_GOALS = 4.0
FIRST_EVENT_PAUSES = 8.0
"""Callers leave a stream after a silence of the longest of: two seconds, four times the
goal, eight times the longest pause. Waiting longer for a first event helps nobody."""

ANSWER_MARGIN = seconds(0.03)
"""Kept back of a request's time so that a refusal still reaches the caller."""


@dataclass(slots=True)
class RelayExchange:
    """One request on its way.

    Parameters
    ----------
    deadline : timedelta
        The earlier of the caller's and the route's, on this host's monotonic clock.
    guarded_run : GuardedRun
        The request as far as it concerns whether its content may run.
    organisation : Organisation or None
        Who asks, where that is known.
    tried : frozenset
        Targets that failed or rejected the request.
    rejections : Counter
        How often each target rejected the request.
    repeat : RepeatBudget or None
        Where the attempt that is under way counts as a repeat.
    """

    terms: RequestTerms
    route: Route
    pool: PoolName
    method: str
    path: str
    headers: Headers
    body: bytes
    arrived: Instant
    deadline: Instant
    span: Span
    guarded_run: GuardedRun
    organisation: Organisation | None = None
    attempts_so_far: AttemptCounts = field(default_factory=AttemptCounts)
    tried: frozenset[TargetId] = frozenset()
    rejections: Counter[TargetId] = field(default_factory=Counter)
    repeat: RepeatBudget | None = None
    last_event: str = ""
    answer_started: bool = False

    @property
    def priority(self) -> int:
        """Return the request's rank, 0 first: its organisation's before its route's."""
        organisation = self.organisation
        if organisation is not None and organisation.priority is not None:
            return organisation.priority
        return self.route.priority

    def begin_repeat(self, budget: RepeatBudget) -> None:
        """Count the next attempt as a repeat that is under way."""
        budget.record_permitted()
        self.repeat = budget

    def end_repeat(self, now: Instant) -> None:
        """Take that a repeat that was under way has arrived, or will not any more."""
        if self.repeat is not None:
            self.repeat.record_arrival(now)
            self.repeat = None

    def time_left(self, now: Instant) -> timedelta:
        """Return the time that is left for an answer of this host's own."""
        return self.deadline - now - ANSWER_MARGIN

    def waited_s(self, now: Instant) -> float:
        """Return how long ago the request came, in seconds."""
        return (now - self.arrived).total_seconds()

    def first_event_left_s(self, now: Instant) -> float:
        """Return how long waiting for a first event helps, in seconds."""
        left_s = self.time_left(now).total_seconds()
        if not self.route.repetition.is_stream or self.answer_started:
            return left_s
        pause = self.route.max_pause
        max_wait_s = max(
            FIRST_EVENT_FLOOR_S,
            FIRST_EVENT_GOALS * self.route.goal.total_seconds(),
            FIRST_EVENT_PAUSES * pause.total_seconds() if pause else 0.0,
        )
        return min(left_s, max_wait_s - self.waited_s(now))


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a target's answer, as the caller gets it."""

    status: int
    answer: aiohttp.ClientResponse


BeginAnswer = Callable[[AnswerHead], Awaitable[None]]
WriteAnswer = Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class AnswerSink:
    """Where an answer goes: its head first, then its bytes as they come."""

    begin_answer: BeginAnswer
    write_body: WriteAnswer


class AnswerCutOffError(DaemonError):
    """An answer that had begun and cannot be completed."""
