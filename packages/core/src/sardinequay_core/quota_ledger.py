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
from .usage_view import Told, Usage, UsageView

USED_OVER = 0.2
"""Part of the tolerated excess of the rate that is used, so that requests within the
quota are not refused for an estimate that is a little high."""

USED_SLACK = 0.4
"""The same for the tolerated excess in a window."""

HORIZON_S = 1.5
"""In this time what is left may be used up, and what is overdrawn is made up for, in
seconds: a few times the age of what is known, so that hosts do not sway together."""

OWN_MEMORY_S = 2.0
"""Time constant of what this host is asked for, in seconds: requests of one
organisation come to one host seconds apart."""

CHEAP_PART = 0.25
"""A request that costs less than this part of the usual one of its organisation is let
through while the quota is not far overdrawn: many of them take few tokens, and all that
an organisation gets for its quota grows by them."""

USUAL_OVER = 20
"""Requests over which the usual cost is reckoned."""

FEW = 1e-9
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
    over: float = 0.25
    slack: float = 0.0

    def rate_per_s(self, quota: Quota) -> float:
        """Return what is admitted a second."""
        return quota.rate_per_s * (1 + self.over * USED_OVER)

    def burst(self, quota: Quota) -> float:
        """Return what is admitted at once after a pause."""
        return quota.burst + self.slack * USED_SLACK

    def largest(self, quota: Quota) -> float:
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
    left: float
    asked_per_s: float
    known: timedelta
    come_back: timedelta | None


@dataclass(slots=True)
class Account:
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
    at: Instant
    carry: float
    left: float = 0.0
    asked: float = 0.0
    asked_at: Instant = ZERO
    usual_cost: float = 0.0
    seen: int = 0

    def own_asked_per_s(self, now: Instant) -> float:
        """Return what this host is asked for a second."""
        aged_s = (now - self.asked_at).total_seconds()
        return self.asked * math.exp(-aged_s / OWN_MEMORY_S) / OWN_MEMORY_S

    def note_asked(self, cost: int, now: Instant) -> None:
        """Count what this host is asked for."""
        self.asked = self.own_asked_per_s(now) * OWN_MEMORY_S + cost
        self.asked_at = now
        self.seen = min(self.seen + 1, USUAL_OVER)
        self.usual_cost += (cost - self.usual_cost) / self.seen


