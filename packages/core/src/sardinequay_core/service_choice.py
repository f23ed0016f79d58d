"""Which target of a plain service a request goes to: the one with the least to do.

Load pattern: short calls with a goal near their work's length, on targets with few
places, some of which are slow or full. The fill of a target counts first; a target in
the own data centre is preferred by less than one request's worth.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .names import TargetId

LOCAL_PREFERENCE = 0.08
"""Fill by which a target elsewhere must be emptier: half a place of six."""

FULL_PENALTY = 2.0
"""A target that rejected a request a moment ago comes after all that did not."""


@dataclass(frozen=True, slots=True)
class ServiceOption:
    """One target as a request may use it.

    Parameters
    ----------
    in_work : int
        Requests that are known to be there.
    spread : float
        A random number below 1 that parts equals.
    """

    target: TargetId
    in_flight: int
    slots: int
    is_local: bool
    is_full: bool
    was_tried: bool
    tie_breaker: float


def option_cost(option: ServiceOption) -> float:
    """Return an option's rank; the lowest is taken."""
    fill = option.in_flight / max(1, option.slots)
    fill += 0.0 if option.is_local else LOCAL_PREFERENCE
    fill += FULL_PENALTY if option.is_full else 0.0
    fill += 2 * FULL_PENALTY if option.was_tried else 0.0
    return fill + option.tie_breaker * LOCAL_PREFERENCE / 4


def select_target(options: Sequence[ServiceOption]) -> TargetId | None:
    """Return the target to send to, or None if there is none."""
    best = min(options, key=option_cost, default=None)
    return best.target if best is not None else None
