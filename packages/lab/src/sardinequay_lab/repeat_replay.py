"""Replays ways to keep the bound on repeats, over whole fleets that die and are cut.

Each request is rejected by all targets, or by the first one only, so that each further
attempt is wanted; what counts is what arrives in the worst window, and how many
requests were served by a repeat.
"""

import argparse
from bisect import bisect_left
from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.repeat_budget import RepeatPolicy

from .repeat_policies import (
    Policy,
    RatioAlone,
    SharedCounts,
    SharesOfLately,
    SharesOfLive,
)

BEGIN_S, END_S = 20, 50
WANTED = 3
"""Repeats that a request takes where all targets reject."""

BUSY_PART, BUSY_WEIGHT = 0.1, 10.0
"""Where load is uneven, this part of the hosts gets so many times the requests."""


@dataclass(frozen=True)
class Scenario:
    """What a fleet goes through.

    Parameters
    ----------
    kills_s : tuple of int
        When all hosts are killed and back, in seconds.
    islands : int
        Parts that hosts hear one another in, from 30 s on; 1 for all.
    wanted : int
        Repeats that each request that fails takes.
    failing : float
        Part of the requests that fail at first.
    """

    name: str
    hosts: int = 8
    requests_per_s: float = 80.0
    kills_s: tuple[int, ...] = ()
    islands: int = 1
    wanted: int = WANTED
    failing: float = 1.0
    is_uneven: bool = False


@dataclass(frozen=True)
class Result:
    """What came of it.

    Parameters
    ----------
    worst_of_bound : float
        Repeats of the worst window as a part of what is allowed.
    helped : float
        Part of the requests that failed at first and got a repeat.
    """

    worst_of_bound: float
    helped: float


SCENARIOS = (
    Scenario("all rejected"),
    Scenario("all rejected, uneven", is_uneven=True),
    Scenario("one in four fails", wanted=1, failing=0.25, is_uneven=True),
    Scenario("killed once", kills_s=(26,)),
    Scenario("killed three times", kills_s=(26, 28, 30)),
    Scenario("two islands", islands=2),
    Scenario("four islands", islands=4),
    Scenario("eight islands", islands=8),
    Scenario("killed, in islands", kills_s=(26, 32), islands=4),
    Scenario("60 hosts", hosts=60, requests_per_s=135.0),
    Scenario("60 hosts, killed", hosts=60, requests_per_s=135.0, kills_s=(26,)),
    Scenario("60 hosts, islands", hosts=60, requests_per_s=135.0, islands=3),
    Scenario("300 hosts, killed", hosts=300, requests_per_s=400.0, kills_s=(26, 31)),
    Scenario("300 hosts, islands", hosts=300, requests_per_s=400.0, islands=10),
)
WAYS: dict[str, Callable[[RepeatPolicy], Policy]] = {
    "shares of live": SharesOfLive,
    "shares of lately": SharesOfLately,
    "shared counts": SharedCounts,
    "ratio alone": RatioAlone,
}


def replay(
    scenario: Scenario, policy: Policy, bound: RepeatPolicy, seed: int
) -> Result:
    """Play a scenario."""
    random = Random(seed)
    for host in range(scenario.hosts):
        policy.start(host, seconds(0), is_first=True)
    kills = list(scenario.kills_s)
    requests: list[Instant] = []
    repeats: list[Instant] = []
    failed = helped = 0
    for number in range(round((END_S - BEGIN_S) * scenario.requests_per_s)):
        now_s = BEGIN_S + number / scenario.requests_per_s
        now = seconds(now_s)
        if kills and now_s >= kills[0]:
            kills.pop(0)
            for host in range(scenario.hosts):
                policy.start(host, now, is_first=False)
        host = a_host(scenario, random)
        policy.request(host, now)
        requests.append(now)
        if random.random() >= scenario.failing:
            continue
        heard = heard_by(host, scenario, now_s)
        taken = sum(policy.repeat(host, heard, now) for _ in range(scenario.wanted))
        repeats += [now] * taken
        failed += 1
        helped += taken > 0
    return Result(worst_of_bound(requests, repeats, bound), helped / failed)


def a_host(scenario: Scenario, random: Random) -> int:
    """Return the host to which a request comes."""
    busy = max(1, round(scenario.hosts * BUSY_PART))
    if scenario.is_uneven:
        weight = BUSY_WEIGHT * busy
        if random.random() < weight / (weight + scenario.hosts - busy):
            return random.randrange(busy)
    return random.randrange(scenario.hosts)


def heard_by(host: int, scenario: Scenario, now_s: float) -> frozenset[int]:
    """Return the hosts that one hears, itself among them."""
    if now_s < (BEGIN_S + END_S) // 2 - 5 or scenario.islands == 1:
        return frozenset(range(scenario.hosts))
    island = host % scenario.islands
    return frozenset(range(island, scenario.hosts, scenario.islands))


def worst_of_bound(
    requests: list[Instant], repeats: list[Instant], bound: RepeatPolicy
) -> float:
    """Return the repeats of the worst window as a part of what is allowed there."""
    worst = 0.0
    for place, since in enumerate(repeats):
        until = since + bound.window
        asked = bisect_left(requests, until) - bisect_left(requests, since)
        came = bisect_left(repeats, until) - place
        worst = max(worst, came / (bound.ratio * asked + bound.slack))
    return worst


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    arguments = parser.parse_args()
    bound = RepeatPolicy(ratio=0.2, slack=56)
    print(f"{'':44}{'worst/may':>10}{'helped %':>10}")
    for scenario in SCENARIOS:
        for name, make in WAYS.items():
            results = [
                replay(scenario, make(bound), bound, seed)
                for seed in range(arguments.seeds)
            ]
            worst = max(r.worst_of_bound for r in results)
            helped = 100 * sum(r.helped for r in results) / len(results)
            print(f"{scenario.name:24}{name:20}{worst:10.3f}{helped:10.1f}", flush=True)


if __name__ == "__main__":
    main()
