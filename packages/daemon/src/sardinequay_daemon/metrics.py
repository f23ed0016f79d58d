"""Metrics that a host exposes for Prometheus."""

from aioprometheus.collectors import Counter, Gauge, Histogram, Registry

STALL_BUCKETS_S = [0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0, 60.0]
LATENCY_BUCKETS_S = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 0.87, 2.5, 10.0, 60.0]


class HostMetrics:
    """Metrics common to all kinds of hosts."""

    def __init__(self, host_id: str, data_centre: str) -> None:
        self.registry = Registry()
        self.labels = {"host": host_id, "data_centre": data_centre}
        self.peer_bytes = self.counter(
            "peer_sent_bytes_total", "Bytes sent to peers by kind of message"
        )
        self.peer_messages = self.counter(
            "peer_sent_messages_total", "Messages sent to peers by kind"
        )
        self.target_ends = self.counter(
            "target_ends_total", "Targets that ended under requests, by pool"
        )
        self.unforeseen_errors = self.counter(
            "unforeseen_errors_total", "Errors of items that nobody foresaw, by kind"
        )
        self.callers_refused = self.counter(
            "callers_refused_total",
            "Callers whose bytes no handler saw, by listener and cause",
        )
        self.quarantined = self.gauge(
            "quarantined_contents", "Contents of requests that are held"
        )

    def counter(self, name: str, doc: str) -> Counter:
        """Register a counter."""
        return Counter(f"sardinequay_{name}", doc, self.labels, self.registry)

    def gauge(self, name: str, doc: str) -> Gauge:
        """Register a gauge."""
        return Gauge(f"sardinequay_{name}", doc, self.labels, self.registry)

    def histogram(self, name: str, doc: str, buckets: list[float]) -> Histogram:
        """Register a histogram."""
        name = f"sardinequay_{name}"
        return Histogram(name, doc, self.labels, self.registry, buckets=buckets)


class Metrics(HostMetrics):
    """All metrics of one host; each name contains its unit."""

    def __init__(self, host_id: str, data_centre: str) -> None:
        super().__init__(host_id, data_centre)
        self.requests = self.counter("requests_total", "Requests by outcome")
        self.refusals = self.counter("refusals_total", "Failed requests by reason")
        self.retries = self.counter("retries_total", "Further attempts by pool")
        self.resumes = self.counter("resumes_total", "Streams resumed by pool")
        self.loads = self.counter("loads_total", "Loads ordered by result")
        self.evictions = self.counter("evictions_total", "Evictions ordered by result")
        self.claims = self.counter("claims_total", "Claims by standing")
        self.bundle_refusals = self.counter(
            "bundle_refusals_total", "Bundles refused by reason"
        )
        self.platform_calls = self.counter(
            "platform_calls_total", "Calls to the platform by service"
        )
        self.in_flight = self.gauge("in_flight", "Requests in flight")
        self.bundle_version = self.gauge("bundle_version", "Version in force")
        self.bundle_age = self.gauge(
            "bundle_age_seconds", "Time since the version in force took effect"
        )
        self.roster_number = self.gauge("roster_number", "State of the host list")
        self.peers = self.gauge("peers", "Members seen alive, this host included")
        self.batch_fill = self.gauge("batch_fill", "Running requests by engine")
        self.load_stall = self.histogram(
            "load_stall_seconds", "Waits for an adapter to load", STALL_BUCKETS_S
        )
        self.first_byte = self.histogram(
            "first_byte_seconds", "Time to the first byte", LATENCY_BUCKETS_S
        )
