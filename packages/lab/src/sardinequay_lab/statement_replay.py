"""Prints how ways to keep to targets' statements compare, over fleets.

Targets shed load, and ask the hosts that they turn away for a backoff of three seconds,
or they leave and say so in their answers. What counts is what reaches them against
that, and how much is served and refused meanwhile.
"""

import argparse
import statistics
from collections.abc import Sequence

from .statement_world import StatementResult, StatementWorld, Trouble, Way

SIZES = ((6, 3), (30, 3), (87, 3), (300, 10))
BACKOFF_TROUBLES = (
    Trouble("a tenth sheds", shed_share=0.1),
    Trouble("half shed", shed_share=0.5),
    Trouble("all shed", shed_share=1.0),
    Trouble("half shed for 6 s", shed_share=0.5, shed_for_s=6.0),
    Trouble("half shed, for a sixth of the hosts", shed_share=0.5, told_share=1 / 6),
    Trouble("half shed, hosts killed", shed_share=0.5, kill_s=6.0),
    Trouble("half shed, islands", shed_share=0.5, is_parted=True),
)
BACKOFF_WAYS = (
    Way("unread", reads_backoffs=False),
    Way("by host"),
    Way("by host, one first after it", has_trials=True),
    Way("hint to peers", hints=True),
    Way("ban for all", bans=True),
)
LEAVING_TROUBLES = (
    Trouble("a tenth leave", leave_share=0.1),
    Trouble("half leave", leave_share=0.5),
    Trouble("half leave, a sixth is told", leave_share=0.5, told_share=1 / 6),
    Trouble("half leave, hosts killed", leave_share=0.5, kill_s=8.0),
    Trouble("half leave, islands", leave_share=0.5, is_parted=True),
)
LEAVING_WAYS = (
    Way("unread", reads_leaving=False, tells_leaving=False),
    Way("by host", tells_leaving=False),
    Way("told as it changes", tells_at_start=False),
    Way("told, all at the start"),
)


def replay(
    size: tuple[int, int], trouble: Trouble, way: Way, seed: int
) -> StatementResult:
    """Play a fleet through a trouble."""
    return StatementWorld(*size, trouble, way, seed).play()


def mean(results: Sequence[StatementResult], field: str) -> float:
    """Return the mean of one figure."""
    return statistics.fmean(getattr(result, field) for result in results)


def backoff_row(results: Sequence[StatementResult]) -> str:
    """Return the cells of a row on backoffs."""
    worst = max(result.worst_in_backoff for result in results)
    return (
        f"{worst} | {mean(results, 'pairs_over'):.0f} | {mean(results, 'served'):.3f} "
        f"| {mean(results, 'refused'):.3f} | {mean(results, 'arrivals'):.2f} "
        f"| {mean(results, 'back_s'):.2f} | {mean(results, 'bytes_per_s'):.0f}"
    )


def leaving_row(results: Sequence[StatementResult]) -> str:
    """Return the cells of a row on leaving targets."""
    return (
        f"{mean(results, 'late'):.0f} | {mean(results, 'after_drain'):.0f} "
        f"| {mean(results, 'served'):.3f} | {mean(results, 'bytes_per_s'):.0f}"
    )


def main() -> None:
    """Print both tables."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=3)
    parser.add_argument("--most", type=int, default=300, help="hosts")
    arguments = parser.parse_args()
    seeds = range(arguments.seeds)
    sizes = [size for size in SIZES if size[0] <= arguments.most]
    print(
        "| hosts, trouble | way | worst in a backoff | pairs over 2 | served | refused "
        "| arrivals | back after | bytes |"
    )
    print("|---|---|---|---|---|---|---|---|---|")
    for size in sizes:
        for trouble in BACKOFF_TROUBLES:
            for way in BACKOFF_WAYS:
                results = [replay(size, trouble, way, seed) for seed in seeds]
                row = backoff_row(results)
                print(f"| {size[0]}, {trouble.name} | {way.name} | {row} |", flush=True)
    print("\n| hosts, trouble | way | late | after the drain time | served | bytes |")
    print("|---|---|---|---|---|---|")
    for size in sizes:
        for trouble in LEAVING_TROUBLES:
            for way in LEAVING_WAYS:
                results = [replay(size, trouble, way, seed) for seed in seeds]
                row = leaving_row(results)
                print(f"| {size[0]}, {trouble.name} | {way.name} | {row} |", flush=True)


if __name__ == "__main__":
    main()
