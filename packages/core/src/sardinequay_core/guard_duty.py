"""A host's role as a guard of one data centre: voting, and joining new views."""

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
    """A guard, with the join of the newest known view if one is in progress.

    Parameters
    ----------
    founding_view : View
        View 0, from which all later views descend.
    """

    guard: Guard
    founding_view: View
    joining: ViewJoin | None = field(default=None)

    def record_listed_view(self, view: View, now: Instant) -> None:
        """Record the view defined by the platform's list, which was read at `now`."""
        self.guard.record_listed_view(view, now)
        self.join_newest_view(now)

    def record_view(self, view: View, now: Instant) -> None:
        """Record a view that a peer reported."""
        self.guard.record_view(view)
        self.guard.enter_if_same_guards(view)
        self.join_newest_view(now)

    def handle_claim(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Vote on a claim, and join its view if that is newer."""
        vote = self.guard.handle_claim(request, now)
        self.join_newest_view(now)
        return vote

    def handle_settle(self, message: Settle) -> None:
        """Record the outcome of a claimed request."""
        self.guard.handle_settle(message)

    def handle_handover_request(
        self, request: HandoverRequest, now: Instant
    ) -> Handover:
        """Seal a view, return a page of claims, and join the successor if needed."""
        handover = self.guard.handle_handover_request(request, now)
        self.join_newest_view(now)
        return handover

    def join_newest_view(self, now: Instant) -> None:
        """Start to join the newest known view if this host is one of its guards."""
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
        earliest_entry = now if guard.has_full_memory else window_end
        self.joining = ViewJoin(guard, newest, self.founding_view, earliest_entry)

    def pending_requests(
        self, now: Instant
    ) -> list[tuple[GuardAddress, HandoverRequest]]:
        """Return the guards to request handovers from now, with the requests."""
        return self.joining.pending_requests(now) if self.joining else []

    def record_start_view(self, view: View) -> None:
        """Record a view in which a peer votes, as a start for gathering claims."""
        self.guard.record_view(view)
        if self.joining is not None:
            self.joining.add_view(view)

    def enter_if_complete(self, now: Instant) -> View | None:
        """Enter the joined view if its claims are complete; return it, else None."""
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
