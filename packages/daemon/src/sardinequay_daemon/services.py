"""Forwarding to plain services: method, headers, body and status pass through."""

import logging
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta
from random import Random

import aiohttp
from multidict import CIMultiDict
from opentelemetry.trace import Span

from sardinequay_core.bundle import Service
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.names import TargetId
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run
from sardinequay_core.roster import EMPTY_ROSTER, Presence, Roster, Target

from .caller_requests import Envelope
from .claimer import Claimer
from .dispatch import RetryBudgets
from .engines import turned_errors
from .errors import TargetError, TargetFault
from .journal import Journal
from .metrics import Metrics
from .progress import Progress, Refused, too_late
from .tracing import Tracing

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""Methods that may be repeated unless a key says otherwise (RFC 9110, 9.2.2)."""
HOP_BY_HOP = frozenset(
    {
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
    }
)
AVOID_FOR = timedelta(seconds=3)
RETRY_AFTER = timedelta(seconds=1)
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a plain service."""

    envelope: Envelope
    service: Service
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_repeatable(self) -> bool:
        """Return whether running it twice does no harm."""
        return self.method in IDEMPOTENT_METHODS and not self.envelope.key


class ServiceForwarder:
    """Forwards requests to the live targets of a service's pool."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        claimer: Claimer,
        budgets: RetryBudgets,
        tracing: Tracing,
        metrics: Metrics,
        journal: Journal,
        clock: Clock,
        random: Random,
        silence_s: float,
    ) -> None:
        self.session = session
        self.fresh_session = fresh_session
        self.claimer = claimer
        self.budgets = budgets
        self.tracing = tracing
        self.metrics = metrics
        self.journal = journal
        self.clock = clock
        self.random = random
        self.silence_s = silence_s
        self.roster = EMPTY_ROSTER
        self.in_flight: dict[TargetId, int] = {}
        self.avoided: dict[TargetId, Instant] = {}

    def take_roster(self, roster: Roster) -> None:
        """Take the list; targets that leave get no new work from now on."""
        self.roster = roster

    @asynccontextmanager
    async def forward(
        self, request: ServiceRequest, progress: Progress, span: Span
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Yield the target's answer; raises `Refused` if there is none."""
        async with (
            self.claimer.guarded(request.envelope, progress, span),
            self.attempt_all(request, progress, span) as answer,
        ):
            progress.last_event = 1
            yield answer

    @asynccontextmanager
    async def attempt_all(
        self, request: ServiceRequest, progress: Progress, span: Span
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Yield the answer of the first target that gives one."""
        budget = self.budgets.of(request.service.pool)
        budget.first_attempt()
        while True:
            target = self.choose(request)
            # A process that was frozen must not act on a claim that may have expired.
            if self.clock.monotonic() >= request.envelope.deadline:
                raise Refused(too_late(progress))
            progress.attempts += 1
            progress.may_have_run = True
            try:
                async with self.send(target, request, span) as answer:
                    yield answer
                    return
            except TargetError as error:
                if progress.last_event:
                    text = f"the answer was cut off: {error}"
                    lost = Refusal(Reason.ANSWER_LOST, Outcome.RAN, text)
                    raise Refused(lost) from error
                self.after_failure(request, target, progress, error)
                if not budget.spend(progress.attempts):
                    raise Refused(refusal_of(error, progress)) from error
                self.metrics.retries.inc({"pool": request.service.pool})

    def choose(self, request: ServiceRequest) -> Target:
        """Return the live target with the fewest of our requests."""
        now = self.clock.monotonic()
        live = [
            t
            for t in self.roster.targets_of(request.service.pool)
            if t.presence is Presence.LIVE
        ]
        usable = [t for t in live if self.avoided.get(t.target_id, now) <= now]
        if not live:
            text = "no target of the service is live"
            raise Refused(not_run(Reason.NO_TARGET, text, RETRY_AFTER))
        candidates = usable or live
        self.random.shuffle(candidates)
        return min(candidates, key=lambda t: self.in_flight.get(t.target_id, 0))

    def after_failure(
        self,
        request: ServiceRequest,
        target: Target,
        progress: Progress,
        error: TargetError,
    ) -> None:
        """Permit another attempt by returning, or raise the request's failure."""
        self.avoided[target.target_id] = self.clock.monotonic() + AVOID_FOR
        self.journal.note(
            request.envelope.request_id,
            "failed",
            target=target.target_id,
            error=str(error),
        )
        if error.proves_not_run:
            progress.may_have_run = False
        elif not request.is_repeatable:
            raise Refused(refusal_of(error, progress)) from error

    @asynccontextmanager
    async def send(
        self, target: Target, request: ServiceRequest, parent: Span
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request to one target and yield its answer.

        What must not be repeated goes over a connection of its own: a pooled one may
        have gone silent, and then nobody could tell whether the request arrived.
        """
        session = self.session if request.is_repeatable else self.fresh_session
        timeout = aiohttp.ClientTimeout(total=None, connect=self.silence_s)
        url = f"http://{target.address}{request.path}"
        name = target.target_id
        self.in_flight[name] = self.in_flight.get(name, 0) + 1
        self.journal.note(request.envelope.request_id, "dispatched", target=name)
        try:
            with self.tracing.child_span("service", parent) as span:
                headers = self.headers(request, span)
                async with turned_errors():
                    call = session.request(
                        request.method,
                        url,
                        data=request.body or None,
                        headers=headers,
                        timeout=timeout,
                        allow_redirects=False,
                        auto_decompress=False,
                    )
                    async with call as answer:
                        yield answer
        finally:
            self.in_flight[name] -= 1

    def headers(self, request: ServiceRequest, span: Span) -> CIMultiDict[str]:
        """Return the headers to pass on, and the trace's."""
        headers = pass_through(request.headers)
        headers.popall("Authorization", None)
        headers["X-Request-Id"] = request.envelope.request_id
        headers.update(self.tracing.headers(span))
        return headers


def pass_through(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the headers that are not about one connection only."""
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_BY_HOP:
            passed.add(name, value)
    return passed


def refusal_of(error: TargetError, progress: Progress) -> Refusal:
    """Return the final answer after a failed attempt that is not repeated."""
    if progress.may_have_run:
        text = f"the service's answer was lost: {error}"
        return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, text)
    reason = Reason.TARGET_REFUSED
    if error.fault is TargetFault.NOT_SENT:
        reason = Reason.TARGET_UNREACHABLE
    text = f"no target took the request: {error}"
    return not_run(reason, text, RETRY_AFTER)
