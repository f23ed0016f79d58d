"""Mean of the paces that a target states over a longer time."""

import math
from dataclasses import dataclass

from ..clock import ZERO, Instant, seconds

HALF_LIFE = seconds(60)
"""Half-life of a statement's weight in the mean: many changes of the pace."""

MIN_WEIGHT = 6.0
"""Weight that earlier statements keep, in statements: one that comes first or after a
long silence is not taken for the mean."""


@dataclass(frozen=True, slots=True)
class MeanPace:
    """Decayed mean over a target's statements; the usual pace before any.

    Parameters
    ----------
    value : float
        The mean, relative to the usual pace.
    weight : float
        Number of statements that it stands for.
    at : timedelta
        When the last of them came.
    """

    value: float = 1.0
    weight: float = MIN_WEIGHT
    at: Instant = ZERO

    def with_stated(self, pace: float, now: Instant) -> "MeanPace":
        """Return the mean with one more statement."""
        factor = math.exp2(-max(0.0, (now - self.at) / HALF_LIFE))
        weight = max(MIN_WEIGHT, self.weight * factor) + 1
        return MeanPace(self.value + (pace - self.value) / weight, weight, now)
