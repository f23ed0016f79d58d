"""Prints how ways to keep a target's rate limit together compare, over fleets.

Requests that would go to the target come to hosts at random, several times as many as
it takes. What counts is what it gets in the worst window, how much of its limit is
used, and what the hosts send one another for that.
"""

import argparse
import heapq
import statistics
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Protocol

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.quota_ledger import QuotaPolicy

from .limit_policies import EqualShares, FewSenders, IssuedPermits, SharedCounts
from .quota_world import (
    NEVER,
    Event,
    Judge,
    Kind,
    Policy,
    Scenario,
    Span,
    exchanges,
    requests,
)

BOUND = QuotaPolicy(seconds(4), 0.5, 5.0)
"""What a target may get in a window: one and a half times its limit, and five more."""

BEGIN_S = 3.0
"""Hosts are bound from so long after the target first stated its limit."""

LASTS_S = 40.0


class LimitPolicy(Policy, Protocol):
    """A way to keep a limit, in which one host may have a part of its own.

    Parameters
    ----------
    views_differ : bool
        Whether hosts disagree now on who that host is.
    """

    views_differ: bool

    def lose_issuer(self, now: Instant) -> None:
        """Kill the host that issues permits, if there is one."""


@dataclass(frozen=True, slots=True)
class Trouble:
    """What happens to the hosts, in seconds.

    Parameters
    ----------
    restarts_s, losses_s : tuple of float
        When all hosts start anew, and when the host that issues permits is killed.
    cut : Span
        When the last data centre is cut off from the others.
    views_differ : Span
        When hosts disagree on who issues permits.
    """

    name: str = "calm"
    restarts_s: tuple[float, ...] = ()
    losses_s: tuple[float, ...] = ()
    cut: Span = NEVER
    views_differ: Span = NEVER


TROUBLES = (
    Trouble(),
    Trouble("issuer killed in series", losses_s=(10, 12, 14, 16, 18, 20)),
    Trouble("all start anew in series", restarts_s=(10, 13, 16)),
    Trouble("cut", cut=Span(10, 30)),
    Trouble("views differ for 2 s", views_differ=Span(10, 12)),
)
SIZES = ((6, 3), (30, 3), (87, 3), (300, 10))
LIMITS_PER_S = (0.5, 2.0)
DEMAND = 4.0
"""Requests that would go to the target, as a multiple of its limit."""

Make = Callable[[Scenario, QuotaPolicy, int], LimitPolicy]
WAYS: dict[str, Make] = {
    "equal shares": EqualShares,
    "few senders": FewSenders,
    "shared counts": SharedCounts,
    "issued permits": IssuedPermits,
}


@dataclass(frozen=True, slots=True)
class LimitResult:
    """What a way came to.

    Parameters
    ----------
    worst_of_bound : float
        The most that the target got in a window, as part of what it may get.
    used : float
        Part of its limit that the target got.
    """

    worst_of_bound: float
    used: float
    messages_per_s: float
    bytes_per_s: float


def limit_scenario(hosts: int, data_centres: int, limit: float, cut: Span) -> Scenario:
    """Return the fleet before a limited target."""
    return Scenario(
        "limit",
        hosts=hosts,
        data_centres=data_centres,
        rate_per_s=limit,
        burst=0.0,
        usual=DEMAND,
        cut=cut,
        lasts_s=LASTS_S,
        mean_tokens=1.0,
    )


def replay_limit(
    scenario: Scenario, trouble: Trouble, make: Make, seed: int
) -> LimitResult:
    """Play a fleet through its troubles and return what the target got."""
    random = Random(seed)
    events = [*requests(scenario, random), *exchanges(scenario, random)]
    events += [Event(at, Kind.RESTART, 0) for at in trouble.restarts_s]
    events += [Event(at, Kind.LOSS, 0) for at in trouble.losses_s]
    heapq.heapify(events)
    policy, judge, sent = make(scenario, BOUND, seed), Judge(scenario, BOUND), 0
    while events:
        event = heapq.heappop(events)
        now = seconds(event.at_s)
        match event.kind:
            case Kind.RESTART:
                policy.restart(now)
            case Kind.LOSS:
                policy.lose_issuer(now)
            case Kind.EXCHANGE:
                policy.exchange(event.host, now)
            case Kind.REQUEST:
                policy.views_differ = trouble.views_differ.holds(event.at_s)
                is_sent = policy.admits(event.host, 1, now)
                if event.at_s >= BEGIN_S:
                    judge.see(event.at_s, 1, is_sent)
                    sent += is_sent
    host_seconds = scenario.hosts * scenario.lasts_s
    return LimitResult(
        judge.worst / judge.bound,
        sent / (scenario.rate_per_s * (scenario.lasts_s - BEGIN_S)),
        policy.messages / host_seconds,
        policy.sent_bytes / host_seconds,
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    seeds = range(parser.parse_args().seeds)
    print("| hosts, limit, trouble | way | worst | used | messages | bytes |")
    print("|---|---|---|---|---|---|")
    for hosts, data_centres in SIZES:
        for limit in LIMITS_PER_S:
            for trouble in TROUBLES:
                scenario = limit_scenario(hosts, data_centres, limit, trouble.cut)
                for name, make in WAYS.items():
                    results = [replay_limit(scenario, trouble, make, s) for s in seeds]
                    worst = max(r.worst_of_bound for r in results)
                    used = statistics.fmean(r.used for r in results)
                    messages = statistics.fmean(r.messages_per_s for r in results)
                    sent_bytes = statistics.fmean(r.bytes_per_s for r in results)
                    print(
                        f"| {hosts}, {limit}, {trouble.name} | {name} | {worst:.2f} "
                        f"| {used:.2f} | {messages:.2f} | {sent_bytes:.0f} |"
                    )


if __name__ == "__main__":
    main()
