"""Load requests and adapter reports to the keepers of engines.

The keeper of a data centre is the host that orders its engines to load adapters.
"""

import asyncio
from dataclasses import dataclass, field

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.names import AdapterRef, TargetId

from .background_tasks import BackgroundTasks
from .peers import PeerClient
from .relay_state import RelayState
from .serving_messages import (
    AdapterMissing,
    AdapterUse,
    UseChanged,
    WantAdapter,
    WantReply,
)

REPLY_SLACK_S = 0.2
"""Time that a reply may take beyond the wait stated in the request, in seconds."""


@dataclass(slots=True)
class LoadRequestClient:
    """Sends load requests and adapter reports to keepers."""

    state: RelayState
    peers: PeerClient
    report_tasks: BackgroundTasks = field(
        default_factory=lambda: BackgroundTasks("adapter report")
    )

    async def request_load(self, message: WantAdapter) -> WantReply:
        """Request an adapter load from an engine's keeper and return its reply."""
        if self.report_tasks:
            # Reports go out first: the keeper would otherwise call an adapter ready
            # that the engine has just denied to hold.
            await asyncio.sleep(0)
        published = self.state.catalogue.targets.get(message.target)
        if published is None:
            return WantReply(False, "the engine is gone")
        keeper = self.state.keeper_of(published.target.data_centre)
        orders = self.state.orders
        if keeper is None or orders is None:
            return WantReply(False, "nobody orders the engine")
        if keeper.is_self:
            return await orders.load_requests.handle(message)
        address = self.state.fleet.address_of(keeper.host_id)
        if address is None:
            return WantReply(False, "nobody orders the engine")
        timeout_s = min(message.wait_s, message.look_s) + REPLY_SLACK_S
        answer = await self.peers.call(address, message, timeout_s)
        reply = answer.value_or(None)
        if isinstance(reply, WantReply):
            return reply
        self.state.fleet.mark_lost(keeper.host_id)
        return WantReply(False, f"no answer: {answer}")

    def report_use(self, target: TargetId, adapter: AdapterRef, count: int) -> None:
        """Report an adapter that came into use or fell idle.

        Counts above one are not sent: the adapter stays in use.
        """
        orders = self.state.orders
        if orders is None or count > 1:
            return
        use = AdapterUse(target, adapter, count)
        self.report_in_background(target, UseChanged(orders.me, use))

    def report_missing(self, published: PublishedTarget, adapter: AdapterRef) -> None:
        """Report that an engine stated that it does not hold an adapter."""
        target = published.target.target_id
        missing = AdapterMissing(target, adapter, published.incarnation)
        self.report_in_background(target, missing)

    def report_in_background(
        self, target: TargetId, message: AdapterMissing | UseChanged
    ) -> None:
        """Send a report to an engine's keeper without waiting for the reply."""
        self.report_tasks.start(self.send_report(target, message), target)

    async def send_report(
        self, target: TargetId, message: AdapterMissing | UseChanged
    ) -> None:
        """Send a report to an engine's keeper, if one is known."""
        published = self.state.catalogue.targets.get(target)
        orders = self.state.orders
        if published is None or orders is None:
            return
        keeper = self.state.keeper_of(published.target.data_centre)
        if keeper is None:
            return
        if keeper.is_self:
            await orders.handle_adapter_event(message)
            return
        address = self.state.fleet.address_of(keeper.host_id)
        if address is not None:
            await self.peers.call(address, message)
