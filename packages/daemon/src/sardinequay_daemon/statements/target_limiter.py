"""Asks for the permits to send to limited targets.

While the issuer of a target does not answer, nothing is sent to the target.
"""

import asyncio
import logging

from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import HostId
from sardinequay_core.statements.limits import PermitOutlook

from ..peers import PeerClient
from ..serving_metrics import ServingMetrics
from .issuer_client import NO_ISSUER_PAUSE, IssuerClient, IssuerPeers
from .limit_messages import AskToSend, SendReply
from .limit_recorder import LimitRecorder
from .permit_issuer import PermitIssuer
from .permit_request import PermitRequest

ASK_TIMEOUT_S = 0.1
"""Timeout of a call to the issuer, in seconds; hosts of a region reply within a few
milliseconds, and the caller's request waits meanwhile."""

log = logging.getLogger(__name__)


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
        fleet: IssuerPeers,
        peers: PeerClient,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.me = me
        self.issuers = IssuerClient(me, "limit", fleet, peers)
        self.recorder = recorder
        self.limits = recorder.limits
        self.issuer = issuer
        self.clock = clock
        self.metrics = metrics

    async def may_send(self, request: PermitRequest) -> bool:
        """Wait for a permit to send a request; return whether it came.

        Without a permit, and if the limit fell during the wait, another choice is due.
        """
        target = request.target
        rate_per_s = self.limits.rate_of(target, self.clock.monotonic())
        if rate_per_s is None:
            return True
        reply = await self.ask_issuer(request)
        self.log_permit(request, rate_per_s, reply)
        if reply is None or reply.start_in_s is None:
            await self.handle_denial(request, reply)
            return False
        self.limits.outlooks.pop(target, None)
        if not reply.start_in_s:
            return True
        await asyncio.sleep(reply.start_in_s)
        rate_now = self.limits.rate_of(target, self.clock.monotonic())
        return rate_now is None or rate_now >= rate_per_s

    async def ask_issuer(self, request: PermitRequest) -> SendReply | None:
        """Ask a target's issuer for a permit; return None if it does not answer."""
        target = request.target
        news = self.recorder.news_of(target)
        if news is None:
            return SendReply(0.0)
        wait_s = None if request.max_wait is None else request.max_wait_s
        message = AskToSend(self.me, wait_s, news)
        issuer = self.issuers.issuer_of(target)

        async def answer_here() -> SendReply:
            return self.issuer.issue(message)

        reply = await self.issuers.call(
            issuer, message, SendReply, answer_here, ASK_TIMEOUT_S
        )
        if reply is None or issuer == self.me:
            return reply
        if reply.news is not None:
            self.recorder.apply_report(reply.news, issuer)
        return reply

    async def handle_denial(
        self, request: PermitRequest, reply: SendReply | None
    ) -> None:
        """Record when a permit is expected."""
        target, max_wait = request.target, request.max_wait
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
        request: PermitRequest,
        rate_per_s: float,
        reply: SendReply | None,
    ) -> None:
        """Log and count whether a permit was granted, and what that depends on."""
        result = "no issuer"
        if reply is not None:
            result = "denied" if reply.start_in_s is None else "granted"
        pool = request.published.target.pool
        self.metrics.permits.inc({"pool": pool, "result": result})
        target = request.target
        known = self.recorder.news_of(target)
        log.info(
            "send permit",
            extra={
                "request": request.request_id,
                "target": target,
                "result": result,
                "limit_per_s": rate_per_s,
                "limit_age_s": known.age_s if known is not None else None,
                "start_in_s": reply.start_in_s if reply is not None else None,
                "free_in_s": round(reply.free_in_s, 3) if reply is not None else None,
            },
        )
