"""Choice of the target of a plain service for a request: the least loaded one.

Load pattern: short calls with a latency goal close to their processing time, on targets
with few slots, some of which are slow or full. The utilisation of a target counts
first; a target in the host's own data centre is preferred by less than one request. A
target with a rate limit looks idle. It is left out while no permit for it is expected,
except by requests that no other target is left for: these wait for the next permit.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .names import TargetId

LOCAL_PREFERENCE = 0.08
"""Difference in utilisation at which a target in another data centre is preferred: half
a slot of six."""

FULL_PENALTY = 2.0
"""Penalty for a target that rejected a request a moment ago: ranks it after all targets
that did not."""

PERMIT_WAIT_PENALTY = 1.0
"""Penalty for a target whose permit has to be waited for: ranks it after those that
have a free slot."""


@dataclass(frozen=True, slots=True)
class ServiceOption:
    """One target as a candidate for a request.

    Parameters
    ----------
    in_flight : int
        Requests in flight on the target, as far as known.
    tie_breaker : float
        A random number below 1 that decides between equal targets.
    is_limited : bool
        Whether the target takes not all requests of this host now.
    send_wait_s : float
        Expected wait until it takes the request, in seconds.
    pace : float
        Time that work is expected to take there, relative to the usual.
    """

    target: TargetId
    in_flight: int
    slots: int
    is_local: bool
    is_full: bool
    was_tried: bool
    tie_breaker: float
    is_limited: bool = False
    send_wait_s: float = 0.0
    pace: float = 1.0


def option_cost(option: ServiceOption) -> float:
    """Return the cost of a candidate; the lowest cost is chosen."""
    slots = max(1, option.slots)
    fill = option.in_flight / slots
    # The request itself counts with those in flight: it is slowed as they are.
    fill += (option.pace - 1.0) * (option.in_flight + 1) / slots
    fill += 0.0 if option.is_local else LOCAL_PREFERENCE
    fill += FULL_PENALTY if option.is_full else 0.0
    fill += 2 * FULL_PENALTY if option.was_tried else 0.0
    fill += PERMIT_WAIT_PENALTY + option.send_wait_s if option.send_wait_s else 0.0
    return fill + option.tie_breaker * LOCAL_PREFERENCE / 4


def may_wait_for_permit(options: Sequence[ServiceOption]) -> bool:
    """Return whether no target without a rate limit is left to try."""
    return all(o.is_limited or o.was_tried for o in options)


def select_target(
    options: Sequence[ServiceOption], max_permit_wait_s: float = 0.0
) -> ServiceOption | None:
    """Return the candidate with the lowest cost, or None if there is none.

    Parameters
    ----------
    max_permit_wait_s : float
        How long the request can wait for a permit to send, in seconds.
    """
    in_time = [o for o in options if o.send_wait_s <= max_permit_wait_s]
    return min(in_time, key=option_cost, default=None)
