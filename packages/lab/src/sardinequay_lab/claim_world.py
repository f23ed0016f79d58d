"""Claims among a few hosts: lost, late and doubled messages, restarts, lists that lag.

Each host is guard and claimant. The promise: of all attempts with one key, at most one
is dispatched.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from typing import Any
from unittest.mock import patch

from sardinequay_core.claimant import ClaimRound, ClaimStatus
from sardinequay_core.claims import (
    ClaimPolicy,
    ClaimRequest,
    ClaimVote,
    Guard,
    Handover,
    HandoverRequest,
    Settle,
    ViewQuery,
    ViewReply,
)
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.guard_duty import GuardDuty
from sardinequay_core.names import Address, AttemptId, DataCentre, HostId
from sardinequay_core.views import GuardAddress, View

from .exploration import Action, Mutations, Violation, perform

HOME = DataCentre("home")
KEYS = ("k1",)
POLICY = ClaimPolicy(
    retention=seconds(100),
    vote_window=seconds(2),
    listing_timeout=seconds(600),
    max_list_lag=seconds(10),
)
MAX_MESSAGES = 40
MAX_ATTEMPTS = 8
WEIGHTS = {
    "deliver": 6.0,
    "drop": 0.3,
    "double": 0.1,
    "claim": 0.1,
    "decide": 2.0,
    "join": 1.5,
    "read list": 0.6,
    "change list": 0.15,
    "restart": 0.03,
    "wait": 0.15,
}
"""Few attempts, spread over many deliveries, so that lists change between them."""


@dataclass(slots=True)
class Packet:
    """A message on its way; `asked_at` and `to` belong to what a reply answers."""

    source: str
    destination: str
    message: Any
    answers: Any = None
    asked_at: Instant = timedelta(0)


@dataclass(slots=True)
class Node:
    """One entry host, as guard and claimant."""

    name: str
    duty: GuardDuty
    incarnation: int
    view: View
    rounds: dict[str, ClaimRound] = field(default_factory=dict)


def guard_address(name: str) -> GuardAddress:
    """Return a host as views name it."""
    return GuardAddress(HostId(name), Address("127.0.0.1", ord(name[0])))


def view(number: int, names: str) -> View:
    """Return a view of the hosts whose one-letter names are given."""
    return View(HOME, number, tuple(guard_address(n) for n in sorted(names)))


class ClaimWorld:
    """A few hosts, what is on its way between them, and the platform's list."""

    def __init__(
        self, random: Random, hosts: str = "abcde", listed: str = "abc"
    ) -> None:
        self.random = random
        self.now = seconds(1000)
        self.hosts = hosts
        self.lists = [view(0, listed)]
        self.nodes = {
            name: self.start(name, 1, founder=name in listed) for name in hosts
        }
        self.packets: list[Packet] = []
        self.attempts = 0
        self.dispatched: dict[str, list[str]] = {}
        self.notes: Counter[str] = Counter()

    def reached(self) -> Counter[str]:
        """Return how often what matters came up."""
        return self.notes

    def start(self, name: str, incarnation: int, founder: bool) -> Node:
        """Start a host; a founder has forgotten nothing, others may have."""
        founding = self.lists[0]
        guard = Guard(
            HostId(name), incarnation, POLICY, self.now, founding if founder else None
        )
        return Node(name, GuardDuty(guard, founding), incarnation, self.lists[0])

    # What may happen.

    def actions(self) -> list[Action]:
        """Return what may happen now."""
        actions: list[Action] = [("wait", 0.3), ("wait", 1.5)]
        for index in range(len(self.packets)):
            actions += [("deliver", index), ("drop", index)]
            if len(self.packets) < MAX_MESSAGES:
                actions.append(("double", index))
        for name, node in self.nodes.items():
            if node.view.number < self.lists[-1].number:
                actions.append(("read list", name))
            if node.duty.joining is not None:
                actions.append(("join", name))
            actions += [("decide", name, attempt) for attempt in node.rounds]
            if self.attempts < MAX_ATTEMPTS:
                actions += [("claim", name, key) for key in KEYS]
            actions.append(("restart", name))
        if len(self.lists) < 6:
            actions.append(("change list",))
        return actions

    def weight(self, action: Action) -> float:
        """Return how likely an action is."""
        return WEIGHTS[str(action[0])]

    def apply(self, action: Action) -> None:
        """Let one action happen."""
        perform(self, action)

    def do_wait(self, duration: float) -> None:
        """Let time pass."""
        self.now += seconds(duration)

    def do_change_list(self) -> None:
        """Have the platform list other hosts."""
        names = self.random.sample(self.hosts, 3)
        self.lists.append(view(len(self.lists), "".join(names)))

    def do_read_list(self, name: str) -> None:
        """Have a host read the list, not always the latest one."""
        node = self.nodes[name]
        number = self.random.randint(node.view.number + 1, len(self.lists) - 1)
        node.view = self.lists[number]
        node.duty.record_listed_view(node.view, self.now)

    def do_restart(self, name: str) -> None:
        """Restart a host, which forgets everything."""
        old = self.nodes[name]
        self.nodes[name] = self.start(name, old.incarnation + 1, founder=False)
        self.nodes[name].view = self.random.choice(self.lists[old.view.number :])
        self.nodes[name].duty.record_listed_view(self.nodes[name].view, self.now)

    def do_join(self, name: str) -> None:
        """Let a host work on entering its view."""
        node = self.nodes[name]
        if not node.duty.guard.has_full_memory:
            for other in self.hosts:
                if other != name:
                    self.send(name, other, ViewQuery(HOME))
        for guard, request in node.duty.pending_requests(self.now):
            self.send(name, guard.host_id, request)
        was_blank = not node.duty.guard.has_full_memory
        if node.duty.enter_if_complete(self.now) is not None:
            self.notes["view entered blank" if was_blank else "view entered"] += 1

    def do_claim(self, name: str, key: str) -> None:
        """Start an attempt with a key at a host."""
        self.attempts += 1
        attempt = f"{name}{self.attempts}"
        node = self.nodes[name]
        current = max(
            node.view, node.duty.guard.active_view or node.view, key=lambda v: v.number
        )
        round_ = ClaimRound(current, key, AttemptId(attempt), self.now, POLICY)
        node.rounds[attempt] = round_
        for guard in current.guards:
            self.send(name, guard.host_id, round_.build_request())

    def do_decide(self, name: str, attempt: str) -> None:
        """Let an attempt look at its votes, and be dispatched if it won."""
        node = self.nodes[name]
        round_ = node.rounds[attempt]
        standing = round_.status(self.now)
        if standing is ClaimStatus.OPEN:
            return
        del node.rounds[attempt]
        self.notes[standing.value] += 1
        if standing is ClaimStatus.WON:
            self.dispatch(round_.key, attempt)
            return
        for guard in round_.view.guards:
            self.send(name, guard.host_id, round_.build_release())

    def dispatch(self, key: str, attempt: str) -> None:
        """Dispatch an attempt; the second one with a key breaks the promise."""
        ran = self.dispatched.setdefault(key, [])
        ran.append(attempt)
        self.notes["dispatched"] += 1
        if len(ran) > 1:
            raise Violation(f"key {key} ran for {ran}")

    # Messages.

    def send(self, source: str, destination: str, message: Any) -> None:
        """Put a request on its way."""
        if len(self.packets) < MAX_MESSAGES:
            packet = Packet(source, destination, message, asked_at=self.now)
            self.packets.append(packet)

    def do_drop(self, index: int) -> None:
        """Lose a message."""
        del self.packets[index]

    def do_double(self, index: int) -> None:
        """Have a message come twice."""
        self.packets.append(self.packets[index])

    def do_deliver(self, index: int) -> None:
        """Deliver a message, whichever was sent first."""
        packet = self.packets.pop(index)
        if packet.answers is None:
            self.answer(packet)
        else:
            self.take_reply(packet)

    def answer(self, packet: Packet) -> None:
        """Let a guard answer a request."""
        duty = self.nodes[packet.destination].duty
        message = packet.message
        reply: Any = None
        if isinstance(message, ClaimRequest):
            reply = duty.handle_claim(message, self.now)
        elif isinstance(message, HandoverRequest):
            reply = duty.handle_handover_request(message, self.now)
        elif isinstance(message, ViewQuery):
            reply = ViewReply(duty.guard.active_view)
        elif isinstance(message, Settle):
            duty.handle_settle(message)
        if reply is not None:
            back = Packet(
                packet.destination, packet.source, reply, message, packet.asked_at
            )
            self.packets.append(back)

    def take_reply(self, packet: Packet) -> None:
        """Let a host take a reply, if it still is the one that asked."""
        node = self.nodes[packet.destination]
        asked, reply = packet.answers, packet.message
        if isinstance(reply, ClaimVote):
            round_ = node.rounds.get(asked.attempt)
            if round_ is not None:
                round_.record_vote(HostId(packet.source), reply)
        elif isinstance(reply, Handover):
            joining_ = node.duty.joining
            is_mine = asked.incarnation == node.incarnation
            if joining_ and is_mine and joining_.target == asked.successor:
                host_id = HostId(packet.source)
                joining_.record_handover(asked.view, host_id, reply, packet.asked_at)
        elif isinstance(reply, ViewReply) and reply.view is not None:
            node.duty.record_start_view(reply.view)


