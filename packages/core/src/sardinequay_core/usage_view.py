"""What organisations use over all hosts: counted by each, told as sums, never as news.

Each host counts what it was asked for and what it admitted since it started. Counters
that only grow may be told late, twice or not at all: the next one makes up for it. What
a peer tells may be its own count, or the sum of all hosts behind it (`fleet_topology`),
and this host's own sums are made so that they never fall either.
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
"""Time constant of a peer's measured flow, in seconds: about two exchanges."""

MIN_FLOW = 0.01
"""A flow below this, in the quota's unit a second, is none."""

RECENT_START = seconds(3)
"""What a peer counted that has been up for less than this is all recent."""

REPORT_DURATION = seconds(3)
"""How long a count that changed is told: many exchanges, so that one is heard."""


@dataclass(frozen=True, slots=True)
class Usage:
    """What an organisation asked for and what was admitted, in its quota's unit."""

    asked: int = 0
    admitted: int = 0

    def with_added(self, other: "Usage") -> "Usage":
        """Return both together."""
        return Usage(self.asked + other.asked, self.admitted + other.admitted)

    def without(self, other: "Usage") -> "Usage":
        """Return this without another that is part of it."""
        return Usage(self.asked - other.asked, self.admitted - other.admitted)


NO_USAGE = Usage()
UsageCounts = dict[OrganisationName, Usage]
OrganisationNames = Iterable[OrganisationName]


@dataclass(frozen=True, slots=True)
class UsageFlow:
    """What is asked for and admitted a second."""

    asked_per_s: float = 0.0
    admitted_per_s: float = 0.0

    def updated(self, gained: Usage, over_s: float) -> "UsageFlow":
        """Return the flow after some more was used within a time."""
        weight = 1 - math.exp(-over_s / FLOW_TIME_CONSTANT_S)
        asked = self.asked_per_s + weight * (gained.asked / over_s - self.asked_per_s)
        admitted = self.admitted_per_s + weight * (
            gained.admitted / over_s - self.admitted_per_s
        )
        return UsageFlow(max(0.0, asked), max(0.0, admitted))

    def usage_over(self, span_s: float) -> Usage:
        """Return what is used in a time, in seconds."""
        return Usage(
            round(self.asked_per_s * span_s), round(self.admitted_per_s * span_s)
        )


NO_USAGE_FLOW = UsageFlow()


@dataclass(frozen=True, slots=True)
class ReportedUsage:
    """What a peer tells of usage.

    Parameters
    ----------
    up : timedelta
        How long ago it started to count.
    has_restarted : bool
        Whether it has started anew since it was heard last.
    """

    scope: DigestScope
    counts: UsageCounts
    uptime: timedelta
    has_restarted: bool = False


@dataclass(slots=True)
class UsageSource:
    """What one peer told, for itself or for all behind it.

    Parameters
    ----------
    first_at : timedelta
        When it was heard first.
    since_start : bool
        Whether all that it counted is known, or is to be. Else a count that is told
        for the first time may be hours old.
    """

    scope: DigestScope
    reported_counts: UsageCounts
    reported_at: Instant
    first_reported_at: Instant
    is_complete: bool
    flows: dict[OrganisationName, UsageFlow] = field(default_factory=dict)

    def record_flow(self, organisation: OrganisationName, flow: UsageFlow) -> None:
        """Take what an organisation uses there now; next to nothing is nothing."""
        if max(flow.asked_per_s, flow.admitted_per_s) < MIN_FLOW:
            self.flows.pop(organisation, None)
        else:
            self.flows[organisation] = flow

    def expected_usage(self, now: Instant) -> UsageCounts:
        """Return what is expected to be used since the source was heard."""
        since_s = (now - self.reported_at).total_seconds()
        return {o: flow.usage_over(since_s) for o, flow in self.flows.items()}


@dataclass(frozen=True, slots=True)
class UsageGain:
    """What became known of an organisation's usage elsewhere.

    Parameters
    ----------
    foreseen : float
        What the source's flow had let expect to be admitted since it was heard last.
    """

    organisation: OrganisationName
    usage: Usage
    expected_admitted: float


