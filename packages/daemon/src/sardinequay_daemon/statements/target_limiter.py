"""Asks for the permits to send to limited targets.

For each limited target one host, the same on all hosts, issues the permits to send to
it. In a large fleet it is one of the hubs. While no issuer answers, nothing is sent to
the target.
"""

import asyncio
import logging
from datetime import timedelta
from typing import Protocol

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.rendezvous import first_member
from sardinequay_core.statements.limits import PermitOutlook

from ..peers import PeerClient
from ..serving_metrics import ServingMetrics
from .limit_messages import AskToSend, SendReply
from .limit_recorder import LimitRecorder
from .permit_issuer import PermitIssuer

ASK_TIMEOUT_S = 0.1
"""Timeout of a call to the issuer, in seconds; hosts of a region reply within a few
milliseconds, and the caller's request waits meanwhile."""

NO_ISSUER_PAUSE = seconds(0.3)
"""How long a target is left out after its issuer did not answer: others are live, or
take over within about a second."""

log = logging.getLogger(__name__)


class LimiterPeers(Protocol):
    """What the limiter needs of the fleet."""

    def known_to_all(self) -> list[HostId]:
        """Return live hosts that all hosts know."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a host, if known."""


class TargetLimiter:
    """Asks a target's issuer, which may be this host, for each request to send there.

    Parameters
    ----------
    issuer : PermitIssuer
        Issues the permits of the targets that this host is the issuer of.
    """

    def __init__(
        self,
        me: HostId,
        recorder: LimitRecorder,
        issuer: PermitIssuer,
        fleet: LimiterPeers,
        peers: PeerClient,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.me = me
        self.recorder = recorder
        self.limits = recorder.limits
        self.issuer = issuer
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.metrics = metrics

    async def may_send(
        self, request_id: str, published: PublishedTarget, max_wait: timedelta | None
    ) -> bool:
        """Wait for a permit to send a request to a target; return whether it came.

        Without a permit, and if the limit fell during the wait, another choice is due.

        Parameters
        ----------
        max_wait : timedelta or None
            How long the request can wait for this target; None if others can serve it.
        """
        target = published.target.target_id
        rate_per_s = self.limits.rate_of(target, self.clock.monotonic())
        if rate_per_s is None:
            return True
        reply = await self.ask_issuer(target, max_wait)
        self.log_permit(request_id, published, rate_per_s, reply)
        if reply is None or reply.start_in_s is None:
            await self.handle_denial(target, max_wait, reply)
            return False
        self.limits.outlooks.pop(target, None)
        if not reply.start_in_s:
            return True
        await asyncio.sleep(reply.start_in_s)
        rate_now = self.limits.rate_of(target, self.clock.monotonic())
        return rate_now is None or rate_now >= rate_per_s

    async def ask_issuer(
        self, target: TargetId, max_wait: timedelta | None
    ) -> SendReply | None:
        """Ask a target's issuer for a permit; return None if it does not answer."""
        news = self.recorder.news_of(target)
        if news is None:
            return SendReply(0.0)
        wait_s = None if max_wait is None else max(0.0, max_wait.total_seconds())
        message = AskToSend(self.me, wait_s, news)
        issuer = HostId(first_member(f"limit {target}", self.fleet.known_to_all()))
        if issuer == self.me:
            return self.issuer.issue(message)
        address = self.fleet.address_of(issuer)
        if address is None:
            return None
        answer = await self.peers.call(address, message, ASK_TIMEOUT_S)
        reply = answer.value_or(None)
        if not isinstance(reply, SendReply):
            return None
        if reply.news is not None:
            self.recorder.apply_report(reply.news, issuer)
        return reply

    async def handle_denial(
        self, target: TargetId, max_wait: timedelta | None, reply: SendReply | None
    ) -> None:
        """Record when a permit is expected."""
        now = self.clock.monotonic()
        if reply is None:
            until = now + NO_ISSUER_PAUSE
            self.limits.record_outlook(target, PermitOutlook(until, until))
            if max_wait is not None:
                await asyncio.sleep(min(max_wait, NO_ISSUER_PAUSE).total_seconds())
            return
        outlook = PermitOutlook(
            now + seconds(reply.free_in_s), now + seconds(reply.ask_in_s)
        )
        self.limits.record_outlook(target, outlook)

    def log_permit(
        self,
        request_id: str,
        published: PublishedTarget,
        rate_per_s: float,
        reply: SendReply | None,
    ) -> None:
        """Log and count whether a permit was granted, and what that depends on."""
        result = "no issuer"
        if reply is not None:
            result = "denied" if reply.start_in_s is None else "granted"
        pool = published.target.pool
        self.metrics.permits.inc({"pool": pool, "result": result})
        target = published.target.target_id
        known = self.recorder.news_of(target)
        log.info(
            "send permit",
            extra={
                "request": request_id,
                "target": target,
                "result": result,
                "limit_per_s": rate_per_s,
                "limit_age_s": known.age_s if known is not None else None,
                "start_in_s": reply.start_in_s if reply is not None else None,
                "free_in_s": round(reply.free_in_s, 3) if reply is not None else None,
            },
        )
