"""The state of one request in the relay, and the sink of its answer."""

from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import aiohttp
from opentelemetry.trace import Span

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import PoolName, SoftwareVersion, TargetId
from sardinequay_core.organisations import Organisation
from sardinequay_core.repeat_budget import RepeatBudget
from sardinequay_core.retry_decision import AttemptCounts
from sardinequay_core.room import Rank
from sardinequay_core.serving import Route

from .byte_budget.connection_bytes import ConnectionBytes
from .errors import DaemonError
from .quarantine.guarded_request import GuardedRequest
from .serving_ports import Headers, RequestTerms
from .statements.room_client import RoomPermit

FIRST_EVENT_FLOOR_S = 2.0
FIRST_EVENT_GOALS = 4.0
FIRST_EVENT_PAUSES = 8.0
"""Callers abandon a stream after a silence of the longest of: two seconds, four times
the route's goal, eight times its longest pause. A later first event is useless."""

ANSWER_MARGIN = seconds(0.03)
"""Reserved at the end of a request's time, so that a refusal arrives in time."""


@dataclass(slots=True)
class RelayExchange:
    """One request in the relay, with its attempts so far.

    A repeat is an arrival of a request at a target beyond the first one.

    Parameters
    ----------
    deadline : timedelta
        The earlier of the caller's and the route's deadline, on this host's monotonic
        clock.
    guarded_request : GuardedRequest
        The request's record for the content guard.
    organisation : Organisation or None
        The organisation that sent the request, if known.
    tried : frozenset
        Targets that failed or rejected the request.
    rejections : Counter
        How often each target rejected the request.
    repeat : RepeatBudget or None
        Budget that counts the attempt in flight as a repeat; None if it is not one.
    is_demand_recorded : bool
        Whether the request has been counted in the demand for its adapter.
    last_event : str
        Id of the last event that the caller has; empty if it has none.
    can_resume : bool
        Whether the stream can be resumed after that event; without an id it cannot.
    software_version : SoftwareVersion or None
        Software version that must resume the stream; None before its first
        event.
    room_permit : RoomPermit or None
        Room for the next attempt at its target; None before it is known.
    connection_bytes : ConnectionBytes or None
        What the caller's connection holds, if that is kept within a budget.
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
    guarded_request: GuardedRequest
    organisation: Organisation | None = None
    attempts_so_far: AttemptCounts = field(default_factory=AttemptCounts)
    tried: frozenset[TargetId] = frozenset()
    rejections: Counter[TargetId] = field(default_factory=Counter)
    repeat: RepeatBudget | None = None
    last_event: str = ""
    can_resume: bool = True
    software_version: SoftwareVersion | None = None
    answer_started: bool = False
    is_demand_recorded: bool = False
    room_permit: RoomPermit | None = None
    connection_bytes: ConnectionBytes | None = None

    @property
    def rank(self) -> Rank:
        """Return the priorities of its organisation and its route."""
        organisation = self.organisation
        return Rank(
            organisation.priority if organisation else None, self.route.priority
        )

    @property
    def priority(self) -> int:
        """Return the priority, 0 first; the organisation's takes precedence."""
        return self.rank.first

    def goal_left_s(self, now: Instant) -> float:
        """Return the time until its answer is late, in seconds; negative after."""
        return (self.arrived + self.route.goal - now).total_seconds()

    def begin_repeat(self, budget: RepeatBudget) -> None:
        """Count the next attempt in a retry budget, as a repeat in flight."""
        budget.record_permitted()
        self.repeat = budget

    def end_repeat(self, now: Instant) -> None:
        """Record that the repeat in flight has arrived or will not arrive."""
        if self.repeat is not None:
            self.repeat.record_arrival(now)
            self.repeat = None

    def time_left(self, now: Instant) -> timedelta:
        """Return the time left until this host must send an answer of its own."""
        return self.deadline - now - ANSWER_MARGIN

    def waited_s(self, now: Instant) -> float:
        """Return the time since the request arrived, in seconds."""
        return (now - self.arrived).total_seconds()

    def first_event_left_s(self, now: Instant) -> float:
        """Return how long waiting for a first event is still useful, in seconds."""
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
    """Callbacks that pass an answer on: its head first, then its body in chunks."""

    begin_answer: BeginAnswer
    write_body: WriteAnswer


class AnswerCutOffError(DaemonError):
    """An answer that had begun and cannot be completed."""
