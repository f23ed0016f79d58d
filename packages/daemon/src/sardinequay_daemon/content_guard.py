"""Keeps requests under which targets end from target after target.

`quarantine` decides; here it learns of targets' ends and of other hosts' knowledge, and
requests of a content under suspicion run one at a time in the fleet: a host that lives,
the same for all hosts, gives the permits. Where that host does not answer, each host
lets one at a time run: callers of a cut-off host are served all the same.
"""

import asyncio
import itertools
import logging
from collections.abc import Coroutine, Iterable
from dataclasses import asdict, dataclass
from typing import Any, Protocol, TypeVar

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import Address, ContentId, HostId, TargetId
from sardinequay_core.outcome import Reason, Refusal, not_run
from sardinequay_core.quarantine import Quarantine, TargetEnd
from sardinequay_core.rendezvous import rank
from sardinequay_core.roster import Target
from sardinequay_core.run_permits import PermitBook

from .content_messages import (
    AskPermit,
    ContentNews,
    ContentsReply,
    PermitBack,
    PermitReply,
)
from .content_news import news_of, take_news
from .end_watch import BrokenRequest, EndWatch
from .guarded_run import GuardedRun
from .peers import PeerClient
from .progress import Refused, may_have_run

PERMIT_CALL_S = 0.25
"""Bound on asking for a permit; hosts of a region answer in a few milliseconds."""

PROBE_WAIT_S = 1.0
"""How long another attempt waits at most to know whether the last target ended, in
seconds: longer than the question takes."""

LOOK_AGAIN_S = 0.05
"""How often a request asks for a permit that another run has: about what a plain
request runs for."""

PERMIT_WAIT_S = 0.5
"""How long a request waits for a permit, in seconds: what ends targets does so earlier,
and who waits for a stream to end would be late."""

PERMIT_RETRY = seconds(1)
"""When to come back if the permit was not free within that time."""

Result = TypeVar("Result")
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class HeldContent:
    """A content that is held, for operators.

    Parameters
    ----------
    targets : list of TargetId
        Those that ended under it, the last one last.
    last_s : float
        How long ago that was, in seconds.
    hold_s : float
        How long it is still held, in seconds.
    """

    content: ContentId
    targets: list[TargetId]
    last_s: float
    hold_s: float


class Fleet(Protocol):
    """What the guard needs of the other hosts."""

    def known_to_all(self) -> list[HostId]:
        """Return live hosts that all hosts know."""

    def address_of(self, host_id: HostId) -> Address | None:
        """Return where a host is reached."""

    def tell_of(self, content: ContentId, is_own: bool) -> None:
        """Have the others told of a content, seen by this host or by another."""


