"""The one judge of histories: each promise, over what callers and stand-ins wrote."""

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field
from itertools import pairwise

from .history import Event

LEAVING_BOUND_S = 3.0
"""A target that is leaving gets no new work after this."""


@dataclass(frozen=True, slots=True, order=True)
class Breach:
    """One promise that a history breaks."""

    promise: str
    detail: str

    def __str__(self) -> str:
        return f"{self.promise}: {self.detail}"


@dataclass(slots=True)
class Index:
    """A history by what its events are about."""

    asked: dict[str, Event] = field(default_factory=dict)
    answered: dict[str, Event] = field(default_factory=dict)
    started: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    by_key: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    left: dict[str, float] = field(default_factory=dict)
    versions: dict[str, list[Event]] = field(default_factory=lambda: defaultdict(list))
    evictions: list[Event] = field(default_factory=list)


def request_of(event: Event) -> str:
    """Return the caller's request that an event of a target belongs to."""
    request = str(event.fields["request"])
    return request.rpartition(".")[0] or request


def index(events: list[Event]) -> Index:
    """Sort a history by what its events are about."""
    made = Index()
    for event in events:
        if event.what == "asked":
            made.asked[event.fields["request"]] = event
        elif event.what == "answered":
            made.answered[event.fields["request"]] = event
        elif event.what == "started":
            made.started[request_of(event)].append(event)
            if event.fields.get("key"):
                made.by_key[event.fields["key"]].append(event)
        elif event.what == "evicted":
            made.evictions.append(event)
        elif event.what == "left":
            made.left[event.fields["target"]] = event.at_s
        elif event.what == "in force":
            made.versions[event.fields["process"]].append(event)
    return made


def at_most_once(history: Index) -> Iterator[Breach]:
    """Judge that a request marked non-idempotent runs at most once."""
    for key, starts in history.by_key.items():
        if len(starts) > 1:
            where = ", ".join(f"{e.who} {e.fields['request']}" for e in starts)
            yield Breach("at most once", f"key {key} ran {len(starts)} times: {where}")


def not_run_is_true(history: Index) -> Iterator[Breach]:
    """Judge that a request refused as "not run" truly did not run."""
    for request, answer in history.answered.items():
        if answer.fields.get("outcome") == "not_run" and history.started[request]:
            yield Breach("not run is true", f"{request} ran")


def whole_answers(history: Index) -> Iterator[Breach]:
    """Judge that each caller receives the whole answer to its own request."""
    for request, answer in history.answered.items():
        if answer.fields["complete"] and not answer.fields["whole"]:
            yield Breach("whole answers", f"{request} got another answer than its own")


def named_adapter(history: Index) -> Iterator[Breach]:
    """Judge that every request runs on the adapter and version that it named."""
    for request, starts in history.started.items():
        asked = history.asked.get(request)
        named = asked.fields.get("model") if asked else None
        for event in starts:
            ran = event.fields.get("adapter")
            if named and ran and ran != named:
                detail = f"{request} named {named}, ran on {ran}"
                yield Breach("named adapter", detail)


def no_eviction_in_use(history: Index) -> Iterator[Breach]:
    """Judge that an adapter is never evicted from under a request."""
    for event in history.evictions:
        if event.fields["in_use"]:
            detail = f"{event.fields['adapter']} under {event.fields['in_use']}"
            yield Breach("no eviction in use", f"{event.who} evicted {detail}")


def leaving_gets_no_work(history: Index) -> Iterator[Breach]:
    """Judge that a leaving target receives no new work after a few seconds."""
    for starts in history.started.values():
        for event in starts:
            left = history.left.get(event.who)
            if left is not None and event.at_s > left + LEAVING_BOUND_S:
                late = event.at_s - left
                detail = f"{event.who} got {event.fields['request']} {late:.1f} s late"
                yield Breach("leaving gets no work", detail)


def never_reverts(history: Index) -> Iterator[Breach]:
    """Judge that an accepted configuration never reverts."""
    for process, events in history.versions.items():
        versions = [event.fields["version"] for event in events]
        for before, after in pairwise(versions):
            if after < before:
                yield Breach("never reverts", f"{process} from {before} to {after}")


PROMISES = (
    at_most_once,
    not_run_is_true,
    whole_answers,
    named_adapter,
    no_eviction_in_use,
    leaving_gets_no_work,
    never_reverts,
)


def judge(events: list[Event]) -> list[Breach]:
    """Return every promise that a history breaks."""
    history = index(events)
    return sorted(breach for promise in PROMISES for breach in promise(history))
