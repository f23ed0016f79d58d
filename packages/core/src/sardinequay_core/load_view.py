"""What a host knows of the load on engines: its own requests and its peers' shares.

An engine reads prompts one after another, so the tokens that wait to be read there say
when a request's first event can come. Each host knows its own; peers tell theirs a few
times a second.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .names import HostId, TargetId
from .reading_pace import PaceMeasurements, relative_pace

PEER_SHARE_EXPIRY = seconds(1.5)
"""How long a silent peer's share counts in a small fleet: several of its periods."""

DEFAULT_TOKENS_PER_S = 22_000.0
"""Prompt tokens that an engine reads a second before any was measured."""

PACE_DECAY = 0.85
"""Weight of the past in an engine's measured pace; about seven requests."""

MAX_PACE, MIN_PACE = 8.0, 0.6
"""Bounds of the measured pace against the default: a frozen engine is no slow one."""

BASE_LATENCY_S = 0.02
"""A request's way to an engine and its first decoding step, in seconds."""


@dataclass(frozen=True, slots=True)
class EngineShare:
    """One host's part of an engine's load.

    Parameters
    ----------
    unread_tokens : int
        Prompt tokens of requests that have no first event yet.
    running : int
        Requests that have one.
    expected_ms, took_ms : int
        How long recent first events were expected to take at the usual pace, and took,
        summed in milliseconds; told in large fleets only (`reading_pace`).
    """

    unread_tokens: int = 0
    running: int = 0
    expected_ms: int = 0
    took_ms: int = 0

    def with_added(
        self,
        unread_tokens: int,
        running: int,
        expected_ms: int = 0,
        took_ms: int = 0,
    ) -> "EngineShare":
        """Return this share with some more on the engine."""
        return EngineShare(
            self.unread_tokens + unread_tokens,
            self.running + running,
            self.expected_ms + expected_ms,
            self.took_ms + took_ms,
        )

    def merged_with(self, other: "EngineShare") -> "EngineShare":
        """Return two shares together."""
        return self.with_added(
            other.unread_tokens, other.running, other.expected_ms, other.took_ms
        )

    def without(self, other: "EngineShare") -> "EngineShare":
        """Return this share without another that is part of it."""
        return self.with_added(
            -other.unread_tokens, -other.running, -other.expected_ms, -other.took_ms
        )


NO_LOAD = EngineShare()


@dataclass(frozen=True, slots=True)
class PeerShares:
    """What one peer told, and when."""

    at: Instant
    shares: Mapping[TargetId, EngineShare]


