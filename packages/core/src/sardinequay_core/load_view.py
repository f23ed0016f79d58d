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
    """

    unread_tokens: int = 0
    running: int = 0

    @property
    def parts(self) -> tuple[int, int]:
        """Return both numbers."""
        return self.unread_tokens, self.running

    def plus(self, unread_tokens: int, running: int) -> "EngineShare":
        """Return this share with some more on the engine."""
        return EngineShare(self.unread_tokens + unread_tokens, self.running + running)


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
    there are engines: with 195 hosts and 39 engines 1.0 ms, now 0.01 ms.

    Parameters
    ----------
    peers : dict
        What each peer that counts told: its own share, or that of all hosts behind it.
    heard : dict
        The sum over `peers`, by engine.
    """

    own: dict[TargetId, EngineShare] = field(default_factory=dict)
    peers: dict[HostId, HeardShares] = field(default_factory=dict)
    heard: dict[TargetId, EngineShare] = field(default_factory=dict)
    pace: dict[TargetId, float] = field(default_factory=dict)
    peer_life: timedelta = PEER_SHARE_LIFE
    next_expiry: Instant = ZERO

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
            self.add(target, share.unread_tokens, share.running)

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
                self.add(target, -share.unread_tokens, -share.running)

    def add(self, target: TargetId, unread_tokens: int, running: int) -> None:
        """Change the sum over peers of one engine."""
        total = self.heard.get(target, IDLE).plus(unread_tokens, running)
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
        return mine if theirs is None else mine.plus(*theirs.parts)

    def all_but(self, host: HostId, now: Instant) -> dict[TargetId, EngineShare]:
        """Return the load of all hosts but what one of them told, by engine."""
        told = self.peers.get(host)
        left = told.shares if told is not None else {}
        found = {}
        for target in self.own.keys() | self.heard.keys():
            share = self.share(target, now)
            if target in left:
                share = share.plus(-left[target].unread_tokens, -left[target].running)
            if share != IDLE:
                found[target] = share
        return found

    def sum_of(
        self, hosts: Iterable[HostId], now: Instant
    ) -> dict[TargetId, EngineShare]:
        """Return the load of this host and some peers together, by engine."""
        self.expire(now)
        found = dict(self.own)
        for host in hosts:
            told = self.peers.get(host)
            for target, share in told.shares.items() if told is not None else ():
                found[target] = found.get(target, IDLE).plus(*share.parts)
        return found

    def first_event_s(self, target: TargetId, tokens: int, now: Instant) -> float:
        """Return when a new request's first event is expected, in seconds."""
        unread = self.share(target, now).unread_tokens + tokens
        pace = self.pace.get(target, 1.0)
        return BASE_S + pace * unread / DEFAULT_TOKENS_PER_S

    def forget_target(self, target: TargetId) -> None:
        """Drop what was measured of a target that started again."""
        self.pace.pop(target, None)

    def measured(self, target: TargetId, expected_s: float, took_s: float) -> None:
        """Learn an engine's pace from one request's first event."""
        old = self.pace.get(target, 1.0)
        seen = old * max(took_s - BASE_S, 0.001) / max(expected_s - BASE_S, 0.001)
        seen = min(SLOWEST, max(FASTEST, seen))
        self.pace[target] = old * PACE_MEMORY + seen * (1 - PACE_MEMORY)
