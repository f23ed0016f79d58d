"""How a guard enters a view: by gathering what earlier guards remember.

A guard votes in a view only after a majority of each earlier view that can hold claims
has sealed it and told its claims. Which views those are is found by following what the
answers name: the base a guard last voted in, and later views it heard of.

A guard that restarted starts blank. It waits a window, so that no attempt counts a vote
of its earlier self any more, then gathers from majorities of the others; if its earlier
self may have voted in the very view it enters, from a majority of that one, too.

If a majority of a view has provably forgotten (each said so twice around one instant),
no attempt can win in that view any more, and the claims it may hold are waited out. So
they are, after a much longer time, when nobody can be found who remembers: a guard
stops voting when it has not seen itself listed for `ClaimPolicy.lapse`.
"""

from dataclasses import dataclass, field
from enum import Enum

from .claims import ClaimPolicy, Guard, Handover, HandoverRequest
from .clock import Instant
from .names import HostId
from .views import GuardAddress, View


class GatherStatus(Enum):
    """How far a view's claims are gathered."""

    INCOMPLETE = "gathering"
    COMPLETE = "gathered"
    EXPIRED = "waited_out"


@dataclass(slots=True)
class TimedHandover:
    """A guard's whole answer, and when it was asked for."""

    handover: Handover
    asked_at: Instant


@dataclass(slots=True)
class BlankPeriod:
    """That one incarnation of a guard said it is blank: first and last time asked."""

    incarnation: int
    first_asked_at: Instant
    last_asked_at: Instant


@dataclass(slots=True)
class ViewGathering:
    """What the guards of one view have answered so far."""

    view: View
    answers: dict[HostId, TimedHandover] = field(default_factory=dict)
    blank_periods: dict[HostId, BlankPeriod] = field(default_factory=dict)

    def majority_blank_at(self, guard: Guard, now: Instant) -> Instant | None:
        """Return a time at which too many guards were blank for any majority."""
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
    """One guard's way into one view.

    Parameters
    ----------
    guard : Guard
        The memory to fill.
    target : View
        The view to enter; it has the guard among its guards.
    start : View
        A view in which some host has voted: the founding one, or what a peer said.
    not_before : timedelta
        When this process may vote: a window after its start.
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
        """Return the durations that claims rest on."""
        return self.guard.policy

    def add_view(self, view: View) -> None:
        """Gather from one more view, if it lies before the target.

        A blank guard may gather from the target itself, where others vote already.
        """
        is_target = view.number == self.target.number and not self.guard.has_full_memory
        if view.number < self.target.number or is_target:
            self.gatherings.setdefault(view.number, ViewGathering(view))

    def pending_requests(
        self, now: Instant
    ) -> list[tuple[GuardAddress, HandoverRequest]]:
        """Return what to ask now, and whom."""
        pending = []
        for gathering in self.gatherings.values():
            for guard in gathering.view.guards:
                is_fresh = self.is_fresh(gathering.answers.get(guard.host_id), now)
                if guard.host_id != self.guard.own_host_id and not is_fresh:
                    pending.append((guard, self.build_request(gathering.view)))
        return pending

    def build_request(self, view: View) -> HandoverRequest:
        """Return the request to a guard of an earlier view."""
        guard = self.guard
        return HandoverRequest(view, self.target, guard.own_host_id, guard.incarnation)

    def is_fresh(self, answer: TimedHandover | None, now: Instant) -> bool:
        """Return whether an answer is young enough to count."""
        return answer is not None and now - answer.asked_at <= self.policy.vote_window

    def record_handover(
        self, view: View, host_id: HostId, handover: Handover, asked_at: Instant
    ) -> None:
        """Take a guard's answer; `asked_at` is when its first page was asked for."""
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
        """Remember since when a guard says that it is blank."""
        known_period = gathering.blank_periods.get(host_id)
        if known_period is None or known_period.incarnation != incarnation:
            gathering.blank_periods[host_id] = BlankPeriod(
                incarnation, asked_at, asked_at
            )
        else:
            known_period.last_asked_at = max(known_period.last_asked_at, asked_at)

    def add_named_views(self, handover: Handover) -> None:
        """Gather from the views that an answer names, too."""
        bases = [handover.base] if handover.base is not None else []
        for view in (*bases, *handover.later_views, *handover.asked_before):
            self.add_view(view)
            self.guard.record_view(view)
        self.own_earlier_views.update(view.number for view in handover.asked_before)

    def newer_view(self) -> View | None:
        """Return a later view than the target, if one was heard of."""
        newest = self.guard.newest_known_view()
        if newest is not None and newest.number > self.target.number:
            return newest
        return None

    def gather_status(self, gathering: ViewGathering, now: Instant) -> GatherStatus:
        """Return how far one view's claims are gathered."""
        answers = self.fresh_handovers(gathering, now)
        own = int(
            self.guard.has_full_memory
            and gathering.view.has_guard(self.guard.own_host_id)
        )
        if len(answers) + own >= gathering.view.majority:
            return GatherStatus.COMPLETE
        if self.are_claims_expired(gathering, now):
            return GatherStatus.EXPIRED
        return GatherStatus.INCOMPLETE

    def are_claims_expired(self, gathering: ViewGathering, now: Instant) -> bool:
        """Return whether no attempt can win in a view, and all claims in it are old."""
        forgotten = gathering.majority_blank_at(self.guard, now)
        if forgotten is not None and now > forgotten + self.policy.retention:
            return True
        return (
            gathering.view.guards != self.target.guards
            and self.are_other_guards_expired(now)
        )

    def are_other_guards_expired(self, now: Instant) -> bool:
        """Return whether guards of any other view have stopped voting long ago."""
        policy = self.policy
        since = self.guard.listed_since(self.target.guards)
        wait = policy.max_list_lag + policy.listing_timeout + policy.retention
        return since is not None and now > since + wait

    def fresh_handovers(self, gathering: ViewGathering, now: Instant) -> list[Handover]:
        """Return the answers that count."""
        answers = gathering.answers.values()
        return [a.handover for a in answers if self.is_fresh(a, now)]

    def covers_earlier_views(self, gathering: ViewGathering, now: Instant) -> bool:
        """Return whether claims from before a view are surely told with its own.

        They are if one who answered has voted in it or in a later one, since it had
        gathered all before it.
        """
        bases = [h.base for h in self.fresh_handovers(gathering, now)]
        if self.guard.has_full_memory:
            bases.append(self.guard.base_view)
        number = gathering.view.number
        return any(base is not None and base.number >= number for base in bases)

    def is_complete_since(self, start: ViewGathering, now: Instant) -> bool:
        """Return whether all claims are told by the views from `start` on."""
        later = [
            g
            for n, g in self.gatherings.items()
            if n >= start.view.number
            and (n < self.target.number or n in self.own_earlier_views)
        ]
        is_gathered = all(
            self.gather_status(g, now) is not GatherStatus.INCOMPLETE for g in later
        )
        return is_gathered and self.covers_earlier_views(start, now)

    def can_enter(self, now: Instant) -> bool:
        """Return whether the guard may vote in the target now."""
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
        """Take all claims that were told, and vote in the target from now on."""
        for gathering in self.gatherings.values():
            for answer in gathering.answers.values():
                self.guard.merge_records(answer.handover.records, answer.asked_at)
        self.guard.enter_view(self.target)
