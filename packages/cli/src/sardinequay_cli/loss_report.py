"""Computes failed and late requests, and their causes, from hosts' log lines.

For each request the log holds the time at which it was sent to its last target, the
time of its first event, its end, and the latency goal for the first event. A late
answer is attributed to the longer of its two waits: for an adapter slot, or at the
engine. The logged orders show loads that no request used, and pauses in the orders to
an engine that requests waited for.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta

from .log_lines import LogLine, parse_time

END_EVENTS = frozenset({"answered", "refused", "cut off"})
MIN_PAUSE = timedelta(seconds=1)
"""An engine that requests wait for gets an order every few tenths of a second; a longer
pause means that no host was sending it orders."""


@dataclass(slots=True)
class Losses:
    """Counts of requests of a route or organisation: all, on time, others by cause."""

    asked: int = 0
    on_time: int = 0
    causes: dict[str, int] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class OrderPause:
    """A span in which an engine got no order although requests waited for it."""

    target: str
    began: str
    lasted_s: float


@dataclass(frozen=True, slots=True)
class LossReport:
    """Losses by route and organisation, unused loads, and pauses in engines' orders.

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
    """Compute the loss report from log lines in any order."""
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
    """Return whether a log line reports an accepted order to load an adapter."""
    return (
        order.fields.get("kind") == "LoadAdapter"
        and order.fields.get("outcome") == "accepted"
    )


def count_losses(
    field_name: str, requests: Iterable[Sequence[LogLine]]
) -> dict[str, Losses]:
    """Count the ends of requests, grouped by a field of the log line of the end."""
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
        reason = str(end.fields.get("detail", "")).partition(",")[0]
        return f"refused: {reason}{share_note(lines)}"
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
    if waited_s > first_s / 2:
        return f"late: before an engine{share_note(lines)}"
    return "late: at the engine"


def share_note(lines: Iterable[LogLine]) -> str:
    """Return a note if a request's waits counted less for its organisation's share."""
    is_weighed_down = any(
        entry.event == "waited for adapter" and entry.fields.get("share_weight", 1) < 1
        for entry in lines
    )
    return ", above its share" if is_weighed_down else ""


EngineAdapter = tuple[str, str]


def use_times(
    requests: Iterable[Sequence[LogLine]],
) -> dict[EngineAdapter, list[datetime]]:
    """Return the times at which requests were sent to each engine for each adapter."""
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
    """Return how many loads no request used before the adapter was unloaded."""
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
    """Yield long pauses in orders to an engine that at least two requests wait for."""
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
