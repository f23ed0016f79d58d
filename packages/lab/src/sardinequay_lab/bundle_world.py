"""Bundles among a few hosts: a service that is down, stale or flaps, and two operators.

The promises: what is in force on a host never goes back; nothing under-signed comes
into force; one version never changes its content on a host; a new host serves nothing
older than the peers it heard; and once links and service are whole, all hosts agree on
the newest version.
"""

from collections import Counter
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from functools import cache
from random import Random
from typing import Any
from unittest.mock import patch

from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success

from sardinequay_core import rollout
from sardinequay_core.approval import (
    ApprovalPolicy,
    RootComparison,
    SignedRoot,
    add_approval,
    compare_roots,
    encode_signed_root,
    parse_signed_root,
    root_digest,
)
from sardinequay_core.bundle import FANOUT, Root
from sardinequay_core.names import Digest
from sardinequay_core.rollout import Confirmation, OfferedBundle, Rollout

from .exploration import Action, Mutations, Violation, perform

HOSTS = ("a", "b", "c", "d")
APPROVERS = ("ana", "bruno", "carla")
THRESHOLD = 2
MAX_PACKETS = 16
MAX_VERSION = 8
WEIGHTS = {
    "deliver": 5.0,
    "drop": 0.5,
    "double": 0.2,
    "gossip": 1.0,
    "read": 1.0,
    "publish": 0.8,
    "publish twin": 0.2,
    "publish under-signed": 0.2,
    "service shows": 0.5,
    "restart": 0.3,
    "hear": 1.5,
    "time out": 0.2,
    "heal": 0.3,
}


@cache
def keys() -> dict[str, Ed25519PrivateKey]:
    """Return the approvers' keys, the same in every run."""
    return {
        name: Ed25519PrivateKey.from_private_bytes(bytes([n]) * 32)
        for n, name in enumerate(APPROVERS, 1)
    }


@cache
def trust() -> ApprovalPolicy:
    """Return whose approvals count."""
    public = {n: k.public_key().public_bytes_raw().hex() for n, k in keys().items()}
    return ApprovalPolicy(public, THRESHOLD)


@cache
def signed(version: int, note: str, approvals: int) -> bytes:
    """Return a root of a version, approved by so many."""
    digest = Digest("0" * 64)
    made = SignedRoot(Root(version, digest, (digest,) * FANOUT, note))
    for name in APPROVERS[:approvals]:
        made = add_approval(made, name, keys()[name])
    return encode_signed_root(made)


@dataclass(slots=True)
class Packet:
    """A message on its way."""

    source: str
    destination: str
    data: bytes = b""
    offered: OfferedBundle | None = None


@dataclass(slots=True)
class Node:
    """One host: its rollout, and the highest version that a peer told it."""

    rollout: Rollout
    heard_version: int = 0
    data: bytes = b""
    history: list[tuple[int, str]] = field(default_factory=list)


