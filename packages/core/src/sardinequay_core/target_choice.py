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

FURTHER_COPY_S = 0.25
"""What a further copy of an adapter must save in waiting to be worth a cold load."""

FURTHER_WARM_COPY_S = 0.04
"""The same where the engine had the adapter lately and loads it from memory."""

NO_ROOM_S = 0.03
"""Evicting an idle adapter first: one more order, and the risk that none is idle."""

ALL_IN_USE_S = 0.6
"""Waiting until one of the adapters in use falls idle; streams run for seconds."""

OTHER_DATA_CENTRE_S = 0.004
"""Crossing to another data centre and back; also keeps bytes between them few."""

HOME_STEP_S = 0.012
"""How much the rank for a new adapter weighs: enough that hosts that see loads a
little differently load it on the same engine."""

PATIENCE = 0.85
"""Share of the time left that may go by before the first event is expected."""


class Holding(Enum):
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
        Whether somebody can order loads there now.
    """

    target: TargetId
    holding: Holding
    first_event_s: float
    is_local: bool
    ready_in_s: float = 0.0
    free_places: int = 0
    idle_adapters: int = 0
    home_rank: int = 0
    may_load: bool = True
    is_full: bool = False


@dataclass(frozen=True, slots=True)
class Send:
    """Send the request to an engine that has the adapter."""

    target: TargetId
    expected_s: float


@dataclass(frozen=True, slots=True)
class Load:
    """Have the adapter loaded on an engine, then choose anew."""

    target: TargetId
    expected_s: float


@dataclass(frozen=True, slots=True)
class TooBusy:
    """No engine can begin in time; `wait_s` until one could."""

    wait_s: float


@dataclass(frozen=True, slots=True)
class Nowhere:
    """No engine has the adapter and nobody can order it to be loaded."""


Choice = Send | Load | TooBusy | Nowhere


def load_s(option: EngineOption, has_copies: bool) -> float:
    """Return what getting the adapter onto an engine counts for, in seconds."""
    if option.holding is Holding.COMING:
        return option.ready_in_s
    is_warm = option.holding is Holding.RECENT
    cost = WARM_LOAD_S if is_warm else COLD_LOAD_S
    if has_copies:
        cost += FURTHER_WARM_COPY_S if is_warm else FURTHER_COPY_S
    else:
        cost += option.home_rank * HOME_STEP_S
    if option.free_places <= 0:
        cost += NO_ROOM_S if option.idle_adapters > 0 else ALL_IN_USE_S
    return cost


def choose(options: Sequence[EngineOption], left_s: float) -> Choice:
    """Return where a request goes that has `left_s` seconds for its first event."""
    has_copies = any(o.holding in (Holding.RESIDENT, Holding.COMING) for o in options)
    best: tuple[float, TargetId] | None = None
    chosen: EngineOption | None = None
    for option in options:
        cost = option.first_event_s
        if not option.is_local:
            cost += OTHER_DATA_CENTRE_S
        if option.is_full:
            cost += ALL_IN_USE_S
        if option.holding is not Holding.RESIDENT:
            if not option.may_load:
                continue
            cost += load_s(option, has_copies)
        if best is None or (cost, option.target) < best:
            best, chosen = (cost, option.target), option
    if best is None or chosen is None:
        return Nowhere()
    if best[0] > left_s * PATIENCE:
        return TooBusy(best[0] - left_s * PATIENCE)
    if chosen.holding is Holding.RESIDENT:
        return Send(chosen.target, best[0])
    return Load(chosen.target, best[0])
