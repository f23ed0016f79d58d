"""Candidate targets of one request, with the properties that the choice compares."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import replace
from datetime import timedelta

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import PoolName, TargetId
from sardinequay_core.rendezvous import rank_members
from sardinequay_core.residency import HeldAdapters
from sardinequay_core.room import LoadClaim, expected_loads_ahead
from sardinequay_core.service_choice import ServiceOption
from sardinequay_core.target_choice import (
    COLD_LOAD_S,
    WARM_LOAD_S,
    AdapterState,
    EngineOption,
    has_adapter,
    has_unlimited_copy,
)

from .relay_state import EngineKeeper, RelayState
from .serving_ports import RequestTerms


class TargetOptions:
    """Builds a request's candidates from this host's state."""

    def __init__(self, state: RelayState) -> None:
        self.state = state

    def usable_targets(self, pool: PoolName, now: Instant) -> list[PublishedTarget]:
        """Return the live targets of a pool whose health permits requests."""
        return self.healthy(self.state.live_targets(pool), now)

    def draining_targets(
        self, pool: PoolName, arrived: Instant, now: Instant
    ) -> list[PublishedTarget]:
        """Return the leaving targets of a pool that may still get a request.

        They are the last choice, where no other target can serve it.

        Parameters
        ----------
        arrived : timedelta
            When the request came to this host.
        """
        return self.healthy(self.state.draining_targets(pool, arrived), now)

    def soonest_send(self, targets: Iterable[TargetId]) -> timedelta:
        """Return the time until the first of some targets takes a request."""
        now = self.state.clock.monotonic()
        waits_s = (
            self.state.statements.send_wait_s(target, can_wait=False, now=now)
            for target in targets
        )
        return seconds(min(waits_s, default=0.0))

    def healthy(
        self, live: list[PublishedTarget], now: Instant
    ) -> list[PublishedTarget]:
        """Return the targets among some whose health permits requests."""
        self.state.health.host_count = self.state.fleet.live_hosts
        usable = self.state.health.usable_targets(
            (t.target.target_id for t in live), now
        )
        return [t for t in live if t.target.target_id in usable]

    def engine_options(
        self,
        engines: Sequence[PublishedTarget],
        terms: RequestTerms,
        excluded: frozenset[TargetId],
        expected_load_s: Mapping[TargetId, float],
        claim: LoadClaim,
    ) -> list[EngineOption]:
        """Return engines as candidates for a model request.

        Parameters
        ----------
        excluded : frozenset
            Engines that failed or rejected the request.
        expected_load_s : mapping
            Time until the adapter would be loaded on an engine, in seconds, by the
            keepers' replies to earlier load requests.
        claim : LoadClaim
            What the request gains if its first event comes by its goal.
        """
        now = self.state.clock.monotonic()
        ranking = rank_members(terms.adapter, [t.target.target_id for t in engines])
        home_ranks = {target: position for position, target in enumerate(ranking)}
        data_centres = {t.target.data_centre for t in engines}
        keepers = self.state.keepers(data_centres)
        options = [
            self.engine_option(
                t,
                terms,
                home_ranks[t.target.target_id],
                keepers.get(t.target.data_centre),
                now,
                has_failed_request=t.target.target_id in excluded,
                keeper_estimate_s=expected_load_s.get(t.target.target_id),
                claim=claim,
            )
            for t in engines
        ]
        return self.with_send_waits(options, now)

    def with_send_waits(
        self, options: list[EngineOption], now: Instant
    ) -> list[EngineOption]:
        """Return options with the waits at engines that do not take all requests now.

        A request waits for such an engine only where no other can take its place. A
        load on an engine with a rate limit would take permits from the adapters that it
        has, so it costs one permit's time at least.
        """
        stated = self.state.statements
        limited = {o.target for o in options if stated.is_limited(o.target, now)}
        if not limited:
            return options
        options = [
            replace(o, is_limited=True) if o.target in limited else o for o in options
        ]
        has_copy = has_unlimited_copy(options)
        has_unlimited = any(
            not o.is_limited and not o.has_failed_request for o in options
        )

        def send_wait_s(option: EngineOption) -> float:
            if has_adapter(option):
                return stated.send_wait_s(option.target, not has_copy, now)
            wait_s = stated.send_wait_s(option.target, not has_unlimited, now)
            rate_per_s = stated.limits.rate_of(option.target, now)
            if rate_per_s is None or not has_unlimited:
                return wait_s
            return max(wait_s, 1 / rate_per_s)

        def with_waits(option: EngineOption) -> EngineOption:
            backoff_s = stated.backoff_wait(option.target, now).total_seconds()
            return replace(option, send_wait_s=send_wait_s(option), backoff_s=backoff_s)

        return [with_waits(o) if o.is_limited else o for o in options]

    def engine_option(
        self,
        published: PublishedTarget,
        terms: RequestTerms,
        home_rank: int,
        keeper: EngineKeeper | None,
        now: Instant,
        has_failed_request: bool,
        keeper_estimate_s: float | None,
        claim: LoadClaim,
    ) -> EngineOption:
        """Return one engine as a candidate for a model request."""
        target = published.target
        target_id = target.target_id
        held = self.state.residency.holdings_of(published)
        adapter_state, loaded_in_s = self.adapter_state(published, held, terms, now)
        config = self.state.catalogue.config
        pool = config.pools[target.pool].engines if config else None
        capacity = pool.adapter_capacity(published.models) if pool else 0
        first_event_s = self.state.loads.expected_first_event_s(
            target_id, terms.prompt_tokens, now, adapter_state is AdapterState.RESIDENT
        )
        memory = self.state.engine_memory(published, now)
        need = terms.needed_tokens
        return EngineOption(
            target=target_id,
            adapter_state=adapter_state,
            first_event_s=first_event_s,
            is_local=target.data_centre == self.state.data_centre,
            loaded_in_s=loaded_in_s,
            free_places=capacity - len(held.adapters) - len(held.coming),
            idle_adapters=self.idle_adapters(target_id, held),
            queued=held.queued,
            behind=held.queued
            - self.loads_ahead_at(target_id, held, adapter_state, claim, terms, now),
            turnover_s=held.turnover_s,
            home_rank=home_rank,
            # An adapter can be loaded only on an engine that has its base model. A
            # request without an adapter needs no load.
            may_load=keeper is not None
            and bool(terms.adapter)
            and terms.model in published.models,
            keeper_wait_s=keeper.orders_in_s if keeper else 0.0,
            is_full=self.state.health.is_full(target_id, now),
            has_failed_request=has_failed_request,
            keeper_estimate_s=keeper_estimate_s,
            memory_fit=memory.fit(need),
            memory_wait_s=self.state.loads.stay_times.free_in_s(memory, need),
        )

    def loads_ahead_at(
        self,
        target_id: TargetId,
        held: HeldAdapters,
        state: AdapterState,
        claim: LoadClaim,
        terms: RequestTerms,
        now: Instant,
    ) -> int:
        """Return how many loads at an engine come before that of a request."""
        # Without values to compare, the request's time does not matter.
        if held.queue is None or not held.queue.levels:
            return held.queued
        # The keeper is told of the same time, without the prompts that wait.
        reading_s = self.state.loads.expected_first_event_s(
            target_id, terms.prompt_tokens, now
        )
        return loads_ahead(held, state, claim, reading_s)

    def idle_adapters(self, target_id: TargetId, held: HeldAdapters) -> int:
        """Return how many adapters on an engine are not used by any request.

        In a large fleet only the keeper of an engine knows all uses, so its figure is
        used there.
        """
        is_managed_here = (
            self.state.orders is not None
            and target_id in self.state.orders.managed_engines
        )
        if (
            held.idle is not None
            and not is_managed_here
            and not self.state.fleet.is_mesh
        ):
            return held.idle
        return self.state.uses.count_idle(target_id, held.adapters)

    def adapter_state(
        self,
        published: PublishedTarget,
        held: HeldAdapters,
        terms: RequestTerms,
        now: Instant,
    ) -> tuple[AdapterState, float]:
        """Return an engine's state of a request's adapter, and its load time left."""
        if not terms.adapter:
            has_model = not terms.model or terms.model in published.models
            return (AdapterState.RESIDENT if has_model else AdapterState.ABSENT), 0.0
        required = self.state.required_adapter(terms)
        if self.state.residency.resident_adapter(published, required) is not None:
            return AdapterState.RESIDENT, 0.0
        coming_at = self.state.residency.expected_at(published, required)
        if coming_at is not None:
            return AdapterState.COMING, max(0.0, (coming_at - now).total_seconds())
        is_recent = str(required) in held.recent
        return (AdapterState.RECENT if is_recent else AdapterState.ABSENT), 0.0

    def copies_due(self, terms: RequestTerms, engines: int) -> int:
        """Return on how many engines a request's adapter should be loaded.

        In a small fleet one engine can serve even the most requested adapter.
        """
        if self.state.fleet.is_mesh or not terms.adapter:
            return 1
        return self.state.demand.desired_copies(
            terms.adapter, engines, self.state.clock.monotonic()
        )

    def service_options(
        self, services: Sequence[PublishedTarget], tried: frozenset[TargetId]
    ) -> list[ServiceOption]:
        """Return targets of a plain service as candidates."""
        now = self.state.clock.monotonic()
        limited = {
            t.target.target_id
            for t in services
            if self.state.statements.is_limited(t.target.target_id, now)
        }
        can_wait = all(t.target.target_id in limited | tried for t in services)
        options = []
        samples = self.state.loads.samples
        for published in services:
            target_id = published.target.target_id
            pace = samples.expected_pace(target_id, now)
            options.append(
                ServiceOption(
                    target=target_id,
                    in_flight=max(
                        self.state.loads.total_share(target_id, now).running,
                        samples.requests_at(target_id, now),
                    ),
                    slots=published.slots,
                    is_local=published.target.data_centre == self.state.data_centre,
                    is_full=self.state.health.is_full(target_id, now),
                    was_tried=target_id in tried,
                    tie_breaker=self.state.random.random(),
                    is_limited=target_id in limited,
                    send_wait_s=self.state.statements.send_wait_s(
                        target_id, can_wait, now
                    ),
                    pace=1.0 if pace is None else pace,
                )
            )
        return options


def loads_ahead(
    held: HeldAdapters, state: AdapterState, claim: LoadClaim, reading_s: float
) -> int:
    """Return how many loads at an engine come before that of a request.

    All that wait there do where its keeper does not tell their values.

    Parameters
    ----------
    reading_s : float
        Expected time to the first event once the adapter is loaded, in seconds.
    """
    if held.queue is None:
        return held.queued
    load_s = WARM_LOAD_S if state is AdapterState.RECENT else COLD_LOAD_S
    loaded_by = LoadClaim(claim.worth, claim.goal_s - reading_s)
    return expected_loads_ahead(held.queue, loaded_by, load_s, held.turnover_s)
