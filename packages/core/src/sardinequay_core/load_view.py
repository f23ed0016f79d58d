"""View of the load on engines: this host's own requests and its peers' shares.

An engine processes prompts one after another, so the prompt tokens queued there show
when a request's first event can come. Each host counts its own requests; peers send
their shares a few times a second.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .engine_memory import HeldTokens, StayTimes
from .load_samples import LoadSamples, bounded_pace
from .names import HostId, TargetId
from .reading_pace import PaceMeasurements, relative_pace

PEER_SHARE_EXPIRY = seconds(1.5)
"""How long a silent peer's share counts in a small fleet: several of its digest
periods."""

DEFAULT_TOKENS_PER_S = 22_000.0
"""Prompt tokens that an engine is assumed to process a second before any
measurement."""

PACE_DECAY = 0.85
"""Weight of the old pace at each new measurement; averages over about seven
requests."""

MAX_PACE, MIN_PACE = 8.0, 0.6
"""Bounds of an engine's relative pace: a frozen engine must not count as a slow one."""

BASE_LATENCY_S = 0.02
"""A request's network time to an engine and its first decoding step, in seconds."""


@dataclass(frozen=True, slots=True)
class EngineShare:
    """One host's part of an engine's load.

    Parameters
    ----------
    unread_tokens : int
        Prompt tokens of requests that have no first event yet.
    running : int
        Requests that have their first event.
    expected_ms, took_ms : int
        Expected time at the nominal pace, and measured time, of recent first events,
        summed in milliseconds; sent in large fleets only (`reading_pace`).
    waiting_tokens : int
        Prompt tokens of requests that wait for an adapter to be loaded there.
    held_tokens : int
        Tokens that the requests sent there may need in its memory, until they end.
    """

    unread_tokens: int = 0
    running: int = 0
    expected_ms: int = 0
    took_ms: int = 0
    waiting_tokens: int = 0
    held_tokens: int = 0

    def with_added(
        self,
        unread_tokens: int,
        running: int,
        expected_ms: int = 0,
        took_ms: int = 0,
        waiting_tokens: int = 0,
        held_tokens: int = 0,
    ) -> "EngineShare":
        """Return this share with more load added."""
        return EngineShare(
            self.unread_tokens + unread_tokens,
            self.running + running,
            self.expected_ms + expected_ms,
            self.took_ms + took_ms,
            self.waiting_tokens + waiting_tokens,
            self.held_tokens + held_tokens,
        )

    def merged_with(self, other: "EngineShare") -> "EngineShare":
        """Return the sum of two shares."""
        return self.with_added(
            other.unread_tokens,
            other.running,
            other.expected_ms,
            other.took_ms,
            other.waiting_tokens,
            other.held_tokens,
        )

    def without(self, other: "EngineShare") -> "EngineShare":
        """Return this share minus another that is part of it."""
        return self.with_added(
            -other.unread_tokens,
            -other.running,
            -other.expected_ms,
            -other.took_ms,
            -other.waiting_tokens,
            -other.held_tokens,
        )


NO_LOAD = EngineShare()


@dataclass(frozen=True, slots=True)
class PeerShares:
    """Shares that one peer reported, and the time of the report."""

    at: Instant
    shares: Mapping[TargetId, EngineShare]


