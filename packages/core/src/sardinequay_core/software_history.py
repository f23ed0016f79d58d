"""Which versions of their software the targets of a pool have had lately.

A stream is resumed only by targets of the version that started it. If a pool has had a
single version for the lifetime of a stream, that is the version of every stream.

Hosts see a change of the list of targets at different times. So a version that is new
is not used at once: when a host begins to use it, no other host can rely on a list
without it any more (`NEW_VERSION_DELAY` exceeds `MAX_VIEW_AGE`).
"""

from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, replace
from datetime import timedelta

from .catalogue import PublishedTarget
from .clock import Instant, seconds
from .names import PoolName, SoftwareVersion

MAX_VIEW_AGE = seconds(3)
"""Age of the list of targets up to which conclusions are drawn from what it lacks."""

MIN_VIEW_STEP = seconds(0.2)
"""Views that are closer together are left out: each one costs a look at all targets."""

NEW_VERSION_DELAY = seconds(4)
"""Time from the first sight of a version until streams that may be resumed begin on
it, unless all targets have it."""

MIN_STREAM_LIFETIME = seconds(10)
STREAM_LIFETIME_TIMEOUTS = 2
"""Longest life of a stream over all attempts of its caller, as a multiple of the
longest timeout of a route."""

ALWAYS = timedelta.max
"""Age of a history that is complete from the start of the whole system."""


@dataclass(frozen=True, slots=True)
class Sighting:
    """When targets with a version were listed first and last."""

    first: Instant
    last: Instant


@dataclass(frozen=True, slots=True)
class VersionSeen:
    """A version in a report to another host, whose clock has another origin.

    Parameters
    ----------
    first_age_s, last_age_s : float
        Time since it was listed first and last, in seconds.
    """

    pool: PoolName
    version: SoftwareVersion
    first_age_s: float
    last_age_s: float


@dataclass(frozen=True, slots=True)
class HistoryReport:
    """What a host knows of versions, for another host.

    Parameters
    ----------
    complete_s : float
        For how long no version has been missed, in seconds; 0 if that is unknown.
    view_age_s : float
        Age of the list of targets, in seconds.
    """

    complete_s: float
    view_age_s: float
    versions: tuple[VersionSeen, ...] = ()


class SoftwareHistory:
    """Versions of the targets' software by pool, and from when on none was missed.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time, so that there was no version
        before.
    """

    def __init__(self, is_first_start: bool = False) -> None:
        self.is_first_start = is_first_start
        self.sightings: dict[tuple[PoolName, SoftwareVersion], Sighting] = {}
        self.viewed_at: Instant | None = None
        self.followed_since: Instant | None = None
        self.complete_for: timedelta | None = None
        """How long before `followed_since` the history is complete, too."""

    def apply_view(
        self, targets: Iterable[PublishedTarget], viewed_at: Instant
    ) -> None:
        """Apply the list of targets as it was at some time.

        After a gap, targets may have been listed and removed without being seen.
        """
        if self.viewed_at is not None and viewed_at < self.viewed_at + MIN_VIEW_STEP:
            return
        if self.viewed_at is None:
            self.followed_since = viewed_at
            self.complete_for = ALWAYS if self.is_first_start else None
        elif viewed_at - self.viewed_at > MAX_VIEW_AGE:
            self.followed_since = viewed_at
            self.complete_for = None
        self.viewed_at = viewed_at
        self.record_listed(targets, viewed_at)

    def record_listed(self, targets: Iterable[PublishedTarget], at: Instant) -> None:
        """Record that targets are listed, maybe newer than the last whole view."""
        for published in targets:
            key = (published.target.pool, published.software_version)
            known = self.sightings.get(key)
            first, last = (known.first, known.last) if known else (at, at)
            self.sightings[key] = Sighting(min(first, at), max(last, at))

    def forget_before(self, oldest: Instant) -> None:
        """Drop versions that were listed last before some time."""
        self.sightings = {k: s for k, s in self.sightings.items() if s.last >= oldest}

    def is_complete(self, now: Instant, lifetime: timedelta) -> bool:
        """Return whether no version of the last lifetime of a stream was missed."""
        since, viewed_at = self.followed_since, self.viewed_at
        if since is None or viewed_at is None or now - viewed_at > MAX_VIEW_AGE:
            return False
        return (now - since) + min(self.complete_for or timedelta(), lifetime) >= (
            lifetime
        )

    def sole_version(
        self, pool: PoolName, now: Instant, lifetime: timedelta
    ) -> SoftwareVersion | None:
        """Return the version of each stream that a pool may have begun, if it is one.

        Parameters
        ----------
        lifetime : timedelta
            Longest life of a stream.
        """
        if not self.is_complete(now, lifetime):
            return None
        recent = [
            version
            for (name, version), sighting in self.sightings.items()
            if name == pool and sighting.last >= now - lifetime - MAX_VIEW_AGE
        ]
        return recent[0] if len(recent) == 1 else None

    def versions_to_begin_on(
        self, pool: PoolName, available: Collection[SoftwareVersion], now: Instant
    ) -> frozenset[SoftwareVersion]:
        """Return the versions on which streams that may be resumed begin now.

        Those are the versions that all hosts know by now, or else the oldest.
        """
        first = {
            version: sighting.first
            for version in available
            if (sighting := self.sightings.get((pool, version))) is not None
        }
        oldest = min(first.values(), default=now)
        known_to_all = max(oldest, now - NEW_VERSION_DELAY)
        return frozenset(v for v, at in first.items() if at <= known_to_all)

    def report(self, now: Instant) -> HistoryReport | None:
        """Return what this host knows, for another host; None without a list."""
        since, viewed_at = self.followed_since, self.viewed_at
        if since is None or viewed_at is None:
            return None
        before = self.complete_for
        complete = ALWAYS if before is ALWAYS else now - since + (before or timedelta())
        return HistoryReport(
            complete.total_seconds(),
            (now - viewed_at).total_seconds(),
            tuple(
                VersionSeen(
                    pool,
                    version,
                    (now - sighting.first).total_seconds(),
                    (now - sighting.last).total_seconds(),
                )
                for (pool, version), sighting in self.sightings.items()
            ),
        )

    def merge(self, report: HistoryReport, now: Instant) -> bool:
        """Extend the history by another host's; return whether that was possible.

        The other host must have followed the list until this one began to.
        """
        since = self.followed_since
        if since is None or now - seconds(report.view_age_s) < since:
            return False
        for seen in report.versions:
            key = (seen.pool, seen.version)
            first = now - seconds(seen.first_age_s)
            last = now - seconds(seen.last_age_s)
            known = self.sightings.get(key, Sighting(first, last))
            self.sightings[key] = replace(
                known, first=min(known.first, first), last=max(known.last, last)
            )
        if report.complete_s >= ALWAYS.total_seconds():
            self.complete_for = ALWAYS
            return True
        complete_before = seconds(report.complete_s) - (now - since)
        self.complete_for = max(self.complete_for or timedelta(), complete_before)
        return True


def stream_lifetime(timeouts: Sequence[timedelta]) -> timedelta:
    """Return the longest life of a stream, by the timeouts of all routes."""
    longest = max(timeouts, default=timedelta())
    return max(MIN_STREAM_LIFETIME, STREAM_LIFETIME_TIMEOUTS * longest)
