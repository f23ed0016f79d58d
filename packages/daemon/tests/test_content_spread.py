"""Telling all hosts of contents under suspicion, where hosts exchange no digests."""

import asyncio
from dataclasses import dataclass, field
from random import Random

import pytest
from reactivex.subject import BehaviorSubject
from returns.result import Failure, Success

from sardinequay_core.clock import seconds
from sardinequay_core.membership import Member
from sardinequay_core.names import (
    Address,
    ContentId,
    DataCentre,
    HostId,
    TargetId,
)
from sardinequay_core.quarantine import Quarantine, TargetEnd
from sardinequay_core.roster import EntryHost
from sardinequay_daemon.content_news import take_news
from sardinequay_daemon.content_spread import ContentSpread
from sardinequay_daemon.errors import PeerError

from .conftest import TurnedClock

FATAL = ContentId("fatal")


def place(number: int) -> Address:
    return Address("127.0.0.1", number)


def member(number: int) -> Member:
    return Member(HostId(f"h{number}"), place(number), 1)


@dataclass
class View:
    """The membership: of itself."""

    me: Member


class Membership:
    """Two hosts live here, a third elsewhere."""

    def __init__(self, me: int) -> None:
        self.membership = View(member(me))
        self.live_members = BehaviorSubject((member(1), member(2)))

    def remote_hosts(self) -> list[EntryHost]:
        far = HostId("h3")
        return [EntryHost(far, DataCentre("far"), place(3), place(4))]


@dataclass
class Net:
    """Brings messages to the other hosts, or loses them."""

    spreads: dict[Address, ContentSpread] = field(default_factory=dict)
    messages: int = 0
    is_cut: bool = False

    async def call(self, address: Address, message):
        self.messages += 1
        if self.is_cut:
            return Failure(PeerError(str(address), "cut"))
        return Success(await self.spreads[address].answer(message))


@pytest.fixture
def net(clock: TurnedClock) -> Net:
    made = Net()
    for number in (1, 2, 3):
        quarantine = Quarantine()
        spread = ContentSpread(
            Membership(number), made, quarantine, clock, Random(number)
        )
        spread.heard.subscribe(
            lambda contents, q=quarantine: [
                take_news(q, news, clock.monotonic()) for news in contents
            ]
        )
        made.spreads[place(number)] = spread
    return made


def see_ends(spread: ContentSpread) -> None:
    """See two targets end under a content."""
    now = spread.clock.monotonic()
    for number in (1, 2):
        end = TargetEnd(TargetId(f"e{number}"), 0, now)
        spread.quarantine.add(FATAL, end, now)
    spread.tell_of(FATAL, is_own=True)


async def tell(net: Net, spread: ContentSpread) -> None:
    """Let a host tell what it has to, then stop it."""
    task = asyncio.create_task(spread.tell_on())
    while spread.has_untold.is_set() or not net.messages:
        await asyncio.sleep(0.005)
    await asyncio.gather(*spread.telling)
    task.cancel()


async def test_what_a_host_saw_is_told_to_all_in_one_message_each(net) -> None:
    first = net.spreads[place(1)]
    see_ends(first)
    await tell(net, first)
    assert net.messages == 2
    for spread in net.spreads.values():
        now = spread.clock.monotonic()
        assert spread.quarantine.hold_left(FATAL, now) == seconds(5)


async def test_what_a_host_heard_is_not_told_again(net) -> None:
    net.spreads[place(2)].tell_of(FATAL, is_own=False)
    assert not net.spreads[place(2)].has_untold.is_set()


async def test_host_that_missed_it_asks(net) -> None:
    first, second, far = (net.spreads[place(n)] for n in (1, 2, 3))
    net.is_cut = True
    see_ends(first)
    await tell(net, first)
    assert not second.quarantine.is_suspect(FATAL)
    await second.ask_one()
    net.is_cut = False
    for asking in (second, far):
        while not asking.quarantine.is_suspect(FATAL):
            await asking.ask_one()


async def test_hosts_of_a_data_centre_know_who_gives_permits(net) -> None:
    for number in (1, 2):
        spread = net.spreads[place(number)]
        assert spread.known_to_all() == ["h1", "h2"]
        assert spread.address_of(HostId("h2")) == place(2)
        assert spread.address_of(HostId("h9")) is None
