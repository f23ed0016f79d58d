"""Finds out whether a target's process lives after a request's connection broke there.

An address that takes connections proves little: a supervisor, a gateway or a parent
process may own the socket of a worker that has ended. So the target is asked about
itself, too, and what it says is weighed against what else explains it.
"""

from collections.abc import Awaitable, Callable
from enum import Enum
from typing import Protocol

from sardinequay_core.names import Address, PoolName, TargetId
from sardinequay_core.roster import Target


class ProbeResult(Enum):
    """What a target shows when it is asked about itself."""

    HEALTHY = "sound"
    RESTARTED = "another_start"
    UNHEALTHY = "failing"
    REFUSED = "refusing"
    NO_ANSWER = "silent"


class StatusProbe(Protocol):
    """Asks a target about itself."""

    async def probe_status(
        self, target: Target, incarnation: int, health_path: str
    ) -> ProbeResult:
        """Return what a target shows of the start that had a request.

        Parameters
        ----------
        health_path : str
            Where a plain service tells its health; empty if it does not.
        """


class TargetProbe:
    """Weighs what a target shows.

    Parameters
    ----------
    accepts : callable
        Returns whether something takes connections at an address.
    is_busy : callable
        Returns whether a target is known to have all its places taken: then it refuses,
        or keeps waiting, whoever asks.
    health_path : callable
        Returns where the services of a pool tell their health.
    """

    def __init__(
        self,
        accepts: Callable[[Address], Awaitable[bool]],
        status_probe: StatusProbe,
        is_busy: Callable[[TargetId], bool],
        health_path: Callable[[PoolName], str],
    ) -> None:
        self.accepts = accepts
        self.status_probe = status_probe
        self.is_busy = is_busy
        self.health_path = health_path

    async def is_alive(self, target: Target, incarnation: int) -> bool:
        """Return whether the start of a target that had a request still lives."""
        if not await self.accepts(target.address):
            return False
        path = self.health_path(target.pool)
        sign = await self.status_probe.probe_status(target, incarnation, path)
        if sign in (ProbeResult.REFUSED, ProbeResult.NO_ANSWER):
            return self.is_busy(target.target_id)
        return sign is ProbeResult.HEALTHY
