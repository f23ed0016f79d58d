"""Which requests are within an organisation's quota, by what all hosts use together.

Load pattern: many hosts, each of which sees a request of an organisation now and then,
and an organisation that suddenly asks for several times what it may. A host's own share
of a small quota is less than one request. Admitting against what was heard some tenths
of a second ago lets all hosts through at once, and then none.

So each host estimates what is left for the whole fleet, how much is asked for, and
admits the fraction of its requests that fits. Nobody is asked on a request's way. What
others admit until they are heard again is foreseen from their flow, so that a peer that
falls silent is not taken for one that uses nothing.
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
quota are not refused for an estimate that is a little high."""

USED_BURST_SLACK = 0.4
"""The same for the tolerated excess in a window."""

CORRECTION_HORIZON_S = 1.5
"""In this time what is left may be used up, and what is overdrawn is made up for, in
seconds: a few times the age of what is known, so that hosts do not sway together."""

DEMAND_TIME_CONSTANT_S = 2.0
"""Time constant of what this host is asked for, in seconds: requests of one
organisation come to one host seconds apart."""

CHEAP_COST_SHARE = 0.25
"""A request that costs less than this part of the usual one of its organisation is let
through while the quota is not far overdrawn: many of them take few tokens, and all that
an organisation gets for its quota grows by them."""

MEAN_COST_REQUESTS = 20
"""Requests over which the usual cost is reckoned."""

EPSILON = 1e-9
WINDOW = seconds(8)


@dataclass(frozen=True, slots=True)
class QuotaPolicy:
    """What may be exceeded, over all hosts.

    Parameters
    ----------
    window : timedelta
        The span in which usage is judged.
    over : float
        Part by which usage in a window may exceed the quota.
    slack : float
        What it may exceed it by beyond that, in the quota's unit.
    """

    window: timedelta = WINDOW
    rate_excess: float = 0.25
    slack: float = 0.0

    def rate_per_s(self, quota: Quota) -> float:
        """Return what is admitted a second."""
        return quota.rate_per_s * (1 + self.rate_excess * USED_RATE_EXCESS)

    def burst(self, quota: Quota) -> float:
        """Return what is admitted at once after a pause."""
        return quota.burst + self.slack * USED_BURST_SLACK

    def max_cost(self, quota: Quota) -> float:
        """Return the largest request that fits a window."""
        return quota.rate_per_s * self.window.total_seconds() + self.burst(quota)


@dataclass(frozen=True, slots=True)
class Admitted:
    """A request is within its organisation's quota and counts against it."""

    organisation: OrganisationName
    cost: int


@dataclass(frozen=True, slots=True)
class OverQuota:
    """A request is beyond its organisation's quota.

    Parameters
    ----------
    rate_per_s, left, asked_per_s : float
        What this host may go by, what it takes to be left, and what is asked for over
        all hosts.
    known : timedelta
        How old what it knows of others is.
    come_back : timedelta or None
        When there may be room; None if there never is for so large a request.
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
    """What is left of one organisation's quota, as this host estimates it.

    Parameters
    ----------
    left : float
        In the quota's unit; negative once more was used than may be.
    carry : float
        Of requests that were let through in part, what adds up to the next whole one.
    asked : float
        What this host was asked for lately, decayed, as of `asked_at`.
    usual_cost : float
        Of a request, over the last ones.
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
        """Return what this host is asked for a second."""
        aged_s = (now - self.asked_at).total_seconds()
        return (
            self.asked
            * math.exp(-aged_s / DEMAND_TIME_CONSTANT_S)
            / DEMAND_TIME_CONSTANT_S
        )

    def record_asked(self, cost: int, now: Instant) -> None:
        """Count what this host is asked for."""
        self.asked = self.own_asked_per_s(now) * DEMAND_TIME_CONSTANT_S + cost
        self.asked_at = now
        self.cost_samples = min(self.cost_samples + 1, MEAN_COST_REQUESTS)
        self.mean_cost += (cost - self.mean_cost) / self.cost_samples


