"""The claimant's side of claims: one attempt's votes, counted."""

from dataclasses import dataclass, field
from enum import Enum

from .claims import ClaimPolicy, ClaimRequest, ClaimVote, Settle, Vote
from .clock import Instant
from .names import AttemptId, HostId
from .outcome import Outcome
from .views import View


class Standing(Enum):
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
    silent: set[HostId] = field(default_factory=set)

    def request(self) -> ClaimRequest:
        """Return what to send to every guard."""
        return ClaimRequest(self.view, self.key, self.attempt)

    def take(self, host_id: HostId, vote: ClaimVote) -> None:
        """Take a guard's vote."""
        self.votes[host_id] = vote

    def take_silence(self, host_id: HostId) -> None:
        """Take that a guard cannot be reached."""
        self.silent.add(host_id)

    def count(self, vote: Vote) -> int:
        """Return how many guards voted so."""
        return sum(1 for v in self.votes.values() if v.vote is vote)

    def standing(self, now: Instant) -> Standing:
        """Return what the votes come to at this time."""
        if now - self.started_at > self.policy.window:
            return Standing.UNAVAILABLE
        granted = self.count(Vote.GRANTED)
        if granted >= self.view.majority:
            return Standing.WON
        answered = len(self.votes.keys() | self.silent)
        if granted + len(self.view.guards) - answered >= self.view.majority:
            return Standing.OPEN
        return Standing.HELD if self.count(Vote.HELD) else Standing.UNAVAILABLE

    def settled(self) -> Outcome | None:
        """Return what became of the attempt that holds the key, if a guard knows."""
        return next((v.settled for v in self.votes.values() if v.settled), None)

    def later_view(self) -> View | None:
        """Return the latest view that a guard named, if it is later than this one."""
        views = [v.later_view for v in self.votes.values() if v.later_view]
        newest = max(views, key=lambda view: view.number, default=None)
        return newest if newest and newest.number > self.view.number else None

    def release(self) -> Settle:
        """Return the message that gives the key back: this attempt never ran."""
        return self.settle(Outcome.NOT_RUN)

    def settle(self, outcome: Outcome) -> Settle:
        """Return the message that tells the guards what became of this attempt."""
        return Settle(self.view.data_centre, self.key, self.attempt, outcome)