# Each guard of the promise, and what the core does without it.


@contextmanager
def without_sealing() -> Iterator[None]:
    """Let guards vote on in a view that they handed over."""
    hand_over = Guard.handle_handover_request

    def forgetful(self: Guard, request: HandoverRequest, now: Instant) -> Handover:
        promised = self.lowest_allowed_view
        handover = hand_over(self, request, now)
        self.lowest_allowed_view = promised
        return handover

    with patch.object(Guard, "handle_handover_request", forgetful):
        yield


@contextmanager
def without_memory_check() -> Iterator[None]:
    """Let a restarted guard believe that it remembers everything."""
    make = Guard.__init__

    def remembering(self: Guard, *words: Any) -> None:
        make(self, *words)
        self.has_full_memory = True

    with patch.object(Guard, "__init__", remembering):
        yield


@contextmanager
def without_overlap() -> Iterator[None]:
    """Let less than a majority decide."""
    with patch.object(View, "majority", property(lambda v: len(v.guards) // 2)):
        yield


@contextmanager
def without_handover() -> Iterator[None]:
    """Enter views without taking the claims of those before."""
    with patch.object(Guard, "merge_records", lambda *_: None):
        yield


MUTATIONS: Mutations = {
    "sealing": without_sealing,
    "memory check": without_memory_check,
    "overlap": without_overlap,
    "handover": without_handover,
}
