"""SWIM membership of the entry hosts of one data centre, with constant cost per host.

Each host pings one peer per interval. Pings and their answers carry recent membership
updates. A peer that does not answer becomes suspected, then dead. A member that
receives an update in which it is suspected refutes it with a higher incarnation.

References
----------
A. Das, I. Gupta and A. Motivala, "SWIM: scalable weakly-consistent infection-style
process group membership protocol", DSN 2002. Indirect pings are omitted: a peer that
some hosts can reach refutes a suspicion through those hosts.
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
"""How often one update is sent; about log2 of the hosts in a data centre."""


class Shuffler(Protocol):
    """A source of randomness; the core has none of its own."""

    def shuffle(self, x: list[Any], /) -> None:
        """Shuffle a list in place."""


class Health(IntEnum):
    """A member's state; between updates of one incarnation the higher value wins."""

    ALIVE = 0
    SUSPECT = 1
    LEAVING = 2
    DEAD = 3


@dataclass(frozen=True, slots=True)
class Member:
    """One entry host and its state, as exchanged between peers."""

    host_id: HostId
    address: Address
    incarnation: int
    health: Health = Health.ALIVE

    def overrides(self, other: "Member") -> bool:
        """Return whether this update supersedes `other`."""
        return (self.incarnation, self.health) > (other.incarnation, other.health)


@dataclass(frozen=True, slots=True)
class MembershipPolicy:
    """The timing of pings, suspicions and removals.

    Parameters
    ----------
    ping_interval : timedelta
        Time between two pings by one host.
    suspicion_timeout : timedelta
        Time that a suspected member has to refute the suspicion before it is dead.
    dead_retention : timedelta
        How long dead and leaving members are remembered, so that old updates do not
        revive them.
    """

    ping_interval: timedelta = timedelta(seconds=0.5)
    suspicion_timeout: timedelta = timedelta(seconds=2)
    dead_retention: timedelta = timedelta(seconds=120)


@dataclass(slots=True)
class MemberRecord:
    """A member, the time of its last change, and how often that was sent to peers."""

    member: Member
    since: Instant
    times_sent: int = 0


@dataclass(slots=True)
class Membership:
    """One host's knowledge of the members of its data centre."""

    self_member: Member
    policy: MembershipPolicy
    random: Shuffler
    records: dict[HostId, MemberRecord] = field(default_factory=dict)
    ping_queue: list[HostId] = field(default_factory=list)

    def add_listed(self, members: Iterable[Member], now: Instant) -> None:
        """Add unknown hosts from the platform's list."""
        for member in members:
            if (
                member.host_id != self.self_member.host_id
                and member.host_id not in self.records
            ):
                self.records[member.host_id] = MemberRecord(member, now)

    def next_ping_target(self) -> Member | None:
        """Return the next member to ping.

        Each member is pinged once per round, in a random order.
        """
        while True:
            if not self.ping_queue:
                self.ping_queue = sorted(
                    h for h, k in self.records.items() if k.member.health < Health.DEAD
                )
                self.random.shuffle(self.ping_queue)
            if not self.ping_queue:
                return None
            record = self.records.get(self.ping_queue.pop())
            if record is not None and record.member.health < Health.DEAD:
                return record.member

    def updates_to_send(self) -> tuple[Member, ...]:
        """Return the updates for one message: this host and the least sent ones."""
        unsent = [k for k in self.records.values() if k.times_sent < UPDATE_REPEATS]
        unsent.sort(key=lambda k: (k.times_sent, k.member.host_id))
        chosen = unsent[:UPDATES_PER_MESSAGE]
        for record in chosen:
            record.times_sent += 1
        return (self.self_member, *(k.member for k in chosen))

    def handle_updates(self, updates: Iterable[Member], now: Instant) -> None:
        """Apply the updates that a peer sent."""
        for member in updates:
            if member.host_id == self.self_member.host_id:
                self.refute_update(member)
            else:
                self.apply_update(member, now)

    def refute_update(self, member: Member) -> None:
        """Refute an update about this host by a higher incarnation."""
        if member.overrides(self.self_member):
            self.self_member = replace(
                self.self_member, incarnation=member.incarnation + 1
            )

    def apply_update(self, member: Member, now: Instant) -> None:
        """Apply an update of another member if it supersedes the known state."""
        record = self.records.get(member.host_id)
        if record is None or member.overrides(record.member):
            self.records[member.host_id] = MemberRecord(member, now)

    def record_ping_answer(self, host_id: HostId, now: Instant) -> None:
        """Clear a suspicion after a ping answer, whose updates were applied already."""
        record = self.records.get(host_id)
        if record is not None and record.member.health is Health.SUSPECT:
            self.set_health(record, Health.ALIVE, now)

    def record_ping_timeout(self, host_id: HostId, now: Instant) -> None:
        """Suspect a member that did not answer a ping."""
        record = self.records.get(host_id)
        if record is not None and record.member.health is Health.ALIVE:
            self.set_health(record, Health.SUSPECT, now)

    def expire_members(self, now: Instant) -> None:
        """Mark members dead whose suspicion timed out, and remove old records."""
        for host_id, record in list(self.records.items()):
            age = now - record.since
            health = record.member.health
            if health is Health.SUSPECT and age >= self.policy.suspicion_timeout:
                self.set_health(record, Health.DEAD, now)
            elif health >= Health.LEAVING and age >= self.policy.dead_retention:
                del self.records[host_id]

    def set_health(self, record: MemberRecord, health: Health, now: Instant) -> None:
        """Change a member's state and send it to peers again."""
        record.member = replace(record.member, health=health)
        record.since = now
        record.times_sent = 0

    def start_leaving(self) -> None:
        """Announce in all further messages that this host is leaving."""
        self.self_member = replace(self.self_member, health=Health.LEAVING)

    def live_members(self) -> tuple[Member, ...]:
        """Return alive and suspected members, with this host unless it is leaving."""
        alive = [
            k.member for k in self.records.values() if k.member.health <= Health.SUSPECT
        ]
        if self.self_member.health is Health.ALIVE:
            alive.append(self.self_member)
        return tuple(sorted(alive, key=lambda m: m.host_id))