@dataclass(slots=True)
class UsageView:
    """Counts of one host, and those that its peers told.

    Parameters
    ----------
    near, far : dict
        What was gained since this host started from hosts of its data centre, and from
        those of others.
    gained : dict
        The part of `near` of each host.
    changed_at : dict
        When a count of an organisation changed last.
    opened_at : dict
        When an organisation became known here.
    """

    own: UsageCounts = field(default_factory=dict)
    sources: dict[HostId, UsageSource] = field(default_factory=dict)
    local_gains: UsageCounts = field(default_factory=dict)
    remote_gains: UsageCounts = field(default_factory=dict)
    gains_by_host: dict[HostId, UsageCounts] = field(default_factory=dict)
    changed_at: dict[OrganisationName, Instant] = field(default_factory=dict)
    added_at: dict[OrganisationName, Instant] = field(default_factory=dict)

    def record_usage(
        self, organisation: OrganisationName, usage: Usage, now: Instant
    ) -> None:
        """Count what this host was asked for or admitted."""
        add_usage(self.own, organisation, usage)
        self.changed_at[organisation] = now

    def apply_report(
        self, host: HostId, told: ReportedUsage, now: Instant
    ) -> list[UsageGain]:
        """Take a peer's counts; return what they say that was not known."""
        scope = told.scope
        source = self.sources.get(host)
        if source is None or source.scope is not scope or told.has_restarted:
            source = self.sources[host] = new_source(told, now)
        over_s = (now - source.reported_at).total_seconds()
        gains = [
            self.compute_gain(source, organisation, told.counts, over_s)
            for organisation in self.affected_organisations(host, told.counts)
        ]
        for gain in gains:
            self.record_gain(host, scope, gain, now)
        source.reported_counts.update(told.counts)
        source.reported_at = now
        return gains

    def affected_organisations(
        self, host: HostId, told: UsageCounts
    ) -> tuple[OrganisationName, ...]:
        """Return the organisations of which a peer says something by these counts."""
        source = self.sources.get(host)
        flows = source.flows if source is not None else {}
        return tuple({**flows, **told})

    def compute_gain(
        self,
        source: UsageSource,
        organisation: OrganisationName,
        told: UsageCounts,
        over_s: float,
    ) -> UsageGain:
        """Return what a source says of one organisation that was not known."""
        # Whoever is told first hears of all organisations, so one that was not among
        # them is new to both, or was counted before the source was heard.
        is_new = self.added_at.get(organisation, ZERO) > source.first_reported_at
        is_known = source.is_complete or is_new
        first = NO_USAGE if is_known else told.get(organisation, NO_USAGE)
        before = source.reported_counts.get(organisation, first)
        usage = told.get(organisation, before).without(before)
        flow = source.flows.get(organisation, NO_USAGE_FLOW)
        if over_s > 0:
            source.record_flow(organisation, flow.updated(usage, over_s))
        return UsageGain(organisation, usage, flow.admitted_per_s * over_s)

    def record_gain(
        self, host: HostId, scope: DigestScope, gain: UsageGain, now: Instant
    ) -> None:
        """Count what was gained, for those to whom this host tells sums."""
        if gain.usage == NO_USAGE:
            return
        self.changed_at[gain.organisation] = now
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
        """Take that a peer uses nothing any more; what it used stays counted."""
        source = self.sources.pop(host, None)
        if source is not None and source.scope is DigestScope.DATA_CENTRE:
            # It was foreseen in what others were told, so it may not vanish there.
            for organisation, usage in source.expected_usage(now).items():
                add_usage(self.remote_gains, organisation, usage)

    def keep_only_peer(self, host: HostId) -> None:
        """Forget all peers but one, that speaks for all."""
        kept = self.sources.get(host)
        self.sources = {} if kept is None else {host: kept}

    def peer_flow(self, organisation: OrganisationName) -> UsageFlow:
        """Return what all others are asked for and admit a second."""
        asked = admitted = 0.0
        for source in self.sources.values():
            flow = source.flows.get(organisation)
            if flow is not None:
                asked += flow.asked_per_s
                admitted += flow.admitted_per_s
        return UsageFlow(asked, admitted)

    def max_report_age(self, now: Instant) -> timedelta:
        """Return how long ago the peer that was silent longest was heard."""
        oldest = min((s.reported_at for s in self.sources.values()), default=now)
        return max(ZERO, now - oldest)

    # What peers are told. Who is told for the first time is told of all organisations,
    # also of those that used nothing: their next count says then what they used since.

    def own_counts(self, now: Instant, also: OrganisationNames = ()) -> UsageCounts:
        """Return this host's counts that changed lately, and those named."""
        return self.recent_counts((self.own,), now, also)

    def data_centre_counts(
        self, now: Instant, also: OrganisationNames = ()
    ) -> UsageCounts:
        """Return this data centre's counts that changed lately, and those named."""
        return self.recent_counts((self.own, self.local_gains), now, also)

    def counts_excluding(
        self, host: HostId, now: Instant, also: OrganisationNames = ()
    ) -> UsageCounts:
        """Return the counts of all hosts but one that changed lately, and those named.

        With what is foreseen of data centres since they were heard: a host that hears
        only this sum could not tell one that is cut off from one that uses nothing.
        """
        far = [
            source.expected_usage(now)
            for source in self.sources.values()
            if source.scope is DigestScope.DATA_CENTRE
        ]
        found = self.recent_counts(
            (self.own, self.local_gains, self.remote_gains, *far), now, also
        )
        its = self.gains_by_host.get(host, {})
        return {o: usage.without(its.get(o, NO_USAGE)) for o, usage in found.items()}

    def recent_counts(
        self,
        parts: Iterable[Mapping[OrganisationName, Usage]],
        now: Instant,
        also: OrganisationNames,
    ) -> UsageCounts:
        """Return the sum of counts that changed lately, and of those named."""
        since = now - REPORT_DURATION
        found: UsageCounts = dict.fromkeys(also, NO_USAGE)
        for part in parts:
            for organisation, usage in part.items():
                changed_at = self.changed_at.get(organisation, ZERO)
                if changed_at >= since or organisation in found:
                    add_usage(found, organisation, usage)
        return found


def new_source(told: ReportedUsage, now: Instant) -> UsageSource:
    """Return a peer that was not heard before.

    All that it counted is news if it has just started; else only what it counts from
    now on, since it may have counted for hours. What a cut held up looks like a
    restart, but comes from a peer that has been up for long.
    """
    if told.uptime < RECENT_START:
        lately = now - seconds(FLOW_TIME_CONSTANT_S)
        return UsageSource(told.scope, {}, lately, now, is_complete=True)
    return UsageSource(told.scope, dict(told.counts), now, now, is_complete=False)


def add_usage(
    counts: UsageCounts, organisation: OrganisationName, usage: Usage
) -> None:
    """Add to the count of one organisation."""
    counts[organisation] = counts.get(organisation, NO_USAGE).with_added(usage)
