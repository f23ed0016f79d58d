"""Calls to the hosts that issue permits for targets.

For each target one host, the same on all hosts, issues the permits of a kind. In a
large fleet it is one of the hubs.
"""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol, TypeVar

from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.rendezvous import first_member

from ..peers import PeerClient

NO_ISSUER_PAUSE = seconds(0.3)
"""How long a target is left out after its issuer did not answer: others are live, or
take over within about a second."""

Reply = TypeVar("Reply")


class IssuerPeers(Protocol):
    """What calls to issuers need of the fleet."""

    def known_to_all(self) -> list[HostId]:
        """Return live hosts that all hosts know."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a host, if known."""


class IssuerClient:
    """Calls targets' issuers of one kind of permit, of which this host may be one.

    Parameters
    ----------
    kind : str
        The kind of permit; issuers of two kinds are spread independently.
    """

    def __init__(
        self, me: HostId, kind: str, fleet: IssuerPeers, peers: PeerClient
    ) -> None:
        self.me = me
        self.kind = kind
        self.fleet = fleet
        self.peers = peers

    def issuer_of(self, target: TargetId) -> HostId:
        """Return the host that issues the permits of a target."""
        hosts = self.fleet.known_to_all()
        return HostId(first_member(f"{self.kind} {target}", hosts))

    async def call(
        self,
        issuer: HostId,
        message: Any,
        reply_type: type[Reply],
        answer_here: Callable[[], Awaitable[Reply]],
        timeout_s: float | None = None,
    ) -> Reply | None:
        """Send a message to an issuer; return None if it does not answer.

        Parameters
        ----------
        answer_here : callable
            Answers the message if this host is the issuer.
        """
        if issuer == self.me:
            return await answer_here()
        address = self.fleet.address_of(issuer)
        if address is None:
            return None
        answer = await self.peers.call(address, message, timeout_s)
        reply = answer.value_or(None)
        return reply if isinstance(reply, reply_type) else None
