"""The limits that targets state: who hears of them, and who permits what is sent."""

import asyncio
from dataclasses import replace

import pytest
from returns.result import Failure, Result, Success

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import seconds
from sardinequay_core.names import (
    Address,
    DataCentre,
    HostId,
    PoolName,
    TargetId,
)
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.target_limits import TargetLimits
from sardinequay_daemon.errors import PeerError
from sardinequay_daemon.limit_messages import AskToSend, LimitNews, SendReply
from sardinequay_daemon.serving_metrics import ServingMetrics
from sardinequay_daemon.serving_ports import AnswerFacts, InvalidRateLimit
from sardinequay_daemon.target_limiter import NO_ISSUER_PAUSE, TargetLimiter

from .conftest import ManualClock

ME, ISSUER = HostId("h1"), HostId("h2")
ADDRESS = Address("127.0.0.1", 1)
TARGET = PublishedTarget(
    Target(
        TargetId("t"),
        PoolName("pool"),
        TargetKind.SERVICE,
        DataCentre("za"),
        ADDRESS,
    ),
    revision=1,
    slots=4,
    incarnation=1,
)


class Fleet:
    """Fleet in which one other host issues all permits."""

    def __init__(self) -> None:
        self.hosts = [ISSUER]
        self.updates = 0

    def known_to_all(self) -> list[HostId]:
        return self.hosts

    def address_of(self, host_id: HostId) -> Address | None:
        return ADDRESS

    def request_update(self, far: bool) -> None:
        self.updates += 1


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
def limiter(fleet: Fleet, peers: Peers, clock: ManualClock) -> TargetLimiter:
    return TargetLimiter(
        ME,
        TargetLimits(),
        fleet,
        peers,
        clock,
        ServingMetrics(ME, "za"),
        lambda: 1.0,
        lambda: 0.5,
    )


def facts(limit: Result, **more) -> AnswerFacts:
    fields = {"instance": "", "not_run": False, "is_misdirected": False}
    return AnswerFacts("r1", rate_limit=limit, **fields | more)


def hear(limiter: TargetLimiter, limit: float | None, **more) -> None:
    answer = facts(Success(limit), **more)
    sent_at = limiter.clock.monotonic()
    limiter.record_answer(TARGET, answer, 200, sent_at)


def rate(limiter: TargetLimiter) -> float | None:
    return limiter.limits.rate_of(TargetId("t"), limiter.clock.monotonic())


def news(limit: float | None = 2.0, age_s: float = 0.0) -> LimitNews:
    return LimitNews(TargetId("t"), limit, 1, age_s)


def test_change_is_announced_and_its_repetition_is_not(limiter, fleet) -> None:
    hear(limiter, 2.0)
    hear(limiter, 2.0)
    assert (rate(limiter), fleet.updates) == (2.0, 1)
    assert limiter.changed_since(0) == (news(),)


def test_rejection_without_a_limit_and_answers_of_others_end_nothing(limiter) -> None:
    hear(limiter, 2.0)
    hear(limiter, None, not_run=True)
    hear(limiter, None, instance="another")
    hear(limiter, None, is_misdirected=True)
    assert rate(limiter) == 2.0
    hear(limiter, None, instance="t")
    assert rate(limiter) is None


def test_invalid_limit_changes_nothing_and_is_logged_once(limiter, caplog) -> None:
    hear(limiter, 2.0)
    invalid = facts(Failure(InvalidRateLimit("two")))
    for _ in range(3):
        limiter.record_answer(TARGET, invalid, 200, limiter.clock.monotonic())
    assert rate(limiter) == 2.0
    assert [r.getMessage() for r in caplog.records] == ["target limit invalid"]


async def test_target_without_a_limit_needs_no_permit(limiter, peers) -> None:
    assert await limiter.may_send("r1", TARGET, None)
    assert peers.asked == []


async def test_limited_target_is_asked_for_at_its_issuer(limiter, peers) -> None:
    hear(limiter, 2.0)
    assert await limiter.may_send("r1", TARGET, None)
    assert peers.asked == [AskToSend(ME, None, news())]


