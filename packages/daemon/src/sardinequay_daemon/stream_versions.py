"""Keeps each stream at targets of the software version that began it.

Within one answer this host knows the version. For a caller that comes back with a
stream of another host it needs a record of it, or a pool that has had one version for
as long as streams last.
"""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Coroutine, Iterator, Sequence
from dataclasses import dataclass
from random import Random
from typing import Protocol

from sardinequay_core.catalogue import Catalogue, PublishedTarget
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import Address, HostId, PoolName, SoftwareVersion
from sardinequay_core.outcome import Reason, Refusal, not_run_refusal
from sardinequay_core.serving import Repetition, ServingConfig
from sardinequay_core.software_history import stream_lifetime
from sardinequay_core.stream_records import (
    StreamKey,
    StreamRecord,
    StreamRecords,
    hosts_to_ask,
    record_holders,
    stream_key,
)

from .chosen_target import jittered_retry_after
from .errors import TargetError, TargetFault
from .exchange import RelayExchange
from .fleet_task import ReceivedDigest
from .peer_table import Peer
from .peers import PeerClient
from .progress import RequestRefusedError
from .relay_state import RelayState
from .serving_messages import Noted
from .serving_metrics import ServingMetrics
from .store_task import StoreTask
from .stream_messages import (
    AskHistory,
    AskStream,
    HistoryReply,
    RecordStreams,
    StreamNote,
    StreamReply,
)

ASK_TIMEOUT_S = 0.25
RECORD_TIMEOUT_S = 0.3
FIRST_RECORD_WAIT_S = 0.05
"""How long the first event of a stream is held until another host has its record, in
seconds. Without a record its caller cannot come back; the stream itself goes on."""

RECORDS_PER_MESSAGE = 128
UNKNOWN_RETRY = seconds(1)
"""Retry-after time of a stream whose version no host knows now: one that was not
reached may know it."""

log = logging.getLogger(__name__)


class StreamPeers(Protocol):
    """What records of streams need of the fleet."""

    def known_to_all(self) -> list[HostId]:
        """Return live hosts that all hosts know."""

    def live_peers(self) -> tuple[Peer, ...]:
        """Return the live peers that are not leaving."""

    def is_near(self, peer: Peer) -> bool:
        """Return whether a peer is in this host's data centre."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return the peer address of a host, if known."""


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """The version that began a stream, and how it is known."""

    version: SoftwareVersion
    source: str
    peer: str = ""


