"""Choice of an engine for a model request: one with its adapter, or one to load it.

Load pattern: a few engines with few adapter slots, steeply skewed demand, and prompt
processing as the bottleneck. An adapter stays on as few engines as its load needs,
since each extra copy costs a load from the weight store and a slot. An extra copy is
made only when queueing at the engines that have the adapter costs more than loading it.
A request whose first event cannot come within its remaining time is refused at once.
"""

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from .engine_memory import MemoryFit
from .engine_orders import LATE_ANSWER_WORTH
from .names import TargetId

WARM_LOAD_S = 0.04
"""Time for a load from an engine's own memory, in seconds, including the delivery of
the load order."""

COLD_LOAD_S = 0.3
"""Time for a load from the weight store at full speed, in seconds, including the
delivery of the load order."""

EXTRA_COPY_COST_S = 2.0
"""Waiting time that an extra copy of an adapter must save to justify a cold load and an
adapter slot, in seconds: there are fewer slots than adapters in demand."""

EXTRA_WARM_COPY_COST_S = 0.1
"""The same cost on an engine that had the adapter recently and loads it from memory."""

DESIRED_COPY_COST_S = 0.1
"""Cost of a copy that the adapter's share of all requests calls for, in seconds: enough
that an idle engine which already has the adapter is preferred."""

EVICTION_COST_S = 0.03
"""Cost of evicting an idle adapter first, in seconds: one more order, and the risk that
no adapter is idle by then."""

ALL_IN_USE_WAIT_S = 0.2
"""Expected wait until one of the adapters in use becomes idle, in seconds, in addition
to the queue for slots."""

FAILED_ENGINE_PENALTY_S = 0.5
"""Penalty for an engine that failed this request or did not get its adapter in time, in
seconds."""

FULL_ENGINE_PENALTY_S = 0.3
"""Penalty for an engine that rejected a request a moment ago because it was full, in
seconds."""

LAST_OF_VERSION_COST_S = 0.02
"""Cost of an engine beside which no other has its software version, in seconds: a
stream that breaks off there could not be resumed."""

CROSS_DATA_CENTRE_S = 0.004
"""Round trip to another data centre, in seconds; also keeps traffic between data
centres low."""

HOME_RANK_COST_S = 0.012
"""Cost of each rank in the preference order of engines for a new adapter, in seconds:
enough that hosts whose load views differ slightly load it on the same engine."""

MAX_WAIT_SHARE = 0.85
"""Share of the remaining time within which the first event has to be expected."""

RETRY_AFTER_SHARE = 0.6
"""Share of the expected wait after which a refused caller is told to retry: most of the
queue has been served by then, and the caller still has enough of its time."""


class AdapterState(Enum):
    """Whether an engine has a request's adapter.

    RECENT means that the engine recently had the adapter and can load it from memory,
    COMING that a load is ordered or running.
    """

    RESIDENT = "resident"
    COMING = "coming"
    RECENT = "recent"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class EngineOption:
    """One engine as a candidate for a request.

    Parameters
    ----------
    first_event_s : float
        Expected time to the first event if the adapter is resident, in seconds.
    loaded_in_s : float
        Expected time until an adapter that is being loaded is resident, in seconds.
    free_places : int
        Free adapter slots.
    idle_adapters : int
        Resident adapters that no known request uses.
    home_rank : int
        This engine's rank in the adapter's preference order; 0 is its home.
    may_load : bool
        Whether any keeper can order loads on the engine.
    keeper_wait_s : float
        Time until its keeper may order loads, in seconds; a new keeper waits first.
    queued : int
        Adapters that wait for a slot on the engine.
    behind : int
        How many of them would be loaded after the request's adapter.
    turnover_s : float
        Time between two loads while the engine is full, in seconds.
    keeper_estimate_s : float or None
        The keeper's own estimate of the time until the adapter is loaded, in seconds.
    is_limited : bool
        Whether the engine takes not all requests of this host now.
    send_wait_s : float
        Expected wait until it takes the request, in seconds.
    backoff_s : float
        The part of that wait that no request may shorten: the engine has asked this
        host for a backoff.
    is_last_of_version : bool
        Whether no other engine could resume a stream that breaks off there.
    memory_fit : MemoryFit
        When the request fits in the engine's memory.
    memory_wait_s : float
        Expected time until it fits, in seconds.
    """

    target: TargetId
    adapter_state: AdapterState
    first_event_s: float
    is_local: bool
    loaded_in_s: float = 0.0
    free_places: int = 0
    idle_adapters: int = 0
    home_rank: int = 0
    may_load: bool = True
    is_full: bool = False
    has_failed_request: bool = False
    keeper_wait_s: float = 0.0
    queued: int = 0
    behind: int = 0
    turnover_s: float = 0.0
    keeper_estimate_s: float | None = None
    is_limited: bool = False
    send_wait_s: float = 0.0
    backoff_s: float = 0.0
    is_last_of_version: bool = False
    memory_fit: MemoryFit = MemoryFit.NOW
    memory_wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class SendToEngine:
    """Send the request to an engine that has the adapter.

    Parameters
    ----------
    can_wait : bool
        Whether the request may wait for the engine, as no engine without a rate limit
        has the adapter.
    """

    target: TargetId
    expected_s: float
    can_wait: bool = False


