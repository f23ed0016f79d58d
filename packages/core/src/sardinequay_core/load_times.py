"""Estimates of adapter load times and of the time between loads on one engine."""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import Instant
from .names import AdapterRef

MAX_RECENT_ADAPTERS = 32
"""Adapters that count as loadable from memory; engines keep somewhat more of them."""

MIN_COLD_LOAD_S = 0.265
"""A load from the weight store at full speed, in seconds, including the delivery of the
load order."""

MAX_COLD_LOAD_S = 1.5
COLD_GROWTH = 1.15
COLD_DECAY = 0.97
"""Bound and factors of the expected time of a cold load. It grows with each late load
and decays with each new one, since a weight store slows down when many engines load
from it at once."""

WARM_LOAD_S = 0.03
"""A load from the engine's memory, in seconds."""

INITIAL_TURNOVER_S = 0.1
"""Assumed time between two loads of a full engine before any was measured, in
seconds."""

TURNOVER_DECAY = 0.8
"""Weight of the old value of the time between two loads; averages over about five
loads."""

MAX_TURNOVER_S = 1.0
"""Bound on the time between two loads, in seconds: a time without load requests does
not measure the engine."""


@dataclass(slots=True)
class LoadTimes:
    """Load times of one engine, estimated from the loads that were ordered there.

    Parameters
    ----------
    recent : dict
        Adapters that the engine held recently and loads from memory, oldest first.
    cold_load_s : float
        Expected time of a load from the weight store, in seconds.
    turnover_s : float
        Time between two loads while the engine is full, in seconds.
    """

    recent: dict[AdapterRef, None] = field(default_factory=dict)
    cold_load_s: float = MIN_COLD_LOAD_S
    turnover_s: float = INITIAL_TURNOVER_S
    full_since: Instant | None = None

    def expected_load_s(self, adapter: AdapterRef) -> float:
        """Return the expected time to load an adapter, in seconds."""
        return WARM_LOAD_S if adapter in self.recent else self.cold_load_s

    def record_load_start(self, adapter: AdapterRef) -> float:
        """Return the expected time of a load that starts, in seconds.

        A cold load also lowers the expected time of cold loads a little.
        """
        if adapter not in self.recent:
            self.cold_load_s = max(MIN_COLD_LOAD_S, self.cold_load_s * COLD_DECAY)
        return self.expected_load_s(adapter)

    def record_late_load(self, adapter: AdapterRef) -> None:
        """Raise the expected time of cold loads after a late load.

        A late load came from the weight store, so the adapter no longer counts as
        loadable from the engine's memory.
        """
        self.cold_load_s = min(MAX_COLD_LOAD_S, self.cold_load_s * COLD_GROWTH)
        self.recent.pop(adapter, None)

    def record_recent(self, adapter: AdapterRef) -> None:
        """Record an adapter as loadable from the engine's memory."""
        self.recent.pop(adapter, None)
        self.recent[adapter] = None
        while len(self.recent) > MAX_RECENT_ADAPTERS:
            del self.recent[next(iter(self.recent))]

    def restore_recent(self, recent: Iterable[AdapterRef]) -> None:
        """Replace the recent adapters by those that another host reported."""
        self.recent = dict.fromkeys(recent)

    def record_waiting_load(self, now: Instant) -> None:
        """Record that a load waits for an adapter slot on the full engine."""
        if self.full_since is None:
            self.full_since = now

    def record_place_taken(self, has_waiting_load: bool, now: Instant) -> None:
        """Update the time between two loads when a waiting load gets a slot."""
        waiting_since, self.full_since = (
            self.full_since,
            now if has_waiting_load else None,
        )
        if waiting_since is None:
            return
        measured_s = min(MAX_TURNOVER_S, (now - waiting_since).total_seconds())
        weighted_s = self.turnover_s * TURNOVER_DECAY
        self.turnover_s = weighted_s + measured_s * (1 - TURNOVER_DECAY)
