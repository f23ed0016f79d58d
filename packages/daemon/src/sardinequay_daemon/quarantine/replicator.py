"""Replication of contents under suspicion among hosts that exchange no digests.

A host sends its own observations to every other host at once, since they are rare and
small. Observations that it missed while it was partitioned or not yet started, it pulls
from other hosts, chosen at random.
"""

import asyncio
from collections.abc import Iterable
from random import Random

from reactivex.subject import Subject

from sardinequay_core.clock import Clock
from sardinequay_core.names import Address, FeatureId, HostId
from sardinequay_core.quarantine import Quarantine

from ..background_tasks import BackgroundTasks
from ..mailbox import run_periodically
from ..membership_task import MembershipTask
from ..peers import PeerClient
from .messages import ContentNews, ContentsReply, ContentsTold
from .updates import content_update

BATCH_DELAY_S = 0.02
"""Delay before observations are sent, in seconds, so that all requests that an ended
target had go into one message."""

PULL_PERIOD_S = 1.0
"""Period at which a host pulls all observations of another one, in seconds; usually
there are none."""


class QuarantineReplicator:
    """Sends and pulls observations of contents; implements `GuardPeers`."""

    def __init__(
        self,
        membership: MembershipTask,
        peers: PeerClient,
        quarantine: Quarantine,
        clock: Clock,
        random: Random,
    ) -> None:
        self.membership = membership
        self.peers = peers
        self.quarantine = quarantine
        self.clock = clock
        self.random = random
        self.received: Subject[tuple[ContentNews, ...]] = Subject()
        self.unsent: set[FeatureId] = set()
        self.has_unsent = asyncio.Event()
        self.send_tasks = BackgroundTasks("content")

    def known_to_all(self) -> list[HostId]:
        """Return the live hosts of this data centre."""
        return [m.host_id for m in self.membership.live_members.value]

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a live host of this data centre."""
        live = {m.host_id: m.address for m in self.membership.live_members.value}
        return live.get(host_id)

    def announce_content(self, content: FeatureId, is_own: bool) -> None:
        """Queue a content for sending to all hosts, if this host saw the change."""
        if is_own:
            self.unsent.add(content)
            self.has_unsent.set()

    async def run(self) -> None:
        """Run the tasks that send and pull observations."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_updates())
            group.create_task(run_periodically(PULL_PERIOD_S, self.pull_from_peer))

    async def send_updates(self) -> None:
        """Send queued observations to all other hosts as soon as there are any."""
        while True:
            await self.has_unsent.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self.has_unsent.clear()
            message = ContentsTold(self.content_updates(self.unsent))
            self.unsent = set()
            for address in self.other_addresses():
                self.send_tasks.start(self.send_to(address, message), str(address))

    def other_addresses(self) -> list[Address]:
        """Return the peer addresses of all other hosts, of all data centres."""
        me = self.membership.membership.self_member.address
        local_addresses = {m.address for m in self.membership.live_members.value}
        remote_addresses = {h.peer_address for h in self.membership.remote_hosts()}
        return sorted((local_addresses | remote_addresses) - {me})

    async def send_to(self, address: Address, message: ContentsTold) -> None:
        """Send observations to one host; a host that misses them pulls them later."""
        await self.peers.call(address, message)

    async def pull_from_peer(self) -> None:
        """Pull all observations of a host chosen at random."""
        others = self.other_addresses()
        if not others:
            return
        request = ContentsTold((), wants_all=True)
        answer = await self.peers.call(self.random.choice(others), request)
        reply = answer.value_or(None)
        if isinstance(reply, ContentsReply):
            self.received.on_next(reply.contents)

    async def handle_contents_told(self, message: ContentsTold) -> ContentsReply:
        """Apply a host's observations; reply with this host's if it requests them."""
        self.received.on_next(message.contents)
        requested = self.quarantine.suspicions if message.wants_all else ()
        return ContentsReply(self.content_updates(requested))

    def content_updates(self, contents: Iterable[FeatureId]) -> tuple[ContentNews, ...]:
        """Return this host's observations of some contents."""
        now = self.clock.monotonic()
        return tuple(content_update(self.quarantine, c, now) for c in sorted(contents))
