"""Keeps the rate limits that targets state, together with all other hosts.

For each limited target one host, the same on all hosts, issues the permits to send to
it. In a large fleet it is one of the hubs. While no issuer answers, nothing is sent to
the target.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import timedelta
from typing import Protocol

from returns.result import Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import Address, HostId, TargetId
from sardinequay_core.rendezvous import first_member
from sardinequay_core.send_schedule import Granted, SendSchedule, new_schedule
from sardinequay_core.target_limits import (
    LimitChange,
    LimitStatement,
    PermitOutlook,
    TargetLimits,
)

from .limit_messages import AskToSend, LimitNews, SendReply
from .peers import PeerClient
from .serving_metrics import ServingMetrics
from .serving_ports import AnswerFacts

ASK_TIMEOUT_S = 0.1
"""Timeout of a call to the issuer, in seconds; hosts of a region reply within a few
milliseconds, and the caller's request waits meanwhile."""

NO_ISSUER_PAUSE = seconds(0.3)
"""How long a target is left out after its issuer did not answer: others are live, or
take over within about a second."""

SCHEDULE_RETENTION = seconds(60)
"""How long the schedule of a target is kept that no host asks for."""

INVALID_LOG_INTERVAL = seconds(10)
"""Interval between two log lines about invalid limits of one target."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class LimitSource:
    """Where a statement about a limit came from, for the log.

    Parameters
    ----------
    peer : str
        The host that heard it; empty for this one.
    status : int
        Status of the answer that stated it; 0 if a peer heard it.
    """

    peer: str = ""
    status: int = 0


class LimiterPeers(Protocol):
    """What the limiter needs of the fleet."""

    def known_to_all(self) -> list[HostId]:
        """Return live hosts that all hosts know."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a host, if known."""

    def request_update(self, far: bool) -> None:
        """Schedule an update of near peers or, with `far`, of all peers."""


