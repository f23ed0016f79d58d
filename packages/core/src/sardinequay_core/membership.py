"""Membership of the entry hosts of one data centre, by gossip at constant cost.

Each period a host pings one peer, and with ping and answer both tell the news of
members that they heard of lately. A silent peer becomes suspected, then dead; a member
that hears itself suspected refutes it with a higher incarnation.

References
----------
A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent infection-style
process group membership protocol", DSN 2002. Indirect pings are left out: a peer that
some can reach refutes suspicion through them.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field, replace
from datetime import timedelta
from enum import IntEnum
from typing import Any, Protocol

from .clock import Instant
from .names import Address, HostId

NEWS_PER_MESSAGE = 6
NEWS_REPEATS = 6
"""How often one piece of news is told; about log2 of the hosts in a data centre."""


class Shuffler(Protocol):
    """Where randomness comes from: the core is handed a generator."""

    def shuffle(self, x: list[Any], /) -> None:
        """Shuffle a list in place."""


class Health(IntEnum):
    """How a member is seen; of one incarnation the higher value is believed."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One entry host as its peers see it."""

    host_id: HostId
    address: Address
    incarnation: int
    health: Health = Health.ALIVE

    def overrides(self, other: "Member") -> bool:
        """Return whether this is later news than `other`."""
        return (self.incarnation, self.health) > (other.incarnation, other.health)


@dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """The periods of membership.

    Parameters
    ----------
    period : timedelta
        Between two pings by one host.
    suspect_for : timedelta
        From suspicion to death: time to refute it.
    forget_after : timedelta
        How long the dead are remembered, so that old news does not revive them.
    """

    period: timedelta = timedelta(seconds=0.5)
    suspect_for: timedelta = timedelta(seconds=2)
    forget_after: timedelta = timedelta(seconds=120)


@dataclass(slots=True)
class Known:
    """A member, since when it is seen so, and how often that was told."""

    member: Member
    since: Instant
    told: int = 0


@dataclass(slots=True)
class Membership:
    """One host's view of its data centre."""

    me: Member
    policy: MembershipPolicy
    random: Shuffler
    known: dict[HostId, Known] = field(default_factory=dict)
    turn: list[HostId] = field(default_factory=list)

    def seed(self, members: Iterable[Member], now: Instant) -> None:
        """Take hosts from the platform's list that were never heard of."""
        for member in members:
            if member.host_id != self.me.host_id and member.host_id not in self.known:
                self.known[member.host_id] = Known(member, now)

    def next_ping(self) -> Member | None:
        """Return whom to ping now: each known member once in a round, shuffled."""
        while True:
            if not self.turn:
                self.turn = sorted(
                    h for h, k in self.known.items() if k.member.health < Health.DEAD
                )
                self.random.shuffle(self.turn)
            if not self.turn:
                return None
            known = self.known.get(self.turn.pop())
            if known is not None and known.member.health < Health.DEAD:
                return known.member

    def news(self) -> tuple[Member, ...]:
        """Return what to tell with a message: oneself, and the least told news."""
        fresh = [k for k in self.known.values() if k.told < NEWS_REPEATS]
        fresh.sort(key=lambda k: (k.told, k.member.host_id))
        chosen = fresh[:NEWS_PER_MESSAGE]
        for known in chosen:
            known.told += 1
        return (self.me, *(k.member for k in chosen))

    def hear(self, news: Iterable[Member], now: Instant) -> None:
        """Take news from a peer."""
        for member in news:
            if member.host_id == self.me.host_id:
                self.refute(member)
            else:
                self.take(member, now)

    def refute(self, member: Member) -> None:
        """Outbid news that this host is not what it is."""
        if member.overrides(self.me):
            self.me = replace(self.me, incarnation=member.incarnation + 1)

    def take(self, member: Member, now: Instant) -> None:
        """Believe later news of a member."""
        known = self.known.get(member.host_id)
        if known is None or member.overrides(known.member):
            self.known[member.host_id] = Known(member, now)

    def answered(self, host_id: HostId, now: Instant) -> None:
        """Take an answer to a ping; its news has revived the member if need be."""
        known = self.known.get(host_id)
        if known is not None and known.member.health is Health.SUSPECT:
            self.set_health(known, Health.ALIVE, now)

    def unanswered(self, host_id: HostId, now: Instant) -> None:
        """Take the silence of a pinged member."""
        known = self.known.get(host_id)
        if known is not None and known.member.health is Health.ALIVE:
            self.set_health(known, Health.SUSPECT, now)

    def tick(self, now: Instant) -> None:
        """Let suspicion become death, and forget the long dead."""
        for host_id, known in list(self.known.items()):
            age = now - known.since
            health = known.member.health
            if health is Health.SUSPECT and age >= self.policy.suspect_for:
                self.set_health(known, Health.DEAD, now)
            elif health >= Health.LEAVING and age >= self.policy.forget_after:
                del self.known[host_id]

    def set_health(self, known: Known, health: Health, now: Instant) -> None:
        """See a member otherwise from now on."""
        known.member = replace(known.member, health=health)
        known.since = now
        known.told = 0

    def leave(self) -> None:
        """Tell, from now on, that this host is leaving."""
        self.me = replace(self.me, health=Health.LEAVING)

    def live(self) -> tuple[Member, ...]:
        """Return the members to count on, this host included unless it leaves."""
        alive = [
            k.member for k in self.known.values() if k.member.health <= Health.SUSPECT
        ]
        if self.me.health is Health.ALIVE:
            alive.append(self.me)
        return tuple(sorted(alive, key=lambda m: m.host_id))
