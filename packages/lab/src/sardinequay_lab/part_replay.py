"""Ways to hold parts of prompts that crash engines, compared without sockets.

Each way meets the same draws of requests in fleets of several sizes.
"""

import argparse
import sys
from collections.abc import Collection
from dataclasses import dataclass
from random import Random

from sardinequay_core.blame import find_blame, rank_of
from sardinequay_core.clock import ZERO, Instant
from sardinequay_core.names import FeatureId
from sardinequay_core.quarantine import Quarantine

from .part_world import Result, Scenario, Way, World

LASTS_S = 30.0
SOUND_PER_S_AND_HOST = 4.0
MIN_FAILED_SHARE = 0.5
SIZES = {6: 8, 30: 90, 87: 300, 300: 1000}
"""Hosts, and engines behind them."""

SCENARIOS = (
    Scenario("one part"),
    Scenario("two parts by turns", marked=2),
    Scenario("two parts, often", marked=2, marked_per_s=20.0),
    Scenario("rare sound parts", rare=0.3),
    Scenario("ends for other reasons", rare=0.3, ends_per_s=1.0),
    Scenario("all hosts killed", kill_hosts_at_s=10.0),
    Scenario("cut in two", cut_until_s=20.0),
)


@dataclass(frozen=True)
class WholeContent:
    """Parts are not looked at."""

    name: str = "contents"
    clears: bool = True

    def held(self, _: Quarantine, features: object, now: Instant) -> bool:
        """Return whether a request is held."""
        return False

    def probed(self, _: Quarantine, features: object) -> FeatureId | None:
        """Return the feature for which a request needs a permit."""
        return None


@dataclass(frozen=True)
class CountedEnds:
    """A part is held by the number of ends at which it was.

    Parameters
    ----------
    clears : bool
        Whether an answer clears the parts of its request.
    """

    name: str
    clears: bool

    def held(
        self, quarantine: Quarantine, features: Collection[FeatureId], now: Instant
    ) -> bool:
        """Return whether a request is held."""
        return any(quarantine.remaining_hold(f, now) for f in features)

    def probed(
        self, quarantine: Quarantine, features: Collection[FeatureId]
    ) -> FeatureId | None:
        """Return the feature for which a request needs a permit."""
        return next((f for f in features if quarantine.held_until(f)), None)


@dataclass(frozen=True)
class FailedShare(CountedEnds):
    """A part is held if more of its runs ended a target than were answered."""

    def held(
        self, quarantine: Quarantine, features: Collection[FeatureId], now: Instant
    ) -> bool:
        """Return whether a request is held."""
        return any(
            quarantine.remaining_hold(f, now)
            and rank_of(quarantine, f).failed_share >= MIN_FAILED_SHARE
            for f in features
        )


@dataclass(frozen=True)
class Blamed:
    """A part is held by the ends that no more suspect part explains."""

    name: str = "blame"
    clears: bool = True

    def held(
        self, quarantine: Quarantine, features: Collection[FeatureId], now: Instant
    ) -> bool:
        """Return whether a request is held."""
        blame = find_blame(quarantine, features)
        return blame is not None and blame.remaining_hold(now) > ZERO

    def probed(
        self, quarantine: Quarantine, features: Collection[FeatureId]
    ) -> FeatureId | None:
        """Return the feature for which a request needs a permit."""
        blame = find_blame(quarantine, features)
        return None if blame is None else blame.feature


WAYS: tuple[Way, ...] = (
    WholeContent(),
    CountedEnds("ends", clears=False),
    CountedEnds("ends, cleared", clears=True),
    FailedShare("failed share", clears=True),
    Blamed(),
)


def replay(way: Way, scenario: Scenario, hosts: int, seed: int) -> Result:
    """Run one way through one scenario."""
    world = World(way, scenario, hosts, SIZES[hosts], Random(seed))
    return world.run(LASTS_S, SOUND_PER_S_AND_HOST * hosts)


def main() -> int:
    """Print what each way does in each scenario."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, nargs="*", default=list(SIZES))
    parser.add_argument("--ways", nargs="*", default=[way.name for way in WAYS])
    parser.add_argument("--seed", type=int, default=1)
    arguments = parser.parse_args()
    print("hosts | scenario | way | engines ended | sent late | sound held | news")
    for hosts in arguments.hosts:
        for scenario in SCENARIOS:
            for way in (way for way in WAYS if way.name in arguments.ways):
                made = replay(way, scenario, hosts, arguments.seed)
                held = made.sound_held / max(1, made.sound)
                print(
                    f"{hosts} | {scenario.name} | {way.name} | {made.ends} | "
                    f"{made.late_runs} | {held:.3f} | {made.news}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
