"""Forwarding to plain services; method, headers, body and status pass through."""

from __future__ import annotations

import logging
from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta
from random import Random

import aiohttp
from multidict import CIMultiDict
from opentelemetry.trace import Span
from returns.result import Success

from sardinequay_core.bundle import Service
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.names import TargetId
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run_refusal
from sardinequay_core.roster import EMPTY_ROSTER, Presence, Roster, Target
from sardinequay_core.statements.backoff import BackoffStatement, TargetBackoffs

from .caller_requests import RequestEnvelope, make_guarded_request
from .claimer import Claimer, WonClaim
from .dispatch import RetryBudgets
from .errors import TargetError, TargetFault
from .header_values import encodable, parse_backoff
from .journal import Journal
from .metrics import Metrics
from .progress import Progress, RequestRefusedError, deadline_refusal
from .quarantine.guard import MAX_PROBE_WAIT_S, FeatureGuard
from .statements.invalid_log import InvalidStatementLog
from .target_errors import BROKEN_ERRORS, TargetErrorTranslator
from .tracing import Tracing

IDEMPOTENT_METHODS = frozenset({"GET", "HEAD", "OPTIONS", "PUT", "DELETE", "TRACE"})
"""Methods that may be repeated (RFC 9110, 9.2.2) if there is no idempotency key."""
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
AVOID_DURATION = timedelta(seconds=3)
NO_TARGET_RETRY_AFTER = timedelta(seconds=1)
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ServiceRequest:
    """A request for a plain service."""

    envelope: RequestEnvelope
    service: Service
    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes

    @property
    def is_repeatable(self) -> bool:
        """Return whether the request may run twice."""
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
        guard: FeatureGuard,
    ) -> None:
        self.session = session
        self.guard = guard
        self.fresh_session = fresh_session
        self.claimer = claimer
        self.budgets = budgets
        self.tracing = tracing
        self.metrics = metrics
        self.journal = journal
        self.clock = clock
        self.random = random
        self.timeout = aiohttp.ClientTimeout(total=None, sock_connect=silence_s)
        self.roster = EMPTY_ROSTER
        self.in_flight: dict[TargetId, int] = {}
        self.avoided: dict[TargetId, Instant] = {}
        self.backoffs = TargetBackoffs()
        self.invalid_backoffs = InvalidStatementLog("target backoff invalid", clock)

    def apply_roster(self, roster: Roster) -> None:
        """Replace the roster; targets that are leaving get no new requests."""
        self.roster = roster

    def forward(
        self, request: ServiceRequest, progress: Progress, span: Span
    ) -> ForwardedRequest:
        """Return a context manager that sends a request and yields the answer."""
        return ForwardedRequest(self, request, progress, span)

    def count_in_flight(self, target: Target, change: int) -> None:
        """Change the number of this host's requests in flight at a target."""
        name = target.target_id
        self.in_flight[name] = self.in_flight.get(name, 0) + change

    def choose(self, request: ServiceRequest) -> Target:
        """Return the live target with the fewest of this host's requests in flight.

        One that has asked this host for a backoff gets nothing until its end.

        Raises
        ------
        RequestRefusedError
            If no target is live, or all of them have asked for a backoff.
        """
        now = self.clock.monotonic()
        live = [
            t
            for t in self.roster.targets_in_pool(request.service.pool)
            if t.presence is Presence.LIVE
        ]
        if not live:
            text = "no target of the service is live"
            raise RequestRefusedError(
                not_run_refusal(Reason.NO_TARGET, text, NO_TARGET_RETRY_AFTER)
            )
        waits = {t.target_id: self.backoffs.wait(t.target_id, 0, now) for t in live}
        open_targets = [t for t in live if not waits[t.target_id]]
        if not open_targets:
            text = "all targets of the service have asked for a backoff"
            raise RequestRefusedError(
                not_run_refusal(Reason.TARGET_LIMITED, text, min(waits.values()))
            )
        usable = [t for t in open_targets if self.avoided.get(t.target_id, now) <= now]
        return min(
            usable or open_targets,
            key=lambda t: (self.in_flight.get(t.target_id, 0), self.random.random()),
        )

    def record_answer(self, target: Target, answer: aiohttp.ClientResponse) -> None:
        """Record the backoff that an answer asks for, if any."""
        values = answer.headers.getall("Retry-After", [])
        stated = parse_backoff(answer.status, values)
        if not isinstance(stated, Success):
            self.invalid_backoffs.record(target.target_id, stated.failure())
            return
        backoff = stated.unwrap()
        if backoff is None:
            return
        now = self.clock.monotonic()
        self.backoffs.expire(now)
        self.invalid_backoffs.expire()
        asked = BackoffStatement(0, now, now + backoff)
        if self.backoffs.record(target.target_id, asked):
            backoff_s = round(backoff.total_seconds(), 3)
            extra = {"target": target.target_id, "backoff_s": backoff_s}
            log.info("target backoff", extra=extra)

    def after_failure(
        self,
        request: ServiceRequest,
        target: Target,
        progress: Progress,
        error: TargetError,
    ) -> None:
        """Return if another attempt is permitted, else raise the request's failure."""
        self.avoided[target.target_id] = self.clock.monotonic() + AVOID_DURATION
        self.journal.record(
            request.envelope.request_id,
            "failed",
            target=target.target_id,
            error=str(error),
        )
        progress.end_attempt(error.proves_not_run)
        if not error.proves_not_run and not request.is_repeatable:
            raise RequestRefusedError(final_service_refusal(error, progress)) from error

    async def send(
        self, target: Target, request: ServiceRequest, span: Span, is_first: bool
    ) -> aiohttp.ClientResponse:
        """Send a request to one target and return its answer, whose body is unread.

        A request that must not be repeated gets a new connection: a pooled one may be
        dead, and then it is unknown whether the request arrived. A retry gets a new
        one, too, so that it is not lost to a second dead connection.
        """
        may_reuse_connection = request.is_repeatable and is_first
        session = self.session if may_reuse_connection else self.fresh_session
        self.journal.record(
            request.envelope.request_id, "dispatched", target=target.target_id
        )
        with TargetErrorTranslator():
            return await session.request(
                request.method,
                f"http://{target.address}{request.path}",
                data=request.body or None,
                headers=self.headers(request, span),
                timeout=self.timeout,
                allow_redirects=False,
            )

    def headers(self, request: ServiceRequest, span: Span) -> CIMultiDict[str]:
        """Return the headers for a target, without the caller's token."""
        headers = end_to_end_headers(request.headers)
        headers.popall("Authorization", None)
        headers["X-Request-Id"] = request.envelope.request_id
        headers.update(self.tracing.propagation_headers(span))
        return headers


