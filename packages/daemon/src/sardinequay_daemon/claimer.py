"""Claiming a key before a non-idempotent request is dispatched."""

import asyncio
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import timedelta

from opentelemetry.trace import Span
from returns.result import Failure, Result, Success

from sardinequay_core.claimant import ClaimRound, Standing
from sardinequay_core.claims import ClaimPolicy, ClaimVote, Settle
from sardinequay_core.clock import Clock, Instant
from sardinequay_core.names import AttemptId, DataCentre
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run
from sardinequay_core.roster import EMPTY_ROSTER, Roster
from sardinequay_core.views import GuardAddress, View, home_of, view_of

from .caller_requests import Envelope
from .journal import Journal
from .metrics import Metrics
from .peers import PeerClient
from .progress import Progress, Refused
from .tracing import Tracing

ROUND_PAUSE_S = 0.05
RETRY_AFTER = timedelta(seconds=1)


@dataclass(frozen=True, slots=True)
class WonClaim:
    """A key that this attempt alone may use."""

    round: ClaimRound


class Claimer:
    """Claims keys at the guards of their home data centres."""

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
        self.learned: dict[DataCentre, View] = {}
        self.sending: set[asyncio.Task[None]] = set()

    def take_roster(self, roster: Roster) -> None:
        """Take the latest list, from which the views follow."""
        self.roster = roster

    def view(self, data_centre: DataCentre) -> View:
        """Return the latest view known of a data centre's guards."""
        listed = view_of(self.roster, data_centre)
        learned = self.learned.get(data_centre, listed)
        return max(listed, learned, key=lambda view: view.number)

    @asynccontextmanager
    async def guarded(
        self, envelope: Envelope, progress: Progress, parent: Span
    ) -> AsyncIterator[None]:
        """Hold a request's key while it runs; raises `Refused` if it is not won."""
        won = await self.claim_for(envelope, parent)
        ran = False
        try:
            yield
            ran = True
        finally:
            if won is not None:
                self.settle(won, Outcome.RAN if ran else progress.outcome)

    async def claim_for(self, envelope: Envelope, parent: Span) -> WonClaim | None:
        """Claim a request's key; one without a key may be repeated and holds none."""
        if not envelope.key:
            return None
        with self.tracing.child_span("claim", parent):
            won = await self.claim(
                envelope.key, envelope.caller.name, envelope.deadline
            )
        if not isinstance(won, Success):
            raise Refused(won.failure())
        self.journal.record(envelope.request_id, "claimed", key=envelope.key)
        claim: WonClaim = won.unwrap()
        return claim

    async def claim(
        self, key: str, caller: str, deadline: Instant
    ) -> Result[WonClaim, Refusal]:
        """Claim a caller's key for a new attempt, before the deadline."""
        home = home_of(key, self.data_centres)
        attempt = AttemptId(uuid.uuid4().hex)
        own_key = f"{caller}/{key}"
        end = min(deadline, self.clock.monotonic() + self.policy.window)
        while True:
            round_ = await self.vote(self.view(home), own_key, attempt)
            standing = round_.standing(self.clock.monotonic())
            self.learn(round_)
            if standing is Standing.WON:
                self.metrics.claims.inc({"standing": "won"})
                return Success(WonClaim(round_))
            if standing is Standing.HELD or self.clock.monotonic() >= end:
                self.metrics.claims.inc({"standing": standing.value})
                self.send(round_.release(), round_.view)
                return Failure(refusal_of(round_, standing))
            await asyncio.sleep(ROUND_PAUSE_S)

    def learn(self, round_: ClaimRound) -> None:
        """Remember a later view that a guard named."""
        later = round_.later_view()
        if later is not None:
            self.learned[later.data_centre] = later

    async def vote(self, view: View, key: str, attempt: AttemptId) -> ClaimRound:
        """Ask all guards at once, and stop when the votes decide."""
        round_ = ClaimRound(view, key, attempt, self.clock.monotonic(), self.policy)
        if not view.guards:
            return round_
        window_s = self.policy.window.total_seconds()
        asks = [
            asyncio.create_task(self.ask(round_, guard, window_s))
            for guard in view.guards
        ]
        for done in asyncio.as_completed(asks):
            await done
            if round_.standing(self.clock.monotonic()) is not Standing.OPEN:
                break
        return round_

    async def ask(
        self, round_: ClaimRound, guard: GuardAddress, timeout_s: float
    ) -> None:
        """Ask one guard for its vote."""
        answer = await self.peers.call(guard.address, round_.request(), timeout_s)
        vote = answer.value_or(None)
        if isinstance(vote, ClaimVote):
            round_.take(guard.host_id, vote)
        else:
            round_.take_silence(guard.host_id)

    def settle(self, claim: WonClaim, outcome: Outcome) -> None:
        """Tell the guards what became of a claimed request.

        NOT_RUN gives the key back, so it must be certain and final.
        """
        self.send(claim.round.settle(outcome), claim.round.view)

    def send(self, message: Settle, view: View) -> None:
        """Tell all guards without waiting; one that misses it lets the claim expire."""
        for guard in view.guards:
            task = asyncio.create_task(self.tell(guard, message))
            self.sending.add(task)
            task.add_done_callback(self.sending.discard)

    async def tell(self, guard: GuardAddress, message: Settle) -> None:
        """Tell one guard."""
        await self.peers.call(guard.address, message)


def refusal_of(round_: ClaimRound, standing: Standing) -> Refusal:
    """Return the answer to a request whose key was not won."""
    if standing is not Standing.HELD:
        message = "the key's guards cannot be reached; the request was not started"
        return not_run(Reason.CLAIM_UNAVAILABLE, message, RETRY_AFTER)
    settled = round_.settled()
    if settled is None:
        message = "another attempt holds the key; this one was not started"
        return Refusal(Reason.KEY_HELD, Outcome.UNKNOWN, message, RETRY_AFTER)
    message = "an earlier attempt used the key; this one was not started"
    return Refusal(Reason.KEY_SETTLED, settled, message)
