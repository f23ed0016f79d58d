"""The order lease: the majority-voted right to send orders to a data centre's engines.

The hosts of a data centre grant the lease to one of them, for a short time and by a
majority of votes. Any two majorities overlap, so at most one host holds the lease. A
restarted voter has lost its vote; it does not vote until each vote that it may have
given has expired. All times are read from monotonic clocks that include suspension: a
suspended host finds its lease expired before it can use it.

Engines that do not check fencing tokens must not receive orders from two hosts within
`OrderPolicy.quiet_period`. A new holder therefore waits until the last order of the
previous holder is that old.
"""

from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant, check_seconds, seconds
from .names import HostId

NO_HOST = HostId("")
TOKENS_PER_TICK = 16
"""Tokens reserved per tick of 0.1 s for changes of the holder.

Each change takes longer than a lease, so few of them fall in one tick.
"""

TICKS_PER_S = 10
TICKS_PER_REVISION = 1 << 28
"""Ticks reserved per revision: ten months of 0.1 s.

Tokens of a later revision are therefore higher regardless of clock errors. Tokens fit
in 64 bits for two billion revisions.
"""


@dataclass(frozen=True, slots=True)
class OrderPolicy:
    """The timing of the order lease.

    Parameters
    ----------
    lease_duration : timedelta
        How long a vote lasts at the voter after it was given. It is short because no
        orders are sent until the votes of a dead holder expire. It spans several
        renewals because a lost renewal must not end the lease.
    safety_margin : timedelta
        How long before its votes expire a holder stops sending orders. It covers the
        transit time of an order and the clock drift during a lease.
    quiet_period : timedelta
        Minimum age of the last order of another host; given by the deployment.
    member_retention : timedelta
        How long an unreachable host counts as a voter. It exceeds any network
        partition that must be survived safely, because a partitioned host looks like
        a dead one.
    former_holder_wait : timedelta
        How long a voter that may vote again reserves its vote for the holder that
        asked for it while it abstained. It exceeds the time between two renewals, so
        that the holder keeps a majority in between.
    restart_grace : timedelta
        How long voters keep their votes for a holder that has stopped. A restarted
        process is back after about half of this time, and a successor would have to
        wait longer for the quiet period.
    """

    lease_duration: timedelta = timedelta(seconds=1.0)
    safety_margin: timedelta = timedelta(seconds=0.15)
    quiet_period: timedelta = timedelta(seconds=3.1)
    member_retention: timedelta = timedelta(seconds=30)
    former_holder_wait: timedelta = timedelta(seconds=0.5)
    restart_grace: timedelta = timedelta(seconds=1.5)


@dataclass(frozen=True, slots=True)
class Ballot:
    """Message: a request for a vote or its renewal.

    Parameters
    ----------
    is_return : bool
        Whether the candidate was just restarted and requests only votes that it had as
        the holder and that have not expired yet.
    is_holder : bool
        Whether the candidate holds the lease and requests a renewal of its votes.
    """

    candidate: HostId
    data_centre: str
    token: int
    is_return: bool = False
    is_holder: bool = False