@dataclass(slots=True)
class QuotaBook:
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

    draw: Callable[[], float]
    policy: QuotaPolicy = field(default_factory=QuotaPolicy)
    usage: UsageView = field(default_factory=UsageView)
    accounts: dict[OrganisationName, Account] = field(default_factory=dict)
    share: float = 1.0

    # What comes in.

    def take_organisations(
        self, organisations: tuple[Organisation, ...], now: Instant
    ) -> None:
        """Take the quotas in force; what was used stays counted."""
        quotas = {o.name: o.quota for o in organisations if o.quota is not None}
        for name in [n for n in self.accounts if n not in quotas]:
            del self.accounts[name]
            self.usage.opened_at.pop(name, None)
        for name, quota in quotas.items():
            account = self.accounts.get(name)
            if account is None:
                # Empty: another host may have used the burst just now.
                self.accounts[name] = Account(quota, now, self.draw())
                self.usage.opened_at[name] = now
            elif account.quota != quota:
                self.settle(name, account, now)
                account.quota = quota
                account.left = min(account.left, self.policy.burst(quota))

    def take_share(self, share: float, now: Instant) -> None:
        """Take which part of each quota the hosts in touch may use."""
        if share != self.share:
            self.settle_all(now)
            self.share = share

    def hear(self, host: HostId, told: Told, now: Instant) -> None:
        """Take what a peer counted, itself or over all hosts behind it."""
        self.settle_some(self.usage.concerned(host, told.counts), now)
        for gain in self.usage.hear(host, told, now):
            account = self.accounts.get(gain.organisation)
            if account is not None:
                account.left -= gain.usage.admitted - gain.foreseen

    def hear_all(self, host: HostId, told: Told, now: Instant) -> None:
        """Take from one peer what all others counted."""
        if self.usage.sources.keys() != {host}:
            self.settle_all(now)
            self.usage.only(host)
        self.hear(host, told, now)

    def forget(self, host: HostId, now: Instant) -> None:
        """Take that a peer is gone."""
        if host in self.usage.sources:
            self.settle_all(now)
            self.usage.forget(host, now)

    def settle_some(self, names: Iterable[OrganisationName], now: Instant) -> None:
        """Bring the accounts of some organisations up to now."""
        for name in names:
            account = self.accounts.get(name)
            if account is not None:
                self.settle(name, account, now)

    def settle_all(self, now: Instant) -> None:
        """Bring all accounts up to now."""
        for name, account in self.accounts.items():
            self.settle(name, account, now)

    def settle(self, name: OrganisationName, account: Account, now: Instant) -> None:
        """Add what became free since last time, less what others foreseeably used."""
        elapsed_s = (now - account.at).total_seconds()
        if elapsed_s <= 0:
            return
        account.at = now
        rate = self.rate_per_s(account)
        foreseen = self.usage.flow_elsewhere(name).admitted_per_s
        left = account.left + (rate - foreseen) * elapsed_s
        lowest = -rate * self.policy.window.total_seconds()
        highest = self.policy.burst(account.quota) * self.share
        account.left = min(max(left, lowest), highest)

    # What a request sees.

    def rate_per_s(self, account: Account) -> float:
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
        if cost > self.policy.largest(account.quota):
            return self.over(organisation.name, account, cost, now, None)
        self.settle(organisation.name, account, now)
        fraction = self.fraction(organisation.name, account, cost, now)
        account.note_asked(cost, now)
        account.carry += fraction
        if account.carry < 1 - FEW:
            self.usage.note(organisation.name, Usage(asked=cost), now)
            wait = self.come_back(organisation.name, account, cost, now)
            return self.over(organisation.name, account, cost, now, wait)
        account.carry -= 1
        account.left -= cost
        self.usage.note(organisation.name, Usage(cost, cost), now)
        return Admitted(organisation.name, cost)

    def give_back(self, admitted: Admitted, now: Instant) -> None:
        """Take back what was counted for a request that did not run."""
        account = self.accounts.get(admitted.organisation)
        if account is not None:
            account.left += admitted.cost
            self.usage.note(admitted.organisation, Usage(0, -admitted.cost), now)

    def fraction(
        self, name: OrganisationName, account: Account, cost: int, now: Instant
    ) -> float:
        """Return which part of requests of some cost fits, over all hosts."""
        free_per_s = self.rate_per_s(account) + account.left / HORIZON_S
        asked_per_s = self.asked_per_s(name, account, now)
        if free_per_s <= 0:
            return 0.0
        if cost <= CHEAP_PART * account.usual_cost:
            return 1.0
        return min(1.0, free_per_s / max(asked_per_s, FEW))

    def asked_per_s(
        self, name: OrganisationName, account: Account, now: Instant
    ) -> float:
        """Return what all hosts are asked for a second."""
        elsewhere = self.usage.flow_elsewhere(name).asked_per_s
        return elsewhere + account.own_asked_per_s(now)

    def come_back(
        self, name: OrganisationName, account: Account, cost: int, now: Instant
    ) -> timedelta:
        """Return when a refused request may fit.

        That is when what is overdrawn is made up for, and in turn with others that are
        refused meanwhile.
        """
        rate = self.rate_per_s(account)
        crowd = max(1.0, self.asked_per_s(name, account, now) / rate)
        return seconds((max(0.0, -account.left) + cost) / rate * crowd)

    def over(
        self,
        name: OrganisationName,
        account: Account,
        cost: int,
        now: Instant,
        come_back: timedelta | None,
    ) -> OverQuota:
        """Return the refusal of a request with what it was decided from."""
        return OverQuota(
            name,
            cost,
            self.rate_per_s(account),
            account.left,
            self.asked_per_s(name, account, now),
            self.usage.age(now),
            come_back,
        )
