"""Which host may give orders to the engines of a data centre.

The hosts of a data centre lend one of them the right to order, for a short time and by
majority. Two majorities meet, so at most one host holds the right. A voter forgets its
vote when it restarts, so it does not vote until every vote it may have given has run
out. All times are read from clocks that count suspension: a host that was frozen finds
its lease expired before it does anything with it.

Engines that do not check fencing tokens must not hear two hosts within `quiet` of one
another, so a new holder waits until the last order of the one before is that old.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .names import HostId

NOBODY = HostId("")
TOKENS_PER_REVISION = 256
"""Room for successions between two changes of the store's revision."""


@dataclass(frozen=True, slots=True)
class OrderPolicy:
    """The times of the lease.

    Parameters
    ----------
    lease : timedelta
        How long a vote lasts at the voter, from when it was given. Short, since nobody
        orders while a dead holder's votes run out; several renewals long, since a lost
        renewal must not end it.
    margin : timedelta
        How much earlier a holder stops than its votes run out: what an order may spend
        on its way, and what clocks may drift in a lease.
    quiet : timedelta
        How old the last order of another host must be; from the deployment.
    remember : timedelta
        How long a silent host counts among the voters. Longer than any cut that must
        be survived safely, since a cut-off host looks like a dead one.
    """

    lease: timedelta = timedelta(seconds=1.0)
    margin: timedelta = timedelta(seconds=0.15)
    quiet: timedelta = timedelta(seconds=3.1)
    remember: timedelta = timedelta(seconds=30)


@dataclass(frozen=True, slots=True)
class Ballot:
    """Asks for a vote, or for a vote to be renewed."""

    candidate: HostId
    data_centre: str
    token: int


@dataclass(frozen=True, slots=True)
class Vote:
    """The answer to a ballot.

    Parameters
    ----------
    highest_token : int
        The highest token of any other holder that this voter knows of.
    quiet_s : float
        How long ago, at least, another holder that this voter knows of may have given
        its last order; infinite if there was none.
    """

    granted: bool
    holder: HostId
    highest_token: int
    quiet_s: float


@dataclass(frozen=True, slots=True)
class Resign:
    """Tells voters that a holder stops, and how old its last order is."""

    holder: HostId
    data_centre: str
    last_order_age_s: float


@dataclass(slots=True)
class Voter:
    """One host's vote.

    Parameters
    ----------
    knows_tokens : bool
        Whether tokens that were given before this host started are bounded yet. It does
        not vote before: it may have voted for one of them and forgotten it.
    """

    policy: OrderPolicy
    abstains_until: Instant
    knows_tokens: bool
    holder: HostId = NOBODY
    until: Instant = ZERO
    highest_token: int = 0
    highest_by: HostId = NOBODY
    previous: HostId = NOBODY
    previous_quiet_since: Instant | None = None

    def __post_init__(self) -> None:
        """Count a holder that may be forgotten as ordering while votes for it last."""
        if not self.knows_tokens:
            self.previous_quiet_since = self.abstains_until

    def vote(self, ballot: Ballot, now: Instant) -> Vote:
        """Give the vote, unless another host holds it or may hold it."""
        is_free = now >= self.until or self.holder == ballot.candidate
        granted = is_free and self.knows_tokens and now >= self.abstains_until
        if granted:
            if self.holder != ballot.candidate:
                self.note_previous()
                self.holder = ballot.candidate
            self.until = now + self.policy.lease
        others = self.highest_of_others(ballot)
        if granted and ballot.token > self.highest_token:
            self.highest_token = ballot.token
            self.highest_by = ballot.candidate
        return Vote(granted, self.holder, others, self.quiet_s(now, ballot))

    def highest_of_others(self, ballot: Ballot) -> int:
        """Return the highest token that may be another holder's."""
        is_own = self.highest_by == ballot.candidate
        if is_own and self.highest_token == ballot.token:
            return ballot.token - 1
        return self.highest_token

    def learn_revision(self, revision: int) -> None:
        """Take a revision of the store that this host has seen since it started.

        Tokens grow from the revision that voters saw when they started. Each order
        changes what its engine publishes, so revisions outgrow tokens, and this bounds
        all tokens under which an order was given and that the voter may have forgotten.
        """
        if self.knows_tokens:
            return
        self.knows_tokens = True
        bound = (revision + 1) * TOKENS_PER_REVISION
        self.highest_token = max(self.highest_token, bound)

    def note_previous(self) -> None:
        """Remember a holder whose vote ran out: it may have ordered until then."""
        if self.holder:
            self.previous = self.holder
            self.previous_quiet_since = self.until

    def quiet_s(self, now: Instant, ballot: Ballot) -> float:
        """Return for how long another holder was quiet, in seconds."""
        since = self.previous_quiet_since
        if since is None or self.previous == ballot.candidate != NOBODY:
            return float("inf")
        return max(0.0, (now - since).total_seconds())

    def is_promised(self, me: HostId, now: Instant) -> bool:
        """Return whether the vote is given to another host than the voter's own."""
        return self.holder not in (NOBODY, me) and now < self.until

    def withdraw(self, me: HostId, now: Instant) -> None:
        """Take back the vote that a host gave itself without winning."""
        if self.holder == me:
            self.holder = NOBODY
            self.until = now

    def resign(self, message: Resign, now: Instant) -> None:
        """Take the vote back from a holder that stops."""
        if self.holder != message.holder:
            return
        self.previous = self.holder
        self.previous_quiet_since = now - seconds(message.last_order_age_s)
        self.holder = NOBODY
        self.until = now


