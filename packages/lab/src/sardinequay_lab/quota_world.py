"""A fleet without sockets on which ways to keep a token quota are compared.

Callers of one organisation come to hosts at random. What they ask for, when a data
centre is cut off and when all hosts start anew is given; a `Policy` decides for hosts.
"""

import heapq
from collections import deque
from collections.abc import Iterator
from dataclasses import dataclass
from enum import IntEnum
from random import Random
from typing import Protocol

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.organisations import (
    Organisation,
    OrganisationName,
    Quota,
    QuotaUnit,
)
from sardinequay_core.quota_ledger import QuotaPolicy
from sardinequay_daemon.hub_table import HUB_PERIOD_PER_HOST_S, HUB_PERIOD_S
from sardinequay_daemon.peer_table import OTHER_HUB_SILENCE_TIMEOUT

ORGANISATION = OrganisationName("o")
REACH_LOST_S = OTHER_HUB_SILENCE_TIMEOUT.total_seconds()
"""After so long hosts of a data centre that is cut off count as gone."""


@dataclass(frozen=True, slots=True)
class Span:
    """A stretch of the replay, in seconds."""

    begin_s: float
    end_s: float

    def holds(self, at_s: float) -> bool:
        """Return whether a moment lies within."""
        return self.begin_s <= at_s < self.end_s


