"""Tells other hosts of contents under suspicion, where hosts exchange no digests.

What this host saw itself goes at once to every host: that is rare and small. What it
missed, while it was cut off or not yet started, it asks one host after the other for.
"""

import asyncio
from collections.abc import Iterable
from random import Random

from reactivex.subject import Subject

from sardinequay_core.clock import Clock
from sardinequay_core.names import Address, ContentId, HostId
from sardinequay_core.quarantine import Quarantine

from .content_messages import ContentNews, ContentsReply, ContentsTold
from .content_updates import content_update
from .mailbox import run_periodically
from .membership_task import MembershipTask
from .peers import PeerClient

BATCH_DELAY_S = 0.02
"""All requests that were on a target that ended are told of in one message."""

PULL_PERIOD_S = 1.0
"""How often a host asks another for all that it knows: mostly nothing."""


class QuarantineReplicator:
    """Tells and asks; implements what the guard needs of the other hosts."""

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
        self.unsent: set[ContentId] = set()
        self.has_unsent = asyncio.Event()
        self.send_tasks: set[asyncio.Task[None]] = set()

    # For the guard.

    def known_to_all(self) -> list[HostId]:
        """Return the live hosts of this data centre."""
        return [m.host_id for m in self.membership.live_members.value]

    def address_of(self, host_id: HostId) -> Address | None:
        """Return where a live host of this data centre is reached."""
        live = {m.host_id: m.address for m in self.membership.live_members.value}
        return live.get(host_id)

    def announce_content(self, content: ContentId, is_own: bool) -> None:
        """Have all hosts told of what this one saw."""
        if is_own:
            self.unsent.add(content)
            self.has_unsent.set()

    # Tasks.

    async def run(self) -> None:
        """Tell and ask, for good."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.send_updates())
            group.create_task(run_periodically(PULL_PERIOD_S, self.pull_from_peer))

    async def send_updates(self) -> None:
        """Tell all hosts whenever there is something to tell."""
        while True:
            await self.has_unsent.wait()
            await asyncio.sleep(BATCH_DELAY_S)
            self.has_unsent.clear()
            message = ContentsTold(self.content_updates(self.unsent))
            self.unsent = set()
            for address in self.other_addresses():
                task = asyncio.create_task(self.send_to(address, message))
                self.send_tasks.add(task)
                task.add_done_callback(self.send_tasks.discard)

    def other_addresses(self) -> list[Address]:
        """Return where all other hosts are reached, of all data centres."""
        me = self.membership.membership.self_member.address
        local_addresses = {m.address for m in self.membership.live_members.value}
        remote_addresses = {h.peer_address for h in self.membership.remote_hosts()}
        return sorted((local_addresses | remote_addresses) - {me})

    async def send_to(self, address: Address, message: ContentsTold) -> None:
        """Tell one host; one that misses it asks."""
        await self.peers.call(address, message)

    async def pull_from_peer(self) -> None:
        """Ask any host for all that it knows."""
        others = self.other_addresses()
        if not others:
            return
        request = ContentsTold((), wants_all=True)
        answer = await self.peers.call(self.random.choice(others), request)
        reply = answer.value_or(None)
        if isinstance(reply, ContentsReply):
            self.received.on_next(reply.contents)

    async def handle_contents_told(self, message: ContentsTold) -> ContentsReply:
        """Take what a host tells, and answer what it asks."""
        self.received.on_next(message.contents)
        known = self.quarantine.suspicions if message.wants_all else ()
        return ContentsReply(self.content_updates(known))

    def content_updates(self, contents: Iterable[ContentId]) -> tuple[ContentNews, ...]:
        """Return what is known against some contents."""
        now = self.clock.monotonic()
        return tuple(content_update(self.quarantine, c, now) for c in sorted(contents))
