"""Hosts of the own data centre that are gone, but may be back and vote."""

from dataclasses import dataclass, field
from datetime import timedelta

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import HostId

FORGOTTEN_RETENTION = seconds(3600)
"""Time for which the id of a host that counts no more as a voter is kept."""


@dataclass(slots=True)
class AbsentVoters:
    """When hosts of the data centre that are gone were last known to be live.

    Parameters
    ----------
    departed : dict
        Those that announced their leave.
    forgotten : dict
        Those that count as voters no more.
    """

    departed: dict[HostId, Instant] = field(default_factory=dict)
    forgotten: dict[HostId, Instant] = field(default_factory=dict)

    def record_removed(
        self, host_id: HostId, has_announced: bool, last_sign: Instant
    ) -> None:
        """Record that a host was removed from the table of peers."""
        hosts = self.departed if has_announced else self.forgotten
        hosts[host_id] = last_sign

    def record_returned(self, host_id: HostId) -> None:
        """Record that a host was heard or told of again."""
        self.departed.pop(host_id, None)
        self.forgotten.pop(host_id, None)

    def expire(self, now: Instant, retention: timedelta) -> None:
        """Count departed hosts no more that stay away, and drop old ids.

        Parameters
        ----------
        retention : timedelta
            How long a host that announced its leave still counts as a voter.
        """
        for host_id, last_sign in tuple(self.departed.items()):
            if now - last_sign > retention:
                self.forgotten[host_id] = self.departed.pop(host_id)
        for host_id, last_sign in tuple(self.forgotten.items()):
            if now - last_sign > FORGOTTEN_RETENTION:
                del self.forgotten[host_id]
