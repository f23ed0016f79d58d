"""Candidate side of the order lease: counting votes and holding the lease.

`order_lease` contains the voter side and the messages. A majority is safe only if no
other host finds one among voters that this host left out. Three kinds of voters are:

- Voters that stated until when they vote for no other host (`uncounted_until`).
- Departed ones, which announced that they leave. Such a host may be back at any time
  and vote for another, so it is left out only while this host is in contact with others
  of the fleet, who would tell of its return.
- Forgotten ones, which have been silent for too long. Nothing tells of these, so a
  majority that they could overturn is in doubt. The only witnesses left are the
  engines: they count the orders that they accept (`order_counts`).
"""

from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .names import HostId
from .order_lease import TOKENS_PER_TICK, Ballot, OrderPolicy, Resign, Vote


@dataclass(frozen=True, slots=True)
class Voters:
    """The voters of a data centre, as one host knows them.

    Parameters
    ----------
    known : frozenset
        Hosts that were heard or told of, and didn't announce their leave.
    departed : frozenset
        Hosts that announced their leave more than a lease ago and aren't back.
    forgotten : frozenset
        Hosts that count no more, because they were silent for too long.
    is_taken_for_alone : bool
        Whether no host has answered this one since its start.
    """

    known: frozenset[HostId] = frozenset()
    departed: frozenset[HostId] = frozenset()
    forgotten: frozenset[HostId] = frozenset()
    is_taken_for_alone: bool = False

    @property
    def may_lack_tokens(self) -> bool:
        """Return whether absent hosts alone may know of the highest token."""
        return self.is_taken_for_alone or bool(self.forgotten or self.departed)


def majority_of(hosts: frozenset[HostId]) -> int:
    """Return how many votes are a majority of these hosts'."""
    return len(hosts) // 2 + 1