async def test_denied_target_is_left_out_until_a_permit_is_expected(
    limiter, peers, clock
) -> None:
    hear(limiter, 2.0)
    peers.reply = Success(SendReply(None, 0.5, 2.0))
    assert not await limiter.may_send("r1", TARGET, None)
    now, target = clock.monotonic(), TargetId("t")
    assert limiter.limits.permit_wait_s(target, can_wait=True, now=now) == 0.5
    assert limiter.limits.permit_wait_s(target, can_wait=False, now=now) == 2.0


async def test_nothing_is_sent_to_a_limited_target_while_no_issuer_answers(
    limiter, peers, clock
) -> None:
    hear(limiter, 2.0)
    peers.reply = Failure(PeerError("h2", "cut off"))
    assert not await limiter.may_send("r1", TARGET, None)
    wait_s = limiter.limits.permit_wait_s(TargetId("t"), True, clock.monotonic())
    assert wait_s == NO_ISSUER_PAUSE.total_seconds()


async def test_issuer_that_heard_the_limit_end_lets_all_send(limiter, peers) -> None:
    hear(limiter, 2.0)
    limiter.clock.advance(1)
    peers.reply = Success(SendReply(0.0, news=news(None)))
    assert await limiter.may_send("r1", TARGET, None)
    assert rate(limiter) is None


async def test_permit_that_was_waited_for_is_void_when_the_limit_has_fallen(
    limiter, peers
) -> None:
    hear(limiter, 4.0)
    peers.reply = Success(SendReply(0.01))
    waiting = asyncio.create_task(limiter.may_send("r1", TARGET, seconds(1)))
    await asyncio.sleep(0)
    hear(limiter, 1.0)
    assert not await waiting


async def test_issuer_learns_of_a_limit_by_the_request_for_a_permit(limiter) -> None:
    """A host that has just started issues nothing until permits have accrued."""
    first = await limiter.handle_ask(AskToSend(HostId("h3"), None, news(2.0)))
    assert first.start_in_s is None
    assert rate(limiter) == 2.0
    limiter.clock.advance(1)
    reply = await limiter.handle_ask(AskToSend(HostId("h3"), None, news(2.0)))
    assert reply.start_in_s == 0


async def test_hosts_cut_off_from_others_issue_only_their_part(limiter) -> None:
    limiter.live_fraction = lambda: 0.25
    ask = AskToSend(HostId("h3"), 9.0, news(2.0))
    replies = [await limiter.handle_ask(ask) for _ in range(3)]
    assert [r.start_in_s for r in replies] == [2.0, 4.0, 6.0]


async def test_issuer_asks_nobody(limiter, fleet, peers) -> None:
    hear(limiter, 2.0)
    fleet.hosts = [ME]
    assert not await limiter.may_send("r1", TARGET, None)
    assert peers.asked == []


def test_what_is_known_ends_with_silence(limiter, clock) -> None:
    hear(limiter, 2.0)
    limiter.issue(AskToSend(ME, None, news()))
    clock.advance(11)
    limiter.expire()
    assert rate(limiter) is None
    assert limiter.schedules == {}


def test_gauge_shows_only_targets_that_state_a_limit_now(limiter) -> None:
    """A target that left with its limit was shown for as long as the host ran."""
    gauge = limiter.metrics.target_limit
    hear(limiter, 2.0)
    limiter.expire()
    assert list(gauge.values.values()) == [2.0]
    limiter.limits.prune_unlisted(frozenset())
    limiter.expire()
    assert len(gauge.values) == 0


def test_report_of_a_peer_is_passed_on_once(limiter, fleet) -> None:
    limiter.apply_reports([news(age_s=0.5)], ISSUER)
    limiter.apply_reports([news(age_s=0.5)], ISSUER)
    assert fleet.updates == 1
    (told,) = limiter.changed_since(0)
    assert replace(told, age_s=0.5) == news(age_s=0.5)
