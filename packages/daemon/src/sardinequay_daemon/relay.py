"""Serves one request: attempt after attempt, as far as failures permit."""

import asyncio
import logging

from sardinequay_core.after_attempt import AttemptEnd, Next, next_step
from sardinequay_core.clock import ZERO, Instant
from sardinequay_core.names import TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run
from sardinequay_core.repeat_budget import RepeatUse
from sardinequay_core.serving import Repetition
from sardinequay_core.target_health import Verdict

from .attempt import Attempt, RelayParts
from .content_guard import ContentGuard
from .errors import TargetError, TargetFault
from .exchange import BrokenOffError, Exchange, Sink
from .progress import Refused, may_have_run
from .target_picker import NO_TARGET_RETRY, TargetPicker, come_back

log = logging.getLogger(__name__)


class Relay:
    """Brings requests to targets and their answers back."""

    def __init__(self, parts: RelayParts, guard: ContentGuard) -> None:
        self.parts = parts
        self.guard = guard
        self.state = parts.state
        self.clock = parts.state.clock
        self.picker = TargetPicker(parts)

    async def serve(self, exchange: Exchange, sink: Sink) -> None:
        """Serve a request.

        Raises
        ------
        Refused
            If it ends without an answer of a target.
        BrokenOffError
            If its answer had begun and was not completed.
        """
        self.state.budget(exchange.pool).request(self.clock.monotonic())
        try:
            await self.attempt_all(exchange, sink)
        finally:
            exchange.end_repeat(self.clock.monotonic())
            self.guard.leave(exchange.guarded)

    async def attempt_all(self, exchange: Exchange, sink: Sink) -> None:
        """Try one target after another until one has answered."""
        while True:
            # A target's end also counts against the request: left to the judgement of
            # targets, one that ends whatever runs it would go on to the next.
            await self.settled(exchange)
            self.guard.refuse_held(exchange.guarded)
            target = await self.picker.choose(exchange)
            if not await self.guard.may_run(exchange.guarded):
                continue
            attempt = Attempt(self.parts, exchange, target)
            end = await self.run(attempt, sink)
            if end is AttemptEnd.LOST_ON_KEPT:
                end = await self.resend(attempt, sink)
            if end is None:
                return
            self.note_end(exchange, target.target.target_id, end)
            await self.follow(exchange, end)

    def note_end(self, exchange: Exchange, target: TargetId, end: AttemptEnd) -> None:
        """Take how an attempt at a target failed."""
        exchange.so_far = exchange.so_far.after(end)
        exchange.guarded.may_have_run = exchange.so_far.runs > 0
        exchange.tried |= {target}
        if end is AttemptEnd.REJECTED:
            exchange.rejections[target] += 1

    async def resend(self, lost: Attempt, sink: Sink) -> AttemptEnd | None:
        """Send what a kept connection lost to the same target over a new one.

        Both sends are one of the runs that the route permits: they reach one target.
        """
        exchange = lost.exchange
        exchange.guarded.may_have_run = True
        left_s = exchange.left(self.clock.monotonic()).total_seconds()
        if not await self.guard.settled(exchange.guarded, left_s):
            lost.judge(Verdict.FAILED)
            return AttemptEnd.MAY_HAVE_RUN
        if not await self.guard.may_run(exchange.guarded):
            return AttemptEnd.MAY_HAVE_RUN
        now = self.clock.monotonic()
        use = self.repeat_use(exchange, now)
        if exchange.left(now) <= ZERO or not use.has_room:
            return AttemptEnd.MAY_HAVE_RUN
        self.log_step(exchange, AttemptEnd.LOST_ON_KEPT, Next.AGAIN, use)
        exchange.begin_repeat(self.state.budget(exchange.pool))
        again = Attempt(self.parts, exchange, lost.published, is_resend=True)
        end = await self.run(again, sink)
        return AttemptEnd.MAY_HAVE_RUN if end is not None else None

    async def settled(self, exchange: Exchange) -> None:
        """Wait until it is known whether the last target ended under a request."""
        left_s = exchange.left(self.clock.monotonic()).total_seconds()
        await self.guard.settled(exchange.guarded, left_s)
        if exchange.so_far.runs and exchange.left(self.clock.monotonic()) <= ZERO:
            raise Refused(may_have_run())

    async def follow(self, exchange: Exchange, end: AttemptEnd) -> None:
        """Permit another attempt by returning, or raise the request's end."""
        pause_s = 0.0
        if end is AttemptEnd.REJECTED:
            pause_s = self.picker.pause_s(exchange)
        now = self.clock.monotonic()
        use = self.repeat_use(exchange, now)
        within_budget = end is AttemptEnd.NOT_SENT or use.has_room
        route = exchange.route
        if exchange.has_begun and route.repetition is not Repetition.RESUMABLE_STREAM:
            raise BrokenOffError
        step = next_step(
            route.repetition,
            route.max_runs,
            exchange.so_far,
            exchange.left(now),
            within_budget,
        )
        self.log_step(exchange, end, step, use)
        if step is Next.AGAIN:
            if end is not AttemptEnd.NOT_SENT:
                exchange.begin_repeat(self.state.budget(exchange.pool))
            if end is AttemptEnd.REJECTED:
                await asyncio.sleep(pause_s)
            return
        if exchange.has_begun:
            raise BrokenOffError
        raise Refused(self.final_refusal(step, within_budget))

    def repeat_use(self, exchange: Exchange, now: Instant) -> RepeatUse:
        """Return what of this host's share of repeats at a pool is used."""
        return self.state.budget(exchange.pool).use(self.state.size.estimated_hosts(), now)

    def log_step(
        self, exchange: Exchange, end: AttemptEnd, step: Next, use: RepeatUse
    ) -> None:
        """Log whether another attempt may follow, and from what that was decided."""
        is_permitted = step is Next.AGAIN
        label = "yes" if is_permitted else "no"
        self.parts.metrics.repeats.inc({"pool": exchange.pool, "permitted": label})
        log.info(
            "further attempt",
            extra={
                "request": exchange.terms.request_id,
                "pool": exchange.pool,
                "end": end.value,
                "permitted": is_permitted,
                "requests": use.requests,
                "repeats": use.repeats,
                "allowed": round(use.allowed, 2),
                "hosts": use.hosts,
                "hosts_age_s": round(self.state.fleet.hosts_age_s(), 2),
            },
        )

    def final_refusal(self, step: Next, within_budget: bool) -> Refusal:
        """Return the answer to a request whose attempts are over."""
        if step is Next.GIVE_UP_MAY_HAVE_RUN:
            return may_have_run()
        text = "no target took the request"
        if not within_budget:
            text += ", and the budget for further attempts is spent"
        wait = come_back(self.state.random, NO_TARGET_RETRY)
        return not_run(Reason.TARGET_REFUSED, text, wait)

    async def run(self, attempt: Attempt, sink: Sink) -> AttemptEnd | None:
        """Send a request to one target; return how that failed, or None."""
        exchange, published = attempt.exchange, attempt.published
        attempt.enter()
        try:
            with self.parts.tracing.child_span("target", exchange.span) as span:
                attempt.trace_headers = self.parts.tracing.propagation_headers(span)
                end = await attempt.run(sink)
        except TargetError as error:
            end = attempt.failed(error)
            if error.fault in (TargetFault.BROKEN, TargetFault.LOST_ON_KEPT):
                incarnation = published.incarnation
                self.guard.broke(
                    exchange.guarded, published.target, incarnation, attempt.taken_s()
                )
        finally:
            attempt.leave()
            exchange.end_repeat(self.clock.monotonic())
        if attempt.was_served:
            self.guard.answered(exchange.guarded.content)
        result = end.value if end else "answered"
        self.parts.metrics.attempts.inc({"pool": exchange.pool, "result": result})
        return end
