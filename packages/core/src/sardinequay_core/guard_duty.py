"""One host's duty as a guard of one data centre: voting, and heading for new views."""

from dataclasses import dataclass, field

from .claims import (
    ClaimRequest,
    ClaimVote,
    Guard,
    Handover,
    HandoverRequest,
    Settle,
)
from .clock import Instant
from .view_join import ViewJoin
from .views import GuardAddress, View


@dataclass(slots=True)
class GuardDuty:
    """A guard and its way into the newest view that it heard of.

    Parameters
    ----------
    founding : View
        View 0, from which every chain of views starts.
    """

    guard: Guard
    founding_view: View
    joining: ViewJoin | None = field(default=None)

    def record_listed_view(self, view: View, now: Instant) -> None:
        """Take the view that the platform's list, read just now, defines."""
        self.guard.record_listed_view(view, now)
        self.join_newest_view(now)

    def record_view(self, view: View, now: Instant) -> None:
        """Take a view that a peer told of."""
        self.guard.record_view(view)
        self.guard.enter_if_same_guards(view)
        self.join_newest_view(now)

    def handle_claim(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Vote, and head for a view that the claim makes known."""
        vote = self.guard.handle_claim(request, now)
        self.join_newest_view(now)
        return vote

    def handle_settle(self, message: Settle) -> None:
        """Take what became of a claimed request."""
        self.guard.handle_settle(message)

    def handle_handover_request(
        self, request: HandoverRequest, now: Instant
    ) -> Handover:
        """Seal a view and tell what is remembered."""
        handover = self.guard.handle_handover_request(request, now)
        self.join_newest_view(now)
        return handover

    def join_newest_view(self, now: Instant) -> None:
        """Start to join the newest view, if this host guards in it."""
        guard = self.guard
        newest = guard.newest_known_view()
        if (
            newest is None
            or newest == guard.active_view
            or not newest.has_guard(guard.own_host_id)
        ):
            return
        if self.joining is not None and self.joining.target.number >= newest.number:
            return
        window_end = guard.started_at + guard.policy.vote_window
        not_before = now if guard.has_full_memory else window_end
        self.joining = ViewJoin(guard, newest, self.founding_view, not_before)

    def pending_requests(
        self, now: Instant
    ) -> list[tuple[GuardAddress, HandoverRequest]]:
        """Return what to ask now, and whom."""
        return self.joining.pending_requests(now) if self.joining else []

    def record_start_view(self, view: View) -> None:
        """Take a view in which a peer votes, as a place to start from."""
        self.guard.record_view(view)
        if self.joining is not None:
            self.joining.add_view(view)

    def enter_if_complete(self, now: Instant) -> View | None:
        """Enter the view that is complete, if one is; return it then."""
        joining = self.joining
        if joining is None:
            return None
        if joining.newer_view() is not None:
            self.joining = None
            self.join_newest_view(now)
            return None
        if not joining.can_enter(now):
            return None
        joining.complete()
        self.joining = None
        return joining.target
