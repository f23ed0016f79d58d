"""Quotas of organisations, updated by digests and the number of live hosts."""

from collections.abc import Callable

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.fair_shares import ServiceShares
from sardinequay_core.names import HostId
from sardinequay_core.organisations import Organisation, OrganisationName
from sardinequay_core.quota_ledger import QuotaLedger, QuotaPolicy
from sardinequay_core.usage_view import ReportedUsage

from .fleet_size import FleetSize
from .fleet_task import ReceivedDigest


class FleetQuotas:
    """Updates the quota ledger of this host.

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
        self.shares = ServiceShares(self.ledger)

    def apply_policy(self, policy: QuotaPolicy) -> None:
        """Set the policy that bounds by how much quotas may be exceeded."""
        self.ledger.policy = policy

    def apply_catalogue(self, old: Catalogue, new: Catalogue) -> None:
        """Apply the quotas of a catalogue with a new configuration version."""
        if new.config is not None and new.config is not old.config:
            organisations = new.config.organisations or ()
            self.ledger.apply_organisations(organisations, self.clock.monotonic())

    def record_partial_usage(self, received: ReceivedDigest) -> None:
        """Record the usage at one host, or at the hosts of one data centre."""
        self.ledger.apply_report(
            received.digest.host.host_id, reported_usage(received), received.received_at
        )
        self.shares.update(received.received_at)

    def record_total_usage(self, received: ReceivedDigest) -> None:
        """Record the usage at all other hosts, as summed by the hub."""
        self.ledger.apply_fleet_report(
            received.digest.host.host_id, reported_usage(received), received.received_at
        )
        self.shares.update(received.received_at)

    def share_weight(self, organisation: Organisation | None) -> float:
        """Return the weight of an organisation's requests where room is scarce.

        It is above 0 and at most 1; 1 for requests without an organisation, and for
        organisations without a quota.
        """
        if organisation is None:
            return 1.0
        return self.shares.weight(organisation.name, self.clock.monotonic())

    def current_weights(self) -> dict[OrganisationName, float]:
        """Return the weights of the organisations that asked for something lately."""
        self.shares.update(self.clock.monotonic())
        return self.shares.weights

    def remove_peer(self, host_id: HostId) -> None:
        """Remove the usage of a peer that is lost."""
        self.ledger.forget_peer(host_id, self.clock.monotonic())

    def update_fleet_share(self) -> None:
        """Update the fraction of quotas that the reachable hosts may admit."""
        self.ledger.apply_share(self.fleet_size.live_fraction(), self.clock.monotonic())


def reported_usage(received: ReceivedDigest) -> ReportedUsage:
    """Return the usage of organisations that a digest reports."""
    digest = received.digest
    return ReportedUsage(
        digest.scope, digest.usage, seconds(digest.up_s), received.has_restarted
    )
