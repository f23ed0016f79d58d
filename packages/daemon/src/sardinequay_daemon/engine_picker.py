"""Choice of the engine for a request's next attempt, waiting for a load if needed."""

import logging
from collections.abc import Mapping
from dataclasses import replace

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import AdapterRef, TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.room import LoadClaim
from sardinequay_core.target_choice import (
    MAX_WAIT_SHARE,
    BeyondMemory,
    EngineChoice,
    EngineOption,
    EnginesTooBusy,
    LoadOnEngine,
    NoEngine,
    SendToEngine,
    select_engine,
)

from .attempt import RelayDependencies
from .chosen_target import (
    ChosenTarget,
    jittered_retry_after,
    log_choice,
    log_kept_from_all,
    log_memory_refusal,
    max_permit_wait_s,
)
from .exchange import RelayExchange
from .progress import RequestRefusedError, answer_lost_refusal
from .serving_messages import WantAdapter, WantReply
from .software_choice import (
    no_version_refusal,
    options_by_software,
    with_last_of_version,
)
from .target_options import TargetOptions

REEVALUATE_AFTER_S = 0.4
"""How long a request waits for a load on one engine before all engines are compared
again, in seconds: slightly longer than a load takes. Bound to the engine chosen first,
a request would wait for an adapter slot there while other engines have free ones."""

MAX_FAILED_LOAD_REQUESTS = 4
"""Load requests that may fail before the caller's request is refused."""

ASSUMED_QUEUE_WAIT_S = 2.0
"""Wait assumed at an engine whose load request failed without an estimate."""

NO_KEEPER_RETRY = seconds(2)
"""Retry-after time if no keeper may order engines. A successor begins about four
seconds after the last keeper was lost; it is chosen after about one second, and from
then on announces when it begins."""

log = logging.getLogger(__name__)


