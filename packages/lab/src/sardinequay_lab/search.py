"""The command that visits every state of the small models."""

import argparse
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

from .bundle_model import BundleModel
from .claim_model import ClaimModel
from .exploration import ModelWorld, search
from .lease_model import LeaseModel


@dataclass(frozen=True, slots=True)
class Model:
    """A small model and the depth to which it is searched by default."""

    make: Callable[[], ModelWorld]
    depth: int


MODELS = {
    "claims": Model(lambda: ClaimModel(0, 0), 1000),
    "claims-restart": Model(lambda: ClaimModel(1, 0), 1000),
    "claims-list-change": Model(lambda: ClaimModel(0, 1), 8),
    "bundles": Model(BundleModel, 8),
    "evictions": Model(LeaseModel, 8),
}


def main() -> int:
    """Search the models that the command line names, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("models", nargs="*", metavar="MODEL", help=", ".join(MODELS))
    parser.add_argument("--states", type=int, default=200_000)
    parser.add_argument("--depth", type=int)
    arguments = parser.parse_args()
    bad = 0
    for name in arguments.models or MODELS:
        model = MODELS[name]
        depth = arguments.depth or model.depth
        began = time.monotonic()
        explored = search(model.make, arguments.states, depth)
        took = time.monotonic() - began
        verdict = explored.found.message if explored.found else "none broken"
        extent = "complete" if explored.complete else "cut at the bound on states"
        print(
            f"{name}: depth {depth}, {explored.states} states, {explored.steps} steps, "
            f"{extent}, {took:.0f} s: {verdict}",
            flush=True,
        )
        bad += explored.found is not None
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
