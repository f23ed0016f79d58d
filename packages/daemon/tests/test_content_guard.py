"""Hosts of a fleet that stop a request which ends targets, without sockets."""

import asyncio
from dataclasses import dataclass, field

import pytest
from returns.result import Failure, Success

from sardinequay_core.clock import seconds
from sardinequay_core.names import (
    Address,
    ContentId,
    DataCentre,
    HostId,
    PoolName,
    TargetId,
)
from sardinequay_core.outcome import Outcome, Reason
from sardinequay_core.quarantine import Quarantine, TargetEnd
from sardinequay_core.roster import Target, TargetKind
from sardinequay_daemon.content_guard import ContentGuard
from sardinequay_daemon.content_messages import AskPermit
from sardinequay_daemon.content_news import news_of
from sardinequay_daemon.end_watch import BrokenRequest
from sardinequay_daemon.errors import PeerError
from sardinequay_daemon.guarded_run import GuardedRun
from sardinequay_daemon.progress import Refused

from .conftest import ManualClock

FATAL = ContentId("fatal")
HOSTS = tuple(HostId(f"h{n}") for n in range(4))
POOL = PoolName("lm")


class Ends:
    """Says of each target that it ended, unless told otherwise."""

    has_ended = True

    async def ended_under(self, _: BrokenRequest) -> bool:
        return self.has_ended


@dataclass
class Fleet:
    """A host's view of the fleet, in which all others live."""

    told: int = 0
    alive: list[HostId] = field(default_factory=lambda: list(HOSTS))

    def known_to_all(self) -> list[HostId]:
        return self.alive

    def address_of(self, host_id: HostId) -> Address:
        return Address("127.0.0.1", 1 + HOSTS.index(host_id))

    def tell_of(self, content: ContentId, is_own: bool) -> None:
        self.told += 1


@dataclass
class Net:
    """Brings messages to the other hosts' guards, or loses them."""

    guards: list[ContentGuard] = field(default_factory=list)
    is_cut: bool = False

    async def call(self, address: Address, message, _: float):
        if self.is_cut:
            return Failure(PeerError(str(address), "cut"))
        guard = self.guards[address.port - 1]
        is_ask = isinstance(message, AskPermit)
        answer = guard.answer_ask if is_ask else guard.answer_back
        return Success(await answer(message))


@pytest.fixture
def net(clock: ManualClock) -> Net:
    made = Net()
    for host_id in HOSTS:
        made.guards.append(
            ContentGuard(host_id, Quarantine(), Ends(), Fleet(), made, clock)
        )
    return made


def run() -> GuardedRun:
    return GuardedRun("r1", FATAL)


def target(name: str) -> Target:
    place = Address("127.0.0.1", 9)
    return Target(TargetId(name), POOL, TargetKind.ENGINE, DataCentre("za"), place)


async def ended(guard: ContentGuard, name: str) -> None:
    """Let a target end under a request, and the host learn of it."""
    sent = run()
    guard.broke(sent, target(name), 1, 0.1)
    await guard.settled(sent, 5.0)


def given(net: Net) -> ContentGuard:
    """Return the guard that gives the permits of the content."""
    return net.guards[HOSTS.index(net.guards[0].giver(FATAL))]


def others(net: Net) -> list[ContentGuard]:
    return [g for g in net.guards if g is not given(net)]


async def test_content_without_an_end_runs_as_it_likes(net, clock) -> None:
    for guard in net.guards:
        guard.refuse_held(run())
        assert await guard.may_run(run())


async def test_second_end_holds_it_and_says_when_to_come_back(net, clock) -> None:
    guard = net.guards[0]
    await ended(guard, "e1")
    guard.refuse_held(run())
    await ended(guard, "e2")
    clock.advance(1)
    with pytest.raises(Refused) as caught:
        guard.refuse_held(run())
    refusal = caught.value.refusal
    assert (refusal.reason, refusal.outcome) == (Reason.QUARANTINED, Outcome.NOT_RUN)
    assert refusal.status == 503
    assert refusal.retry_after == seconds(4)
    assert guard.fleet.told >= 2


