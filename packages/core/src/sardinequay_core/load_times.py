"""How long loads of adapters take on one engine, and how often it takes another."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import Instant
from .names import AdapterRef

RECENT_KEPT = 32
"""Adapters remembered as loading fast again; engines keep somewhat more in memory."""

COLD_S = 0.265
"""A load from the weight store at full speed, in seconds, with the order's way."""

SLOWEST_COLD_S = 1.5
COLD_GROWTH = 1.15
COLD_DECAY = 0.97
"""How the expected load time follows a weight store that many load from at once."""

WARM_S = 0.03
"""A load from the engine's memory, in seconds."""

FIRST_TURNOVER_S = 0.1
"""Time between two loads of a full engine before any was seen, in seconds."""

TURNOVER_MEMORY = 0.8
"""Weight of the past in the time between two loads; about five loads."""

LONGEST_TURNOVER_S = 1.0
"""Bound on the time between two loads: a pause without wishes is none."""


@dataclass(slots=True)
class LoadTimes:
    """What one engine's loads take, learned from those that were ordered.

    Parameters
    ----------
    recent : dict
        Adapters that the engine held lately, oldest first; it loads them from memory.
    cold_s : float
        A load from the weight store, in seconds.
    turnover_s : float
        Time between two loads while the engine is full, in seconds.
    """

    recent: dict[AdapterRef, None] = field(default_factory=dict)
    cold_s: float = COLD_S
    turnover_s: float = FIRST_TURNOVER_S
    full_since: Instant | None = None

    def takes_s(self, adapter: AdapterRef) -> float:
        """Return how long a load would take, in seconds."""
        return WARM_S if adapter in self.recent else self.cold_s

    def begin(self, adapter: AdapterRef) -> float:
        """Return how long a load that begins takes; forget slow ones a little."""
        if adapter not in self.recent:
            self.cold_s = max(COLD_S, self.cold_s * COLD_DECAY)
        return self.takes_s(adapter)

    def was_late(self, adapter: AdapterRef) -> None:
        """Learn that a load took longer than expected, so it came from the store."""
        self.cold_s = min(SLOWEST_COLD_S, self.cold_s * COLD_GROWTH)
        self.recent.pop(adapter, None)

    def remember(self, adapter: AdapterRef) -> None:
        """Remember an adapter as one that the engine loads fast."""
        self.recent.pop(adapter, None)
        self.recent[adapter] = None
        while len(self.recent) > RECENT_KEPT:
            del self.recent[next(iter(self.recent))]

    def inherit(self, recent: Iterable[AdapterRef]) -> None:
        """Take what another host told of the engine's memory."""
        self.recent = dict.fromkeys(recent)

    def found_full(self, now: Instant) -> None:
        """Note that a load waits for a place."""
        if self.full_since is None:
            self.full_since = now

    def took_place(self, is_wanted: bool, now: Instant) -> None:
        """Learn how often the full engine takes another adapter."""
        since, self.full_since = self.full_since, now if is_wanted else None
        if since is None:
            return
        seen = min(LONGEST_TURNOVER_S, (now - since).total_seconds())
        old = self.turnover_s * TURNOVER_MEMORY
        self.turnover_s = old + seen * (1 - TURNOVER_MEMORY)
