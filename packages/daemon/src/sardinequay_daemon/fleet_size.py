"""Estimate of the number of hosts, including hosts that are currently unreachable."""

from sardinequay_core.clock import Clock
from sardinequay_core.fleet_share import ASSUMED_HOSTS, FleetShare

from .fleet_task import ALL_HOSTS_KNOWN_AFTER_S, FleetTask
from .peer_table import ASSUME_ALONE_AFTER


class FleetSize:
    """Estimates the number of hosts, by which fleet-wide limits are divided."""

    def __init__(self, fleet: FleetTask, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.share = FleetShare()

    def record_live_hosts(self) -> None:
        """Record the current number of live hosts."""
        self.share.record_live_hosts(self.fleet.live_hosts, self.clock.monotonic())

    def estimated_hosts(self) -> int:
        """Return how many hosts were live recently, or are known and may be live."""
        known_hosts = 1 + max(len(self.fleet.peers), len(self.fleet.seeds))
        recent_hosts = self.share.recent_hosts(
            self.fleet.live_hosts, self.assumed_hosts()
        )
        return max(recent_hosts, known_hosts)

    def live_fraction(self) -> float:
        """Return the fraction of fleet-wide limits that the reachable hosts may use."""
        return self.share.reachable_share(self.fleet.live_hosts, self.assumed_hosts())

    def assumed_hosts(self) -> int:
        """Return how many hosts to assume while this one has just started."""
        fleet = self.fleet
        if not fleet.seeds or fleet.uptime_s() > ASSUME_ALONE_AFTER.total_seconds():
            return 1
        if fleet.joined_at is None:
            return ASSUMED_HOSTS
        return 1 if fleet.uptime_s() > ALL_HOSTS_KNOWN_AFTER_S else len(fleet.peers) + 1
