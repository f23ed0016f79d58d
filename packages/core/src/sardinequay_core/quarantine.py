"""Which contents of requests end the targets that run them.

Load pattern: a caller comes again and again with a request that ends each target which
runs it, under a new request id, at any host. Judging targets alone sends it to the next
one each time, and each end takes the other requests there with it. So an end counts
against the content of every request that was there, hosts tell one another, and a
content that was at two ends is held.

Most contents at an end are innocent: they were beside the one at fault. A whole answer
clears a content, and after a short hold a content with two ends is tried once more.
"""

from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import ZERO, Instant
from .names import ContentId, TargetId


@dataclass(frozen=True, slots=True)
class QuarantinePolicy:
    """When a content is held, and for how long.

    Parameters
    ----------
    held_from : int
        Ends of targets from which a content is held. One end has all requests on the
        target for witnesses; the same content at a second one is seldom chance.
    first_hold : timedelta
        How long it is held then: until a target that ended is back, so that one more
        run meets a whole pool.
    long_hold : timedelta
        How long it is held after one more end, and twice as long after each further
        one. A fault of a target's program is not mended sooner.
    most_ends : int
        Ends that are kept of one content, which bounds the hold, too.
    same_end : timedelta
        Ends of one target and start within this are one end, told by several hosts.
        Without bound where a target's id or start tells one life of it from the next.
    remember : timedelta
        How long a content that is not held any more stays under suspicion.
    most_contents : int
        Contents that are kept; some 750 bytes each, 0.8 MB together as measured.
    """

    min_ends_to_hold: int = 2
    first_hold: timedelta = timedelta(seconds=5)
    long_hold: timedelta = timedelta(minutes=10)
    max_ends: int = 8
    same_end_span: timedelta = timedelta.max
    retention: timedelta = timedelta(hours=1)
    max_contents: int = 1024


@dataclass(frozen=True, slots=True)
class TargetEnd:
    """The end of a target that had a request of some content.

    Parameters
    ----------
    incarnation : int
        The target's start that ended, in Unix milliseconds; 0 if it does not say.
    """

    target: TargetId
    incarnation: int
    at: Instant


@dataclass(slots=True)
class Suspicion:
    """What is known against one content.

    Parameters
    ----------
    cleared_at : timedelta or None
        When a request of it was last answered; ends before that do not count.
    held_until : timedelta or None
        Until when it is held; None if it never was. Kept, since each request asks for
        it and all are gone through twice a second: 17 ms for all when worked out anew.
    number : int
        Of the last change, among those of all contents.
    """

    ends: list[TargetEnd] = field(default_factory=list)
    cleared_at: Instant | None = None
    changed_at: Instant = ZERO
    held_until: Instant | None = None
    change_number: int = 0


