"""Pace at which engines process prompts, measured by all hosts of a large fleet.

Load pattern: engines slow down for some seconds, in a fleet of hundreds of hosts, each
of which sends an engine one request every half minute. One host's measurements are then
too few; those of all hosts show a slow engine after a few requests. First events are
expected later there, so other engines get the requests, and the few requests that still
go to the slow engine show when it has recovered.

Expected and measured times are summed, so that they add up over hosts as load does.
"""

import math
from dataclasses import dataclass, field

from .clock import Instant, seconds
from .names import TargetId

HALF_LIFE = seconds(2)
"""Half-life of a measurement: an engine gets several requests in it, and a fault of a
few seconds has to be detected, and later forgotten."""

MIN_EXPECTED_S = 0.0005
"""Sum of expected times below which a measurement says nothing, in seconds."""

PRIOR_S = 0.15
"""Processing time at the nominal pace that is added to the measurements, in seconds:
about two prompts, so that a single outlier decides nothing."""


@dataclass(frozen=True, slots=True)
class PaceMeasurement:
    """Decayed sums of times to the first event, in seconds.

    Parameters
    ----------
    expected_s : float
        Expected time to the first event at the nominal pace.
    took_s : float
        Measured time to the first event.
    """

    expected_s: float
    took_s: float
    at: Instant

    def decayed(self, now: Instant) -> "PaceMeasurement":
        """Return the sums decayed to a later time."""
        factor = math.exp2(-((now - self.at) / HALF_LIFE))
        return PaceMeasurement(self.expected_s * factor, self.took_s * factor, now)


@dataclass(slots=True)
class PaceMeasurements:
    """Pace measurements of each engine by this host."""

    own: dict[TargetId, PaceMeasurement] = field(default_factory=dict)

    def record_measurement(
        self, target: TargetId, expected_s: float, took_s: float, now: Instant
    ) -> None:
        """Add the expected and measured time of one request's first event."""
        previous = self.measurement_of(target, now)
        self.own[target] = PaceMeasurement(
            previous.expected_s + expected_s, previous.took_s + took_s, now
        )

    def measurement_of(self, target: TargetId, now: Instant) -> PaceMeasurement:
        """Return this host's decayed measurement of an engine."""
        measurement = self.own.get(target)
        return (
            measurement.decayed(now)
            if measurement is not None
            else PaceMeasurement(0.0, 0.0, now)
        )

    def prune_faded(self, now: Instant) -> None:
        """Drop the measurements that have decayed below `MIN_EXPECTED_S`."""
        faded = [
            target
            for target in self.own
            if self.measurement_of(target, now).expected_s < MIN_EXPECTED_S
        ]
        for target in faded:
            del self.own[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop the measurements of a target that has restarted or is gone."""
        self.own.pop(target, None)


def relative_pace(expected_s: float, took_s: float) -> float:
    """Return an engine's pace relative to the nominal one: 2 takes twice as long."""
    return (PRIOR_S + took_s) / (PRIOR_S + expected_s)
