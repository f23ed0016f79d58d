"""What a host knows of the load on engines: its own requests and its peers' shares.

An engine reads prompts one after another, so the tokens that wait to be read there say
when a request's first event can come. Each host knows its own; peers tell theirs a few
times a second.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import Instant, seconds
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


@dataclass(slots=True)
class LoadView:
    """Load on every engine, as this host sees it."""

    own: dict[TargetId, EngineShare] = field(default_factory=dict)
    peers: dict[HostId, tuple[Instant, Mapping[TargetId, EngineShare]]] = field(
        default_factory=dict
    )
    pace: dict[TargetId, float] = field(default_factory=dict)
    peer_life: timedelta = PEER_SHARE_LIFE

    def begin(self, target: TargetId, tokens: int) -> None:
        """Count a request in that is on its way to an engine."""
        share = self.own.get(target, EngineShare())
        self.own[target] = EngineShare(share.unread_tokens + tokens, share.running)

    def first_event(self, target: TargetId, tokens: int) -> None:
        """Count a request over from unread to running."""
        share = self.own[target]
        self.own[target] = EngineShare(share.unread_tokens - tokens, share.running + 1)

    def end(self, target: TargetId, tokens: int, had_first_event: bool) -> None:
        """Count a request out."""
        share = self.own[target]
        if had_first_event:
            left = EngineShare(share.unread_tokens, share.running - 1)
        else:
            left = EngineShare(share.unread_tokens - tokens, share.running)
        if left == EngineShare():
            del self.own[target]
        else:
            self.own[target] = left

    def hear(
        self, host: HostId, shares: Mapping[TargetId, EngineShare], now: Instant
    ) -> None:
        """Take a peer's share."""
        self.peers[host] = (now, shares)

    def forget(self, host: HostId) -> None:
        """Drop a peer that is gone; its requests are gone with it."""
        self.peers.pop(host, None)

    def share(self, target: TargetId, now: Instant) -> EngineShare:
        """Return the load of all hosts on an engine."""
        mine = self.own.get(target, EngineShare())
        unread, running = mine.unread_tokens, mine.running
        for at, shares in self.peers.values():
            theirs = shares.get(target)
            if theirs is not None and now - at < self.peer_life:
                unread += theirs.unread_tokens
                running += theirs.running
        return EngineShare(unread, running)

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
