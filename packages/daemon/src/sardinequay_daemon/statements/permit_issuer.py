"""Issues the permits to send to some limited targets, for all hosts."""

from collections.abc import Callable

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import TargetId
from sardinequay_core.statements.send_schedule import (
    Granted,
    SendSchedule,
    new_schedule,
)

from .limit_messages import AskToSend, SendReply
from .limit_recorder import LimitRecorder

SCHEDULE_RETENTION = seconds(60)
"""How long the schedule of a target is kept that no host asks for."""


class PermitIssuer:
    """Owns the schedules of the targets whose permits this host issues.

    Parameters
    ----------
    live_fraction : callable
        Returns the fraction of fleet-wide limits that the reachable hosts may use.
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        recorder: LimitRecorder,
        clock: Clock,
        live_fraction: Callable[[], float],
        draw: Callable[[], float],
    ) -> None:
        self.recorder = recorder
        self.limits = recorder.limits
        self.clock = clock
        self.live_fraction = live_fraction
        self.draw = draw
        self.schedules: dict[TargetId, SendSchedule] = {}

    async def handle_ask(self, message: AskToSend) -> SendReply:
        """Reply to a host that asks for a permit."""
        self.recorder.apply_report(message.news, message.host_id)
        return self.issue(message)

    def issue(self, message: AskToSend) -> SendReply:
        """Grant or deny a permit for a target."""
        now = self.clock.monotonic()
        target = message.news.target
        rate_per_s = self.limits.rate_of(target, now)
        if rate_per_s is None:
            return SendReply(0.0, news=self.recorder.news_of(target))
        wait_s = message.max_wait_s
        reply = self.schedule_of(target, rate_per_s, now).ask(
            message.host_id, None if wait_s is None else seconds(wait_s), now
        )
        if isinstance(reply, Granted):
            start_in_s = reply.start_in.total_seconds()
            return SendReply(start_in_s, news=self.recorder.news_of(target))
        return SendReply(
            None,
            reply.free_in.total_seconds(),
            reply.ask_in.total_seconds(),
            self.recorder.news_of(target),
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
        """Drop the schedules that nobody needs."""
        now = self.clock.monotonic()
        for target, schedule in tuple(self.schedules.items()):
            is_unused = now - schedule.last_asked_at > SCHEDULE_RETENTION
            if is_unused or self.limits.rate_of(target, now) is None:
                del self.schedules[target]