@dataclass(slots=True)
class OrderCandidate:
    """The state of one host as a candidate for its data centre's order lease.

    Parameters
    ----------
    held_since : timedelta or None
        Start of the uninterrupted time for which this host has held the lease.
    granted_at : dict
        When each voter that granted its vote was last asked, while the lease is held.
    uncounted_until : dict
        Until when voters are not counted that shut down or restarted while their vote
        was given to this holder. They vote for no other host before then, so no other
        candidate gains by it. When they were counted, restarts of three of four hosts,
        half a second apart, cost the holder its lease, and the data centre had no
        orders for 6 s.
    voters : frozenset
        All that may count, departed ones included.
    departed, forgotten, is_taken_for_alone
        See `Voters`.
    contact_since, last_contact_at : timedelta
        Start and end of the time for which hosts that do not leave were heard without
        a pause; None if none was.
    others_quiet_since : timedelta or None
        Since when the watched engines have counted this host's orders alone; None
        while they are not watched.
    """

    own_host_id: HostId
    policy: OrderPolicy
    voters: frozenset[HostId] = frozenset()
    votes: dict[HostId, Instant] = field(default_factory=dict)
    token: int = 0
    highest_seen_token: int = 0
    may_order_from: Instant = ZERO
    last_order_at: Instant | None = None
    is_holder: bool = False
    is_returning: bool = False
    held_since: Instant | None = None
    granted_at: dict[HostId, Instant] = field(default_factory=dict)
    uncounted_until: dict[HostId, Instant] = field(default_factory=dict)
    departed: frozenset[HostId] = frozenset()
    forgotten: frozenset[HostId] = frozenset()
    is_taken_for_alone: bool = False
    contact_since: Instant | None = None
    last_contact_at: Instant = ZERO
    others_quiet_since: Instant | None = None

    def set_voters(self, voters: Voters) -> None:
        """Set the hosts of the data centre; votes of removed hosts no longer count."""
        self.voters = voters.known | voters.departed | {self.own_host_id}
        self.departed = voters.departed
        self.forgotten = voters.forgotten - self.voters
        self.is_taken_for_alone = voters.is_taken_for_alone

    def record_contact(self, told_at: Instant) -> None:
        """Record what a host which isn't leaving told at `told_at`."""
        if self.contact_since is None or told_at >= self.contact_until:
            self.contact_since = told_at
        self.last_contact_at = max(self.last_contact_at, told_at)

    @property
    def contact_until(self) -> Instant:
        """Return until when this host counts as in contact with others."""
        policy = self.policy
        return self.last_contact_at + policy.lease_duration - policy.safety_margin

    def is_in_contact(self, now: Instant) -> bool:
        """Return whether others would by now have told of a voter's return.

        After a pause, contact has to last for a lease first: the first host that is
        heard again may know as little as this one.
        """
        since = self.contact_since
        return (
            since is not None
            and now >= since + self.policy.lease_duration
            and now < self.contact_until
        )

    def voters_not_left_out(self, now: Instant) -> frozenset[HostId]:
        """Return the voters without departed ones of whose return others would tell."""
        return self.voters - self.departed if self.is_in_contact(now) else self.voters

    def counted_voters(self, now: Instant) -> frozenset[HostId]:
        """Return the voters that a majority is counted of."""
        return self.without_bound_hosts(self.voters_not_left_out(now), now)

    def without_bound_hosts(
        self, hosts: frozenset[HostId], now: Instant
    ) -> frozenset[HostId]:
        """Return hosts without those that are known to vote for no other host."""
        return frozenset(h for h in hosts if now >= self.uncounted_until.get(h, ZERO))

    def quorum(self, now: Instant) -> int:
        """Return the number of votes that is a majority of the counted voters."""
        return majority_of(self.counted_voters(now))

    def is_in_doubt(self, now: Instant) -> bool:
        """Return whether forgotten voters could have elected another holder."""
        if self.is_taken_for_alone:
            return True
        hosts = self.without_bound_hosts(self.counted_voters(now) | self.forgotten, now)
        return self.count_valid_votes(now) < majority_of(hosts)

    def leaves_out_voters(self, now: Instant) -> bool:
        """Return whether voters are left out that may vote for another host."""
        if self.is_taken_for_alone:
            return True
        hosts = self.without_bound_hosts(self.voters | self.forgotten, now)
        return self.count_valid_votes(now) < majority_of(hosts)

    def should_watch_engines(self, now: Instant) -> bool:
        """Return whether orders of other hosts would keep this one from ordering."""
        is_waiting = not self.is_holder or now < self.may_order_from
        return is_waiting or self.leaves_out_voters(now)

    def record_orders_watched(self, is_foreign: bool, now: Instant) -> None:
        """Record whether engines counted orders that this host didn't send.

        A holder that already orders by a majority of all voters goes on.
        """
        if is_foreign and self.should_watch_engines(now):
            self.others_quiet_since = now
            earliest = now + self.policy.quiet_period
            self.may_order_from = max(self.may_order_from, earliest)
        elif self.others_quiet_since is None:
            self.others_quiet_since = now

    def record_watch_ended(self) -> None:
        """Record that engines are no longer watched, so that nothing is known."""
        self.others_quiet_since = None

    def build_ballot(self, data_centre: str, is_return: bool = False) -> Ballot:
        """Return the ballot to send to voters, with a token above all known ones."""
        if not self.is_holder:
            self.token = self.highest_seen_token + 1
            self.is_returning = is_return
            if is_return:
                self.votes.clear()
        return Ballot(
            self.own_host_id, data_centre, self.token, is_return, self.is_holder
        )

    def record_vote(
        self, voter: HostId, vote: Vote, asked_at: Instant, now: Instant
    ) -> None:
        """Record a voter's answer to a ballot that was sent at `asked_at`."""
        self.update_holder(now)
        self.highest_seen_token = max(self.highest_seen_token, vote.highest_token)
        if not vote.granted:
            self.votes.pop(voter, None)
            self.stop_counting_if_restarted(voter, vote, asked_at, now)
            self.update_holder(now)
            return
        self.granted_at[voter] = asked_at
        if vote.is_leaving:
            self.votes.pop(voter, None)
            self.uncounted_until[voter] = asked_at + self.policy.lease_duration
            self.update_holder(now)
            return
        self.uncounted_until.pop(voter, None)
        self.votes[voter] = (
            asked_at + self.policy.lease_duration - self.policy.safety_margin
        )
        # While this host has held the lease, no other host has sent orders. Voters that
        # restarted since then cannot know that; when their quiet time was used, each
        # restart of a voter stopped orders for 3 s.
        held_since = self.held_since
        is_renewal = held_since is not None and asked_at >= held_since
        if not is_renewal and vote.quiet_s < self.policy.quiet_period.total_seconds():
            wait = self.policy.quiet_period - seconds(vote.quiet_s)
            self.may_order_from = max(self.may_order_from, now + wait)
        self.update_holder(now)

    def stop_counting_if_restarted(
        self, voter: HostId, vote: Vote, asked_at: Instant, now: Instant
    ) -> None:
        """Stop counting a voter that restarted while this holder had its vote."""
        if voter == self.own_host_id:
            self.stop_counting_self(vote, asked_at)
        granted_at = self.granted_at.get(voter)
        if not self.is_holder or granted_at is None:
            return
        started_by = now - seconds(vote.up_s)
        if (
            vote.abstains_s > 0
            and started_by <= granted_at + self.policy.lease_duration
        ):
            self.uncounted_until[voter] = asked_at + seconds(vote.abstains_s)

    def count_valid_votes(self, now: Instant) -> int:
        """Return the number of current voters' votes that have not expired."""
        counted = self.voters_not_left_out(now)
        return sum(1 for v, until in self.votes.items() if v in counted and now < until)

    def stop_counting_self(self, vote: Vote, asked_at: Instant) -> None:
        """Stop counting this host's own lost vote if it returns as the holder.

        The votes that it still has from others prove that it was the holder and that no
        other host has been since. A majority of the others suffices, because another
        host that had this host's vote would lack as many of theirs. Without that proof,
        the own vote is needed to enforce the quiet period after other holders.
        """
        self.uncounted_until.pop(self.own_host_id, None)
        if self.is_returning and vote.abstains_s > 0:
            self.uncounted_until[self.own_host_id] = asked_at + seconds(vote.abstains_s)

    def update_holder(self, now: Instant) -> None:
        """Become the holder on a majority of votes, or drop the lease without one."""
        has_majority = self.count_valid_votes(now) >= self.quorum(now)
        # If a voter knows a higher token, a ballot with a higher one is needed first.
        is_highest = self.highest_seen_token < self.token
        if has_majority and is_highest and not self.is_holder:
            self.is_holder = True
            self.held_since = now
            if self.is_in_doubt(now):
                quiet_since = self.others_quiet_since or now
                earliest = quiet_since + self.policy.quiet_period
                self.may_order_from = max(self.may_order_from, earliest)
        elif not has_majority and self.is_holder:
            self.drop_lease()
            self.highest_seen_token = max(self.highest_seen_token, self.token)

    def drop_lease(self) -> None:
        """Drop the lease and the state that applies only while it is held."""
        self.is_holder = False
        self.held_since = None
        self.granted_at.clear()
        self.uncounted_until.clear()

    def needs_higher_token(self, now: Instant) -> bool:
        """Return whether there is a majority and only the token is too low."""
        return not self.is_holder and self.count_valid_votes(now) >= self.quorum(now)

    def can_order(self, now: Instant) -> bool:
        """Return whether an order may be sent at `now`."""
        self.update_holder(now)
        return self.is_holder and now >= self.may_order_from

    def record_order(self, now: Instant) -> None:
        """Record that an order was sent."""
        self.last_order_at = now

    def raise_token_above(self, bound: int) -> None:
        """Use only tokens above a bound on those of other holders."""
        self.highest_seen_token = max(self.highest_seen_token, bound)
        if self.is_holder:
            self.token = max(self.token, self.highest_seen_token + 1)

    def raise_refused_token(self) -> None:
        """Raise the token after an engine rejected the current one as outdated."""
        self.token += TOKENS_PER_TICK

    def resign_lease(self, data_centre: str, now: Instant) -> Resign | None:
        """Give up the lease; return the message to voters if it was held."""
        if not self.is_holder:
            return None
        self.drop_lease()
        self.highest_seen_token = max(self.highest_seen_token, self.token)
        self.votes.clear()
        last_order_at = self.last_order_at
        age_s = (
            (now - last_order_at).total_seconds() if last_order_at is not None else None
        )
        return Resign(self.own_host_id, data_centre, age_s)
