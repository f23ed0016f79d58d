"""Which requests come first where engines' adapter slots are scarce."""

from .load_queue import (
    MAX_SUMMARY_LEVELS,
    LoadClaim,
    LoadQueueSummary,
    expected_loads_ahead,
    slot_wait_s,
    summarise,
    value_level,
)
from .ranks import NO_RANKS, PoolRanks, Rank, pool_ranks, request_worth
from .reserve import SlotClaim, SlotReserve

__all__ = [
    "MAX_SUMMARY_LEVELS",
    "NO_RANKS",
    "LoadClaim",
    "LoadQueueSummary",
    "PoolRanks",
    "Rank",
    "SlotClaim",
    "SlotReserve",
    "expected_loads_ahead",
    "pool_ranks",
    "request_worth",
    "slot_wait_s",
    "summarise",
    "value_level",
]
