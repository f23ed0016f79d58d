"""Distributed rate limits: which requests are within their organisation's quota.

Load pattern: many hosts, each of which gets a request of an organisation now and then,
and an organisation that suddenly sends several times its quota. A host's own share of a
small quota is less than one request. Admission by usage reported some tenths of a
second ago lets all hosts admit at once, and then none.

So each host estimates the remaining quota and the demand over the whole fleet, and
admits the fraction of its requests that fits. No request waits for another host. What
peers admit until their next report is extrapolated from their usage flow, so that a
silent peer is not taken for an idle one.
"""

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .names import HostId
from .organisations import Organisation, OrganisationName, Quota
from .usage_view import ReportedUsage, Usage, UsageView

USED_RATE_EXCESS = 0.2
"""Part of the tolerated excess of the rate that is used, so that requests within the
quota are not refused when an estimate is slightly too high."""

USED_BURST_SLACK = 0.4
"""Part of the tolerated slack in a window that is used, for the same reason."""

CORRECTION_HORIZON_S = 1.5
"""Time over which remaining quota may be used up and an overdraft is recovered, in
seconds: a few times the age of peers' reports, so that hosts do not oscillate
together."""

DEMAND_TIME_CONSTANT_S = 2.0
"""Time constant of this host's measured demand, in seconds: requests of one
organisation arrive at one host seconds apart."""

CHEAP_COST_SHARE = 0.25
"""A request that costs less than this share of its organisation's mean cost is admitted
while the quota is not far overdrawn: many such requests take few tokens, and they raise
the number of requests that an organisation gets for its quota."""

MEAN_COST_REQUESTS = 20
"""Number of requests over which the mean cost is averaged."""

EPSILON = 1e-9
WINDOW = seconds(8)


@dataclass(frozen=True, slots=True)
class QuotaPolicy:
    """Tolerated excess over a quota, summed over all hosts.

    Parameters
    ----------
    window : timedelta
        Length of the window in which usage is judged.
    rate_excess : float
        Fraction by which usage in a window may exceed the quota.
    slack : float
        Further excess in a window, in the quota's unit.
    """

    window: timedelta = WINDOW
    rate_excess: float = 0.25
    slack: float = 0.0

    def rate_per_s(self, quota: Quota) -> float:
        """Return the admitted rate, in the quota's unit a second."""
        return quota.rate_per_s * (1 + self.rate_excess * USED_RATE_EXCESS)

    def burst(self, quota: Quota) -> float:
        """Return the amount that is admitted at once after a pause."""
        return quota.burst + self.slack * USED_BURST_SLACK

    def max_cost(self, quota: Quota) -> float:
        """Return the cost of the largest request that fits in a window."""
        return quota.rate_per_s * self.window.total_seconds() + self.burst(quota)


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request within its organisation's quota, and the cost counted for it."""

    organisation: OrganisationName
    cost: int


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request beyond its organisation's quota, with the values behind the refusal.

    Parameters
    ----------
    rate_per_s, remaining, asked_per_s : float
        Rate that this host applies, quota that it estimates to remain, and demand over
        all hosts, in the quota's unit.
    data_age : timedelta
        Age of the oldest report of a peer.
    retry_after : timedelta or None
        When the request may fit; None if so large a request never does.
    """

    organisation: OrganisationName
    cost: int
    rate_per_s: float
    remaining: float
    asked_per_s: float
    data_age: timedelta
    retry_after: timedelta | None


@dataclass(slots=True)
class QuotaAccount:
    """State of one organisation's quota, as this host estimates it.

    Parameters
    ----------
    remaining : float
        In the quota's unit; negative while the quota is overdrawn.
    carry : float
        Sum of admitted fractions that has not reached a whole request yet.
    asked : float
        This host's recent demand, decayed, as of `asked_at`.
    mean_cost : float
        Mean cost of recent requests.
    """

    quota: Quota
    settled_at: Instant
    carry: float
    remaining: float = 0.0
    asked: float = 0.0
    asked_at: Instant = ZERO
    mean_cost: float = 0.0
    cost_samples: int = 0

    def own_asked_per_s(self, now: Instant) -> float:
        """Return the demand at this host, in the quota's unit a second."""
        aged_s = (now - self.asked_at).total_seconds()
        return (
            self.asked
            * math.exp(-aged_s / DEMAND_TIME_CONSTANT_S)
            / DEMAND_TIME_CONSTANT_S
        )

    def record_asked(self, cost: int, now: Instant) -> None:
        """Add a request to the demand at this host and to the mean cost."""
        self.asked = self.own_asked_per_s(now) * DEMAND_TIME_CONSTANT_S + cost
        self.asked_at = now
        self.cost_samples = min(self.cost_samples + 1, MEAN_COST_REQUESTS)
        self.mean_cost += (cost - self.mean_cost) / self.cost_samples


