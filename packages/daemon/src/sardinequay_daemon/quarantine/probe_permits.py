"""Permits by which requests with a suspected feature run one at a time in the fleet.

One live host, which all hosts determine alike by the feature, issues them. If it does
not answer, each host issues its own, so that callers of a partitioned host are still
served.
"""

import logging
from collections.abc import Callable
from typing import Protocol

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.names import Address, FeatureId, HostId
from sardinequay_core.quarantine import Quarantine
from sardinequay_core.rendezvous import first_member
from sardinequay_core.run_permits import RunPermits

from ..peers import PeerClient
from .messages import AskPermit, ContentNews, ContentsReply, PermitBack, PermitReply
from .updates import content_update

PERMIT_CALL_TIMEOUT_S = 0.25
"""Timeout of a permit request, in seconds; hosts of a region answer in a few
milliseconds."""

log = logging.getLogger(__name__)


class GuardPeers(Protocol):
    """Operations on the other hosts that the guard needs."""

    def known_to_all(self) -> list[HostId]:
        """Return the live hosts that are known to all hosts."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a host."""

    def announce_content(self, content: FeatureId, is_own: bool) -> None:
        """Announce a feature to other hosts; `is_own` if this host saw the change."""


class ProbePermits:
    """Issues permits for features where this host is the issuer; asks for others.

    Parameters
    ----------
    apply_update : callable
        Applies a peer's observations of a feature.
    """

    def __init__(
        self,
        me: HostId,
        quarantine: Quarantine,
        fleet: GuardPeers,
        peers: PeerClient,
        clock: Clock,
        apply_update: Callable[[ContentNews], None],
    ) -> None:
        self.me = me
        self.quarantine = quarantine
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.apply_update = apply_update
        self.permits = RunPermits()

    def expire(self, now: Instant) -> None:
        """Drop permits that have expired."""
        self.permits.expire_permits(now)

    def permit_issuer(self, feature: FeatureId) -> HostId:
        """Return the host that issues a feature's permits, the same on all hosts."""
        return HostId(first_member(feature, self.fleet.known_to_all()))

    async def is_permitted(self, permit: str, feature: FeatureId) -> bool:
        """Request a permit to run and return whether it was granted."""
        now = self.clock.monotonic()
        issuer = self.permit_issuer(feature)
        address = self.fleet.address_of(issuer)
        if issuer == self.me or address is None:
            return self.permits.grant(feature, permit, now)
        request = AskPermit(permit, content_update(self.quarantine, feature, now))
        answer = await self.peers.call(address, request, PERMIT_CALL_TIMEOUT_S)
        reply = answer.value_or(None)
        if not isinstance(reply, PermitReply):
            log.warning("no permit giver", extra={"content": feature, "peer": issuer})
            return self.permits.grant(feature, permit, now)
        self.apply_update(reply.news)
        return reply.is_granted

    async def handle_ask_permit(self, request: AskPermit) -> PermitReply:
        """Grant a permit, unless it is held or the feature is quarantined."""
        self.apply_update(request.news)
        feature = request.news.content
        now = self.clock.monotonic()
        is_granted = not self.quarantine.remaining_hold(
            feature, now
        ) and self.permits.grant(feature, request.run, now)
        return PermitReply(is_granted, content_update(self.quarantine, feature, now))

    async def return_permit(self, feature: FeatureId, permit: str) -> None:
        """Return a permit to its issuer, with this host's observations."""
        self.permits.release(feature, permit)
        issuer = self.permit_issuer(feature)
        address = self.fleet.address_of(issuer)
        if issuer != self.me and address is not None:
            now = self.clock.monotonic()
            message = PermitBack(permit, content_update(self.quarantine, feature, now))
            await self.peers.call(address, message, PERMIT_CALL_TIMEOUT_S)

    async def handle_permit_back(self, message: PermitBack) -> ContentsReply:
        """Handle the return of a permit."""
        self.apply_update(message.news)
        self.permits.release(message.news.content, message.run)
        return ContentsReply(())
