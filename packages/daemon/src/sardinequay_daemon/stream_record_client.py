"""Exchange of streams' software versions with other hosts."""

import asyncio
import logging
from collections import defaultdict
from collections.abc import Coroutine, Iterable, Iterator, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random
from typing import Any, Protocol, TypeVar

from sardinequay_core.clock import Clock
from sardinequay_core.names import Address, HostId, PoolName, SoftwareVersion
from sardinequay_core.software_history import HistoryReport
from sardinequay_core.stream_records import (
    StreamKey,
    StreamRecord,
    hosts_to_ask,
    record_holders,
)

from .background_tasks import BackgroundTasks
from .peer_table import Peer
from .peers import PeerClient
from .serving_messages import Noted
from .serving_metrics import ServingMetrics
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
seconds. Without a record its caller cannot resume it; the stream itself continues."""

RECORDS_PER_MESSAGE = 128

T = TypeVar("T")
NamedRecord = tuple[StreamKey, StreamRecord]
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


class VersionSource(Enum):
    """How the version that began a stream is known; the value is the metric label."""

    RECORD = "record"
    SOLE_VERSION = "sole version"
    PEER_RECORD = "peer's record"
    PEER_SOLE_VERSION = "peer's sole version"


@dataclass(frozen=True, slots=True)
class FoundVersion:
    """The version that began a stream, and how it is known."""

    version: SoftwareVersion
    source: VersionSource
    peer: str = ""


class StreamRecordClient:
    """Sends records of streams to other hosts, and asks for theirs."""

    def __init__(
        self,
        me: HostId,
        fleet: StreamPeers,
        peers: PeerClient,
        clock: Clock,
        random: Random,
        metrics: ServingMetrics,
    ) -> None:
        self.me = me
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.tasks = BackgroundTasks("stream record")

    async def send_first(
        self, request_id: str, key: StreamKey, record: StreamRecord
    ) -> None:
        """Send a new stream's record to its holders, and wait until one has it."""
        holders = self.holders_of(key)
        calls = [self.send(holder, ((key, record),)) for holder in holders]
        is_held = await self.is_kept_in_time(calls)
        log.info(
            "stream recorded",
            extra={
                "request": request_id,
                "stream": key,
                "software": record.version,
                "holders": holders,
                "is_held": is_held,
            },
        )

    async def is_kept_in_time(self, calls: Sequence[asyncio.Task[bool]]) -> bool:
        """Wait until one of some calls has succeeded; the others go on."""
        try:
            async with asyncio.timeout(FIRST_RECORD_WAIT_S):
                for call in asyncio.as_completed(calls):
                    if await call:
                        return True
        except TimeoutError:
            return False
        return False

    def send_all(self, records: Iterable[NamedRecord]) -> None:
        """Send records to their holders, in the background."""
        by_holder: dict[HostId, list[NamedRecord]] = defaultdict(list)
        for key, record in records:
            for holder in self.holders_of(key):
                by_holder[holder].append((key, record))
        for holder, own in by_holder.items():
            for first in range(0, len(own), RECORDS_PER_MESSAGE):
                self.send(holder, own[first : first + RECORDS_PER_MESSAGE])

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

    def send(
        self, holder: HostId, records: Sequence[NamedRecord]
    ) -> asyncio.Task[bool]:
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

    async def call_holder(self, holder: HostId, message: RecordStreams) -> bool:
        """Send records to a host; count and return whether it keeps them."""
        address = self.fleet.address_of(holder)
        reply = None
        if address is not None:
            answer = await self.peers.call(address, message, RECORD_TIMEOUT_S)
            reply = answer.value_or(None)
        is_kept = isinstance(reply, Noted)
        result = "kept" if is_kept else "failed"
        self.metrics.stream_records.add({"result": result}, len(message.streams))
        return is_kept

    def start(self, work: Coroutine[Any, Any, T]) -> asyncio.Task[T]:
        """Start a task that ends by itself."""
        return self.tasks.start(work)

    async def find(
        self, key: StreamKey, pool: PoolName, left_s: float
    ) -> FoundVersion | None:
        """Return the version that began a stream by the first peer that knows it.

        Parameters
        ----------
        left_s : float
            Time left for the request, in seconds.
        """
        hosts = hosts_to_ask(key, self.other_hosts(), self.near_hosts())
        message = AskStream(key, pool)
        asks = [asyncio.create_task(self.ask(host, message)) for host in hosts]
        try:
            async with asyncio.timeout(min(ASK_TIMEOUT_S, max(0.0, left_s))):
                for reply in asyncio.as_completed(asks):
                    found = await reply
                    if found is not None:
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
        source = VersionSource.PEER_SOLE_VERSION
        if reply.is_recorded:
            source = VersionSource.PEER_RECORD
        return FoundVersion(reply.version, source, host)

    async def fetch_history(self) -> HistoryReport | None:
        """Return which versions a peer has seen; None if it does not say."""
        live = [peer.contact.host_id for peer in self.fleet.live_peers()]
        if not live:
            return None
        address = self.fleet.address_of(self.random.choice(live))
        if address is None:
            return None
        answer = await self.peers.call(address, AskHistory(), ASK_TIMEOUT_S)
        reply = answer.value_or(None)
        return reply.report if isinstance(reply, HistoryReply) else None
