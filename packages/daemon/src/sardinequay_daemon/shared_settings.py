"""Settings of hosts in any deployment: timing of calls between hosts, and tracing."""

from dataclasses import dataclass, field
from typing import Any


def ranged_field(default: float, low: float, high: float) -> Any:
    """Return a data class field for a number with a default and an allowed range."""
    return field(default=default, metadata={"range": (low, high)})


@dataclass(frozen=True, slots=True)
class TimingSettings:
    """Intervals and timeouts of communication between hosts and with targets."""

    gossip_s: float = ranged_field(0.5, 0.05, 60)
    suspect_s: float = ranged_field(2, 0.1, 600)
    lease_s: float = ranged_field(10, 0.5, 600)
    report_s: float = ranged_field(0.5, 0.05, 60)
    report_lag_s: float = ranged_field(2, 0, 60)
    call_timeout_s: float = ranged_field(1, 0.05, 60)
    silence_s: float = ranged_field(3, 0.2, 600)
    connect_timeout_s: float = ranged_field(1, 0.05, 60)
    platform_wait_s: float = ranged_field(10, 0.1, 600)
    list_confirm_s: float = ranged_field(60, 0.1, 3600)
    change_in_force_s: float = ranged_field(17, 0.5, 3600)
    join_wait_s: float = ranged_field(5, 0, 600)
    shutdown_s: float = ranged_field(130, 0, 3600)
    leave_notice_s: float = ranged_field(1, 0, 60)


@dataclass(frozen=True, slots=True)
class TraceSettings:
    """Where spans are exported: an OTLP/HTTP address, a file of JSON lines, or nowhere.

    Parameters
    ----------
    sample : float
        Share of requests traced if the caller made no sampling decision, 0 to 1.
    """

    otlp: str = ""
    file: str = ""
    sample: float = ranged_field(1, 0, 1)
