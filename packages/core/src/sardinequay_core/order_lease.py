"""Which host may give orders to the engines of a data centre.

The hosts of a data centre lend one of them the right to order, for a short time and by
majority. Two majorities meet, so at most one host holds the right. A voter forgets its
vote when it restarts, so it does not vote until every vote it may have given has run
out. All times are read from clocks that count suspension: a host that was frozen finds
its lease expired before it does anything with it.

Engines that do not check fencing tokens must not hear two hosts within `quiet` of one
another, so a new holder waits until the last order of the one before is that old.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, seconds
from .names import HostId

NO_HOST = HostId("")
TOKENS_PER_TICK = 16
"""Room for successions within a tenth of a second; each takes longer than a lease."""

TICKS_PER_S = 10
TICKS_PER_REVISION = 1 << 28
"""Room for ten months of moments at one revision, so that tokens of a later one are
higher whatever clocks say. Tokens fit in 64 bits for two billion revisions."""


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
    waits : timedelta
        How long a voter, once it may vote again, waits for the holder that asked it
        before: more than the time between two renewals, so that the holder lacks no
        vote between them.
    returns : timedelta
        How long voters keep their votes for a holder that has stopped: a process that
        is restarted is back after about half of it, and a successor has to be quiet
        longer.
    """

    lease_duration: timedelta = timedelta(seconds=1.0)
    safety_margin: timedelta = timedelta(seconds=0.15)
    quiet_period: timedelta = timedelta(seconds=3.1)
    member_retention: timedelta = timedelta(seconds=30)
    former_holder_wait: timedelta = timedelta(seconds=0.5)
    restart_grace: timedelta = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class Ballot:
    """Asks for a vote, or for a vote to be renewed.

    Parameters
    ----------
    is_return : bool
        Whether the candidate has just started, and asks only for votes that it had as
        the holder and that have not run out since.
    is_holder : bool
        Whether the candidate holds the lease and asks for votes to be renewed.
    """

    candidate: HostId
    data_centre: str
    token: int
    is_return: bool = False
    is_holder: bool = False


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
    abstains_s : float
        For how long the voter still abstains since it restarted, in seconds.
    up_s : float
        How long ago the voter started, in seconds.
    is_leaving : bool
        Whether the voter stops, and votes for nobody else until then.
    """

    granted: bool
    holder: HostId
    highest_token: int
    quiet_s: float
    abstains_s: float = 0.0
    up_s: float = 0.0
    is_leaving: bool = False


@dataclass(frozen=True, slots=True)
class Resign:
    """Tells voters that a holder stops, and how old its last order is, if it gave any.

    Voters keep what they know of the holders before it, whose last orders count too.
    They keep their votes for it a while: if it is only restarted it goes on at once,
    where another host must wait until its orders are old. In rolls of hosts each change
    of the holder cost a data centre 3.1 s without orders.
    """

    holder: HostId
    data_centre: str
    last_order_age_s: float | None


def upper_token_bound(revision: int, wall_s: float) -> int:
    """Return a bound on tokens that were given until a revision and a time of day."""
    tick = int(wall_s * TICKS_PER_S) % TICKS_PER_REVISION
    return ((revision + 1) * TICKS_PER_REVISION + tick) * TOKENS_PER_TICK


@dataclass(slots=True)
class Voter:
    """One host's vote.

    Parameters
    ----------
    knows_tokens : bool
        Whether tokens that were given before this host started are bounded yet. It does
        not vote before: it may have voted for one of them and forgotten it.
    quiet_since : dict
        Since when each earlier holder has given no order; `NOBODY` stands for those
        that were forgotten.
    asked_by : HostId
        The holder that asked for the vote while this host abstained.
    was_held : bool
        Whether the host that has the vote held the lease when it last asked.
    has_stopped : bool
        Whether the holder has said that it stops, so that it gives no orders.
    is_leaving : bool
        Whether this host stops. It then renews the vote that it has given, and gives no
        other, so that its holder knows whom it was bound to at its end.
    """

    policy: OrderPolicy
    abstains_until: Instant
    are_old_tokens_bounded: bool
    holder: HostId = NO_HOST
    vote_until: Instant = ZERO
    highest_token: int = 0
    highest_token_holder: HostId = NO_HOST
    quiet_since: dict[HostId, Instant] = field(default_factory=dict)
    is_leaving: bool = False
    has_holder_stopped: bool = False
    renewing_holder: HostId = NO_HOST
    was_lease_held: bool = False

    def __post_init__(self) -> None:
        """Count a holder that may be forgotten as ordering while votes for it last."""
        if not self.are_old_tokens_bounded:
            self.quiet_since[NO_HOST] = self.abstains_until

    def handle_ballot(self, ballot: Ballot, now: Instant) -> Vote:
        """Give the vote, unless another host holds it or may hold it."""
        is_renewal = self.holder == ballot.candidate
        is_free = is_renewal or (now >= self.vote_until and not self.is_leaving)
        if ballot.is_return:
            is_free = is_renewal and now < self.vote_until and self.was_lease_held
        if ballot.is_holder and now < self.abstains_until and not self.renewing_holder:
            self.renewing_holder = ballot.candidate
        granted = (
            is_free and self.are_old_tokens_bounded and self.can_vote_for(ballot, now)
        )
        if granted:
            if self.holder != ballot.candidate:
                self.record_previous_holder()
                self.holder = ballot.candidate
                self.was_lease_held = False
            self.was_lease_held = self.was_lease_held or ballot.is_holder
            self.has_holder_stopped = False
            self.vote_until = now + self.policy.lease_duration
        others = self.highest_of_others(ballot)
        if granted and ballot.token > self.highest_token:
            self.highest_token = ballot.token
            self.highest_token_holder = ballot.candidate
        return Vote(
            granted,
            self.holder,
            others,
            self.quiet_s(now, ballot),
            max(0.0, (self.committed_until(ballot) - now).total_seconds()),
            (now - self.abstains_until + self.policy.lease_duration).total_seconds(),
            self.is_leaving,
        )

    def committed_until(self, ballot: Ballot) -> Instant:
        """Return until when nobody but the candidate can get this host's vote."""
        waits = self.renewing_holder == ballot.candidate != NO_HOST
        return self.abstains_until + (self.policy.former_holder_wait if waits else ZERO)

    def can_vote_for(self, ballot: Ballot, now: Instant) -> bool:
        """Return whether this host abstains no more, or not from this candidate."""
        if self.renewing_holder in (NO_HOST, ballot.candidate):
            return now >= self.abstains_until
        return now >= self.abstains_until + self.policy.former_holder_wait

    def highest_of_others(self, ballot: Ballot) -> int:
        """Return the highest token that may be another holder's."""
        is_own = self.highest_token_holder == ballot.candidate
        if is_own and self.highest_token == ballot.token:
            return ballot.token - 1
        return self.highest_token

    def record_revision(self, revision: int, wall_s: float) -> None:
        """Take a revision of the store that this host has seen since it started.

        Tokens grow from the revision and the time of day that voters saw when they
        started. Orders change what engines publish, so revisions rise, but only with
        the engines' next entries: two voters that forgot all, seconds apart, may see
        one revision. Then the time of day parts them. It may be seconds wrong; the
        second one's holder waits `quiet` and a lease, which is longer.

        Parameters
        ----------
        wall_s : float
            The time of day, in Unix seconds.
        """
        if self.are_old_tokens_bounded:
            return
        self.are_old_tokens_bounded = True
        self.highest_token = max(
            self.highest_token, upper_token_bound(revision, wall_s)
        )

    def record_previous_holder(self) -> None:
        """Remember a holder whose vote ran out: it may have ordered until then."""
        if self.holder and not self.has_holder_stopped:
            self.record_quiet_since(self.holder, self.vote_until)
        self.has_holder_stopped = False

    def record_quiet_since(self, holder: HostId, since: Instant) -> None:
        """Remember since when a holder has given no order."""
        self.quiet_since[holder] = max(since, self.quiet_since.get(holder, since))

    def quiet_s(self, now: Instant, ballot: Ballot) -> float:
        """Return for how long all other holders were quiet, in seconds."""
        others = [at for h, at in self.quiet_since.items() if h != ballot.candidate]
        if not others:
            return float("inf")
        return max(0.0, (now - max(others)).total_seconds())

    def is_vote_given_elsewhere(self, own_host: HostId, now: Instant) -> bool:
        """Return whether the vote is given to another host than the voter's own."""
        return self.holder not in (NO_HOST, own_host) and now < self.vote_until

    def withdraw_own_vote(
        self, own_host: HostId, last_order_at: Instant | None, now: Instant
    ) -> None:
        """Take back the vote that a host gave itself without winning.

        It may have held the lease until now, and nobody else may remember that.
        """
        if last_order_at is not None:
            self.record_quiet_since(own_host, last_order_at)
        if self.holder == own_host:
            self.holder = NO_HOST
            self.vote_until = now

    def handle_resign(self, message: Resign, now: Instant) -> None:
        """Keep the vote for a holder that stops only while it may come back."""
        if self.holder != message.holder:
            return
        if message.last_order_age_s is not None:
            self.record_quiet_since(
                self.holder, now - seconds(message.last_order_age_s)
            )
        self.vote_until = now + self.policy.restart_grace
        self.has_holder_stopped = True
