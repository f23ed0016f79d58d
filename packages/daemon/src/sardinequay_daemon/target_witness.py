"""Whether a target's process has ended, as this host and a peer see it.

A connection that broke, and an address that accepts no other one, show the end of a
target only to a host whose paths hold. What this host takes for an end therefore counts
once a peer confirms it that reaches other targets.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from random import Random
from typing import Protocol

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.names import Address
from sardinequay_core.roster import Target

from .path_messages import AliveReply, AskAlive, Verdict
from .peer_table import Peer
from .peers import PeerClient
from .target_probe import TargetProbe

MAX_WITNESSES = 3
"""Peers that are asked one after another until one is sure."""

ASK_TIMEOUT_S = 0.8
"""Timeout of a question to a peer, in seconds: about as long as its probe takes."""

MAX_OTHERS = 3
"""Other targets by which a host checks that it reaches any."""

log = logging.getLogger(__name__)


class WitnessPeers(Protocol):
    """What a witness needs of the fleet."""

    def peers_to_ask(self) -> Iterable[Peer]:
        """Return the peers that may be asked, live or not known to be gone."""


class TargetWitness:
    """Tells whether targets are alive, and asks peers before it takes one for ended.

    Parameters
    ----------
    accepts : callable
        Returns whether connections to an address are accepted and stay open.
    catalogue : callable
        Returns the catalogue in force.
    """

    def __init__(
        self,
        probe: TargetProbe,
        accepts: Callable[[Address], Awaitable[bool]],
        catalogue: Callable[[], Catalogue],
        fleet: WitnessPeers,
        peers: PeerClient,
        random: Random,
    ) -> None:
        self.probe = probe
        self.accepts = accepts
        self.catalogue = catalogue
        self.fleet = fleet
        self.peers = peers
        self.random = random

    async def is_alive(self, target: Target, incarnation: int) -> bool:
        """Return whether the incarnation of a target that had a request still runs.

        If no peer is sure that it has ended, it counts as alive: a later start of it
        that appears in the store still shows the end. A host without live peers looks
        once more by itself: it may have been suspended during the first probe.
        """
        if await self.probe.is_alive(target, incarnation):
            return True
        witnesses = self.choose_witnesses(target)
        if not witnesses:
            return await self.look_at(target, incarnation) is not Verdict.ENDED
        question = AskAlive(target.target_id, incarnation)
        for peer in witnesses:
            address = peer.contact.peer_address
            answer = await self.peers.call(address, question, ASK_TIMEOUT_S)
            reply = answer.value_or(None)
            verdict = Verdict.UNSURE
            if isinstance(reply, AliveReply):
                verdict = reply.verdict
            log.info(
                "target witnessed",
                extra={
                    "target": target.target_id,
                    "peer": peer.contact.host_id,
                    "verdict": verdict.value,
                },
            )
            if verdict is not Verdict.UNSURE:
                return verdict is Verdict.ALIVE
        return True

    def choose_witnesses(self, target: Target) -> list[Peer]:
        """Return the peers to ask: those in the target's data centre first."""
        candidates = [p for p in self.fleet.peers_to_ask() if not p.is_cut_off]
        self.random.shuffle(candidates)
        candidates.sort(
            key=lambda p: (
                p.last_heard_at is None,
                p.contact.data_centre != target.data_centre,
            )
        )
        return candidates[:MAX_WITNESSES]

    async def handle_ask(self, message: AskAlive) -> AliveReply:
        """Reply to a peer that cannot reach a target."""
        published = self.catalogue().targets.get(message.target)
        if published is None:
            return AliveReply(Verdict.UNSURE)
        return AliveReply(await self.look_at(published.target, message.incarnation))

    async def look_at(self, target: Target, incarnation: int) -> Verdict:
        """Return whether an incarnation of a target still runs, as this host sees it.

        It is sure of an end only if it reaches other targets before and after its
        probe: a cut that begins or heals meanwhile looks like an end.
        """
        is_alive, reached_before = await asyncio.gather(
            self.probe.is_alive(target, incarnation), self.reaches_another(target)
        )
        if is_alive:
            return Verdict.ALIVE
        if reached_before and await self.reaches_another(target):
            return Verdict.ENDED
        return Verdict.UNSURE

    async def reaches_another(self, target: Target) -> bool:
        """Return whether this host reaches some other target, if there is one."""
        others = [
            published.target.address
            for target_id, published in self.catalogue().targets.items()
            if target_id != target.target_id
        ]
        if not others:
            return True
        sample = self.random.sample(others, min(MAX_OTHERS, len(others)))
        return any(await asyncio.gather(*(self.accepts(a) for a in sample)))
