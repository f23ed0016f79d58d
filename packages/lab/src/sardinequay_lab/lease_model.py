"""A small model of evictions whose states are all visited, up to a depth.

Two hosts that each believe to be keeper, one holder, one engine with one slot that
holds x, and somebody who wants y. Whether a keeper sleeps, wakes late and orders is
free; time passes in steps of half a lease.
"""

from collections.abc import Hashable
from random import Random

from .exploration import Action, freeze
from .lease_world import ADAPTERS, LeaseWorld

STEP_S = 2.0
MAX_WAITS = 6
MAX_ON_WAY = 2
X, Y = 0, 1


class LeaseModel(LeaseWorld):
    """Evictions with budgets on what may go wrong."""

    def __init__(self, checks_fencing: bool = True) -> None:
        super().__init__(Random(0), checks_fencing)
        self.engine.slots = 1
        self.engine.resident.add(ADAPTERS[X])
        self.keepers = {"k1": self.appointed(), "k2": self.appointed()}
        self.holders = {"h1": self.holders["h1"]}
        self.waits = MAX_WAITS
        self.wanted: set[str] = set()
        self.began = False

    def actions(self) -> list[Action]:
        """Return what may happen now."""
        actions: list[Action] = []
        for index, _ in enumerate(self.packets):
            actions.append(("deliver", index))
        is_free = len(self.packets) < MAX_ON_WAY
        for name in self.keepers if is_free else ():
            actions += [("tick", name), ("report", name), ("acquire", "h1", name, X)]
            if name not in self.wanted:
                actions.append(("want", name, Y))
        if self.holders["h1"].usable_uses(ADAPTERS[X], self.now) and not self.began:
            actions.append(("begin", "h1", X))
        if self.waits:
            actions.append(("wait", STEP_S))
        return actions

    def do_want(self, name: str, number: int) -> None:
        """Have somebody wait for y at a keeper, once."""
        self.wanted.add(name)
        super().do_want(name, number)

    def do_begin(self, holder: str, number: int) -> None:
        """Dispatch one request; more would tell nothing new."""
        self.began = True
        super().do_begin(holder, number)

    def do_wait(self, duration: float) -> None:
        """Let half a lease pass."""
        self.waits -= 1
        super().do_wait(duration)

    def fingerprint(self) -> Hashable:
        """Return what tells states apart; demand and reports are left out."""
        keepers = {
            name: (keeper.engines, keeper.leases, keeper.queue.waiting)
            for name, keeper in self.keepers.items()
        }
        names = {id(k): name for name, k in self.keepers.items()}
        packets = [
            (p.kind, p.message, names.get(id(p.keeper)), p.sequence, p.asked_at)
            for p in self.packets
        ]
        return freeze(
            (
                keepers,
                packets,
                self.engine,
                self.holders,
                self.now,
                self.wanted,
                self.began,
            )
        )
