"""Relay one request: try targets until one answers or no retry is permitted."""

import asyncio
import logging

from sardinequay_core.clock import ZERO, Instant
from sardinequay_core.names import TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.repeat_budget import RepeatUsage
from sardinequay_core.retry_decision import AttemptEnd, RetryDecision, decide_retry
from sardinequay_core.serving import Repetition
from sardinequay_core.target_health import AttemptResult

from .attempt import Attempt, RelayDependencies
from .chosen_target import ChosenTarget, jittered_retry_after
from .errors import TargetError, TargetFault
from .exchange import AnswerCutOffError, AnswerSink, RelayExchange
from .progress import RequestRefusedError, answer_lost_refusal
from .quarantine.guard import FeatureGuard
from .statements.permit_request import PermitRequest
from .statements.room_client import UNUSED
from .target_picker import TargetPicker

log = logging.getLogger(__name__)


class Relay:
    """Sends requests to targets and passes the answers on to the callers."""

    def __init__(self, dependencies: RelayDependencies, guard: FeatureGuard) -> None:
        self.dependencies = dependencies
        self.guard = guard
        self.state = dependencies.state
        self.clock = dependencies.state.clock
        self.target_picker = TargetPicker(dependencies)

    async def serve(self, exchange: RelayExchange, sink: AnswerSink) -> None:
        """Try targets until one answers, and pass the answer to a sink.

        Raises
        ------
        RequestRefusedError
            If no target answered the request.
        AnswerCutOffError
            If the answer had begun and cannot be completed.
        """
        self.state.repeat_budget(exchange.pool).record_request(self.clock.monotonic())
        try:
            await self.dependencies.streams.resolve(exchange)
            await self.serve_with_retries(exchange, sink)
        finally:
            exchange.end_repeat(self.clock.monotonic())
            self.guard.release_permit(exchange.guarded_request)

    async def serve_with_retries(
        self, exchange: RelayExchange, sink: AnswerSink
    ) -> None:
        """Try one target after another until one has answered."""
        while True:
            # The end of the last target's process also counts against the request. If
            # only the target's health counted, a request that crashes each target
            # would go on to the next one.
            await self.wait_for_end_check(exchange)
            self.guard.refuse_if_held(exchange.guarded_request)
            chosen = await self.target_picker.choose(exchange)
            target = chosen.published
            if not await self.guard.may_run(exchange.guarded_request):
                continue
            if not await self.may_send(exchange, chosen):
                continue
            attempt = Attempt(self.dependencies, exchange, target, self.guard)
            end = await self.run_attempt(attempt, sink)
            if end is AttemptEnd.LOST_ON_REUSED_CONNECTION:
                end = await self.resend(attempt, sink)
            if end is None:
                return
            if end is AttemptEnd.WITHHELD:
                continue
            self.record_end(exchange, target.target.target_id, end)
            await self.allow_retry_or_raise(exchange, end)

    async def may_send(self, exchange: RelayExchange, chosen: ChosenTarget) -> bool:
        """Return whether a target's limits permit the next attempt, and take its room.

        During a wait for a permit the request's time may end.
        """
        request = PermitRequest(
            exchange.terms.request_id,
            chosen.published,
            chosen.max_permit_wait,
            exchange.time_left(self.clock.monotonic()),
        )
        permit = await self.dependencies.statements.permit_send(request)
        if permit is None:
            return False
        if exchange.time_left(self.clock.monotonic()) <= ZERO:
            self.dependencies.statements.rooms.release(permit, UNUSED)
            raise RequestRefusedError(self.time_over_refusal(exchange))
        exchange.room_permit = permit
        return True

    def time_over_refusal(self, exchange: RelayExchange) -> Refusal:
        """Return the refusal of a request whose time ended before it was sent."""
        if exchange.attempts_so_far.runs:
            return answer_lost_refusal()
        text = "the request's time ended while it waited to be sent"
        return not_run_refusal(Reason.DEADLINE_EXPIRED, text)

    def record_end(
        self, exchange: RelayExchange, target: TargetId, end: AttemptEnd
    ) -> None:
        """Record how an attempt at a target failed."""
        exchange.attempts_so_far = exchange.attempts_so_far.with_attempt(end)
        exchange.guarded_request.may_have_run = exchange.attempts_so_far.runs > 0
        exchange.tried |= {target}
        if end is AttemptEnd.REJECTED:
            exchange.rejections[target] += 1

    async def resend(
        self, lost_attempt: Attempt, sink: AnswerSink
    ) -> AttemptEnd | None:
        """Resend a request over a new connection after a reused one broke.

        Both sends go to the same target and count as one of the runs that the route
        permits.
        """
        exchange = lost_attempt.exchange
        exchange.guarded_request.may_have_run = True
        time_left_s = exchange.time_left(self.clock.monotonic()).total_seconds()
        if not await self.guard.wait_for_end_check(
            exchange.guarded_request, time_left_s
        ):
            lost_attempt.record_unanswered(AttemptResult.BROKEN)
            return AttemptEnd.MAY_HAVE_RUN
        if not await self.guard.may_run(exchange.guarded_request):
            return AttemptEnd.MAY_HAVE_RUN
        if not await self.may_send(exchange, ChosenTarget(lost_attempt.published)):
            return AttemptEnd.MAY_HAVE_RUN
        now = self.clock.monotonic()
        usage = self.repeat_usage(exchange, now)
        if exchange.time_left(now) <= ZERO or not usage.has_room:
            return AttemptEnd.MAY_HAVE_RUN
        self.log_retry_decision(
            exchange, AttemptEnd.LOST_ON_REUSED_CONNECTION, RetryDecision.RETRY, usage
        )
        exchange.begin_repeat(self.state.repeat_budget(exchange.pool))
        second_attempt = Attempt(
            self.dependencies,
            exchange,
            lost_attempt.published,
            self.guard,
            is_resend=True,
        )
        end = await self.run_attempt(second_attempt, sink)
        exchange.end_repeat(self.clock.monotonic())
        return AttemptEnd.MAY_HAVE_RUN if end is not None else None

    async def wait_for_end_check(self, exchange: RelayExchange) -> None:
        """Wait until the probe of the last target is complete, up to the deadline."""
        time_left_s = exchange.time_left(self.clock.monotonic()).total_seconds()
        await self.guard.wait_for_end_check(exchange.guarded_request, time_left_s)
        if (
            exchange.attempts_so_far.runs
            and exchange.time_left(self.clock.monotonic()) <= ZERO
        ):
            raise RequestRefusedError(answer_lost_refusal())

    async def allow_retry_or_raise(
        self, exchange: RelayExchange, end: AttemptEnd
    ) -> None:
        """Return if another attempt is permitted, else raise the request's failure."""
        pause_s = 0.0
        if end is AttemptEnd.REJECTED:
            pause_s = self.target_picker.retry_pause_s(exchange)
        now = self.clock.monotonic()
        usage = self.repeat_usage(exchange, now)
        is_within_budget = end is AttemptEnd.NOT_SENT or usage.has_room
        route = exchange.route
        is_resumable = route.repetition is Repetition.RESUMABLE_STREAM
        if exchange.answer_started and not (is_resumable and exchange.can_resume):
            raise AnswerCutOffError
        decision = decide_retry(
            route.repetition,
            route.max_runs,
            exchange.attempts_so_far,
            exchange.time_left(now),
            is_within_budget,
        )
        self.log_retry_decision(exchange, end, decision, usage)
        if decision is RetryDecision.RETRY:
            if end is not AttemptEnd.NOT_SENT:
                exchange.begin_repeat(self.state.repeat_budget(exchange.pool))
            if end is AttemptEnd.REJECTED:
                await asyncio.sleep(pause_s)
            return
        if exchange.answer_started:
            raise AnswerCutOffError
        raise RequestRefusedError(
            self.final_refusal(exchange, decision, is_within_budget)
        )

    def repeat_usage(self, exchange: RelayExchange, now: Instant) -> RepeatUsage:
        """Return how much of this host's share of a pool's retry budget is used."""
        return self.state.repeat_budget(exchange.pool).current_usage(
            self.state.fleet_size.estimated_hosts(), now
        )

    def log_retry_decision(
        self,
        exchange: RelayExchange,
        end: AttemptEnd,
        decision: RetryDecision,
        usage: RepeatUsage,
    ) -> None:
        """Log whether another attempt is permitted, and what that depends on."""
        is_permitted = decision is RetryDecision.RETRY
        label = "yes" if is_permitted else "no"
        self.dependencies.metrics.repeats.inc(
            {"pool": exchange.pool, "permitted": label}
        )
        log.info(
            "further attempt",
            extra={
                "request": exchange.terms.request_id,
                "pool": exchange.pool,
                "end": end.value,
                "permitted": is_permitted,
                "requests": usage.requests,
                "repeats": usage.repeats,
                "allowed": round(usage.allowed, 2),
                "hosts": usage.hosts,
                "hosts_age_s": round(self.state.fleet.hosts_age_s(), 2),
            },
        )

    def final_refusal(
        self,
        exchange: RelayExchange,
        decision: RetryDecision,
        is_within_budget: bool,
    ) -> Refusal:
        """Return the refusal of a request that no target answered."""
        if decision is RetryDecision.GIVE_UP_MAY_HAVE_RUN:
            return answer_lost_refusal()
        text = "no target took the request"
        if not is_within_budget:
            text += ", and the budget for further attempts is spent"
        wait = jittered_retry_after(
            self.state.random, self.target_picker.retry_after(exchange)
        )
        return not_run_refusal(Reason.TARGET_REFUSED, text, wait)

    def give_room_back(self, attempt: Attempt) -> None:
        """Give back an attempt's room at its target, with what its end showed."""
        permit, attempt.exchange.room_permit = attempt.exchange.room_permit, None
        if permit is not None:
            self.dependencies.statements.rooms.release(permit, attempt.room_report)

    async def run_attempt(
        self, attempt: Attempt, sink: AnswerSink
    ) -> AttemptEnd | None:
        """Make one attempt; return how it failed, or None once it was answered."""
        exchange, published = attempt.exchange, attempt.published
        end = None
        attempt.begin_accounting()
        try:
            with self.dependencies.tracing.child_span("target", exchange.span) as span:
                attempt.trace_headers = self.dependencies.tracing.propagation_headers(
                    span
                )
                end = await attempt.execute(sink)
        except TargetError as error:
            end = attempt.handle_failure(error)
            if error.fault in (
                TargetFault.BROKEN,
                TargetFault.LOST_ON_REUSED_CONNECTION,
            ):
                incarnation = published.incarnation
                self.guard.handle_broken_connection(
                    exchange.guarded_request,
                    published.target,
                    incarnation,
                    attempt.elapsed_s(),
                )
        finally:
            attempt.end_accounting()
            if end is not AttemptEnd.WITHHELD:
                exchange.end_repeat(self.clock.monotonic())
            self.give_room_back(attempt)
        if attempt.was_served:
            self.guard.record_answer(exchange.guarded_request)
        result = end.value if end else "answered"
        self.dependencies.metrics.attempts.inc(
            {"pool": exchange.pool, "result": result}
        )
        return end
