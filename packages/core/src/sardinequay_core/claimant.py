"""Claimant side of claims: counting the guards' votes for one attempt."""

from dataclasses import dataclass, field
from enum import Enum

from .claims import ClaimDecision, ClaimPolicy, ClaimRequest, ClaimVote, Settle
from .clock import Instant
from .names import AttemptId, HostId
from .outcome import Outcome
from .views import View


class ClaimStatus(Enum):
    """The result of a claim according to the votes received so far."""

    OPEN = "open"
    WON = "won"
    HELD = "held"
    UNAVAILABLE = "unavailable"


@dataclass(slots=True)
class ClaimRound:
    """One attempt's claim of one key in one view.

    Votes count only within `ClaimPolicy.vote_window` after the start of the round on
    the claimant's clock; the guards' recovery after a restart depends on it.
    """

    view: View
    key: str
    attempt: AttemptId
    started_at: Instant
    policy: ClaimPolicy
    votes: dict[HostId, ClaimVote] = field(default_factory=dict)
    unreachable: set[HostId] = field(default_factory=set)

    def build_request(self) -> ClaimRequest:
        """Return the claim request to send to each guard."""
        return ClaimRequest(self.view, self.key, self.attempt)

    def record_vote(self, host_id: HostId, vote: ClaimVote) -> None:
        """Record a guard's vote."""
        self.votes[host_id] = vote

    def record_unreachable(self, host_id: HostId) -> None:
        """Record that a guard is unreachable."""
        self.unreachable.add(host_id)

    def count_votes(self, vote: ClaimDecision) -> int:
        """Return how many guards gave this vote."""
        return sum(1 for v in self.votes.values() if v.vote is vote)

    def status(self, now: Instant) -> ClaimStatus:
        """Return the status of the claim at `now`."""
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
        """Return the outcome of the attempt that holds the key, if reported."""
        return next((v.settled for v in self.votes.values() if v.settled), None)

    def latest_named_view(self) -> View | None:
        """Return the latest view that a guard reported, if later than `view`."""
        views = [v.later_view for v in self.votes.values() if v.later_view]
        newest = max(views, key=lambda view: view.number, default=None)
        return newest if newest and newest.number > self.view.number else None

    def build_release(self) -> Settle:
        """Return the message that releases the key because this attempt never ran."""
        return self.build_settle(Outcome.NOT_RUN)

    def build_settle(self, outcome: Outcome) -> Settle:
        """Return the message that reports the outcome of this attempt to the guards."""
        return Settle(self.view.data_centre, self.key, self.attempt, outcome)