class TargetLimiter:
    """Knows targets' limits, asks for permits, and issues those of some targets.

    Parameters
    ----------
    limits : TargetLimits
        What is known of the limits, also read by the choice of targets.
    live_fraction : callable
        Returns the fraction of fleet-wide limits that the reachable hosts may use.
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        me: HostId,
        limits: TargetLimits,
        fleet: LimiterPeers,
        peers: PeerClient,
        clock: Clock,
        metrics: ServingMetrics,
        live_fraction: Callable[[], float],
        draw: Callable[[], float],
    ) -> None:
        self.me = me
        self.limits = limits
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.live_fraction = live_fraction
        self.draw = draw
        self.schedules: dict[TargetId, SendSchedule] = {}
        self.invalid_logged_at: dict[TargetId, Instant] = {}
        self.shown_targets: set[TargetId] = set()

    # What targets and peers state.

    def record_answer(
        self,
        published: PublishedTarget,
        facts: AnswerFacts,
        status: int,
        sent_at: Instant,
    ) -> None:
        """Apply what the head of a target's answer states about its limit.

        Parameters
        ----------
        sent_at : timedelta
            When the request was sent.
        """
        target = published.target.target_id
        if facts.is_misdirected or facts.instance not in ("", target):
            return
        if not isinstance(facts.rate_limit, Success):
            self.log_invalid(target, facts.rate_limit.failure().text)
            return
        rate_per_s = facts.rate_limit.unwrap()
        if rate_per_s is None and facts.not_run:
            # A rejection may come from a queue in front of the target.
            return
        stated = LimitStatement(
            rate_per_s, published.incarnation, self.clock.monotonic()
        )
        change = self.limits.record_answer(target, stated, sent_at)
        if change is not None:
            self.log_change(change, LimitSource(status=status), ZERO)
            self.fleet.request_update(far=True)

    def apply_reports(self, reports: Iterable[LimitNews], peer: HostId) -> None:
        """Apply what a peer knows of limits."""
        for news in reports:
            self.apply_report(news, peer)

    def apply_report(self, news: LimitNews, peer: HostId) -> None:
        """Apply what a peer knows of one limit, and pass a change on."""
        age = seconds(news.age_s)
        stated = LimitStatement(
            news.rate_per_s, news.incarnation, self.clock.monotonic() - age
        )
        change = self.limits.apply_report(news.target, stated)
        if change is not None:
            self.log_change(change, LimitSource(peer), age)
            self.fleet.request_update(far=True)

    def changed_since(self, number: int) -> tuple[LimitNews, ...]:
        """Return what peers should hear that changed after a change number."""
        return tuple(
            news
            for target in self.limits.changed_since(number)
            if (news := self.news_of(target)) is not None
        )

    def news_of(self, target: TargetId) -> LimitNews | None:
        """Return what this host knows of a target's limit, for a message."""
        known = self.limits.statements.get(target)
        if known is None:
            return None
        age_s = (self.clock.monotonic() - known.heard_at).total_seconds()
        return LimitNews(target, known.rate_per_s, known.incarnation, round(age_s, 3))

    # Permits, as the host that asks.

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
        news = self.news_of(target)
        if news is None:
            return SendReply(0.0)
        wait_s = None if max_wait is None else max(0.0, max_wait.total_seconds())
        message = AskToSend(self.me, wait_s, news)
        issuer = HostId(first_member(f"limit {target}", self.fleet.known_to_all()))
        address = self.fleet.address_of(issuer)
        if issuer == self.me or address is None:
            return self.issue(message)
        answer = await self.peers.call(address, message, ASK_TIMEOUT_S)
        reply = answer.value_or(None)
        if not isinstance(reply, SendReply):
            return None
        if reply.news is not None:
            self.apply_report(reply.news, issuer)
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

    # Permits, as the host that issues them.

    async def handle_ask(self, message: AskToSend) -> SendReply:
        """Reply to a host that asks for a permit."""
        self.apply_report(message.news, message.host_id)
        return self.issue(message)

    def issue(self, message: AskToSend) -> SendReply:
        """Grant or deny a permit for a target."""
        now = self.clock.monotonic()
        target = message.news.target
        rate_per_s = self.limits.rate_of(target, now)
        if rate_per_s is None:
            return SendReply(0.0, news=self.news_of(target))
        wait_s = message.max_wait_s
        reply = self.schedule_of(target, rate_per_s, now).ask(
            message.host_id, None if wait_s is None else seconds(wait_s), now
        )
        if isinstance(reply, Granted):
            start_in_s = reply.start_in.total_seconds()
            return SendReply(start_in_s, news=self.news_of(target))
        return SendReply(
            None,
            reply.free_in.total_seconds(),
            reply.ask_in.total_seconds(),
            self.news_of(target),
        )

    def schedule_of(
        self, target: TargetId, rate_per_s: float, now: Instant
    ) -> SendSchedule:
        """Return the schedule of a target for the hosts in contact, at its rate now."""
        share = self.live_fraction()
        schedule = self.schedules.get(target)
        if schedule is None:
            schedule = new_schedule(rate_per_s, self.draw, now, share)
            self.schedules[target] = schedule
        schedule.apply_limit(rate_per_s, now, share)
        return schedule

    def expire(self) -> None:
        """End the limits of silent targets, and drop schedules that nobody needs."""
        now = self.clock.monotonic()
        for change in self.limits.expire(now):
            self.log_change(change, LimitSource(), ZERO)
        for target, schedule in tuple(self.schedules.items()):
            is_unused = now - schedule.last_asked_at > SCHEDULE_RETENTION
            if is_unused or self.limits.rate_of(target, now) is None:
                del self.schedules[target]
        for target, at in tuple(self.invalid_logged_at.items()):
            if now - at >= INVALID_LOG_INTERVAL:
                del self.invalid_logged_at[target]
        self.show_limits()

    # Metrics and log lines.

    def show_limits(self) -> None:
        """Set the gauge of each limited target, and remove those of all others."""
        gauge, statements = self.metrics.target_limit, self.limits.statements
        limited = {
            target: statement.rate_per_s
            for target, statement in statements.items()
            if statement.rate_per_s is not None
        }
        for target, rate_per_s in limited.items():
            gauge.set({"target": str(target)}, rate_per_s)
        for target in self.shown_targets - limited.keys():
            gauge.values.pop({"target": str(target)}, None)
        self.shown_targets = set(limited)

    def log_invalid(self, target: TargetId, text: str) -> None:
        """Log that a target states a limit which cannot be parsed."""
        if target in self.invalid_logged_at:
            return
        self.invalid_logged_at[target] = self.clock.monotonic()
        extra = {"target": target, "stated": text}
        log.warning("target limit invalid", extra=extra)

    def log_change(
        self, change: LimitChange, source: LimitSource, age: timedelta
    ) -> None:
        """Log a limit that began, changed or ended."""
        log.info(
            "target limit",
            extra={
                "target": change.target,
                "before_per_s": change.before_per_s,
                "limit_per_s": change.after_per_s,
                "peer": source.peer,
                "status": source.status,
                "age_s": round(age.total_seconds(), 3),
            },
        )

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
        known = self.news_of(target)
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
