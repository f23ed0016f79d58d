"""Routes and authentication of requests, and their admission by quotas.

All of this is decided from a request's head alone, so that a refused request costs no
reading of its body, no adapter load and no place in a queue.
"""

from collections.abc import Callable
from datetime import timedelta

from sardinequay_core.clock import seconds
from sardinequay_core.organisations import Organisation
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.quota_ledger import Admitted, OverQuota
from sardinequay_core.serving import Route, ServingConfig

from .progress import RequestRefusedError
from .relay_state import RelayState
from .serving_metrics import ServingMetrics
from .serving_ports import RequestTerms

NO_CONFIG_RETRY = seconds(0.5)
STALE_RETRY = seconds(0.2)
"""Retry-after time if this host may lack a key or a route: another host may have it."""

RETRY_JITTER = 0.5
"""Upper bound of the random addition to the retry-after time of callers over a quota,
as a share of that time."""

MIN_RETRY_AFTER = seconds(0.1)


class CallerAdmission:
    """Finds routes, authenticates requests and counts them against quotas.

    Parameters
    ----------
    is_current : callable
        Returns whether this host has all that must be in force by now.
    """

    def __init__(
        self,
        state: RelayState,
        is_current: Callable[[], bool],
        metrics: ServingMetrics,
    ) -> None:
        self.state = state
        self.is_current = is_current
        self.metrics = metrics

    def find_route(self, host: str, path: str) -> tuple[ServingConfig, Route]:
        """Return the configuration in force and its route for a request.

        Raises
        ------
        RequestRefusedError
            If there is none.
        """
        config = self.state.catalogue.config
        if config is None:
            text = "no configuration is known yet"
            raise RequestRefusedError(
                not_run_refusal(Reason.NO_BUNDLE, text, NO_CONFIG_RETRY)
            )
        route = config.match_route(host, path) or config.match_route(
            host.partition(":")[0], path
        )
        if route is None:
            raise RequestRefusedError(self.unknown_route_refusal(config))
        return config, route

    def unknown_route_refusal(self, config: ServingConfig) -> Refusal:
        """Return the refusal of a request without a route."""
        text = f"{self.describe_knowledge(config)} has no route there"
        if not self.is_current():
            return not_run_refusal(Reason.NO_BUNDLE, text, STALE_RETRY)
        return not_run_refusal(Reason.UNKNOWN_ROUTE, text)

    def describe_knowledge(self, config: ServingConfig) -> str:
        """Describe by what a request is refused, for its caller and the log."""
        return (
            f"version {config.version}, revision {self.state.catalogue.revision}"
            f" of {self.state.store_age_s():.1f} s ago,"
        )

    def authenticate(
        self, config: ServingConfig, route: Route, terms: RequestTerms
    ) -> Organisation | None:
        """Return the organisation that sent a request; None if no key is needed.

        On a public route an unknown key counts as no key.

        Raises
        ------
        RequestRefusedError
            If the route needs a key and the request has no valid one.
        """
        if config.organisations is None:
            return None
        found = config.by_key.get(terms.key) if terms.key is not None else None
        if found is None and not route.is_public:
            raise RequestRefusedError(self.unknown_key_refusal(config, terms))
        return found

    def unknown_key_refusal(
        self, config: ServingConfig, terms: RequestTerms
    ) -> Refusal:
        """Return the refusal of a request without a valid key."""
        knowledge = self.describe_knowledge(config)
        if terms.key is None:
            text = f"{knowledge} wants a key"
            return not_run_refusal(Reason.UNAUTHENTICATED, text)
        text = f"{knowledge} does not have the key"
        if not self.is_current():
            return not_run_refusal(Reason.NO_BUNDLE, text, STALE_RETRY)
        return not_run_refusal(Reason.UNAUTHENTICATED, text)

    def admit(self, organisation: Organisation, terms: RequestTerms) -> Admitted | None:
        """Count a request against its organisation's quota; None if it has none.

        Raises
        ------
        RequestRefusedError
            If the request exceeds the quota.
        """
        now = self.state.clock.monotonic()
        self.state.count_hosts()
        result = self.state.quotas.ledger.admit(organisation, terms.tokens, now)
        if not isinstance(result, OverQuota):
            return result
        self.metrics.over_quota.inc(
            {"organisation": self.metrics.organisation_label(organisation.name)}
        )
        raise RequestRefusedError(self.over_quota_refusal(result))

    def over_quota_refusal(self, over: OverQuota) -> Refusal:
        """Return the refusal of a request beyond its organisation's quota."""
        text = (
            f"organisation {over.organisation} asks for {over.asked_per_s:.0f} of"
            f" {over.rate_per_s:.0f} a second, has {over.remaining:.0f} left, known"
            f" {over.data_age.total_seconds():.2f} s ago; this request"
            f" counts {over.cost}"
        )
        if over.retry_after is None:
            return not_run_refusal(Reason.OVER_QUOTA, f"{text}, more than ever fits")
        return not_run_refusal(
            Reason.OVER_QUOTA, text, self.jittered_wait(over.retry_after)
        )

    def jittered_wait(self, wait: timedelta) -> timedelta:
        """Return a retry-after time with random jitter, so that callers spread out."""
        return max(
            MIN_RETRY_AFTER, wait * (1 + RETRY_JITTER * self.state.random.random())
        )

    def refund(self, admitted: Admitted) -> None:
        """Refund the quota that was counted for a request that did not run."""
        self.state.quotas.ledger.refund(admitted, self.state.clock.monotonic())
