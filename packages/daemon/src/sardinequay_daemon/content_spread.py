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
from .content_news import news_of
from .mailbox import run_periodically
from .membership_task import MembershipTask
from .peers import PeerClient

GATHER_S = 0.02
"""All requests that were on a target that ended are told of in one message."""

ASK_PERIOD_S = 1.0
"""How often a host asks another for all that it knows: mostly nothing."""


class ContentSpread:
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
        self.heard: Subject[tuple[ContentNews, ...]] = Subject()
        self.untold: set[ContentId] = set()
        self.has_untold = asyncio.Event()
        self.telling: set[asyncio.Task[None]] = set()

    # For the guard.

    def known_to_all(self) -> list[HostId]:
        """Return the live hosts of this data centre."""
        return [m.host_id for m in self.membership.live_members.value]

    def address_of(self, host_id: HostId) -> Address | None:
        """Return where a live host of this data centre is reached."""
        live = {m.host_id: m.address for m in self.membership.live_members.value}
        return live.get(host_id)

    def tell_of(self, content: ContentId, is_own: bool) -> None:
        """Have all hosts told of what this one saw."""
        if is_own:
            self.untold.add(content)
            self.has_untold.set()

    # Tasks.

    async def run(self) -> None:
        """Tell and ask, for good."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.tell_on())
            group.create_task(run_periodically(ASK_PERIOD_S, self.ask_one))

    async def tell_on(self) -> None:
        """Tell all hosts whenever there is something to tell."""
        while True:
            await self.has_untold.wait()
            await asyncio.sleep(GATHER_S)
            self.has_untold.clear()
            told = ContentsTold(self.news(self.untold))
            self.untold = set()
            for address in self.others():
                task = asyncio.create_task(self.tell(address, told))
                self.telling.add(task)
                task.add_done_callback(self.telling.discard)

    def others(self) -> list[Address]:
        """Return where all other hosts are reached, of all data centres."""
        me = self.membership.membership.me.address
        here = {m.address for m in self.membership.live_members.value}
        elsewhere = {h.peer_address for h in self.membership.remote_hosts()}
        return sorted((here | elsewhere) - {me})

    async def tell(self, address: Address, told: ContentsTold) -> None:
        """Tell one host; one that misses it asks."""
        await self.peers.call(address, told)

    async def ask_one(self) -> None:
        """Ask any host for all that it knows."""
        others = self.others()
        if not others:
            return
        ask = ContentsTold((), wants_all=True)
        answer = await self.peers.call(self.random.choice(others), ask)
        reply = answer.value_or(None)
        if isinstance(reply, ContentsReply):
            self.heard.on_next(reply.contents)

    async def answer(self, told: ContentsTold) -> ContentsReply:
        """Take what a host tells, and answer what it asks."""
        self.heard.on_next(told.contents)
        known = self.quarantine.suspicions if told.wants_all else ()
        return ContentsReply(self.news(known))

    def news(self, contents: Iterable[ContentId]) -> tuple[ContentNews, ...]:
        """Return what is known against some contents."""
        now = self.clock.monotonic()
        return tuple(news_of(self.quarantine, c, now) for c in sorted(contents))
