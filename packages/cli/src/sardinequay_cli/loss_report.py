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

from .log_lines import LogLine, parse_time

END_EVENTS = frozenset({"answered", "refused", "cut off"})
MIN_PAUSE = timedelta(seconds=1)
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


def compute_loss_report(lines: Iterable[LogLine]) -> LossReport:
    """Return where service was lost."""
    requests: dict[str, list[LogLine]] = defaultdict(list)
    orders: list[LogLine] = []
    for line in lines:
        if line.request:
            requests[line.request].append(line)
        elif line.event == "order":
            orders.append(line)
    orders.sort(key=lambda line: line.time)
    loads = [o for o in orders if is_accepted_load(o)]
    unused = count_unused_loads(loads, orders, use_times(requests.values()))
    by_organisation = count_losses("organisation", requests.values())
    by_organisation.pop("", None)
    return LossReport(
        count_losses("route", requests.values()),
        by_organisation,
        len(loads),
        unused,
        tuple(find_order_pauses(orders)),
    )


def is_accepted_load(order: LogLine) -> bool:
    """Return whether an order to load an adapter was accepted."""
    return (
        order.fields.get("kind") == "LoadAdapter"
        and order.fields.get("outcome") == "accepted"
    )


def count_losses(
    field_name: str, requests: Iterable[Sequence[LogLine]]
) -> dict[str, Losses]:
    """Return how requests ended, by a field of the line that tells their end."""
    losses_by_value: dict[str, Losses] = {}
    for lines in requests:
        end = next(
            (entry for entry in reversed(lines) if entry.event in END_EVENTS), None
        )
        if end is None:
            continue
        losses = losses_by_value.setdefault(
            str(end.fields.get(field_name, "")), Losses()
        )
        losses.asked += 1
        cause = loss_cause(lines, end)
        if cause:
            losses.causes[cause] = losses.causes.get(cause, 0) + 1
        else:
            losses.on_time += 1
    return losses_by_value


def loss_cause(lines: Sequence[LogLine], end: LogLine) -> str:
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
    sent = [entry for entry in lines if entry.event == "target chosen"]
    waited_s = float(sent[-1].fields.get("waited_s", 0.0)) if sent else 0.0
    return "late: before an engine" if waited_s > first_s / 2 else "late: at the engine"


EngineAdapter = tuple[str, str]


def use_times(
    requests: Iterable[Sequence[LogLine]],
) -> dict[EngineAdapter, list[datetime]]:
    """Return when requests were sent to each engine for each adapter."""
    uses: dict[EngineAdapter, list[datetime]] = defaultdict(list)
    for lines in requests:
        for line in lines:
            if line.event == "target chosen" and line.fields.get("adapter"):
                uses[engine_adapter(line, "adapter")].append(parse_time(line.time))
    return uses


def engine_adapter(line: LogLine, name: str) -> EngineAdapter:
    """Return the engine and the adapter, without its version, that a line names."""
    adapter = str(line.fields.get(name, "")).partition("@")[0]
    return str(line.fields.get("target", "")), adapter


def count_unused_loads(
    loads: Sequence[LogLine],
    orders: Sequence[LogLine],
    uses: dict[EngineAdapter, list[datetime]],
) -> int:
    """Return how many loads no request used before the adapter was dropped."""
    drops: dict[EngineAdapter, list[datetime]] = defaultdict(list)
    for order in orders:
        if order.fields.get("kind") == "UnloadAdapter":
            drops[engine_adapter(order, "subject")].append(parse_time(order.time))
    unused = 0
    for load in loads:
        pair, loaded_at = engine_adapter(load, "subject"), parse_time(load.time)
        dropped_at = min(
            (drop for drop in drops[pair] if drop > loaded_at), default=datetime.max
        )
        if not any(loaded_at <= use <= dropped_at for use in uses[pair]):
            unused += 1
    return unused


def find_order_pauses(orders: Iterable[LogLine]) -> Iterable[OrderPause]:
    """Return long spans without an order to an engine that more than one waited for."""
    last_orders: dict[str, LogLine] = {}
    for order in orders:
        target = str(order.fields.get("target", ""))
        previous = last_orders.get(target)
        last_orders[target] = order
        if previous is None or order.fields.get("wanted", 0) < 2:
            continue
        duration = parse_time(order.time) - parse_time(previous.time)
        if duration >= MIN_PAUSE:
            yield OrderPause(target, previous.time, round(duration.total_seconds(), 2))
