"""Rollout of bundles: the newest verified bundle is in force, never an older one.

A few hosts of each data centre watch the configuration service; the others receive new
bundles from peers, and read the service themselves from time to time, as what peers
offer may be lost on its way. Each host verifies every bundle itself, whatever its
source. A new host queries its peers before it is ready, so that a stale service cannot
make it serve an old bundle.
"""

import asyncio
import logging
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from datetime import datetime
from random import Random

from reactivex.subject import BehaviorSubject
from returns.result import Failure, Result, Success

from sardinequay_core.approval import (
    ApprovalPolicy,
    SignedRoot,
    parse_signed_root,
    root_digest,
)
from sardinequay_core.bundle import MISSING_BLOB, Bundle, assemble_bundle, missing_blobs
from sardinequay_core.bundle import compute_digest as blob_digest
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.errors import BundleError
from sardinequay_core.names import Address, Digest
from sardinequay_core.rollout import Confirmation, OfferedBundle, Rollout

from .errors import PlatformError
from .journal import Journal
from .mailbox import Mailbox
from .messages import BlobsReply, FetchBlobs, FetchRoot, InForce, RootReply
from .metrics import Metrics
from .peers import PeerClient
from .platform import ConfigurationService, PublishedValue
from .shared_settings import TimingSettings
from .unforeseen import record_unforeseen

RETRY_S = 0.5
OWN_READ_SHARE = 0.4
"""Time between two reads of a host that does not watch, as a part of the time within
which a bundle must be in force."""

OWN_READ_JITTER = 0.25
OWN_RETRY_SHARE = 0.1
FETCH_SHARE = 0.2
"""Timeout of a fetch of blobs from a peer, as a part of the same time: a silent peer
must leave time to read them from the service."""

BLOBS_PER_FETCH = 64
JOIN_PAUSE_S = 0.1
JOURNAL_SUBJECT = "bundle"
UNFORESEEN = "unforeseen"
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class PeerOffer:
    """Event: a peer announces the bundle that it has in force."""

    offered: OfferedBundle
    address: Address


@dataclass(frozen=True, slots=True)
class InstalledBundle:
    """Bundle in force, its signed root and the blobs that it was assembled from."""

    bundle: Bundle
    data: bytes
    blobs: dict[Digest, bytes]
    since: datetime


