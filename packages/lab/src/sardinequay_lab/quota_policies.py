"""Ways to keep a quota over all hosts: shared usage, leases, fixed shares."""

from random import Random

import msgspec

from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.fleet_share import ASSUMED_HOSTS, FleetShare
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.names import HostId
from sardinequay_core.organisations import OrganisationName
from sardinequay_core.quota_ledger import Admitted, QuotaLedger, QuotaPolicy
from sardinequay_core.usage_view import ReportedUsage, UsageCounts

from .quota_world import ORGANISATION, REACH_LOST_S, Scenario

JOINS_AFTER_S = 0.4
"""A host that started hears the first peer after this."""

KNOWS_AFTER_S = 1.0
"""All hosts are known to it after this."""

ROUND_TRIP_S = 0.0015
ASK_BYTES = 60
ASK_TIMEOUT_S = 0.05
TAKEOVER_S = 1.2
"""How long it takes until another host grants in place of one that is lost."""


class SharedUsage:
    """Hosts admit by what all use together, as `quota_ledger` decides."""

    def __init__(self, scenario: Scenario, policy: QuotaPolicy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.random = Random(seed)
        self.organisation = scenario.organisation()
        self.messages = self.sent_bytes = 0
        self.waits_s: list[float] = []
        self.started: Instant = -seconds(60)
        self.restart(self.started)

    def restart(self, now: Instant) -> None:
        """Let all hosts forget everything."""
        self.started = now
        hosts = range(self.scenario.hosts)
        self.books = [QuotaLedger(self.random.random, self.policy) for _ in hosts]
        self.shares = [FleetShare() for _ in hosts]
        self.acquainted: set[tuple[int, int]] = set()
        for book in self.books:
            book.apply_organisations((self.organisation,), now)

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a host admits a request."""
        self.count_hosts(host, now)
        result = self.books[host].admit(self.organisation, tokens, now)
        return isinstance(result, Admitted)

    def count_hosts(self, host: int, now: Instant) -> None:
        """Tell a host's book how many hosts live."""
        up_s = (now - self.started).total_seconds()
        live = self.scenario.live_for(host, now.total_seconds())
        assumed = 1
        if up_s < KNOWS_AFTER_S:
            live = 1
            assumed = ASSUMED_HOSTS if up_s < JOINS_AFTER_S else self.scenario.hosts
        self.shares[host].record_live_hosts(live, now)
        self.books[host].apply_share(
            self.shares[host].reachable_share(live, assumed), now
        )

    def exchange(self, host: int, now: Instant) -> None:
        """Let a host exchange with its hub, or a hub with the other hubs."""
        self.count_hosts(host, now)
        if (now - self.started).total_seconds() < JOINS_AFTER_S:
            return
        hub = self.scenario.data_centre(host)
        if host != hub:
            usage = self.books[host].usage.own_counts(now, self.at_first(host, hub))
            self.tell(host, hub, DigestScope.HOST, usage, now)
            also = self.at_first(hub, host)
            usage = self.books[hub].usage.counts_excluding(HostId(str(host)), now, also)
            self.tell(hub, host, DigestScope.FLEET, usage, now)
            return
        for other in range(hub):
            if self.is_lost(hub, other, now):
                self.books[hub].forget_peer(HostId(str(other)), now)
                self.books[other].forget_peer(HostId(str(hub)), now)
            elif not self.scenario.is_cut(hub, other, now.total_seconds()):
                self.tell_hub(hub, other, now)
                self.tell_hub(other, hub, now)

    def is_lost(self, hub: int, other: int, now: Instant) -> bool:
        """Return whether hubs have been cut off from one another for long."""
        at_s = now.total_seconds()
        was_cut = self.scenario.is_cut(hub, other, at_s - REACH_LOST_S)
        return was_cut and self.scenario.is_cut(hub, other, at_s)

    def tell_hub(self, hub: int, other: int, now: Instant) -> None:
        """Tell another hub the sum of a data centre."""
        counts = self.books[hub].usage.data_centre_counts(
            now, self.at_first(hub, other)
        )
        self.tell(hub, other, DigestScope.DATA_CENTRE, counts, now)

    def at_first(self, sender: int, to: int) -> tuple[OrganisationName, ...]:
        """Return whom to tell of in any case, as hosts do when they tell one first."""
        if (sender, to) in self.acquainted:
            return ()
        self.acquainted.add((sender, to))
        return (ORGANISATION,)

    def tell(
        self,
        sender: int,
        to: int,
        scope: DigestScope,
        counts: UsageCounts,
        now: Instant,
    ) -> None:
        """Tell one host."""
        self.messages += 1
        self.sent_bytes += len(msgspec.msgpack.encode(counts))
        told = ReportedUsage(scope, dict(counts), now - self.started)
        book, name = self.books[to], HostId(str(sender))
        if scope is DigestScope.FLEET:
            book.apply_fleet_report(name, told, now)
        else:
            book.apply_report(name, told, now)


class Bucket:
    """A token bucket that one party owns."""

    def __init__(self, rate_per_s: float, burst: float, now: Instant) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.left = 0.0
        self.at = now

    def take(self, tokens: int, now: Instant) -> bool:
        """Take some tokens; return whether they were there."""
        elapsed_s = (now - self.at).total_seconds()
        self.left = min(self.burst, self.left + elapsed_s * self.rate_per_s)
        self.at = now
        if self.left < tokens:
            return False
        self.left -= tokens
        return True


class FixedShares:
    """Each host has its part of the quota by the number of hosts."""

    def __init__(self, scenario: Scenario, policy: QuotaPolicy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.messages = self.sent_bytes = 0
        self.waits_s: list[float] = []
        self.restart(ZERO)

    def restart(self, now: Instant) -> None:
        """Let all hosts forget everything."""
        quota = self.scenario.quota()
        part = 1 / self.scenario.hosts
        rate, burst = self.policy.rate_per_s(quota), self.policy.burst(quota)
        self.buckets = [
            Bucket(rate * part, burst * part, now) for _ in range(self.scenario.hosts)
        ]

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a host admits a request."""
        return self.buckets[host].take(tokens, now)

    def exchange(self, host: int, now: Instant) -> None:
        """Tell nobody anything."""


class LeasedAllowance:
    """One host of each part of the fleet grants what requests take, one by one."""

    def __init__(self, scenario: Scenario, policy: QuotaPolicy, seed: int) -> None:
        self.scenario = scenario
        self.policy = policy
        self.messages = self.sent_bytes = 0
        self.waits_s: list[float] = []
        self.blind_until = ZERO
        self.restart(ZERO)

    def restart(self, now: Instant) -> None:
        """Let all hosts forget everything; a new granter is found after a while."""
        if now > ZERO:
            self.blind_until = now + seconds(TAKEOVER_S)
        quota = self.scenario.quota()
        self.rate, self.burst = self.policy.rate_per_s(quota), self.policy.burst(quota)
        self.whole = Bucket(self.rate, self.burst, now)
        self.beyond: Bucket | None = None

    def admits(self, host: int, tokens: int, now: Instant) -> bool:
        """Return whether a request is granted."""
        bucket = self.granter(host, now)
        self.messages += 2
        self.sent_bytes += 2 * ASK_BYTES
        self.waits_s.append(ASK_TIMEOUT_S if bucket is None else ROUND_TRIP_S)
        return bucket is not None and bucket.take(tokens, now)

    def granter(self, host: int, now: Instant) -> Bucket | None:
        """Return who grants to a host; None while nobody does."""
        scenario, at_s = self.scenario, now.total_seconds()
        if now < self.blind_until:
            return None
        part = 1 / scenario.data_centres
        is_cut = scenario.cut.holds(at_s)
        is_beyond = scenario.data_centre(host) == scenario.data_centres - 1
        self.whole.rate_per_s = self.rate * (1 - part if is_cut else 1)
        if not is_cut or not is_beyond:
            self.beyond = self.beyond if is_cut else None
            return self.whole
        if at_s < scenario.cut.begin_s + TAKEOVER_S:
            return None
        if self.beyond is None:
            self.beyond = Bucket(self.rate * part, self.burst * part, now)
        return self.beyond

    def exchange(self, host: int, now: Instant) -> None:
        """Tell nobody anything: hosts ask."""
