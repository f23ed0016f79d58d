"""State transfer by which a guard joins a view: gathering claims from earlier guards.

A guard votes in a view only after a majority of each earlier view that can hold claims
has sealed that view and handed over its claims. The earlier views are discovered from
the handovers: each names the base view in which its guard last voted, and later views
that the guard knows.

A restarted guard is blank: it has lost its claims. It waits for
`ClaimPolicy.vote_window`, after which no attempt counts a vote of its earlier
incarnation. Then it gathers claims from majorities of the other guards. If an earlier
incarnation may have voted in the view that it joins, it needs a majority of that view,
too.

If so many guards of a view are provably blank that no majority can grant (each reported
so both before and after one instant), no attempt can win in that view any more, and the
join only waits until the claims of the view have expired. After a much longer time it
does the same when no guard with memory can be found, because a guard stops voting when
it was not listed for `ClaimPolicy.listing_timeout`.
"""

from dataclasses import dataclass, field
from enum import Enum

from .claims import ClaimPolicy, Guard, Handover, HandoverRequest
from .clock import Instant
from .names import HostId
from .views import GuardAddress, View


class GatherStatus(Enum):
    """Whether the claims of a view are gathered."""

    INCOMPLETE = "gathering"
    COMPLETE = "gathered"
    EXPIRED = "waited_out"


@dataclass(slots=True)
class TimedHandover:
    """A guard's complete handover and the time at which it was requested."""

    handover: Handover
    asked_at: Instant


@dataclass(slots=True)
class BlankPeriod:
    """The first and last request to which one incarnation of a guard answered blank."""

    incarnation: int
    first_asked_at: Instant
    last_asked_at: Instant


@dataclass(slots=True)
class ViewGathering:
    """The handovers of one view's guards received so far."""

    view: View
    answers: dict[HostId, TimedHandover] = field(default_factory=dict)
    blank_periods: dict[HostId, BlankPeriod] = field(default_factory=dict)

    def majority_blank_at(self, guard: Guard, now: Instant) -> Instant | None:
        """Return a time at which too few guards had memory for a majority, if any."""
        needed = len(self.view.guards) - self.view.majority + 1
        periods = list(self.blank_periods.values())
        if not guard.has_full_memory and self.view.has_guard(guard.own_host_id):
            periods.append(BlankPeriod(guard.incarnation, guard.started_at, now))
        for moment in sorted({a.first_asked_at for a in periods}):
            if (
                sum(a.first_asked_at <= moment <= a.last_asked_at for a in periods)
                >= needed
            ):
                return moment
        return None


