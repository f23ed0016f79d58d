"""The quotas of organisations on one host, fed by what peers tell and by who lives."""

from collections.abc import Callable

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import HostId
from sardinequay_core.quota_ledger import QuotaLedger, QuotaPolicy
from sardinequay_core.usage_view import ReportedUsage

from .fleet_size import FleetSize
from .fleet_task import ReceivedDigest


class FleetQuotas:
    """Keeps the book of quotas up to date.

    Parameters
    ----------
    draw : callable
        Returns a random number from 0 to 1.
    """

    def __init__(
        self, fleet_size: FleetSize, clock: Clock, draw: Callable[[], float]
    ) -> None:
        self.fleet_size = fleet_size
        self.clock = clock
        self.ledger = QuotaLedger(draw)

    def apply_policy(self, policy: QuotaPolicy) -> None:
        """Take other bounds on what quotas may be exceeded by."""
        self.ledger.policy = policy

    def apply_catalogue(self, before: Catalogue, now: Catalogue) -> None:
        """Take the quotas of a new version of the configuration."""
        if now.config is not None and now.config is not before.config:
            organisations = now.config.organisations or ()
            self.ledger.apply_organisations(organisations, self.clock.monotonic())

    def record_partial_usage(self, heard: ReceivedDigest) -> None:
        """Take what one host used, or the hosts of one data centre."""
        self.ledger.apply_report(
            heard.digest.host.host_id, reported_usage(heard), heard.received_at
        )

    def record_total_usage(self, heard: ReceivedDigest) -> None:
        """Take from a hub what all other hosts used."""
        self.ledger.apply_fleet_report(
            heard.digest.host.host_id, reported_usage(heard), heard.received_at
        )

    def remove_peer(self, host_id: HostId) -> None:
        """Take that a peer is gone."""
        self.ledger.forget_peer(host_id, self.clock.monotonic())

    def update_fleet_share(self) -> None:
        """Take how many hosts live, for the part of quotas that is theirs."""
        self.ledger.apply_share(self.fleet_size.live_fraction(), self.clock.monotonic())


def reported_usage(heard: ReceivedDigest) -> ReportedUsage:
    """Return what a digest tells of organisations' usage."""
    digest = heard.digest
    return ReportedUsage(
        digest.scope, digest.usage, seconds(digest.up_s), heard.has_restarted
    )
