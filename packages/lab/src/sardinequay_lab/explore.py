"""The command that explores: ``python -m sardinequay_lab.explore claims``."""

import argparse
import sys
import time
from contextlib import nullcontext

from .exploration import Explored, Subject, explore
from .subjects import SUBJECTS


def report(name: str, mutation: str, explored: Explored, took_s: float) -> str:
    """Return one line on an exploration."""
    found = explored.found
    verdict = (
        f"VIOLATION seed {found.seed}: {found.message}" if found else "none broken"
    )
    without = f" without {mutation}" if mutation else ""
    return (
        f"{name}{without}: {explored.histories} histories, {explored.steps} steps, "
        f"{took_s:.1f} s: {verdict}; reached {dict(sorted(explored.reached.items()))}"
    )


def run_subject(
    name: str, subject: Subject, mutation: str, seed: int, histories: int
) -> Explored:
    """Explore a subject, with one guard removed if a mutation is named."""
    removed = subject.mutations[mutation]() if mutation else nullcontext()
    began = time.monotonic()
    with removed:
        explored = explore(subject.make, seed, histories, subject.steps)
    print(report(name, mutation, explored, time.monotonic() - began), flush=True)
    return explored


def main() -> int:
    """Explore what the command line names."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("subject", choices=sorted(SUBJECTS))
    parser.add_argument("--histories", type=int, default=10_000)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--mutations", action="store_true", help="each guard removed")
    parser.add_argument("--show", action="store_true", help="print a broken history")
    arguments = parser.parse_args()
    subject = SUBJECTS[arguments.subject]
    names = list(subject.mutations) if arguments.mutations else [""]
    bad = 0
    for name in names:
        explored = run_subject(
            arguments.subject, subject, name, arguments.seed, arguments.histories
        )
        bad += (explored.found is None) == bool(name)
        if arguments.show and explored.found:
            for action in explored.found.history:
                print("   ", *action)
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