class ContentGuard:
    """Lets requests run, or not, by what became of targets that ran the same before."""

    def __init__(
        self,
        me: HostId,
        quarantine: Quarantine,
        ends: EndWatch,
        fleet: Fleet,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self.me = me
        self.quarantine = quarantine
        self.ends = ends
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.permits = PermitBook()
        self.numbers = itertools.count()
        self.tasks: set[asyncio.Task[Any]] = set()

    # A request on its way.

    def refuse_held(self, run: GuardedRun) -> None:
        """Refuse a request whose content is held."""
        now = self.clock.monotonic()
        left = self.quarantine.hold_left(run.content, now)
        if not left:
            return
        if run.may_have_run:
            raise Refused(may_have_run())
        ends = self.quarantine.ends(run.content)
        age_s = (now - ends[-1].at).total_seconds()
        text = f"{len(ends)} targets ended under such requests, one {age_s:.1f} s ago"
        raise Refused(not_run(Reason.QUARANTINED, text, left))

    async def may_run(self, run: GuardedRun) -> bool:
        """Return whether a request may run now; after False, look at all anew.

        Raises
        ------
        Refused
            If others like it kept the permit for too long.
        """
        content = run.content
        if not self.quarantine.is_suspect(content) or run.permit:
            return True
        permit = f"{self.me}/{next(self.numbers)}"
        if await self.is_permitted(permit, content):
            run.permit = permit
            # What the giver knows may be news here.
            return not self.quarantine.hold_left(content, self.clock.monotonic())
        run.permit_waits += 1
        if run.permit_waits * LOOK_AGAIN_S > PERMIT_WAIT_S:
            raise Refused(self.not_permitted(run))
        await asyncio.sleep(LOOK_AGAIN_S)
        return False

    def not_permitted(self, run: GuardedRun) -> Refusal:
        """Return the refusal of a request that waited for another like it."""
        if run.may_have_run:
            return may_have_run()
        text = "a target ended under a request like it, and another like it runs now"
        return not_run(Reason.QUARANTINED, text, PERMIT_RETRY)

    async def settled(self, run: GuardedRun, within_s: float) -> bool:
        """Wait until it is known whether the last target ended under a request.

        Returns
        -------
        bool
            Whether it is known to live.
        """
        verdict, run.verdict = run.verdict, None
        if verdict is None:
            return True
        known, _ = await asyncio.wait((verdict,), timeout=max(0.0, within_s))
        return bool(known) and not verdict.result()

    def broke(
        self, run: GuardedRun, target: Target, incarnation: int, ran_s: float
    ) -> None:
        """Take that a request's connection broke; nobody's answer waits for more."""
        now = self.clock.monotonic()
        broken = BrokenRequest(
            run.request_id, run.content, target, incarnation, ran_s, now
        )
        run.verdict = self.start(self.learn(broken))

    async def learn(self, broken: BrokenRequest) -> bool:
        """Find out whether the target ended, and count that against the content."""
        has_ended = await self.ends.ended_under(broken)
        if has_ended:
            self.count(broken)
        return has_ended

    def take_catalogue(self, catalogue: Catalogue) -> None:
        """Count ends of targets that show by their later starts."""
        for broken in self.ends.shown_by(catalogue, self.clock.monotonic()):
            self.count(broken)

    def count(self, broken: BrokenRequest) -> None:
        """Count a target's end against the content of a request that was there."""
        now = self.clock.monotonic()
        end = TargetEnd(broken.target.target_id, broken.incarnation, now)
        if self.quarantine.add(broken.content, end, now):
            self.changed(broken.content, is_own=True)

    def answered(self, content: ContentId) -> None:
        """Take that a request was answered: it ends no target."""
        now = self.clock.monotonic()
        if self.quarantine.clear(content, now, now):
            log.info("content cleared", extra={"content": content})
            self.fleet.tell_of(content, is_own=True)

    def lift(self, content: ContentId) -> bool:
        """Let a content go at an operator's word; return whether it was suspect."""
        now = self.clock.monotonic()
        is_known = self.quarantine.clear(content, now, now)
        log.warning("quarantine lifted", extra={"content": content, "known": is_known})
        if is_known:
            self.fleet.tell_of(content, is_own=True)
        return is_known

    def leave(self, run: GuardedRun) -> None:
        """Give a request's permit back once it is known what the run did."""
        if run.permit:
            self.start(self.give_back(run))

    # Permits.

    def giver(self, content: ContentId) -> HostId:
        """Return the host that gives a content's permits: the same for all hosts."""
        return HostId(rank(content, self.fleet.known_to_all())[0])

    async def is_permitted(self, permit: str, content: ContentId) -> bool:
        """Ask for the permit to run."""
        now = self.clock.monotonic()
        giver = self.giver(content)
        address = self.fleet.address_of(giver)
        if giver == self.me or address is None:
            return self.permits.grant(content, permit, now)
        ask = AskPermit(permit, news_of(self.quarantine, content, now))
        answer = await self.peers.call(address, ask, PERMIT_CALL_S)
        reply = answer.value_or(None)
        if not isinstance(reply, PermitReply):
            log.warning("no permit giver", extra={"content": content, "peer": giver})
            return self.permits.grant(content, permit, now)
        self.hear(reply.news)
        return reply.is_granted

    async def answer_ask(self, ask: AskPermit) -> PermitReply:
        """Give a permit, unless another run has it or the content is held."""
        self.hear(ask.news)
        content = ask.news.content
        now = self.clock.monotonic()
        is_granted = not self.quarantine.hold_left(content, now) and self.permits.grant(
            content, ask.run, now
        )
        return PermitReply(is_granted, news_of(self.quarantine, content, now))

    async def give_back(self, run: GuardedRun) -> None:
        """Give a permit back, with what the run showed."""
        if run.verdict is not None:
            await asyncio.wait((run.verdict,))
        content, permit = run.content, run.permit
        self.permits.give_back(content, permit)
        giver = self.giver(content)
        address = self.fleet.address_of(giver)
        if giver != self.me and address is not None:
            now = self.clock.monotonic()
            back = PermitBack(permit, news_of(self.quarantine, content, now))
            await self.peers.call(address, back, PERMIT_CALL_S)

    async def answer_back(self, back: PermitBack) -> ContentsReply:
        """Take a permit back."""
        self.hear(back.news)
        self.permits.give_back(back.news.content, back.run)
        return ContentsReply(())

    # News.

    def take(self, contents: Iterable[ContentNews]) -> None:
        """Take what a peer knows against contents."""
        for news in contents:
            self.hear(news)

    def hear(self, news: ContentNews) -> None:
        """Take what a peer knows against a content."""
        if take_news(self.quarantine, news, self.clock.monotonic()):
            self.changed(news.content, is_own=False)

    def changed(self, content: ContentId, is_own: bool) -> None:
        """Log a content that is held from now on, and have peers told."""
        now = self.clock.monotonic()
        left = self.quarantine.hold_left(content, now)
        if left:
            held = self.held_content(content, now)
            log.warning("content quarantined", extra=asdict(held))
        self.fleet.tell_of(content, is_own)

    # For operators.

    def held(self) -> list[HeldContent]:
        """Return the contents that are held."""
        now = self.clock.monotonic()
        return [self.held_content(c, now) for c in self.quarantine.held(now)]

    def held_content(self, content: ContentId, now: Instant) -> HeldContent:
        """Return one content that is held."""
        ends = self.quarantine.ends(content)
        left = self.quarantine.hold_left(content, now)
        return HeldContent(
            content,
            [e.target for e in ends],
            round((now - ends[-1].at).total_seconds(), 3),
            round(left.total_seconds(), 3),
        )

    # Upkeep.

    def start(self, work: Coroutine[None, None, Result]) -> asyncio.Task[Result]:
        """Start work that nobody waits for."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    def expire(self) -> None:
        """Forget what is old."""
        now = self.clock.monotonic()
        self.quarantine.expire(now)
        self.permits.expire(now)
