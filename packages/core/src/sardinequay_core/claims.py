"""Guard side of claims, which grant each key of a non-idempotent request at most once.

Before a host dispatches such a request, it claims the request's key at a majority of
the guards of the key's home data centre. Any two majorities of one view overlap, so at
most one attempt wins. `view_join` implements the change from one view to the next and
the recovery of guards that lost all their state; docs/design/at-most-once.md gives the
argument for its safety.

Claims are soft state: they are held in memory and expire after `ClaimPolicy.retention`
without any cleanup by the claimant.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .clock import ZERO, Instant
from .names import AttemptId, DataCentre, HostId
from .outcome import Outcome
from .views import GuardAddress, View

MAX_KEY_CHARS = 200
HANDOVER_PAGE_KEYS = 4000
"""Number of keys in one page of a handover; a page is about 400 kB on the wire."""


@dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """The durations on which the safety of claims depends.

    Parameters
    ----------
    retention : timedelta
        How long guards remember a claim; a caller must not retry a key after that.
    vote_window : timedelta
        Maximum age of a vote or a handover when it is counted. Recovery of restarted
        guards depends on it: clocks of hosts must run at the same rate over this time.
    listing_timeout : timedelta
        How long a guard continues to vote after it last read a platform list that
        names it as a guard. Longer outages of the platform stop non-idempotent
        requests; a shorter timeout restores them sooner when most guards are lost
        permanently.
    max_list_lag : timedelta
        Maximum delay of the platform's list.
    """

    retention: timedelta = timedelta(minutes=10)
    vote_window: timedelta = timedelta(seconds=2)
    listing_timeout: timedelta = timedelta(hours=2)
    max_list_lag: timedelta = timedelta(minutes=1)


class ClaimDecision(Enum):
    """A guard's answer to a claim."""

    GRANTED = "granted"
    HELD = "held"
    OLD_VIEW = "old_view"
    ABSTAINS = "abstains"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Message: claim a key for an attempt in a view."""

    view: View
    key: str
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ClaimVote:
    """Message: a guard's vote, with a later view if the guard knows one."""

    vote: ClaimDecision
    later_view: View | None = None
    settled: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Settle:
    """Message: the outcome of a claimed request. NOT_RUN releases its key."""

    data_centre: DataCentre
    key: str
    attempt: AttemptId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Settled:
    """Message: the outcome was recorded."""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One claim in a handover; it carries an age because clocks of hosts differ."""

    key: str
    attempt: AttemptId
    age: timedelta
    settled: Outcome | None = None


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """Message: stop voting in `view` in favour of `successor`, and send its claims."""

    view: View
    successor: View
    asker: HostId
    incarnation: int
    after_key: str = ""


@dataclass(frozen=True, slots=True)
class Handover:
    """Message: the claims and views that a guard remembers.

    Parameters
    ----------
    remembers : bool
        False from a guard that restarted and may have lost votes.
    incarnation : int
        The incarnation of the answering guard.
    base : View or None
        The last view in which the guard voted or whose claims it gathered.
    later_views : tuple of View
        Known views with a higher number than the sealed one.
    asked_before : tuple of View
        Views that earlier incarnations of the requesting host were joining.
    records : tuple of ClaimRecord
        Claims sorted by key; if `more`, further claims follow after the last key.
    """

    remembers: bool
    incarnation: int
    base: View | None = None
    later_views: tuple[View, ...] = ()
    asked_before: tuple[View, ...] = ()
    records: tuple[ClaimRecord, ...] = ()
    more: bool = False


@dataclass(frozen=True, slots=True)
class ViewQuery:
    """Message: request the last view in which a host is a guard of a data centre."""

    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class ViewReply:
    """Message: the last view in which a host is a guard, if any."""

    view: View | None


@dataclass(slots=True)
class Claim:
    """One attempt's claim of a key in a guard's memory."""

    granted_at: Instant
    settled: Outcome | None = None


@dataclass(slots=True)
class JoinRequest:
    """A view that one incarnation of a host requested a handover for."""

    incarnation: int
    view: View


class Guard:
    """One host's record of the claims of one data centre's keys.

    Parameters
    ----------
    own_host_id : HostId
        The id of this host.
    incarnation : int
        Incarnation of this process; differs after each restart.
    founding_view : View or None
        The founding view if this process started before the service was first used, so
        that it cannot have lost votes; None for a guard that restarted.
    started_at : timedelta
        When the process started.
    """

    def __init__(
        self,
        own_host_id: HostId,
        incarnation: int,
        policy: ClaimPolicy,
        started_at: Instant,
        founding_view: View | None = None,
    ) -> None:
        self.own_host_id = own_host_id
        self.started_at = started_at
        self.listing_confirmed_at = started_at
        self.listed_guards: tuple[GuardAddress, ...] = ()
        self.listed_guards_since = started_at
        self.incarnation = incarnation
        self.policy = policy
        self.has_full_memory = founding_view is not None and founding_view.has_guard(
            own_host_id
        )
        self.base_view: View | None = founding_view if self.has_full_memory else None
        self.active_view: View | None = self.base_view
        self.lowest_allowed_view = 0
        self.known_later_views: dict[int, View] = {}
        self.join_requests: dict[HostId, list[JoinRequest]] = {}
        self.claims_by_key: dict[str, dict[AttemptId, Claim]] = {}

    def newest_known_view(self) -> View | None:
        """Return the active or known later view with the highest number."""
        views = [
            *self.known_later_views.values(),
            *([self.active_view] if self.active_view else []),
        ]
        return max(views, key=lambda view: view.number, default=None)

    def record_view(self, view: View) -> None:
        """Record a view if it is later than the active one."""
        if self.active_view is None or view.number > self.active_view.number:
            self.known_later_views[view.number] = view

    def record_listed_view(self, view: View, now: Instant) -> None:
        """Record the view defined by the platform's list, which was read at `now`."""
        self.record_view(view)
        self.enter_if_same_guards(view)
        if self.listed_guards != view.guards:
            self.listed_guards, self.listed_guards_since = view.guards, now
        if self.active_view is not None and self.active_view.guards == view.guards:
            self.listing_confirmed_at = now

    def listed_since(self, guards: tuple[GuardAddress, ...]) -> Instant | None:
        """Return since when the lists read here have named exactly these guards."""
        return self.listed_guards_since if self.listed_guards == guards else None

    def handle_claim(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Vote on a claim; refuse if its view is old, sealed or not active."""
        self.record_view(request.view)
        self.enter_if_same_guards(request.view)
        active = self.active_view
        number = request.view.number
        if number < self.lowest_allowed_view or (
            active is not None and number < active.number
        ):
            return ClaimVote(ClaimDecision.OLD_VIEW, self.newest_known_view())
        is_current = active is not None and active.number == number
        is_listed = now - self.listing_confirmed_at <= self.policy.listing_timeout
        if not is_current or not is_listed or self.is_sealed():
            return ClaimVote(ClaimDecision.ABSTAINS)
        return self.vote_on_claim(request, now)

    def is_sealed(self) -> bool:
        """Return whether the active view is sealed: handed over to a later one."""
        return (
            self.active_view is not None
            and self.lowest_allowed_view > self.active_view.number
        )

    def enter_if_same_guards(self, view: View) -> None:
        """Enter a later view at once if its guards are the same: majorities overlap.

        A sealed guard does not, because the claims of a view in between may be missing.
        """
        active = self.active_view
        if active is None or self.is_sealed() or view.number <= active.number:
            return
        if view.guards == active.guards:
            self.enter_view(view)

    def enter_view(self, view: View) -> None:
        """Make a view the active one, in which this guard votes from now on.

        Only a read of the platform's list confirms that the view is listed.
        """
        self.has_full_memory = True
        self.active_view = self.base_view = view
        self.lowest_allowed_view = max(self.lowest_allowed_view, view.number)
        self.known_later_views = {
            n: v for n, v in self.known_later_views.items() if n > view.number
        }

    def vote_on_claim(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Grant the key unless another attempt holds it."""
        attempts = self.claims_by_key.setdefault(request.key, {})
        self.prune_attempts(attempts, now)
        others = [c for a, c in attempts.items() if a != request.attempt]
        if others:
            settled = next((c.settled for c in others if c.settled), None)
            return ClaimVote(ClaimDecision.HELD, settled=settled)
        attempts.setdefault(request.attempt, Claim(now))
        return ClaimVote(ClaimDecision.GRANTED)

    def handle_settle(self, message: Settle) -> None:
        """Record the outcome of a claimed request; NOT_RUN releases the key."""
        attempts = self.claims_by_key.get(message.key, {})
        claim = attempts.get(message.attempt)
        if claim is None:
            return
        if message.outcome is not Outcome.NOT_RUN:
            claim.settled = message.outcome
            return
        del attempts[message.attempt]
        if not attempts:
            del self.claims_by_key[message.key]

    def prune_attempts(self, attempts: dict[AttemptId, Claim], now: Instant) -> None:
        """Remove expired claims of one key."""
        retention = self.policy.retention
        for attempt in [
            a for a, c in attempts.items() if now - c.granted_at > retention
        ]:
            del attempts[attempt]

    def expire_claims(self, now: Instant) -> None:
        """Remove expired claims of all keys."""
        for key, attempts in list(self.claims_by_key.items()):
            self.prune_attempts(attempts, now)
            if not attempts:
                del self.claims_by_key[key]

    def handle_handover_request(
        self, request: HandoverRequest, now: Instant
    ) -> Handover:
        """Seal a view in favour of a later one and return one page of its claims."""
        if not self.has_full_memory:
            return Handover(remembers=False, incarnation=self.incarnation)
        self.lowest_allowed_view = max(
            self.lowest_allowed_view, request.successor.number
        )
        self.record_view(request.successor)
        earlier_joins = self.record_join_request(request)
        page, more = self.claims_page(request.after_key, now)
        later = [
            v
            for n, v in sorted(self.known_later_views.items())
            if n > request.view.number
        ]
        return Handover(
            remembers=True,
            incarnation=self.incarnation,
            base=self.base_view,
            later_views=tuple(later),
            asked_before=earlier_joins,
            records=page,
            more=more,
        )

    def record_join_request(self, request: HandoverRequest) -> tuple[View, ...]:
        """Record a join of a host; return the views its earlier incarnations joined."""
        asked = self.join_requests.setdefault(request.asker, [])
        same_incarnation = [a for a in asked if a.incarnation == request.incarnation]
        if all(a.view != request.successor for a in same_incarnation):
            asked.append(JoinRequest(request.incarnation, request.successor))
        return tuple(a.view for a in asked if a.incarnation != request.incarnation)

    def claims_page(
        self, after_key: str, now: Instant
    ) -> tuple[tuple[ClaimRecord, ...], bool]:
        """Return the claims of the next keys in order, and whether more keys follow."""
        self.expire_claims(now)
        keys = sorted(key for key in self.claims_by_key if key > after_key)
        records = tuple(
            ClaimRecord(key, attempt, max(ZERO, now - c.granted_at), c.settled)
            for key in keys[:HANDOVER_PAGE_KEYS]
            for attempt, c in sorted(self.claims_by_key[key].items())
        )
        return records, len(keys) > HANDOVER_PAGE_KEYS

    def merge_records(self, records: tuple[ClaimRecord, ...], now: Instant) -> None:
        """Merge the claims that another guard remembers.

        Two attempts may each have received votes for a key. Both claims are kept, so
        that the winning attempt still holds the key after the other releases it.
        """
        for record in records:
            attempts = self.claims_by_key.setdefault(record.key, {})
            claim = attempts.setdefault(record.attempt, Claim(now - record.age))
            claim.granted_at = max(claim.granted_at, now - record.age)
            claim.settled = claim.settled or record.settled
