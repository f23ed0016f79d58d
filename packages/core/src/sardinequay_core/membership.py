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

UPDATES_PER_MESSAGE = 6
UPDATE_REPEATS = 6
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

    ping_interval: timedelta = timedelta(seconds=0.5)
    suspicion_timeout: timedelta = timedelta(seconds=2)
    dead_retention: timedelta = timedelta(seconds=120)


@dataclass(slots=True)
class MemberRecord:
    """A member, since when it is seen so, and how often that was told."""

    member: Member
    since: Instant
    times_sent: int = 0


@dataclass(slots=True)
class Membership:
    """One host's view of its data centre."""

    self_member: Member
    policy: MembershipPolicy
    random: Shuffler
    records: dict[HostId, MemberRecord] = field(default_factory=dict)
    ping_queue: list[HostId] = field(default_factory=list)

    def add_listed(self, members: Iterable[Member], now: Instant) -> None:
        """Take hosts from the platform's list that were never heard of."""
        for member in members:
            if (
                member.host_id != self.self_member.host_id
                and member.host_id not in self.records
            ):
                self.records[member.host_id] = MemberRecord(member, now)

    def next_ping_target(self) -> Member | None:
        """Return whom to ping now: each known member once in a round, shuffled."""
        while True:
            if not self.ping_queue:
                self.ping_queue = sorted(
                    h for h, k in self.records.items() if k.member.health < Health.DEAD
                )
                self.random.shuffle(self.ping_queue)
            if not self.ping_queue:
                return None
            known = self.records.get(self.ping_queue.pop())
            if known is not None and known.member.health < Health.DEAD:
                return known.member

    def updates_to_send(self) -> tuple[Member, ...]:
        """Return what to tell with a message: oneself, and the least told news."""
        unsent = [k for k in self.records.values() if k.times_sent < UPDATE_REPEATS]
        unsent.sort(key=lambda k: (k.times_sent, k.member.host_id))
        chosen = unsent[:UPDATES_PER_MESSAGE]
        for known in chosen:
            known.times_sent += 1
        return (self.self_member, *(k.member for k in chosen))

    def handle_updates(self, updates: Iterable[Member], now: Instant) -> None:
        """Take news from a peer."""
        for member in updates:
            if member.host_id == self.self_member.host_id:
                self.refute_update(member)
            else:
                self.apply_update(member, now)

    def refute_update(self, member: Member) -> None:
        """Outbid news that this host is not what it is."""
        if member.overrides(self.self_member):
            self.self_member = replace(
                self.self_member, incarnation=member.incarnation + 1
            )

    def apply_update(self, member: Member, now: Instant) -> None:
        """Believe later news of a member."""
        known = self.records.get(member.host_id)
        if known is None or member.overrides(known.member):
            self.records[member.host_id] = MemberRecord(member, now)

    def record_ping_answer(self, host_id: HostId, now: Instant) -> None:
        """Take an answer to a ping; its news has revived the member if need be."""
        known = self.records.get(host_id)
        if known is not None and known.member.health is Health.SUSPECT:
            self.set_health(known, Health.ALIVE, now)

    def record_ping_timeout(self, host_id: HostId, now: Instant) -> None:
        """Take the silence of a pinged member."""
        known = self.records.get(host_id)
        if known is not None and known.member.health is Health.ALIVE:
            self.set_health(known, Health.SUSPECT, now)

    def expire_members(self, now: Instant) -> None:
        """Let suspicion become death, and forget the long dead."""
        for host_id, known in list(self.records.items()):
            age = now - known.since
            health = known.member.health
            if health is Health.SUSPECT and age >= self.policy.suspicion_timeout:
                self.set_health(known, Health.DEAD, now)
            elif health >= Health.LEAVING and age >= self.policy.dead_retention:
                del self.records[host_id]

    def set_health(self, known: MemberRecord, health: Health, now: Instant) -> None:
        """See a member otherwise from now on."""
        known.member = replace(known.member, health=health)
        known.since = now
        known.times_sent = 0

    def start_leaving(self) -> None:
        """Tell, from now on, that this host is leaving."""
        self.self_member = replace(self.self_member, health=Health.LEAVING)

    def live_members(self) -> tuple[Member, ...]:
        """Return the members to count on, this host included unless it leaves."""
        alive = [
            k.member for k in self.records.values() if k.member.health <= Health.SUSPECT
        ]
        if self.self_member.health is Health.ALIVE:
            alive.append(self.self_member)
        return tuple(sorted(alive, key=lambda m: m.host_id))
