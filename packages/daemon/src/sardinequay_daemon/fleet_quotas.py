"""The quotas of organisations on one host, fed by what peers tell and by who lives."""

from collections.abc import Callable

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.fleet_share import ASSUMED_HOSTS, FleetShare
from sardinequay_core.names import HostId
from sardinequay_core.quota_book import QuotaBook, QuotaPolicy
from sardinequay_core.usage_view import Told

from .fleet_task import KNOWS_ALL_S, FleetTask, HeardDigest
from .peer_table import ALONE_AFTER


class FleetQuotas:
    """Keeps the book of quotas up to date.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self, fleet: FleetTask, clock: Clock, draw: Callable[[], float]
    ) -> None:
        self.fleet = fleet
        self.clock = clock
        self.book = QuotaBook(draw)
        self.fleet_share = FleetShare()

    def take_policy(self, policy: QuotaPolicy) -> None:
        """Take other bounds on what quotas may be exceeded by."""
        self.book.policy = policy

    def take_catalogue(self, before: Catalogue, now: Catalogue) -> None:
        """Take the quotas of a new version of the configuration."""
        if now.config is not None and now.config is not before.config:
            organisations = now.config.organisations or ()
            self.book.take_organisations(organisations, self.clock.monotonic())

    def take_part(self, heard: HeardDigest) -> None:
        """Take what one host used, or the hosts of one data centre."""
        self.book.hear(heard.digest.host.host_id, told_of(heard), heard.at)

    def take_sum(self, heard: HeardDigest) -> None:
        """Take from a hub what all other hosts used."""
        self.book.hear_all(heard.digest.host.host_id, told_of(heard), heard.at)

    def forget(self, host_id: HostId) -> None:
        """Take that a peer is gone."""
        self.book.forget(host_id, self.clock.monotonic())

    def count_hosts(self) -> None:
        """Take how many hosts live, for the part of quotas that is theirs."""
        now = self.clock.monotonic()
        live = self.fleet.live_hosts
        self.fleet_share.count(live, now)
        self.book.take_share(self.fleet_share.part(live, self.assumed_hosts()), now)

    def assumed_hosts(self) -> int:
        """Return how many hosts exist as far as a host knows that has just started."""
        fleet = self.fleet
        if not fleet.seeds or fleet.up_s() > ALONE_AFTER.total_seconds():
            return 1
        if fleet.joined_at is None:
            return ASSUMED_HOSTS
        return 1 if fleet.up_s() > KNOWS_ALL_S else len(fleet.peers) + 1


def told_of(heard: HeardDigest) -> Told:
    """Return what a digest tells of organisations' usage."""
    digest = heard.digest
    return Told(digest.scope, digest.usage, seconds(digest.up_s), heard.has_restarted)