@dataclass(slots=True)
class QuotaLedger:
    """Quota accounts of all organisations on one host.

    Parameters
    ----------
    draw_random : callable
        Returns a random number from 0 to 1. It sets the initial `carry`, so that hosts
        that admit a fraction of requests admit their first one at different times.
    share : float
        Part of each quota that the hosts in contact with this one may use: less than
        all while other hosts, known to be alive recently, may use the rest out of
        contact.
    """

    draw_random: Callable[[], float]
    policy: QuotaPolicy = field(default_factory=QuotaPolicy)
    usage: UsageView = field(default_factory=UsageView)
    accounts: dict[OrganisationName, QuotaAccount] = field(default_factory=dict)
    share: float = 1.0

    def apply_organisations(
        self, organisations: tuple[Organisation, ...], now: Instant
    ) -> None:
        """Apply the quotas in force; usage counted so far is kept."""
        quotas = {o.name: o.quota for o in organisations if o.quota is not None}
        for name in [n for n in self.accounts if n not in quotas]:
            del self.accounts[name]
            self.usage.added_at.pop(name, None)
        for name, quota in quotas.items():
            account = self.accounts.get(name)
            if account is None:
                # Starts empty: another host may have admitted the burst just now.
                self.accounts[name] = QuotaAccount(quota, now, self.draw_random())
                self.usage.added_at[name] = now
            elif account.quota != quota:
                self.settle(name, account, now)
                account.quota = quota
                account.remaining = min(account.remaining, self.policy.burst(quota))

    def apply_share(self, share: float, now: Instant) -> None:
        """Set the part of each quota that the hosts in contact may use."""
        if share != self.share:
            self.settle_all(now)
            self.share = share

    def apply_report(self, host: HostId, report: ReportedUsage, now: Instant) -> None:
        """Apply a peer's usage counts: its own, or a sum over hosts it reports for."""
        self.settle_named(self.usage.affected_organisations(host, report.counts), now)
        for gain in self.usage.apply_report(host, report, now):
            account = self.accounts.get(gain.organisation)
            if account is not None:
                account.remaining -= gain.usage.admitted - gain.expected_admitted

    def apply_fleet_report(
        self, host: HostId, report: ReportedUsage, now: Instant
    ) -> None:
        """Replace the reports of all peers by the hub's sum over all other hosts."""
        if self.usage.sources.keys() != {host}:
            self.settle_all(now)
            self.usage.keep_only_peer(host)
        self.apply_report(host, report, now)

    def forget_peer(self, host: HostId, now: Instant) -> None:
        """Stop counting the usage of a peer that is gone."""
        if host in self.usage.sources:
            self.settle_all(now)
            self.usage.forget_peer(host, now)

    def settle_named(self, names: Iterable[OrganisationName], now: Instant) -> None:
        """Bring the accounts of the named organisations up to date."""
        for name in names:
            account = self.accounts.get(name)
            if account is not None:
                self.settle(name, account, now)

    def settle_all(self, now: Instant) -> None:
        """Bring all accounts up to date."""
        for name, account in self.accounts.items():
            self.settle(name, account, now)

    def settle(
        self, name: OrganisationName, account: QuotaAccount, now: Instant
    ) -> None:
        """Add the quota accrued since the last call, minus peers' expected usage."""
        elapsed_s = (now - account.settled_at).total_seconds()
        if elapsed_s <= 0:
            return
        account.settled_at = now
        rate = self.rate_per_s(account)
        expected_per_s = self.usage.peer_flow(name).admitted_per_s
        remaining = account.remaining + (rate - expected_per_s) * elapsed_s
        lowest = -rate * self.policy.window.total_seconds()
        highest = self.policy.burst(account.quota) * self.share
        account.remaining = min(max(remaining, lowest), highest)

    def rate_per_s(self, account: QuotaAccount) -> float:
        """Return the rate that the hosts in contact may admit together."""
        return self.policy.rate_per_s(account.quota) * self.share

    def admit(
        self, organisation: Organisation, tokens: int | None, now: Instant
    ) -> Admitted | OverQuota | None:
        """Decide on a request by its organisation's quota; return None without a quota.

        Parameters
        ----------
        tokens : int or None
            Tokens that the request declares.
        """
        account = self.accounts.get(organisation.name)
        if account is None:
            return None
        cost = account.quota.cost(tokens)
        if cost > self.policy.max_cost(account.quota):
            return self.over_quota(organisation.name, account, cost, now, None)
        self.settle(organisation.name, account, now)
        fraction = self.admitted_fraction(organisation.name, account, cost, now)
        account.record_asked(cost, now)
        account.carry += fraction
        if account.carry < 1 - EPSILON:
            self.usage.record_usage(organisation.name, Usage(asked=cost), now)
            retry_after = self.retry_after(organisation.name, account, cost, now)
            return self.over_quota(organisation.name, account, cost, now, retry_after)
        account.carry -= 1
        account.remaining -= cost
        self.usage.record_usage(organisation.name, Usage(cost, cost), now)
        return Admitted(organisation.name, cost)

    def refund(self, admitted: Admitted, now: Instant) -> None:
        """Return the cost of a request that did not run to its quota."""
        account = self.accounts.get(admitted.organisation)
        if account is not None:
            account.remaining += admitted.cost
            self.usage.record_usage(
                admitted.organisation, Usage(0, -admitted.cost), now
            )

    def admitted_fraction(
        self, name: OrganisationName, account: QuotaAccount, cost: int, now: Instant
    ) -> float:
        """Return the fraction of requests of some cost that fits, over all hosts."""
        free_per_s = self.rate_per_s(account) + account.remaining / CORRECTION_HORIZON_S
        asked_per_s = self.asked_per_s(name, account, now)
        if free_per_s <= 0:
            return 0.0
        if cost <= CHEAP_COST_SHARE * account.mean_cost:
            return 1.0
        return min(1.0, free_per_s / max(asked_per_s, EPSILON))

    def asked_per_s(
        self, name: OrganisationName, account: QuotaAccount, now: Instant
    ) -> float:
        """Return the demand over all hosts, in the quota's unit a second."""
        peers_per_s = self.usage.peer_flow(name).asked_per_s
        return peers_per_s + account.own_asked_per_s(now)

    def retry_after(
        self, name: OrganisationName, account: QuotaAccount, cost: int, now: Instant
    ) -> timedelta:
        """Return when a refused request may fit.

        That is the time to recover an overdraft and accrue the cost, lengthened by the
        ratio of demand to rate, since other refused requests retry meanwhile.
        """
        rate = self.rate_per_s(account)
        demand_ratio = max(1.0, self.asked_per_s(name, account, now) / rate)
        return seconds((max(0.0, -account.remaining) + cost) / rate * demand_ratio)

    def over_quota(
        self,
        name: OrganisationName,
        account: QuotaAccount,
        cost: int,
        now: Instant,
        retry_after: timedelta | None,
    ) -> OverQuota:
        """Return the refusal of a request with the values that it was decided from."""
        return OverQuota(
            name,
            cost,
            self.rate_per_s(account),
            account.remaining,
            self.asked_per_s(name, account, now),
            self.usage.max_report_age(now),
            retry_after,
        )
