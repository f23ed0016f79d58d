"""Prints how ways to keep hosts' copies of the store up to date compare, over fleets.

What counts is how long a change takes to reach the last host, whatever fails around it,
and what the store is asked meanwhile.
"""

import argparse
import statistics

from .copy_world import CopyResult, CopyWorld, Trouble, Way

SIZES = ((6, 3), (30, 3), (87, 3), (300, 10))
BUDGET_S = 2.0
READS_PER_S = 2000.0
TROUBLES = (
    Trouble("nothing fails"),
    Trouble("a tenth gets no items", lost_items_share=0.1),
    Trouble("half get no items", lost_items_share=0.5),
    Trouble("a tenth is silent", lost_links_share=0.1),
    Trouble("half are silent", lost_links_share=0.5),
    Trouble("readers send no items", readers_send_no_items=True),
    Trouble("readers cut off from the store", readers_cut=True),
    Trouble("readers gone", readers_dead=True),
    Trouble("connections to the store dead", connections_die=True),
    Trouble(
        "half are silent, dead connections",
        lost_links_share=0.5,
        connections_die=True,
    ),
    Trouble("the store away for a while", store_away=True),
)
WAYS = (
    Way("peers' reads", trusts_peers=True, hedges=False),
    Way("all read", all_read=True),
    Way("own proof, one fetch", hedges=False),
    Way("own proof"),
)


def replay(size: tuple[int, int], trouble: Trouble, way: Way, seed: int) -> CopyResult:
    """Play a fleet through a trouble."""
    return CopyWorld(*size, BUDGET_S, READS_PER_S, trouble, way, seed).play()


def row(size: tuple[int, int], trouble: Trouble, way: Way, seeds: int) -> str:
    """Return one row of the table."""
    results = [replay(size, trouble, way, seed) for seed in range(1, seeds + 1)]
    cells = (
        str(size[0]),
        trouble.name,
        way.name,
        f"{max(r.worst_s for r in results):.2f}",
        f"{100 * statistics.fmean(r.late_share for r in results):.1f}",
        f"{statistics.fmean(r.calls_per_s for r in results):.0f}",
        f"{max(r.most_calls_per_s for r in results):.0f}",
        f"{statistics.fmean(r.fetches_per_change for r in results):.0f}",
    )
    return "| " + " | ".join(cells) + " |"


def main() -> None:
    """Print the table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--seeds", type=int, default=2)
    parser.add_argument("--most", type=int, default=300, help="hosts at the most")
    arguments = parser.parse_args()
    print("| hosts | trouble | way | worst s | late % | calls/s | most | fetches |")
    print("|---|---|---|---|---|---|---|---|")
    for size in SIZES:
        if size[0] > arguments.most:
            continue
        for trouble in TROUBLES:
            for way in WAYS:
                print(row(size, trouble, way, arguments.seeds), flush=True)


if __name__ == "__main__":
    main()
