"""Keeps each stream at targets of the software version that began it.

Within one answer this host knows the version. For a caller that comes back with a
stream of another host it needs a record of it, or a pool that has had one version for
as long as streams last.
"""

import logging

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import PoolName, SoftwareVersion
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.serving import Repetition, ServingConfig
from sardinequay_core.software_history import stream_lifetime
from sardinequay_core.stream_records import (
    StreamKey,
    StreamRecord,
    StreamRecords,
    stream_key,
)

from .chosen_target import jittered_retry_after
from .errors import TargetError, TargetFault
from .exchange import RelayExchange
from .fleet_task import FleetTask
from .peers import PeerServer
from .progress import RequestRefusedError
from .relay_state import RelayState
from .serving_messages import Noted
from .serving_metrics import ServingMetrics
from .software_choice import version_of
from .store.task import StoreTask
from .stream_messages import (
    AskHistory,
    AskStream,
    HistoryReply,
    RecordStreams,
    StreamReply,
)
from .stream_record_client import FoundVersion, StreamRecordClient, VersionSource
from .unforeseen import CATALOGUE_KIND, DIGEST_KIND, subscribe_contained

UNKNOWN_RETRY = seconds(1)
"""Retry-after time of a stream whose version no host knows now: one that was not
reached may know it."""

UNKNOWN_SOURCE = "unknown"
"""Metric label of a version that no host knows."""

log = logging.getLogger(__name__)


