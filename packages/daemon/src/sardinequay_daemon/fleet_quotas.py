"""The quotas of organisations on one host, fed by what peers tell and by who lives."""

from collections.abc import Callable

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import HostId
from sardinequay_core.quota_ledger import QuotaLedger, QuotaPolicy
from sardinequay_core.usage_view import ReportedUsage

from .fleet_size import FleetSize
from .fleet_task import HeardDigest


class FleetQuotas:
    """Keeps the book of quotas up to date.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self, size: FleetSize, clock: Clock, draw: Callable[[], float]
    ) -> None:
        self.size = size
        self.clock = clock
        self.book = QuotaLedger(draw)

    def take_policy(self, policy: QuotaPolicy) -> None:
        """Take other bounds on what quotas may be exceeded by."""
        self.book.policy = policy

    def take_catalogue(self, before: Catalogue, now: Catalogue) -> None:
        """Take the quotas of a new version of the configuration."""
        if now.config is not None and now.config is not before.config:
            organisations = now.config.organisations or ()
            self.book.apply_organisations(organisations, self.clock.monotonic())

    def take_part(self, heard: HeardDigest) -> None:
        """Take what one host used, or the hosts of one data centre."""
        self.book.apply_report(heard.digest.host.host_id, told_of(heard), heard.at)

    def take_sum(self, heard: HeardDigest) -> None:
        """Take from a hub what all other hosts used."""
        self.book.apply_fleet_report(heard.digest.host.host_id, told_of(heard), heard.at)

    def forget(self, host_id: HostId) -> None:
        """Take that a peer is gone."""
        self.book.forget_peer(host_id, self.clock.monotonic())

    def take_size(self) -> None:
        """Take how many hosts live, for the part of quotas that is theirs."""
        self.book.apply_share(self.size.part(), self.clock.monotonic())


def told_of(heard: HeardDigest) -> ReportedUsage:
    """Return what a digest tells of organisations' usage."""
    digest = heard.digest
    return ReportedUsage(digest.scope, digest.usage, seconds(digest.up_s), heard.has_restarted)
