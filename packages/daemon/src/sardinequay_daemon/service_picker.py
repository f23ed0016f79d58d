"""Choice of the target of a plain service for a request's next attempt."""

from collections.abc import Sequence

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.service_choice import (
    ServiceOption,
    may_wait_for_permit,
    select_target,
)

from .chosen_target import (
    NO_TARGET_RETRY,
    ChosenTarget,
    jittered_retry_after,
    log_choice,
    log_kept_from_all,
    max_permit_wait_s,
)
from .exchange import RelayExchange
from .progress import RequestRefusedError, answer_lost_refusal
from .relay_state import RelayState
from .software_choice import no_version_refusal, options_by_software
from .target_options import TargetOptions

MAX_REJECTIONS_PER_TARGET = 2
"""How often one request is sent to a target of a plain pool that rejects it: each
further arrival makes a full target do work that serves nobody."""

NEXT_TARGET_PAUSE_S = 0.02
"""Pause before a rejected request is sent to another target, in seconds."""

SAME_TARGET_PAUSE_S = 0.1
"""Pause before a rejected request is sent to a target that has rejected it, in seconds:
a target counts as full for this long."""


class ServicePicker:
    """Chooses services by this host's state."""

    def __init__(self, state: RelayState) -> None:
        self.state = state
        self.options = TargetOptions(state)
        self.clock = state.clock

    def choose(self, exchange: RelayExchange) -> ChosenTarget:
        """Return the least loaded target of a plain service, a leaving one last."""
        now, pool = self.clock.monotonic(), exchange.pool
        usable = self.options.usable_targets(pool, now)
        options = self.options_among(exchange, usable)
        chosen = self.choose_among(exchange, options)
        if chosen is not None:
            return chosen
        draining = self.options.draining_targets(pool, exchange.arrived, now)
        chosen = self.choose_among(exchange, self.options_among(exchange, draining))
        if chosen is not None:
            return chosen
        log_kept_from_all(self.state, exchange)
        raise RequestRefusedError(
            self.limited_refusal(exchange, options)
            if options
            else self.no_target_refusal(exchange)
        )

    def options_among(
        self, exchange: RelayExchange, services: Sequence[PublishedTarget]
    ) -> list[ServiceOption]:
        """Return the candidates for a request among some targets.

        Those that have rejected it as often as they may are none, unless all have.
        """
        willing = [
            service
            for service in services
            if exchange.rejections[service.target.target_id] < MAX_REJECTIONS_PER_TARGET
        ]
        options = self.options.service_options(willing or services, exchange.tried)
        return options_by_software(self.state, exchange, options)

    def choose_among(
        self, exchange: RelayExchange, options: Sequence[ServiceOption]
    ) -> ChosenTarget | None:
        """Return the least loaded candidate; None if the request fits at none."""
        max_wait_s = None
        if may_wait_for_permit(options):
            max_wait_s = max_permit_wait_s(exchange, self.clock.monotonic())
        found = select_target(options, max_wait_s or 0.0)
        if found is None:
            return None
        log_choice(self.state, exchange, found.target, "least filled", len(options))
        return ChosenTarget(
            self.state.catalogue.targets[found.target],
            None if max_wait_s is None else seconds(max_wait_s),
        )

    def limited_refusal(
        self, exchange: RelayExchange, options: Sequence[ServiceOption]
    ) -> Refusal:
        """Return the refusal of a request that no target takes now.

        Each has a limit that is used, or has asked this host for a backoff. The caller
        may retry when the first of them takes requests of this host again.
        """
        if exchange.attempts_so_far.runs:
            return answer_lost_refusal()
        after = self.options.soonest_send([option.target for option in options])
        text = (
            "all targets of the pool state a limit that is used, or a backoff; "
            f"the first takes requests in {after.total_seconds():.2f} s"
        )
        wait = jittered_retry_after(self.state.random, after)
        return not_run_refusal(Reason.TARGET_LIMITED, text, wait)

    def retry_pause_s(self, exchange: RelayExchange) -> float:
        """Return the pause before the next attempt of a rejected request, in seconds.

        Raises
        ------
        RequestRefusedError
            If each usable target of the pool has rejected the request
            `MAX_REJECTIONS_PER_TARGET` times.
        """
        now = self.clock.monotonic()
        usable = self.options.usable_targets(exchange.pool, now)
        targets = [t.target.target_id for t in usable]
        in_backoff = [t for t in targets if self.state.statements.backoff_wait(t, now)]
        if targets and len(in_backoff) == len(targets):
            # The choice waits for the first one, or refuses the request.
            return 0.0
        rejection_counts = [
            exchange.rejections[t] for t in targets if t not in in_backoff
        ]
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
        if exchange.software_version is not None:
            return no_version_refusal(self.state, exchange.software_version)
        text = "no target of the pool is live"
        return not_run_refusal(
            Reason.NO_TARGET,
            text,
            jittered_retry_after(self.state.random, NO_TARGET_RETRY),
        )
