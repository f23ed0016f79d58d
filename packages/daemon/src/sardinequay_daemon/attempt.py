"""One attempt: send a request to a target, pass on the answer, record the result."""

import asyncio
import logging
from dataclasses import dataclass

import aiohttp

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.names import AdapterRef
from sardinequay_core.retry_decision import AttemptEnd
from sardinequay_core.statements.obstacle import Obstacle
from sardinequay_core.statements.room import RoomReport
from sardinequay_core.target_health import AttemptResult

from .answer_forwarder import AnswerForwarder
from .errors import TargetError, TargetFault
from .exchange import AnswerSink, RelayExchange
from .load_requests import LoadRequestClient
from .path_monitor import PathMonitor
from .pending_send import PendingSend
from .quarantine.guard import FeatureGuard
from .relay_state import RelayState
from .serving_metrics import ServingMetrics
from .serving_ports import AnswerFacts, HttpDialect, SendTerms
from .statements.parts import StatementParts
from .stream_versions import StreamVersions
from .tracing import Tracing
from .upstream import Upstream, UpstreamRequest

HEAD_TIMEOUT_GOALS = 2.0
"""Wait for the head of an answer before another target is tried, for requests that may
run again, as a multiple of the route's latency goal."""

MIN_HEAD_TIMEOUT_S = 0.15
LOWEST_URGENCY = 9
SERVER_ERROR = 500
OUTDATED = "version"
"""Reason to withhold a request: a newer version of its adapter was declared."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RelayDependencies:
    """Objects that the relay, its attempts and the choice of targets share."""

    state: RelayState
    dialect: HttpDialect
    upstream: Upstream
    load_requests: LoadRequestClient
    statements: StatementParts
    metrics: ServingMetrics
    tracing: Tracing
    paths: PathMonitor
    streams: StreamVersions


class Attempt:
    """One attempt of a request at one target.

    Parameters
    ----------
    is_resend : bool
        Whether the request was sent to this target just before, over a reused
        connection that broke.
    """

    def __init__(
        self,
        dependencies: RelayDependencies,
        exchange: RelayExchange,
        published: PublishedTarget,
        guard: FeatureGuard,
        is_resend: bool = False,
    ) -> None:
        self.dependencies = dependencies
        self.state = dependencies.state
        self.clock = dependencies.state.clock
        self.exchange = exchange
        self.guard = guard
        self.is_resend = is_resend
        self.published = published
        self.target = published.target
        self.target_id = published.target.target_id
        self.tokens = exchange.terms.prompt_tokens
        self.needed_tokens = exchange.terms.needed_tokens
        self.adapter = self.find_adapter()
        self.sent_at = self.clock.monotonic()
        self.expected_s = 0.0
        self.typical_s = 0.0
        self.stated_pace: float | None = None
        self.has_first_event = False
        self.was_served = False
        self.trace_headers: dict[str, str] = {}
        self.room_report = RoomReport(is_abandoned=True)

    def find_adapter(self) -> AdapterRef | None:
        """Return the request's adapter in the version that the target holds."""
        if not self.exchange.terms.adapter:
            return None
        required = self.state.required_adapter(self.exchange.terms)
        return (
            self.state.residency.resident_adapter(self.published, required) or required
        )

    def begin_accounting(self) -> None:
        """Add the attempt to the target's load, adapter uses and health counts."""
        loads = self.state.loads
        now = self.clock.monotonic()
        self.exchange.guarded_request.begin_attempt()
        self.expected_s = loads.expected_first_event_s(self.target_id, self.tokens, now)
        self.typical_s = loads.nominal_read_s(self.target_id, self.tokens, now)
        self.stated_pace = loads.samples.expected_pace(self.target_id, now)
        loads.record_dispatch(self.target_id, self.tokens)
        loads.record_memory_held(
            self.target_id, self.published.incarnation, self.needed_tokens
        )
        if not self.tokens:
            self.record_first_event()
        if self.adapter is not None:
            count = self.state.uses.adjust_own_count(self.target_id, self.adapter, 1)
            self.dependencies.load_requests.report_use(
                self.target_id, self.adapter, count
            )
        self.state.health.record_sent(self.target_id)

    def end_accounting(self) -> None:
        """Remove the attempt from the target's load, adapter uses and health counts."""
        loads = self.state.loads
        loads.record_end(self.target_id, self.tokens, self.has_first_event)
        loads.record_memory_freed(
            self.target_id, self.published.incarnation, self.needed_tokens
        )
        if self.needed_tokens and self.has_first_event:
            stay = self.clock.monotonic() - self.sent_at
            loads.stay_times.record_stay(stay.total_seconds())
        self.state.health.record_request_end(self.target_id)
        if self.adapter is not None and self.is_same_incarnation():
            count = self.state.uses.adjust_own_count(self.target_id, self.adapter, -1)
            if not count:
                self.dependencies.load_requests.report_use(
                    self.target_id, self.adapter, count
                )

    def is_same_incarnation(self) -> bool:
        """Return whether the target has not restarted since it was chosen."""
        now = self.state.catalogue.targets.get(self.target_id)
        return now is None or now.incarnation == self.published.incarnation

    def record_first_event(self) -> None:
        """Record the first event, by which the engine has read the prompt."""
        if not self.has_first_event:
            self.has_first_event = True
            self.state.loads.record_first_event(self.target_id, self.tokens)

    def record_result(self, result: AttemptResult) -> None:
        """Record the attempt's result in the target's health."""
        is_excluded = self.state.health.record_result(
            self.target_id, result, self.sent_at, self.clock.monotonic()
        )
        if is_excluded:
            self.dependencies.metrics.left_out.inc({"pool": self.exchange.pool})
            log.warning(
                "target left out",
                extra={
                    "target": self.target_id,
                    "request": self.exchange.terms.request_id,
                    "verdict": result.value,
                },
            )

    def record_unanswered(self, result: AttemptResult) -> None:
        """Record a failure without an answer, which may be one of the path.

        Peers hear of it only once this host has opened another connection.
        """
        self.record_result(result)
        health, target_id, sent_at = self.state.health, self.target_id, self.sent_at

        def confirm_failure(check: asyncio.Task[bool]) -> None:
            if not check.cancelled() and check.result():
                now = self.clock.monotonic()
                health.confirm_failure(target_id, result, sent_at, now)

        check = self.dependencies.paths.check(self.target.address)
        check.add_done_callback(confirm_failure)

    def build_request(self) -> UpstreamRequest:
        """Return the request with the headers for the target."""
        exchange = self.exchange
        version = ""
        if self.adapter is not None and self.adapter.name in (
            self.state.catalogue.newest_versions
        ):
            version = self.adapter.version
        terms = SendTerms(
            self.target,
            max(seconds(0.001), exchange.deadline - self.clock.monotonic()),
            self.urgency() if self.tokens else None,
            version,
            exchange.last_event,
            exchange.organisation.name if exchange.organisation else "",
        )
        headers = self.dependencies.dialect.target_headers(
            exchange.headers, exchange.terms, terms
        )
        headers.update(self.trace_headers)
        return UpstreamRequest(
            exchange.method,
            exchange.path,
            headers,
            exchange.body,
            self.may_reuse_connection(),
        )

    def urgency(self) -> int:
        """Return the request's place among those on the engine, 0 first."""
        ranks = self.state.ranks_of(self.exchange.pool)
        return ranks.urgency(self.exchange.rank, LOWEST_URGENCY)

    def may_reuse_connection(self) -> bool:
        """Return whether the request may use a connection that was used before.

        On a lost path those that are still open may be silent for good.
        """
        return (
            self.exchange.route.repetition.may_run_again
            and not self.is_resend
            and not self.dependencies.paths.paths.is_lost(self.target.address)
        )

    def head_timeout_s(self) -> float:
        """Return how long to wait for the answer's head, in seconds."""
        exchange = self.exchange
        left_s = max(0.001, exchange.time_left(self.clock.monotonic()).total_seconds())
        route = exchange.route
        can_repeat = exchange.attempts_so_far.runs + 1 < route.max_runs
        if not (route.repetition.may_run_again and can_repeat):
            return left_s
        goal_s = route.goal.total_seconds()
        if route.repetition.is_stream:
            return min(left_s, max(HEAD_TIMEOUT_GOALS * goal_s, self.expected_s * 2))
        return min(left_s, max(MIN_HEAD_TIMEOUT_S, HEAD_TIMEOUT_GOALS * goal_s))

    async def execute(self, sink: AnswerSink) -> AttemptEnd | None:
        """Send the request and pass the answer on; return how that failed, or None."""
        upstream = self.dependencies.upstream
        request = self.build_request()
        pending = PendingSend(
            self.exchange.terms.request_id, self.target_id, self.confirm_send
        )
        async with upstream.send(
            self.target.address, request, self.head_timeout_s(), pending
        ) as answer:
            self.exchange.end_repeat(self.clock.monotonic())
            facts = self.dependencies.dialect.read_facts(answer.status, answer.headers)
            if facts.request_id != self.exchange.terms.request_id:
                detail = f"an answer to {facts.request_id!r}"
                raise TargetError(TargetFault.BROKEN, detail)
            self.dependencies.statements.recorders.record_answer(
                self.published, facts, answer.status, self.sent_at
            )
            if facts.load is not None and facts.load.pace is not None:
                self.stated_pace = facts.load.pace
            if facts.not_run:
                self.room_report = RoomReport(is_rejected=not facts.is_misdirected)
                return self.handle_rejection(answer.status, facts)
            end = await self.forward_answer(answer, sink)
            self.room_report = RoomReport(
                waiting=facts.load.waiting if facts.load else 0
            )
            return end

    def confirm_send(self) -> None:
        """Count the request as sent, unless what it was built for has changed.

        Raises
        ------
        TargetError
            If the target has stated meanwhile that it takes no requests any more, or a
            newer version of the adapter was declared.
        """
        obstacle = self.state.obstacle(self.published, self.exchange.arrived)
        if obstacle is not None:
            self.log_withheld(obstacle)
            raise TargetError(TargetFault.WITHHELD, obstacle.kind.value)
        if self.is_outdated():
            self.log_outdated()
            raise TargetError(TargetFault.WITHHELD, OUTDATED)
        self.dependencies.metrics.sends.inc({"pool": self.exchange.pool})

    def is_outdated(self) -> bool:
        """Return whether a newer version than the attempt's adapter was declared."""
        if self.adapter is None:
            return False
        required = self.state.required_adapter(self.exchange.terms)
        return not self.adapter.is_at_least(required)

    def log_outdated(self) -> None:
        """Log that the request is kept from an older version of its adapter."""
        self.dependencies.metrics.sends_withheld.inc({"statement": OUTDATED})
        required = self.state.required_adapter(self.exchange.terms)
        log.info(
            "send withheld",
            extra={
                "request": self.exchange.terms.request_id,
                "target": self.target_id,
                "statement": OUTDATED,
                "adapter": str(self.adapter),
                "required": str(required),
                "age_s": self.state.logged_store_age_s(),
            },
        )

    def log_withheld(self, obstacle: Obstacle) -> None:
        """Log that the request is kept from the target, and by what statement."""
        kind, now = obstacle.kind.value, self.clock.monotonic()
        self.dependencies.metrics.sends_withheld.inc({"statement": kind})
        log.info(
            "send withheld",
            extra={
                "request": self.exchange.terms.request_id,
                "target": self.target_id,
                "statement": kind,
                "age_s": obstacle.age_s(now),
                "left_s": obstacle.left_s(now),
            },
        )

    def handle_rejection(self, status: int, facts: AnswerFacts) -> AttemptEnd:
        """Handle an answer which states that the target has not run the request."""
        exchange = self.exchange
        end = AttemptEnd.REJECTED
        if facts.is_misdirected:
            end = AttemptEnd.MISDIRECTED
            if facts.instance and facts.instance != self.target_id:
                self.record_result(AttemptResult.CONNECTION_LOST)
            elif self.adapter is not None and self.is_same_incarnation():
                self.state.residency.record_missing(self.published, self.adapter)
                self.dependencies.load_requests.report_missing(
                    self.published, self.adapter
                )
        else:
            self.record_result(AttemptResult.REJECTED)
        log.info(
            "attempt rejected",
            extra={
                "request": exchange.terms.request_id,
                "target": self.target_id,
                "status": status,
                "end": end.value,
                "adapter": str(self.adapter or ""),
            },
        )
        return end

    def handle_failure(self, error: TargetError) -> AttemptEnd:
        """Handle an error before the end of the answer."""
        exchange = self.exchange
        if error.fault is TargetFault.WITHHELD:
            return AttemptEnd.WITHHELD
        end, detail = AttemptEnd.MAY_HAVE_RUN, error.detail
        if exchange.answer_started:
            end = AttemptEnd.BROKEN_OFF
        if error.fault is TargetFault.NOT_SENT:
            end = AttemptEnd.NOT_SENT
            self.record_result(AttemptResult.UNREACHABLE)
        elif error.fault is TargetFault.LOST_ON_REUSED_CONNECTION:
            # Targets may close idle connections at any time, so that the loss of one
            # does not count against the target's health.
            end = AttemptEnd.LOST_ON_REUSED_CONNECTION
        elif error.fault is TargetFault.UNREAD:
            # Targets may end an answer that stays unread, so that its end does not
            # count against the target's health.
            detail = f"slow caller: {detail}"
        elif error.fault is TargetFault.SILENT:
            self.record_unanswered(AttemptResult.TIMED_OUT)
        else:
            self.record_unanswered(AttemptResult.BROKEN)
        log.info(
            "attempt failed",
            extra={
                "request": exchange.terms.request_id,
                "target": self.target_id,
                "content": exchange.guarded_request.content,
                "end": end.value,
                "detail": detail,
                "sent_for_s": round(self.elapsed_s(), 4),
            },
        )
        return end

    def elapsed_s(self) -> float:
        """Return how long the attempt has taken, in seconds."""
        return (self.clock.monotonic() - self.sent_at).total_seconds()

    async def forward_answer(
        self, answer: aiohttp.ClientResponse, sink: AnswerSink
    ) -> AttemptEnd | None:
        """Pass an answer on, or return its failure if another attempt may follow."""
        exchange = self.exchange
        is_failure = answer.status >= SERVER_ERROR
        if is_failure:
            self.record_result(AttemptResult.FAILED)
            attempts = exchange.attempts_so_far.with_attempt(AttemptEnd.MAY_HAVE_RUN)
            if exchange.answer_started or (
                exchange.route.repetition.may_run_again
                and attempts.runs < exchange.route.max_runs
            ):
                return AttemptEnd.MAY_HAVE_RUN
        forwarder = AnswerForwarder(
            exchange, answer, sink, self.clock, self.handle_first_event
        )
        await forwarder.forward()
        if not is_failure:
            self.was_served = True
            self.record_result(AttemptResult.SUCCEEDED)
        return None

    async def handle_first_event(self) -> None:
        """Record the first event, and keep the stream to its target's version."""
        self.guard.handle_first_event(self.exchange.guarded_request)
        self.record_first_event()
        self.record_read_pace()
        await self.dependencies.streams.begin(self.exchange, self.published)

    def record_read_pace(self) -> None:
        """Record the time to the first event, by which prompt speed is estimated."""
        now = self.clock.monotonic()
        self.state.loads.record_pace(
            self.target_id, self.typical_s, self.elapsed_s(), now, self.stated_pace
        )
