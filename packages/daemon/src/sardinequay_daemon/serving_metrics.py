"""Metrics of a host that serves requests of any kind."""

from collections.abc import Mapping

from sardinequay_core.organisations import OrganisationName

from .metrics import HostMetrics

LATENCY_BUCKETS_S = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4, 15.0,
]  # fmt: skip


MAX_ORGANISATIONS = 50
"""Maximum number of organisations with a label of their own; further ones share a
label."""

OTHER_ORGANISATIONS = "others"


class ServingMetrics(HostMetrics):
    """Counters, gauges and latency histograms; each name contains its unit."""

    def __init__(self, host_id: str, data_centre: str) -> None:
        super().__init__(host_id, data_centre)
        self.requests = self.counter("requests_total", "Requests by route and status")
        self.refusals = self.counter("refusals_total", "Refused requests by reason")
        self.attempts = self.counter("attempts_total", "Attempts by pool and result")
        self.sends = self.counter("sends_total", "Requests sent to targets, by pool")
        self.repeats = self.counter(
            "repeats_total", "Further attempts wanted, by pool and whether permitted"
        )
        self.orders = self.counter("orders_total", "Orders to engines by kind, result")
        self.store_reads = self.counter("store_reads_total", "Reads of the store")
        self.store_age = self.gauge(
            "store_age_seconds", "How old this host's copy of the store may be"
        )
        self.unreadable_items = self.gauge(
            "unreadable_store_items",
            "Items of the store that cannot be used",
        )
        self.left_unread = self.counter(
            "connections_left_unread_total", "New connections that were closed unread"
        )
        self.held_bytes = self.gauge(
            "caller_held_bytes", "Bytes that callers' connections hold"
        )
        self.connections_cut = self.counter(
            "connections_cut_total", "Connections cut for the bytes that they hold"
        )
        self.loop_lag = self.gauge(
            "loop_lag_seconds", "By how much the event loop runs late"
        )
        self.left_out = self.counter("targets_left_out_total", "Targets left out")
        self.in_flight = self.gauge("in_flight", "Requests in flight")
        self.config_version = self.gauge("config_version", "Version in force")
        self.log_lines_left_out = self.gauge(
            "log_lines_left_out", "Log lines that wait to be told as left out"
        )
        self.first_byte = self.histogram(
            "first_byte_seconds", "Time to the first byte by route", LATENCY_BUCKETS_S
        )
        self.whole_answer = self.histogram(
            "answer_seconds", "Time to the end of the answer", LATENCY_BUCKETS_S
        )
        self.over_quota = self.counter(
            "over_quota_total", "Requests beyond a quota, by organisation"
        )
        self.target_limit = self.gauge(
            "target_limit_per_second", "Limits that targets state"
        )
        self.target_brittle = self.gauge(
            "target_rejections_per_second", "Rejections that brittle targets bear"
        )
        self.leaving_targets = self.gauge(
            "leaving_targets", "Targets that have stated that they leave"
        )
        self.slowed_targets = self.gauge(
            "slowed_targets", "Targets that state now that work takes longer than usual"
        )
        self.target_backoffs = self.gauge(
            "target_backoffs", "Targets that have asked this host for a backoff"
        )
        self.sends_withheld = self.counter(
            "sends_withheld_total",
            "Requests kept from chosen targets, by their statement",
        )
        self.room_permits = self.counter(
            "room_permits_total", "Requests for room at brittle targets, by result"
        )
        self.permits = self.counter(
            "send_permits_total", "Permits to send to limited targets, by result"
        )
        self.stream_records = self.counter(
            "stream_records_total", "Records of streams sent to peers, by result"
        )
        self.stream_resumptions = self.counter(
            "stream_resumptions_total", "Streams resumed, by how their version is known"
        )
        self.lost_paths = self.gauge(
            "lost_target_paths", "Targets that this host reaches only through peers"
        )
        self.is_cut_off = self.gauge(
            "cut_off_from_targets", "1 while this host appears to reach no target"
        )
        self.tunnels = self.counter(
            "tunnels_total", "Connections to targets through peers, by result"
        )
        self.tunnels_served = self.counter(
            "tunnels_served_total", "Connections to targets for peers, by result"
        )
        self.overdue_versions = self.gauge(
            "overdue_adapter_versions",
            "Adapters of which engines hold an older version for too long",
        )
        self.share_weight = self.gauge(
            "organisation_share_weight",
            "Lowest weight of an organisation's requests that wait for adapters",
        )
        self.share_labels: set[str] = set()
        self.organisations: set[str] = set()
        self.load_wait = self.histogram(
            "load_wait_seconds", "Waits for an adapter", LATENCY_BUCKETS_S
        )

    def set_share_weights(self, weights: Mapping[OrganisationName, float]) -> None:
        """Set the weights of organisations; those that share a label show the least.

        An organisation is shown from when its weight is first below 1.
        """
        lowest = dict.fromkeys(self.share_labels, 1.0)
        for name, weight in weights.items():
            if weight < 1:
                label = self.organisation_label(name)
                lowest[label] = min(weight, lowest.get(label, 1.0))
        self.share_labels.update(lowest)
        for label, weight in lowest.items():
            self.share_weight.set({"organisation": label}, weight)

    def organisation_label(self, name: str) -> str:
        """Return the metric label of an organisation."""
        if name not in self.organisations and len(self.organisations) >= (
            MAX_ORGANISATIONS
        ):
            return OTHER_ORGANISATIONS
        self.organisations.add(name)
        return name
