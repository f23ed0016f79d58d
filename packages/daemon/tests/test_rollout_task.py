"""RolloutTask: reading the service, verification and refusal of bundles."""

import asyncio
from collections.abc import Mapping
from random import Random

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Failure, Result, Success

from sardinequay_core.approval import (
    ApprovalPolicy,
    SignedRoot,
    add_approval,
    encode_signed_root,
)
from sardinequay_core.bundle import Contents, build_bundle
from sardinequay_core.names import Digest
from sardinequay_core.rollout import Confirmation, Rollout
from sardinequay_daemon.errors import PlatformError
from sardinequay_daemon.journal import Journal
from sardinequay_daemon.metrics import Metrics
from sardinequay_daemon.peers import PeerClient
from sardinequay_daemon.platform import PublishedValue
from sardinequay_daemon.rollout_task import RolloutTask
from sardinequay_daemon.shared_settings import TimingSettings

KEY = Ed25519PrivateKey.from_private_bytes(b"k" * 32)
TRUST = ApprovalPolicy({"ana": KEY.public_key().public_bytes_raw().hex()}, 1)


def published(version: int) -> tuple[bytes, Mapping[Digest, bytes]]:
    built = build_bundle(Contents(), version)
    return encode_signed_root(
        add_approval(SignedRoot(built.root), "ana", KEY)
    ), built.blobs


class FakeService:
    """Configuration service with a state set by the test."""

    def __init__(self) -> None:
        self.revision = 0
        self.data = b""
        self.blobs: dict[Digest, bytes] = {}

    def publish(self, version: int, revision: int) -> None:
        self.data, blobs = published(version)
        self.blobs.update(blobs)
        self.revision = revision

    async def watch_root(
        self, after: int, wait_s: float
    ) -> Result[PublishedValue, PlatformError]:
        if self.revision <= after:
            await asyncio.sleep(0.01)
        is_later = self.revision > after
        return Success(PublishedValue(self.revision, self.data if is_later else None))

    async def blob(self, digest: Digest) -> Result[bytes, PlatformError]:
        if digest in self.blobs:
            return Success(self.blobs[digest])
        return Failure(PlatformError("configuration", "404"))


@pytest.fixture
def service() -> FakeService:
    return FakeService()


@pytest.fixture
def task(
    service: FakeService, timing: TimingSettings, metrics: Metrics, clock
) -> RolloutTask:
    peers = PeerClient(timing, metrics, "127.0.0.1")
    rollout_task = RolloutTask(
        TRUST,
        service,
        peers,
        timing,
        metrics,
        Journal(clock),
        clock,
        Random(1),
        lambda: True,
    )
    rollout_task.rollout.confirmation = Confirmation.PEERS
    return rollout_task


async def in_force(task: RolloutTask, version: int) -> None:
    async with asyncio.timeout(10):
        while task.rollout.version() != version:
            await asyncio.sleep(0.01)


@pytest.mark.parametrize("revision", [1, 5])
async def test_service_with_restarted_revisions_is_read_again(
    task: RolloutTask, service: FakeService, revision: int
) -> None:
    # A replaced service counts its revisions from the start. Its current revision may
    # be below the last one read, or equal to it with another content.
    service.publish(1, revision=5)
    watch = asyncio.create_task(task.watch())
    await in_force(task, 1)
    service.publish(2, revision=revision)
    await in_force(task, 2)
    watch.cancel()


async def test_bundle_reaches_a_host_to_which_no_peer_sends_it(
    task: RolloutTask, service: FakeService, clock, timing: TimingSettings
) -> None:
    """Only readers read the service, and what peers offer may be lost on its way."""
    service.publish(1, revision=1)
    watch = asyncio.create_task(task.watch())
    await in_force(task, 1)
    task.is_reader = lambda: False
    await asyncio.sleep(0.05)
    service.publish(2, revision=2)
    assert not task.must_read()
    clock.advance(timing.change_in_force_s / 2)
    await in_force(task, 2)
    watch.cancel()


def test_hosts_that_do_not_watch_read_at_different_times(task, clock, timing) -> None:
    task.is_reader = lambda: False
    delays = set()
    for _ in range(20):
        task.schedule_own_read(has_failed=False)
        delay_s = (task.next_own_read - clock.monotonic()).total_seconds()
        assert delay_s <= 0.4 * timing.change_in_force_s
        delays.add(delay_s)
    assert len(delays) == 20


async def test_missing_blob_is_fetched_again(
    task: RolloutTask, service: FakeService
) -> None:
    service.publish(1, revision=1)
    hidden, service.blobs = service.blobs, {}
    watch = asyncio.create_task(task.watch())
    await asyncio.sleep(0.1)
    assert task.rollout.version() == 0
    service.blobs = hidden
    await in_force(task, 1)
    watch.cancel()


async def test_older_bundle_is_refused_and_logged_once(
    task: RolloutTask, service: FakeService, caplog: pytest.LogCaptureFixture
) -> None:
    service.publish(2, revision=1)
    watch = asyncio.create_task(task.watch())
    await in_force(task, 2)
    old, _ = published(1)
    await task.apply_root(old, None)
    await task.apply_root(old, None)
    watch.cancel()
    assert task.rollout.version() == 2
    assert [r.message for r in caplog.records].count("bundle refused") == 1
    assert [reason for reason, _ in task.rollout.refused] == ["older"]


async def test_root_that_nests_too_deep_is_refused_and_the_next_one_installed(
    task: RolloutTask, service: FakeService
) -> None:
    """Guards against the end of all hosts by one published value."""
    service.data, service.revision = b'{"more": ' + b"[" * 5_000, 1
    watch = asyncio.create_task(task.watch())
    await asyncio.sleep(0.05)
    service.publish(2, revision=2)
    await in_force(task, 2)
    watch.cancel()


async def test_root_that_fails_unforeseen_is_refused_and_counted(
    task: RolloutTask, service: FakeService, metrics: Metrics, monkeypatch
) -> None:
    def fail(rollout: Rollout, data: bytes):
        raise KeyError("unforeseen")

    with monkeypatch.context() as patch:
        patch.setattr(Rollout, "check_root", fail)
        assert await task.apply_root(b"{}", None)
    assert metrics.unforeseen_errors.get({"kind": "bundle"}) == 1
    service.publish(1, revision=1)
    assert await task.apply_root(service.data, None)
    assert task.rollout.version() == 1