@dataclass(frozen=True, slots=True)
class LoadOnEngine:
    """Have the adapter loaded on an engine, then choose again."""

    target: TargetId
    expected_s: float


@dataclass(frozen=True, slots=True)
class EnginesTooBusy:
    """No engine can send a first event in time.

    Parameters
    ----------
    wait_s : float
        Time to retry after, in seconds.
    is_limited : bool
        Whether the soonest engine has a rate limit.
    is_memory_full : bool
        Whether the request fits in no engine's memory now.
    """

    wait_s: float
    is_limited: bool = False
    is_memory_full: bool = False


@dataclass(frozen=True, slots=True)
class BeyondMemory:
    """The request fits in no engine's memory, not even in an empty one."""


@dataclass(frozen=True, slots=True)
class NoEngine:
    """No engine has the adapter and no keeper can order a load."""


EngineChoice = SendToEngine | LoadOnEngine | EnginesTooBusy | BeyondMemory | NoEngine


@dataclass(frozen=True, slots=True)
class AdapterCopies:
    """Whether any engine has, or recently had, a request's adapter.

    Parameters
    ----------
    is_below_desired : bool
        Whether at least one engine has the adapter, but fewer than its share of all
        requests calls for.
    """

    has_resident: bool
    has_recent: bool
    is_below_desired: bool = False


def has_adapter(option: EngineOption) -> bool:
    """Return whether an engine has the request's adapter, or will without an order."""
    return option.adapter_state in (AdapterState.RESIDENT, AdapterState.COMING)


def count_copies(options: Sequence[EngineOption], desired: int) -> AdapterCopies:
    """Summarise the state of a request's adapter over all engines.

    A copy on an engine that takes no request now, because of its rate limit, makes none
    of the others superfluous.
    """
    states = [o.adapter_state for o in options if not o.send_wait_s]
    available = states.count(AdapterState.RESIDENT) + states.count(AdapterState.COMING)
    return AdapterCopies(
        available > 0, AdapterState.RECENT in states, 0 < available < desired
    )


def expected_load_s(option: EngineOption) -> float:
    """Return the expected time until an engine has the adapter, in seconds."""
    if option.adapter_state is AdapterState.RESIDENT:
        return 0.0
    if option.adapter_state is AdapterState.COMING:
        return option.loaded_in_s
    if option.keeper_estimate_s is not None:
        return option.keeper_estimate_s
    is_warm = option.adapter_state is AdapterState.RECENT
    wait_s = option.keeper_wait_s + (WARM_LOAD_S if is_warm else COLD_LOAD_S)
    if option.free_places <= 0:
        wait_s += EVICTION_COST_S if option.idle_adapters > 0 else ALL_IN_USE_WAIT_S
        wait_s += (option.queued - option.behind) * option.turnover_s
    return wait_s


def expected_first_event_s(option: EngineOption) -> float:
    """Return the expected time to a request's first event, in seconds."""
    crossing_s = 0.0 if option.is_local else CROSS_DATA_CENTRE_S
    ready_s = max(option.send_wait_s, expected_load_s(option))
    return option.first_event_s + crossing_s + ready_s


