"""Quarantine of request features that crash the targets which run them.

Load pattern: requests that crash each target which runs them come again, under new
request ids, at any host. Health checks of targets alone send such a request to the next
target each time, and each crash takes down the other requests there. So the end of a
target counts against each feature of the requests that were running there, hosts report
these ends to each other, and a feature that was present at several is held back.

Most features at an end are innocent: they only ran beside the one at fault. An answer
clears them; what several ends have in common tells the rest apart (`blame`); and after
a short hold a feature is tried once more.
"""

from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant
from .features import is_part
from .names import FeatureId, TargetId
from .sound_runs import MAX_RUNS, SoundRuns


@dataclass(frozen=True, slots=True)
class QuarantinePolicy:
    """When a feature is held back, and for how long.

    Parameters
    ----------
    min_ends_to_hold : int
        Number of ends from which a content is held, or of rounds from which a part is.
        At one end, all requests on the target are suspects; the same feature at a
        second end is seldom a coincidence.
    min_ends_of_common : int
        The same for a common feature, which is on most targets when several end for
        another reason.
    common_runs : int
        Number of answered requests from which a feature is common.
    round_length : timedelta
        Ends of targets that ran a part within this time of one another are one round.
        Requests that share it are different, so many may be on their way at once, and
        targets that end together say little of it.
    first_hold : timedelta
        Duration of the hold at that number: until a target that ended has restarted, so
        that one more run meets a complete pool.
    long_hold : timedelta
        Duration after one more end, doubled for each further one. A fault in a target's
        program is not fixed sooner.
    part_long_hold : timedelta
        The same for a part, which holds back many requests if it is innocent. A part of
        most requests is held for `first_hold` only: while it is held, no answer can
        clear it.
    max_ends : int
        Number of ends kept of one feature, which also bounds the hold.
    same_end_span : timedelta
        Ends of one target and start within this span are one end, reported by several
        hosts. Unbounded where a target's id or start time distinguishes its
        incarnations.
    retention : timedelta
        How long a feature stays under suspicion after its hold.
    max_features : int
        Number of features kept; about 750 bytes each, 0.8 MB together.
    """

    min_ends_to_hold: int = 2
    min_ends_of_common: int = 4
    common_runs: int = 8
    round_length: timedelta = timedelta(seconds=0.5)
    first_hold: timedelta = timedelta(seconds=5)
    long_hold: timedelta = timedelta(minutes=10)
    part_long_hold: timedelta = timedelta(minutes=1)
    max_ends: int = 8
    same_end_span: timedelta = timedelta.max
    retention: timedelta = timedelta(hours=1)
    max_features: int = 1024


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """End of a target that was running a request with some feature.

    Parameters
    ----------
    incarnation : int
        Start time of the incarnation that ended, in Unix milliseconds; 0 if unknown.
    """

    target: TargetId
    incarnation: int
    at: Instant


@dataclass(slots=True)
class Suspicion:
    """Evidence against one feature.

    Parameters
    ----------
    cleared_at : timedelta or None
        When a request with the feature was last answered; earlier ends do not count.
    held_until : timedelta or None
        Until when the feature is held if all ends count; None if it never was. Stored,
        since each request looks it up and all are scanned twice a second, which takes
        17 ms when it is computed each time.
    change_number : int
        Number of the last change, in the sequence over all features.
    """

    ends: list[TargetEnd] = field(default_factory=list)
    cleared_at: Instant | None = None
    changed_at: Instant = ZERO
    held_until: Instant | None = None
    change_number: int = 0


