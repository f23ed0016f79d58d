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

NOBODY = HostId("")
TOKENS_PER_MOMENT = 16
"""Room for successions within a tenth of a second; each takes longer than a lease."""

MOMENTS_PER_S = 10
MOMENTS_PER_REVISION = 1 << 28
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

    lease: timedelta = timedelta(seconds=1.0)
    margin: timedelta = timedelta(seconds=0.15)
    quiet: timedelta = timedelta(seconds=3.1)
    remember: timedelta = timedelta(seconds=30)
    waits: timedelta = timedelta(seconds=0.5)
    returns: timedelta = timedelta(seconds=1.5)


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


def token_bound(revision: int, wall_s: float) -> int:
    """Return a bound on tokens that were given until a revision and a time of day."""
    moment = int(wall_s * MOMENTS_PER_S) % MOMENTS_PER_REVISION
    return ((revision + 1) * MOMENTS_PER_REVISION + moment) * TOKENS_PER_MOMENT


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
    knows_tokens: bool
    holder: HostId = NOBODY
    until: Instant = ZERO
    highest_token: int = 0
    highest_by: HostId = NOBODY
    quiet_since: dict[HostId, Instant] = field(default_factory=dict)
    is_leaving: bool = False
    has_stopped: bool = False
    asked_by: HostId = NOBODY
    was_held: bool = False

    def __post_init__(self) -> None:
        """Count a holder that may be forgotten as ordering while votes for it last."""
        if not self.knows_tokens:
            self.quiet_since[NOBODY] = self.abstains_until

    def vote(self, ballot: Ballot, now: Instant) -> Vote:
        """Give the vote, unless another host holds it or may hold it."""
        is_renewal = self.holder == ballot.candidate
        is_free = is_renewal or (now >= self.until and not self.is_leaving)
        if ballot.is_return:
            is_free = is_renewal and now < self.until and self.was_held
        if ballot.is_holder and now < self.abstains_until and not self.asked_by:
            self.asked_by = ballot.candidate
        granted = is_free and self.knows_tokens and self.may_vote_for(ballot, now)
        if granted:
            if self.holder != ballot.candidate:
                self.note_previous()
                self.holder = ballot.candidate
                self.was_held = False
            self.was_held = self.was_held or ballot.is_holder
            self.has_stopped = False
            self.until = now + self.policy.lease
        others = self.highest_of_others(ballot)
        if granted and ballot.token > self.highest_token:
            self.highest_token = ballot.token
            self.highest_by = ballot.candidate
        return Vote(
            granted,
            self.holder,
            others,
            self.quiet_s(now, ballot),
            max(0.0, (self.bound_until(ballot) - now).total_seconds()),
            (now - self.abstains_until + self.policy.lease).total_seconds(),
            self.is_leaving,
        )

    def bound_until(self, ballot: Ballot) -> Instant:
        """Return until when nobody but the candidate can get this host's vote."""
        waits = self.asked_by == ballot.candidate != NOBODY
        return self.abstains_until + (self.policy.waits if waits else ZERO)

    def may_vote_for(self, ballot: Ballot, now: Instant) -> bool:
        """Return whether this host abstains no more, or not from this candidate."""
        if self.asked_by in (NOBODY, ballot.candidate):
            return now >= self.abstains_until
        return now >= self.abstains_until + self.policy.waits

    def highest_of_others(self, ballot: Ballot) -> int:
        """Return the highest token that may be another holder's."""
        is_own = self.highest_by == ballot.candidate
        if is_own and self.highest_token == ballot.token:
            return ballot.token - 1
        return self.highest_token

    def learn_revision(self, revision: int, wall_s: float) -> None:
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
        if self.knows_tokens:
            return
        self.knows_tokens = True
        self.highest_token = max(self.highest_token, token_bound(revision, wall_s))

    def note_previous(self) -> None:
        """Remember a holder whose vote ran out: it may have ordered until then."""
        if self.holder and not self.has_stopped:
            self.note_quiet(self.holder, self.until)
        self.has_stopped = False

    def note_quiet(self, holder: HostId, since: Instant) -> None:
        """Remember since when a holder has given no order."""
        self.quiet_since[holder] = max(since, self.quiet_since.get(holder, since))

    def quiet_s(self, now: Instant, ballot: Ballot) -> float:
        """Return for how long all other holders were quiet, in seconds."""
        others = [at for h, at in self.quiet_since.items() if h != ballot.candidate]
        if not others:
            return float("inf")
        return max(0.0, (now - max(others)).total_seconds())

    def is_promised(self, me: HostId, now: Instant) -> bool:
        """Return whether the vote is given to another host than the voter's own."""
        return self.holder not in (NOBODY, me) and now < self.until

    def withdraw(self, me: HostId, last_order_at: Instant | None, now: Instant) -> None:
        """Take back the vote that a host gave itself without winning.

        It may have held the lease until now, and nobody else may remember that.
        """
        if last_order_at is not None:
            self.note_quiet(me, last_order_at)
        if self.holder == me:
            self.holder = NOBODY
            self.until = now

    def resign(self, message: Resign, now: Instant) -> None:
        """Keep the vote for a holder that stops only while it may come back."""
        if self.holder != message.holder:
            return
        if message.last_order_age_s is not None:
            self.note_quiet(self.holder, now - seconds(message.last_order_age_s))
        self.until = now + self.policy.returns
        self.has_stopped = True