async def test_run_that_may_have_run_is_not_told_that_it_has_not(net, clock) -> None:
    guard = net.guards[0]
    for name in ("e1", "e2"):
        await ended(guard, name)
    sent = run()
    sent.may_have_run = True
    with pytest.raises(Refused) as caught:
        guard.refuse_held(sent)
    assert caught.value.refusal.outcome is Outcome.UNKNOWN


async def test_target_that_lives_counts_against_nobody(net, clock) -> None:
    guard = net.guards[0]
    guard.ends.has_ended = False
    await ended(guard, "e1")
    assert not guard.quarantine.is_suspect(FATAL)


async def test_suspects_run_one_at_a_time_in_the_fleet(net, clock) -> None:
    for guard in net.guards:
        guard.quarantine.add(FATAL, broken_end(clock), clock.monotonic())
    sent = [run() for _ in net.guards]
    permitted = [await g.may_run(e) for g, e in zip(net.guards, sent, strict=True)]
    assert sum(permitted) == 1
    first = permitted.index(True)
    net.guards[first].leave(sent[first])
    await asyncio.gather(*net.guards[first].tasks)
    assert await net.guards[(first + 1) % len(HOSTS)].may_run(run())


async def test_who_waits_too_long_for_a_permit_is_refused(net, clock) -> None:
    guard, other = others(net)[:2]
    guard.quarantine.add(FATAL, broken_end(clock), clock.monotonic())
    other.quarantine.add(FATAL, broken_end(clock), clock.monotonic())
    assert await guard.may_run(run())
    waiting = run()
    with pytest.raises(Refused) as caught:
        while not await other.may_run(waiting):
            pass
    assert caught.value.refusal.reason is Reason.QUARANTINED
    assert caught.value.refusal.retry_after


async def test_what_a_run_showed_comes_back_with_its_permit(net, clock) -> None:
    guard, other = others(net)[:2]
    for g in (guard, other):
        g.quarantine.add(FATAL, broken_end(clock), clock.monotonic())
    sent = run()
    assert await guard.may_run(sent)
    guard.broke(sent, target("e2"), 1, 0.1)
    guard.leave(sent)
    while guard.tasks:
        await asyncio.gather(*guard.tasks)
    # The next host has not heard of the second end: the giver tells it.
    assert not other.quarantine.hold_left(FATAL, clock.monotonic())
    assert not await other.may_run(run())
    assert other.quarantine.hold_left(FATAL, clock.monotonic())


async def test_host_that_is_cut_off_lets_one_at_a_time_run(net, clock) -> None:
    guard = others(net)[0]
    guard.quarantine.add(FATAL, broken_end(clock), clock.monotonic())
    net.is_cut = True
    assert await guard.may_run(run())
    assert not await guard.may_run(run())


async def test_answer_clears_it_for_all(net, clock) -> None:
    guard, other = net.guards[:2]
    for g in (guard, other):
        g.quarantine.add(FATAL, broken_end(clock), clock.monotonic())
    clock.advance(1)
    guard.answered(FATAL)
    other.hear(news_of(guard.quarantine, FATAL, clock.monotonic()))
    assert not other.quarantine.is_suspect(FATAL)


async def test_operator_lifts_it(net, clock) -> None:
    guard = net.guards[0]
    for name in ("e1", "e2"):
        await ended(guard, name)
    clock.advance(1)
    assert guard.lift(FATAL)
    guard.refuse_held(run())


async def test_ends_told_by_one_host_hold_it_at_all(net, clock) -> None:
    guard, other = net.guards[:2]
    for name in ("e1", "e2"):
        await ended(guard, name)
    other.hear(news_of(guard.quarantine, FATAL, clock.monotonic()))
    with pytest.raises(Refused):
        other.refuse_held(run())


def broken_end(clock: ManualClock) -> TargetEnd:
    return TargetEnd(TargetId("e1"), 1, clock.monotonic())
