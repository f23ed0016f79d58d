"""The guard's side of claims: a non-idempotent request's key is granted at most once.

Before a host dispatches such a request it claims the key at a majority of the guards of
the key's home data centre. Two majorities of one view overlap, so one attempt at most
wins. What ties the views together, and lets guards forget everything they knew, is in
`joining`; docs/design/at-most-once.md gives the argument.

A claim is soft state: it lives for `ClaimPolicy.life` in memory, and nobody needs to
look after it.
"""

from dataclasses import dataclass
from datetime import timedelta
from enum import Enum

from .clock import ZERO, Instant
from .names import AttemptId, DataCentre, HostId
from .outcome import Outcome
from .views import GuardAddress, View

MAX_KEY_CHARS = 200
PAGE_KEYS = 4000
"""Keys in one page of a handover: some 400 kB on the wire."""


@dataclass(frozen=True, slots=True)
class ClaimPolicy:
    """The durations that claims rest on.

    Parameters
    ----------
    life : timedelta
        How long a claim is remembered; a caller must not retry a key after that.
    window : timedelta
        How old a vote or a handover may be when it is counted. The argument for
        restarted guards rests on it: clocks must run alike over this time.
    lapse : timedelta
        How long a guard votes on without having read, from the platform, a list that
        makes it a guard. Longer outages of the platform stop non-idempotent requests;
        a shorter lapse brings them back sooner when most guards are gone for good.
    list_lag : timedelta
        How far the platform's list may be behind.
    """

    life: timedelta = timedelta(minutes=10)
    window: timedelta = timedelta(seconds=2)
    lapse: timedelta = timedelta(hours=2)
    list_lag: timedelta = timedelta(minutes=1)


class Vote(Enum):
    """A guard's answer to a claim."""

    GRANTED = "granted"
    HELD = "held"
    OLD_VIEW = "old_view"
    ABSTAINS = "abstains"


@dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Message: an attempt claims a key in a view."""

    view: View
    key: str
    attempt: AttemptId


@dataclass(frozen=True, slots=True)
class ClaimVote:
    """Message: a guard's vote, and a later view if it knows one."""

    vote: Vote
    later_view: View | None = None
    settled: Outcome | None = None


@dataclass(frozen=True, slots=True)
class Settle:
    """Message: what became of a claimed request. NOT_RUN releases its key."""

    data_centre: DataCentre
    key: str
    attempt: AttemptId
    outcome: Outcome


@dataclass(frozen=True, slots=True)
class Settled:
    """Message: a settlement was taken."""


@dataclass(frozen=True, slots=True)
class ClaimRecord:
    """One claim as it is handed over; its age spares the clocks from agreeing."""

    key: str
    attempt: AttemptId
    age: timedelta
    settled: Outcome | None = None


@dataclass(frozen=True, slots=True)
class HandoverRequest:
    """Message: seal `view` in favour of `successor`, and tell its claims."""

    view: View
    successor: View
    asker: HostId
    incarnation: int
    after_key: str = ""


@dataclass(frozen=True, slots=True)
class Handover:
    """Message: what a guard remembers.

    Parameters
    ----------
    remembers : bool
        False from a guard that restarted and may have forgotten votes.
    incarnation : int
        The guard's own.
    base : View or None
        The last view in which it voted or whose claims it gathered.
    later_views : tuple of View
        Views above the sealed one that it heard of.
    asked_before : tuple of View
        Views that earlier incarnations of the asker were joining.
    records : tuple of ClaimRecord
        Claims in the order of their keys; more follow after the last if `more`.
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
    """Message: ask a host for the last view in which it guards a data centre."""

    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class ViewReply:
    """Message: the last view in which a host guards, if any."""

    view: View | None


@dataclass(slots=True)
class Claim:
    """One attempt's claim of a key, as a guard remembers it."""

    granted_at: Instant
    settled: Outcome | None = None


@dataclass(slots=True)
class Asked:
    """What one incarnation of a host asked this guard to hand over for."""

    incarnation: int
    view: View


