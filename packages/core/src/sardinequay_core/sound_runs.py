"""How often requests with a feature were answered, of late.

A feature that many answered requests have is seldom the one that crashes targets.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

from .names import FeatureId

MAX_FEATURES = 1024
"""Number of features that are kept; those without answers for longest are dropped."""

MAX_RUNS = 1024
"""Count at which a feature's count stays; more would tell nothing more."""


@dataclass(slots=True)
class SoundRuns:
    """Answered requests by feature, counted since the feature was last dropped."""

    counts: OrderedDict[FeatureId, int] = field(default_factory=OrderedDict)

    def record(self, feature: FeatureId) -> None:
        """Count an answered request."""
        self.counts[feature] = min(MAX_RUNS, self.counts.get(feature, 0) + 1)
        self.counts.move_to_end(feature)
        if len(self.counts) > MAX_FEATURES:
            self.counts.popitem(last=False)

    def halve(self) -> None:
        """Halve all counts, so that their shares stay and later requests weigh more."""
        for feature in self.counts:
            self.counts[feature] //= 2

    def count(self, feature: FeatureId) -> int:
        """Return how many answered requests a feature had."""
        return self.counts.get(feature, 0)