@dataclass(slots=True)
class Quarantine:
    """The contents under suspicion, as one host knows them.

    Hosts pass on what they hear. All that is told may be lost, repeated or late.
    """

    policy: QuarantinePolicy = field(default_factory=QuarantinePolicy)
    suspicions: dict[ContentId, Suspicion] = field(default_factory=dict)
    last_change_number: int = 0

    # What comes in.

    def record_target_end(
        self, content: ContentId, end: TargetEnd, now: Instant
    ) -> bool:
        """Take that a target ended under such a request; return whether that is new.

        Parameters
        ----------
        now : timedelta
            When this host hears of it.
        """
        known = self.suspicions.get(content)
        if known is not None:
            if known.cleared_at is not None and end.at <= known.cleared_at:
                return False
            if self.merge_known_end(known, end):
                return False
        else:
            self.evict_least_suspect()
            known = self.suspicions[content] = Suspicion()
        known.ends.append(end)
        known.ends.sort(key=lambda e: e.at)
        del known.ends[: -self.policy.max_ends]
        self.record_change(known, now)
        return True

    def merge_known_end(self, known: Suspicion, end: TargetEnd) -> bool:
        """Return whether an end is known, and keep the earliest moment told of it.

        What a cut or a freeze held up arrives with the age that it had before, and so
        seems later than it was. Taken for another end, one end held its contents.
        """
        for place, other in enumerate(known.ends):
            if self.is_same_end(end, other):
                if end.at < other.at:
                    known.ends[place] = end
                    known.ends.sort(key=lambda e: e.at)
                    known.held_until = self.hold_expiry(known.ends)
                return True
        return False

    def is_same_end(self, end: TargetEnd, other: TargetEnd) -> bool:
        """Return whether two witnesses tell of one end."""
        return (
            end.target == other.target
            and end.incarnation == other.incarnation
            and abs(end.at - other.at) < self.policy.same_end_span
        )

    def clear_content(self, content: ContentId, at: Instant, now: Instant) -> bool:
        """Take that a request was answered, or an operator let it go.

        Returns whether that changes anything.
        """
        known = self.suspicions.get(content)
        if known is None:
            return False
        if known.cleared_at is not None and at <= known.cleared_at:
            return False
        was_suspect = bool(known.ends)
        known.cleared_at = at
        known.ends = [e for e in known.ends if e.at > at]
        if was_suspect:
            self.record_change(known, now)
        return was_suspect

    def record_change(self, known: Suspicion, now: Instant) -> None:
        """Give a change its number."""
        self.last_change_number += 1
        known.change_number = self.last_change_number
        known.changed_at = now
        known.held_until = self.hold_expiry(known.ends)

    # What follows from it.

    def ends_of(self, content: ContentId) -> tuple[TargetEnd, ...]:
        """Return the ends that count against a content, the oldest first."""
        known = self.suspicions.get(content)
        return tuple(known.ends) if known is not None else ()

    def held_until(self, content: ContentId) -> Instant | None:
        """Return until when a content is held; None if it never was."""
        known = self.suspicions.get(content)
        return known.held_until if known is not None else None

    def hold_expiry(self, ends: Sequence[TargetEnd]) -> Instant | None:
        """Return until when ends, the last one last, hold a content."""
        further = len(ends) - self.policy.min_ends_to_hold
        if further < 0:
            return None
        hold = self.policy.first_hold
        if further:
            hold = self.policy.long_hold * 2 ** (further - 1)
        return ends[-1].at + hold

    def remaining_hold(self, content: ContentId, now: Instant) -> timedelta:
        """Return how long a content is still held; nothing if it is not."""
        until = self.held_until(content)
        return max(ZERO, until - now) if until is not None else ZERO

    def is_suspect(self, content: ContentId) -> bool:
        """Return whether any end counts against a content."""
        return bool(self.ends_of(content))

    def held_contents(self, now: Instant) -> tuple[ContentId, ...]:
        """Return the contents that are held."""
        return tuple(
            c
            for c, known in self.suspicions.items()
            if known.held_until is not None and known.held_until > now
        )

    # What peers are told.

    def changed_since(self, number: int, most: int) -> tuple[ContentId, ...]:
        """Return the contents that changed after a change, the oldest change first."""
        if number >= self.last_change_number:
            return ()
        changed = [c for c, s in self.suspicions.items() if s.change_number > number]
        changed.sort(key=lambda c: self.suspicions[c].change_number)
        return tuple(changed[:most])

    # Bounds.

    def evict_least_suspect(self) -> None:
        """Forget the content with the least against it, the oldest of them."""
        while len(self.suspicions) >= self.policy.max_contents:
            least = min(
                self.suspicions.items(),
                key=lambda item: (len(item[1].ends), item[1].changed_at),
            )
            del self.suspicions[least[0]]

    def expire_suspicions(self, now: Instant) -> None:
        """Forget contents of which nothing was heard for long."""
        for content, known in tuple(self.suspicions.items()):
            until = known.held_until or known.changed_at
            if now - max(until, known.changed_at) > self.policy.retention:
                del self.suspicions[content]
