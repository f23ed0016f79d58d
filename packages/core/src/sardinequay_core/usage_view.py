"""Usage of organisations over all hosts, shared as sums that only grow.

Each host counts the demand it received and the usage it admitted since it started.
Counters that only grow may arrive late, twice or not at all: the next one makes up for
it. A peer reports either its own counts or the sum of all hosts behind it
(`fleet_topology`), and this host computes its own sums so that they never fall either.
"""

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .fleet_topology import DigestScope
from .names import HostId
from .organisations import OrganisationName

FLOW_TIME_CONSTANT_S = 0.5
"""Time constant of a peer's measured usage flow, in seconds: about two digests."""

MIN_FLOW = 0.01
"""A flow below this, in the quota's unit a second, counts as zero."""

RECENT_START = seconds(3)
"""All counts of a peer that has been up for less than this are recent usage."""

REPORT_DURATION = seconds(3)
"""How long a changed count is repeated in reports: many digests, so that one
arrives."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Demand and admitted usage of an organisation, in its quota's unit."""

    asked: int = 0
    admitted: int = 0

    def with_added(self, other: "Usage") -> "Usage":
        """Return the sum of two usages."""
        return Usage(self.asked + other.asked, self.admitted + other.admitted)

    def without(self, other: "Usage") -> "Usage":
        """Return this usage minus another that is part of it."""
        return Usage(self.asked - other.asked, self.admitted - other.admitted)


NO_USAGE = Usage()
UsageCounts = dict[OrganisationName, Usage]
OrganisationNames = Iterable[OrganisationName]


@dataclass(frozen=True, slots=True)
class UsageFlow:
    """Demand and admitted usage a second."""

    asked_per_s: float = 0.0
    admitted_per_s: float = 0.0

    def updated(self, gain: Usage, span_s: float) -> "UsageFlow":
        """Return the flow averaged with the usage gained over some seconds."""
        weight = 1 - math.exp(-span_s / FLOW_TIME_CONSTANT_S)
        asked = self.asked_per_s + weight * (gain.asked / span_s - self.asked_per_s)
        admitted = self.admitted_per_s + weight * (
            gain.admitted / span_s - self.admitted_per_s
        )
        return UsageFlow(max(0.0, asked), max(0.0, admitted))

    def usage_over(self, span_s: float) -> Usage:
        """Return the usage expected over a time span, in seconds."""
        return Usage(
            round(self.asked_per_s * span_s), round(self.admitted_per_s * span_s)
        )


NO_USAGE_FLOW = UsageFlow()


@dataclass(frozen=True, slots=True)
class ReportedUsage:
    """Usage that a peer reports.

    Parameters
    ----------
    uptime : timedelta
        Time since the peer started to count.
    has_restarted : bool
        Whether the peer has restarted since its last report.
    """

    scope: DigestScope
    counts: UsageCounts
    uptime: timedelta
    has_restarted: bool = False


@dataclass(slots=True)
class UsageSource:
    """Latest report of one peer, for itself or for all hosts that it reports for.

    Parameters
    ----------
    first_reported_at : timedelta
        When its first report arrived.
    is_complete : bool
        Whether all that it counted since its start is known or will be reported.
        Otherwise a count that is reported for the first time may be hours old.
    """

    scope: DigestScope
    reported_counts: UsageCounts
    reported_at: Instant
    first_reported_at: Instant
    is_complete: bool
    flows: dict[OrganisationName, UsageFlow] = field(default_factory=dict)

    def record_flow(self, organisation: OrganisationName, flow: UsageFlow) -> None:
        """Set an organisation's flow; a flow that is nearly zero is dropped."""
        if max(flow.asked_per_s, flow.admitted_per_s) < MIN_FLOW:
            self.flows.pop(organisation, None)
        else:
            self.flows[organisation] = flow

    def expected_usage(self, now: Instant) -> UsageCounts:
        """Return the usage expected since the last report, by its flows."""
        since_s = (now - self.reported_at).total_seconds()
        return {o: flow.usage_over(since_s) for o, flow in self.flows.items()}


