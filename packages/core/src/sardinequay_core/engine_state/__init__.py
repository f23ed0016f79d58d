"""What is known of an engine, by which its scheduler decides."""

from .known_state import REPORT_INTERVAL_S, REPORT_LAG_S, EngineState, slot_claim

__all__ = ["REPORT_INTERVAL_S", "REPORT_LAG_S", "EngineState", "slot_claim"]
