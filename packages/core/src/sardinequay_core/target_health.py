"""Passive health checks: judge targets by the results of this host's own requests.

A target's own health endpoint is only a hint: a target may fail requests while it
reports that it is healthy. A target whose requests fail is excluded for a pause that
doubles each time, then tried with one request at a time. If too many targets of a pool
fail, all of them are used: the fault is then more likely on the network path than in
every target. Unreachable targets do not count in that rule: while a data centre is cut
off, its hosts serve with the few targets that they reach. When they were counted, four
attempts in a row went to unreachable targets and the request was refused (201 such
attempts in a partition of 5.6 s).
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from hashlib import blake2b

from .clock import ZERO, Instant
from .names import HostId, TargetId
from .shared_outcomes import OutcomeTally


def trial_turn_of(host: HostId) -> float:
    """Map a host to a number from 0 to 1 that spreads the trials of hosts over time."""
    digest = blake2b(host.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / (1 << 32)


class AttemptResult(Enum):
    """Result of one attempt, as evidence about its target.

    FAILED stands for a failure that the target answered, BROKEN for a connection that
    broke instead.
    """

    SUCCEEDED = "good"
    REJECTED = "rejected"
    FAILED = "failed"
    BROKEN = "broken"
    TIMED_OUT = "silent"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "gone"


TIMEOUT_WEIGHT = 0.5
"""Weight of a timed-out request in its target's failure rate: the request itself may be
the cause. A target that is gone shows by connections that cannot be opened."""


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """Thresholds and durations for excluding targets.

    Parameters
    ----------
    first_pause, longest_pause : timedelta
        First and longest time for which a target is excluded. The first is about the
        time that a crashed process takes to restart.
    failure_decay : float
        Weight of the old failure rate at each new result; 0.8 averages over about five
        requests, as many as one host sends a target in a few seconds.
    max_failure_rate : float
        Failure rate above which a target is excluded.
    full_duration : timedelta
        How long a target that rejected a request counts as full.
    shared_trial_interval : timedelta
        Interval between the trials of two hosts at a target that all hosts exclude by
        their shared outcomes.
    min_usable_share : float
        Share of the reachable targets of a pool below which all of them are used.
    """

    first_pause: timedelta = timedelta(seconds=0.5)
    longest_pause: timedelta = timedelta(seconds=4)
    failure_decay: float = 0.8
    max_failure_rate: float = 0.35
    full_duration: timedelta = timedelta(seconds=0.1)
    shared_trial_interval: timedelta = timedelta(seconds=1)
    min_usable_share: float = 0.34


@dataclass(slots=True)
class TargetHealthRecord:
    """Health state that this host keeps for one target."""

    failure_rate: float = 0.0
    pauses: int = 0
    excluded_until: Instant = ZERO
    full_until: Instant = ZERO
    answered_at: Instant = ZERO
    is_unreachable: bool = False
    is_on_trial: bool = False
    has_trial_running: bool = False
    shared_trial_at: Instant | None = None


@dataclass(slots=True)
class TargetHealth:
    """Health state of all targets, by this host's requests and its peers' reports.

    Parameters
    ----------
    trial_turn : float
        Position of this host, from 0 to 1, in the order in which hosts try a target
        that all of them exclude.
    """

    policy: HealthPolicy = field(default_factory=HealthPolicy)
    records: dict[TargetId, TargetHealthRecord] = field(default_factory=dict)
    tally: OutcomeTally = field(default_factory=OutcomeTally)
    trial_turn: float = 0.0
    host_count: int = 1

    def get_record(self, target: TargetId) -> TargetHealthRecord:
        """Return the record of a target, created if it is missing."""
        return self.records.setdefault(target, TargetHealthRecord())

    def is_usable(self, target: TargetId, now: Instant) -> bool:
        """Return whether a request may be sent to a target now."""
        if not self.is_allowed_by_shared_outcomes(target, now):
            return False
        record = self.records.get(target)
        if record is None:
            return True
        if now < record.excluded_until:
            return False
        return not (record.is_on_trial and record.has_trial_running)

    def is_allowed_by_shared_outcomes(self, target: TargetId, now: Instant) -> bool:
        """Return whether peers' reports allow a target, or this host's trial is due."""
        if not self.tally.is_excluded(target, now):
            if target in self.records:
                self.records[target].shared_trial_at = None
            return True
        record = self.get_record(target)
        if record.shared_trial_at is None:
            trial_cycle = self.policy.shared_trial_interval * self.host_count
            record.shared_trial_at = now + trial_cycle * self.trial_turn
        return now >= record.shared_trial_at

    def usable_targets(
        self, targets: Iterable[TargetId], now: Instant
    ) -> frozenset[TargetId]:
        """Return a pool's usable targets, or all reachable if too few are usable."""
        listed = frozenset(targets)
        usable = frozenset(t for t in listed if self.is_usable(t, now))
        reachable = usable | {t for t in listed if not self.is_unreachable(t)}
        if len(usable) < self.policy.min_usable_share * len(reachable):
            return reachable
        return usable or listed

    def is_unreachable(self, target: TargetId) -> bool:
        """Return whether the last attempt could not open a connection to a target."""
        record = self.records.get(target)
        return record is not None and record.is_unreachable

    def is_full(self, target: TargetId, now: Instant) -> bool:
        """Return whether a target rejected a request a moment ago."""
        record = self.records.get(target)
        return record is not None and now < record.full_until

    def record_sent(self, target: TargetId) -> None:
        """Record that a request is sent to a target; it may be the target's trial."""
        record = self.get_record(target)
        record.has_trial_running = record.is_on_trial
        if record.shared_trial_at is not None:
            record.shared_trial_at += (
                self.policy.shared_trial_interval * self.host_count
            )

    def record_request_end(self, target: TargetId) -> None:
        """Record that a request has left a target, whatever its result.

        A trial request that showed no result, because its caller disconnected, makes
        way for another trial.
        """
        record = self.records.get(target)
        if record is not None:
            record.has_trial_running = False

    def record_result(
        self, target: TargetId, result: AttemptResult, sent_at: Instant, now: Instant
    ) -> bool:
        """Record the result of an attempt; return whether its target is now excluded.

        A timeout says nothing about a target that has answered other requests since the
        attempt began: some requests take longer than their own deadline allows.

        Peers hear only of what the target itself has answered. A failure without an
        answer may be one of this host's path to it, until `confirm_failure`.
        """
        record = self.get_record(target)
        record.has_trial_running = False
        record.is_unreachable = result is AttemptResult.UNREACHABLE
        if result is AttemptResult.REJECTED:
            record.full_until = now + self.policy.full_duration
            record.answered_at = now
            return False
        if result is AttemptResult.SUCCEEDED:
            self.tally.record_outcome(target, now, good=1.0)
            self.record_success(record, now)
            return False
        if result is AttemptResult.TIMED_OUT and record.answered_at > sent_at:
            return False
        if result is AttemptResult.FAILED:
            self.tally.record_outcome(target, now, failed=1.0)
        return self.record_failure(record, result, now)

    def confirm_failure(
        self, target: TargetId, result: AttemptResult, sent_at: Instant, now: Instant
    ) -> None:
        """Let peers hear of a failure without an answer: the path to the target holds.

        Parameters
        ----------
        result : AttemptResult
            `BROKEN` or `TIMED_OUT`. A target that has answered other requests since the
            attempt began did not fail by a timeout, as in `record_result`.
        """
        is_timeout = result is AttemptResult.TIMED_OUT
        if is_timeout and self.get_record(target).answered_at > sent_at:
            return
        weight = TIMEOUT_WEIGHT if is_timeout else 1.0
        self.tally.record_outcome(target, now, failed=weight)

    def forget_own_failures(self, target: TargetId) -> None:
        """Drop what failed attempts of this host have shown of a target.

        They are of no more use once its path to the target was lost or regained.
        """
        record = self.records.get(target)
        if record is not None:
            record.failure_rate = 0.0
            record.pauses = 0
            record.excluded_until = ZERO
            record.is_unreachable = False
            record.is_on_trial = False

    def record_success(self, record: TargetHealthRecord, now: Instant) -> None:
        """Lower a target's failure rate after a successful attempt."""
        record.answered_at = now
        record.failure_rate *= self.policy.failure_decay
        record.is_on_trial = False
        if record.failure_rate < self.policy.max_failure_rate / 2:
            record.pauses = 0

    def record_failure(
        self, record: TargetHealthRecord, result: AttemptResult, now: Instant
    ) -> bool:
        """Raise a target's failure rate; return whether the target is now excluded."""
        decay = self.policy.failure_decay
        weight = TIMEOUT_WEIGHT if result is AttemptResult.TIMED_OUT else 1.0
        record.failure_rate = record.failure_rate * decay + (1 - decay) * weight
        is_certain = result in (
            AttemptResult.UNREACHABLE,
            AttemptResult.CONNECTION_LOST,
        )
        if not (
            is_certain
            or record.is_on_trial
            or record.failure_rate > self.policy.max_failure_rate
        ):
            return False
        self.exclude_target(record, now)
        return True

    def exclude_target(self, record: TargetHealthRecord, now: Instant) -> None:
        """Exclude a target for a pause that doubles each time."""
        if now < record.excluded_until:
            return
        pause = self.policy.first_pause * 2**record.pauses
        record.excluded_until = now + min(pause, self.policy.longest_pause)
        record.pauses = min(record.pauses + 1, 8)
        record.is_on_trial = True

    def forget_target(self, target: TargetId) -> None:
        """Drop the record of a target that has restarted."""
        self.records.pop(target, None)
        self.tally.forget_target(target)

    def prune_unlisted(self, listed: frozenset[TargetId]) -> None:
        """Drop the records of targets that are no longer listed."""
        for target in tuple(self.records):
            if target not in listed:
                self.forget_target(target)
