"""Share of the fleet-wide limits that the hosts in contact with each other may use.

Load pattern: a data centre is cut off, or all hosts have just started and know no peer
yet. No host knows how many partitions there are. If each partition uses no more than
its share by the hosts that were known to be alive recently, all together stay within
the limit.
"""

from collections import deque
from dataclasses import dataclass, field

from .clock import Instant, seconds

HOST_RETENTION = seconds(30)
"""How long silent hosts keep their share: longer than a partition that must be
tolerated."""

ASSUMED_HOSTS = 60
"""Fleet size that a host assumes while it knows no peer. Each host of a large fleet
gets so few requests of an organisation that this share of a quota covers its usual
demand."""


@dataclass(slots=True)
class FleetShare:
    """Counts of live hosts over the retention time, and the share derived from them.

    Parameters
    ----------
    live_counts : deque
        Counts of live hosts and their times, the largest first: only counts that no
        later one exceeds.
    """

    live_counts: deque[tuple[Instant, int]] = field(default_factory=deque)

    def record_live_hosts(self, live: int, now: Instant) -> None:
        """Record the current number of live hosts."""
        while self.live_counts and self.live_counts[-1][1] <= live:
            self.live_counts.pop()
        self.live_counts.append((now, live))
        while self.live_counts[0][0] < now - HOST_RETENTION:
            self.live_counts.popleft()

    def recent_hosts(self, live: int, contacts: int) -> int:
        """Return how many hosts were alive recently.

        Parameters
        ----------
        contacts : int
            Hosts, alive or not, that a host which has just started assumes to exist.
        """
        retained = self.live_counts[0][1] if self.live_counts else 1
        return max(live, retained, contacts)

    def reachable_share(self, live: int, contacts: int) -> float:
        """Return the share of hosts in contact; `contacts` is as in `recent_hosts`."""
        return live / self.recent_hosts(live, contacts)
