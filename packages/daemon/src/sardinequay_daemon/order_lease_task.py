"""Stands for the right to order a data centre's engines, and votes on it."""

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
)

from .fleet_task import FleetTask
from .peers import PeerClient
from .serving_messages import Noted

RENEW_INTERVAL_S = 0.3
"""Between two rounds of ballots: three fit in a lease."""

CAMPAIGN_STAGGER_S = 0.3
"""How much later each further host stands, so that votes do not split."""

SPLIT_VOTE_BACKOFF_S = 0.6
"""Two round trips of a canvass: who steps back less far wins the next one."""

SUSPENDED_AFTER_LEASES = 1.5
"""Leases between two steps after which a host was frozen: a slow canvass takes under
one, and hosts that restart are chosen after two at the earliest."""

BALLOT_TIMEOUT_S = 0.3
"""Bound on a voter's answer within a data centre."""

log = logging.getLogger(__name__)


class OrderLeaseTask:
    """Owns this host's vote and its candidacy.

    Parameters
    ----------
    is_first_start : bool
        Whether the whole system starts for the first time: nobody has voted before.
    began : timedelta
        When this process began: votes of an earlier one were given before. Counted from
        there, not from when its imports are done, orders begin about 0.4 s sooner after
        all hosts were restarted.
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
        self.newest_revision: Callable[[], int] = lambda: 0

    @property
    def is_holder(self) -> bool:
        """Return whether this host holds the lease now."""
        self.candidate.update_holder(self.clock.monotonic())
        return self.candidate.is_holder

    @property
    def orders_in_s(self) -> float:
        """Return in how long orders may be given, in seconds; infinite if never."""
        if not self.is_holder:
            return float("inf")
        now = self.clock.monotonic()
        return max(0.0, (self.candidate.may_order_from - now).total_seconds())

    def apply_policy(self, policy: OrderPolicy) -> None:
        """Take other times; they hold for what comes."""
        self.policy = self.voter.policy = self.candidate.policy = policy

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Take the store's revision, which bounds forgotten tokens."""
        if catalogue.revision:
            wall_s = self.clock.now().timestamp()
            # Peers pass entries on up to seconds after they know of a later revision.
            revision = max(catalogue.revision, self.newest_revision())
            self.voter.record_revision(revision, wall_s)

    async def step(self) -> float:
        """Stand or renew; return how long to rest until the next look, in seconds."""
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
        """Return whether voters may have kept their votes for this host's last start.

        It then asks for these before it has waited to know all hosts: one that has been
        up for longer has told it of them.
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
        """Look for the voters anew after this host was frozen.

        Hosts that were leaving when it fell asleep, and so no voters, may have come
        back and chosen another holder: alone in its own eyes, it ordered beside that.
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
        """Return whether to ask for votes now."""
        if self.has_resigned or not (
            self.fleet.has_joined() or self.has_reclaimed_lease
        ):
            return False
        if self.candidate.is_holder:
            return True
        if self.voter.is_leaving:
            return False
        now = self.clock.monotonic()
        if self.voter.is_vote_given_elsewhere(self.me, now):
            return False
        if self.fleet.lease_holder() is not None:
            self.no_holder_since = now
            return False
        # The host that started last goes first: where hosts are restarted one after
        # the other, it is the one that stays.
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
        """Ask all voters of the data centre at once, and again if a token was low."""
        voters = self.fleet.voters(self.policy.lease_duration)
        if not self.candidate.is_holder:
            self.candidate.set_voters(voters)
        await self.request_votes(voters, is_return)
        # A holder counts new voters once they were asked: between, it would lack votes.
        self.candidate.set_voters(voters)
        if self.candidate.needs_higher_token(self.clock.monotonic()):
            await self.request_votes(voters, is_return)

    async def request_votes(self, voters: Iterable[HostId], is_return: bool) -> None:
        """Ask each voter once, and hosts that leave, which count no more."""
        ballot = self.candidate.build_ballot(self.data_centre, is_return)
        now = self.clock.monotonic()
        own_vote = self.voter.handle_ballot(ballot, now)
        self.candidate.record_vote(self.me, own_vote, now, now)
        peers_to_ask = sorted({*voters, *self.fleet.leaving_hosts()} - {self.me})
        await asyncio.gather(*(self.request_vote(v, ballot) for v in peers_to_ask))

    def back_off_after_split_vote(self) -> None:
        """Step back after a split vote, so that votes lapse and one can win."""
        now = self.clock.monotonic()
        self.candidate.update_holder(now)
        if self.candidate.is_holder:
            return
        self.voter.withdraw_own_vote(self.me, self.candidate.last_order_at, now)
        spread_s = self.random.uniform(0, SPLIT_VOTE_BACKOFF_S)
        self.no_holder_since = now + self.policy.lease_duration + seconds(spread_s)

    async def request_vote(self, voter: HostId, ballot: Ballot) -> None:
        """Ask one voter."""
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
        """Answer a peer's ballot with this host's vote."""
        if ballot.data_centre != self.data_centre:
            return Vote(False, self.voter.holder, self.voter.highest_token, 0.0)
        return self.voter.handle_ballot(ballot, self.clock.monotonic())

    async def handle_resign(self, message: Resign) -> Noted:
        """Take a holder's resignation."""
        self.voter.handle_resign(message, self.clock.monotonic())
        self.fleet.record_lease_returned(message.holder)
        return Noted()

    def record_lease_lost(self) -> None:
        """Note that the lease was lost, so that another may stand first."""
        self.no_holder_since = self.clock.monotonic()

    def begin_leaving(self) -> None:
        """Take that this host stops: it stands no more, and votes for nobody new.

        A holder keeps the lease while it drains; engines there are ordered until then.
        """
        self.voter.is_leaving = True

    async def resign(self) -> bool:
        """Give the lease back, so that a successor need not wait it out.

        Returns whether this host held it.
        """
        self.has_resigned = True
        message = self.candidate.resign_lease(self.data_centre, self.clock.monotonic())
        if message is None:
            return False
        self.voter.handle_resign(message, self.clock.monotonic())
        addresses = [
            self.fleet.address_of(v)
            for v in self.fleet.voters(self.policy.lease_duration)
        ]
        calls = [self.peers.call(a, message, BALLOT_TIMEOUT_S) for a in addresses if a]
        await asyncio.gather(*calls)
        return True