class StreamVersions:
    """Records of streams' versions, this host's own and those kept for others."""

    def __init__(
        self,
        me: HostId,
        state: RelayState,
        store: StoreTask,
        fleet: StreamPeers,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        metrics: ServingMetrics,
    ) -> None:
        self.me = me
        self.state = state
        self.history = state.software
        self.store = store
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.records = StreamRecords()
        self.tasks: set[asyncio.Task[object]] = set()
        self.lifetime_config: ServingConfig | None = None
        self.lifetime = stream_lifetime(())

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Record the versions that are listed now."""
        self.history.record_listed(catalogue.targets.values(), self.clock.monotonic())
        config = catalogue.config
        if config is not None and config is not self.lifetime_config:
            self.lifetime_config = config
            resumable = Repetition.RESUMABLE_STREAM
            timeouts = [r.timeout for r in config.routes if r.repetition is resumable]
            self.lifetime = stream_lifetime(timeouts)

    def apply_digest(self, received: ReceivedDigest) -> None:
        """Record as of when the list of targets is known, through a peer."""
        digest, catalogue = received.digest, self.store.catalogue
        if digest.news_revision > catalogue.revision:
            return
        if digest.store_age_s == float("inf"):
            return
        viewed_at = received.received_at - seconds(digest.store_age_s)
        self.history.apply_view(catalogue.targets.values(), viewed_at)

    def apply_own_view(self) -> None:
        """Record as of when the list of targets is known, by own reads of the store."""
        if self.store.last_read_at is not None and not self.store.must_list:
            targets = self.store.catalogue.targets.values()
            self.history.apply_view(targets, self.store.last_read_at)

    def sole_version(self, pool: PoolName) -> SoftwareVersion | None:
        """Return the version of all streams that a pool may have begun, if one."""
        self.apply_own_view()
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
        if exchange.software_version is not None:
            return
        if exchange.route.repetition is not Repetition.RESUMABLE_STREAM:
            return
        listed = self.state.catalogue.targets.get(published.target.target_id)
        version = published.software_version
        if listed is not None and listed.software_version != version:
            raise TargetError(TargetFault.BROKEN, "the target was replaced")
        exchange.software_version = version
        key, now = self.key_of(exchange), self.clock.monotonic()
        is_sure = self.sole_version(exchange.pool) == version
        record = StreamRecord(
            exchange.pool, version, now + self.lifetime, is_shared=not is_sure
        )
        self.records.add(key, record)
        if not is_sure:
            await self.share_first_record(exchange, key, record)

    async def share_first_record(
        self, exchange: RelayExchange, key: StreamKey, record: StreamRecord
    ) -> None:
        """Send a new stream's record to its holders, and wait until one has it."""
        holders = self.holders_of(key)
        tasks = [self.send_records(holder, ((key, record),)) for holder in holders]
        if tasks:
            await asyncio.wait(
                tasks,
                timeout=FIRST_RECORD_WAIT_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
        log.info(
            "stream recorded",
            extra={
                "request": exchange.terms.request_id,
                "stream": key,
                "software": record.version,
                "holders": holders,
                "is_held": any(task.done() for task in tasks),
            },
        )

    def holders_of(self, key: StreamKey) -> list[HostId]:
        """Return the other hosts that get a stream's record."""
        return record_holders(key, self.other_hosts(), self.near_hosts())

    def other_hosts(self) -> list[HostId]:
        """Return the other live hosts that all hosts know."""
        return [host for host in self.fleet.known_to_all() if host != self.me]

    def near_hosts(self) -> Iterator[HostId]:
        """Yield the other live hosts of this data centre."""
        for peer in self.fleet.live_peers():
            if self.fleet.is_near(peer):
                yield peer.contact.host_id

    def send_records(
        self, holder: HostId, records: Sequence[tuple[StreamKey, StreamRecord]]
    ) -> asyncio.Task[object]:
        """Send records to a host, in the background."""
        now = self.clock.monotonic()
        notes = tuple(
            StreamNote(
                key,
                record.pool,
                record.version,
                round((record.until - now).total_seconds(), 1),
            )
            for key, record in records
        )
        return self.start(self.call_holder(holder, RecordStreams(notes)))

    async def call_holder(self, holder: HostId, message: RecordStreams) -> None:
        """Send records to a host and count whether it has them."""
        address = self.fleet.address_of(holder)
        reply = None
        if address is not None:
            answer = await self.peers.call(address, message, RECORD_TIMEOUT_S)
            reply = answer.value_or(None)
        result = "kept" if isinstance(reply, Noted) else "failed"
        self.metrics.stream_records.add({"result": result}, len(message.streams))

    def start(self, work: Coroutine[object, object, object]) -> asyncio.Task[object]:
        """Start a task that ends by itself."""
        task: asyncio.Task[object] = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def resolve(self, exchange: RelayExchange) -> None:
        """Find the version that a request's stream must go on with, if it has events.

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
            found = await self.find_at_peers(key, exchange)
        self.log_take_up(exchange, key, found)
        if found is None:
            raise RequestRefusedError(self.unknown_refusal())
        exchange.software_version = found.version
        until = self.clock.monotonic() + self.lifetime
        self.records.add(key, StreamRecord(exchange.pool, found.version, until, False))

    def find_here(self, key: StreamKey, pool: PoolName) -> FoundVersion | None:
        """Return the version that began a stream by what this host knows."""
        recorded = self.records.version_of(key, self.clock.monotonic())
        if recorded is not None:
            return FoundVersion(recorded, "record")
        sole = self.sole_version(pool)
        return FoundVersion(sole, "sole version") if sole is not None else None

    async def find_at_peers(
        self, key: StreamKey, exchange: RelayExchange
    ) -> FoundVersion | None:
        """Return the version that began a stream by the first peer that knows it."""
        hosts = hosts_to_ask(key, self.other_hosts(), self.near_hosts())
        message = AskStream(key, exchange.pool)
        left_s = exchange.time_left(self.clock.monotonic()).total_seconds()
        asks = [self.start(self.ask(host, message)) for host in hosts]
        try:
            async with asyncio.timeout(min(ASK_TIMEOUT_S, max(0.0, left_s))):
                for reply in asyncio.as_completed(asks):
                    found = await reply
                    if isinstance(found, FoundVersion):
                        return found
        except TimeoutError:
            return None
        finally:
            for ask in asks:
                ask.cancel()
        return None

    async def ask(self, host: HostId, message: AskStream) -> FoundVersion | None:
        """Ask a host for the version that began a stream."""
        address = self.fleet.address_of(host)
        if address is None:
            return None
        answer = await self.peers.call(address, message, ASK_TIMEOUT_S)
        reply = answer.value_or(None)
        if not isinstance(reply, StreamReply) or reply.version is None:
            return None
        source = "peer's record" if reply.is_recorded else "peer's sole version"
        return FoundVersion(reply.version, source, host)

    def log_take_up(
        self, exchange: RelayExchange, key: StreamKey, found: FoundVersion | None
    ) -> None:
        """Log and count a request that goes on with a stream."""
        source = found.source if found is not None else "unknown"
        self.metrics.stream_take_ups.inc({"source": source})
        log.info(
            "stream taken up",
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
        wait = jittered_retry_after(self.random, UNKNOWN_RETRY)
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
        return StreamReply(found.version, found.source == "record")

    async def handle_ask_history(self, _: AskHistory) -> HistoryReply:
        """Tell another host which versions targets have had."""
        self.apply_own_view()
        return HistoryReply(self.history.report(self.clock.monotonic()))

    def do_housekeeping(self) -> None:
        """Drop what is over, and share records and history where they are needed."""
        self.apply_own_view()
        now = self.clock.monotonic()
        self.records.expire(now)
        self.history.forget_before(now - self.lifetime * 2)
        if not self.history.is_complete(now, self.lifetime):
            self.start(self.fetch_history())
        self.share_records(now)

    def share_records(self, now: Instant) -> None:
        """Send records of pools that may have several versions to their holders."""
        config = self.state.catalogue.config
        pools = config.pools if config is not None else {}
        unsure = {pool for pool in pools if self.sole_version(pool) is None}
        by_holder: dict[HostId, list[tuple[StreamKey, StreamRecord]]]
        by_holder = defaultdict(list)
        for key, record in self.records.share(unsure, now):
            for holder in self.holders_of(key):
                by_holder[holder].append((key, record))
        for holder, records in by_holder.items():
            for first in range(0, len(records), RECORDS_PER_MESSAGE):
                self.send_records(holder, records[first : first + RECORDS_PER_MESSAGE])

    async def fetch_history(self) -> None:
        """Ask a peer for the versions that this host may have missed."""
        live = [peer.contact.host_id for peer in self.fleet.live_peers()]
        if not live:
            return
        address = self.fleet.address_of(self.random.choice(live))
        if address is None:
            return
        answer = await self.peers.call(address, AskHistory(), ASK_TIMEOUT_S)
        reply = answer.value_or(None)
        if isinstance(reply, HistoryReply) and reply.report is not None:
            self.history.merge(reply.report, self.clock.monotonic())
