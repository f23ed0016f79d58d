"""Ways for hosts to keep a target's rate limit together, for the replay."""

from random import Random

from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.quota_ledger import QuotaPolicy
from sardinequay_core.rendezvous import rank_members
from sardinequay_core.statements.send_schedule import (
    Granted,
    SendSchedule,
    new_schedule,
)

from .quota_policies import (
    ASK_BYTES,
    ROUND_TRIP_S,
    TAKEOVER_S,
    Bucket,
    SharedUsage,
)
from .quota_world import Scenario

SENDERS = 2
TARGET = "limited target"


class EqualShares:
    """Each host has its part of the limit by the hosts that it hears."""

    views_differ = False

    def __init__(self, scenario: Scenario, policy: QuotaPolicy, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.messages = self.sent_bytes = 0
        self.waits_s: list[float] = []
        self.restart(ZERO)

    def restart(self, now: Instant) -> None:
        """Let all hosts forget everything."""
        self.buckets = [Bucket(0.0, 1.0, now) for _ in range(self.scenario.hosts)]
        for bucket in self.buckets:
            bucket.left = self.random.random()

    def lose_issuer(self, now: Instant) -> None:
        """Lose nobody: there is none."""

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a host's own part has a whole request."""
        live = self.scenario.live_for(host, now.total_seconds())
        self.buckets[host].rate_per_s = self.scenario.rate_per_s / live
        return self.buckets[host].take(1, now)

    def exchange(self, host: int, now: Instant) -> None:
        """Tell nobody anything."""


class FewSenders(EqualShares):
    """A few hosts, ranked by rendezvous, divide the limit; all others never send."""

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a host may send at all, and has a whole request."""
        at_s = now.total_seconds()
        heard = [
            h
            for h in range(self.scenario.hosts)
            if self.scenario.live_for(h, at_s) == self.scenario.live_for(host, at_s)
        ]
        if str(host) not in rank_members(TARGET, map(str, heard))[:SENDERS]:
            return False
        bucket = self.buckets[host]
        bucket.rate_per_s = self.scenario.rate_per_s / SENDERS
        bucket.burst = 2.0
        return bucket.take(1, now)


class SharedCounts(SharedUsage):
    """Hosts send the fraction that fits, by what all sent, as for quotas."""

    views_differ = False

    def lose_issuer(self, now: Instant) -> None:
        """Lose nobody: there is none."""


class IssuedPermits:
    """One host of each part of the fleet issues permits, one by one.

    While views differ, every second host takes another one for the issuer.
    """

    views_differ = False

    def __init__(self, scenario: Scenario, policy: QuotaPolicy, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.messages = self.sent_bytes = 0
        self.waits_s: list[float] = []
        self.restart(ZERO)

    def restart(self, now: Instant) -> None:
        """Let all hosts forget everything."""
        self.schedules: dict[tuple[int, int], SendSchedule] = {}
        self.ask_at: dict[int, Instant] = {}
        self.blind_until = now + seconds(TAKEOVER_S if now > ZERO else 0)

    def lose_issuer(self, now: Instant) -> None:
        """Kill the host that issues; another one does so after a while."""
        self.schedules.clear()
        self.blind_until = now + seconds(TAKEOVER_S)

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a permit is granted now; a host that was told waits."""
        if now < self.ask_at.get(host, ZERO):
            return False
        self.messages += 2
        self.sent_bytes += 2 * ASK_BYTES
        self.waits_s.append(ROUND_TRIP_S)
        if now < self.blind_until:
            return False
        live = self.scenario.live_for(host, now.total_seconds())
        limit_per_s, share = self.scenario.rate_per_s, live / self.scenario.hosts
        island = (live, host % 2 if self.views_differ else 0)
        schedule = self.schedules.get(island)
        if schedule is None:
            schedule = new_schedule(limit_per_s, self.random.random, now, share)
            self.schedules[island] = schedule
        schedule.apply_limit(limit_per_s, now, share)
        reply = schedule.ask(HostId(str(host)), None, now)
        if isinstance(reply, Granted):
            return True
        self.ask_at[host] = now + reply.ask_in
        return False

    def exchange(self, host: int, now: Instant) -> None:
        """Tell nobody anything: hosts ask."""
