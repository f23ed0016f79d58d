"""Calls of a keeper to engines and lease holders; their results return as events."""

import asyncio
import contextlib

from returns.result import Result, Success

from sardinequay_core.clock import Clock
from sardinequay_core.engine_record import (
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from sardinequay_core.names import Address, PoolName
from sardinequay_core.roster import Target

from .engine_client import EngineClient
from .errors import TargetError
from .keeper_events import LoadEnded, RecallEnded, ReportArrived, UnloadEnded
from .mailbox import Mailbox
from .messages import Recall, Recalled
from .metrics import Metrics
from .peers import PeerClient
from .shared_settings import TimingSettings


class KeeperCalls:
    """Sends orders and recalls, and requests reports.

    Parameters
    ----------
    inbox : Mailbox
        Where the results are posted.
    """

    def __init__(
        self,
        engines: EngineClient,
        peers: PeerClient,
        timing: TimingSettings,
        clock: Clock,
        metrics: Metrics,
        inbox: Mailbox,
    ) -> None:
        self.engines = engines
        self.peers = peers
        self.timing = timing
        self.clock = clock
        self.metrics = metrics
        self.inbox = inbox

    async def send_load(
        self, pool: PoolName, target: Target, order: LoadCommand
    ) -> None:
        """Send a load order and post its result."""
        started_at = self.clock.monotonic()
        result = await self.engines.load(target, order.use, order.token)
        duration = self.clock.monotonic() - started_at
        self.inbox.post(LoadEnded(pool, order, duration, order_error(result)))

    async def send_unload(
        self, pool: PoolName, target: Target, order: UnloadCommand
    ) -> None:
        """Send an eviction order and post its result."""
        result = await self.engines.unload(target, order.use, order.token)
        self.inbox.post(UnloadEnded(pool, order, order_error(result)))

    async def send_recall(
        self, address: Address, pool: PoolName, order: RecallCommand
    ) -> None:
        """Recall a use lease from its holder; without a reply the lease expires."""
        reply = (await self.peers.call(address, Recall(order.use))).value_or(None)
        if isinstance(reply, Recalled):
            self.inbox.post(RecallEnded(pool, order, reply))

    async def request_report(self, pool: PoolName, target: Target) -> None:
        """Request one engine's report and post it; errors and timeouts are ignored."""
        asked_at = self.clock.monotonic()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(self.timing.lease_s / 2):
                result = await self.engines.report(target)
                if isinstance(result, Success):
                    report = result.unwrap()
                    self.metrics.batch_fill.set(
                        {"engine": str(target.target_id)}, report.running
                    )
                    self.inbox.post(ReportArrived(pool, report, asked_at))


def order_error(result: Result[None, TargetError]) -> TargetError | None:
    """Return the error of an order, or None if it succeeded."""
    return None if isinstance(result, Success) else result.failure()
