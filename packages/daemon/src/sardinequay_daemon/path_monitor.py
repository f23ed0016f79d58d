"""Watches the paths from this host to targets, and asks peers about lost ones.

What a host sees of a target through a lost path says nothing of the target. So failures
without an answer are held against a target only after this host has opened a new
connection to it, and the end of its process only if a peer sees it, too.
"""

import asyncio
import logging
from collections.abc import Awaitable, Callable, Iterable
from typing import Protocol

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.names import Address, TargetId
from sardinequay_core.target_paths import TargetPaths

from .background_tasks import BackgroundTasks
from .connection_probe import MIN_OPEN_S
from .errors import PeerError
from .path_messages import NO_TARGET
from .serving_metrics import ServingMetrics
from .tunnel_transport import TunnelTransport
from .unforeseen import record_unforeseen

PROBE_ROUND_S = 0.1
"""Interval between two rounds of probes, of those paths that are due, in seconds."""

log = logging.getLogger(__name__)


class Tunnels(Protocol):
    """Opens connections to targets through peers."""

    async def open(
        self, address: Address, target: TargetId = NO_TARGET
    ) -> TunnelTransport:
        """Open a connection to a target through a peer, or raise `PeerError`."""


class PathMonitor:
    """Owns the lost paths of this host.

    Parameters
    ----------
    accepts : callable
        Returns whether this host can open a connection to an address that stays open.
    on_change : callable
        Called with the targets whose path was lost or regained after it had been
        steady: what this host's own attempts have shown of them before does not count
        any more.
    """

    def __init__(
        self,
        accepts: Callable[[Address], Awaitable[bool]],
        tunnels: Tunnels,
        clock: Clock,
        metrics: ServingMetrics,
        on_change: Callable[[Iterable[TargetId]], None],
    ) -> None:
        self.accepts = accepts
        self.tunnels = tunnels
        self.clock = clock
        self.metrics = metrics
        self.on_change = on_change
        self.paths = TargetPaths()
        self.targets_at: dict[Address, tuple[TargetId, ...]] = {}
        self.checks: dict[Address, asyncio.Task[bool]] = {}
        self.running_checks = BackgroundTasks("path")
        self.was_cut_off = False

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Replace the listed targets, and forget paths to others."""
        self.targets_at = {}
        for target_id, published in catalogue.targets.items():
            address = published.target.address
            self.targets_at[address] = (*self.targets_at.get(address, ()), target_id)
        self.paths.prune_unlisted(frozenset(self.targets_at))
        self.show_state()

    def is_target(self, address: Address) -> bool:
        """Return whether a target is listed at an address."""
        return address in self.targets_at

    def record_opened(self, address: Address) -> None:
        """Record that this host has opened a connection to a target."""
        now = self.clock.monotonic()
        regained = self.paths.record_opened(address, now)
        if regained is None and not self.was_cut_off:
            return
        if regained is not None:
            lost_for_s = (now - regained.lost_at).total_seconds()
            extra = {"address": str(address), "after_s": round(lost_for_s, 3)}
            log.info("path regained", extra=extra)
            self.handle_change(address, now)
        self.show_state()

    def record_lost(self, address: Address, detail: str) -> None:
        """Record that only a peer has opened a connection to a target."""
        now = self.clock.monotonic()
        if not self.is_target(address) or not self.paths.record_lost(address, now):
            return
        extra = {"address": str(address), "detail": detail}
        log.warning("path lost", extra=extra)
        self.handle_change(address, now)
        self.show_state()

    def handle_change(self, address: Address, now: Instant) -> None:
        """Report a change of a path that had been steady until then."""
        if self.paths.record_change(address, now):
            self.on_change(self.targets_at.get(address, ()))

    def show_state(self) -> None:
        """Update the gauges, and log whether this host is cut off when that changes."""
        is_cut_off = self.paths.is_cut_off
        self.metrics.lost_paths.set({}, len(self.paths.lost))
        self.metrics.is_cut_off.set({}, int(is_cut_off))
        if is_cut_off == self.was_cut_off:
            return
        self.was_cut_off = is_cut_off
        log.warning(
            "cut off from targets" if is_cut_off else "targets reached again",
            extra={
                "lost_paths": len(self.paths.lost),
                "targets": len(self.targets_at),
                "opened_s_ago": self.age_s(self.paths.opened_at),
            },
        )

    def age_s(self, at: Instant) -> float:
        """Return the time since a moment, in seconds."""
        return round((self.clock.monotonic() - at).total_seconds(), 3)

    def check(self, address: Address) -> asyncio.Task[bool]:
        """Start to find out whether this host reaches a target, once at a time.

        Returns
        -------
        Task
            Returns whether this host has opened a new connection.
        """
        running = self.checks.get(address)
        if running is None:
            running = self.running_checks.start(self.run_check(address), str(address))
            self.checks[address] = running
            running.add_done_callback(lambda _: self.checks.pop(address, None))
        return running

    async def run_check(self, address: Address) -> bool:
        """Open a connection, or else one through a peer; record what that shows."""
        if await self.accepts(address):
            self.record_opened(address)
            return True
        await self.check_through_peer(address, "no connection is accepted")
        return False

    async def check_through_peer(self, address: Address, detail: str) -> bool:
        """Return whether a peer reaches a target that this host does not.

        Its connection must stay open as long as this host's own must have.
        """
        try:
            tunnel = await self.tunnels.open(address)
        except PeerError as error:
            log_unreached(address, error.detail)
            return False
        try:
            await asyncio.sleep(MIN_OPEN_S)
            has_ended = tunnel.has_ended
        finally:
            tunnel.abort()
        if has_ended:
            log_unreached(address, "closed at once for a peer")
            return False
        self.record_lost(address, detail)
        return True

    async def run(self) -> None:
        """Probe the lost paths, for good, so that no request has to."""
        while True:
            due = self.paths.take_due_probes(self.clock.monotonic())
            await asyncio.gather(*(self.probe(address) for address in due))
            await asyncio.sleep(PROBE_ROUND_S)

    async def probe(self, address: Address) -> None:
        """Probe one lost path."""
        try:
            is_accepted = await self.accepts(address)
        except Exception as error:
            record_unforeseen(self.metrics, "path", str(address), error)
            return
        if is_accepted:
            self.record_opened(address)


def log_unreached(address: Address, detail: str) -> None:
    """Log that no peer reaches a target either."""
    log.info("target unreached", extra={"address": str(address), "detail": detail})
