"""The task that guards idempotency keys, and brings guards into their views."""

import asyncio
import logging
from datetime import timedelta

from returns.result import Success

from sardinequay_core.claims import (
    ClaimPolicy,
    ClaimRequest,
    Guard,
    Handover,
    HandoverRequest,
    Settle,
    Settled,
    ViewQuery,
    ViewReply,
)
from sardinequay_core.clock import Clock
from sardinequay_core.guard_duty import GuardDuty
from sardinequay_core.joining import Joining
from sardinequay_core.names import DataCentre, HostId, parse_address
from sardinequay_core.roster import EMPTY_ROSTER, Roster
from sardinequay_core.views import GuardAddress, View, view_of

from .mailbox import QueuedMessage, Mailbox, run_periodically
from .peers import PeerClient
from .settings import ClaimSettings

JOIN_STEP_S = 0.1
EXPIRE_S = 5.0
log = logging.getLogger(__name__)


def claim_policy(settings: ClaimSettings) -> ClaimPolicy:
    """Return the core's durations."""
    return ClaimPolicy(
        life=timedelta(seconds=settings.life_s),
        window=timedelta(seconds=settings.window_s),
        lapse=timedelta(seconds=settings.lapse_s),
        list_lag=timedelta(seconds=settings.list_lag_s),
    )


def founding_view(settings: ClaimSettings, data_centre: DataCentre) -> View:
    """Return view 0 of a data centre, which the settings name."""
    guards = []
    for entry in settings.founders[data_centre]:
        address = parse_address(entry.address).unwrap()
        guards.append(GuardAddress(entry.host_id, address))
    return View(data_centre, 0, tuple(sorted(guards)))


class GuardTask:
    """Owns this host's memory of claims, for each data centre that it guards."""

    def __init__(
        self,
        me: HostId,
        incarnation: int,
        settings: ClaimSettings,
        peers: PeerClient,
        clock: Clock,
    ) -> None:
        self.me = me
        self.settings = settings
        self.policy = claim_policy(settings)
        self.peers = peers
        self.clock = clock
        self.started_at = clock.monotonic()
        self.is_founder = clock.now() <= settings.in_service_from
        self.duties = {
            name: self.make_duty(name, incarnation) for name in settings.founders
        }
        self.roster = EMPTY_ROSTER
        self.inbox = Mailbox()

    def make_duty(self, data_centre: DataCentre, incarnation: int) -> GuardDuty:
        """Return an empty memory, which is a full one if nothing came before."""
        founding = founding_view(self.settings, data_centre)
        guard = Guard(
            self.me,
            incarnation,
            self.policy,
            self.started_at,
            founding if self.is_founder else None,
        )
        return GuardDuty(guard, founding)

    async def run(self) -> None:
        """Answer and join for good."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.inbox.handle_messages(self.handle))
            group.create_task(run_periodically(JOIN_STEP_S, self.join_step))
            group.create_task(run_periodically(EXPIRE_S, self.expire))

    def handle(self, envelope: QueuedMessage) -> None:
        """Answer one message from the state as it is now."""
        message, now = envelope.message, self.clock.monotonic()
        if isinstance(message, ClaimRequest):
            duty = self.duties[message.view.data_centre]
            envelope.reply_with(duty.claim(message, now))
        elif isinstance(message, Settle):
            self.duties[message.data_centre].settle(message)
            envelope.reply_with(Settled())
        elif isinstance(message, HandoverRequest):
            duty = self.duties[message.view.data_centre]
            envelope.reply_with(duty.hand_over(message, now))
        elif isinstance(message, ViewQuery):
            guard = self.duties[message.data_centre].guard
            envelope.reply_with(ViewReply(guard.active))

    def take_list(self, roster: Roster) -> None:
        """Take the list that was read from the platform just now."""
        self.roster = roster
        now = self.clock.monotonic()
        for name, duty in self.duties.items():
            duty.read_list(view_of(roster, name), now)

    def hear_roster(self, roster: Roster) -> None:
        """Take a roster that a peer told: it may name a later view."""
        self.roster = max(self.roster, roster, key=lambda r: r.number)
        now = self.clock.monotonic()
        for name, duty in self.duties.items():
            duty.hear_view(view_of(roster, name), now)

    async def join_step(self) -> None:
        """Ask for what is still missing, and enter views that are complete."""
        for data_centre, duty in self.duties.items():
            if duty.joining is None:
                continue
            await self.gather(data_centre, duty, duty.joining)
            entered = duty.step(self.clock.monotonic())
            if entered is not None:
                self.log_entered(duty, entered)

    def log_entered(self, duty: GuardDuty, view: View) -> None:
        """Log that this host votes in a view from now on."""
        details = {
            "view": view.number,
            "guards": [g.host_id for g in view.guards],
            "of": view.data_centre,
            "claims": len(duty.guard.claims),
        }
        log.info("guard entered a view", extra=details)

    async def gather(
        self, data_centre: DataCentre, duty: GuardDuty, joining: Joining
    ) -> None:
        """Ask once for everything that is missing."""
        if not duty.guard.remembers:
            await self.find_start(data_centre, duty, joining)
        wanted = joining.requests(self.clock.monotonic())
        await asyncio.gather(
            *[self.ask(joining, guard, request) for guard, request in wanted]
        )

    async def find_start(
        self, data_centre: DataCentre, duty: GuardDuty, joining: Joining
    ) -> None:
        """Ask the hosts of the data centre in which view they vote."""
        hosts = {h.peer_address for h in self.roster.hosts_in(data_centre)}
        hosts |= {g.address for g in joining.target.guards if g.host_id != self.me}
        query = ViewQuery(data_centre)
        answers = await asyncio.gather(
            *[self.peers.call(address, query) for address in sorted(hosts)]
        )
        for answer in answers:
            reply = answer.value_or(None)
            if isinstance(reply, ViewReply) and reply.view is not None:
                duty.take_start(reply.view)

    async def ask(
        self, joining: Joining, guard: GuardAddress, request: HandoverRequest
    ) -> None:
        """Fetch all pages of one guard's memory."""
        asked_at = self.clock.monotonic()
        pages: list[Handover] = []
        after = ""
        while True:
            page_request = HandoverRequest(
                request.view,
                request.successor,
                request.asker,
                request.incarnation,
                after,
            )
            answer = await self.peers.call(guard.address, page_request)
            if not isinstance(answer, Success):
                return
            page: Handover = answer.unwrap()
            pages.append(page)
            if not page.more:
                break
            after = page.records[-1].key
        joining.take(request.view, guard.host_id, whole(pages), asked_at)

    def expire(self) -> None:
        """Forget claims whose life is over."""
        for duty in self.duties.values():
            duty.guard.expire(self.clock.monotonic())

    def is_guard(self) -> bool:
        """Return whether this host guards any data centre in the latest list."""
        views = (view_of(self.roster, name) for name in self.duties)
        return any(view.has(self.me) for view in views)

    def views(self) -> dict[str, int | None]:
        """Return the view in which this host votes, for each data centre."""
        return {
            str(name): duty.guard.active.number if duty.guard.active else None
            for name, duty in self.duties.items()
        }


def whole(pages: list[Handover]) -> Handover:
    """Join the pages of one guard's answer; the first one names its views."""
    first = pages[0]
    later = {v.number: v for page in pages for v in page.later_views}
    return Handover(
        remembers=all(page.remembers for page in pages),
        incarnation=first.incarnation,
        base=first.base,
        later_views=tuple(later.values()),
        asked_before=first.asked_before,
        records=tuple(record for page in pages for record in page.records),
    )
