"""Who permits what is sent to limited targets, and what happens without a permit."""

import asyncio

import pytest
from returns.result import Failure, Result, Success

from sardinequay_core.clock import seconds
from sardinequay_core.names import Address, HostId
from sardinequay_daemon.errors import PeerError
from sardinequay_daemon.statements.issuer_client import NO_ISSUER_PAUSE
from sardinequay_daemon.statements.limit_messages import AskToSend, SendReply
from sardinequay_daemon.statements.limit_recorder import LimitRecorder
from sardinequay_daemon.statements.permit_issuer import PermitIssuer
from sardinequay_daemon.statements.permit_request import PermitRequest
from sardinequay_daemon.statements.target_limiter import TargetLimiter

from .conftest import ManualClock
from .limit_helpers import TARGET, TARGET_ID, hear, news, rate

ME, ISSUER = HostId("h1"), HostId("h2")


class Fleet:
    """Fleet in which one other host issues all permits."""

    def __init__(self) -> None:
        self.hosts = [ISSUER]
        self.address: Address | None = Address("127.0.0.1", 1)

    def known_to_all(self) -> list[HostId]:
        return self.hosts

    def address_of(self, host_id: HostId) -> Address | None:
        return self.address


class Peers:
    """Client whose calls a test answers."""

    def __init__(self) -> None:
        self.reply: Result[object, PeerError] = Success(SendReply(0.0))
        self.asked: list[AskToSend] = []

    async def call(self, address, message, timeout_s=None):
        self.asked.append(message)
        return self.reply


@pytest.fixture
def fleet() -> Fleet:
    return Fleet()


@pytest.fixture
def peers() -> Peers:
    return Peers()


@pytest.fixture
def limiter(
    recorder: LimitRecorder,
    issuer: PermitIssuer,
    fleet: Fleet,
    peers: Peers,
    clock: ManualClock,
) -> TargetLimiter:
    return TargetLimiter(ME, recorder, issuer, fleet, peers, clock, recorder.metrics)


async def test_target_without_a_limit_needs_no_permit(limiter, peers) -> None:
    assert await limiter.may_send(PermitRequest("r1", TARGET, None))
    assert peers.asked == []


async def test_limited_target_is_asked_for_at_its_issuer(limiter, peers) -> None:
    hear(limiter.recorder, 2.0)
    assert await limiter.may_send(PermitRequest("r1", TARGET, None))
    assert peers.asked == [AskToSend(ME, None, news())]


async def test_denied_target_is_left_out_until_a_permit_is_expected(
    limiter, peers, clock
) -> None:
    hear(limiter.recorder, 2.0)
    peers.reply = Success(SendReply(None, 0.5, 2.0))
    assert not await limiter.may_send(PermitRequest("r1", TARGET, None))
    now, target = clock.monotonic(), TARGET_ID
    assert limiter.limits.permit_wait_s(target, can_wait=True, now=now) == 0.5
    assert limiter.limits.permit_wait_s(target, can_wait=False, now=now) == 2.0


async def test_nothing_is_sent_to_a_limited_target_while_no_issuer_answers(
    limiter, peers, clock
) -> None:
    hear(limiter.recorder, 2.0)
    peers.reply = Failure(PeerError("h2", "cut off"))
    assert not await limiter.may_send(PermitRequest("r1", TARGET, None))
    wait_s = limiter.limits.permit_wait_s(TARGET_ID, True, clock.monotonic())
    assert wait_s == NO_ISSUER_PAUSE.total_seconds()


async def test_host_does_not_issue_in_place_of_an_issuer_whose_address_it_lacks(
    limiter, fleet, clock
) -> None:
    """Each host that issues by itself adds the whole limit once more."""
    hear(limiter.recorder, 2.0)
    limiter.issuer.issue(AskToSend(ME, None, news()))
    clock.advance(5)
    fleet.address = None
    assert not await limiter.may_send(PermitRequest("r1", TARGET, None))


async def test_issuer_that_heard_the_limit_end_lets_all_send(limiter, peers) -> None:
    hear(limiter.recorder, 2.0)
    limiter.clock.advance(1)
    peers.reply = Success(SendReply(0.0, news=news(None)))
    assert await limiter.may_send(PermitRequest("r1", TARGET, None))
    assert rate(limiter.recorder) is None


async def test_permit_that_was_waited_for_is_void_when_the_limit_has_fallen(
    limiter, peers
) -> None:
    hear(limiter.recorder, 4.0)
    peers.reply = Success(SendReply(0.01))
    waiting = asyncio.create_task(
        limiter.may_send(PermitRequest("r1", TARGET, seconds(1)))
    )
    await asyncio.sleep(0)
    hear(limiter.recorder, 1.0)
    assert not await waiting


async def test_issuer_asks_nobody(limiter, fleet, peers) -> None:
    hear(limiter.recorder, 2.0)
    fleet.hosts = [ME]
    assert not await limiter.may_send(PermitRequest("r1", TARGET, None))
    assert peers.asked == []
