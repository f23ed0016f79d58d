"""A small model of bundles whose states are all visited, up to a depth.

Two hosts, one of which may be replaced once; two versions, the second with a twin that
is signed as well; a service that shows any of them, or is down; one message at a time
on its way.
"""

from collections.abc import Hashable
from random import Random

from .bundle_world import THRESHOLD, BundleWorld, signed
from .exploration import Action, freeze

HOSTS = ("a", "b")
MAX_ON_WAY = 1


class BundleModel(BundleWorld):
    """Bundles with budgets on what may go wrong."""

    def __init__(self, restarts: int = 1) -> None:
        super().__init__(Random(0))
        self.published = [
            signed(1, "", THRESHOLD),
            signed(2, "", THRESHOLD),
            signed(2, "twin", THRESHOLD),
            signed(7, "", THRESHOLD - 1),
        ]
        self.good = {1, 2}
        self.nodes = {name: self.nodes[name] for name in HOSTS}
        self.restarts = restarts

    def actions(self) -> list[Action]:
        """Return what may happen now."""
        actions: list[Action] = []
        for action in super().actions():
            kind = action[0]
            is_elsewhere = set(action[1:]) & {"c", "d"}
            is_over_budget = kind == "restart" and not self.restarts
            is_full = kind in ("gossip", "hear") and len(self.packets) >= MAX_ON_WAY
            is_random = kind in ("heal", "double") or str(kind).startswith("publish")
            if not (is_elsewhere or is_over_budget or is_full or is_random):
                actions.append(action)
        return actions

    def do_restart(self, name: str) -> None:
        """Replace a host by a new one, once."""
        self.restarts -= 1
        super().do_restart(name)

    def fingerprint(self) -> Hashable:
        """Return what tells states apart."""
        nodes = {
            name: (
                node.rollout.in_force and node.rollout.in_force.root,
                node.rollout.confirmation.value,
                node.rollout.refused,
                node.heard_version,
            )
            for name, node in self.nodes.items()
        }
        return freeze((nodes, self.packets, self.shown, self.restarts))
