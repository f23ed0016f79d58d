"""Asks the host that orders an engine for an adapter, once for all who wait."""

import asyncio
from dataclasses import dataclass, field

from sardinequay_core.names import AdapterRef, HostId, TargetId

from .peers import PeerCaller
from .relay_state import RelayState
from .serving_messages import AdapterMissing, WantAdapter, WantReply

REPLY_SLACK_S = 0.2
"""What an answer may take beyond the wait that it was asked for."""

LONGEST_ASK_S = 0.6
"""How long one ask lasts; then the choice is made anew with what is known by then."""

Key = tuple[TargetId, AdapterRef]


@dataclass(slots=True)
class WantBoard:
    """Adapters that this host has asked for."""

    state: RelayState
    peers: PeerCaller
    asked: dict[Key, asyncio.Task[WantReply]] = field(default_factory=dict)
    waiting: dict[Key, int] = field(default_factory=dict)
    tellings: set[asyncio.Task[None]] = field(default_factory=set)

    async def have_loaded(
        self, target: TargetId, adapter: AdapterRef, weight: float, wait_s: float
    ) -> WantReply:
        """Wait until an adapter is on an engine, or for a while."""
        key = (target, adapter)
        task = self.asked.get(key)
        if task is None or task.done():
            bound_s = min(wait_s, LONGEST_ASK_S)
            ask = WantAdapter(target, adapter, weight, bound_s)
            task = self.asked[key] = asyncio.create_task(self.ask(ask))
        self.waiting[key] = self.waiting.get(key, 0) + 1
        try:
            return await asyncio.shield(task)
        finally:
            self.waiting[key] -= 1
            if not self.waiting[key]:
                del self.waiting[key]
                self.asked.pop(key, None)
                if not task.done():
                    task.cancel()

    async def ask(self, message: WantAdapter) -> WantReply:
        """Ask whoever orders the engine now."""
        published = self.state.catalogue.targets.get(message.target)
        if published is None:
            return WantReply(False, "the engine is gone")
        keeper = self.state.keeper_of(published.target.data_centre)
        orders = self.state.orders
        if keeper is None or orders is None:
            return WantReply(False, "nobody orders the engine")
        if keeper == orders.me:
            return await orders.answer_want(message)
        address = self.state.fleet.address_of(HostId(keeper))
        if address is None:
            return WantReply(False, "nobody orders the engine")
        answer = await self.peers.call(address, message, message.wait_s + REPLY_SLACK_S)
        reply = answer.value_or(None)
        if isinstance(reply, WantReply):
            return reply
        return WantReply(False, f"no answer: {answer}")

    def tell_soon(self, target: TargetId, adapter: AdapterRef) -> None:
        """Tell of a missing adapter without waiting for the answer."""
        task = asyncio.create_task(self.tell_missing(target, adapter))
        self.tellings.add(task)
        task.add_done_callback(self.tellings.discard)

    async def tell_missing(self, target: TargetId, adapter: AdapterRef) -> None:
        """Tell whoever orders an engine that it denies to have an adapter."""
        published = self.state.catalogue.targets.get(target)
        orders = self.state.orders
        if published is None or orders is None:
            return
        message = AdapterMissing(target, adapter)
        keeper = self.state.keeper_of(published.target.data_centre)
        if keeper == orders.me:
            await orders.answer_missing(message)
            return
        address = self.state.fleet.address_of(HostId(keeper or ""))
        if address is not None:
            await self.peers.call(address, message)