@dataclass(slots=True)
class LoadView:
    """Load on every engine, as this host sees it.

    The sums over peers are updated with each report, so that a choice costs as many
    steps as there are engines, however many hosts there are.

    Parameters
    ----------
    peers : dict
        Latest report of each peer that counts: its own share, or the sum of all hosts
        that it reports for.
    peer_total : dict
        The sum over `peers`, by engine.
    has_fleet_pace : bool
        Whether hosts use the pace that all of them measured, as in a large fleet.
    samples : LoadSamples
        Load of the targets that state a pace.
    own_held : HeldTokens
        Memory that this host's requests may need on engines.
    stay_times : StayTimes
        How long requests stay on engines.
    """

    own: dict[TargetId, EngineShare] = field(default_factory=dict)
    peers: dict[HostId, PeerShares] = field(default_factory=dict)
    peer_total: dict[TargetId, EngineShare] = field(default_factory=dict)
    own_pace: dict[TargetId, float] = field(default_factory=dict)
    peer_expiry: timedelta = PEER_SHARE_EXPIRY
    next_expiry: Instant = ZERO
    has_fleet_pace: bool = False
    pace_measurements: PaceMeasurements = field(default_factory=PaceMeasurements)
    samples: LoadSamples = field(default_factory=LoadSamples)
    own_held: HeldTokens = field(default_factory=HeldTokens)
    stay_times: StayTimes = field(default_factory=StayTimes)

    def record_dispatch(self, target: TargetId, tokens: int) -> None:
        """Count a request that is sent to an engine."""
        self.own[target] = self.own.get(target, NO_LOAD).with_added(tokens, 0)

    def record_waiting(self, target: TargetId, tokens: int) -> None:
        """Add to the prompts that wait for an adapter; a negative number removes."""
        share = self.own.get(target, NO_LOAD).with_added(0, 0, waiting_tokens=tokens)
        self.set_own_share(target, share)

    def set_own_share(self, target: TargetId, share: EngineShare) -> None:
        """Set this host's share of a target's load."""
        if share == NO_LOAD:
            self.own.pop(target, None)
        else:
            self.own[target] = share

    def record_first_event(self, target: TargetId, tokens: int) -> None:
        """Move a request from the unread tokens to the running requests."""
        share = self.own.get(target, NO_LOAD)
        self.own[target] = share.with_added(-tokens, 1)

    def record_end(self, target: TargetId, tokens: int, had_first_event: bool) -> None:
        """Remove a request that has ended.

        A request without prompt tokens adds nothing until its first event, so that
        there may be no share any more.
        """
        share = self.own.get(target, NO_LOAD)
        remaining = (
            share.with_added(0, -1) if had_first_event else share.with_added(-tokens, 0)
        )
        self.set_own_share(target, remaining)

    def record_memory_held(
        self, target: TargetId, incarnation: int, tokens: int
    ) -> None:
        """Count the memory that a request sent to an engine may need."""
        self.own_held.record_sent(target, incarnation, tokens)
        self.update_held_share(target)

    def record_memory_freed(
        self, target: TargetId, incarnation: int, tokens: int
    ) -> None:
        """Remove the memory of a request that has ended."""
        self.own_held.record_end(target, incarnation, tokens)
        self.update_held_share(target)

    def update_held_share(self, target: TargetId) -> None:
        """Set the memory in this host's share to what its requests may need."""
        share = self.own.get(target, NO_LOAD)
        held_tokens = self.own_held.tokens_on(target)
        if share.held_tokens != held_tokens:
            self.set_own_share(target, replace(share, held_tokens=held_tokens))

    def peers_age_s(self, now: Instant) -> float | None:
        """Return the age of the oldest report of a peer; None without peers."""
        if not self.peers:
            return None
        oldest = min(report.at for report in self.peers.values())
        return round((now - oldest).total_seconds(), 3)

    def apply_peer_shares(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Replace the shares that a peer reported before by those of a new report."""
        self.forget_peer(host)
        self.peers[host] = PeerShares(now, shares)
        for target, share in shares.items():
            self.add_to_peer_total(target, share)

    def apply_fleet_shares(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Replace the reports of all peers by the hub's sum over all other hosts."""
        self.peers.clear()
        self.peer_total.clear()
        self.apply_peer_shares(host, shares, now)

    def forget_peer(self, host: HostId) -> None:
        """Drop a peer that is gone; its requests are gone with it."""
        report = self.peers.pop(host, None)
        if report is not None:
            for target, share in report.shares.items():
                self.add_to_peer_total(target, NO_LOAD.without(share))

    def add_to_peer_total(self, target: TargetId, share: EngineShare) -> None:
        """Add a share to the sum over peers of one engine."""
        total = self.peer_total.get(target, NO_LOAD).merged_with(share)
        if total == NO_LOAD:
            self.peer_total.pop(target, None)
        else:
            self.peer_total[target] = total

    def expire_peers(self, now: Instant) -> None:
        """Drop peers that have been silent for too long."""
        if now < self.next_expiry:
            return
        since = now - self.peer_expiry
        for host in [h for h, report in self.peers.items() if report.at <= since]:
            self.forget_peer(host)
        oldest = min((report.at for report in self.peers.values()), default=now)
        self.next_expiry = oldest + self.peer_expiry

    def total_share(self, target: TargetId, now: Instant) -> EngineShare:
        """Return the load of all hosts on an engine."""
        self.expire_peers(now)
        own = self.own.get(target, NO_LOAD)
        peers = self.peer_total.get(target)
        return own if peers is None else own.merged_with(peers)

    def own_shares(self, now: Instant) -> dict[TargetId, EngineShare]:
        """Return this host's shares with its pace measurements, as sent to a hub."""
        shares = dict(self.own)
        self.pace_measurements.prune_faded(now)
        for target in self.pace_measurements.own:
            measured = self.pace_measurements.measurement_of(target, now)
            expected_ms = round(measured.expected_s * 1000)
            share = shares.get(target, NO_LOAD)
            took_ms = round(measured.took_s * 1000)
            shares[target] = share.with_added(0, 0, expected_ms, took_ms)
        return shares

    def shares_excluding(
        self, host: HostId, now: Instant
    ) -> dict[TargetId, EngineShare]:
        """Return the load of all hosts minus what one peer reported, by engine."""
        self.expire_peers(now)
        report = self.peers.get(host)
        shares = self.own_shares(now)
        for target, share in self.peer_total.items():
            shares[target] = shares.get(target, NO_LOAD).merged_with(share)
        for target, share in report.shares.items() if report is not None else ():
            remaining = shares[target].without(share)
            if remaining == NO_LOAD:
                del shares[target]
            else:
                shares[target] = remaining
        return shares

    def combined_shares(
        self, hosts: Iterable[HostId], now: Instant
    ) -> dict[TargetId, EngineShare]:
        """Return the sum of the shares of this host and the given peers, by engine."""
        self.expire_peers(now)
        shares = self.own_shares(now)
        for host in hosts:
            report = self.peers.get(host)
            for target, share in report.shares.items() if report is not None else ():
                shares[target] = shares.get(target, NO_LOAD).merged_with(share)
        return shares

    def engine_pace(self, target: TargetId, now: Instant) -> float:
        """Return an engine's pace relative to the nominal one, bounded.

        What an engine states of its pace multiplies what was measured beyond it.
        """
        measured_pace = self.measured_pace(target, now)
        stated_pace = self.samples.expected_pace(target, now)
        if stated_pace is None:
            return measured_pace
        return min(MAX_PACE, max(MIN_PACE, measured_pace * stated_pace))

    def measured_pace(self, target: TargetId, now: Instant) -> float:
        """Return an engine's measured pace, without what it stated itself.

        In a small fleet a host sends each engine enough requests to measure it alone.
        """
        if not self.has_fleet_pace:
            return self.own_pace.get(target, 1.0)
        peer_share = self.peer_total.get(target, NO_LOAD)
        measured = self.pace_measurements.measurement_of(target, now)
        pace = relative_pace(
            measured.expected_s + peer_share.expected_ms / 1000,
            measured.took_s + peer_share.took_ms / 1000,
        )
        return min(MAX_PACE, max(MIN_PACE, pace))

    def nominal_read_s(
        self, target: TargetId, tokens: int, now: Instant, can_begin: bool = True
    ) -> float:
        """Return the processing time of a new request's prompt, in seconds.

        Assumes the nominal pace, and includes the prompts queued before it.

        Parameters
        ----------
        can_begin : bool
            Whether the engine has the request's adapter. Otherwise the prompts that
            wait for adapters there count, too: they may begin before it.
        """
        share = self.total_share(target, now)
        before = share.unread_tokens + (0 if can_begin else share.waiting_tokens)
        return (before + tokens) / DEFAULT_TOKENS_PER_S

    def expected_first_event_s(
        self, target: TargetId, tokens: int, now: Instant, can_begin: bool = True
    ) -> float:
        """Return the expected time to a new request's first event, in seconds."""
        read_s = self.nominal_read_s(target, tokens, now, can_begin)
        return BASE_LATENCY_S + self.engine_pace(target, now) * read_s

    def forget_target(self, target: TargetId) -> None:
        """Drop the pace measured of a target that has restarted, and its memory held.

        Other load ends with its requests.
        """
        self.own_held.forget_target(target)
        self.update_held_share(target)
        self.own_pace.pop(target, None)
        self.pace_measurements.forget_target(target)

    def record_pace(
        self,
        target: TargetId,
        nominal_s: float,
        took_s: float,
        now: Instant,
        stated_pace: float | None = None,
    ) -> None:
        """Update an engine's pace with one request's time to the first event.

        Parameters
        ----------
        nominal_s : float
            Processing time at the nominal pace, by the load when the request was sent,
            in seconds.
        stated_pace : float or None
            Pace that the engine stated for this time, which is taken out of what is
            measured; None if it stated none.
        """
        nominal_s = max(nominal_s, 0.001)
        took_s = max(took_s - BASE_LATENCY_S, 0.001)
        if stated_pace is not None:
            took_s /= bounded_pace(stated_pace)
        self.pace_measurements.record_measurement(target, nominal_s, took_s, now)
        measured_pace = min(MAX_PACE, max(MIN_PACE, took_s / nominal_s))
        previous = self.own_pace.get(target, 1.0)
        self.own_pace[target] = previous * PACE_DECAY + measured_pace * (1 - PACE_DECAY)
