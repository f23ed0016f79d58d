"""The parts of a host that follow the store, connected with one another."""

from random import Random

from sardinequay_core.clock import Clock, seconds
from sardinequay_core.freshness import FreshnessStatement
from sardinequay_core.read_times import ReadTimes, read_times

from ..fleet_task import FleetTask, ReceivedDigest
from ..peers import PeerClient, PeerServer
from ..serving_messages import FetchItems
from ..serving_metrics import ServingMetrics
from ..serving_ports import HostProfile, MetadataStore, ServingBounds
from ..unforeseen import DIGEST_KIND, subscribe_contained
from .item_fetcher import ItemFetcher
from .reader import StoreReader, head_start_s
from .task import StoreTask, is_stated_age


class StoreParts:
    """Creates and connects the parts."""

    def __init__(
        self,
        store: MetadataStore,
        profile: HostProfile,
        fleet: FleetTask,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        metrics: ServingMetrics,
    ) -> None:
        self.bounds = profile.bounds
        self.fleet = fleet
        self.metrics = metrics
        self.task = StoreTask(
            store,
            clock,
            self.bounds.entry_return,
            self.bounds.change_in_force,
            metrics,
        )
        self.reader = StoreReader(
            store,
            self.task,
            clock,
            random,
            fleet.is_reader,
            fleet.is_substitute_reader,
            self.times,
            metrics,
            head_start_s(profile.link_mbps, profile.is_first_start),
        )
        self.fetcher = ItemFetcher(self.task, peers, fleet, clock, self.times)

    def subscribe(self, server: PeerServer) -> None:
        """Follow peers' digests, announce news, and answer peers."""
        self.task.own_news.subscribe(self.announce_news)
        for handler in (self.record_statement, self.fetcher.handle_digest):
            subscribe_contained(self.fleet.digests, handler, self.metrics, DIGEST_KIND)
        self.fleet.lost_peers.subscribe(self.fetcher.forget_peer)
        server.register(FetchItems, self.task.handle_fetch)

    def times(self) -> ReadTimes:
        """Return the durations by which this host follows the store."""
        bounds = self.bounds
        return read_times(
            bounds.change_in_force, bounds.store_reads_per_s, self.fleet.live_hosts
        )

    def apply_bounds(self, bounds: ServingBounds) -> None:
        """Apply changed settings."""
        self.bounds = bounds
        self.task.budget = bounds.change_in_force

    def announce_news(self, _: int) -> None:
        """Announce what this host has read in the store to its data centre at once."""
        self.fleet.request_update(far=False)

    def record_statement(self, received: ReceivedDigest) -> None:
        """Record what a peer states of the store, dated by this host's clock."""
        digest = received.digest
        self.task.record_peer_revision(digest.store_revision)
        if received.built_at is None or not is_stated_age(digest.store_age_s):
            return
        as_of = received.built_at - seconds(digest.store_age_s)
        self.task.record_statement(FreshnessStatement(digest.news_revision, as_of))

    def can_serve(self) -> bool:
        """Return whether there is a configuration with targets to serve by.

        After its start these must have been up to date once, as a peer may send what it
        had before a long pause; while the store is away, nothing newer can be had.
        """
        catalogue = self.task.catalogue
        is_usable = self.task.was_current or self.reader.failures > 1
        return catalogue.config is not None and bool(catalogue.targets) and is_usable

    def do_housekeeping(self) -> None:
        """Update the gauge of the copy's age, and log a host that is behind."""
        self.metrics.store_age.set({}, min(self.task.age_s(), 1e6))
        self.metrics.unreadable_items.set({}, len(self.task.decoder.unreadable))
        self.task.log_behind()
