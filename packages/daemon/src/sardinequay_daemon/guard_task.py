"""The task that votes on idempotency keys as a guard, and joins new views.

Guards are hosts that remember which attempt claimed a key. The guards of a data centre
are listed in numbered views; a guard votes in a view after it has fetched the claims of
the views before it.
"""

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
from sardinequay_core.names import DataCentre, HostId, parse_address
from sardinequay_core.roster import EMPTY_ROSTER, Roster
from sardinequay_core.view_join import ViewJoin
from sardinequay_core.views import GuardAddress, View, build_view

from .mailbox import Mailbox, QueuedMessage, run_periodically
from .peers import PeerClient
from .settings import ClaimSettings

JOIN_INTERVAL_S = 0.1
EXPIRE_INTERVAL_S = 5.0
log = logging.getLogger(__name__)


def claim_policy(settings: ClaimSettings) -> ClaimPolicy:
    """Return the durations of claims from the settings."""
    return ClaimPolicy(
        retention=timedelta(seconds=settings.life_s),
        vote_window=timedelta(seconds=settings.window_s),
        listing_timeout=timedelta(seconds=settings.lapse_s),
        max_list_lag=timedelta(seconds=settings.list_lag_s),
    )


def initial_view(settings: ClaimSettings, data_centre: DataCentre) -> View:
    """Return view 0 of a data centre, whose guards are in the settings."""
    guards = []
    for entry in settings.founders[data_centre]:
        address = parse_address(entry.address).unwrap()
        guards.append(GuardAddress(entry.host_id, address))
    return View(data_centre, 0, tuple(sorted(guards)))


class GuardTask:
    """Owns this host's state as a guard: one `GuardDuty` for each data centre.

    Each holds the claims on keys of its data centre, and the view being joined.
    """

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
            data_centre: self.make_duty(data_centre, incarnation)
            for data_centre in settings.founders
        }
        self.roster = EMPTY_ROSTER
        self.inbox = Mailbox()

    def make_duty(self, data_centre: DataCentre, incarnation: int) -> GuardDuty:
        """Return a guard without claims for one data centre.

        If this process started before the system's first request, the guard has
        forgotten nothing, and votes in view 0 at once.
        """
        view_0 = initial_view(self.settings, data_centre)
        guard = Guard(
            self.me,
            incarnation,
            self.policy,
            self.started_at,
            view_0 if self.is_founder else None,
        )
        return GuardDuty(guard, view_0)

    async def run(self) -> None:
        """Handle messages, join views and expire claims until cancelled."""
        async with asyncio.TaskGroup() as group:
            group.create_task(self.inbox.handle_messages(self.handle_message))
            group.create_task(run_periodically(JOIN_INTERVAL_S, self.join_step))
            group.create_task(run_periodically(EXPIRE_INTERVAL_S, self.expire_claims))

    def handle_message(self, queued_message: QueuedMessage) -> None:
        """Reply to one message, without waiting."""
        message, now = queued_message.message, self.clock.monotonic()
        if isinstance(message, ClaimRequest):
            duty = self.duties[message.view.data_centre]
            queued_message.reply_with(duty.handle_claim(message, now))
        elif isinstance(message, Settle):
            self.duties[message.data_centre].handle_settle(message)
            queued_message.reply_with(Settled())
        elif isinstance(message, HandoverRequest):
            duty = self.duties[message.view.data_centre]
            queued_message.reply_with(duty.handle_handover_request(message, now))
        elif isinstance(message, ViewQuery):
            guard = self.duties[message.data_centre].guard
            queued_message.reply_with(ViewReply(guard.active_view))

    def apply_host_list(self, roster: Roster) -> None:
        """Apply a host list that was just read from the platform."""
        self.roster = roster
        now = self.clock.monotonic()
        for data_centre, duty in self.duties.items():
            duty.record_listed_view(build_view(roster, data_centre), now)

    def apply_peer_roster(self, roster: Roster) -> None:
        """Apply a roster received from a peer, which may list a later view."""
        self.roster = max(self.roster, roster, key=lambda r: r.number)
        now = self.clock.monotonic()
        for data_centre, duty in self.duties.items():
            duty.record_view(build_view(roster, data_centre), now)

    async def join_step(self) -> None:
        """Fetch missing claims for the views being joined; enter complete views."""
        for data_centre, duty in self.duties.items():
            if duty.joining is None:
                continue
            await self.request_missing_records(data_centre, duty, duty.joining)
            entered_view = duty.enter_if_complete(self.clock.monotonic())
            if entered_view is not None:
                self.log_entered(duty, entered_view)

    def log_entered(self, duty: GuardDuty, view: View) -> None:
        """Log that this host has entered a view and votes in it."""
        log_fields = {
            "view": view.number,
            "guards": [g.host_id for g in view.guards],
            "of": view.data_centre,
            "claims": len(duty.guard.claims_by_key),
        }
        log.info("guard entered a view", extra=log_fields)

    async def request_missing_records(
        self, data_centre: DataCentre, duty: GuardDuty, joining: ViewJoin
    ) -> None:
        """Request once all handovers that are missing to enter a view."""
        if not duty.guard.has_full_memory:
            await self.find_active_view(data_centre, duty, joining)
        missing = joining.pending_requests(self.clock.monotonic())
        await asyncio.gather(
            *[
                self.request_handover(joining, guard, request)
                for guard, request in missing
            ]
        )

    async def find_active_view(
        self, data_centre: DataCentre, duty: GuardDuty, joining: ViewJoin
    ) -> None:
        """Query the hosts of a data centre for the view in which they vote.

        A restarted guard starts its search for claims from the view that they name.
        """
        hosts = {h.peer_address for h in self.roster.hosts_in_data_centre(data_centre)}
        hosts |= {g.address for g in joining.target.guards if g.host_id != self.me}
        query = ViewQuery(data_centre)
        replies = await asyncio.gather(
            *[self.peers.call(address, query) for address in sorted(hosts)]
        )
        for reply_result in replies:
            reply = reply_result.value_or(None)
            if isinstance(reply, ViewReply) and reply.view is not None:
                duty.record_start_view(reply.view)

    async def request_handover(
        self, joining: ViewJoin, guard: GuardAddress, request: HandoverRequest
    ) -> None:
        """Fetch all pages of one guard's claims; discard all if one page fails."""
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
            reply_result = await self.peers.call(guard.address, page_request)
            if not isinstance(reply_result, Success):
                return
            page: Handover = reply_result.unwrap()
            pages.append(page)
            if not page.more:
                break
            after = page.records[-1].key
        joining.record_handover(
            request.view, guard.host_id, merge_pages(pages), asked_at
        )

    def expire_claims(self) -> None:
        """Delete claims older than the claim lifetime."""
        for duty in self.duties.values():
            duty.guard.expire_claims(self.clock.monotonic())

    def active_views(self) -> dict[str, int | None]:
        """Return the number of the view in which this host votes, by data centre."""
        return {
            str(data_centre): duty.guard.active_view.number
            if duty.guard.active_view
            else None
            for data_centre, duty in self.duties.items()
        }


def merge_pages(pages: list[Handover]) -> Handover:
    """Merge the pages of one guard's handover; the first page has the base view."""
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
