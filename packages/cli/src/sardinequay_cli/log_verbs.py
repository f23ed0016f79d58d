"""Verbs that analyse logs collected from hosts."""

from argparse import Namespace
from dataclasses import asdict
from datetime import datetime, timedelta
from typing import Any

from .errors import EXIT_FINDINGS
from .log_lines import LogLine, parse_time, read_log_lines
from .loss_report import Losses, LossReport, compute_loss_report
from .output import Output

ORDER_LOOKBACK = timedelta(seconds=5)
"""Orders up to this long before a request's first line may be due to that request: the
line is logged only when its wait for an adapter ends."""

TARGET_EVENTS = frozenset(
    {
        "target changed",
        "target left out",
        "target limit",
        "target backoff",
        "target leaving",
        "engine holds",
    }
)


def explain_verb(arguments: Namespace) -> Output:
    """Show the course of a request and its causes from collected logs."""
    lines = list(read_log_lines(arguments.files))
    request_lines = [line for line in lines if line.request == arguments.id]
    related_lines = context_lines(request_lines, lines)
    shown_lines = sorted([*request_lines, *related_lines], key=lambda line: line.time)
    text = tuple(line.format_text() for line in shown_lines)
    document = {
        "id": arguments.id,
        "lines": [
            {
                "time": entry.time,
                "host": entry.host,
                "event": entry.event,
                **entry.fields,
            }
            for entry in shown_lines
        ],
    }
    if not request_lines:
        return Output(
            (f"no log line mentions {arguments.id}",), document, EXIT_FINDINGS
        )
    return Output(text, document)


def context_lines(request_lines: list[LogLine], lines: list[LogLine]) -> list[LogLine]:
    """Return log lines about the request's targets and adapter until its last line."""
    if not request_lines:
        return []
    first = parse_time(min(entry.time for entry in request_lines))
    start = first - ORDER_LOOKBACK if first > datetime.min + ORDER_LOOKBACK else first
    last = max(entry.time for entry in request_lines)
    targets = {entry.fields.get("target") for entry in request_lines}
    adapters = {
        entry.fields["adapter"] for entry in request_lines if "adapter" in entry.fields
    }
    return [
        line
        for line in lines
        if not line.request
        and line.time <= last
        and (
            (
                line.event in TARGET_EVENTS
                and is_about_own_target(line, request_lines, targets)
            )
            or (
                line.fields.get("subject") in adapters
                and parse_time(line.time) >= start
            )
        )
    ]


def is_about_own_target(
    line: LogLine, request_lines: list[LogLine], targets: set[Any]
) -> bool:
    """Return whether the request's host logged a line about one of its targets."""
    return line.host == request_lines[0].host and line.fields.get("target") in targets


def losses_verb(arguments: Namespace) -> Output:
    """Show failed and late requests by route and cause, and gaps in engines' orders."""
    report = compute_loss_report(read_log_lines(arguments.files))
    if not report.routes:
        return Output(("no log line reports the end of a request",), {}, EXIT_FINDINGS)
    return Output(tuple(format_report(report)), asdict(report))


def format_report(report: LossReport) -> list[str]:
    """Format a loss report as lines of text."""
    lines = format_losses(report.routes, "(no route)")
    lines += format_losses(report.organisations, "(nobody)", "organisation ")
    lines.append(f"loads ordered {report.loads}, never used {report.unused_loads}")
    for pause in report.pauses:
        lines.append(
            f"no order to {pause.target} from {pause.began}: {pause.lasted_s} s"
        )
    return lines


def format_losses(
    losses_by_name: dict[str, Losses], unnamed: str, label: str = ""
) -> list[str]:
    """Format the counts of each route or organisation as lines, most losses first."""
    lines = []
    for name, losses in sorted(losses_by_name.items(), key=loss_sort_key):
        lines.append(f"{label}{name or unnamed}  asked {losses.asked}")
        lines.append(f"    on time {losses.on_time}")
        causes = sorted(losses.causes.items(), key=lambda item: (-item[1], item[0]))
        lines += [f"    {cause} {count}" for cause, count in causes]
    return lines


def loss_sort_key(item: tuple[str, Losses]) -> tuple[int, str]:
    """Return the sort key that puts the name with most losses first."""
    name, losses = item
    return losses.on_time - losses.asked, name
