"""The roster, read from the platform or from peers that read it."""

import asyncio
import logging
from collections.abc import Callable

import reactivex
from reactivex.subject import BehaviorSubject
from returns.result import Success

from sardinequay_core.names import Address
from sardinequay_core.roster import EMPTY_ROSTER, Roster

from .mailbox import Mailbox
from .messages import FetchRoster, RosterReply
from .metrics import Metrics
from .peers import PeerClient
from .platform import HostList
from .shared_settings import TimingSettings

RETRY_S = 0.5
log = logging.getLogger(__name__)


class RosterTask:
    """Owns the latest roster and publishes each change.

    Parameters
    ----------
    is_reader : callable
        Returns whether this host watches the platform itself, as a few hosts of each
        data centre do.
    """

    def __init__(
        self,
        host_list: HostList,
        peers: PeerClient,
        timing: TimingSettings,
        metrics: Metrics,
        is_reader: Callable[[], bool],
    ) -> None:
        self.host_list = host_list
        self.peers = peers
        self.timing = timing
        self.metrics = metrics
        self.is_reader = is_reader
        self.roster = EMPTY_ROSTER
        self.rosters: BehaviorSubject[Roster] = BehaviorSubject(EMPTY_ROSTER)
        self.direct_reads: reactivex.subject.Subject[Roster] = (
            reactivex.subject.Subject()
        )
        self.inbox = Mailbox()

    async def run(self) -> None:
        """Watch the host list and handle offers of peers, for good."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.watch())
            group.create_task(self.handle_offers())

    async def watch(self) -> None:
        """Watch the platform as a reader, else read it from time to time.

        What peers offer may be lost on its way, and a guard must read it by itself.
        """
        while True:
            is_first = self.roster.number == 0
            if is_first or self.is_reader():
                await self.read_host_list(
                    0 if is_first else self.timing.platform_wait_s
                )
            else:
                await asyncio.sleep(self.timing.list_confirm_s)
                await self.read_host_list(0)

    async def read_host_list(self, wait_s: float) -> None:
        """Read the platform's host list once."""
        result = await self.host_list.watch(self.roster.number, wait_s)
        if not isinstance(result, Success):
            log.warning("host list not read", extra={"error": str(result.failure())})
            await asyncio.sleep(RETRY_S)
            return
        self.apply_roster(result.unwrap())
        self.direct_reads.on_next(self.roster)
        if self.roster.number == 0:
            await asyncio.sleep(RETRY_S)

    def apply_roster(self, roster: Roster) -> None:
        """Publish a roster if it is newer than the current one."""
        if roster.number <= self.roster.number:
            return
        self.roster = roster
        self.metrics.roster_number.set({}, roster.number)
        self.rosters.on_next(roster)

    async def handle_offers(self) -> None:
        """Fetch the roster from peers that offer a newer one."""
        while True:
            queued = await self.inbox.queue.get()
            number, address = queued.message
            if number > self.roster.number:
                await self.fetch_roster(address)

    async def fetch_roster(self, address: Address) -> None:
        """Fetch the roster from a peer."""
        reply = await self.peers.call(address, FetchRoster())
        if isinstance(reply, Success) and isinstance(reply.unwrap(), RosterReply):
            self.apply_roster(reply.unwrap().roster)

    async def handle_fetch(self, _: FetchRoster) -> RosterReply:
        """Reply to a peer that requests the roster."""
        return RosterReply(self.roster)
