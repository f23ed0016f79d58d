"""What hosts together have seen of targets' answers.

Load pattern: many hosts, each of which sends a target a request now and then. A target
that fails part of its requests, or breaks connections, fails several at each host until
each has noticed by itself. Hosts therefore tell one another how requests ended at
targets that fail, and judge them by all of that.

Only what a target itself did counts, not that it could not be reached: a broken path of
one host must not condemn a target for all. It takes failures at more than one host.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .clock import Instant, seconds
from .names import HostId, TargetId

HALF_LIFE = seconds(4)
"""Half-life of what was seen: several digests of a large fleet, and short beside the
trouble of a target."""

PEER_EXPIRY = seconds(6)
"""How long what a silent peer told counts."""

MIN_FAILURES_TO_REPORT = 0.5
"""Failures, over all hosts, from which hosts tell what they saw of a target."""

MIN_FAILURES = 3.0
"""Failures, over all hosts, below which nothing is concluded."""

MIN_WITNESSES = 2
"""Hosts that must have seen failures."""

MAX_FAILURE_SHARE = 0.3
"""Share of failures above which a target is left out by all hosts."""


@dataclass(frozen=True, slots=True)
class Outcomes:
    """How many requests went well and failed at a target, the older the less.

    Parameters
    ----------
    witnesses : int
        Hosts whose outcomes these are, of those at which requests failed.
    """

    good: float = 0.0
    failed: float = 0.0
    witnesses: int = 1

    def decayed(self, by: float) -> "Outcomes":
        """Return what is left after some half-lives."""
        part = math.exp2(-by)
        return Outcomes(self.good * part, self.failed * part, self.witnesses)

    def with_added(self, good: float, failed: float) -> "Outcomes":
        """Return these with some more."""
        return Outcomes(self.good + good, self.failed + failed, self.witnesses)


NO_OUTCOMES = Outcomes()
TimedOutcomes = tuple[Outcomes, Instant]


def sum_outcomes(seen: Collection[Outcomes]) -> Outcomes:
    """Return what several hosts saw as one."""
    return Outcomes(
        round(sum(o.good for o in seen), 2),
        round(sum(o.failed for o in seen), 2),
        sum(o.witnesses for o in seen if o.failed >= MIN_FAILURES_TO_REPORT),
    )


@dataclass(slots=True)
class OutcomeTally:
    """The outcomes that one host and its peers saw.

    Parameters
    ----------
    told : dict
        What peers told of each target, and when. Kept by target, as most targets are
        told of by nobody, and each choice asks for all of them.
    """

    own: dict[TargetId, TimedOutcomes] = field(default_factory=dict)
    reported: dict[TargetId, dict[HostId, TimedOutcomes]] = field(default_factory=dict)

    def record_outcome(
        self, target: TargetId, now: Instant, good: float = 0.0, failed: float = 0.0
    ) -> None:
        """Count one request's end."""
        self.own[target] = (
            self.own_outcomes(target, now).with_added(good, failed),
            now,
        )

    def own_outcomes(self, target: TargetId, now: Instant) -> Outcomes:
        """Return what this host saw of a target."""
        outcomes, at = self.own.get(target, (NO_OUTCOMES, now))
        return outcomes.decayed((now - at) / HALF_LIFE)

    def apply_peer_outcomes(
        self, host: HostId, told: Mapping[TargetId, Outcomes], now: Instant
    ) -> None:
        """Take what a peer tells; it replaces what it told before."""
        if told or self.reported:
            self.forget_peer(host)
        for target, outcomes in told.items():
            self.reported.setdefault(target, {})[host] = (outcomes, now)

    def apply_fleet_outcomes(
        self, host: HostId, told: Mapping[TargetId, Outcomes], now: Instant
    ) -> None:
        """Take from one peer what all others saw."""
        self.reported.clear()
        self.apply_peer_outcomes(host, told, now)

    def summed_outcomes(
        self, hosts: Collection[HostId], now: Instant
    ) -> dict[TargetId, Outcomes]:
        """Return what this host and some peers saw together of targets that fail."""
        found = {}
        for target in sorted(self.own.keys() | self.reported.keys()):
            mine = self.own_outcomes(target, now)
            if not self.should_report(target, mine, now):
                continue
            found[target] = sum_outcomes(self.outcomes_by_host(target, now, hosts))
        return found

    def forget_peer(self, host: HostId) -> None:
        """Drop what a peer told."""
        for target in tuple(self.reported):
            by_host = self.reported[target]
            by_host.pop(host, None)
            if not by_host:
                del self.reported[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop what is known of a target that started again or is gone."""
        self.own.pop(target, None)
        self.reported.pop(target, None)

    def outcomes_by_host(
        self, target: TargetId, now: Instant, hosts: Collection[HostId] | None = None
    ) -> list[Outcomes]:
        """Return what each host saw of a target that tells of it, this one first.

        Parameters
        ----------
        hosts : collection of HostId or None
            The peers to count; None for all.
        """
        found = [self.own_outcomes(target, now)]
        for host, (outcomes, at) in self.reported.get(target, {}).items():
            if now - at < PEER_EXPIRY and (hosts is None or host in hosts):
                found.append(outcomes.decayed((now - at) / HALF_LIFE))
        return found

    def outcomes_to_report(self, now: Instant) -> dict[TargetId, Outcomes]:
        """Return what this host saw of targets at which requests fail anywhere.

        Hosts at which all went well tell that, too, once they hear of failures.
        """
        failing = {
            t
            for t, (seen, _) in self.own.items()
            if seen.failed >= MIN_FAILURES_TO_REPORT
        }
        found = {}
        for target in sorted(failing | self.reported.keys()):
            seen = self.own_outcomes(target, now)
            if (seen.good or seen.failed) and self.should_report(target, seen, now):
                found[target] = Outcomes(round(seen.good, 2), round(seen.failed, 2))
        return found

    def should_report(self, target: TargetId, seen: Outcomes, now: Instant) -> bool:
        """Return whether enough failed at a target, over all hosts, to tell of it.

        Counts no further than it must, as each digest asks for each target.
        """
        failed = seen.failed
        for outcomes, at in self.reported.get(target, {}).values():
            if failed >= MIN_FAILURES_TO_REPORT:
                break
            if now - at < PEER_EXPIRY:
                failed += outcomes.failed * math.exp2(-((now - at) / HALF_LIFE))
        return failed >= MIN_FAILURES_TO_REPORT

    def is_excluded(self, target: TargetId, now: Instant) -> bool:
        """Return whether hosts together have seen too much fail at a target."""
        if target not in self.reported:
            # Failures at one host alone condemn nothing. Each choice asks for each
            # target, so that most answers must cost nothing.
            return False
        seen = self.outcomes_by_host(target, now)
        failed = sum(o.failed for o in seen)
        if failed < MIN_FAILURES:
            return False
        if (
            sum(o.witnesses for o in seen if o.failed >= MIN_FAILURES_TO_REPORT)
            < MIN_WITNESSES
        ):
            return False
        return failed > MAX_FAILURE_SHARE * (failed + sum(o.good for o in seen))
