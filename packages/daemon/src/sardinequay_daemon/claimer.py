"""Claims the idempotency key of a non-idempotent request before its dispatch.

A key is claimed by a majority vote of the guards of its home data centre, so that at
most one attempt with the key is dispatched.
"""

import asyncio
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

from opentelemetry.trace import Span
from returns.result import Failure, Result, Success

from sardinequay_core.claimant import ClaimRound, ClaimStatus
from sardinequay_core.claims import ClaimPolicy, ClaimVote, Settle
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.names import AttemptId, DataCentre
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run_refusal
from sardinequay_core.roster import EMPTY_ROSTER, Roster
from sardinequay_core.views import GuardAddress, View, build_view, home_data_centre

from .background_tasks import BackgroundTasks
from .caller_requests import RequestEnvelope
from .journal import Journal
from .metrics import Metrics
from .peers import PeerClient
from .progress import Progress, RequestRefusedError
from .tracing import Tracing

ROUND_PAUSE_S = 0.05
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class WonClaim:
    """A key claimed by one attempt, with the round of votes that granted it."""

    round: ClaimRound


class Claimer:
    """Requests the votes of guards on keys, and sends them the outcomes of requests."""

    def __init__(
        self,
        data_centres: Sequence[DataCentre],
        policy: ClaimPolicy,
        peers: PeerClient,
        clock: Clock,
        metrics: Metrics,
        journal: Journal,
        tracing: Tracing,
    ) -> None:
        self.data_centres = data_centres
        self.policy = policy
        self.peers = peers
        self.clock = clock
        self.metrics = metrics
        self.journal = journal
        self.tracing = tracing
        self.roster = EMPTY_ROSTER
        self.learned_views: dict[DataCentre, View] = {}
        self.background_sends = BackgroundTasks("settled claim")

    def apply_roster(self, roster: Roster) -> None:
        """Replace the roster, which lists the guards of each data centre."""
        self.roster = roster

    def latest_view(self, data_centre: DataCentre) -> View:
        """Return the latest view of a data centre, by the roster and guards."""
        listed = build_view(self.roster, data_centre)
        learned = self.learned_views.get(data_centre, listed)
        return max(listed, learned, key=lambda view: view.number)

    @asynccontextmanager
    async def hold_claim(
        self, envelope: RequestEnvelope, progress: Progress, parent: Span
    ) -> AsyncIterator[None]:
        """Hold the claim on a request's idempotency key while the request runs.

        Raises
        ------
        RequestRefusedError
            If the claim is not won.
        """
        won = await self.claim_request_key(envelope, parent)
        ran = False
        try:
            yield
            ran = True
        finally:
            if won is not None:
                self.settle_claim(won, Outcome.RAN if ran else progress.outcome)

    async def claim_request_key(
        self, envelope: RequestEnvelope, parent: Span
    ) -> WonClaim | None:
        """Claim a request's key; return None if it is idempotent and has none."""
        if not envelope.key:
            return None
        with self.tracing.child_span("claim", parent):
            won = await self.claim_key(
                envelope.key, envelope.caller.name, envelope.deadline
            )
        if not isinstance(won, Success):
            raise RequestRefusedError(won.failure())
        self.journal.record(envelope.request_id, "claimed", key=envelope.key)
        claim: WonClaim = won.unwrap()
        return claim

    async def claim_key(
        self, key: str, caller: str, deadline: Instant
    ) -> Result[WonClaim, Refusal]:
        """Claim a caller's key for a new attempt.

        Undecided rounds are repeated until the deadline, for at most one claim window.
        """
        home = home_data_centre(key, self.data_centres)
        attempt = AttemptId(uuid.uuid4().hex)
        caller_key = f"{caller}/{key}"
        round_deadline = min(deadline, self.clock.monotonic() + self.policy.vote_window)
        while True:
            round_ = await self.request_votes(
                self.latest_view(home), caller_key, attempt
            )
            status = round_.status(self.clock.monotonic())
            self.record_later_view(round_)
            if status is ClaimStatus.WON:
                self.metrics.claims.inc({"standing": "won"})
                return Success(WonClaim(round_))
            if status is ClaimStatus.HELD or self.clock.monotonic() >= round_deadline:
                self.metrics.claims.inc({"standing": status.value})
                self.send_settle(round_.build_release(), round_.view)
                return Failure(claim_refusal(round_, status))
            await asyncio.sleep(ROUND_PAUSE_S)

    def record_later_view(self, round_: ClaimRound) -> None:
        """Record a later view that a guard's vote contained."""
        later = round_.latest_named_view()
        if later is not None:
            self.learned_views[later.data_centre] = later

    async def request_votes(
        self, view: View, key: str, attempt: AttemptId
    ) -> ClaimRound:
        """Request the votes of all guards; return as soon as the result is certain."""
        round_ = ClaimRound(view, key, attempt, self.clock.monotonic(), self.policy)
        if not view.guards:
            return round_
        window_s = self.policy.vote_window.total_seconds()
        vote_requests = [
            asyncio.create_task(self.request_vote(round_, guard, window_s))
            for guard in view.guards
        ]
        for done in asyncio.as_completed(vote_requests):
            await done
            if round_.status(self.clock.monotonic()) is not ClaimStatus.OPEN:
                break
        return round_

    async def request_vote(
        self, round_: ClaimRound, guard: GuardAddress, timeout_s: float
    ) -> None:
        """Request one guard's vote and record it, or that the guard did not reply."""
        reply = await self.peers.call(guard.address, round_.build_request(), timeout_s)
        vote = reply.value_or(None)
        if isinstance(vote, ClaimVote):
            round_.record_vote(guard.host_id, vote)
        else:
            round_.record_unreachable(guard.host_id)

    def settle_claim(self, claim: WonClaim, outcome: Outcome) -> None:
        """Send the outcome of a claimed request to the guards.

        NOT_RUN releases the key for another attempt, so it must be certain and final.
        """
        self.send_settle(claim.round.build_settle(outcome), claim.round.view)

    def send_settle(self, message: Settle, view: View) -> None:
        """Send the outcome to all guards in the background.

        At a guard that doesn't receive it, the claim expires.
        """
        for guard in view.guards:
            settling = self.send_settle_to(guard, message)
            self.background_sends.start(settling, guard.host_id)

    async def send_settle_to(self, guard: GuardAddress, message: Settle) -> None:
        """Send the outcome to one guard."""
        await self.peers.call(guard.address, message)


def claim_refusal(round_: ClaimRound, status: ClaimStatus) -> Refusal:
    """Return the refusal of a request whose key could not be claimed."""
    if status is not ClaimStatus.HELD:
        message = "the key's guards cannot be reached; the request was not started"
        return not_run_refusal(Reason.CLAIM_UNAVAILABLE, message, RETRY_AFTER)
    settled = round_.settled_outcome()
    if settled is None:
        message = "another attempt holds the key; this one was not started"
        return Refusal(Reason.KEY_HELD, Outcome.UNKNOWN, message, RETRY_AFTER)
    message = "an earlier attempt used the key; this one was not started"
    return Refusal(Reason.KEY_SETTLED, settled, message)