class RolloutTask:
    """Owns the bundle in force and publishes each change."""

    def __init__(
        self,
        trust: ApprovalPolicy,
        service: ConfigurationService,
        peers: PeerClient,
        timing: TimingSettings,
        metrics: Metrics,
        journal: Journal,
        clock: Clock,
        random: Random,
        is_reader: Callable[[], bool],
    ) -> None:
        self.rollout = Rollout(trust)
        self.service = service
        self.peers = peers
        self.timing = timing
        self.metrics = metrics
        self.journal = journal
        self.clock = clock
        self.random = random
        self.is_reader = is_reader
        self.next_own_read = clock.monotonic()
        self.installed: InstalledBundle | None = None
        self.bundles: BehaviorSubject[Bundle | None] = BehaviorSubject(None)
        self.revision = 0
        self.inbox = Mailbox()
        self.install_lock = asyncio.Lock()

    def in_force(self, roster_number: int) -> InForce:
        """Return the versions in force to send to peers."""
        if self.installed is None:
            return InForce(0, "", roster_number)
        bundle = self.installed.bundle
        return InForce(bundle.version, bundle.digest, roster_number)

    async def run(self, join_peers: Callable[[], Iterable[Address]]) -> None:
        """Query the peers, then watch the service and handle offers, for good.

        Parameters
        ----------
        join_peers : callable
            Returns the addresses of the peers to query at the start.
        """
        async with asyncio.TaskGroup() as group:
            group.create_task(self.handle_offers())
            await self.fetch_initial_roots(join_peers)
            group.create_task(self.watch())

    async def fetch_initial_roots(
        self, join_peers: Callable[[], Iterable[Address]]
    ) -> None:
        """Query what peers have in force before the service is trusted.

        A host that no peer has answered within the timeout continues alone and logs
        that.
        """
        bound_s = self.timing.join_wait_s
        try:
            async with asyncio.timeout(bound_s):
                while self.rollout.confirmation is Confirmation.PENDING:
                    await self.fetch_roots(list(join_peers()))
                    await asyncio.sleep(JOIN_PAUSE_S)
        except TimeoutError:
            self.rollout.confirmation = Confirmation.TIMED_OUT
            log.warning("no peer heard before serving", extra={"bound_s": bound_s})

    async def fetch_roots(self, addresses: list[Address]) -> None:
        """Request from several peers at once the root that they have in force."""
        calls = [self.peers.call(address, FetchRoot()) for address in addresses]
        replies = await asyncio.gather(*calls)
        for address, result in zip(addresses, replies, strict=True):
            reply = result.value_or(None)
            if not isinstance(reply, RootReply):
                continue
            if reply.data:
                await self.apply_root(reply.data, address)
            self.rollout.confirmation = Confirmation.PEERS

    async def watch(self) -> None:
        """Watch the service as a reader, else read it when that is due.

        A watch that fails or ends without a change is followed by a plain read: the
        service may have been replaced, and then its revisions cannot be compared with
        earlier ones.
        """
        while True:
            if not self.must_read():
                await asyncio.sleep(RETRY_S)
                continue
            wait_s = self.watch_wait_s() if self.revision else 0.0
            result = await self.service.watch_root(self.revision, wait_s)
            self.schedule_own_read(has_failed=not isinstance(result, Success))
            self.revision = await self.apply_value(result)
            if not self.revision or self.installed is None:
                await asyncio.sleep(RETRY_S)

    def must_read(self) -> bool:
        """Return whether this host must read the service now."""
        is_due = self.clock.monotonic() >= self.next_own_read
        return self.is_reader() or self.installed is None or is_due

    def watch_wait_s(self) -> float:
        """Return the wait of a watch, in seconds; only its end shows a dead one."""
        if not self.is_reader():
            return 0.0
        own_read_s = OWN_READ_SHARE * self.timing.change_in_force_s
        return min(self.timing.platform_wait_s, own_read_s)

    def schedule_own_read(self, has_failed: bool) -> None:
        """Set when this host reads next if it does not watch."""
        share = OWN_RETRY_SHARE if has_failed else OWN_READ_SHARE
        jitter = self.random.uniform(1 - OWN_READ_JITTER, 1)
        delay = seconds(share * jitter * self.timing.change_in_force_s)
        self.next_own_read = self.clock.monotonic() + delay

    async def apply_value(self, result: Result[PublishedValue, PlatformError]) -> int:
        """Apply a read value; return the revision to watch from, 0 to read anew."""
        if not isinstance(result, Success):
            error = str(result.failure())
            log.warning("configuration service not read", extra={"error": error})
            return 0
        value: PublishedValue = result.unwrap()
        if value.data is None or not await self.apply_root(value.data, None):
            return 0
        return value.revision

    async def handle_offers(self) -> None:
        """Fetch newer bundles from the peers that offer them."""
        while True:
            offer: PeerOffer = (await self.inbox.queue.get()).message
            if not self.rollout.should_fetch(offer.offered):
                continue
            reply = await self.peers.call(offer.address, FetchRoot())
            if isinstance(reply, Success) and isinstance(reply.unwrap(), RootReply):
                await self.apply_root(reply.unwrap().data, offer.address)

    async def apply_root(self, data: bytes, source: Address | None) -> bool:
        """Verify a signed root and put its bundle in force if newer and complete.

        Returns
        -------
        bool
            False if it is worth retrying because blobs of it could not be fetched.
        """
        async with self.install_lock:
            try:
                installation = await self.install_root(data, source)
            except Exception as error:
                record_unforeseen(self.metrics, "bundle", blob_digest(data), error)
                installation = Failure(BundleError(UNFORESEEN, repr(error)))
            if isinstance(installation, Success):
                return True
            self.record_refusal(installation.failure(), data)
            return installation.failure().reason != MISSING_BLOB

    async def install_root(
        self, data: bytes, source: Address | None
    ) -> Result[None, BundleError]:
        """Verify a signed root, and put its bundle in force if it is newer."""
        verified = self.rollout.check_root(data)
        if not isinstance(verified, Success):
            return Failure(verified.failure())
        signed = verified.unwrap()
        if signed is None:
            return Success(None)
        return await self.put_in_force(signed, data, source)

    def record_refusal(self, error: BundleError, data: bytes) -> None:
        """Count every refusal of a bundle, and log each refused bundle once."""
        self.metrics.bundle_refusals.inc({"reason": error.reason})
        digest = signed_root_digest(data)
        if not self.rollout.record_refusal(error, digest):
            return
        details = {"reason": error.reason, "detail": error.detail, "digest": digest}
        self.journal.record(JOURNAL_SUBJECT, "refused", **details)
        log.error("bundle refused", extra=details)

    async def put_in_force(
        self, signed: SignedRoot, data: bytes, source: Address | None
    ) -> Result[None, BundleError]:
        """Fetch the missing blobs of a newer bundle, assemble it and switch to it."""
        previous = self.installed
        blobs = dict(previous.blobs) if previous else {}
        while missing := sorted(missing_blobs(signed.root, blobs)):
            fetched = await self.fetch_blobs(missing, source)
            if not fetched:
                return Failure(
                    BundleError(
                        MISSING_BLOB, f"{len(missing)} blobs could not be fetched"
                    )
                )
            blobs.update(fetched)
        digest = root_digest(signed.root)
        assembled = assemble_bundle(
            signed.root, digest, blobs, previous.bundle if previous else None
        )
        if not isinstance(assembled, Success):
            return Failure(assembled.failure())
        bundle = assembled.unwrap()
        needed_digests = {
            signed.root.base,
            *signed.root.index,
            *(leaf.digest for leaf in bundle.leaves),
        }
        bundle_blobs = {d: blobs[d] for d in needed_digests}
        self.rollout.put_in_force(signed)
        self.installed = InstalledBundle(bundle, data, bundle_blobs, self.clock.now())
        self.metrics.bundle_version.set({}, bundle.version)
        self.journal.record(
            JOURNAL_SUBJECT, "in force", version=bundle.version, source=str(source)
        )
        log.info("bundle in force", extra={"bundle": bundle.version})
        self.bundles.on_next(bundle)
        return Success(None)

    async def fetch_blobs(
        self, missing: list[Digest], source: Address | None
    ) -> dict[Digest, bytes]:
        """Fetch blobs from the peer that offered the bundle, else from the service."""
        batch = missing[:BLOBS_PER_FETCH]
        if source is None:
            results = await asyncio.gather(*[self.service.blob(d) for d in batch])
            blobs = [f.unwrap() for f in results if isinstance(f, Success)]
        else:
            call_result = await self.peers.call(
                source,
                FetchBlobs(tuple(batch)),
                FETCH_SHARE * self.timing.change_in_force_s,
            )
            reply = call_result.value_or(None)
            blobs = list(reply.blobs) if isinstance(reply, BlobsReply) else []
        by_digest = {blob_digest(blob): blob for blob in blobs}
        return {d: by_digest[d] for d in batch if d in by_digest}

    async def handle_fetch_root(self, _: FetchRoot) -> RootReply:
        """Reply to a peer that requests the root in force."""
        return RootReply(self.installed.data if self.installed else b"")

    async def handle_fetch_blobs(self, message: FetchBlobs) -> BlobsReply:
        """Reply to a peer that requests blobs of the bundle in force."""
        blobs = self.installed.blobs if self.installed else {}
        return BlobsReply(tuple(blobs[d] for d in message.digests if d in blobs))


def signed_root_digest(data: bytes) -> Digest:
    """Return the digest of a signed root's content, or of the bytes if unparsable."""
    parsed = parse_signed_root(data)
    if isinstance(parsed, Success):
        return root_digest(parsed.unwrap().root)
    return blob_digest(data)