@dataclass(slots=True)
class Quarantine:
    """Features under suspicion, as one host knows them.

    Hosts pass on what peers report. Each report may be lost, repeated or late.

    Parameters
    ----------
    sound_parts, sound_contents : SoundRuns
        Answered requests of this host; contents have a count of their own, since most
        occur once and would displace the parts.
    requested_parts : SoundRuns
        Requests of this host, answered or not, by part.
    requests : int
        Those of them that have parts; halved, like the former, at its limit.
    """

    policy: QuarantinePolicy = field(default_factory=QuarantinePolicy)
    suspicions: dict[FeatureId, Suspicion] = field(default_factory=dict)
    sound_parts: SoundRuns = field(default_factory=SoundRuns)
    sound_contents: SoundRuns = field(default_factory=SoundRuns)
    requested_parts: SoundRuns = field(default_factory=SoundRuns)
    requests: int = 0
    last_change_number: int = 0

    def record_target_end(
        self, feature: FeatureId, end: TargetEnd, now: Instant
    ) -> bool:
        """Record the end of a target that ran a feature; return whether it is new.

        Parameters
        ----------
        now : timedelta
            When this host received the report.
        """
        suspicion = self.suspicions.get(feature)
        if suspicion is not None:
            if suspicion.cleared_at is not None and end.at <= suspicion.cleared_at:
                return False
            if self.merge_known_end(feature, suspicion, end):
                return False
        else:
            self.evict_least_suspect()
            suspicion = self.suspicions[feature] = Suspicion()
        suspicion.ends.append(end)
        suspicion.ends.sort(key=lambda e: e.at)
        self.drop_excess_ends(feature, suspicion.ends)
        self.record_change(feature, suspicion, now)
        return True

    def merge_known_end(
        self, feature: FeatureId, suspicion: Suspicion, end: TargetEnd
    ) -> bool:
        """Return whether an end is known already, and keep its earliest reported time.

        A report delayed by a partition or a frozen process arrives with the age that it
        had before, so its end seems later than it was. When such a report was taken for
        a second end, one end held the contents of its requests.
        """
        for index, other in enumerate(suspicion.ends):
            if self.is_same_end(end, other):
                if end.at < other.at:
                    suspicion.ends[index] = end
                    suspicion.ends.sort(key=lambda e: e.at)
                    suspicion.held_until = self.hold_expiry(feature, suspicion.ends)
                return True
        return False

    def is_same_end(self, end: TargetEnd, other: TargetEnd) -> bool:
        """Return whether two reports describe one end."""
        return (
            end.target == other.target
            and end.incarnation == other.incarnation
            and abs(end.at - other.at) < self.policy.same_end_span
        )

    def drop_excess_ends(self, feature: FeatureId, ends: list[TargetEnd]) -> None:
        """Drop ends beyond the number kept: first those that begin no round."""
        while len(ends) > self.policy.max_ends:
            starts = self.round_starts(feature, ends)
            excess = next((end for end in ends if end not in starts), ends[0])
            ends.remove(excess)

    def round_starts(
        self, feature: FeatureId, ends: Iterable[TargetEnd]
    ) -> list[TargetEnd]:
        """Return the ends that count against a feature, of ends in order of time."""
        length = self.policy.round_length if is_part(feature) else ZERO
        starts: list[TargetEnd] = []
        for end in ends:
            if not starts or end.at - starts[-1].at >= length:
                starts.append(end)
        return starts

    def record_sound_run(self, feature: FeatureId, at: Instant, now: Instant) -> bool:
        """Record an answered request; return whether its feature was under suspicion.

        Parameters
        ----------
        at : timedelta
            When the target began to answer.
        """
        self.sound_runs(feature).record(feature)
        return self.clear_feature(feature, at, now)

    def clear_feature(self, feature: FeatureId, at: Instant, now: Instant) -> bool:
        """Clear a feature whose request was answered or that an operator released.

        Returns whether the feature was under suspicion.
        """
        suspicion = self.suspicions.get(feature)
        if suspicion is None:
            return False
        if suspicion.cleared_at is not None and at <= suspicion.cleared_at:
            return False
        was_suspect = bool(suspicion.ends)
        suspicion.cleared_at = at
        suspicion.ends = [e for e in suspicion.ends if e.at > at]
        if was_suspect:
            self.record_change(feature, suspicion, now)
        return was_suspect

    def record_change(
        self, feature: FeatureId, suspicion: Suspicion, now: Instant
    ) -> None:
        """Assign the next change number, and recompute the hold."""
        self.last_change_number += 1
        suspicion.change_number = self.last_change_number
        suspicion.changed_at = now
        suspicion.held_until = self.hold_expiry(feature, suspicion.ends)

    def sound_runs(self, feature: FeatureId) -> SoundRuns:
        """Return the counts of answered requests that include a feature's."""
        return self.sound_parts if is_part(feature) else self.sound_contents

    def record_request(self, parts: Sequence[FeatureId]) -> None:
        """Count a request by its parts, before it is known whether it may run."""
        if not parts:
            return
        if self.requests >= MAX_RUNS:
            self.requests //= 2
            self.requested_parts.halve()
        self.requests += 1
        for part in parts:
            self.requested_parts.record(part)

    def is_in_most_requests(self, part: FeatureId) -> bool:
        """Return whether more than half of this host's requests have a part."""
        return 2 * self.requested_parts.count(part) > self.requests

    def is_common(self, feature: FeatureId) -> bool:
        """Return whether many requests with a feature were answered."""
        return self.sound_runs(feature).count(feature) >= self.policy.common_runs

    def ends_of(self, feature: FeatureId) -> tuple[TargetEnd, ...]:
        """Return the ends that count against a feature, the oldest first."""
        suspicion = self.suspicions.get(feature)
        return tuple(suspicion.ends) if suspicion is not None else ()

    def held_until(self, feature: FeatureId) -> Instant | None:
        """Return until when a feature is held; None if it never was."""
        suspicion = self.suspicions.get(feature)
        return suspicion.held_until if suspicion is not None else None

    def min_ends(self, feature: FeatureId) -> int:
        """Return the number of ends, or rounds, from which a feature is held."""
        if self.is_common(feature):
            return self.policy.min_ends_of_common
        return self.policy.min_ends_to_hold

    def hold_expiry(
        self, feature: FeatureId, ends: Sequence[TargetEnd]
    ) -> Instant | None:
        """Return until when ends, in order of time, hold a feature; None if too few."""
        starts = self.round_starts(feature, ends)
        extra_ends = len(starts) - self.min_ends(feature)
        if extra_ends < 0:
            return None
        hold = self.policy.first_hold
        if extra_ends and not self.is_in_most_requests(feature):
            policy = self.policy
            longer = policy.part_long_hold if is_part(feature) else policy.long_hold
            hold = longer * 2 ** (extra_ends - 1)
        return ends[-1].at + hold

    def remaining_hold(self, feature: FeatureId, now: Instant) -> timedelta:
        """Return how long a feature is still held; zero if it is not held."""
        until = self.held_until(feature)
        return max(ZERO, until - now) if until is not None else ZERO

    def is_suspect(self, feature: FeatureId) -> bool:
        """Return whether any end counts against a feature."""
        return bool(self.ends_of(feature))

    def held_features(self, now: Instant) -> tuple[FeatureId, ...]:
        """Return the features that are held if all ends count."""
        return tuple(
            feature
            for feature, suspicion in self.suspicions.items()
            if suspicion.held_until is not None and suspicion.held_until > now
        )

    def changed_since(self, number: int, limit: int) -> tuple[FeatureId, ...]:
        """Return features changed after a change number, the oldest change first."""
        if number >= self.last_change_number:
            return ()
        changed = [f for f, s in self.suspicions.items() if s.change_number > number]
        changed.sort(key=lambda f: self.suspicions[f].change_number)
        return tuple(changed[:limit])

    def evict_least_suspect(self) -> None:
        """Drop features with the fewest ends, the oldest first, until there is room."""
        while len(self.suspicions) >= self.policy.max_features:
            evicted = min(
                self.suspicions.items(),
                key=lambda item: (len(item[1].ends), item[1].changed_at),
            )
            del self.suspicions[evicted[0]]

    def expire_suspicions(self, now: Instant) -> None:
        """Drop features without reports for longer than the retention."""
        for feature, suspicion in tuple(self.suspicions.items()):
            until = suspicion.held_until or suspicion.changed_at
            if now - max(until, suspicion.changed_at) > self.policy.retention:
                del self.suspicions[feature]
