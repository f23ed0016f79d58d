"""How many hosts there are, also those that this one does not hear at the moment."""

from sardinequay_core.clock import Clock
from sardinequay_core.fleet_share import ASSUMED_HOSTS, FleetShare

from .fleet_task import ALL_HOSTS_KNOWN_AFTER_S, FleetTask
from .peer_table import ASSUME_ALONE_AFTER


class FleetSize:
    """Counts hosts; what all may do together is divided by it."""

    def __init__(self, fleet: FleetTask, clock: Clock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.share = FleetShare()

    def record_live_hosts(self) -> None:
        """Count the hosts that live now."""
        self.share.record_live_hosts(self.fleet.live_hosts, self.clock.monotonic())

    def estimated_hosts(self) -> int:
        """Return how many hosts lived lately, or are known and may live."""
        known = 1 + max(len(self.fleet.peers), len(self.fleet.seeds))
        lately = self.share.recent_hosts(self.fleet.live_hosts, self.assumed_hosts())
        return max(lately, known)

    def live_fraction(self) -> float:
        """Return the part of all that falls to the hosts in touch."""
        return self.share.reachable_share(self.fleet.live_hosts, self.assumed_hosts())

    def assumed_hosts(self) -> int:
        """Return how many hosts exist as far as a host knows that has just started."""
        fleet = self.fleet
        if not fleet.seeds or fleet.uptime_s() > ASSUME_ALONE_AFTER.total_seconds():
            return 1
        if fleet.joined_at is None:
            return ASSUMED_HOSTS
        return 1 if fleet.uptime_s() > ALL_HOSTS_KNOWN_AFTER_S else len(fleet.peers) + 1
