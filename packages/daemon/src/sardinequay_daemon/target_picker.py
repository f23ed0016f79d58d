"""Choose the target of a request's next attempt, waiting for a load if needed."""

import logging
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import AdapterRef, TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.service_choice import (
    ServiceOption,
    may_wait_for_permit,
    select_target,
)
from sardinequay_core.target_choice import (
    MAX_WAIT_SHARE,
    EnginesTooBusy,
    LoadOnEngine,
    NoEngine,
    SendToEngine,
    select_engine,
)

from .attempt import RelayDependencies
from .exchange import RelayExchange
from .progress import RequestRefusedError, answer_lost_refusal
from .serving_messages import WantAdapter, WantReply
from .target_options import TargetOptions

REEVALUATE_AFTER_S = 0.4
"""How long a request waits for a load on one engine before all engines are compared
again, in seconds: slightly longer than a load takes. Bound to the engine chosen first,
a request would wait for an adapter slot there while other engines have free ones."""

MAX_FAILED_LOAD_REQUESTS = 4
"""Load requests that may fail before the caller's request is refused."""

ASSUMED_QUEUE_WAIT_S = 2.0
"""Wait assumed at an engine whose load request failed without an estimate."""

MAX_REJECTIONS_PER_TARGET = 2
"""How often one request is sent to a target of a plain pool that rejects it: each
further arrival makes a full target do work that serves nobody."""

NEXT_TARGET_PAUSE_S = 0.02
"""Pause before a rejected request is sent to another target, in seconds."""

SAME_TARGET_PAUSE_S = 0.1
"""Pause before a rejected request is sent to a target that has rejected it, in seconds:
a target counts as full for this long."""

MAX_PERMIT_WAIT_SHARE = 0.5
"""Share of the time left until a request's latency goal that it waits for a permit to
send to a limited target; the rest is for the target's work."""

RETRY_JITTER_S = 0.25
"""Upper bound of the random addition to retry-after times, in seconds: callers refused
at one moment must not all return at one moment."""

NO_TARGET_RETRY = seconds(0.5)
"""Retry-after time if no target is live: about the restart time of a crashed one."""

