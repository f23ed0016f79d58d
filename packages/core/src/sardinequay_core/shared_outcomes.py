"""Outcomes of requests at targets, shared between hosts to find failing targets.

Load pattern: many hosts, each of which sends a target a request now and then. A target
that fails part of its requests, or breaks connections, would fail several requests of
each host until every host has found out by itself. Hosts therefore report to each other
how requests ended at targets that fail, and judge targets by the sum.

Only failures of the target itself count, not failures to reach it: one host's broken
network path must not exclude a target for all hosts. Failures at more than one host are
required.
"""

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from .clock import Instant, seconds
from .names import HostId, TargetId

HALF_LIFE = seconds(4)
"""Half-life of an outcome: several digests of a large fleet, and short compared with
the duration of a target's fault."""

PEER_EXPIRY = seconds(6)
"""How long the last report of a silent peer counts."""

MIN_FAILURES_TO_REPORT = 0.5
"""Failures, summed over all hosts, from which hosts report their outcomes at a
target."""

MIN_FAILURES = 3.0
"""Failures, summed over all hosts, below which a target is not excluded."""

MIN_WITNESSES = 2
"""Number of hosts that must have seen failures before a target is excluded."""

MAX_FAILURE_SHARE = 0.3
"""Share of failures above which all hosts exclude a target."""


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Decayed counts of requests that succeeded and failed at a target.

    Parameters
    ----------
    witnesses : int
        Number of hosts that saw failures, among those whose outcomes are summed here.
    """

    good: float = 0.0
    failed: float = 0.0
    witnesses: int = 1

    def decayed(self, half_lives: float) -> "Outcomes":
        """Return the counts after a number of half-lives."""
        factor = math.exp2(-half_lives)
        return Outcomes(self.good * factor, self.failed * factor, self.witnesses)

    def with_added(self, good: float, failed: float) -> "Outcomes":
        """Return the counts with more outcomes added."""
        return Outcomes(self.good + good, self.failed + failed, self.witnesses)


NO_OUTCOMES = Outcomes()
TimedOutcomes = tuple[Outcomes, Instant]


def sum_outcomes(outcomes: Collection[Outcomes]) -> Outcomes:
    """Return the sum of the outcomes of several hosts."""
    return Outcomes(
        round(sum(o.good for o in outcomes), 2),
        round(sum(o.failed for o in outcomes), 2),
        sum(o.witnesses for o in outcomes if o.failed >= MIN_FAILURES_TO_REPORT),
    )


@dataclass(slots=True)
class OutcomeTally:
    """Outcomes at all targets that this host and its peers saw.

    Parameters
    ----------
    reported : dict
        Peers' outcomes and the time of each report, by target. The target comes first,
        since most targets are in no report and each choice looks up all of them.
    """

    own: dict[TargetId, TimedOutcomes] = field(default_factory=dict)
    reported: dict[TargetId, dict[HostId, TimedOutcomes]] = field(default_factory=dict)

    def record_outcome(
        self, target: TargetId, now: Instant, good: float = 0.0, failed: float = 0.0
    ) -> None:
        """Count the end of one request."""
        self.own[target] = (
            self.own_outcomes(target, now).with_added(good, failed),
            now,
        )

    def own_outcomes(self, target: TargetId, now: Instant) -> Outcomes:
        """Return the decayed outcomes that this host saw at a target."""
        outcomes, recorded_at = self.own.get(target, (NO_OUTCOMES, now))
        return outcomes.decayed((now - recorded_at) / HALF_LIFE)

    def apply_peer_outcomes(
        self, host: HostId, report: Mapping[TargetId, Outcomes], now: Instant
    ) -> None:
        """Replace the outcomes that a peer reported before by those of a new report."""
        if report or self.reported:
            self.forget_peer(host)
        for target, outcomes in report.items():
            self.reported.setdefault(target, {})[host] = (outcomes, now)

    def apply_fleet_outcomes(
        self, host: HostId, report: Mapping[TargetId, Outcomes], now: Instant
    ) -> None:
        """Replace the reports of all peers by the hub's sum over all other hosts."""
        self.reported.clear()
        self.apply_peer_outcomes(host, report, now)

    def summed_outcomes(
        self, hosts: Collection[HostId], now: Instant
    ) -> dict[TargetId, Outcomes]:
        """Return the sums for this host and the given peers, of targets to report."""
        sums = {}
        for target in sorted(self.own.keys() | self.reported.keys()):
            own = self.own_outcomes(target, now)
            if not self.should_report(target, own, now):
                continue
            sums[target] = sum_outcomes(self.outcomes_by_host(target, now, hosts))
        return sums

    def forget_peer(self, host: HostId) -> None:
        """Drop the outcomes that a peer reported."""
        for target in tuple(self.reported):
            by_host = self.reported[target]
            by_host.pop(host, None)
            if not by_host:
                del self.reported[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop all outcomes at a target that has restarted or is gone."""
        self.own.pop(target, None)
        self.reported.pop(target, None)

    def outcomes_by_host(
        self, target: TargetId, now: Instant, hosts: Collection[HostId] | None = None
    ) -> list[Outcomes]:
        """Return each reporting host's decayed outcomes at a target, this host's first.

        Parameters
        ----------
        hosts : collection of HostId or None
            The peers to include; None for all.
        """
        found = [self.own_outcomes(target, now)]
        for host, (outcomes, reported_at) in self.reported.get(target, {}).items():
            if now - reported_at < PEER_EXPIRY and (hosts is None or host in hosts):
                found.append(outcomes.decayed((now - reported_at) / HALF_LIFE))
        return found

    def outcomes_to_report(self, now: Instant) -> dict[TargetId, Outcomes]:
        """Return this host's outcomes at targets where requests fail at any host.

        Hosts at which all requests succeeded report that, too, once peers report
        failures.
        """
        failing = {
            t
            for t, (own, _) in self.own.items()
            if own.failed >= MIN_FAILURES_TO_REPORT
        }
        found = {}
        for target in sorted(failing | self.reported.keys()):
            own = self.own_outcomes(target, now)
            if (own.good or own.failed) and self.should_report(target, own, now):
                found[target] = Outcomes(round(own.good, 2), round(own.failed, 2))
        return found

    def should_report(self, target: TargetId, own: Outcomes, now: Instant) -> bool:
        """Return whether failures at a target, over all hosts, are enough to report.

        The sum stops at the threshold, since each digest calls this for each target.
        """
        failed = own.failed
        for outcomes, reported_at in self.reported.get(target, {}).values():
            if failed >= MIN_FAILURES_TO_REPORT:
                break
            if now - reported_at < PEER_EXPIRY:
                failed += outcomes.failed * math.exp2(
                    -((now - reported_at) / HALF_LIFE)
                )
        return failed >= MIN_FAILURES_TO_REPORT

    def is_excluded(self, target: TargetId, now: Instant) -> bool:
        """Return whether the outcomes of all hosts together exclude a target."""
        if target not in self.reported:
            # Failures at one host alone exclude no target. Each choice checks each
            # target, so the common case has to be cheap.
            return False
        by_host = self.outcomes_by_host(target, now)
        failed = sum(o.failed for o in by_host)
        if failed < MIN_FAILURES:
            return False
        if (
            sum(o.witnesses for o in by_host if o.failed >= MIN_FAILURES_TO_REPORT)
            < MIN_WITNESSES
        ):
            return False
        return failed > MAX_FAILURE_SHARE * (failed + sum(o.good for o in by_host))