@dataclass(slots=True)
class Candidate:
    """One host's claim to order the engines of its data centre."""

    me: HostId
    policy: OrderPolicy
    voters: frozenset[HostId] = frozenset()
    votes: dict[HostId, Instant] = field(default_factory=dict)
    token: int = 0
    highest_seen: int = 0
    may_order_from: Instant = ZERO
    last_order_at: Instant | None = None
    is_holder: bool = False

    def set_voters(self, voters: Iterable[HostId]) -> None:
        """Take the hosts of the data centre; those that are gone vote no more."""
        self.voters = frozenset(voters) | {self.me}

    @property
    def quorum(self) -> int:
        """Return how many votes make a majority."""
        return len(self.voters) // 2 + 1

    def ballot(self, data_centre: str) -> Ballot:
        """Return what to ask voters, with a token above all that are known."""
        if not self.is_holder:
            self.token = self.highest_seen + 1
        return Ballot(self.me, data_centre, self.token)

    def take(self, voter: HostId, vote: Vote, asked_at: Instant, now: Instant) -> None:
        """Take one voter's answer to a ballot sent at `asked_at`."""
        self.highest_seen = max(self.highest_seen, vote.highest_token)
        if not vote.granted or voter not in self.voters:
            self.votes.pop(voter, None)
            return
        self.votes[voter] = asked_at + self.policy.lease - self.policy.margin
        if vote.quiet_s < self.policy.quiet.total_seconds():
            wait = self.policy.quiet - seconds(vote.quiet_s)
            self.may_order_from = max(self.may_order_from, now + wait)
        self.refresh(now)

    def valid_votes(self, now: Instant) -> int:
        """Return the votes that have not run out."""
        return sum(
            1 for v, until in self.votes.items() if v in self.voters and now < until
        )

    def refresh(self, now: Instant) -> None:
        """Become the holder, or stop being it."""
        has_majority = self.valid_votes(now) >= self.quorum
        # A token that voters know a higher one of is asked for once more, higher.
        is_highest = self.highest_seen < self.token
        if has_majority and is_highest and not self.is_holder:
            self.is_holder = True
        elif not has_majority and self.is_holder:
            self.is_holder = False
            self.highest_seen = max(self.highest_seen, self.token)

    def must_ask_higher(self, now: Instant) -> bool:
        """Return whether only a higher token is missing to hold the lease."""
        return not self.is_holder and self.valid_votes(now) >= self.quorum

    def may_order(self, now: Instant) -> bool:
        """Return whether an order may be sent at this very moment."""
        self.refresh(now)
        return self.is_holder and now >= self.may_order_from

    def ordered(self, now: Instant) -> None:
        """Note that an order was sent."""
        self.last_order_at = now

    def raise_token(self) -> None:
        """Take a higher token after an engine refused the one held as too old."""
        self.token += TOKENS_PER_REVISION

    def resign(self, data_centre: str, now: Instant) -> Resign | None:
        """Stop being the holder, for good."""
        if not self.is_holder:
            return None
        self.is_holder = False
        self.votes.clear()
        last = self.last_order_at
        age_s = (now - last).total_seconds() if last is not None else 3600.0
        return Resign(self.me, data_centre, age_s)