class Guard:
    """One host's memory of claims for one data centre's keys.

    Parameters
    ----------
    me : HostId
        This host.
    incarnation : int
        Differs after each restart.
    founding : View or None
        The founding view if this process started before the service did, so that it
        cannot have forgotten anything; None for a guard that restarted.
    started_at : timedelta
        When the process started.
    """

    def __init__(
        self,
        me: HostId,
        incarnation: int,
        policy: ClaimPolicy,
        started_at: Instant,
        founding: View | None = None,
    ) -> None:
        self.me = me
        self.started_at = started_at
        self.listed_at = started_at
        self.listed: tuple[GuardAddress, ...] = ()
        self.listed_from = started_at
        self.incarnation = incarnation
        self.policy = policy
        self.remembers = founding is not None and founding.has(me)
        self.base: View | None = founding if self.remembers else None
        self.active: View | None = self.base
        self.promised = 0
        self.heard: dict[int, View] = {}
        self.asked: dict[HostId, list[Asked]] = {}
        self.claims: dict[str, dict[AttemptId, Claim]] = {}

    def newest_view(self) -> View | None:
        """Return the latest view heard of."""
        views = [*self.heard.values(), *([self.active] if self.active else [])]
        return max(views, key=lambda view: view.number, default=None)

    def hear_view(self, view: View) -> None:
        """Remember a view, unless it is behind the active one."""
        if self.active is None or view.number > self.active.number:
            self.heard[view.number] = view

    def read_list(self, view: View, now: Instant) -> None:
        """Take the view that the platform's list, read just now, defines."""
        self.hear_view(view)
        self.follow_same_guards(view)
        if self.listed != view.guards:
            self.listed, self.listed_from = view.guards, now
        if self.active is not None and self.active.guards == view.guards:
            self.listed_at = now

    def listed_since(self, guards: tuple[GuardAddress, ...]) -> Instant | None:
        """Return since when the list, as read here, names just these guards."""
        return self.listed_from if self.listed == guards else None

    def claim(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Vote on a claim."""
        self.hear_view(request.view)
        self.follow_same_guards(request.view)
        active = self.active
        number = request.view.number
        if number < self.promised or (active is not None and number < active.number):
            return ClaimVote(Vote.OLD_VIEW, self.newest_view())
        is_current = active is not None and active.number == number
        is_listed = now - self.listed_at <= self.policy.lapse
        if not is_current or not is_listed or self.is_sealed():
            return ClaimVote(Vote.ABSTAINS)
        return self.vote(request, now)

    def is_sealed(self) -> bool:
        """Return whether the active view was handed over to a later one."""
        return self.active is not None and self.promised > self.active.number

    def follow_same_guards(self, view: View) -> None:
        """Enter a later view of the same guards at once: majorities still overlap.

        Not when sealed: then another view lies between, with claims of its own.
        """
        active = self.active
        if active is None or self.is_sealed() or view.number <= active.number:
            return
        if view.guards == active.guards:
            self.enter(view)

    def enter(self, view: View) -> None:
        """Vote in a view from now on; that it is listed is known from reading it."""
        self.remembers = True
        self.active = self.base = view
        self.promised = max(self.promised, view.number)
        self.heard = {n: v for n, v in self.heard.items() if n > view.number}

    def vote(self, request: ClaimRequest, now: Instant) -> ClaimVote:
        """Grant a key that no other attempt holds."""
        attempts = self.claims.setdefault(request.key, {})
        self.forget_old(attempts, now)
        others = [c for a, c in attempts.items() if a != request.attempt]
        if others:
            settled = next((c.settled for c in others if c.settled), None)
            return ClaimVote(Vote.HELD, settled=settled)
        attempts.setdefault(request.attempt, Claim(now))
        return ClaimVote(Vote.GRANTED)

    def settle(self, message: Settle) -> None:
        """Take what became of a claimed request."""
        attempts = self.claims.get(message.key, {})
        claim = attempts.get(message.attempt)
        if claim is None:
            return
        if message.outcome is not Outcome.NOT_RUN:
            claim.settled = message.outcome
            return
        del attempts[message.attempt]
        if not attempts:
            del self.claims[message.key]

    def forget_old(self, attempts: dict[AttemptId, Claim], now: Instant) -> None:
        """Forget claims of one key whose life is over."""
        life = self.policy.life
        for attempt in [a for a, c in attempts.items() if now - c.granted_at > life]:
            del attempts[attempt]

    def expire(self, now: Instant) -> None:
        """Forget all claims whose life is over."""
        for key, attempts in list(self.claims.items()):
            self.forget_old(attempts, now)
            if not attempts:
                del self.claims[key]

    def hand_over(self, request: HandoverRequest, now: Instant) -> Handover:
        """Seal a view in favour of a later one and tell what is remembered."""
        if not self.remembers:
            return Handover(remembers=False, incarnation=self.incarnation)
        self.promised = max(self.promised, request.successor.number)
        self.hear_view(request.successor)
        before = self.note_asker(request)
        page, more = self.page(request.after_key, now)
        later = [v for n, v in sorted(self.heard.items()) if n > request.view.number]
        return Handover(
            remembers=True,
            incarnation=self.incarnation,
            base=self.base,
            later_views=tuple(later),
            asked_before=before,
            records=page,
            more=more,
        )

    def note_asker(self, request: HandoverRequest) -> tuple[View, ...]:
        """Remember who joins which view; return what its earlier selves joined."""
        asked = self.asked.setdefault(request.asker, [])
        mine = [a for a in asked if a.incarnation == request.incarnation]
        if all(a.view != request.successor for a in mine):
            asked.append(Asked(request.incarnation, request.successor))
        return tuple(a.view for a in asked if a.incarnation != request.incarnation)

    def page(
        self, after_key: str, now: Instant
    ) -> tuple[tuple[ClaimRecord, ...], bool]:
        """Return the next claims by the order of keys, and whether more follow."""
        self.expire(now)
        keys = sorted(key for key in self.claims if key > after_key)
        records = tuple(
            ClaimRecord(key, attempt, max(ZERO, now - c.granted_at), c.settled)
            for key in keys[:PAGE_KEYS]
            for attempt, c in sorted(self.claims[key].items())
        )
        return records, len(keys) > PAGE_KEYS

    def merge(self, records: tuple[ClaimRecord, ...], now: Instant) -> None:
        """Take claims that another guard remembers.

        Two attempts may each have had votes for a key. Both are kept, so that when the
        one that lost releases the key, the one that won still holds it.
        """
        for record in records:
            attempts = self.claims.setdefault(record.key, {})
            claim = attempts.setdefault(record.attempt, Claim(now - record.age))
            claim.granted_at = max(claim.granted_at, now - record.age)
            claim.settled = claim.settled or record.settled
