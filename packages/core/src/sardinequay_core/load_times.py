"""How long loads of adapters take on one engine, and how often it takes another."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import Instant
from .names import AdapterRef

MAX_RECENT_ADAPTERS = 32
"""Adapters remembered as loading fast again; engines keep somewhat more in memory."""

MIN_COLD_LOAD_S = 0.265
"""A load from the weight store at full speed, in seconds, with the order's way."""

MAX_COLD_LOAD_S = 1.5
COLD_GROWTH = 1.15
COLD_DECAY = 0.97
"""How the expected load time follows a weight store that many load from at once."""

WARM_LOAD_S = 0.03
"""A load from the engine's memory, in seconds."""

INITIAL_TURNOVER_S = 0.1
"""Time between two loads of a full engine before any was seen, in seconds."""

TURNOVER_DECAY = 0.8
"""Weight of the past in the time between two loads; about five loads."""

MAX_TURNOVER_S = 1.0
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
    cold_load_s: float = MIN_COLD_LOAD_S
    turnover_s: float = INITIAL_TURNOVER_S
    full_since: Instant | None = None

    def expected_load_s(self, adapter: AdapterRef) -> float:
        """Return how long a load would take, in seconds."""
        return WARM_LOAD_S if adapter in self.recent else self.cold_load_s

    def record_load_start(self, adapter: AdapterRef) -> float:
        """Return how long a load that begins takes; forget slow ones a little."""
        if adapter not in self.recent:
            self.cold_load_s = max(MIN_COLD_LOAD_S, self.cold_load_s * COLD_DECAY)
        return self.expected_load_s(adapter)

    def record_late_load(self, adapter: AdapterRef) -> None:
        """Learn that a load took longer than expected, so it came from the store."""
        self.cold_load_s = min(MAX_COLD_LOAD_S, self.cold_load_s * COLD_GROWTH)
        self.recent.pop(adapter, None)

    def record_recent(self, adapter: AdapterRef) -> None:
        """Remember an adapter as one that the engine loads fast."""
        self.recent.pop(adapter, None)
        self.recent[adapter] = None
        while len(self.recent) > MAX_RECENT_ADAPTERS:
            del self.recent[next(iter(self.recent))]

    def restore_recent(self, recent: Iterable[AdapterRef]) -> None:
        """Take what another host told of the engine's memory."""
        self.recent = dict.fromkeys(recent)

    def record_waiting_load(self, now: Instant) -> None:
        """Note that a load waits for a place."""
        if self.full_since is None:
            self.full_since = now

    def record_place_taken(self, is_wanted: bool, now: Instant) -> None:
        """Learn how often the full engine takes another adapter."""
        since, self.full_since = self.full_since, now if is_wanted else None
        if since is None:
            return
        seen = min(MAX_TURNOVER_S, (now - since).total_seconds())
        old = self.turnover_s * TURNOVER_DECAY
        self.turnover_s = old + seen * (1 - TURNOVER_DECAY)