@dataclass(frozen=True, slots=True)
class UsageGain:
    """Usage of an organisation at other hosts that a report made known.

    Parameters
    ----------
    expected_admitted : float
        Admitted usage expected since the last report, by the source's flow.
    """

    organisation: OrganisationName
    usage: Usage
    expected_admitted: float


@dataclass(slots=True)
class UsageView:
    """Usage counts of this host and its peers.

    Parameters
    ----------
    local_gains, remote_gains : dict
        Usage gained since this host started from hosts of its data centre, and from
        those of others.
    peer_gains : dict
        Usage gained since this host started from all that peers reported, also from a
        hub's sum over all other hosts. It is not extrapolated.
    gains_by_host : dict
        The part of `local_gains` of each host.
    changed_at : dict
        When a count of an organisation last changed.
    added_at : dict
        When an organisation became known to this host.
    """

    own: UsageCounts = field(default_factory=dict)
    sources: dict[HostId, UsageSource] = field(default_factory=dict)
    local_gains: UsageCounts = field(default_factory=dict)
    remote_gains: UsageCounts = field(default_factory=dict)
    peer_gains: UsageCounts = field(default_factory=dict)
    gains_by_host: dict[HostId, UsageCounts] = field(default_factory=dict)
    changed_at: dict[OrganisationName, Instant] = field(default_factory=dict)
    added_at: dict[OrganisationName, Instant] = field(default_factory=dict)

    def record_usage(
        self, organisation: OrganisationName, usage: Usage, now: Instant
    ) -> None:
        """Count demand or admitted usage at this host."""
        add_usage(self.own, organisation, usage)
        self.changed_at[organisation] = now

    def apply_report(
        self, host: HostId, report: ReportedUsage, now: Instant
    ) -> list[UsageGain]:
        """Apply a peer's counts; return the usage that was not known before."""
        scope = report.scope
        source = self.sources.get(host)
        if source is None or source.scope is not scope or report.has_restarted:
            source = self.sources[host] = new_source(report, now)
        span_s = (now - source.reported_at).total_seconds()
        gains = [
            self.compute_gain(source, organisation, report.counts, span_s)
            for organisation in self.affected_organisations(host, report.counts)
        ]
        for gain in gains:
            self.record_gain(host, scope, gain, now)
        source.reported_counts.update(report.counts)
        source.reported_at = now
        return gains

    def affected_organisations(
        self, host: HostId, counts: UsageCounts
    ) -> tuple[OrganisationName, ...]:
        """Return the organisations whose usage a report with these counts updates."""
        source = self.sources.get(host)
        flows = source.flows if source is not None else {}
        return tuple({**flows, **counts})

    def compute_gain(
        self,
        source: UsageSource,
        organisation: OrganisationName,
        counts: UsageCounts,
        span_s: float,
    ) -> UsageGain:
        """Return the usage of one organisation that a report adds to what was known."""
        # A first report includes all organisations, so one that was missing from it is
        # new to both hosts, or was counted before the source's first report.
        is_new = self.added_at.get(organisation, ZERO) > source.first_reported_at
        counts_from_zero = source.is_complete or is_new
        baseline = NO_USAGE if counts_from_zero else counts.get(organisation, NO_USAGE)
        previous = source.reported_counts.get(organisation, baseline)
        usage = counts.get(organisation, previous).without(previous)
        flow = source.flows.get(organisation, NO_USAGE_FLOW)
        if span_s > 0:
            source.record_flow(organisation, flow.updated(usage, span_s))
        return UsageGain(organisation, usage, flow.admitted_per_s * span_s)

    def record_gain(
        self, host: HostId, scope: DigestScope, gain: UsageGain, now: Instant
    ) -> None:
        """Add a gain to the sums that this host reports to others."""
        if gain.usage == NO_USAGE:
            return
        self.changed_at[gain.organisation] = now
        add_usage(self.peer_gains, gain.organisation, gain.usage)
        match scope:
            case DigestScope.HOST:
                add_usage(self.local_gains, gain.organisation, gain.usage)
                add_usage(
                    self.gains_by_host.setdefault(host, {}),
                    gain.organisation,
                    gain.usage,
                )
            case DigestScope.DATA_CENTRE:
                add_usage(self.remote_gains, gain.organisation, gain.usage)

    def forget_peer(self, host: HostId, now: Instant) -> None:
        """Stop expecting usage of a peer; usage that it reported stays counted."""
        source = self.sources.pop(host, None)
        if source is not None and source.scope is DigestScope.DATA_CENTRE:
            # The sums sent to other hosts include this expected usage already, and they
            # must not fall.
            for organisation, usage in source.expected_usage(now).items():
                add_usage(self.remote_gains, organisation, usage)

    def keep_only_peer(self, host: HostId) -> None:
        """Drop all peers but the one that reports for all others."""
        kept = self.sources.get(host)
        self.sources = {} if kept is None else {host: kept}

    def peer_flow(self, organisation: OrganisationName) -> UsageFlow:
        """Return the demand and admitted usage of all other hosts a second."""
        asked = admitted = 0.0
        for source in self.sources.values():
            flow = source.flows.get(organisation)
            if flow is not None:
                asked += flow.asked_per_s
                admitted += flow.admitted_per_s
        return UsageFlow(asked, admitted)

    def known_usage(self, organisation: OrganisationName) -> Usage:
        """Return all usage of an organisation that was known since this host began."""
        own = self.own.get(organisation, NO_USAGE)
        return own.with_added(self.peer_gains.get(organisation, NO_USAGE))

    def max_report_age(self, now: Instant) -> timedelta:
        """Return the time since the last report of the peer that was silent longest."""
        oldest = min((s.reported_at for s in self.sources.values()), default=now)
        return max(ZERO, now - oldest)

    # Counts to report to peers. The first report to a peer names all organisations in
    # `also`, even those without usage: their next count then tells the usage since.

    def own_counts(self, now: Instant, also: OrganisationNames = ()) -> UsageCounts:
        """Return this host's counts that changed recently or are in `also`."""
        return self.recent_counts((self.own,), now, also)

    def data_centre_counts(
        self, now: Instant, also: OrganisationNames = ()
    ) -> UsageCounts:
        """Return the data centre's counts that changed recently or are in `also`."""
        return self.recent_counts((self.own, self.local_gains), now, also)

    def counts_excluding(
        self, host: HostId, now: Instant, also: OrganisationNames = ()
    ) -> UsageCounts:
        """Return the recent counts, and those of `also`, over all hosts except one.

        Includes the usage expected of data centres since their last reports: a host
        that hears only this sum could not distinguish a data centre that is cut off
        from an idle one.
        """
        remote = [
            source.expected_usage(now)
            for source in self.sources.values()
            if source.scope is DigestScope.DATA_CENTRE
        ]
        sums = self.recent_counts(
            (self.own, self.local_gains, self.remote_gains, *remote), now, also
        )
        excluded = self.gains_by_host.get(host, {})
        return {
            o: usage.without(excluded.get(o, NO_USAGE)) for o, usage in sums.items()
        }

    def recent_counts(
        self,
        parts: Iterable[Mapping[OrganisationName, Usage]],
        now: Instant,
        also: OrganisationNames,
    ) -> UsageCounts:
        """Return the sum of counts that changed recently or are in `also`."""
        since = now - REPORT_DURATION
        sums: UsageCounts = dict.fromkeys(also, NO_USAGE)
        for part in parts:
            for organisation, usage in part.items():
                changed_at = self.changed_at.get(organisation, ZERO)
                if changed_at >= since or organisation in sums:
                    add_usage(sums, organisation, usage)
        return sums


def new_source(report: ReportedUsage, now: Instant) -> UsageSource:
    """Return the source for a peer that was not known before.

    All counts of a peer that has just started are new usage. Of any other peer only
    later counts are, since it may have counted for hours. A report delayed by a
    partition looks like a restart, but comes from a peer that has been up for long.
    """
    if report.uptime < RECENT_START:
        started_at = now - seconds(FLOW_TIME_CONSTANT_S)
        return UsageSource(report.scope, {}, started_at, now, is_complete=True)
    return UsageSource(report.scope, dict(report.counts), now, now, is_complete=False)


def add_usage(
    counts: UsageCounts, organisation: OrganisationName, usage: Usage
) -> None:
    """Add to the count of one organisation."""
    counts[organisation] = counts.get(organisation, NO_USAGE).with_added(usage)
