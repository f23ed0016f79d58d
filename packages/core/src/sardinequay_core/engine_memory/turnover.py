"""How long requests stay on engines, and so how soon they free memory."""

from dataclasses import dataclass

from .fit import EngineMemory

FIRST_MEAN_S = 2.0
"""Mean stay assumed before any was measured, in seconds."""

STAY_DECAY = 0.95
"""Weight of the old mean at each new stay; averages over about twenty requests."""


@dataclass(slots=True)
class StayTimes:
    """Mean time that this host's requests stay on engines, in seconds.

    Over all pools, and also of requests that broke off after their first event.
    """

    mean_s: float = FIRST_MEAN_S

    def record_stay(self, stay_s: float) -> None:
        """Count a request that has ended."""
        self.mean_s = self.mean_s * STAY_DECAY + stay_s * (1 - STAY_DECAY)

    def free_in_s(self, memory: EngineMemory, need: int) -> float:
        """Return the expected time until a request fits, in seconds.

        All that an engine holds is replaced once in the mean stay (Little's law). As
        others wait as well, as much as the request needs has to be freed.
        """
        if not memory.excess(need):
            return 0.0
        freed = max(need, memory.excess(need))
        return self.mean_s * min(1.0, freed / memory.held_tokens)