class EnginePicker:
    """Chooses engines by this host's state and by keepers' replies to load requests."""

    def __init__(self, dependencies: RelayDependencies) -> None:
        self.state = dependencies.state
        self.options = TargetOptions(dependencies.state)
        self.load_requests = dependencies.load_requests
        self.metrics = dependencies.metrics
        self.clock = dependencies.state.clock

    async def choose(self, exchange: RelayExchange) -> ChosenTarget:
        """Return the engine of the next attempt, once it holds the adapter."""
        expected_ready_at: dict[TargetId, Instant] = {}
        failed_requests = 0
        terms = exchange.terms
        if terms.adapter and not exchange.is_demand_recorded:
            exchange.is_demand_recorded = True
            self.state.demand.record_request(terms.adapter, self.clock.monotonic())
        while True:
            now = self.clock.monotonic()
            time_left_s = exchange.first_event_left_s(now)
            choice = self.select(exchange, seconds_until(expected_ready_at, now), now)
            if isinstance(choice, SendToEngine):
                wait_s = max_permit_wait_s(exchange, now) if choice.can_wait else None
                return ChosenTarget(
                    self.state.catalogue.targets[choice.target],
                    None if wait_s is None else seconds(wait_s),
                )
            if not isinstance(choice, LoadOnEngine):
                log_kept_from_all(self.state, exchange)
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

    def select(
        self,
        exchange: RelayExchange,
        expected_load_s: Mapping[TargetId, float],
        now: Instant,
    ) -> EngineChoice:
        """Choose among the usable engines, then among leaving ones as they are.

        Parameters
        ----------
        expected_load_s : mapping
            Time until the adapter would be loaded on an engine, in seconds, by the
            keepers' replies to earlier load requests.
        """
        pool, terms = exchange.pool, exchange.terms
        usable = self.options.usable_targets(pool, now)
        claim = LoadClaim(self.worth(exchange), exchange.goal_left_s(now))
        options = self.options.engine_options(
            usable, terms, exchange.tried, expected_load_s, claim
        )
        choice = self.select_among(exchange, options, now)
        if isinstance(choice, SendToEngine | LoadOnEngine):
            return choice
        draining = self.options.draining_targets(pool, exchange.arrived, now)
        if not draining:
            return choice
        options = self.options.engine_options(
            draining, terms, exchange.tried, {}, claim
        )
        options = [replace(option, may_load=False) for option in options]
        last_choice = self.select_among(exchange, options, now)
        return last_choice if isinstance(last_choice, SendToEngine) else choice

    def select_among(
        self, exchange: RelayExchange, options: list[EngineOption], now: Instant
    ) -> EngineChoice:
        """Choose among some candidates, and log the choice of one to send to."""
        options = options_by_software(self.state, exchange, options)
        options = with_last_of_version(self.state, exchange, options)
        choice = select_engine(
            options,
            exchange.first_event_left_s(now),
            self.options.copies_due(exchange.terms, len(options)),
            max_permit_wait_s(exchange, now),
        )
        if isinstance(choice, SendToEngine):
            log_choice(
                self.state,
                exchange,
                choice.target,
                "resident",
                len(options),
                choice.expected_s,
            )
        return choice

    def no_engine_refusal(
        self,
        exchange: RelayExchange,
        choice: EnginesTooBusy | BeyondMemory | NoEngine,
        time_left_s: float,
    ) -> Refusal:
        """Return the refusal of a request that no engine can start in time."""
        if exchange.attempts_so_far.runs:
            return answer_lost_refusal()
        if isinstance(choice, NoEngine) and exchange.software_version is not None:
            return no_version_refusal(self.state, exchange.software_version)
        if isinstance(choice, BeyondMemory):
            return self.memory_refusal(exchange, None)
        if isinstance(choice, EnginesTooBusy) and choice.is_memory_full:
            return self.memory_refusal(exchange, choice.wait_s)
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

    def memory_refusal(self, exchange: RelayExchange, wait_s: float | None) -> Refusal:
        """Return the refusal of a request that fits in no engine's memory now.

        One that fits in none at any time is told of no retry.
        """
        need = exchange.terms.needed_tokens
        if wait_s is None:
            text = f"the request may need {need} tokens, more than any engine's memory"
            refusal = not_run_refusal(Reason.BEYOND_MEMORY, text)
        else:
            text = f"no engine has memory for {need} tokens now"
            wait = jittered_retry_after(self.state.random, seconds(wait_s))
            refusal = not_run_refusal(Reason.OVERLOADED, text, wait)
        log_memory_refusal(self.state, exchange, refusal)
        return refusal

    async def wait_for_load(
        self, exchange: RelayExchange, target: TargetId, time_left_s: float
    ) -> WantReply:
        """Request the load of an adapter on an engine and return the keeper's reply."""
        started_at = self.clock.monotonic()
        adapter_ref = self.state.required_adapter(exchange.terms)
        loads, terms = self.state.loads, exchange.terms
        reading_s = loads.expected_first_event_s(
            target, terms.prompt_tokens, started_at
        )
        share_weight = self.state.quotas.share_weight(exchange.organisation)
        request = WantAdapter(
            target,
            adapter_ref,
            self.worth(exchange),
            exchange.goal_left_s(started_at) - reading_s,
            time_left_s * MAX_WAIT_SHARE,
            exchange.waited_s(started_at),
            REEVALUATE_AFTER_S,
        )
        # The prompt counts as waiting work at the engine. Otherwise all prompts that
        # wait for adapters would go to the engine that looks idle, and move to other
        # engines once their adapters are loaded: loads that then serve nobody.
        loads.record_waiting(target, terms.prompt_tokens)
        try:
            reply = await self.load_requests.request_load(request)
        finally:
            loads.record_waiting(target, -terms.prompt_tokens)
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
                "share_weight": round(share_weight, 3),
            },
        )
        if reply.is_ready:
            self.assume_resident(target, adapter_ref)
        return reply

    def worth(self, exchange: RelayExchange) -> float:
        """Return the value of a request on time in the load queue."""
        share_weight = self.state.quotas.share_weight(exchange.organisation)
        return self.state.ranks_of(exchange.pool).worth(exchange.rank) * share_weight

    def assume_resident(self, target: TargetId, adapter_ref: AdapterRef) -> None:
        """Record an adapter as resident ahead of the next digest of its keeper."""
        residency = self.state.residency
        published = self.state.catalogue.targets.get(target)
        if published is None:
            return
        if residency.resident_adapter(published, adapter_ref) is None:
            residency.record_loaded(published, adapter_ref)


def seconds_until(
    due: Mapping[TargetId, Instant], now: Instant
) -> dict[TargetId, float]:
    """Return the time from now until each given moment, in seconds, at least 0."""
    return {t: max(0.0, (at - now).total_seconds()) for t, at in due.items()}
