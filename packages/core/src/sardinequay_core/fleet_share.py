"""Which part of what the fleet may do together the hosts in touch may do.

Load pattern: a data centre is cut off, or all hosts have just started and know nobody
yet. Nobody knows how many islands there are. If each does no more than its part by the
hosts that were known to live lately, all together stay within the whole.
"""

from collections import deque
from dataclasses import dataclass, field

from .clock import Instant, seconds

HOST_RETENTION = seconds(30)
"""How long hosts that fell silent keep their part: longer than a cut that must be
borne."""

ASSUMED_HOSTS = 60
"""Hosts that one takes to exist that knows none yet. Each host of a large fleet gets so
few requests of an organisation that this part of a quota serves its usual demand."""


@dataclass(slots=True)
class FleetShare:
    """The number of live hosts over the last while.

    Parameters
    ----------
    counted : deque
        Numbers of live hosts and when they were counted, the largest first: only such
        as no later one exceeds.
    """

    live_counts: deque[tuple[Instant, int]] = field(default_factory=deque)

    def record_live_hosts(self, live: int, now: Instant) -> None:
        """Count the live hosts."""
        while self.live_counts and self.live_counts[-1][1] <= live:
            self.live_counts.pop()
        self.live_counts.append((now, live))
        while self.live_counts[0][0] < now - HOST_RETENTION:
            self.live_counts.popleft()

    def recent_hosts(self, live: int, contacts: int) -> int:
        """Return how many hosts lived lately.

        Parameters
        ----------
        contacts : int
            Hosts, alive or not, that a host takes to exist that has just started.
        """
        lately = self.live_counts[0][1] if self.live_counts else 1
        return max(live, lately, contacts)

    def reachable_share(self, live: int, contacts: int) -> float:
        """Return the part of the hosts in touch; for `contacts` see `hosts`."""
        return live / self.recent_hosts(live, contacts)
