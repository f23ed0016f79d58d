"""What targets state of their load, and how long a statement counts."""

from .samples import FRESH_FOR, LoadSamples, bounded_pace
from .stated_load import LoadSample, StatedLoad

__all__ = ["FRESH_FOR", "LoadSample", "LoadSamples", "StatedLoad", "bounded_pace"]
