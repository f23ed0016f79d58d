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

FURTHER_COPY_S = 2.0
"""What a further copy of an adapter must save in waiting to be worth a cold load and a
place, of which there are fewer than adapters in demand."""

FURTHER_WARM_COPY_S = 0.1
"""The same where the engine had the adapter lately and loads it from memory."""

DUE_COPY_S = 0.1
"""What a copy counts for that the adapter's share of all requests is due: enough that
an idle engine that has it goes first."""

NO_ROOM_S = 0.03
"""Evicting an idle adapter first: one more order, and the risk that none is idle."""

ALL_IN_USE_S = 0.2
"""Waiting until one of the adapters in use falls idle, beside the queue for places."""

BARRED_S = 0.5
"""An engine that failed this request, or did not get its adapter in time."""

FULL_S = 0.3
"""An engine that rejected a request a moment ago because it was full."""

OTHER_DATA_CENTRE_S = 0.004
"""Crossing to another data centre and back; also keeps bytes between them few."""

HOME_STEP_S = 0.012
"""How much the rank for a new adapter weighs: enough that hosts that see loads a
little differently load it on the same engine."""

PATIENCE = 0.85
"""Share of the time left that may go by before the first event is expected."""

QUEUE_GONE = 0.6
"""Part of the expected wait after which a refused caller is told to come back: most of
the queue is gone by then, and enough of its time is left."""


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
    holding: Holding
    first_event_s: float
    is_local: bool
    ready_in_s: float = 0.0
    free_places: int = 0
    idle_adapters: int = 0
    home_rank: int = 0
    may_load: bool = True
    is_full: bool = False
    was_barred: bool = False
    opens_in_s: float = 0.0
    queued: int = 0
    turnover_s: float = 0.0
    told_s: float | None = None


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


@dataclass(frozen=True, slots=True)
class Copies:
    """Whether any engine has a request's adapter, or had it lately.

    Parameters
    ----------
    is_due : bool
        Whether fewer engines have it than its share of all requests is due.
    """

    any_resident: bool
    any_recent: bool
    is_due: bool = False


def copies_of(options: Sequence[EngineOption], due: int) -> Copies:
    """Return where a request's adapter is, over all engines."""
    held = [o.holding for o in options]
    there = held.count(Holding.RESIDENT) + held.count(Holding.COMING)
    return Copies(there > 0, Holding.RECENT in held, 0 < there < due)


def load_s(option: EngineOption) -> float:
    """Return when the adapter is expected on an engine, in seconds."""
    if option.holding is Holding.RESIDENT:
        return 0.0
    if option.holding is Holding.COMING:
        return option.ready_in_s
    if option.told_s is not None:
        return option.told_s
    is_warm = option.holding is Holding.RECENT
    wait_s = option.opens_in_s + (WARM_LOAD_S if is_warm else COLD_LOAD_S)
    if option.free_places <= 0:
        wait_s += NO_ROOM_S if option.idle_adapters > 0 else ALL_IN_USE_S
        wait_s += option.queued * option.turnover_s
    return wait_s


def time_s(option: EngineOption) -> float:
    """Return when a request's first event is expected from an engine, in seconds."""
    crossing_s = 0.0 if option.is_local else OTHER_DATA_CENTRE_S
    return option.first_event_s + crossing_s + load_s(option)


def copy_s(option: EngineOption, copies: Copies) -> float:
    """Return what another copy of the adapter counts for, in seconds."""
    if option.holding in (Holding.RESIDENT, Holding.COMING):
        return 0.0
    if option.holding is Holding.RECENT:
        return FURTHER_WARM_COPY_S if copies.any_resident else 0.0
    if copies.is_due:
        return DUE_COPY_S + option.home_rank * HOME_STEP_S
    if copies.any_resident or copies.any_recent:
        return FURTHER_COPY_S
    return option.home_rank * HOME_STEP_S


def cost_s(option: EngineOption, copies: Copies) -> float:
    """Return what sending a request to an engine counts for, in seconds."""
    cost = time_s(option) + copy_s(option, copies)
    if option.is_full:
        cost += FULL_S
    if option.was_barred:
        cost += BARRED_S
    return cost


def choose(
    options: Sequence[EngineOption], left_s: float, copies_due: int = 1
) -> Choice:
    """Return where a request goes.

    Parameters
    ----------
    left_s : float
        How long the request can wait for its first event, in seconds.
    copies_due : int
        On how many engines its adapter should be by its share of all requests.
    """
    open_to = [o for o in options if o.holding is Holding.RESIDENT or o.may_load]
    if not open_to:
        return Nowhere()
    patience_s = left_s * PATIENCE
    in_time = [o for o in open_to if time_s(o) <= patience_s]
    if not in_time:
        soonest_s = min(time_s(o) for o in open_to)
        return TooBusy(max(soonest_s - patience_s, soonest_s * QUEUE_GONE))
    copies = copies_of(options, copies_due)
    best = min(in_time, key=lambda o: (cost_s(o, copies), o.target))
    if best.holding is Holding.RESIDENT:
        return Send(best.target, time_s(best))
    return Load(best.target, time_s(best))
