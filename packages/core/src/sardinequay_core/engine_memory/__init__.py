"""Which requests fit in an engine's memory, by what hosts have sent to it."""

from .fit import EngineMemory, MemoryFit
from .held_tokens import HeldTokens
from .turnover import StayTimes

__all__ = ["EngineMemory", "HeldTokens", "MemoryFit", "StayTimes"]