class BundleWorld:
    """A few hosts and the configuration service."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.published = [signed(1, "", THRESHOLD)]
        self.good = {1}
        self.shown = 0
        self.nodes = {name: Node(Rollout(trust())) for name in HOSTS}
        self.packets: list[Packet] = []
        self.notes: Counter[str] = Counter()

    def reached(self) -> Counter[str]:
        """Return how often what matters came up."""
        return self.notes

    def actions(self) -> list[Action]:
        """Return what may happen now."""
        actions: list[Action] = [("heal",)]
        for index in range(len(self.packets)):
            actions += [("deliver", index), ("drop", index)]
            if len(self.packets) < MAX_PACKETS:
                actions.append(("double", index))
        for name, node in self.nodes.items():
            actions += [("read", name), ("restart", name)]
            if node.rollout.confirmation is Confirmation.PENDING:
                actions.append(("time out", name))
            for other in HOSTS:
                if other != name and len(self.packets) < MAX_PACKETS:
                    actions += [("gossip", name, other), ("hear", name, other)]
        if len(self.good) < MAX_VERSION:
            actions += [("publish",), ("publish twin",), ("publish under-signed",)]
        actions += [("service shows", n) for n in range(-1, len(self.published))]
        return actions

    def weight(self, action: Action) -> float:
        """Return how likely an action is."""
        return WEIGHTS[str(action[0])]

    def apply(self, action: Action) -> None:
        """Let one action happen, then judge every host."""
        perform(self, action)
        for name, node in self.nodes.items():
            self.check(name, node)

    # The platform and operators.

    def do_publish(self) -> None:
        """Roll the next version."""
        version = max(self.good) + 1
        self.good.add(version)
        self.published.append(signed(version, "", THRESHOLD))
        self.shown = len(self.published) - 1

    def do_publish_twin(self) -> None:
        """Roll another bundle with the version that was rolled last."""
        self.published.append(signed(max(self.good), "twin", THRESHOLD))
        self.shown = len(self.published) - 1

    def do_publish_under_signed(self) -> None:
        """Publish a higher version without enough approvals."""
        self.published.append(signed(max(self.good) + 5, "", THRESHOLD - 1))
        self.shown = len(self.published) - 1

    def do_service_shows(self, index: int) -> None:
        """Have the service show another published state, or be down."""
        self.shown = index

    def do_read(self, name: str) -> None:
        """Have a host read the service, if it may yet and the service is up."""
        node = self.nodes[name]
        if self.shown >= 0 and node.rollout.confirmation is not Confirmation.PENDING:
            self.consider(node, self.published[self.shown])

    # Hosts.

    def do_restart(self, name: str) -> None:
        """Replace a host by a new one."""
        self.nodes[name] = Node(Rollout(trust()))

    def do_time_out(self, name: str) -> None:
        """Have a new host give up on hearing peers."""
        self.nodes[name].rollout.confirmation = Confirmation.TIMED_OUT

    def do_gossip(self, name: str, other: str) -> None:
        """Have a host tell another what it has in force."""
        state = self.nodes[name].rollout
        digest = str(root_digest(state.in_force.root)) if state.in_force else ""
        offered = OfferedBundle(state.version(), digest)
        self.packets.append(Packet(name, other, offered=offered))

    def do_hear(self, name: str, other: str) -> None:
        """Have a host fetch another's root."""
        if self.nodes[other].rollout.confirmation is not Confirmation.PENDING:
            data = self.nodes[other].data
            self.packets.append(Packet(other, name, data))

    def do_drop(self, index: int) -> None:
        """Lose a message."""
        del self.packets[index]

    def do_double(self, index: int) -> None:
        """Have a message come twice."""
        self.packets.append(self.packets[index])

    def do_deliver(self, index: int) -> None:
        """Deliver a message, whichever was sent first."""
        packet = self.packets.pop(index)
        node = self.nodes[packet.destination]
        if packet.offered is not None:
            if node.rollout.should_fetch(packet.offered):
                self.do_hear(packet.destination, packet.source)
            return
        if packet.data:
            self.consider(node, packet.data)
            parsed = parse_signed_root(packet.data).unwrap()
            node.heard_version = max(node.heard_version, parsed.root.version)
        if node.rollout.confirmation is Confirmation.PENDING:
            node.rollout.confirmation = Confirmation.PEERS

    def consider(self, node: Node, data: bytes) -> None:
        """Have a host judge a root and take it if it may."""
        judged = node.rollout.check_root(data)
        if not isinstance(judged, Success):
            self.notes[judged.failure().reason] += 1
            parsed = parse_signed_root(data).unwrap()
            node.rollout.record_refusal(judged.failure(), root_digest(parsed.root))
            return
        made: SignedRoot | None = judged.unwrap()
        if made is not None:
            self.notes["in force"] += 1
            node.rollout.put_in_force(made)
            node.data = data

    # Promises.

    def check(self, name: str, node: Node) -> None:
        """Judge what a host has in force."""
        state = node.rollout
        if state.in_force is None:
            return
        now = (state.version(), state.in_force.root.note)
        before = node.history[-1] if node.history else now
        if now[0] < before[0]:
            raise Violation(f"{name} went back from {before} to {now}")
        if now[0] == before[0] and now != before:
            raise Violation(f"{name} changed {before} to {now}")
        if now[0] not in self.good:
            raise Violation(f"{name} took {now}, which is under-signed")
        if state.can_serve() and now[0] < node.heard_version:
            raise Violation(f"{name} serves {now}, heard {node.heard_version}")
        node.history.append(now)

    def do_heal(self) -> None:
        """Make links and service whole, and let hosts talk a few rounds."""
        self.notes["healed"] += 1
        newest = max(self.good)
        whole = signed(newest, "", THRESHOLD)
        self.consider_after_join(self.nodes["a"], whole)
        for _ in HOSTS:
            for name in HOSTS:
                for other in HOSTS:
                    self.exchange(name, other)
        for name, node in self.nodes.items():
            if node.rollout.version() != newest:
                raise Violation(f"{name} has {node.rollout.version()}, not {newest}")

    def consider_after_join(self, node: Node, data: bytes) -> None:
        """Have a host read the service once it may."""
        if node.rollout.confirmation is Confirmation.PENDING:
            node.rollout.confirmation = Confirmation.TIMED_OUT
        self.consider(node, data)

    def exchange(self, name: str, other: str) -> None:
        """Have a host take what another has, if the offer is worth it."""
        source, node = self.nodes[other], self.nodes[name]
        if name == other or source.rollout.in_force is None:
            return
        digest = str(root_digest(source.rollout.in_force.root))
        offered = OfferedBundle(source.rollout.version(), digest)
        if node.rollout.should_fetch(offered):
            self.consider_after_join(node, source.data)


# Each guard of the promises, and what the core does without it.


@contextmanager
def without_comparison() -> Iterator[None]:
    """Take whatever was read last."""
    with (
        patch.object(rollout, "compare_roots", lambda *_: RootComparison.NEWER),
        patch.object(
            Rollout, "put_in_force", lambda s, made: setattr(s, "in_force", made)
        ),
    ):
        yield


@contextmanager
def without_conflict_check() -> Iterator[None]:
    """Let another bundle of the same version replace the one in force."""

    def lax(offered: Root, in_force: Root | None) -> RootComparison:
        verdict = compare_roots(offered, in_force)
        return RootComparison.NEWER if verdict is RootComparison.CONFLICT else verdict

    with (
        patch.object(rollout, "compare_roots", lax),
        patch.object(
            Rollout, "put_in_force", lambda s, made: setattr(s, "in_force", made)
        ),
    ):
        yield


@contextmanager
def without_threshold() -> Iterator[None]:
    """Take roots however few approved them."""

    def lax(data: bytes, _: Any) -> Any:
        return parse_signed_root(data)

    with patch.object(rollout, "verify_signed_root", lax):
        yield


@contextmanager
def without_offers() -> Iterator[None]:
    """Never ask peers for what they offer."""
    with patch.object(Rollout, "should_fetch", lambda *_: False):
        yield


MUTATIONS: Mutations = {
    "comparison": without_comparison,
    "conflict check": without_conflict_check,
    "threshold": without_threshold,
    "offers": without_offers,
}
