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
from .joining import Joining
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
    founding: View
    joining: Joining | None = field(default=None)

    def read_list(self, view: View, now: Instant) -> None:
        """Take the view that the platform's list, read just now, defines."""
        self.guard.read_list(view, now)
        self.head_for_newest(now)

    def hear_view(self, view: View, now: Instant) -> None:
        """Take a view that a peer told of."""
        self.guard.hear_view(view)
        self.guard.follow_same_guards(view)
        self.head_for_newest(now)

    def claim(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Vote, and head for a view that the claim makes known."""
        vote = self.guard.claim(request, now)
        self.head_for_newest(now)
        return vote

    def settle(self, message: Settle) -> None:
        """Take what became of a claimed request."""
        self.guard.settle(message)

    def hand_over(self, request: HandoverRequest, now: Instant) -> Handover:
        """Seal a view and tell what is remembered."""
        handover = self.guard.hand_over(request, now)
        self.head_for_newest(now)
        return handover

    def head_for_newest(self, now: Instant) -> None:
        """Start to join the newest view, if this host guards in it."""
        guard = self.guard
        newest = guard.newest_view()
        if newest is None or newest == guard.active or not newest.has(guard.me):
            return
        if self.joining is not None and self.joining.target.number >= newest.number:
            return
        blank_until = guard.started_at + guard.policy.window
        not_before = now if guard.remembers else blank_until
        self.joining = Joining(guard, newest, self.founding, not_before)

    def requests(self, now: Instant) -> list[tuple[GuardAddress, HandoverRequest]]:
        """Return what to ask now, and whom."""
        return self.joining.requests(now) if self.joining else []

    def take_start(self, view: View) -> None:
        """Take a view in which a peer votes, as a place to start from."""
        self.guard.hear_view(view)
        if self.joining is not None:
            self.joining.add(view)

    def step(self, now: Instant) -> View | None:
        """Enter the view that is complete, if one is; return it then."""
        joining = self.joining
        if joining is None:
            return None
        if joining.overtaken_by() is not None:
            self.joining = None
            self.head_for_newest(now)
            return None
        if not joining.is_done(now):
            return None
        joining.finish()
        self.joining = None
        return joining.target