@dataclass(slots=True)
class QuotaLedger:
    """The accounts of all organisations on one host.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 to 1: hosts admit their first requests of those
        that fit in part at different moments.
    share : float
        Part of each quota that the hosts in touch with this one may use: less than all
        while others, known to have lived lately, may use the rest out of touch.
    """

    draw_random: Callable[[], float]
    policy: QuotaPolicy = field(default_factory=QuotaPolicy)
    usage: UsageView = field(default_factory=UsageView)
    accounts: dict[OrganisationName, QuotaAccount] = field(default_factory=dict)
    share: float = 1.0

    # What comes in.

    def apply_organisations(
        self, organisations: tuple[Organisation, ...], now: Instant
    ) -> None:
        """Take the quotas in force; what was used stays counted."""
        quotas = {o.name: o.quota for o in organisations if o.quota is not None}
        for name in [n for n in self.accounts if n not in quotas]:
            del self.accounts[name]
            self.usage.added_at.pop(name, None)
        for name, quota in quotas.items():
            account = self.accounts.get(name)
            if account is None:
                # Empty: another host may have used the burst just now.
                self.accounts[name] = QuotaAccount(quota, now, self.draw_random())
                self.usage.added_at[name] = now
            elif account.quota != quota:
                self.settle(name, account, now)
                account.quota = quota
                account.remaining = min(account.remaining, self.policy.burst(quota))

    def apply_share(self, share: float, now: Instant) -> None:
        """Take which part of each quota the hosts in touch may use."""
        if share != self.share:
            self.settle_all(now)
            self.share = share

    def apply_report(self, host: HostId, told: ReportedUsage, now: Instant) -> None:
        """Take what a peer counted, itself or over all hosts behind it."""
        self.settle_named(self.usage.affected_organisations(host, told.counts), now)
        for gain in self.usage.apply_report(host, told, now):
            account = self.accounts.get(gain.organisation)
            if account is not None:
                account.remaining -= gain.usage.admitted - gain.expected_admitted

    def apply_fleet_report(
        self, host: HostId, told: ReportedUsage, now: Instant
    ) -> None:
        """Take from one peer what all others counted."""
        if self.usage.sources.keys() != {host}:
            self.settle_all(now)
            self.usage.keep_only_peer(host)
        self.apply_report(host, told, now)

    def forget_peer(self, host: HostId, now: Instant) -> None:
        """Take that a peer is gone."""
        if host in self.usage.sources:
            self.settle_all(now)
            self.usage.forget_peer(host, now)

    def settle_named(self, names: Iterable[OrganisationName], now: Instant) -> None:
        """Bring the accounts of some organisations up to now."""
        for name in names:
            account = self.accounts.get(name)
            if account is not None:
                self.settle(name, account, now)

    def settle_all(self, now: Instant) -> None:
        """Bring all accounts up to now."""
        for name, account in self.accounts.items():
            self.settle(name, account, now)

    def settle(
        self, name: OrganisationName, account: QuotaAccount, now: Instant
    ) -> None:
        """Add what became free since last time, less what others foreseeably used."""
        elapsed_s = (now - account.settled_at).total_seconds()
        if elapsed_s <= 0:
            return
        account.settled_at = now
        rate = self.rate_per_s(account)
        foreseen = self.usage.peer_flow(name).admitted_per_s
        left = account.remaining + (rate - foreseen) * elapsed_s
        lowest = -rate * self.policy.window.total_seconds()
        highest = self.policy.burst(account.quota) * self.share
        account.remaining = min(max(left, lowest), highest)

    # What a request sees.

    def rate_per_s(self, account: QuotaAccount) -> float:
        """Return what the hosts in touch may admit a second."""
        return self.policy.rate_per_s(account.quota) * self.share

    def admit(
        self, organisation: Organisation, tokens: int | None, now: Instant
    ) -> Admitted | OverQuota | None:
        """Return whether a request is within the quota; None if there is none.

        Parameters
        ----------
        tokens : int or None
            Tokens that the request says it takes.
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
            wait = self.retry_after(organisation.name, account, cost, now)
            return self.over_quota(organisation.name, account, cost, now, wait)
        account.carry -= 1
        account.remaining -= cost
        self.usage.record_usage(organisation.name, Usage(cost, cost), now)
        return Admitted(organisation.name, cost)

    def refund(self, admitted: Admitted, now: Instant) -> None:
        """Take back what was counted for a request that did not run."""
        account = self.accounts.get(admitted.organisation)
        if account is not None:
            account.remaining += admitted.cost
            self.usage.record_usage(
                admitted.organisation, Usage(0, -admitted.cost), now
            )

    def admitted_fraction(
        self, name: OrganisationName, account: QuotaAccount, cost: int, now: Instant
    ) -> float:
        """Return which part of requests of some cost fits, over all hosts."""
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
        """Return what all hosts are asked for a second."""
        elsewhere = self.usage.peer_flow(name).asked_per_s
        return elsewhere + account.own_asked_per_s(now)

    def retry_after(
        self, name: OrganisationName, account: QuotaAccount, cost: int, now: Instant
    ) -> timedelta:
        """Return when a refused request may fit.

        That is when what is overdrawn is made up for, and in turn with others that are
        refused meanwhile.
        """
        rate = self.rate_per_s(account)
        crowd = max(1.0, self.asked_per_s(name, account, now) / rate)
        return seconds((max(0.0, -account.remaining) + cost) / rate * crowd)

    def over_quota(
        self,
        name: OrganisationName,
        account: QuotaAccount,
        cost: int,
        now: Instant,
        come_back: timedelta | None,
    ) -> OverQuota:
        """Return the refusal of a request with what it was decided from."""
        return OverQuota(
            name,
            cost,
            self.rate_per_s(account),
            account.remaining,
            self.asked_per_s(name, account, now),
            self.usage.max_report_age(now),
            come_back,
        )
