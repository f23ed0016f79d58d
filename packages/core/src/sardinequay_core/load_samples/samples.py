"""Newest stated load of each target, and the pace that follows from it.

Load pattern: targets whose pace changes several times a second, each by itself, and
that one host hears of less often than that.

References
----------
Wydrowski et al., "Load is not what you should balance: Introducing Prequal", NSDI 2024.
"""

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from ..clock import ZERO, Instant, seconds
from ..names import TargetId
from ..statements.change_log import ChangeLog
from .mean_pace import MeanPace
from .stated_load import LoadSample

HALF_LIFE = seconds(0.4)
"""Half-life of what a statement says beyond the target's mean pace: about as long as a
pace lasts."""

FRESH_FOR = seconds(0.5)
"""How long the stated requests count, and how long peers are told of a statement."""

UNUSUAL_RATIO = 1.25
"""Ratio of a stated pace to the target's mean, or the reverse, from which on peers are
told of it."""

MIN_PACE, MAX_PACE = 0.2, 8.0
"""Bounds of a stated pace in use: a target cannot draw all requests by stating that it
takes no time."""

FIRST_MEAN = MeanPace()
"""Mean of a target that has stated nothing to this host."""


@dataclass(slots=True)
class LoadSamples:
    """Samples of the targets that state a pace; all others have none.

    Parameters
    ----------
    newest : dict
        Newest sample of each target, this host's or a peer's.
    means : dict
        Mean pace by the answers to this host. Peers tell of unusual paces only, so that
        their samples do not count.
    forgotten_at : dict
        When this host learned of a target's restart; older samples are of the process
        before it.
    changes : ChangeLog
        Unusual samples that peers should hear of.
    """

    newest: dict[TargetId, LoadSample] = field(default_factory=dict)
    means: dict[TargetId, MeanPace] = field(default_factory=dict)
    forgotten_at: dict[TargetId, Instant] = field(default_factory=dict)
    changes: ChangeLog = field(default_factory=ChangeLog)

    def record_own(self, target: TargetId, sample: LoadSample) -> bool:
        """Record what a target states in an answer to this host.

        Returns
        -------
        bool
            Whether it is the target's newest sample that states a pace.
        """
        pace = sample.load.pace
        if pace is None:
            return False
        mean = self.means.get(target, FIRST_MEAN)
        self.means[target] = mean.with_stated(bounded_pace(pace), sample.at)
        return self.record(target, sample)

    def record(self, target: TargetId, sample: LoadSample) -> bool:
        """Record a sample, unless it states no pace or a newer one is known."""
        known = self.newest.get(target)
        if (
            sample.load.pace is None
            or (known is not None and sample.at <= known.at)
            or sample.at < self.forgotten_at.get(target, ZERO)
        ):
            return False
        self.newest[target] = sample
        if self.is_unusual(target, sample.at):
            self.changes.record(target)
        else:
            self.changes.forget(target)
        return True

    def mean_pace(self, target: TargetId) -> float:
        """Return the mean of the paces that a target stated over a longer time."""
        return self.means.get(target, FIRST_MEAN).value

    def expected_pace(self, target: TargetId, now: Instant) -> float | None:
        """Return how long work is expected to take at a target, relative to the usual.

        None if the target has never stated a pace. A statement fades towards the
        target's mean.
        """
        sample = self.newest.get(target)
        if sample is None or sample.load.pace is None:
            return None
        mean = self.mean_pace(target)
        age = max(ZERO, now - sample.at)
        beyond_mean = bounded_pace(sample.load.pace) - mean
        return mean + beyond_mean * math.exp2(-(age / HALF_LIFE))

    def requests_at(self, target: TargetId, now: Instant) -> int:
        """Return the requests that a target stated a moment ago; 0 if it did not."""
        sample = self.fresh_sample(target, now)
        return sample.load.running + sample.load.waiting if sample is not None else 0

    def fresh_sample(self, target: TargetId, now: Instant) -> LoadSample | None:
        """Return the newest sample of a target if it is fresh."""
        sample = self.newest.get(target)
        is_fresh = sample is not None and now - sample.at < FRESH_FOR
        return sample if is_fresh else None

    def is_unusual(self, target: TargetId, now: Instant) -> bool:
        """Return whether a fresh sample differs from the mean so that peers want it."""
        ratio = self.pace_ratio(target, now)
        return ratio >= UNUSUAL_RATIO or ratio <= 1 / UNUSUAL_RATIO

    def is_slowed(self, target: TargetId, now: Instant) -> bool:
        """Return whether a target states a slowdown now."""
        return self.pace_ratio(target, now) >= UNUSUAL_RATIO

    def pace_ratio(self, target: TargetId, now: Instant) -> float:
        """Return a fresh stated pace relative to the target's mean; 1 without one."""
        sample = self.fresh_sample(target, now)
        if sample is None or sample.load.pace is None:
            return 1.0
        return bounded_pace(sample.load.pace) / self.mean_pace(target)

    def forget_target(self, target: TargetId, now: Instant) -> None:
        """Drop what a target stated before it restarted."""
        self.newest.pop(target, None)
        self.means.pop(target, None)
        self.changes.forget(target)
        self.forgotten_at[target] = now

    def prune_unlisted(self, listed: Collection[TargetId]) -> None:
        """Drop what is known of targets that are no longer listed."""
        for known in (
            self.newest,
            self.means,
            self.forgotten_at,
            self.changes.numbers,
        ):
            for target in [t for t in known if t not in listed]:
                del known[target]


def bounded_pace(pace: float) -> float:
    """Return a stated pace within the bounds of those in use."""
    return min(MAX_PACE, max(MIN_PACE, pace))
