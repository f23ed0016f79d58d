"""Where service was lost, computed from hosts' log lines.

For each request the log tells when it was sent to its last target, when its first event
came, how it ended, and by when it should have had its first event. A late answer is put
down to the longer of its waits: for an adapter's place, or at the engine. Orders tell
which loads served nobody, and for how long an engine that was waited for got none.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from .log_lines import LogLine, moment

ENDS = frozenset({"answered", "refused", "cut off"})
LONG_PAUSE = timedelta(seconds=1)
"""Engines that are waited for get an order each few tenths of a second; a longer pause
means that nobody ordered them."""


@dataclass(slots=True)
class Losses:
    """How the requests of one route, or of one organisation, ended."""

    asked: int = 0
    on_time: int = 0
    causes: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OrderPause:
    """A span in which an engine that was waited for got no order."""

    target: str
    began: str
    lasted_s: float


@dataclass(frozen=True, slots=True)
class LossReport:
    """Losses by route and by organisation, and what engines' orders show.

    Parameters
    ----------
    organisations : dict
        Empty where callers need no keys.
    """

    routes: dict[str, Losses]
    organisations: dict[str, Losses]
    loads: int
    unused_loads: int
    pauses: tuple[OrderPause, ...]


def report_of(lines: Iterable[LogLine]) -> LossReport:
    """Return where service was lost."""
    requests: dict[str, list[LogLine]] = defaultdict(list)
    orders: list[LogLine] = []
    for line in lines:
        if line.request:
            requests[line.request].append(line)
        elif line.event == "order":
            orders.append(line)
    orders.sort(key=lambda line: line.time)
    loads = [o for o in orders if is_load(o)]
    unused = count_unused(loads, orders, uses_of(requests.values()))
    by_organisation = losses_by("organisation", requests.values())
    by_organisation.pop("", None)
    return LossReport(
        losses_by("route", requests.values()),
        by_organisation,
        len(loads),
        unused,
        tuple(pauses_of(orders)),
    )


def is_load(order: LogLine) -> bool:
    """Return whether an order to load an adapter was accepted."""
    return (
        order.fields.get("kind") == "LoadAdapter"
        and order.fields.get("outcome") == "accepted"
    )


def losses_by(
    field_name: str, requests: Iterable[Sequence[LogLine]]
) -> dict[str, Losses]:
    """Return how requests ended, by a field of the line that tells their end."""
    found: dict[str, Losses] = {}
    for lines in requests:
        end = next((x for x in reversed(lines) if x.event in ENDS), None)
        if end is None:
            continue
        losses = found.setdefault(str(end.fields.get(field_name, "")), Losses())
        losses.asked += 1
        cause = cause_of(lines, end)
        if cause:
            losses.causes[cause] = losses.causes.get(cause, 0) + 1
        else:
            losses.on_time += 1
    return found


def cause_of(lines: Sequence[LogLine], end: LogLine) -> str:
    """Return why a request was not answered on time; empty if it was."""
    if end.event == "refused":
        return "refused: " + str(end.fields.get("detail", "")).partition(",")[0]
    if end.event == "cut off":
        return "cut off"
    result = str(end.fields.get("result", ""))
    if not result.startswith("2"):
        return f"status {result}"
    first_s, goal_s = end.fields.get("first_s", 0.0), end.fields.get("goal_s", 0.0)
    if not goal_s or first_s <= goal_s:
        return ""
    sent = [x for x in lines if x.event == "target chosen"]
    waited_s = float(sent[-1].fields.get("waited_s", 0.0)) if sent else 0.0
    return "late: before an engine" if waited_s > first_s / 2 else "late: at the engine"


Held = tuple[str, str]


def uses_of(requests: Iterable[Sequence[LogLine]]) -> dict[Held, list[datetime]]:
    """Return when requests were sent to each engine for each adapter."""
    uses: dict[Held, list[datetime]] = defaultdict(list)
    for lines in requests:
        for line in lines:
            if line.event == "target chosen" and line.fields.get("adapter"):
                uses[held_of(line, "adapter")].append(moment(line.time))
    return uses


def held_of(line: LogLine, name: str) -> Held:
    """Return the engine and the adapter, without its version, that a line names."""
    adapter = str(line.fields.get(name, "")).partition("@")[0]
    return str(line.fields.get("target", "")), adapter


def count_unused(
    loads: Sequence[LogLine],
    orders: Sequence[LogLine],
    uses: dict[Held, list[datetime]],
) -> int:
    """Return how many loads no request used before the adapter was dropped."""
    drops: dict[Held, list[datetime]] = defaultdict(list)
    for order in orders:
        if order.fields.get("kind") == "UnloadAdapter":
            drops[held_of(order, "subject")].append(moment(order.time))
    unused = 0
    for load in loads:
        held, began = held_of(load, "subject"), moment(load.time)
        ended = min((d for d in drops[held] if d > began), default=datetime.max)
        if not any(began <= used <= ended for used in uses[held]):
            unused += 1
    return unused


def pauses_of(orders: Iterable[LogLine]) -> Iterable[OrderPause]:
    """Return long spans without an order to an engine that more than one waited for."""
    last: dict[str, LogLine] = {}
    for order in orders:
        target = str(order.fields.get("target", ""))
        before = last.get(target)
        last[target] = order
        if before is None or order.fields.get("wanted", 0) < 2:
            continue
        lasted = moment(order.time) - moment(before.time)
        if lasted >= LONG_PAUSE:
            yield OrderPause(target, before.time, round(lasted.total_seconds(), 2))
