"""Which targets to trust, judged by what became of this host's own requests.

Health answers of a target are hints at best: a target may fail requests while it says
that it is well. A target whose requests fail is left out for a while that doubles, then
tried with one request at a time. If too many of a pool fail their requests, all are
used: the fault is then more likely on the way than in every target. Targets that cannot
be reached do not count there: while a data centre is cut off, its hosts serve with the
few that they reach. Counted, four attempts in a row went to unreachable targets and the
request was refused (201 such attempts in a cut of 5.6 s).
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
    """Return a number from 0 to 1 that parts the turns of hosts."""
    digest = blake2b(host.encode(), digest_size=4).digest()
    return int.from_bytes(digest, "big") / (1 << 32)


class AttemptResult(Enum):
    """What one attempt said of its target."""

    SUCCEEDED = "good"
    REJECTED = "rejected"
    FAILED = "failed"
    TIMED_OUT = "silent"
    UNREACHABLE = "unreachable"
    CONNECTION_LOST = "gone"


TIMEOUT_WEIGHT = 0.5
"""How much a request whose time ran out counts against its target: it may have been the
request. A target that is gone shows by connections that cannot be opened."""


@dataclass(frozen=True, slots=True)
class HealthPolicy:
    """When a target is left out.

    Parameters
    ----------
    first_pause, longest_pause : timedelta
        How long a target is left out at first, and at most. The first is about the time
        that a crashed process takes to restart.
    failure_memory : float
        Weight of the past in the rate of failures at each new outcome; 0.8 looks back
        on about five requests, as many as one host sends a target in a few seconds.
    tolerated : float
        Rate of failures above which a target is left out.
    full_for : timedelta
        How long a target that rejected a request counts as full.
    shared_pause : timedelta
        How often one host after the other tries a target that hosts together left out.
    least_usable : float
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
    """What this host remembers of one target."""

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
    """Records of all targets.

    Parameters
    ----------
    turn : float
        From 0 to 1, where this host comes among those that try a target in turn.
    """

    policy: HealthPolicy = field(default_factory=HealthPolicy)
    records: dict[TargetId, TargetHealthRecord] = field(default_factory=dict)
    tally: OutcomeTally = field(default_factory=OutcomeTally)
    trial_turn: float = 0.0
    host_count: int = 1

    def get_record(self, target: TargetId) -> TargetHealthRecord:
        """Return the record of a target."""
        return self.records.setdefault(target, TargetHealthRecord())

    def is_usable(self, target: TargetId, now: Instant) -> bool:
        """Return whether a request may go to a target now."""
        if not self.is_allowed_by_shared_outcomes(target, now):
            return False
        record = self.records.get(target)
        if record is None:
            return True
        if now < record.excluded_until:
            return False
        return not (record.is_on_trial and record.has_trial_running)

    def is_allowed_by_shared_outcomes(self, target: TargetId, now: Instant) -> bool:
        """Return whether hosts together trust a target, or it is this one's to try."""
        if not self.tally.is_excluded(target, now):
            if target in self.records:
                self.records[target].shared_trial_at = None
            return True
        record = self.get_record(target)
        if record.shared_trial_at is None:
            round_s = self.policy.shared_trial_interval * self.host_count
            record.shared_trial_at = now + round_s * self.trial_turn
        return now >= record.shared_trial_at

    def usable_targets(
        self, targets: Iterable[TargetId], now: Instant
    ) -> frozenset[TargetId]:
        """Return the usable targets of a pool, or all reachable if hardly any is."""
        everything = frozenset(targets)
        chosen = frozenset(t for t in everything if self.is_usable(t, now))
        reachable = chosen | {t for t in everything if not self.is_unreachable(t)}
        if len(chosen) < self.policy.min_usable_share * len(reachable):
            return reachable
        return chosen or everything

    def is_unreachable(self, target: TargetId) -> bool:
        """Return whether the last attempt could not open a connection to a target."""
        record = self.records.get(target)
        return record is not None and record.is_unreachable

    def is_full(self, target: TargetId, now: Instant) -> bool:
        """Return whether a target rejected a request a moment ago."""
        record = self.records.get(target)
        return record is not None and now < record.full_until

    def record_sent(self, target: TargetId) -> None:
        """Note that a request goes to a target."""
        record = self.get_record(target)
        record.has_trial_running = record.is_on_trial
        if record.shared_trial_at is not None:
            record.shared_trial_at += (
                self.policy.shared_trial_interval * self.host_count
            )

    def record_request_end(self, target: TargetId) -> None:
        """Note that a request is no longer there, whatever became of it.

        One that was a trial and showed nothing, as its caller left, makes way for
        another.
        """
        record = self.records.get(target)
        if record is not None:
            record.has_trial_running = False

    def record_result(
        self, target: TargetId, result: AttemptResult, sent_at: Instant, now: Instant
    ) -> bool:
        """Take what became of an attempt; return whether the target is now left out.

        Silence until a request's own time is over says nothing of a target that has
        answered others meanwhile: some requests take longer than they may.
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
        elif result is AttemptResult.TIMED_OUT:
            self.tally.record_outcome(target, now, failed=TIMEOUT_WEIGHT)
        return self.record_failure(record, result, now)

    def record_success(self, record: TargetHealthRecord, now: Instant) -> None:
        """Take a good answer."""
        record.answered_at = now
        record.failure_rate *= self.policy.failure_decay
        record.is_on_trial = False
        if record.failure_rate < self.policy.max_failure_rate / 2:
            record.pauses = 0

    def record_failure(
        self, record: TargetHealthRecord, result: AttemptResult, now: Instant
    ) -> bool:
        """Take a failure; return whether the target is now left out."""
        memory = self.policy.failure_decay
        weight = TIMEOUT_WEIGHT if result is AttemptResult.TIMED_OUT else 1.0
        record.failure_rate = record.failure_rate * memory + (1 - memory) * weight
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
        """Leave a target out, for longer each time."""
        if now < record.excluded_until:
            return
        pause = self.policy.first_pause * 2**record.pauses
        record.excluded_until = now + min(pause, self.policy.longest_pause)
        record.pauses = min(record.pauses + 1, 8)
        record.is_on_trial = True

    def forget_target(self, target: TargetId) -> None:
        """Drop the record of a target that started again."""
        self.records.pop(target, None)
        self.tally.forget_target(target)

    def prune_unlisted(self, listed: frozenset[TargetId]) -> None:
        """Drop the records of targets that are no longer listed."""
        for target in tuple(self.records):
            if target not in listed:
                self.forget_target(target)
