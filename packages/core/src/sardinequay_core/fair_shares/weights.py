"""Weights of organisations' requests, by what each asked for and was served lately."""

import math
from collections.abc import Collection
from dataclasses import dataclass

MIN_WEIGHT = 0.35
"""Lowest weight, so that no organisation starves. It is slightly above the value of a
late answer relative to one on time: a request that can still be on time counts more
than a late one of any organisation."""

LEVEL_TOLERANCE = 0.1
"""Excess over the fair level that costs no weight, as a share of the level: the counts
of hosts differ by about as much."""


@dataclass(frozen=True, slots=True)
class RecentUse:
    """What an organisation asked for and was admitted lately, over all hosts.

    Parameters
    ----------
    asked_per_s, admitted_per_s, quota_per_s : float
        In the quota's unit a second. What was admitted and did not run is in
        `asked_per_s` alone.
    uncounted_per_s : float
        Part of the use that costs no weight.
    """

    asked_per_s: float
    admitted_per_s: float
    quota_per_s: float
    uncounted_per_s: float = 0.0

    def demand_per_s(self) -> float:
        """Return the demand, which is at least what was admitted."""
        return max(self.asked_per_s, self.admitted_per_s)

    def demanded_part(self) -> float:
        """Return the demand as a part of the quota."""
        return self.demand_per_s() / self.quota_per_s

    def weight(self, level: float) -> float:
        """Return the weight at a fair level: 1 up to it, less in proportion above."""
        used_per_s = self.admitted_per_s - self.uncounted_per_s
        allowed_per_s = level * (1 + LEVEL_TOLERANCE) * self.quota_per_s
        if used_per_s <= allowed_per_s:
            return 1.0
        return max(MIN_WEIGHT, allowed_per_s / used_per_s)


def fair_level(uses: Collection[RecentUse]) -> float:
    """Return the weighted max-min level, as a part of each organisation's quota.

    What all were admitted is distributed anew: those that demand less than the level
    get their demand, and all others the same part of their quotas. The level is
    infinite if all that was demanded was admitted.
    """
    left_per_s = sum(use.admitted_per_s for use in uses)
    quota_per_s = sum(use.quota_per_s for use in uses)
    for use in sorted(uses, key=RecentUse.demanded_part):
        # What is left of the sum may be less than its last part, by rounding.
        level = left_per_s / max(quota_per_s, use.quota_per_s)
        if use.demanded_part() > level:
            return level
        left_per_s -= use.demand_per_s()
        quota_per_s -= use.quota_per_s
    return math.inf
