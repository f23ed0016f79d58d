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
from .reading_pace import PaceBook, pace_of

PEER_SHARE_LIFE = seconds(1.5)
"""How long a silent peer's share counts in a small fleet: several of its periods."""

DEFAULT_TOKENS_PER_S = 22_000.0
"""Prompt tokens that an engine reads a second before any was measured."""

PACE_MEMORY = 0.85
"""Weight of the past in an engine's measured pace; about seven requests."""

SLOWEST, FASTEST = 8.0, 0.6
"""Bounds of the measured pace against the default: a frozen engine is no slow one."""

BASE_S = 0.02
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

    def plus(
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

    def and_share(self, other: "EngineShare") -> "EngineShare":
        """Return two shares together."""
        return self.plus(
            other.unread_tokens, other.running, other.expected_ms, other.took_ms
        )

    def less(self, other: "EngineShare") -> "EngineShare":
        """Return this share without another that is part of it."""
        return self.plus(
            -other.unread_tokens, -other.running, -other.expected_ms, -other.took_ms
        )


IDLE = EngineShare()


@dataclass(frozen=True, slots=True)
class HeardShares:
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
    peers: dict[HostId, HeardShares] = field(default_factory=dict)
    heard: dict[TargetId, EngineShare] = field(default_factory=dict)
    pace: dict[TargetId, float] = field(default_factory=dict)
    peer_life: timedelta = PEER_SHARE_LIFE
    next_expiry: Instant = ZERO
    measures_together: bool = False
    measurements: PaceBook = field(default_factory=PaceBook)

    def begin(self, target: TargetId, tokens: int) -> None:
        """Count a request in that is on its way to an engine."""
        self.own[target] = self.own.get(target, IDLE).plus(tokens, 0)

    def first_event(self, target: TargetId, tokens: int) -> None:
        """Count a request over from unread to running."""
        self.own[target] = self.own[target].plus(-tokens, 1)

    def end(self, target: TargetId, tokens: int, had_first_event: bool) -> None:
        """Count a request out."""
        share = self.own[target]
        left = share.plus(0, -1) if had_first_event else share.plus(-tokens, 0)
        if left == IDLE:
            del self.own[target]
        else:
            self.own[target] = left

    def hear(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Take a peer's share; it replaces what the peer told before."""
        self.forget(host)
        self.peers[host] = HeardShares(now, shares)
        for target, share in shares.items():
            self.add(target, share)

    def hear_all(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Take from one peer what all others have on engines."""
        self.peers.clear()
        self.heard.clear()
        self.hear(host, shares, now)

    def forget(self, host: HostId) -> None:
        """Drop a peer that is gone; its requests are gone with it."""
        told = self.peers.pop(host, None)
        if told is not None:
            for target, share in told.shares.items():
                self.add(target, IDLE.less(share))

    def add(self, target: TargetId, share: EngineShare) -> None:
        """Change the sum over peers of one engine."""
        total = self.heard.get(target, IDLE).and_share(share)
        if total == IDLE:
            self.heard.pop(target, None)
        else:
            self.heard[target] = total

    def expire(self, now: Instant) -> None:
        """Drop peers that have been silent for too long."""
        if now < self.next_expiry:
            return
        since = now - self.peer_life
        for host in [h for h, told in self.peers.items() if told.at <= since]:
            self.forget(host)
        oldest = min((told.at for told in self.peers.values()), default=now)
        self.next_expiry = oldest + self.peer_life

    def share(self, target: TargetId, now: Instant) -> EngineShare:
        """Return the load of all hosts on an engine."""
        self.expire(now)
        mine = self.own.get(target, IDLE)
        theirs = self.heard.get(target)
        return mine if theirs is None else mine.and_share(theirs)

    def to_tell(self, now: Instant) -> dict[TargetId, EngineShare]:
        """Return this host's part with what it measured, for a hub."""
        found = dict(self.own)
        for target in self.measurements.own:
            seen = self.measurements.seen(target, now)
            expected_ms = round(seen.expected_s * 1000)
            if expected_ms:
                share = found.get(target, IDLE)
                took_ms = round(seen.took_s * 1000)
                found[target] = share.plus(0, 0, expected_ms, took_ms)
        return found

    def all_but(self, host: HostId, now: Instant) -> dict[TargetId, EngineShare]:
        """Return the part of all hosts but what one of them told, by engine."""
        self.expire(now)
        told = self.peers.get(host)
        found = self.to_tell(now)
        for target, share in self.heard.items():
            found[target] = found.get(target, IDLE).and_share(share)
        for target, share in told.shares.items() if told is not None else ():
            left = found[target].less(share)
            if left == IDLE:
                del found[target]
            else:
                found[target] = left
        return found

    def sum_of(
        self, hosts: Iterable[HostId], now: Instant
    ) -> dict[TargetId, EngineShare]:
        """Return the part of this host and some peers together, by engine."""
        self.expire(now)
        found = self.to_tell(now)
        for host in hosts:
            told = self.peers.get(host)
            for target, share in told.shares.items() if told is not None else ():
                found[target] = found.get(target, IDLE).and_share(share)
        return found

    def pace_of(self, target: TargetId, now: Instant) -> float:
        """Return an engine's pace against the usual one, bounded.

        In a small fleet a host sends each engine requests enough to know by itself.
        """
        if not self.measures_together:
            return self.pace.get(target, 1.0)
        heard = self.heard.get(target, IDLE)
        seen = self.measurements.seen(target, now)
        pace = pace_of(
            seen.expected_s + heard.expected_ms / 1000,
            seen.took_s + heard.took_ms / 1000,
        )
        return min(SLOWEST, max(FASTEST, pace))

    def usual_s(self, target: TargetId, tokens: int, now: Instant) -> float:
        """Return how long reading up to a new request takes at the usual pace."""
        unread = self.share(target, now).unread_tokens + tokens
        return unread / DEFAULT_TOKENS_PER_S

    def first_event_s(self, target: TargetId, tokens: int, now: Instant) -> float:
        """Return when a new request's first event is expected, in seconds."""
        return BASE_S + self.pace_of(target, now) * self.usual_s(target, tokens, now)

    def forget_target(self, target: TargetId) -> None:
        """Drop what was measured of a target that started again."""
        self.pace.pop(target, None)
        self.measurements.forget_target(target)

    def measured(
        self, target: TargetId, usual_s: float, took_s: float, now: Instant
    ) -> None:
        """Learn an engine's pace from one request's first event.

        Parameters
        ----------
        usual_s : float
            How long reading takes at the usual pace, by the load when it was sent.
        """
        usual_s = max(usual_s, 0.001)
        took_s = max(took_s - BASE_S, 0.001)
        self.measurements.note(target, usual_s, took_s, now)
        seen = min(SLOWEST, max(FASTEST, took_s / usual_s))
        old = self.pace.get(target, 1.0)
        self.pace[target] = old * PACE_MEMORY + seen * (1 - PACE_MEMORY)
