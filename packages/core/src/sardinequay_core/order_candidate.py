"""A host's claim to the right to order engines: who has voted for it, and how long.

The other half of `order_lease`: what a candidate makes of the votes that it gets.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .names import HostId
from .order_lease import TOKENS_PER_MOMENT, Ballot, OrderPolicy, Resign, Vote


@dataclass(slots=True)
class Candidate:
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

    me: HostId
    policy: OrderPolicy
    voters: frozenset[HostId] = frozenset()
    votes: dict[HostId, Instant] = field(default_factory=dict)
    token: int = 0
    highest_seen: int = 0
    may_order_from: Instant = ZERO
    last_order_at: Instant | None = None
    is_holder: bool = False
    is_returning: bool = False
    held_since: Instant | None = None
    granted_at: dict[HostId, Instant] = field(default_factory=dict)
    excused: dict[HostId, Instant] = field(default_factory=dict)

    def set_voters(self, voters: Iterable[HostId]) -> None:
        """Take the hosts of the data centre; those that are gone vote no more."""
        self.voters = frozenset(voters) | {self.me}

    def quorum(self, now: Instant) -> int:
        """Return how many votes make a majority."""
        counted = [v for v in self.voters if now >= self.excused.get(v, ZERO)]
        return len(counted) // 2 + 1

    def ballot(self, data_centre: str, is_return: bool = False) -> Ballot:
        """Return what to ask voters, with a token above all that are known."""
        if not self.is_holder:
            self.token = self.highest_seen + 1
            self.is_returning = is_return
            if is_return:
                self.votes.clear()
        return Ballot(self.me, data_centre, self.token, is_return, self.is_holder)

    def take(self, voter: HostId, vote: Vote, asked_at: Instant, now: Instant) -> None:
        """Take one voter's answer to a ballot sent at `asked_at`."""
        self.refresh(now)
        self.highest_seen = max(self.highest_seen, vote.highest_token)
        if not vote.granted:
            self.votes.pop(voter, None)
            self.excuse(voter, vote, asked_at, now)
            self.refresh(now)
            return
        self.granted_at[voter] = asked_at
        if vote.is_leaving:
            self.votes.pop(voter, None)
            self.excused[voter] = asked_at + self.policy.lease
            self.refresh(now)
            return
        self.excused.pop(voter, None)
        self.votes[voter] = asked_at + self.policy.lease - self.policy.margin
        # While this host has held the lease nobody else has ordered. Voters that
        # restarted since cannot know that: heeded, each restart stopped orders for 3 s.
        since = self.held_since
        is_renewal = since is not None and asked_at >= since
        if not is_renewal and vote.quiet_s < self.policy.quiet.total_seconds():
            wait = self.policy.quiet - seconds(vote.quiet_s)
            self.may_order_from = max(self.may_order_from, now + wait)
        self.refresh(now)

    def excuse(
        self, voter: HostId, vote: Vote, asked_at: Instant, now: Instant
    ) -> None:
        """Do not count a voter that restarted while its vote was this holder's."""
        if voter == self.me:
            self.excuse_self(vote, asked_at)
        granted_at = self.granted_at.get(voter)
        if not self.is_holder or granted_at is None:
            return
        started_by = now - seconds(vote.up_s)
        if vote.abstains_s > 0 and started_by <= granted_at + self.policy.lease:
            self.excused[voter] = asked_at + seconds(vote.abstains_s)

    def valid_votes(self, now: Instant) -> int:
        """Return the votes that have not run out."""
        return sum(
            1 for v, until in self.votes.items() if v in self.voters and now < until
        )

    def excuse_self(self, vote: Vote, asked_at: Instant) -> None:
        """Do without the own vote, which this host forgot, if it returns as the holder.

        The votes that it had are proof that it was, and that nobody has been since: a
        majority of the others suffices, as whoever else had its vote lacks as many of
        theirs. Without that proof, its vote is what keeps it quiet after others.
        """
        self.excused.pop(self.me, None)
        if self.is_returning and vote.abstains_s > 0:
            self.excused[self.me] = asked_at + seconds(vote.abstains_s)

    def refresh(self, now: Instant) -> None:
        """Become the holder, or stop being it."""
        has_majority = self.valid_votes(now) >= self.quorum(now)
        # A token that voters know a higher one of is asked for once more, higher.
        is_highest = self.highest_seen < self.token
        if has_majority and is_highest and not self.is_holder:
            self.is_holder = True
            self.held_since = now
        elif not has_majority and self.is_holder:
            self.lose()
            self.highest_seen = max(self.highest_seen, self.token)

    def lose(self) -> None:
        """Hold the lease no more."""
        self.is_holder = False
        self.held_since = None
        self.granted_at.clear()
        self.excused.clear()

    def must_ask_higher(self, now: Instant) -> bool:
        """Return whether only a higher token is missing to hold the lease."""
        return not self.is_holder and self.valid_votes(now) >= self.quorum(now)

    def may_order(self, now: Instant) -> bool:
        """Return whether an order may be sent at this very moment."""
        self.refresh(now)
        return self.is_holder and now >= self.may_order_from

    def ordered(self, now: Instant) -> None:
        """Note that an order was sent."""
        self.last_order_at = now

    def raise_token(self) -> None:
        """Take a higher token after an engine refused the one held as too old."""
        self.token += TOKENS_PER_MOMENT

    def resign(self, data_centre: str, now: Instant) -> Resign | None:
        """Stop being the holder, for good."""
        if not self.is_holder:
            return None
        self.lose()
        self.votes.clear()
        last = self.last_order_at
        age_s = (now - last).total_seconds() if last is not None else None
        return Resign(self.me, data_centre, age_s)
