"""What organisations were served lately, and the weights that follow from it.

Load pattern: requests of several organisations wait for adapter slots, and one
organisation asks for several times its usual, within its quota. By the number of its
requests it would get most of the slots.

The counts are those that hosts exchange for quotas: demand, and admitted usage less
that of requests that did not run. What organisations were served in sum is the
capacity; it is distributed by max-min fairness over their demand, in proportion to
their quotas. Requests of organisations that were served more than that count less.

References
----------
Y. Sheng et al., "Fairness in Serving Large Language Models", OSDI 2024: counters of
service by client. Here they decay, so that an organisation that was idle for long does
not get all of the slots when it returns.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field

from ..clock import Instant, seconds
from ..organisations import OrganisationName, QuotaUnit
from ..quota_ledger import QuotaAccount, QuotaLedger
from ..usage_view import MIN_FLOW, NO_USAGE, NO_USAGE_FLOW, UsageCounts, UsageFlow
from .weights import RecentUse, fair_level

USE_TIME_CONSTANT_S = 4.0
"""Time constant of the recent use, in seconds: longer than requests wait for a load, so
that a request that is refused after its wait still counts as demand then."""

REFRESH_PERIOD = seconds(0.5)
"""Minimum time between two computations of the weights: a few digests, and short beside
the time constant."""

UNCOUNTED_REQUESTS = 1.0
"""Recent requests that cost an organisation no weight. Its request is counted before it
is weighed, and one request in a few seconds is already more than a small quota."""


@dataclass(slots=True)
class ServiceShares:
    """Recent use and weights of the organisations that have quotas.

    Organisations whose quotas count requests, and those whose quotas count tokens, are
    compared among themselves only.

    Parameters
    ----------
    recent : dict
        Decayed mean of demand and admitted usage over all hosts, of organisations that
        asked for something lately.
    counted : dict
        The counts that `recent` includes.
    """

    ledger: QuotaLedger
    recent: dict[OrganisationName, UsageFlow] = field(default_factory=dict)
    counted: UsageCounts = field(default_factory=dict)
    weights: dict[OrganisationName, float] = field(default_factory=dict)
    updated_at: Instant | None = None

    def weight(self, organisation: OrganisationName, now: Instant) -> float:
        """Return a factor above 0 and at most 1; 1 within the fair share."""
        self.update(now)
        return self.weights.get(organisation, 1.0)

    def update(self, now: Instant) -> None:
        """Bring the recent use and the weights up to date, if they are due."""
        if self.updated_at is None:
            self.updated_at = now
        elapsed = now - self.updated_at
        if elapsed < REFRESH_PERIOD:
            return
        self.updated_at = now
        span_s = elapsed.total_seconds()
        flows = {o: self.updated_flow(o, span_s) for o in self.ledger.accounts}
        self.recent = {o: f for o, f in flows.items() if f.asked_per_s >= MIN_FLOW}
        self.weights = self.compute_weights()

    def updated_flow(self, name: OrganisationName, span_s: float) -> UsageFlow:
        """Return the mean with the usage of the last seconds over all hosts.

        Admitted usage is below zero for a while where requests did not run that were
        admitted long ago. Peers' flows lack that, so they are not used.
        """
        counted = self.ledger.usage.known_usage(name)
        gain = counted.without(self.counted.get(name, NO_USAGE))
        self.counted[name] = counted
        before = self.recent.get(name, NO_USAGE_FLOW)
        kept = math.exp(-span_s / USE_TIME_CONSTANT_S)
        return UsageFlow(
            kept * before.asked_per_s + (1 - kept) * gain.asked / span_s,
            kept * before.admitted_per_s + (1 - kept) * gain.admitted / span_s,
        )

    def compute_weights(self) -> dict[OrganisationName, float]:
        """Return the weights by the recent use, by the unit of the quotas."""
        by_unit: dict[QuotaUnit, dict[OrganisationName, RecentUse]] = defaultdict(dict)
        for name, flow in self.recent.items():
            account = self.ledger.accounts[name]
            if account.quota.rate_per_s > 0:
                by_unit[account.quota.unit][name] = recent_use(flow, account)
        weights = {}
        for uses in by_unit.values():
            level = fair_level(uses.values())
            weights.update({name: use.weight(level) for name, use in uses.items()})
        return weights


def recent_use(flow: UsageFlow, account: QuotaAccount) -> RecentUse:
    """Return an organisation's recent use, and the part that costs no weight."""
    return RecentUse(
        flow.asked_per_s,
        max(0.0, flow.admitted_per_s),
        account.quota.rate_per_s,
        UNCOUNTED_REQUESTS * account.mean_cost / USE_TIME_CONSTANT_S,
    )