@dataclass(slots=True)
class LoadView:
    """Load on every engine, as this host sees it.

    Sums over peers change with what is heard, so that a choice costs as many steps as
    there are engines, however many hosts there are.

    Parameters
    ----------
    peers : dict
        What each peer that counts told: its own share, or that of all hosts behind it.
    heard : dict
        The sum over `peers`, by engine.
    measures_together : bool
        Whether hosts go by what all measured of engines, as in a large fleet.
    """

    own: dict[TargetId, EngineShare] = field(default_factory=dict)
    peers: dict[HostId, PeerShares] = field(default_factory=dict)
    peer_total: dict[TargetId, EngineShare] = field(default_factory=dict)
    own_pace: dict[TargetId, float] = field(default_factory=dict)
    peer_expiry: timedelta = PEER_SHARE_EXPIRY
    next_expiry: Instant = ZERO
    has_fleet_pace: bool = False
    pace_measurements: PaceMeasurements = field(default_factory=PaceMeasurements)

    def record_dispatch(self, target: TargetId, tokens: int) -> None:
        """Count a request in that is on its way to an engine."""
        self.own[target] = self.own.get(target, NO_LOAD).with_added(tokens, 0)

    def record_first_event(self, target: TargetId, tokens: int) -> None:
        """Count a request over from unread to running."""
        self.own[target] = self.own[target].with_added(-tokens, 1)

    def record_end(self, target: TargetId, tokens: int, had_first_event: bool) -> None:
        """Count a request out."""
        share = self.own[target]
        left = (
            share.with_added(0, -1) if had_first_event else share.with_added(-tokens, 0)
        )
        if left == NO_LOAD:
            del self.own[target]
        else:
            self.own[target] = left

    def apply_peer_shares(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Take a peer's share; it replaces what the peer told before."""
        self.forget_peer(host)
        self.peers[host] = PeerShares(now, shares)
        for target, share in shares.items():
            self.add_to_peer_total(target, share)

    def apply_fleet_shares(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Take from one peer what all others have on engines."""
        self.peers.clear()
        self.peer_total.clear()
        self.apply_peer_shares(host, shares, now)

    def forget_peer(self, host: HostId) -> None:
        """Drop a peer that is gone; its requests are gone with it."""
        told = self.peers.pop(host, None)
        if told is not None:
            for target, share in told.shares.items():
                self.add_to_peer_total(target, NO_LOAD.without(share))

    def add_to_peer_total(self, target: TargetId, share: EngineShare) -> None:
        """Change the sum over peers of one engine."""
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
        for host in [h for h, told in self.peers.items() if told.at <= since]:
            self.forget_peer(host)
        oldest = min((told.at for told in self.peers.values()), default=now)
        self.next_expiry = oldest + self.peer_expiry

    def total_share(self, target: TargetId, now: Instant) -> EngineShare:
        """Return the load of all hosts on an engine."""
        self.expire_peers(now)
        mine = self.own.get(target, NO_LOAD)
        theirs = self.peer_total.get(target)
        return mine if theirs is None else mine.merged_with(theirs)

    def own_shares(self, now: Instant) -> dict[TargetId, EngineShare]:
        """Return this host's part with what it measured, for a hub."""
        found = dict(self.own)
        for target in self.pace_measurements.own:
            seen = self.pace_measurements.measurement_of(target, now)
            expected_ms = round(seen.expected_s * 1000)
            if expected_ms:
                share = found.get(target, NO_LOAD)
                took_ms = round(seen.took_s * 1000)
                found[target] = share.with_added(0, 0, expected_ms, took_ms)
        return found

    def shares_excluding(
        self, host: HostId, now: Instant
    ) -> dict[TargetId, EngineShare]:
        """Return the part of all hosts but what one of them told, by engine."""
        self.expire_peers(now)
        told = self.peers.get(host)
        found = self.own_shares(now)
        for target, share in self.peer_total.items():
            found[target] = found.get(target, NO_LOAD).merged_with(share)
        for target, share in told.shares.items() if told is not None else ():
            left = found[target].without(share)
            if left == NO_LOAD:
                del found[target]
            else:
                found[target] = left
        return found

    def combined_shares(
        self, hosts: Iterable[HostId], now: Instant
    ) -> dict[TargetId, EngineShare]:
        """Return the part of this host and some peers together, by engine."""
        self.expire_peers(now)
        found = self.own_shares(now)
        for host in hosts:
            told = self.peers.get(host)
            for target, share in told.shares.items() if told is not None else ():
                found[target] = found.get(target, NO_LOAD).merged_with(share)
        return found

    def engine_pace(self, target: TargetId, now: Instant) -> float:
        """Return an engine's pace against the usual one, bounded.

        In a small fleet a host sends each engine requests enough to know by itself.
        """
        if not self.has_fleet_pace:
            return self.own_pace.get(target, 1.0)
        heard = self.peer_total.get(target, NO_LOAD)
        seen = self.pace_measurements.measurement_of(target, now)
        pace = relative_pace(
            seen.expected_s + heard.expected_ms / 1000,
            seen.took_s + heard.took_ms / 1000,
        )
        return min(MAX_PACE, max(MIN_PACE, pace))

    def nominal_read_s(self, target: TargetId, tokens: int, now: Instant) -> float:
        """Return how long reading up to a new request takes at the usual pace."""
        unread = self.total_share(target, now).unread_tokens + tokens
        return unread / DEFAULT_TOKENS_PER_S

    def expected_first_event_s(
        self, target: TargetId, tokens: int, now: Instant
    ) -> float:
        """Return when a new request's first event is expected, in seconds."""
        return BASE_LATENCY_S + self.engine_pace(target, now) * self.nominal_read_s(
            target, tokens, now
        )

    def forget_target(self, target: TargetId) -> None:
        """Drop what was measured of a target that started again."""
        self.own_pace.pop(target, None)
        self.pace_measurements.forget_target(target)

    def record_pace(
        self, target: TargetId, usual_s: float, took_s: float, now: Instant
    ) -> None:
        """Learn an engine's pace from one request's first event.

        Parameters
        ----------
        usual_s : float
            How long reading takes at the usual pace, by the load when it was sent.
        """
        usual_s = max(usual_s, 0.001)
        took_s = max(took_s - BASE_LATENCY_S, 0.001)
        self.pace_measurements.record_measurement(target, usual_s, took_s, now)
        seen = min(MAX_PACE, max(MIN_PACE, took_s / usual_s))
        old = self.own_pace.get(target, 1.0)
        self.own_pace[target] = old * PACE_DECAY + seen * (1 - PACE_DECAY)
