"""Runs elections for the order lease of a data centre, and votes in those of peers.

The order lease is the exclusive right to send orders to the engines of a data centre. A
host holds it while a majority of the data centre's hosts have voted for it; votes
expire unless renewed. Its fencing token rises from holder to holder.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from random import Random

from returns.result import Success

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import OrderCandidate
from sardinequay_core.order_lease import (
    Ballot,
    OrderPolicy,
    Resign,
    Vote,
    Voter,
    upper_token_bound,
)

from .fleet_task import FleetTask, ReceivedDigest
from .peers import PeerClient
from .serving_messages import Noted

RENEW_INTERVAL_S = 0.3
"""Interval between two rounds of ballots: three fit in a lease."""

CAMPAIGN_STAGGER_S = 0.3
"""Delay added for each host that goes first in an election, against split votes."""

SPLIT_VOTE_BACKOFF_S = 0.6
"""Upper bound of the random delay after a split vote: two round trips of an election.
The host with the shortest delay wins the next election."""

SUSPENDED_AFTER_LEASES = 1.5
"""Time between two steps, in leases, above which this process was suspended. A slow
election takes less than one lease; restarted hosts can be elected after two leases at
the earliest."""

BALLOT_TIMEOUT_S = 0.3
"""Timeout of a ballot or a resignation sent to a voter of the same data centre."""

log = logging.getLogger(__name__)


class OrderLeaseTask:
    """Owns the voter and the candidate of this host.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time, so that no vote was given
        before.
    process_started_at : timedelta
        Start of this process on the monotonic clock. An earlier process of this host
        gave its votes before, so the voter abstains for one lease from then. Counting
        from there, not from the end of the imports, lets orders resume about 0.4 s
        sooner after all hosts were restarted.
    """

    def __init__(
        self,
        me: HostId,
        data_centre: str,
        peers: PeerClient,
        fleet: FleetTask,
        clock: Clock,
        random: Random,
        policy: OrderPolicy,
        is_first_start: bool,
        process_started_at: Instant,
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.peers = peers
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.policy = policy
        now = clock.monotonic()
        abstains_until = (
            now if is_first_start else process_started_at + policy.lease_duration
        )
        self.voter = Voter(
            policy, abstains_until, are_old_tokens_bounded=is_first_start
        )
        self.candidate = OrderCandidate(me, policy)
        self.process_started_at = process_started_at
        self.no_holder_since = now
        self.last_step_at = now
        self.has_resigned = False
        self.has_reclaimed_lease = False
        self.revision = 0
        self.newest_revision: Callable[[], int] = lambda: 0
        self.should_stand_back: Callable[[], bool] = lambda: False

    @property
    def is_holder(self) -> bool:
        """Return whether this host holds the lease now."""
        self.candidate.update_holder(self.clock.monotonic())
        return self.candidate.is_holder

    @property
    def orders_in_s(self) -> float:
        """Return the time until orders may be sent, in seconds; infinite if never."""
        if not self.is_holder:
            return float("inf")
        now = self.clock.monotonic()
        return max(0.0, (self.candidate.may_order_from - now).total_seconds())

    def apply_policy(self, policy: OrderPolicy) -> None:
        """Replace the durations of the lease from now on."""
        self.policy = self.voter.policy = self.candidate.policy = policy

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Pass the store's revision to the voter, as a bound on forgotten tokens.

        A restarted voter has lost the highest fencing token that it voted for; the
        revision gives an upper bound of it.
        """
        self.revision = catalogue.revision
        if catalogue.revision:
            wall_s = self.clock.now().timestamp()
            # Peers forward entries up to seconds after they know of a later revision.
            revision = max(catalogue.revision, self.newest_revision())
            self.voter.record_revision(revision, wall_s)

    def raise_token_above_unheard_holders(self) -> None:
        """Raise the token above those of holders that no voter may have heard of.

        They had their tokens from earlier revisions and times.
        """
        revision = max(self.revision, self.newest_revision())
        bound = upper_token_bound(revision, self.clock.now().timestamp())
        self.candidate.raise_token_above(bound)

    async def step(self) -> float:
        """Run or renew an election if due; return the delay to the next step (s)."""
        self.detect_suspension()
        if self.can_reclaim_lease():
            await self.run_election(is_return=True)
            self.has_reclaimed_lease = self.is_holder
        elif self.should_campaign():
            await self.run_election()
            self.back_off_after_split_vote()
            return RENEW_INTERVAL_S
        return RENEW_INTERVAL_S / 4

    def can_reclaim_lease(self) -> bool:
        """Return whether voters may still have votes for this host's last incarnation.

        This host then requests these votes without first waiting to discover all hosts:
        a host that has been up for longer has already sent it the list.
        """
        since_start = self.clock.monotonic() - self.process_started_at
        return (
            not self.candidate.is_holder
            and not self.voter.is_leaving
            and since_start < self.policy.restart_grace
            and self.fleet.has_received_all_contacts
            and self.fleet.lease_holder() is None
        )

    def detect_suspension(self) -> None:
        """Discover the voters again after this process was suspended.

        Hosts that were leaving before the suspension did not count as voters. They may
        have come back and elected another holder; if this host saw itself as the only
        voter, two hosts would send orders at once.
        """
        now = self.clock.monotonic()
        previous_step_at, self.last_step_at = self.last_step_at, now
        if now - previous_step_at > SUSPENDED_AFTER_LEASES * self.policy.lease_duration:
            log.warning(
                "slept", extra={"for_s": (now - previous_step_at).total_seconds()}
            )
            self.has_reclaimed_lease = False
            self.fleet.restart_joining()

    def should_campaign(self) -> bool:
        """Return whether to request votes now, as the holder or as a candidate."""
        if self.has_resigned or not (
            self.fleet.has_joined() or self.has_reclaimed_lease
        ):
            return False
        if self.candidate.is_holder:
            return True
        if self.voter.is_leaving or self.should_stand_back():
            return False
        now = self.clock.monotonic()
        if self.voter.is_vote_given_elsewhere(self.me, now):
            return False
        if self.fleet.lease_holder() is not None:
            self.no_holder_since = now
            return False
        # The host with the shortest uptime goes first: in a rolling restart it is the
        # one that is not restarted again.
        own_rank = (round(self.fleet.uptime_s()), self.me)
        earlier_candidates = sum(
            1
            for p in self.fleet.live_peers()
            if p.contact.data_centre == self.data_centre
            and (round(self.fleet.peer_uptime_s(p)), p.contact.host_id) < own_rank
        )
        return now - self.no_holder_since >= seconds(
            CAMPAIGN_STAGGER_S * earlier_candidates
        )

    async def run_election(self, is_return: bool = False) -> None:
        """Request the votes of all voters, twice if the first token was too low."""
        voters = self.fleet.voters(self.policy.lease_duration)
        if not self.candidate.is_holder:
            self.candidate.set_voters(voters)
            if voters.may_lack_tokens:
                self.raise_token_above_unheard_holders()
        await self.request_votes(voters.known, is_return)
        # The holder adds new voters only after their votes were requested: otherwise
        # it would lack a majority in between.
        self.candidate.set_voters(voters)
        if self.candidate.needs_higher_token(self.clock.monotonic()):
            await self.request_votes(voters.known, is_return)

    async def request_votes(self, voters: Iterable[HostId], is_return: bool) -> None:
        """Send a ballot to each voter and each leaving host.

        Votes of leaving hosts are not counted.
        """
        ballot = self.candidate.build_ballot(self.data_centre, is_return)
        now = self.clock.monotonic()
        own_vote = self.voter.handle_ballot(ballot, now)
        self.candidate.record_vote(self.me, own_vote, now, now)
        peers_to_ask = sorted({*voters, *self.fleet.leaving_hosts()} - {self.me})
        await asyncio.gather(*(self.request_vote(v, ballot) for v in peers_to_ask))

    def back_off_after_split_vote(self) -> None:
        """Withdraw the own vote after a lost election and delay the next candidacy.

        Votes of a split vote expire in the meantime. The delay is random, so that one
        candidate is first in the next election.
        """
        now = self.clock.monotonic()
        self.candidate.update_holder(now)
        if self.candidate.is_holder:
            return
        self.voter.withdraw_own_vote(self.me, self.candidate.last_order_at, now)
        spread_s = self.random.uniform(0, SPLIT_VOTE_BACKOFF_S)
        self.no_holder_since = now + self.policy.lease_duration + seconds(spread_s)

    async def request_vote(self, voter: HostId, ballot: Ballot) -> None:
        """Send a ballot to one voter and record its vote."""
        address = self.fleet.address_of(voter)
        if address is None:
            return
        asked_at = self.clock.monotonic()
        reply = await self.peers.call(address, ballot, BALLOT_TIMEOUT_S)
        if isinstance(reply, Success) and isinstance(reply.unwrap(), Vote):
            self.candidate.record_vote(
                voter, reply.unwrap(), asked_at, self.clock.monotonic()
            )

    async def handle_ballot(self, ballot: Ballot) -> Vote:
        """Return this host's vote on a peer's ballot; denied for other data centres."""
        if ballot.data_centre != self.data_centre:
            return Vote(False, self.voter.holder, self.voter.highest_token, 0.0)
        return self.voter.handle_ballot(ballot, self.clock.monotonic())

    async def handle_resign(self, message: Resign) -> Noted:
        """Release the vote for a holder that resigned."""
        self.voter.handle_resign(message, self.clock.monotonic())
        self.fleet.record_lease_returned(message.holder)
        return Noted()

    def record_lease_lost(self) -> None:
        """Record the loss of the lease, so that another host can be elected first."""
        self.no_holder_since = self.clock.monotonic()

    def handle_digest(self, received: ReceivedDigest) -> None:
        """Record contact with a host that would tell of voters that return.

        What a link held up tells of the time at which it was sent.
        """
        if not received.digest.is_leaving and received.built_at is not None:
            self.candidate.record_contact(received.built_at)

    def record_orders_watched(self, is_foreign: bool) -> None:
        """Record whether the engines counted orders of another host."""
        now = self.clock.monotonic()
        if is_foreign and self.candidate.should_watch_engines(now):
            self.raise_token_above_unheard_holders()
        self.candidate.record_orders_watched(is_foreign, now)

    def begin_leaving(self) -> None:
        """Stop candidacies and votes for new holders, because this host shuts down.

        A holder keeps the lease while it drains, so that engines still get orders.
        """
        self.voter.is_leaving = True

    async def resign(self) -> bool:
        """Release the lease, so that a successor need not wait until it expires.

        Returns
        -------
        bool
            Whether this host held the lease.
        """
        self.has_resigned = True
        return await self.hand_on()

    async def hand_on(self) -> bool:
        """Release the lease to a host that can do more with it; see `resign`."""
        message = self.candidate.resign_lease(self.data_centre, self.clock.monotonic())
        if message is None:
            return False
        self.voter.handle_resign(message, self.clock.monotonic())
        addresses = [
            self.fleet.address_of(v)
            for v in sorted(self.fleet.voters(self.policy.lease_duration).known)
        ]
        calls = [self.peers.call(a, message, BALLOT_TIMEOUT_S) for a in addresses if a]
        await asyncio.gather(*calls)
        return True
