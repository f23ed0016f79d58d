"""Choice of the target of a request's next attempt, by the kind of its pool."""

from datetime import timedelta

from .attempt import RelayDependencies
from .chosen_target import NO_TARGET_RETRY, ChosenTarget
from .engine_picker import EnginePicker
from .exchange import RelayExchange
from .service_picker import NEXT_TARGET_PAUSE_S, ServicePicker


class TargetPicker:
    """Chooses engines for model requests, and services for all others."""

    def __init__(self, dependencies: RelayDependencies) -> None:
        self.state = dependencies.state
        self.services = ServicePicker(dependencies.state)
        self.engines = EnginePicker(dependencies)

    async def choose(self, exchange: RelayExchange) -> ChosenTarget:
        """Return the next attempt's target, waiting for an adapter load if needed."""
        config = self.state.catalogue.config
        pool = config.pools.get(exchange.pool) if config else None
        if pool is None or pool.engines is None:
            return self.services.choose(exchange)
        return await self.engines.choose(exchange)

    def retry_after(self, exchange: RelayExchange) -> timedelta:
        """Return when a refused caller may retry, at the earliest.

        That is not before a target of the pool takes requests of this host again.
        """
        usable = self.services.options.usable_targets(
            exchange.pool, self.state.clock.monotonic()
        )
        targets = [published.target.target_id for published in usable]
        return max(NO_TARGET_RETRY, self.services.options.soonest_send(targets))

    def retry_pause_s(self, exchange: RelayExchange) -> float:
        """Return the pause before the next attempt of a rejected request, in seconds.

        For model requests the choice of an engine handles rejections.
        """
        if exchange.terms.model:
            return NEXT_TARGET_PAUSE_S
        return self.services.retry_pause_s(exchange)
