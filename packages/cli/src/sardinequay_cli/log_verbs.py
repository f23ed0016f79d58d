"""The verbs that read logs collected from hosts."""

from argparse import Namespace
from dataclasses import asdict
from datetime import datetime, timedelta
from typing import Any

from .errors import EXIT_FINDINGS
from .log_lines import LogLine, moment, read_lines
from .loss_report import Losses, LossReport, report_of
from .output import Output

BEFORE = timedelta(seconds=5)
"""Orders this long before a request's first line may be its own: it is logged when the
wait for an adapter ends."""

TARGET_EVENTS = frozenset({"target changed", "target left out", "engine holds"})


def explain(arguments: Namespace) -> Output:
    """Show what became of a request and why, from collected logs."""
    lines = list(read_lines(arguments.files))
    own = [line for line in lines if line.request == arguments.id]
    context = context_of(own, lines)
    chosen = sorted([*own, *context], key=lambda line: line.time)
    text = tuple(line.text() for line in chosen)
    document = {
        "id": arguments.id,
        "lines": [
            {"time": x.time, "host": x.host, "event": x.event, **x.fields}
            for x in chosen
        ],
    }
    if not own:
        return Output((f"no line tells of {arguments.id}",), document, EXIT_FINDINGS)
    return Output(text, document)


def context_of(own: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return what else happened to the request's targets and adapter meanwhile."""
    if not own:
        return []
    first = moment(min(x.time for x in own))
    began = first - BEFORE if first > datetime.min + BEFORE else first
    last = max(x.time for x in own)
    targets = {x.fields.get("target") for x in own}
    adapters = {x.fields["adapter"] for x in own if "adapter" in x.fields}
    return [
        line
        for line in lines
        if not line.request
        and line.time <= last
        and (
            (line.event in TARGET_EVENTS and concerns(line, own, targets))
            or (line.fields.get("subject") in adapters and moment(line.time) >= began)
        )
    ]


def concerns(line: LogLine, own: list[LogLine], targets: set[Any]) -> bool:
    """Return whether a line tells a request's own host of one of its targets."""
    return line.host == own[0].host and line.fields.get("target") in targets


def losses(arguments: Namespace) -> Output:
    """Show where service was lost: by route, by cause, and in engines' orders."""
    report = report_of(read_lines(arguments.files))
    if not report.routes:
        return Output(("no line tells of a request's end",), {}, EXIT_FINDINGS)
    return Output(tuple(loss_lines(report)), asdict(report))


def loss_lines(report: LossReport) -> list[str]:
    """Return a report of losses for people."""
    lines = loss_table(report.routes, "(no route)")
    lines += loss_table(report.organisations, "(nobody)", "organisation ")
    lines.append(f"loads ordered {report.loads}, never used {report.unused_loads}")
    for pause in report.pauses:
        lines.append(
            f"no order to {pause.target} from {pause.began}: {pause.lasted_s} s"
        )
    return lines


def loss_table(found: dict[str, Losses], unnamed: str, kind: str = "") -> list[str]:
    """Return how requests ended, name by name."""
    lines = []
    for name, losses in sorted(found.items(), key=most_lost_first):
        lines.append(f"{kind}{name or unnamed}  asked {losses.asked}")
        lines.append(f"    on time {losses.on_time}")
        causes = sorted(losses.causes.items(), key=lambda item: (-item[1], item[0]))
        lines += [f"    {cause} {n}" for cause, n in causes]
    return lines


def most_lost_first(item: tuple[str, Losses]) -> tuple[int, str]:
    """Return what names are sorted by."""
    name, losses = item
    return losses.on_time - losses.asked, name
