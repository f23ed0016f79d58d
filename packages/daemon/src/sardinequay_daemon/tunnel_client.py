"""Opens connections to targets through peers that reach them."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from random import Random
from typing import Protocol

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import Address, HostId, TargetId

from .errors import PeerError
from .path_messages import NO_TARGET, OpenTunnel
from .peer_table import Peer
from .pending_send import PendingSend, pending_send
from .serving_messages import Contact
from .serving_metrics import ServingMetrics
from .tunnel_transport import TunnelProtocol, TunnelTransport

OPEN_TIMEOUT_S = 0.2
"""Timeout for opening a tunnel through one peer, in seconds: longer than the peer waits
for the target, so that its reply tells whether it reaches it."""

TOTAL_TIMEOUT_S = 0.4
"""Timeout for opening a tunnel through any peer, in seconds: the request whose target
is gone has to go on to another one."""

MAX_PEERS_TO_ASK = 3
"""Peers that are asked for one connection: one near, one near the target, any other."""

REFUSED_PAUSE = seconds(1)
"""How long a peer is not asked again that could not open a tunnel to an address."""

log = logging.getLogger(__name__)


class TunnelPeers(Protocol):
    """What tunnels need of the fleet."""

    me: Contact

    def peers_to_ask(self) -> Iterable[Peer]:
        """Return the peers that may be asked, live or not known to be gone."""


class TunnelClient:
    """Chooses peers and opens tunnels through them.

    Parameters
    ----------
    data_centre_of : callable
        Returns the data centre of the target at an address; empty if it is unknown.
    """

    def __init__(
        self,
        fleet: TunnelPeers,
        source_ip: str,
        clock: Clock,
        random: Random,
        data_centre_of: Callable[[Address], str],
        metrics: ServingMetrics,
    ) -> None:
        self.fleet = fleet
        self.source = (source_ip, 0)
        self.clock = clock
        self.random = random
        self.data_centre_of = data_centre_of
        self.metrics = metrics
        self.not_before: dict[tuple[HostId, Address], Instant] = {}

    async def open(
        self, address: Address, target: TargetId = NO_TARGET
    ) -> TunnelTransport:
        """Open a connection to a target through the first peer that reaches it.

        Nothing is sent to the target by that.

        Parameters
        ----------
        target : TargetId
            The target that is to get a request; empty if none is to be sent.

        Raises
        ------
        PeerError
            If no peer opened one.
        """
        details: list[str] = []
        try:
            async with asyncio.timeout(TOTAL_TIMEOUT_S):
                return await self.open_through_any(address, target, details)
        except TimeoutError:
            details.append(f"none in {TOTAL_TIMEOUT_S} s")
        raise PeerError("", "; ".join(details) or "no peer to ask")

    async def open_through_any(
        self, address: Address, target: TargetId, details: list[str]
    ) -> TunnelTransport:
        """Ask one peer after another; add to `details` why each did not open one."""
        for peer in self.choose_peers(address):
            try:
                opened = await self.open_through(peer.contact, address, target)
            except PeerError as error:
                self.metrics.tunnels.inc({"result": "refused"})
                details.append(f"{peer.contact.host_id}: {error.detail}")
                until = self.clock.monotonic() + REFUSED_PAUSE
                self.not_before[peer.contact.host_id, address] = until
                continue
            self.metrics.tunnels.inc({"result": "opened"})
            log.info(
                "connected through peer",
                extra={
                    "request": request_id_of(pending_send.get()),
                    "peer": peer.contact.host_id,
                    "address": str(address),
                    "peers_asked": len(details) + 1,
                },
            )
            return opened
        raise PeerError("", "; ".join(details) or "no peer to ask")

    def choose_peers(self, address: Address) -> list[Peer]:
        """Return the peers to ask for a target, the preferred ones first.

        A near peer costs least, one near the target is the most likely to reach it.
        Peers that are cut off themselves are left out.
        """
        now = self.clock.monotonic()
        self.not_before = {k: t for k, t in self.not_before.items() if t > now}
        candidates = [
            peer
            for peer in self.fleet.peers_to_ask()
            if not peer.is_cut_off
            and (peer.contact.host_id, address) not in self.not_before
        ]
        self.random.shuffle(candidates)
        here = self.fleet.me.data_centre
        there = self.data_centre_of(address)
        # Peers of which nothing was heard come last: they may be gone.
        candidates.sort(key=lambda peer: peer.last_heard_at is None)
        near = [p for p in candidates if p.contact.data_centre == here]
        near_target = [p for p in candidates if p.contact.data_centre == there]
        preferred = {p.contact.host_id: p for p in (*near[:1], *near_target[:1])}
        for peer in candidates:
            preferred.setdefault(peer.contact.host_id, peer)
        return list(preferred.values())[:MAX_PEERS_TO_ASK]

    async def open_through(
        self, peer: Contact, address: Address, target: TargetId
    ) -> TunnelTransport:
        """Open a connection to a target through one peer.

        Raises
        ------
        PeerError
            If the peer does not answer in time, or did not open one.
        """
        message = OpenTunnel(
            self.fleet.me.host_id,
            str(address),
            request_id_of(pending_send.get()),
            target,
        )
        carrier: asyncio.BaseTransport | None = None
        peer_address = peer.peer_address
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_S):
                loop = asyncio.get_running_loop()
                carrier, protocol = await loop.create_connection(
                    lambda: TunnelProtocol(message),
                    peer_address.ip,
                    peer_address.port,
                    local_addr=self.source,
                )
                reply = await protocol.opened
            if not reply.is_open:
                raise PeerError(peer.address, reply.detail)
        except BaseException as error:
            if isinstance(carrier, asyncio.Transport):
                carrier.abort()
            if isinstance(error, OSError):
                raise PeerError(peer.address, repr(error)) from error
            raise
        assert protocol.transport is not None
        return protocol.transport


def request_id_of(pending: PendingSend | None) -> str:
    """Return the id of the request that a connection is for; empty without one."""
    return pending.request_id if pending is not None else ""
