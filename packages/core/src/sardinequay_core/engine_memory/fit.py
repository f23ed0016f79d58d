"""Whether a request fits in an engine's memory: now, later, or never."""

from dataclasses import dataclass
from enum import Enum


class MemoryFit(Enum):
    """When a request fits in an engine's memory.

    LATER means once some of the requests there have ended.
    """

    NOW = "now"
    LATER = "later"
    NEVER = "never"


UNREPORTED_SHARE = 1 / 8
"""Part of an engine's memory that hosts leave free for what they have not heard of yet.
Otherwise several hosts that hear late of one another fill the same room."""


@dataclass(frozen=True, slots=True)
class EngineMemory:
    """Memory of one engine, in tokens.

    Parameters
    ----------
    capacity : int
        Tokens that fit; 0 if not stated.
    held_tokens : int
        Tokens that the requests which hosts have sent there may come to need.
    hears_peers : bool
        Whether other hosts report what they send, and may have sent more since.
    """

    capacity: int
    held_tokens: int = 0
    hears_peers: bool = False

    def fit(self, need: int) -> MemoryFit:
        """Return when a request fits that may need some number of tokens."""
        if self.capacity and need > self.capacity:
            return MemoryFit.NEVER
        return MemoryFit.LATER if self.excess(need) else MemoryFit.NOW

    def excess(self, need: int) -> int:
        """Return how many tokens have to be freed before a request fits.

        Requests that state no tokens, and engines without a capacity, are not judged.
        """
        if not need or not self.capacity:
            return 0
        # A request that is larger than what hosts may fill goes to an empty engine.
        usable = max(need, self.usable_tokens())
        return max(0, self.held_tokens + need - usable)

    def usable_tokens(self) -> int:
        """Return how many tokens hosts may fill."""
        if not self.hears_peers:
            return self.capacity
        return int(self.capacity * (1 - UNREPORTED_SHARE))