NO_KEEPER_RETRY = seconds(2)
"""Retry-after time if no keeper may order engines. A successor begins about four
seconds after the last keeper was lost; it is chosen after about one second, and from
then on announces when it begins."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ChosenTarget:
    """The target of a request's next attempt.

    Parameters
    ----------
    max_permit_wait : timedelta or None
        How long the request can wait for a permit to send there; None if another target
        can serve it.
    """

    published: PublishedTarget
    max_permit_wait: timedelta | None = None


class TargetPicker:
    """Chooses targets by this host's state and by keepers' replies to load requests."""

    def __init__(self, dependencies: RelayDependencies) -> None:
        self.state = dependencies.state
        self.options = TargetOptions(dependencies.state)
        self.load_requests = dependencies.load_requests
        self.metrics = dependencies.metrics
        self.clock = dependencies.state.clock

    async def choose(self, exchange: RelayExchange) -> ChosenTarget:
        """Return the next attempt's target, waiting for an adapter load if needed."""
        config = self.state.catalogue.config
        pool = config.pools.get(exchange.pool) if config else None
        if pool is None or pool.engines is None:
            return self.choose_service(exchange)
        return await self.choose_engine(exchange)

    def choose_service(self, exchange: RelayExchange) -> ChosenTarget:
        """Return the least loaded target of a plain service."""
        options = self.options.service_options(exchange.pool, exchange.tried)
        max_wait_s = None
        if may_wait_for_permit(options):
            max_wait_s = self.max_permit_wait_s(exchange)
        found = select_target(options, max_wait_s or 0.0)
        if found is None:
            raise RequestRefusedError(
                self.limited_refusal(exchange, options)
                if options
                else self.no_target_refusal(exchange)
            )
        self.log_choice(exchange, found.target, "least filled", len(options))
        return ChosenTarget(
            self.state.catalogue.targets[found.target],
            None if max_wait_s is None else seconds(max_wait_s),
        )

    def max_permit_wait_s(self, exchange: RelayExchange) -> float:
        """Return how long a request can wait for a limited target, in seconds.

        Only as long as its answer can still be on time: a longer queue serves no more
        requests, and all of them late. Urgent requests wait longest.
        """
        now = self.clock.monotonic()
        goal_left_s = (exchange.arrived + exchange.route.goal - now).total_seconds()
        worth = request_worth(exchange.priority) / request_worth(0)
        return max(0.0, goal_left_s * MAX_PERMIT_WAIT_SHARE * worth)

    def limited_refusal(
        self, exchange: RelayExchange, options: Sequence[ServiceOption]
    ) -> Refusal:
        """Return the refusal of a request whose targets all have a rate limit.

        The caller may retry when this host's turn for a permit of any of them comes.
        """
        if exchange.attempts_so_far.runs:
            return answer_lost_refusal()
        text = "all targets of the pool state a rate limit, and it is used"
        now = self.clock.monotonic()
        after_s = min(
            self.state.limits.permit_wait_s(o.target, can_wait=False, now=now)
            for o in options
        )
        wait = jittered_retry_after(self.state.random, seconds(after_s))
        return not_run_refusal(Reason.TARGET_LIMITED, text, wait)

    def retry_pause_s(self, exchange: RelayExchange) -> float:
        """Return the pause before the next attempt of a rejected request, in seconds.

        Raises
        ------
        RequestRefusedError
            If each usable target of a plain pool has rejected the request
            `MAX_REJECTIONS_PER_TARGET` times. For model requests the choice of an
            engine handles rejections instead.
        """
        if exchange.terms.model:
            return NEXT_TARGET_PAUSE_S
        usable = self.options.usable_targets(exchange.pool, self.clock.monotonic())
        rejection_counts = [exchange.rejections[t.target.target_id] for t in usable]
        if 0 in rejection_counts:
            return NEXT_TARGET_PAUSE_S
        if (
            min(rejection_counts, default=MAX_REJECTIONS_PER_TARGET)
            < MAX_REJECTIONS_PER_TARGET
        ):
            return SAME_TARGET_PAUSE_S
        if exchange.attempts_so_far.runs:
            raise RequestRefusedError(answer_lost_refusal())
        text = "each target of the pool has rejected the request"
        wait = jittered_retry_after(self.state.random, NO_TARGET_RETRY)
        raise RequestRefusedError(not_run_refusal(Reason.TARGET_REFUSED, text, wait))

    def no_target_refusal(self, exchange: RelayExchange) -> Refusal:
        """Return the refusal of a request whose pool has no live target."""
        if exchange.attempts_so_far.runs:
            return answer_lost_refusal()
        text = "no target of the pool is live"
        return not_run_refusal(
            Reason.NO_TARGET,
            text,
            jittered_retry_after(self.state.random, NO_TARGET_RETRY),
        )

    async def choose_engine(self, exchange: RelayExchange) -> ChosenTarget:
        """Return the engine of the next attempt, once it holds the adapter."""
        expected_ready_at: dict[TargetId, Instant] = {}
        failed_requests = 0
        terms = exchange.terms
        if terms.adapter:
            self.state.demand.record_request(terms.adapter, self.clock.monotonic())
        while True:
            now = self.clock.monotonic()
            options = self.options.engine_options(
                exchange.pool,
                exchange.terms,
                exchange.tried,
                seconds_until(expected_ready_at, now),
            )
            time_left_s = exchange.first_event_left_s(now)
            desired_copies = self.options.copies_due(terms, len(options))
            max_wait_s = self.max_permit_wait_s(exchange)
            choice = select_engine(options, time_left_s, desired_copies, max_wait_s)
            if isinstance(choice, SendToEngine):
                self.log_choice(
                    exchange,
                    choice.target,
                    "resident",
                    len(options),
                    choice.expected_s,
                )
                return ChosenTarget(
                    self.state.catalogue.targets[choice.target],
                    seconds(max_wait_s) if choice.can_wait else None,
                )
            if not isinstance(choice, LoadOnEngine):
                raise RequestRefusedError(
                    self.no_engine_refusal(exchange, choice, time_left_s)
                )
            reply = await self.wait_for_load(exchange, choice.target, time_left_s)
            if reply.is_ready:
                continue
            now = self.clock.monotonic()
            if reply.is_queued:
                expected_ready_at[choice.target] = now + seconds(reply.expected_s)
                continue
            expected_ready_at[choice.target] = now + seconds(
                reply.expected_s or ASSUMED_QUEUE_WAIT_S
            )
            failed_requests += 1
            if failed_requests >= MAX_FAILED_LOAD_REQUESTS:
                busy = EnginesTooBusy(
                    min(seconds_until(expected_ready_at, now).values())
                )
                raise RequestRefusedError(
                    self.no_engine_refusal(exchange, busy, time_left_s)
                )

    def no_engine_refusal(
        self,
        exchange: RelayExchange,
        choice: EnginesTooBusy | NoEngine,
        time_left_s: float,
    ) -> Refusal:
        """Return the refusal of a request that no engine can start in time."""
        if exchange.attempts_so_far.runs:
            return answer_lost_refusal()
        if isinstance(choice, EnginesTooBusy):
            text = f"no engine can begin within {time_left_s:.2f} s"
            wait = jittered_retry_after(self.state.random, seconds(choice.wait_s))
            reason = Reason.OVERLOADED
            if choice.is_limited:
                reason = Reason.TARGET_LIMITED
            return not_run_refusal(reason, text, wait)
        text = "no engine has the adapter, and none can be ordered to load it now"
        return not_run_refusal(
            Reason.NO_TARGET,
            text,
            jittered_retry_after(self.state.random, NO_KEEPER_RETRY),
        )

    async def wait_for_load(
        self, exchange: RelayExchange, target: TargetId, time_left_s: float
    ) -> WantReply:
        """Request the load of an adapter on an engine and return the keeper's reply."""
        started_at = self.clock.monotonic()
        adapter_ref = self.state.required_adapter(exchange.terms)
        route = exchange.route
        loads, terms = self.state.loads, exchange.terms
        reading_s = loads.expected_first_event_s(
            target, terms.prompt_tokens, started_at
        )
        goal_s = (
            exchange.arrived + route.goal - started_at
        ).total_seconds() - reading_s
        request = WantAdapter(
            target,
            adapter_ref,
            request_worth(exchange.priority),
            goal_s,
            time_left_s * MAX_WAIT_SHARE,
            exchange.waited_s(started_at),
            REEVALUATE_AFTER_S,
        )
        # The prompt counts as waiting work at the engine. Otherwise all prompts that
        # wait for adapters would go to the engine that looks idle, and move to other
        # engines once their adapters are loaded: loads that then serve nobody.
        loads.record_dispatch(target, terms.prompt_tokens)
        try:
            reply = await self.load_requests.request_load(request)
        finally:
            loads.record_end(target, terms.prompt_tokens, had_first_event=False)
        elapsed_s = (self.clock.monotonic() - started_at).total_seconds()
        self.metrics.load_wait.observe({}, elapsed_s)
        log.info(
            "waited for adapter",
            extra={
                "request": exchange.terms.request_id,
                "target": target,
                "adapter": str(adapter_ref),
                "ready": reply.is_ready,
                "detail": reply.detail,
                "expected_s": round(reply.expected_s, 3),
                "waited_s": round(elapsed_s, 4),
            },
        )
        if reply.is_ready:
            self.assume_resident(target, adapter_ref)
        return reply

    def assume_resident(self, target: TargetId, adapter_ref: AdapterRef) -> None:
        """Record an adapter as resident ahead of the next digest of its keeper."""
        residency = self.state.residency
        published = self.state.catalogue.targets.get(target)
        if published is None:
            return
        if residency.resident_adapter(published, adapter_ref) is None:
            residency.record_loaded(published, adapter_ref)

    def log_choice(
        self,
        exchange: RelayExchange,
        target: TargetId,
        reason: str,
        options: int,
        expected_s: float = 0.0,
    ) -> None:
        """Log the chosen target and the figures behind the choice."""
        share = self.state.loads.total_share(target, self.clock.monotonic())
        log.info(
            "target chosen",
            extra={
                "request": exchange.terms.request_id,
                "target": target,
                "content": exchange.guarded_request.content,
                "adapter": exchange.terms.adapter,
                "why": reason,
                "options": options,
                "unread_tokens": share.unread_tokens,
                "running": share.running,
                "revision": self.state.catalogue.revision,
                "store_age_s": round(self.state.fleet.freshest_store_age_s(), 2),
                "attempt": exchange.attempts_so_far.runs
                + exchange.attempts_so_far.rejections
                + 1,
                "expected_s": round(expected_s, 4),
                "waited_s": round(exchange.waited_s(self.clock.monotonic()), 4),
            },
        )


def seconds_until(
    due: Mapping[TargetId, Instant], now: Instant
) -> dict[TargetId, float]:
    """Return the time from now until each given moment, in seconds, at least 0."""
    return {t: max(0.0, (at - now).total_seconds()) for t, at in due.items()}


def request_worth(priority: int) -> float:
    """Return a request's weight in the load queue; urgent requests weigh more."""
    return 1.0 + 1.0 / (1 + priority)


def jittered_retry_after(random: Random, after: timedelta) -> timedelta:
    """Return a retry-after time with random jitter, so that callers spread out."""
    return after + seconds(random.uniform(0, RETRY_JITTER_S))
