"""What a trial's system looks like."""

from dataclasses import dataclass, field


@dataclass(frozen=True, slots=True)
class Plan:
    """The sizes of a trial.

    Parameters
    ----------
    hosts, engines, services : int
        In each data centre.
    adapters : int
        How many the first bundle offers, each with version 1.
    relayed : bool
        Whether links to hosts and targets go through the relay that can cut them.
    timing, claims, limits : dict
        Settings of hosts that differ from the defaults.
    """

    data_centres: tuple[str, ...] = ("tukwila", "hillsboro")
    hosts: int = 1
    engines: int = 1
    services: int = 1
    adapters: int = 40
    slots: int = 4
    loads_per_s: float = 4.0
    step_s: float = 0.01
    service_delay_s: float = 0.005
    ignores_fencing: bool = False
    relayed: bool = False
    traced: bool = False
    timing: dict[str, float] = field(default_factory=dict)
    claims: dict[str, float] = field(default_factory=dict)
    limits: dict[str, float] = field(default_factory=dict)


FAST_TIMING: dict[str, float] = {
    "lease_s": 3,
    "report_s": 0.2,
    "report_lag_s": 0.3,
    "gossip_s": 0.2,
    "suspect_s": 0.6,
    "silence_s": 1,
    "join_wait_s": 3,
    "list_confirm_s": 1,
}
"""Shorter periods, so that trials need not wait for the usual ones."""
FAST_CLAIMS: dict[str, float] = {"window_s": 1, "life_s": 60}
SHORT_REQUESTS: dict[str, float] = {"longest_request_s": 10, "default_deadline_s": 8}

ENGINE_POOL = "kiosk-lm"
SERVICE_POOL = "order-desk"
SERVICE_PREFIX = "/orders"
CALLER = "kiosks"
OTHER_CALLER = "lab"
TOKENS = {CALLER: "kiosks-token", OTHER_CALLER: "lab-token"}
BASE_MODEL = "captions-7b"
