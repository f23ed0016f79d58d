"""A small model of claims whose states are all visited.

Two attempts with one key, at two hosts; three guards, of which one may restart once;
the list changes once; time passes in steps longer than the window. Each question is
asked and answered in one step, and any question may never be asked.
"""

from collections.abc import Hashable
from random import Random
from typing import Any

from sardinequay_core.claimant import ClaimRound, ClaimStatus
from sardinequay_core.claims import ViewQuery
from sardinequay_core.clock import seconds
from sardinequay_core.names import AttemptId, HostId

from .claim_world import POLICY, ClaimWorld, Node, Packet, view
from .exploration import Action, freeze

KEY = "k1"
CLAIMANTS = ("a", "b")
MAX_WAITS = 1
MAX_RESTARTS = 1
STEP_S = 2.5
RESTARTED = "c"
"""The guard that may restart; by symmetry it stands for the one that is no claimant."""


class ClaimModel(ClaimWorld):
    """Claims with budgets on what may go wrong."""

    def __init__(self, restarts: int = MAX_RESTARTS, changes: int = 1) -> None:
        super().__init__(Random(0), "abcd", "abc")
        self.waits = MAX_WAITS if restarts or changes else 0
        self.restarts = restarts
        self.changes = changes
        self.asked: set[tuple[str, str]] = set()
        self.begun: set[str] = set()

    def actions(self) -> list[Action]:
        """Return what may happen now."""
        actions: list[Action] = []
        if self.is_decided():
            return actions
        actions += [("claim", name) for name in CLAIMANTS if name not in self.begun]
        for name, node in self.nodes.items():
            actions += self.claimant_actions(name, node)
            if node.view.number < len(self.lists) - 1:
                actions.append(("read list", name))
            if node.duty.joining is not None:
                actions += [("gather", name), ("enter", name)]
            if self.restarts and name == RESTARTED:
                actions.append(("restart", name))
        if self.waits:
            actions.append(("wait", STEP_S))
        if self.changes:
            actions.append(("change list",))
        return actions

    def claimant_actions(self, name: str, node: Node) -> list[Action]:
        """Return what a claimant may do with the attempts that it has open."""
        actions: list[Action] = []
        for attempt, round_ in node.rounds.items():
            if round_.status(self.now) is not ClaimStatus.OPEN:
                actions.append(("decide", name, attempt))
            for guard in round_.view.guards:
                if (attempt, guard.host_id) not in self.asked:
                    actions.append(("ask", name, attempt, guard.host_id))
        return actions

    def is_decided(self) -> bool:
        """Return whether some attempt has lost, so that no two can win any more."""
        ran = {attempt for runs in self.dispatched.values() for attempt in runs}
        open_ = {a for node in self.nodes.values() for a in node.rounds}
        return any(f"{name}1" not in ran | open_ for name in self.begun)

    def do_claim(self, name: str, key: str = KEY) -> None:
        """Start the attempt of one claimant."""
        self.begun.add(name)
        node = self.nodes[name]
        attempt = f"{name}1"
        node.rounds[attempt] = ClaimRound(
            node.view, key, AttemptId(attempt), self.now, POLICY
        )

    def do_ask(self, name: str, attempt: str, guard: str) -> None:
        """Ask one guard and take its vote."""
        self.asked.add((attempt, guard))
        round_ = self.nodes[name].rounds[attempt]
        vote = self.nodes[guard].duty.handle_claim(round_.build_request(), self.now)
        round_.record_vote(HostId(guard), vote)

    def do_decide(self, name: str, attempt: str) -> None:
        """Dispatch an attempt that won; one that lost just ends."""
        round_ = self.nodes[name].rounds.pop(attempt)
        if round_.status(self.now) is ClaimStatus.WON:
            self.dispatch(round_.key, attempt)

    def do_gather(self, name: str) -> None:
        """Ask everybody for everything that is missing."""
        node = self.nodes[name]
        for other in self.hosts:
            if other != name and not node.duty.guard.has_full_memory:
                self.exchange(name, other, ViewQuery(node.view.data_centre))
        for guard, request in node.duty.pending_requests(self.now):
            self.exchange(name, guard.host_id, request)

    def exchange(self, source: str, destination: str, message: Any) -> None:
        """Ask and answer in one step."""
        self.answer(Packet(source, destination, message, asked_at=self.now))
        if self.packets:
            self.take_reply(self.packets.pop())

    def do_enter(self, name: str) -> None:
        """Let a host enter its view if it can."""
        self.nodes[name].duty.enter_if_complete(self.now)

    def do_wait(self, duration: float) -> None:
        """Let more than a window pass."""
        self.waits -= 1
        self.now += seconds(duration)

    def do_change_list(self) -> None:
        """Have the platform replace one host by another."""
        self.changes -= 1
        self.lists.append(view(1, "bcd"))

    def do_restart(self, name: str) -> None:
        """Restart a host; it reads the latest list at once."""
        self.restarts -= 1
        old = self.nodes[name]
        self.nodes[name] = self.start(name, old.incarnation + 1, founder=False)
        self.nodes[name].view = self.lists[-1]
        self.nodes[name].duty.record_listed_view(self.lists[-1], self.now)

    def fingerprint(self) -> Hashable:
        """Return what tells states apart."""
        parts = (
            self.nodes,
            self.asked,
            self.begun,
            self.dispatched,
            self.now,
            self.waits,
            self.restarts,
            self.changes,
        )
        return freeze(parts)
