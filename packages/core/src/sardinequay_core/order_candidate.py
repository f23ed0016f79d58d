"""A host's claim to the right to order engines: who has voted for it, and how long.

The other half of `order_lease`: what a candidate makes of the votes that it gets.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .names import HostId
from .order_lease import TOKENS_PER_TICK, Ballot, OrderPolicy, Resign, Vote


@dataclass(slots=True)
class OrderCandidate:
    """One host's claim to order the engines of its data centre.

    Parameters
    ----------
    held_since : timedelta or None
        Since when it has held the lease without a gap.
    granted_at : dict
        When each voter was last asked that gave its vote, while the lease is held.
    excused : dict
        Until when voters are not counted that stop, or restarted, while they were bound
        to this holder. They vote for nobody else before then, so nobody else gains by
        it. Counted, restarts of three hosts of four, half a second apart, cost the
        holder its lease, and its data centre 6 s without orders.
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

    def set_voters(self, voters: Iterable[HostId]) -> None:
        """Take the hosts of the data centre; those that are gone vote no more."""
        self.voters = frozenset(voters) | {self.own_host_id}

    def quorum(self, now: Instant) -> int:
        """Return how many votes make a majority."""
        counted = [v for v in self.voters if now >= self.uncounted_until.get(v, ZERO)]
        return len(counted) // 2 + 1

    def build_ballot(self, data_centre: str, is_return: bool = False) -> Ballot:
        """Return what to ask voters, with a token above all that are known."""
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
        """Take one voter's answer to a ballot sent at `asked_at`."""
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
        # While this host has held the lease nobody else has ordered. Voters that
        # restarted since cannot know that: heeded, each restart stopped orders for 3 s.
        since = self.held_since
        is_renewal = since is not None and asked_at >= since
        if not is_renewal and vote.quiet_s < self.policy.quiet_period.total_seconds():
            wait = self.policy.quiet_period - seconds(vote.quiet_s)
            self.may_order_from = max(self.may_order_from, now + wait)
        self.update_holder(now)

    def stop_counting_if_restarted(
        self, voter: HostId, vote: Vote, asked_at: Instant, now: Instant
    ) -> None:
        """Do not count a voter that restarted while its vote was this holder's."""
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
        """Return the votes that have not run out."""
        return sum(
            1 for v, until in self.votes.items() if v in self.voters and now < until
        )

    def stop_counting_self(self, vote: Vote, asked_at: Instant) -> None:
        """Do without the own vote, which this host forgot, if it returns as the holder.

        The votes that it had are proof that it was, and that nobody has been since: a
        majority of the others suffices, as whoever else had its vote lacks as many of
        theirs. Without that proof, its vote is what keeps it quiet after others.
        """
        self.uncounted_until.pop(self.own_host_id, None)
        if self.is_returning and vote.abstains_s > 0:
            self.uncounted_until[self.own_host_id] = asked_at + seconds(vote.abstains_s)

    def update_holder(self, now: Instant) -> None:
        """Become the holder, or stop being it."""
        has_majority = self.count_valid_votes(now) >= self.quorum(now)
        # A token that voters know a higher one of is asked for once more, higher.
        is_highest = self.highest_seen_token < self.token
        if has_majority and is_highest and not self.is_holder:
            self.is_holder = True
            self.held_since = now
        elif not has_majority and self.is_holder:
            self.drop_lease()
            self.highest_seen_token = max(self.highest_seen_token, self.token)

    def drop_lease(self) -> None:
        """Hold the lease no more."""
        self.is_holder = False
        self.held_since = None
        self.granted_at.clear()
        self.uncounted_until.clear()

    def needs_higher_token(self, now: Instant) -> bool:
        """Return whether only a higher token is missing to hold the lease."""
        return not self.is_holder and self.count_valid_votes(now) >= self.quorum(now)

    def can_order(self, now: Instant) -> bool:
        """Return whether an order may be sent at this very moment."""
        self.update_holder(now)
        return self.is_holder and now >= self.may_order_from

    def record_order(self, now: Instant) -> None:
        """Note that an order was sent."""
        self.last_order_at = now

    def raise_refused_token(self) -> None:
        """Take a higher token after an engine refused the one held as too old."""
        self.token += TOKENS_PER_TICK

    def resign_lease(self, data_centre: str, now: Instant) -> Resign | None:
        """Stop being the holder, for good."""
        if not self.is_holder:
            return None
        self.drop_lease()
        self.votes.clear()
        last = self.last_order_at
        age_s = (now - last).total_seconds() if last is not None else None
        return Resign(self.own_host_id, data_centre, age_s)
