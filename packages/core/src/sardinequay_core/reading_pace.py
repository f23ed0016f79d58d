"""How fast engines read prompts, by what all hosts of a large fleet measured.

Load pattern: engines turn slow for some seconds, before hundreds of hosts of which each
sends an engine a request every half minute. What one host measures says nothing then;
the measurements of all show a slow engine after a few requests. Answers are expected
later there, so others get the requests, and the few that still go there show when it is
over.

Expected and measured times are summed, and add up over hosts like load does.
"""

import math
from dataclasses import dataclass, field

from .clock import Instant, seconds
from .names import TargetId

HALF_LIFE = seconds(2)
"""Half-life of a measurement: an engine gets several requests in it, and trouble of a
few seconds is to be noticed and forgotten."""

PRIOR_S = 0.15
"""Reading at the usual pace that counts with what was measured, in seconds: about two
prompts, so that one odd measurement decides nothing."""


@dataclass(frozen=True, slots=True)
class PaceMeasurement:
    """Sums over requests, the older the less, in seconds.

    Parameters
    ----------
    expected_s : float
        Time to the first event at the usual pace.
    took_s : float
        Time that it took.
    """

    expected_s: float
    took_s: float
    at: Instant

    def decayed(self, now: Instant) -> "PaceMeasurement":
        """Return what is left of it by now."""
        part = math.exp2(-((now - self.at) / HALF_LIFE))
        return PaceMeasurement(self.expected_s * part, self.took_s * part, now)


@dataclass(slots=True)
class PaceMeasurements:
    """What this host measured of each engine."""

    own: dict[TargetId, PaceMeasurement] = field(default_factory=dict)

    def record_measurement(
        self, target: TargetId, expected_s: float, took_s: float, now: Instant
    ) -> None:
        """Enter one request's first event."""
        before = self.measurement_of(target, now)
        self.own[target] = PaceMeasurement(
            before.expected_s + expected_s, before.took_s + took_s, now
        )

    def measurement_of(self, target: TargetId, now: Instant) -> PaceMeasurement:
        """Return what this host measured of an engine."""
        known = self.own.get(target)
        return (
            known.decayed(now) if known is not None else PaceMeasurement(0.0, 0.0, now)
        )

    def forget_target(self, target: TargetId) -> None:
        """Drop what was measured of a target that started again or is gone."""
        self.own.pop(target, None)


def relative_pace(expected_s: float, took_s: float) -> float:
    """Return an engine's pace against the usual one: 2 takes twice as long."""
    return (PRIOR_S + took_s) / (PRIOR_S + expected_s)