class StreamVersions:
    """Records of streams' versions, this host's own and those kept for others."""

    def __init__(
        self,
        client: StreamRecordClient,
        state: RelayState,
        store: StoreTask,
        clock: Clock,
        metrics: ServingMetrics,
    ) -> None:
        self.client = client
        self.state = state
        self.history = state.software
        self.store = store
        self.clock = clock
        self.metrics = metrics
        self.records = StreamRecords()
        self.lifetime_config: ServingConfig | None = None
        self.lifetime = stream_lifetime(())

    def subscribe(self, fleet: FleetTask, server: PeerServer) -> None:
        """Follow the list of targets, and answer peers."""
        subscribe_contained(
            self.store.catalogues, self.apply_catalogue, self.metrics, CATALOGUE_KIND
        )
        subscribe_contained(
            fleet.digests, lambda _: self.apply_view(), self.metrics, DIGEST_KIND
        )
        server.register(RecordStreams, self.handle_records)
        server.register(AskStream, self.handle_ask)
        server.register(AskHistory, self.handle_ask_history)

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Record the versions that are listed now."""
        self.history.record_listed(catalogue.targets.values(), self.clock.monotonic())
        config = catalogue.config
        if config is not None and config is not self.lifetime_config:
            self.lifetime_config = config
            resumable = Repetition.RESUMABLE_STREAM
            timeouts = [r.timeout for r in config.routes if r.repetition is resumable]
            self.lifetime = stream_lifetime(timeouts)

    def apply_view(self) -> None:
        """Record as of when the list of targets is known to be complete."""
        viewed_at = self.store.freshness.proven_at
        if viewed_at is not None and not self.store.must_list:
            targets = self.store.catalogue.targets.values()
            self.history.apply_view(targets, viewed_at)

    def sole_version(self, pool: PoolName) -> SoftwareVersion | None:
        """Return the version of all streams that a pool may have begun, if one."""
        self.apply_view()
        return self.history.sole_version(pool, self.clock.monotonic(), self.lifetime)

    def key_of(self, exchange: RelayExchange) -> StreamKey:
        """Return the name of a request's stream."""
        organisation, terms = exchange.organisation, exchange.terms
        caller = terms.caller if organisation is None else organisation.name
        return stream_key(caller, exchange.pool, terms.stream_request)

    async def begin(self, exchange: RelayExchange, published: PublishedTarget) -> None:
        """Keep a stream to the version of the target that has sent its first event.

        Raises
        ------
        TargetError
            If the target may have been replaced by one of another version.
        """
        begun_with = exchange.software_version
        is_resumable = exchange.route.repetition is Repetition.RESUMABLE_STREAM
        if begun_with is None and not is_resumable:
            return
        version = published.software_version
        if version_of(self.state, published) != version:
            raise TargetError(TargetFault.BROKEN, "the target was replaced")
        if begun_with is not None:
            return
        exchange.software_version = version
        key, now = self.key_of(exchange), self.clock.monotonic()
        is_sure = self.sole_version(exchange.pool) == version
        record = StreamRecord(
            exchange.pool, version, now + self.lifetime, is_shared=not is_sure
        )
        self.records.add(key, record)
        if not is_sure:
            await self.client.send_first(exchange.terms.request_id, key, record)

    async def resolve(self, exchange: RelayExchange) -> None:
        """Find the version that must resume a request's stream, if it has events.

        Raises
        ------
        RequestRefusedError
            If no host knows the version.
        """
        is_stream = exchange.route.repetition.is_stream
        if not (is_stream and exchange.terms.resumes_stream):
            return
        key = self.key_of(exchange)
        found = self.find_here(key, exchange.pool)
        if found is None:
            left_s = exchange.time_left(self.clock.monotonic()).total_seconds()
            found = await self.client.find(key, exchange.pool, left_s)
        self.log_resumption(exchange, key, found)
        if found is None:
            raise RequestRefusedError(self.unknown_refusal())
        exchange.software_version = found.version
        until = self.clock.monotonic() + self.lifetime
        self.records.add(key, StreamRecord(exchange.pool, found.version, until, False))

    def find_here(self, key: StreamKey, pool: PoolName) -> FoundVersion | None:
        """Return the version that began a stream by what this host knows."""
        recorded = self.records.version_of(key, self.clock.monotonic())
        if recorded is not None:
            return FoundVersion(recorded, VersionSource.RECORD)
        sole = self.sole_version(pool)
        if sole is None:
            return None
        return FoundVersion(sole, VersionSource.SOLE_VERSION)

    def log_resumption(
        self, exchange: RelayExchange, key: StreamKey, found: FoundVersion | None
    ) -> None:
        """Log and count a request that resumes a stream."""
        source = found.source.value if found is not None else UNKNOWN_SOURCE
        self.metrics.stream_resumptions.inc({"source": source})
        log.info(
            "stream resumption",
            extra={
                "request": exchange.terms.request_id,
                "resumes": exchange.terms.resumed_request,
                "stream": key,
                "last_event": exchange.last_event,
                "software": found.version if found is not None else "",
                "source": source,
                "peer": found.peer if found is not None else "",
                "waited_s": round(exchange.waited_s(self.clock.monotonic()), 4),
            },
        )

    def unknown_refusal(self) -> Refusal:
        """Return the refusal of a stream whose version no host knows."""
        text = "no host knows which software version began the stream"
        wait = jittered_retry_after(self.state.random, UNKNOWN_RETRY)
        return not_run_refusal(Reason.STREAM_VERSION, text, wait)

    async def handle_records(self, message: RecordStreams) -> Noted:
        """Keep records of streams of another host."""
        now = self.clock.monotonic()
        for note in message.streams:
            until = now + min(self.lifetime, max(ZERO, seconds(note.lasts_s)))
            record = StreamRecord(note.pool, note.version, until, is_shared=True)
            self.records.add(note.key, record)
        return Noted()

    async def handle_ask(self, message: AskStream) -> StreamReply:
        """Tell another host which version began a stream."""
        found = self.find_here(message.key, message.pool)
        if found is None:
            return StreamReply(None)
        return StreamReply(found.version, found.source is VersionSource.RECORD)

    async def handle_ask_history(self, _: AskHistory) -> HistoryReply:
        """Tell another host which versions targets have had."""
        self.apply_view()
        return HistoryReply(self.history.report(self.clock.monotonic()))

    def do_housekeeping(self) -> None:
        """Drop what is over, and share records and history where they are needed."""
        self.apply_view()
        now = self.clock.monotonic()
        self.records.expire(now)
        # What is listed counts as seen also while the store is silent.
        listed = self.state.catalogue.targets.values()
        self.history.record_listed(listed, now)
        self.history.forget_before(now - self.lifetime * 2)
        if not self.history.is_complete(now, self.lifetime):
            self.client.start(self.fetch_history())
        self.share_records(now)

    def share_records(self, now: Instant) -> None:
        """Send records of pools that may have several versions to their holders."""
        config = self.state.catalogue.config
        pools = config.pools if config is not None else {}
        unsure = {pool for pool in pools if self.sole_version(pool) is None}
        self.client.send_all(self.records.share(unsure, now))

    async def fetch_history(self) -> None:
        """Learn from a peer which versions this host may have missed."""
        report = await self.client.fetch_history()
        if report is not None:
            self.history.merge(report, self.clock.monotonic())