class ViewJoin:
    """The state of one guard's join of one view.

    Parameters
    ----------
    guard : Guard
        The guard that receives the gathered claims.
    target : View
        The view to enter; the guard is one of its guards.
    start : View
        A view in which some host has voted: the founding view, or one from a peer.
    earliest_entry : timedelta
        When this process may vote: `ClaimPolicy.vote_window` after its start.
    """

    def __init__(
        self, guard: Guard, target: View, start: View, earliest_entry: Instant
    ) -> None:
        self.guard = guard
        self.target = target
        self.earliest_entry = earliest_entry
        self.gatherings: dict[int, ViewGathering] = {}
        self.own_earlier_views: set[int] = set()
        self.add_view(guard.base_view or start)
        for view in list(guard.known_later_views.values()):
            self.add_view(view)

    @property
    def policy(self) -> ClaimPolicy:
        """Return the guard's claim policy."""
        return self.guard.policy

    def add_view(self, view: View) -> None:
        """Add a view to gather claims from, if it is earlier than the target.

        A blank guard also gathers from the target itself, in which other guards may
        vote already.
        """
        is_target = view.number == self.target.number and not self.guard.has_full_memory
        if view.number < self.target.number or is_target:
            self.gatherings.setdefault(view.number, ViewGathering(view))

    def pending_requests(
        self, now: Instant
    ) -> list[tuple[GuardAddress, HandoverRequest]]:
        """Return the guards without a recent handover, with the requests to them."""
        pending = []
        for gathering in self.gatherings.values():
            for guard in gathering.view.guards:
                is_recent = self.is_recent(gathering.answers.get(guard.host_id), now)
                if guard.host_id != self.guard.own_host_id and not is_recent:
                    pending.append((guard, self.build_request(gathering.view)))
        return pending

    def build_request(self, view: View) -> HandoverRequest:
        """Return the handover request for an earlier view."""
        guard = self.guard
        return HandoverRequest(view, self.target, guard.own_host_id, guard.incarnation)

    def is_recent(self, answer: TimedHandover | None, now: Instant) -> bool:
        """Return whether a handover is recent enough to count."""
        return answer is not None and now - answer.asked_at <= self.policy.vote_window

    def record_handover(
        self, view: View, host_id: HostId, handover: Handover, asked_at: Instant
    ) -> None:
        """Record a guard's handover, whose first page was requested at `asked_at`."""
        gathering = self.gatherings.get(view.number)
        if gathering is None:
            return
        if handover.remembers:
            gathering.answers[host_id] = TimedHandover(handover, asked_at)
            gathering.blank_periods.pop(host_id, None)
            self.add_named_views(handover)
        else:
            self.record_blank(gathering, host_id, handover.incarnation, asked_at)

    def record_blank(
        self,
        gathering: ViewGathering,
        host_id: HostId,
        incarnation: int,
        asked_at: Instant,
    ) -> None:
        """Record that a guard reported to be blank when asked at `asked_at`."""
        known_period = gathering.blank_periods.get(host_id)
        if known_period is None or known_period.incarnation != incarnation:
            gathering.blank_periods[host_id] = BlankPeriod(
                incarnation, asked_at, asked_at
            )
        else:
            known_period.last_asked_at = max(known_period.last_asked_at, asked_at)

    def add_named_views(self, handover: Handover) -> None:
        """Add the views that a handover names to those to gather from."""
        bases = [handover.base] if handover.base is not None else []
        for view in (*bases, *handover.later_views, *handover.asked_before):
            self.add_view(view)
            self.guard.record_view(view)
        self.own_earlier_views.update(view.number for view in handover.asked_before)

    def newer_view(self) -> View | None:
        """Return the newest known view if it is later than the target."""
        newest = self.guard.newest_known_view()
        if newest is not None and newest.number > self.target.number:
            return newest
        return None

    def gather_status(self, gathering: ViewGathering, now: Instant) -> GatherStatus:
        """Return whether a view's claims are gathered, expired or incomplete."""
        handovers = self.recent_handovers(gathering, now)
        own_count = int(
            self.guard.has_full_memory
            and gathering.view.has_guard(self.guard.own_host_id)
        )
        if len(handovers) + own_count >= gathering.view.majority:
            return GatherStatus.COMPLETE
        if self.are_claims_expired(gathering, now):
            return GatherStatus.EXPIRED
        return GatherStatus.INCOMPLETE

    def are_claims_expired(self, gathering: ViewGathering, now: Instant) -> bool:
        """Return whether no attempt can win in a view and all its claims expired."""
        blank_at = gathering.majority_blank_at(self.guard, now)
        if blank_at is not None and now > blank_at + self.policy.retention:
            return True
        return (
            gathering.view.guards != self.target.guards
            and self.are_other_guards_expired(now)
        )

    def are_other_guards_expired(self, now: Instant) -> bool:
        """Return whether all claims granted by other sets of guards have expired.

        Guards outside the target view stop voting once the platform's list has not
        named them for long enough.
        """
        policy = self.policy
        since = self.guard.listed_since(self.target.guards)
        wait = policy.max_list_lag + policy.listing_timeout + policy.retention
        return since is not None and now > since + wait

    def recent_handovers(
        self, gathering: ViewGathering, now: Instant
    ) -> list[Handover]:
        """Return the handovers of a view that are recent enough to count."""
        answers = gathering.answers.values()
        return [a.handover for a in answers if self.is_recent(a, now)]

    def covers_earlier_views(self, gathering: ViewGathering, now: Instant) -> bool:
        """Return whether the handovers of a view include the claims of earlier views.

        They do if one of the answering guards has voted in this view or a later one:
        before it voted, it had gathered the claims of all earlier views.
        """
        bases = [h.base for h in self.recent_handovers(gathering, now)]
        if self.guard.has_full_memory:
            bases.append(self.guard.base_view)
        number = gathering.view.number
        return any(base is not None and base.number >= number for base in bases)

    def is_complete_since(self, start: ViewGathering, now: Instant) -> bool:
        """Return whether the views from `start` on provide all claims."""
        required = [
            g
            for n, g in self.gatherings.items()
            if n >= start.view.number
            and (n < self.target.number or n in self.own_earlier_views)
        ]
        is_gathered = all(
            self.gather_status(g, now) is not GatherStatus.INCOMPLETE for g in required
        )
        return is_gathered and self.covers_earlier_views(start, now)

    def can_enter(self, now: Instant) -> bool:
        """Return whether the guard may enter the target view at `now`."""
        if now < self.earliest_entry or self.newer_view() is not None:
            return False
        if not self.guard.has_full_memory and self.are_other_guards_expired(now):
            return True
        starts = [
            gathering
            for gathering in self.gatherings.values()
            if self.gather_status(gathering, now) is not GatherStatus.INCOMPLETE
        ]
        return any(self.is_complete_since(start, now) for start in starts)

    def complete(self) -> None:
        """Merge all gathered claims into the guard and enter the target view."""
        for gathering in self.gatherings.values():
            for answer in gathering.answers.values():
                self.guard.merge_records(answer.handover.records, answer.asked_at)
        self.guard.enter_view(self.target)