NEVER = Span(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class Scenario:
    """What is played.

    Parameters
    ----------
    hosts, data_centres : int
        Size of the fleet.
    rate_per_s, burst : float
        The quota, in tokens.
    usual : float
        Part of the rate that is asked for as a rule.
    hot : Span
        When `hot_times` as much is asked for.
    cut : Span
        When the last data centre is cut off from the others.
    restart_s : float
        When all hosts have just started anew; before 0 for never.
    """

    name: str
    hosts: int = 87
    data_centres: int = 3
    rate_per_s: float = 40_000.0
    burst: float = 40_000.0
    usual: float = 0.55
    hot: Span = NEVER
    hot_times: float = 7.5
    cut: Span = NEVER
    restart_s: float = -1.0
    lasts_s: float = 40.0
    mean_tokens: float = 2_400.0

    def quota(self) -> Quota:
        """Return what the organisation that asks may use."""
        return Quota(self.rate_per_s, self.burst, QuotaUnit.TOKENS, 200)

    def organisation(self) -> Organisation:
        """Return the organisation that asks."""
        return Organisation(ORGANISATION, frozenset(), None, self.quota())

    def asked_per_s(self, at_s: float) -> float:
        """Return the tokens that are asked for a second."""
        times = self.hot_times if self.hot.holds(at_s) else 1.0
        return self.rate_per_s * self.usual * times

    def is_cut(self, one: int, other: int, at_s: float) -> bool:
        """Return whether two data centres do not reach each other."""
        last = self.data_centres - 1
        return self.cut.holds(at_s) and one != other and last in (one, other)

    def data_centre(self, host: int) -> int:
        """Return where a host is."""
        return host % self.data_centres

    def live_for(self, host: int, at_s: float) -> int:
        """Return how many hosts count as alive to one of them."""
        cut = Span(self.cut.begin_s + REACH_LOST_S, self.cut.end_s)
        if not cut.holds(at_s):
            return self.hosts
        here = self.data_centre(host) == self.data_centres - 1
        beyond = len(range(self.data_centres - 1, self.hosts, self.data_centres))
        return beyond if here else self.hosts - beyond


class Policy(Protocol):
    """A way to keep a quota."""

    messages: int
    sent_bytes: int
    waits_s: list[float]

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a host admits a request."""

    def exchange(self, host: int, now: Instant) -> None:
        """Let a host exchange what it is due to exchange."""

    def restart(self, now: Instant) -> None:
        """Let all hosts forget everything."""


class Kind(IntEnum):
    """What happens next in a replay."""

    RESTART = 0
    LOSS = 1
    EXCHANGE = 2
    REQUEST = 3


@dataclass(frozen=True, slots=True, order=True)
class Event:
    """One thing that happens in a replay."""

    at_s: float
    kind: Kind
    host: int


@dataclass(frozen=True, slots=True)
class Result:
    """What a way to keep a quota came to.

    Parameters
    ----------
    worst_of_bound : float
        The most that was admitted in a window, as part of what may be.
    refused_within : float
        Tokens refused though a bucket over all hosts had room, as part of those asked.
    refused : float
        Tokens refused, as part of those asked.
    messages_per_s, bytes_per_s : float
        Sent by a host a second.
    """

    worst_of_bound: float
    refused_within: float
    refused: float
    messages_per_s: float
    bytes_per_s: float
    waits_s: tuple[float, ...]


class Judge:
    """Sees every request, as nobody in the fleet does."""

    def __init__(self, scenario: Scenario, policy: QuotaPolicy) -> None:
        self.scenario = scenario
        window_s = policy.window.total_seconds()
        most = scenario.rate_per_s * window_s + scenario.burst
        self.bound = most * (1 + policy.rate_excess) + policy.slack
        self.window_s = window_s
        self.recent: deque[tuple[float, int]] = deque()
        self.in_window = 0
        self.worst = 0
        self.left = scenario.burst
        self.left_at_s = 0.0
        self.asked = self.refused = self.refused_within = 0

    def see(self, at_s: float, tokens: int, is_admitted: bool) -> None:
        """Count one request."""
        gained = (at_s - self.left_at_s) * self.scenario.rate_per_s
        self.left = min(self.scenario.burst, self.left + gained)
        self.left_at_s = at_s
        self.asked += tokens
        if not is_admitted:
            self.refused += tokens
            if self.left >= tokens:
                # It would have been admitted, and would have left less to others.
                self.refused_within += tokens
                self.left -= tokens
            return
        self.left -= tokens
        self.recent.append((at_s, tokens))
        self.in_window += tokens
        while self.recent[0][0] < at_s - self.window_s:
            self.in_window -= self.recent.popleft()[1]
        self.worst = max(self.worst, self.in_window)


def requests(scenario: Scenario, random: Random) -> Iterator[Event]:
    """Yield the requests of a replay."""
    at_s = 0.0
    while at_s < scenario.lasts_s:
        yield Event(at_s, Kind.REQUEST, random.randrange(scenario.hosts))
        per_s = scenario.asked_per_s(at_s) / scenario.mean_tokens
        at_s += random.expovariate(per_s)


def exchanges(scenario: Scenario, random: Random) -> Iterator[Event]:
    """Yield the moments at which hosts exchange what they know."""
    here = scenario.hosts / scenario.data_centres
    period_s = HUB_PERIOD_S + HUB_PERIOD_PER_HOST_S * here
    for host in range(scenario.hosts):
        at_s = random.uniform(0, period_s)
        while at_s < scenario.lasts_s:
            yield Event(at_s, Kind.EXCHANGE, host)
            at_s += period_s


def replay(scenario: Scenario, policy: Policy, bound: QuotaPolicy, seed: int) -> Result:
    """Play a scenario and return what came of it."""
    random = Random(seed)
    events = [*requests(scenario, random), *exchanges(scenario, random)]
    if scenario.restart_s >= 0:
        events.append(Event(scenario.restart_s, Kind.RESTART, 0))
    heapq.heapify(events)
    judge = Judge(scenario, bound)
    while events:
        event = heapq.heappop(events)
        now = seconds(event.at_s)
        if event.kind is Kind.RESTART:
            policy.restart(now)
        elif event.kind is Kind.EXCHANGE:
            policy.exchange(event.host, now)
        else:
            tokens = max(60, round(random.lognormvariate(0, 0.6) * 2_000))
            judge.see(event.at_s, tokens, policy.admits(event.host, tokens, now))
    host_seconds = scenario.hosts * scenario.lasts_s
    return Result(
        judge.worst / judge.bound,
        judge.refused_within / judge.asked,
        judge.refused / judge.asked,
        policy.messages / host_seconds,
        policy.sent_bytes / host_seconds,
        tuple(policy.waits_s),
    )
