"""The placement benchmark: ours against baselines, on a virtual clock, with seeds."""

import argparse
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path

from .placement_policies import Baseline, Ours
from .placement_sim import MAX_BATCH, Policy, Scenario, Simulation

TICK_S = 0.1
TINTA = Scenario(engines={"sala-a": 2, "sala-b": 2, "sala-c": 1}, loads_per_s=2.0)
CASCADE = Scenario(engines={"tukwila": 2, "hillsboro": 2, "quincy": 2}, loads_per_s=3.0)
WEIGHTS = {"tinta": (0.3, 0.7), "cascade": (0.7, 0.3)}
USERS = {"tinta": TINTA, "cascade": CASCADE}
POLICIES = ("round robin", "least loaded", "affinity", "ours")


def workloads(user: Scenario) -> dict[str, Scenario]:
    """Return the workloads at a user's sizes."""
    middle = user.duration_s / 2
    return {
        "zipf 0.8": replace(user, slope=0.8),
        "zipf 1.0": user,
        "zipf 1.2": replace(user, slope=1.2),
        "shift": replace(user, shift_at_s=middle),
        "cold becomes hot": replace(user, hot_at_s=middle),
        "engine restart": replace(user, restart_at_s=middle),
        "loads fail": replace(user, failing_loads=0.3),
        "dead store": replace(user, dead_store_s=(middle, middle + 60)),
        "centre cut off": replace(user, cut_at_s=middle),
    }


@dataclass(frozen=True, slots=True)
class Result:
    """What a policy came to.

    Parameters
    ----------
    stall_cost_s : float
        Seconds of stall for each request; one that was refused, lost or missed counts
        with its whole deadline.
    batch_fill : float
        Requests in a step over the largest batch.
    tokens_per_step : float
        Requests in a step, which is what a full batch is for.
    """

    stalls_per_1000: float
    stall_p50_s: float
    stall_p95_s: float
    stall_p99_s: float
    stall_cost_s: float
    batch_fill: float
    loads: int
    refused: int
    missed: int
    goodput_per_s: float


def make_policy(sim: Simulation, user: str, name: str) -> Policy:
    """Return a policy by its name."""
    if name == "ours":
        return Ours(sim, *WEIGHTS[user])
    return Baseline(sim, name)


def measure(user: str, scenario: Scenario, name: str, seed: int) -> Result:
    """Run one policy once."""
    sim = Simulation(scenario, seed)
    sim.run(make_policy(sim, user, name), TICK_S)
    done = [j for j in sim.jobs if j.deadline_s <= scenario.duration_s]
    served = [j for j in done if j.fate == "served"]
    stalls = sorted(j.stall_s for j in served if j.stalled) or [0.0]
    lost = len(done) - len(served)
    cost = sum(j.stall_s for j in served) + lost * scenario.deadline_s
    steps = sum(e.steps for e in sim.engines)
    return Result(
        stalls_per_1000=1000 * sum(j.stalled for j in done) / len(done),
        stall_p50_s=percentile(stalls, 0.50),
        stall_p95_s=percentile(stalls, 0.95),
        stall_p99_s=percentile(stalls, 0.99),
        stall_cost_s=cost / len(done),
        batch_fill=sum(e.filled for e in sim.engines) / max(1, steps) / MAX_BATCH,
        loads=sim.loads,
        refused=sum(j.fate == "refused" for j in done),
        missed=sum(j.fate in ("missed", "late", "lost", "") for j in done),
        goodput_per_s=len(served) / scenario.duration_s,
    )


def percentile(ordered: list[float], share: float) -> float:
    """Return a percentile of ordered values."""
    return ordered[min(len(ordered) - 1, int(len(ordered) * share))]


def middle(results: list[Result]) -> Result:
    """Return the median of each measure over seeds."""
    return Result(
        *[
            statistics.median(getattr(r, name) for r in results)
            for name in Result.__slots__
        ]
    )


def bound(scenario: Scenario) -> float:
    """Return a share of requests that no policy can serve without a load.

    All slots hold the most popular adapters from the start, and every load that the
    store allows serves all requests that come for the next adapter in its place: the
    hit rate of the best fixed set, and a load for each further adapter at the best.
    """
    ranks = range(1, scenario.adapters + 1)
    weights: list[float] = [float(r) ** -scenario.slope for r in ranks]
    slots = scenario.slots * sum(scenario.engines.values())
    return 1.0 - sum(weights[:slots]) / sum(weights)


HEADER = (
    "user | workload | policy | stalls/1000 | p50 s | p95 s | p99 s | stall cost s | "
    "batch fill | loads | refused | missed | goodput/s"
)


def row(user: str, workload: str, name: str, r: Result) -> str:
    """Return one line of the table."""
    return (
        f"{user} | {workload} | {name} | {r.stalls_per_1000:.0f} | "
        f"{r.stall_p50_s:.2f} | {r.stall_p95_s:.2f} | {r.stall_p99_s:.2f} | "
        f"{r.stall_cost_s:.3f} | {r.batch_fill:.4f} | {r.loads} | {r.refused} | "
        f"{r.missed} | {r.goodput_per_s:.2f}"
    )


Table = dict[tuple[str, str, str], Result]


def run(seeds: int, users: list[str], say: Callable[[str], None]) -> Table:
    """Run everything and return the medians over seeds."""
    table: Table = {}
    say(HEADER)
    for user in users:
        for workload, scenario in workloads(USERS[user]).items():
            for name in POLICIES:
                results = [measure(user, scenario, name, s) for s in range(seeds)]
                table[(user, workload, name)] = middle(results)
                say(row(user, workload, name, table[(user, workload, name)]))
            share = bound(scenario)
            say(f"{user} | {workload} | no policy below | {1000 * share:.0f} cold/1000")
    return table


def plot(table: Table, path: Path) -> None:
    """Draw stall cost and batch fill of every policy and workload."""
    import matplotlib as mpl

    mpl.use("Agg")
    from matplotlib import pyplot as plt

    users = sorted({user for user, _, _ in table})
    figure, axes = plt.subplots(2, len(users), figsize=(7 * len(users), 8))
    for column, user in enumerate(users):
        names = [w for u, w, p in table if u == user and p == "ours"]
        for offset, policy in enumerate(POLICIES):
            places = [n + 0.2 * offset for n in range(len(names))]
            chosen = [table[(user, w, policy)] for w in names]
            costs = [r.stall_cost_s for r in chosen]
            fills = [r.batch_fill for r in chosen]
            axes[0][column].bar(places, costs, 0.2, label=policy)
            axes[1][column].bar(places, fills, 0.2, label=policy)
        for line, title in enumerate(("stall cost, s a request", "batch fill")):
            axes[line][column].set_title(f"{user}: {title}")
            ticks = [n + 0.3 for n in range(len(names))]
            axes[line][column].set_xticks(ticks, names, rotation=30, ha="right")
            axes[line][column].legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)


def main() -> None:
    """Run the benchmark; print its table and draw its plot."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--users", nargs="+", default=sorted(USERS))
    parser.add_argument("--plot", type=Path)
    arguments = parser.parse_args()
    began = time.monotonic()
    table = run(arguments.seeds, arguments.users, lambda x: print(x, flush=True))
    print(f"took {time.monotonic() - began:.0f} s")
    if arguments.plot:
        plot(table, arguments.plot)


if __name__ == "__main__":
    main()