def copy_cost_s(option: EngineOption, copies: AdapterCopies) -> float:
    """Return the cost of an extra copy of the adapter on an engine, in seconds."""
    if has_adapter(option):
        return 0.0
    if option.adapter_state is AdapterState.RECENT:
        return EXTRA_WARM_COPY_COST_S if copies.has_resident else 0.0
    if copies.is_below_desired:
        return DESIRED_COPY_COST_S + option.home_rank * HOME_RANK_COST_S
    if copies.has_resident or copies.has_recent:
        return EXTRA_COPY_COST_S
    return option.home_rank * HOME_RANK_COST_S


def delay_cost_s(option: EngineOption) -> float:
    """Return the cost of the delay to the loads that a request's load precedes.

    In seconds. Each is delayed by one load and counts as a late answer does. Otherwise
    all new requests would go to an engine whose queue consists of late ones, while
    another engine has none.
    """
    if has_adapter(option) or option.free_places > 0:
        return 0.0
    return option.behind * option.turnover_s * LATE_ANSWER_WORTH


def total_cost_s(option: EngineOption, copies: AdapterCopies) -> float:
    """Return the cost of sending a request to an engine, in seconds."""
    cost = expected_first_event_s(option) + copy_cost_s(option, copies)
    cost += delay_cost_s(option)
    if option.is_full:
        cost += FULL_ENGINE_PENALTY_S
    if option.has_failed_request:
        cost += FAILED_ENGINE_PENALTY_S
    if option.is_last_of_version:
        cost += LAST_OF_VERSION_COST_S
    return cost


def has_unlimited_copy(options: Sequence[EngineOption]) -> bool:
    """Return whether an engine without a rate limit has the adapter.

    One that failed the request does not count: another attempt there comes last.
    """
    return any(
        has_adapter(o) and not o.is_limited and not o.has_failed_request
        for o in options
    )


def memory_obstacle(
    options: Sequence[EngineOption],
) -> EnginesTooBusy | BeyondMemory | None:
    """Return why a request fits in no engine's memory now; None if it fits in one."""
    if any(o.memory_fit is MemoryFit.NOW for o in options):
        return None
    waits_s = [o.memory_wait_s for o in options if o.memory_fit is MemoryFit.LATER]
    if not waits_s:
        return BeyondMemory()
    return EnginesTooBusy(min(waits_s), is_memory_full=True)


def select_engine(
    options: Sequence[EngineOption],
    remaining_s: float,
    desired_copies: int = 1,
    max_permit_wait_s: float = math.inf,
) -> EngineChoice:
    """Choose the engine for a request, or the reason why there is none.

    Parameters
    ----------
    remaining_s : float
        How long the request can wait for its first event, in seconds.
    desired_copies : int
        Number of engines that should have the adapter by its share of all requests.
    max_permit_wait_s : float
        How long the request can wait for a permit to send, in seconds; it never waits
        where an engine without a rate limit has the adapter.
    """
    eligible = [
        o for o in options if o.adapter_state is AdapterState.RESIDENT or o.may_load
    ]
    if not eligible:
        return NoEngine()
    obstacle = memory_obstacle(eligible)
    if obstacle is not None:
        return obstacle
    # A copy of the adapter on a full engine makes none of the others superfluous.
    options = [o for o in options if o.memory_fit is MemoryFit.NOW]
    eligible = [o for o in eligible if o.memory_fit is MemoryFit.NOW]
    max_wait_s = remaining_s * MAX_WAIT_SHARE
    if has_unlimited_copy(options):
        max_permit_wait_s = 0.0
    in_time = [
        o
        for o in eligible
        if expected_first_event_s(o) <= max_wait_s
        and o.send_wait_s <= max_permit_wait_s
    ]
    if not in_time:
        soonest = min(eligible, key=expected_first_event_s)
        soonest_s = expected_first_event_s(soonest)
        return EnginesTooBusy(
            max(
                soonest_s - max_wait_s,
                soonest_s * RETRY_AFTER_SHARE,
                soonest.backoff_s,
            ),
            soonest.send_wait_s > 0,
        )
    copies = count_copies(options, desired_copies)
    best = min(in_time, key=lambda o: (total_cost_s(o, copies), o.target))
    if best.adapter_state is AdapterState.RESIDENT:
        can_wait = best.is_limited and not has_unlimited_copy(options)
        return SendToEngine(best.target, expected_first_event_s(best), can_wait)
    return LoadOnEngine(best.target, expected_first_event_s(best))
