"""Where one model request goes: to an engine that has its adapter, or one to load it.

Load pattern: a few engines with few places for adapters, steeply skewed demand, and
prompts whose reading is the bottleneck. An adapter stays on as few engines as carry it,
since each further copy costs a load from the weight store and a place; a copy is worth
it only when waiting for the engines that have the adapter costs more than loading it.
A request that cannot have its first event in the time it has is refused at once.
"""

from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum

from .names import TargetId

WARM_LOAD_S = 0.04
"""A load from an engine's own memory, with the order's way, in seconds."""

COLD_LOAD_S = 0.3
"""A load from the weight store at full speed, with the order's way, in seconds."""

EXTRA_COPY_COST_S = 2.0
"""What a further copy of an adapter must save in waiting to be worth a cold load and a
place, of which there are fewer than adapters in demand."""

EXTRA_WARM_COPY_COST_S = 0.1
"""The same where the engine had the adapter lately and loads it from memory."""

DESIRED_COPY_COST_S = 0.1
"""What a copy counts for that the adapter's share of all requests is due: enough that
an idle engine that has it goes first."""

EVICTION_COST_S = 0.03
"""Evicting an idle adapter first: one more order, and the risk that none is idle."""

ALL_IN_USE_WAIT_S = 0.2
"""Waiting until one of the adapters in use falls idle, beside the queue for places."""

FAILED_ENGINE_PENALTY_S = 0.5
"""An engine that failed this request, or did not get its adapter in time."""

FULL_ENGINE_PENALTY_S = 0.3
"""An engine that rejected a request a moment ago because it was full."""

CROSS_DATA_CENTRE_S = 0.004
"""Crossing to another data centre and back; also keeps bytes between them few."""

HOME_RANK_COST_S = 0.012
"""How much the rank for a new adapter weighs: enough that hosts that see loads a
little differently load it on the same engine."""

MAX_WAIT_SHARE = 0.85
"""Share of the time left that may go by before the first event is expected."""

RETRY_AFTER_SHARE = 0.6
"""Part of the expected wait after which a refused caller is told to come back: most of
the queue is gone by then, and enough of its time is left."""


class AdapterState(Enum):
    """Whether an engine has a request's adapter."""

    RESIDENT = "resident"
    COMING = "coming"
    RECENT = "recent"
    ABSENT = "absent"


@dataclass(frozen=True, slots=True)
class EngineOption:
    """One engine as a request may use it.

    Parameters
    ----------
    first_event_s : float
        Expected time to the first event if the adapter is there, in seconds.
    ready_in_s : float
        For an adapter that is coming: when it is expected, in seconds.
    free_places : int
        Places for adapters that are free.
    idle_adapters : int
        Adapters that no known request uses.
    home_rank : int
        This engine's rank for the adapter; 0 is its home.
    may_load : bool
        Whether somebody can order loads there.
    opens_in_s : float
        In how long that begins, in seconds: a new keeper waits at first.
    queued : int
        Adapters that wait for a place there.
    turnover_s : float
        Time between two loads while it is full, in seconds.
    told_s : float or None
        How long the adapter would take, as the engine's keeper said, in seconds.
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
    turnover_s: float = 0.0
    keeper_estimate_s: float | None = None


@dataclass(frozen=True, slots=True)
class SendToEngine:
    """Send the request to an engine that has the adapter."""

    target: TargetId
    expected_s: float


@dataclass(frozen=True, slots=True)
class LoadOnEngine:
    """Have the adapter loaded on an engine, then choose anew."""

    target: TargetId
    expected_s: float


@dataclass(frozen=True, slots=True)
class EnginesTooBusy:
    """No engine can begin in time; `wait_s` until one could."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class NoEngine:
    """No engine has the adapter and nobody can order it to be loaded."""


EngineChoice = SendToEngine | LoadOnEngine | EnginesTooBusy | NoEngine


@dataclass(frozen=True, slots=True)
class AdapterCopies:
    """Whether any engine has a request's adapter, or had it lately.

    Parameters
    ----------
    is_due : bool
        Whether fewer engines have it than its share of all requests is due.
    """

    any_resident: bool
    any_recent: bool
    is_below_desired: bool = False


def count_copies(options: Sequence[EngineOption], desired: int) -> AdapterCopies:
    """Return where a request's adapter is, over all engines."""
    held = [o.adapter_state for o in options]
    there = held.count(AdapterState.RESIDENT) + held.count(AdapterState.COMING)
    return AdapterCopies(there > 0, AdapterState.RECENT in held, 0 < there < desired)


def expected_load_s(option: EngineOption) -> float:
    """Return when the adapter is expected on an engine, in seconds."""
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
        wait_s += option.queued * option.turnover_s
    return wait_s


def expected_first_event_s(option: EngineOption) -> float:
    """Return when a request's first event is expected from an engine, in seconds."""
    crossing_s = 0.0 if option.is_local else CROSS_DATA_CENTRE_S
    return option.first_event_s + crossing_s + expected_load_s(option)


def copy_cost_s(option: EngineOption, copies: AdapterCopies) -> float:
    """Return what another copy of the adapter counts for, in seconds."""
    if option.adapter_state in (AdapterState.RESIDENT, AdapterState.COMING):
        return 0.0
    if option.adapter_state is AdapterState.RECENT:
        return EXTRA_WARM_COPY_COST_S if copies.any_resident else 0.0
    if copies.is_below_desired:
        return DESIRED_COPY_COST_S + option.home_rank * HOME_RANK_COST_S
    if copies.any_resident or copies.any_recent:
        return EXTRA_COPY_COST_S
    return option.home_rank * HOME_RANK_COST_S


def total_cost_s(option: EngineOption, copies: AdapterCopies) -> float:
    """Return what sending a request to an engine counts for, in seconds."""
    cost = expected_first_event_s(option) + copy_cost_s(option, copies)
    if option.is_full:
        cost += FULL_ENGINE_PENALTY_S
    if option.has_failed_request:
        cost += FAILED_ENGINE_PENALTY_S
    return cost


def select_engine(
    options: Sequence[EngineOption], remaining_s: float, desired_copies: int = 1
) -> EngineChoice:
    """Return where a request goes.

    Parameters
    ----------
    left_s : float
        How long the request can wait for its first event, in seconds.
    copies_due : int
        On how many engines its adapter should be by its share of all requests.
    """
    eligible = [
        o for o in options if o.adapter_state is AdapterState.RESIDENT or o.may_load
    ]
    if not eligible:
        return NoEngine()
    max_wait_s = remaining_s * MAX_WAIT_SHARE
    in_time = [o for o in eligible if expected_first_event_s(o) <= max_wait_s]
    if not in_time:
        soonest_s = min(expected_first_event_s(o) for o in eligible)
        return EnginesTooBusy(
            max(soonest_s - max_wait_s, soonest_s * RETRY_AFTER_SHARE)
        )
    copies = count_copies(options, desired_copies)
    best = min(in_time, key=lambda o: (total_cost_s(o, copies), o.target))
    if best.adapter_state is AdapterState.RESIDENT:
        return SendToEngine(best.target, expected_first_event_s(best))
    return LoadOnEngine(best.target, expected_first_event_s(best))
