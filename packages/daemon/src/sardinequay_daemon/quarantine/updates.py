"""Conversion of observations of contents to and from messages between hosts.

Times are sent as ages, since the monotonic clocks of two hosts do not agree.
"""

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import FeatureId
from sardinequay_core.quarantine import Quarantine, TargetEnd

from .messages import ContentNews, EndSeen


def age_s(at: Instant, now: Instant) -> float:
    """Return the age of an instant, in seconds."""
    return round((now - at).total_seconds(), 3)


def content_update(
    quarantine: Quarantine, content: FeatureId, now: Instant
) -> ContentNews:
    """Return this host's observations of a content, for a message."""
    suspicion = quarantine.suspicions.get(content)
    if suspicion is None:
        return ContentNews(content, ())
    ends = tuple(
        EndSeen(e.target, e.incarnation, age_s(e.at, now)) for e in suspicion.ends
    )
    cleared_at = suspicion.cleared_at
    return ContentNews(
        content, ends, None if cleared_at is None else age_s(cleared_at, now)
    )


def apply_content_update(
    quarantine: Quarantine, update: ContentNews, now: Instant
) -> bool:
    """Apply a peer's observations of a content; return whether any of them is new."""
    is_new = False
    if update.cleared_s is not None:
        is_new = quarantine.clear_feature(
            update.content, now - seconds(update.cleared_s), now
        )
    for seen in update.ends:
        end = TargetEnd(seen.target, seen.incarnation, now - seconds(seen.age_s))
        is_new = quarantine.record_target_end(update.content, end, now) or is_new
    return is_new
