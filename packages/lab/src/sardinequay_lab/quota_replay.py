"""Prints how ways to keep a token quota compare, over scenarios and seeds."""

import argparse
import statistics
import time
from collections.abc import Callable
from dataclasses import replace

from sardinequay_core.clock import seconds
from sardinequay_core.quota_ledger import QuotaPolicy

from .quota_policies import FixedShares, LeasedAllowance, SharedUsage
from .quota_world import Policy, Result, Scenario, Span, replay

BOUND = QuotaPolicy(seconds(8), 0.25, 17_000.0)
HOT = Span(15.0, 25.0)
CUT = Span(18.0, 26.0)
SCENARIOS = (
    Scenario("usual, small", rate_per_s=4_200.0, burst=4_200.0),
    Scenario("usual, large", rate_per_s=130_000.0, burst=130_000.0),
    Scenario("hot, small", rate_per_s=4_200.0, burst=4_200.0, hot=HOT),
    Scenario("hot, large", rate_per_s=130_000.0, burst=130_000.0, hot=HOT),
    Scenario("hot, cut", hot=HOT, cut=CUT),
    Scenario("cut", cut=CUT),
    Scenario("hot, all start anew", hot=HOT, restart_s=20.0),
    Scenario("all start anew", restart_s=20.0),
    Scenario("hot, 8 hosts", hosts=8, hot=HOT),
    Scenario("hot, 300 hosts", hosts=300, data_centres=10, hot=HOT),
)
Make = Callable[[Scenario, QuotaPolicy, int], Policy]
WAYS: dict[str, Make] = {
    "shared usage": SharedUsage,
    "leased, each request asks": LeasedAllowance,
    "fixed shares": FixedShares,
}


def row(scenario: Scenario, make: Make, seeds: int) -> str:
    """Return one line of the table."""
    results: list[Result] = []
    began = time.perf_counter()
    for seed in range(seeds):
        results.append(replay(scenario, make(scenario, BOUND, seed), BOUND, seed))
    took_s = time.perf_counter() - began
    waits = sorted(w for r in results for w in r.waits_s) or [0.0]

    def mean(pick: Callable[[Result], float]) -> float:
        return statistics.fmean(pick(r) for r in results)

    return (
        f"{max(r.worst_of_bound for r in results):10.3f}"
        f"{100 * mean(lambda r: r.refused_within):12.2f}"
        f"{100 * mean(lambda r: r.refused):10.1f}"
        f"{mean(lambda r: r.messages_per_s):10.2f}"
        f"{mean(lambda r: r.bytes_per_s):10.0f}"
        f"{1000 * waits[len(waits) // 2]:8.1f}"
        f"{1000 * waits[int(len(waits) * 0.99)]:8.1f}"
        f"{took_s / seeds:8.2f}"
    )


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=5)
    parser.add_argument("--hosts", type=int, help="another size of the fleet")
    arguments = parser.parse_args()
    heads = ("worst/may", "refused in %", "refused %", "msg/s", "B/s", "p50", "p99 ms")
    print(f"{'':48}" + " ".join(f"{h:>9}" for h in heads) + "   s a play")
    for scenario in SCENARIOS:
        if arguments.hosts:
            scenario = replace(scenario, hosts=arguments.hosts)
        for name, make in WAYS.items():
            print(f"{scenario.name:21}{name:27}{row(scenario, make, arguments.seeds)}")


if __name__ == "__main__":
    main()
