"""Stands for the right to order a data centre's engines, and votes on it."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from random import Random

from returns.result import Success

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_candidate import Candidate
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

RENEW_S = 0.3
"""Between two rounds of ballots: three fit in a lease."""

CAMPAIGN_STEP_S = 0.3
"""How much later each further host stands, so that votes do not split."""

STEP_BACK_SPREAD_S = 0.6
"""Two round trips of a canvass: who steps back less far wins the next one."""

SLEPT_LEASES = 1.5
"""Leases between two steps after which a host was frozen: a slow canvass takes under
one, and hosts that restart are chosen after two at the earliest."""

BALLOT_S = 0.3
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
        began: Instant,
    ) -> None:
        self.me = me
        self.data_centre = data_centre
        self.peers = peers
        self.fleet = fleet
        self.clock = clock
        self.random = random
        self.policy = policy
        now = clock.monotonic()
        abstains_until = now if is_first_start else began + policy.lease
        self.voter = Voter(policy, abstains_until, knows_tokens=is_first_start)
        self.candidate = Candidate(me, policy)
        self.began = began
        self.no_holder_since = now
        self.stepped_at = now
        self.is_resigned = False
        self.is_back = False
        self.newest_revision: Callable[[], int] = lambda: 0

    @property
    def is_holder(self) -> bool:
        """Return whether this host holds the lease now."""
        self.candidate.refresh(self.clock.monotonic())
        return self.candidate.is_holder

    @property
    def orders_in_s(self) -> float:
        """Return in how long orders may be given, in seconds; infinite if never."""
        if not self.is_holder:
            return float("inf")
        now = self.clock.monotonic()
        return max(0.0, (self.candidate.may_order_from - now).total_seconds())

    def take_policy(self, policy: OrderPolicy) -> None:
        """Take other times; they hold for what comes."""
        self.policy = self.voter.policy = self.candidate.policy = policy

    def take_catalogue(self, catalogue: Catalogue) -> None:
        """Take the store's revision, which bounds forgotten tokens."""
        if catalogue.revision:
            wall_s = self.clock.now().timestamp()
            # Peers pass entries on up to seconds after they know of a later revision.
            revision = max(catalogue.revision, self.newest_revision())
            self.voter.learn_revision(revision, wall_s)

    async def step(self) -> float:
        """Stand or renew; return how long to rest until the next look, in seconds."""
        self.notice_sleep()
        if self.may_return():
            await self.canvass(is_return=True)
            self.is_back = self.is_holder
        elif self.should_stand():
            await self.canvass()
            self.after_canvass()
            return RENEW_S
        return RENEW_S / 4

    def may_return(self) -> bool:
        """Return whether voters may have kept their votes for this host's last start.

        It then asks for these before it has waited to know all hosts: one that has been
        up for longer has told it of them.
        """
        since_start = self.clock.monotonic() - self.began
        return (
            not self.candidate.is_holder
            and not self.voter.is_leaving
            and since_start < self.policy.returns
            and self.fleet.has_received_all_contacts
            and self.fleet.lease_holder() is None
        )

    def notice_sleep(self) -> None:
        """Look for the voters anew after this host was frozen.

        Hosts that were leaving when it fell asleep, and so no voters, may have come
        back and chosen another holder: alone in its own eyes, it ordered beside that.
        """
        now = self.clock.monotonic()
        slept_since, self.stepped_at = self.stepped_at, now
        if now - slept_since > SLEPT_LEASES * self.policy.lease:
            log.warning("slept", extra={"for_s": (now - slept_since).total_seconds()})
            self.is_back = False
            self.fleet.restart_joining()

    def should_stand(self) -> bool:
        """Return whether to ask for votes now."""
        if self.is_resigned or not (self.fleet.has_joined() or self.is_back):
            return False
        if self.candidate.is_holder:
            return True
        if self.voter.is_leaving:
            return False
        now = self.clock.monotonic()
        if self.voter.is_promised(self.me, now):
            return False
        if self.fleet.lease_holder() is not None:
            self.no_holder_since = now
            return False
        # The host that started last goes first: where hosts are restarted one after
        # the other, it is the one that stays.
        mine = (round(self.fleet.uptime_s()), self.me)
        place = sum(
            1
            for p in self.fleet.live_peers()
            if p.contact.data_centre == self.data_centre
            and (round(self.fleet.peer_uptime_s(p)), p.contact.host_id) < mine
        )
        return now - self.no_holder_since >= seconds(CAMPAIGN_STEP_S * place)

    async def canvass(self, is_return: bool = False) -> None:
        """Ask all voters of the data centre at once, and again if a token was low."""
        voters = self.fleet.voters(self.policy.lease)
        if not self.candidate.is_holder:
            self.candidate.set_voters(voters)
        await self.ask_all(voters, is_return)
        # A holder counts new voters once they were asked: between, it would lack votes.
        self.candidate.set_voters(voters)
        if self.candidate.must_ask_higher(self.clock.monotonic()):
            await self.ask_all(voters, is_return)

    async def ask_all(self, voters: Iterable[HostId], is_return: bool) -> None:
        """Ask each voter once, and hosts that leave, which count no more."""
        ballot = self.candidate.ballot(self.data_centre, is_return)
        now = self.clock.monotonic()
        own = self.voter.vote(ballot, now)
        self.candidate.take(self.me, own, now, now)
        others = sorted({*voters, *self.fleet.leaving_hosts()} - {self.me})
        await asyncio.gather(*(self.ask_vote(v, ballot) for v in others))

    def after_canvass(self) -> None:
        """Step back after a split vote, so that votes lapse and one can win."""
        now = self.clock.monotonic()
        self.candidate.refresh(now)
        if self.candidate.is_holder:
            return
        self.voter.withdraw(self.me, self.candidate.last_order_at, now)
        spread_s = self.random.uniform(0, STEP_BACK_SPREAD_S)
        self.no_holder_since = now + self.policy.lease + seconds(spread_s)

    async def ask_vote(self, voter: HostId, ballot: Ballot) -> None:
        """Ask one voter."""
        address = self.fleet.address_of(voter)
        if address is None:
            return
        asked_at = self.clock.monotonic()
        answer = await self.peers.call(address, ballot, BALLOT_S)
        if isinstance(answer, Success) and isinstance(answer.unwrap(), Vote):
            self.candidate.take(
                voter, answer.unwrap(), asked_at, self.clock.monotonic()
            )

    async def answer_ballot(self, ballot: Ballot) -> Vote:
        """Answer a peer's ballot with this host's vote."""
        if ballot.data_centre != self.data_centre:
            return Vote(False, self.voter.holder, self.voter.highest_token, 0.0)
        return self.voter.vote(ballot, self.clock.monotonic())

    async def answer_resign(self, message: Resign) -> Noted:
        """Take a holder's resignation."""
        self.voter.resign(message, self.clock.monotonic())
        self.fleet.record_lease_returned(message.holder)
        return Noted()

    def lost(self) -> None:
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
        self.is_resigned = True
        message = self.candidate.resign(self.data_centre, self.clock.monotonic())
        if message is None:
            return False
        self.voter.resign(message, self.clock.monotonic())
        addresses = [
            self.fleet.address_of(v) for v in self.fleet.voters(self.policy.lease)
        ]
        calls = [self.peers.call(a, message, BALLOT_S) for a in addresses if a]
        await asyncio.gather(*calls)
        return True
