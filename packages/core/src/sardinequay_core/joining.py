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


class Standing(Enum):
    """How far a view's claims are gathered."""

    GATHERING = "gathering"
    GATHERED = "gathered"
    WAITED_OUT = "waited_out"


@dataclass(slots=True)
class Answer:
    """A guard's whole answer, and when it was asked for."""

    handover: Handover
    asked_at: Instant


@dataclass(slots=True)
class Amnesia:
    """That one incarnation of a guard said it is blank: first and last time asked."""

    incarnation: int
    first: Instant
    last: Instant


@dataclass(slots=True)
class Gathering:
    """What the guards of one view have answered so far."""

    view: View
    answers: dict[HostId, Answer] = field(default_factory=dict)
    amnesia: dict[HostId, Amnesia] = field(default_factory=dict)

    def forgotten_at(self, guard: Guard, now: Instant) -> Instant | None:
        """Return a time at which too many guards were blank for any majority."""
        needed = len(self.view.guards) - self.view.majority + 1
        blanks = list(self.amnesia.values())
        if not guard.remembers and self.view.has(guard.me):
            blanks.append(Amnesia(guard.incarnation, guard.started_at, now))
        for moment in sorted({a.first for a in blanks}):
            if sum(a.first <= moment <= a.last for a in blanks) >= needed:
                return moment
        return None


class Joining:
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
        self, guard: Guard, target: View, start: View, not_before: Instant
    ) -> None:
        self.guard = guard
        self.target = target
        self.not_before = not_before
        self.gatherings: dict[int, Gathering] = {}
        self.own_past: set[int] = set()
        self.add(guard.base or start)
        for view in list(guard.heard.values()):
            self.add(view)

    @property
    def policy(self) -> ClaimPolicy:
        """Return the durations that claims rest on."""
        return self.guard.policy

    def add(self, view: View) -> None:
        """Gather from one more view, if it lies before the target.

        A blank guard may gather from the target itself, where others vote already.
        """
        is_target = view.number == self.target.number and not self.guard.remembers
        if view.number < self.target.number or is_target:
            self.gatherings.setdefault(view.number, Gathering(view))

    def requests(self, now: Instant) -> list[tuple[GuardAddress, HandoverRequest]]:
        """Return what to ask now, and whom."""
        wanted = []
        for gathering in self.gatherings.values():
            for guard in gathering.view.guards:
                is_fresh = self.is_fresh(gathering.answers.get(guard.host_id), now)
                if guard.host_id != self.guard.me and not is_fresh:
                    wanted.append((guard, self.request_for(gathering.view)))
        return wanted

    def request_for(self, view: View) -> HandoverRequest:
        """Return the request to a guard of an earlier view."""
        guard = self.guard
        return HandoverRequest(view, self.target, guard.me, guard.incarnation)

    def is_fresh(self, answer: Answer | None, now: Instant) -> bool:
        """Return whether an answer is young enough to count."""
        return answer is not None and now - answer.asked_at <= self.policy.window

    def take(
        self, view: View, host_id: HostId, handover: Handover, asked_at: Instant
    ) -> None:
        """Take a guard's answer; `asked_at` is when its first page was asked for."""
        gathering = self.gatherings.get(view.number)
        if gathering is None:
            return
        if handover.remembers:
            gathering.answers[host_id] = Answer(handover, asked_at)
            gathering.amnesia.pop(host_id, None)
            self.follow(handover)
        else:
            self.note_amnesia(gathering, host_id, handover.incarnation, asked_at)

    def note_amnesia(
        self,
        gathering: Gathering,
        host_id: HostId,
        incarnation: int,
        asked_at: Instant,
    ) -> None:
        """Remember since when a guard says that it is blank."""
        noted = gathering.amnesia.get(host_id)
        if noted is None or noted.incarnation != incarnation:
            gathering.amnesia[host_id] = Amnesia(incarnation, asked_at, asked_at)
        else:
            noted.last = max(noted.last, asked_at)

    def follow(self, handover: Handover) -> None:
        """Gather from the views that an answer names, too."""
        bases = [handover.base] if handover.base is not None else []
        for view in (*bases, *handover.later_views, *handover.asked_before):
            self.add(view)
            self.guard.hear_view(view)
        self.own_past.update(view.number for view in handover.asked_before)

    def overtaken_by(self) -> View | None:
        """Return a later view than the target, if one was heard of."""
        newest = self.guard.newest_view()
        if newest is not None and newest.number > self.target.number:
            return newest
        return None

    def standing(self, gathering: Gathering, now: Instant) -> Standing:
        """Return how far one view's claims are gathered."""
        answers = self.fresh_answers(gathering, now)
        own = int(self.guard.remembers and gathering.view.has(self.guard.me))
        if len(answers) + own >= gathering.view.majority:
            return Standing.GATHERED
        if self.is_over(gathering, now):
            return Standing.WAITED_OUT
        return Standing.GATHERING

    def is_over(self, gathering: Gathering, now: Instant) -> bool:
        """Return whether no attempt can win in a view, and all claims in it are old."""
        forgotten = gathering.forgotten_at(self.guard, now)
        if forgotten is not None and now > forgotten + self.policy.life:
            return True
        return gathering.view.guards != self.target.guards and self.is_long_listed(now)

    def is_long_listed(self, now: Instant) -> bool:
        """Return whether guards of any other view have stopped voting long ago."""
        policy = self.policy
        since = self.guard.listed_since(self.target.guards)
        wait = policy.list_lag + policy.lapse + policy.life
        return since is not None and now > since + wait

    def fresh_answers(self, gathering: Gathering, now: Instant) -> list[Handover]:
        """Return the answers that count."""
        answers = gathering.answers.values()
        return [a.handover for a in answers if self.is_fresh(a, now)]

    def is_anchored(self, gathering: Gathering, now: Instant) -> bool:
        """Return whether claims from before a view are surely told with its own.

        They are if one who answered has voted in it or in a later one, since it had
        gathered all before it.
        """
        bases = [h.base for h in self.fresh_answers(gathering, now)]
        if self.guard.remembers:
            bases.append(self.guard.base)
        number = gathering.view.number
        return any(base is not None and base.number >= number for base in bases)

    def is_complete_from(self, start: Gathering, now: Instant) -> bool:
        """Return whether all claims are told by the views from `start` on."""
        later = [
            g
            for n, g in self.gatherings.items()
            if n >= start.view.number and (n < self.target.number or n in self.own_past)
        ]
        is_all_there = all(
            self.standing(g, now) is not Standing.GATHERING for g in later
        )
        return is_all_there and self.is_anchored(start, now)

    def is_done(self, now: Instant) -> bool:
        """Return whether the guard may vote in the target now."""
        if now < self.not_before or self.overtaken_by() is not None:
            return False
        if not self.guard.remembers and self.is_long_listed(now):
            return True
        starts = [
            gathering
            for gathering in self.gatherings.values()
            if self.standing(gathering, now) is not Standing.GATHERING
        ]
        return any(self.is_complete_from(start, now) for start in starts)

    def finish(self) -> None:
        """Take all claims that were told, and vote in the target from now on."""
        for gathering in self.gatherings.values():
            for answer in gathering.answers.values():
                self.guard.merge(answer.handover.records, answer.asked_at)
        self.guard.enter(self.target)