@dataclass(frozen=True, slots=True)
class Vote:
    """Message: the answer to a ballot.

    Parameters
    ----------
    highest_token : int
        The highest known fencing token of any other holder.
    quiet_s : float
        Minimum time since another holder known to this voter may have sent its last
        order, in seconds; infinite if there was no other holder.
    abstains_s : float
        Remaining time for which the restarted voter abstains, in seconds.
    up_s : float
        Time since the voter started, in seconds.
    is_leaving : bool
        Whether the voter is shutting down; it then votes for no other host.
    """

    granted: bool
    holder: HostId
    highest_token: int
    quiet_s: float
    abstains_s: float = 0.0
    up_s: float = 0.0
    is_leaving: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError for durations that are none."""
        check_seconds(self.abstains_s, self.up_s)


@dataclass(frozen=True, slots=True)
class Resign:
    """Message: a holder stops; the age of its last order is None if it sent none.

    Voters keep their records of earlier holders, whose last orders count, too. They
    keep their votes for the stopped holder for a while. If it is only restarting it can
    then continue at once, while another host must wait for the quiet period: in rolling
    restarts, each change of the holder left a data centre without orders for 3.1 s.
    """

    holder: HostId
    data_centre: str
    last_order_age_s: float | None


def upper_token_bound(revision: int, wall_s: float) -> int:
    """Return an upper bound on tokens used up to a store revision and a wall time."""
    tick = int(wall_s * TICKS_PER_S) % TICKS_PER_REVISION
    return ((revision + 1) * TICKS_PER_REVISION + tick) * TOKENS_PER_TICK


@dataclass(slots=True)
class Voter:
    """The state of one host as a voter.

    Parameters
    ----------
    are_old_tokens_bounded : bool
        Whether an upper bound is known for the tokens used before this host started.
        Until then it does not vote, because it may have voted for one of these tokens
        and lost that vote in a restart.
    quiet_since : dict
        Time since which each earlier holder has sent no order; `NO_HOST` stands for
        holders that were lost in a restart.
    renewing_holder : HostId
        The holder that asked for a renewal while this host abstained.
    was_lease_held : bool
        Whether the host that has the vote held the lease when it last asked.
    has_holder_stopped : bool
        Whether the holder announced that it stops and sends no more orders.
    is_leaving : bool
        Whether this host is shutting down. It then only renews the vote that it has
        given, so that the holder knows that this vote was its own at the end.
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
        """Assume that an unknown holder sends orders until its votes have expired."""
        if not self.are_old_tokens_bounded:
            self.quiet_since[NO_HOST] = self.abstains_until

    def handle_ballot(self, ballot: Ballot, now: Instant) -> Vote:
        """Reply to a ballot; grant the vote unless another host may have it."""
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
        highest_other_token = self.highest_of_others(ballot)
        if granted and ballot.token > self.highest_token:
            self.highest_token = ballot.token
            self.highest_token_holder = ballot.candidate
        return Vote(
            granted,
            self.holder,
            highest_other_token,
            self.quiet_s(now, ballot),
            max(0.0, (self.committed_until(ballot) - now).total_seconds()),
            (now - self.abstains_until + self.policy.lease_duration).total_seconds(),
            self.is_leaving,
        )

    def committed_until(self, ballot: Ballot) -> Instant:
        """Return until when no host but the candidate can get this host's vote."""
        is_reserved = self.renewing_holder == ballot.candidate != NO_HOST
        return self.abstains_until + (
            self.policy.former_holder_wait if is_reserved else ZERO
        )

    def can_vote_for(self, ballot: Ballot, now: Instant) -> bool:
        """Return whether this host no longer abstains with regard to this candidate."""
        if self.renewing_holder in (NO_HOST, ballot.candidate):
            return now >= self.abstains_until
        return now >= self.abstains_until + self.policy.former_holder_wait

    def highest_of_others(self, ballot: Ballot) -> int:
        """Return the highest known token that may belong to another holder."""
        is_own = self.highest_token_holder == ballot.candidate
        if is_own and self.highest_token == ballot.token:
            return ballot.token - 1
        return self.highest_token

    def record_revision(self, revision: int, wall_s: float) -> None:
        """Derive the bound on old tokens from a revision of the store.

        Tokens are derived from the store revision and the wall time that voters read
        after their start. Orders change the entries that engines publish and so raise
        the revision, but only with the next entry. Two voters that restart seconds
        apart can therefore read the same revision; the wall time then separates their
        bounds. It may be wrong by seconds, which is safe because the holder elected by
        the second voter waits for the quiet period and a lease, which is longer.

        Parameters
        ----------
        revision : int
            A revision of the store read after this host started.
        wall_s : float
            The wall time, in Unix seconds.
        """
        if self.are_old_tokens_bounded:
            return
        self.are_old_tokens_bounded = True
        self.highest_token = max(
            self.highest_token, upper_token_bound(revision, wall_s)
        )

    def record_previous_holder(self) -> None:
        """Record that the last holder may have sent orders until its vote expired."""
        if self.holder and not self.has_holder_stopped:
            self.record_quiet_since(self.holder, self.vote_until)
        self.has_holder_stopped = False

    def record_quiet_since(self, holder: HostId, since: Instant) -> None:
        """Record the time since which a holder has sent no order."""
        self.quiet_since[holder] = max(since, self.quiet_since.get(holder, since))

    def quiet_s(self, now: Instant, ballot: Ballot) -> float:
        """Return the time for which no other holder has sent orders, in seconds."""
        last_orders = [
            ordered_at
            for holder, ordered_at in self.quiet_since.items()
            if holder != ballot.candidate
        ]
        if not last_orders:
            return float("inf")
        return max(0.0, (now - max(last_orders)).total_seconds())

    def is_vote_given_elsewhere(self, own_host: HostId, now: Instant) -> bool:
        """Return whether the vote is given to a host other than `own_host`."""
        return self.holder not in (NO_HOST, own_host) and now < self.vote_until

    def withdraw_own_vote(
        self, own_host: HostId, last_order_at: Instant | None, now: Instant
    ) -> None:
        """Withdraw the vote that this host gave itself without winning the lease.

        This host may have held the lease until now, and no other voter may know its
        last order, so that is recorded here.
        """
        if last_order_at is not None:
            self.record_quiet_since(own_host, last_order_at)
        if self.holder == own_host:
            self.holder = NO_HOST
            self.vote_until = now

    def handle_resign(self, message: Resign, now: Instant) -> None:
        """Keep the vote for a stopped holder only for the restart grace period."""
        if self.holder != message.holder:
            return
        if message.last_order_age_s is not None:
            self.record_quiet_since(
                self.holder, now - seconds(message.last_order_age_s)
            )
        self.vote_until = now + self.policy.restart_grace
        self.has_holder_stopped = True
