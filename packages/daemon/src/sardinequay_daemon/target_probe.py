"""Probe of a target: whether its process still runs after a request was interrupted.

An address that accepts connections proves little: a supervisor, a gateway or a parent
process may own the socket of a worker that has ended. So the target's status is
queried, too. A refused or unanswered query counts as a sign that the process ended,
unless the target is known to be busy.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Protocol

from sardinequay_core.names import Address, PoolName, TargetId
from sardinequay_core.roster import Target, TargetKind


class ProbeResult(Enum):
    """The result of a query of a target's status."""

    HEALTHY = "sound"
    RESTARTED = "another_start"
    UNHEALTHY = "failing"
    REFUSED = "refusing"
    NO_ANSWER = "silent"


class StatusProbe(Protocol):
    """Queries a target's status."""

    async def probe_status(
        self, target: Target, incarnation: int, health_path: str
    ) -> ProbeResult:
        """Query whether the incarnation of a target that had a request still runs.

        Parameters
        ----------
        health_path : str
            Path of a plain service's health endpoint; empty if it has none.
        """


class TargetProbe:
    """Decides whether a target is alive, by connection, status and load.

    Parameters
    ----------
    accepts : callable
        Returns whether connections to an address are accepted and stay open.
    is_busy : callable
        Returns whether all slots of a target are known to be taken: then it refuses or
        delays status queries, too.
    health_path : callable
        Returns the path of the health endpoint of a pool's services.
    wants_backoff : callable
        Returns whether a target has asked this host for a backoff, in which it is not
        to get health checks either, which take a slot.
    """

    def __init__(
        self,
        accepts: Callable[[Address], Awaitable[bool]],
        status_probe: StatusProbe,
        is_busy: Callable[[TargetId], bool],
        health_path: Callable[[PoolName], str],
        wants_backoff: Callable[[TargetId], bool] = lambda _: False,
    ) -> None:
        self.accepts = accepts
        self.status_probe = status_probe
        self.is_busy = is_busy
        self.health_path = health_path
        self.wants_backoff = wants_backoff

    async def is_alive(self, target: Target, incarnation: int) -> bool:
        """Return whether the incarnation of a target that had a request still runs."""
        if not await self.accepts(target.address):
            return False
        is_service = target.kind is TargetKind.SERVICE
        if is_service and self.wants_backoff(target.target_id):
            return True
        path = self.health_path(target.pool)
        result = await self.status_probe.probe_status(target, incarnation, path)
        if result in (ProbeResult.REFUSED, ProbeResult.NO_ANSWER):
            return self.is_busy(target.target_id)
        return result is ProbeResult.HEALTHY
