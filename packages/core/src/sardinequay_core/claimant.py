"""The claimant's side of claims: one attempt's votes, counted."""

from dataclasses import dataclass, field
from enum import Enum

from .claims import ClaimDecision, ClaimPolicy, ClaimRequest, ClaimVote, Settle
from .clock import Instant
from .names import AttemptId, HostId
from .outcome import Outcome
from .views import View


class ClaimStatus(Enum):
    """What the votes so far come to."""

    OPEN = "open"
    WON = "won"
    HELD = "held"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class ClaimRound:
    """One attempt's claim of one key in one view.

    Votes count only within a window of the round's start on the claimant's clock: the
    guards' recovery after a restart rests on that.
    """

    view: View
    key: str
    attempt: AttemptId
    started_at: Instant
    policy: ClaimPolicy
    votes: dict[HostId, ClaimVote] = field(default_factory=dict)
    unreachable: set[HostId] = field(default_factory=set)

    def build_request(self) -> ClaimRequest:
        """Return what to send to every guard."""
        return ClaimRequest(self.view, self.key, self.attempt)

    def record_vote(self, host_id: HostId, vote: ClaimVote) -> None:
        """Take a guard's vote."""
        self.votes[host_id] = vote

    def record_unreachable(self, host_id: HostId) -> None:
        """Take that a guard cannot be reached."""
        self.unreachable.add(host_id)

    def count_votes(self, vote: ClaimDecision) -> int:
        """Return how many guards voted so."""
        return sum(1 for v in self.votes.values() if v.vote is vote)

    def status(self, now: Instant) -> ClaimStatus:
        """Return what the votes come to at this time."""
        if now - self.started_at > self.policy.vote_window:
            return ClaimStatus.UNAVAILABLE
        granted = self.count_votes(ClaimDecision.GRANTED)
        if granted >= self.view.majority:
            return ClaimStatus.WON
        answered = len(self.votes.keys() | self.unreachable)
        if granted + len(self.view.guards) - answered >= self.view.majority:
            return ClaimStatus.OPEN
        return (
            ClaimStatus.HELD
            if self.count_votes(ClaimDecision.HELD)
            else ClaimStatus.UNAVAILABLE
        )

    def settled_outcome(self) -> Outcome | None:
        """Return what became of the attempt that holds the key, if a guard knows."""
        return next((v.settled for v in self.votes.values() if v.settled), None)

    def latest_named_view(self) -> View | None:
        """Return the latest view that a guard named, if it is later than this one."""
        views = [v.later_view for v in self.votes.values() if v.later_view]
        newest = max(views, key=lambda view: view.number, default=None)
        return newest if newest and newest.number > self.view.number else None

    def build_release(self) -> Settle:
        """Return the message that gives the key back: this attempt never ran."""
        return self.build_settle(Outcome.NOT_RUN)

    def build_settle(self, outcome: Outcome) -> Settle:
        """Return the message that tells the guards what became of this attempt."""
        return Settle(self.view.data_centre, self.key, self.attempt, outcome)