class ForwardedRequest:
    """One forwarded request, a context manager that yields the target's answer.

    Entering raises `RequestRefusedError` if no target answers. Leaving reports the
    outcome to the guards of the idempotency key, if the request has one.
    """

    def __init__(
        self,
        forwarder: ServiceForwarder,
        request: ServiceRequest,
        progress: Progress,
        span: Span,
    ) -> None:
        self.forwarder = forwarder
        self.request = request
        self.progress = progress
        self.span = span
        self.claim: WonClaim | None = None
        self.guarded_request = make_guarded_request(
            request.envelope, request.method, request.path, request.body
        )
        self.target: Target | None = None
        self.answer: aiohttp.ClientResponse | None = None
        self.sent_at = forwarder.clock.monotonic()

    def attempt_age_s(self) -> float:
        """Return how long ago the last attempt began, in seconds."""
        return (self.forwarder.clock.monotonic() - self.sent_at).total_seconds()

    async def __aenter__(self) -> aiohttp.ClientResponse:
        """Claim the idempotency key and try targets until one answers."""
        claimer, envelope = self.forwarder.claimer, self.request.envelope
        self.claim = await claimer.claim_request_key(envelope, self.span)
        try:
            self.answer = await self.send_with_retries()
        except BaseException:
            self.settle_claim(ran=False)
            self.forwarder.guard.release_permit(self.guarded_request)
            raise
        self.progress.last_event = 1
        return self.answer

    async def __aexit__(
        self, kind: object, error: BaseException | None, _: object
    ) -> None:
        """Settle the claim, then release the connection or close it after an error."""
        assert self.answer is not None
        assert self.target is not None
        self.settle_claim(ran=error is None)
        self.forwarder.count_in_flight(self.target, -1)
        self.answer.release() if error is None else self.answer.close()
        if error is None:
            self.forwarder.guard.record_answer(self.guarded_request)
        elif isinstance(error, BROKEN_ERRORS):
            self.forwarder.guard.handle_broken_connection(
                self.guarded_request, self.target, 0, self.attempt_age_s()
            )
        self.forwarder.guard.release_permit(self.guarded_request)
        if isinstance(error, BROKEN_ERRORS):
            text = f"the answer was cut off: {error!r}"
            lost = Refusal(Reason.ANSWER_LOST, Outcome.RAN, text)
            raise RequestRefusedError(lost) from error

    def settle_claim(self, ran: bool) -> None:
        """Report the outcome of a claimed request to the guards of its key."""
        if self.claim is not None:
            outcome = Outcome.RAN if ran else self.progress.outcome
            self.forwarder.claimer.settle_claim(self.claim, outcome)

    async def send_with_retries(self) -> aiohttp.ClientResponse:
        """Send the request to one target after another until one answers."""
        forwarder, request, progress = self.forwarder, self.request, self.progress
        budget = forwarder.budgets.for_pool(request.service.pool)
        budget.record_first_attempt()
        guard, guarded_request = forwarder.guard, self.guarded_request
        while True:
            # The end of the last target's process also counts against the request,
            # which could otherwise crash one target after another.
            await guard.wait_for_end_check(guarded_request, MAX_PROBE_WAIT_S)
            guard.refuse_if_held(guarded_request)
            target = forwarder.choose(request)
            if not await guard.may_run(guarded_request):
                continue
            # If this process was suspended, its claim on the idempotency key may have
            # expired; then the request must not be sent.
            if forwarder.clock.monotonic() >= request.envelope.deadline:
                raise RequestRefusedError(deadline_refusal(progress))
            progress.begin_attempt()
            self.sent_at = forwarder.clock.monotonic()
            forwarder.count_in_flight(target, 1)
            try:
                with forwarder.tracing.child_span("service", self.span) as span:
                    is_first = progress.attempts == 1
                    answer = await forwarder.send(target, request, span, is_first)
                self.target = target
                forwarder.record_answer(target, answer)
                return answer
            except TargetError as error:
                if not error.proves_not_run:
                    guard.handle_broken_connection(
                        guarded_request, target, 0, self.attempt_age_s()
                    )
                    guarded_request.may_have_run = True
                forwarder.after_failure(request, target, progress, error)
                if not budget.try_spend(progress.attempts):
                    raise RequestRefusedError(
                        final_service_refusal(error, progress)
                    ) from error
                forwarder.metrics.retries.inc({"pool": request.service.pool})
            finally:
                if self.target is None:
                    forwarder.count_in_flight(target, -1)


def end_to_end_headers(headers: Mapping[str, str]) -> CIMultiDict[str]:
    """Return the end-to-end headers, without those for a single connection."""
    passed: CIMultiDict[str] = CIMultiDict()
    for name, value in headers.items():
        if name.lower() not in HOP_BY_HOP:
            passed.add(name, encodable(value))
    return passed


def final_service_refusal(error: TargetError, progress: Progress) -> Refusal:
    """Return the refusal after a failed attempt that is not retried."""
    if progress.may_have_run:
        text = f"the service's answer was lost: {error}"
        return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, text)
    reason = Reason.TARGET_REFUSED
    if error.fault is TargetFault.NOT_SENT:
        reason = Reason.TARGET_UNREACHABLE
    text = f"no target took the request: {error}"
    return not_run_refusal(reason, text, NO_TARGET_RETRY_AFTER)
