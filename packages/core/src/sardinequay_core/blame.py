"""Which feature of a request is at fault for ends of targets.

A feature at fault is rarely alone: others of the same requests are present at the same
ends, as well as some of requests that ran beside them. An end that a more suspect
feature explains does not count against a request without that feature, nor do ends that
an equally suspect feature explains all. So a part that only ever occurred beside the
one at fault is held together with it, and by itself is not.
"""

from collections.abc import Collection
from dataclasses import dataclass
from datetime import timedelta

from .clock import ZERO, Instant
from .features import is_part
from .names import FeatureId
from .quarantine import Quarantine, TargetEnd


@dataclass(frozen=True, slots=True)
class Blame:
    """A feature of a request that is held, or that may run only by a permit.

    Parameters
    ----------
    ends : tuple of TargetEnd
        The ends that count against it, the oldest first.
    held_until : timedelta or None
        When its hold ends; None if it is suspect and was never held.
    """

    feature: FeatureId
    ends: tuple[TargetEnd, ...]
    held_until: Instant | None

    def remaining_hold(self, now: Instant) -> timedelta:
        """Return how long the feature is still held; zero if it is not held."""
        return ZERO if self.held_until is None else max(ZERO, self.held_until - now)


@dataclass(frozen=True, slots=True, order=True)
class SuspicionRank:
    """How suspect a feature is; the more suspect one explains an end.

    Parameters
    ----------
    failed_share : float
        Share of the runs with the feature that ended a target.
    rounds : int
        Rounds of ends that count against it.
    """

    failed_share: float
    rounds: int


def find_blame(quarantine: Quarantine, features: Collection[FeatureId]) -> Blame | None:
    """Return the feature of a request that is held longest, or needs a permit."""
    blames = (blame_feature(quarantine, feature, features) for feature in features)
    found = [blame for blame in blames if blame is not None]
    return max(found, key=lambda blame: blame.held_until or ZERO, default=None)


def blame_feature(
    quarantine: Quarantine, feature: FeatureId, features: Collection[FeatureId]
) -> Blame | None:
    """Return what counts against one feature of a request; None if it may just run.

    Contents need a permit from their first end on: copies of one request may crash
    several targets before the first end is known. Parts and common contents need one
    only after a hold, as it makes their requests run one at a time.
    """
    if not quarantine.is_suspect(feature):
        return None
    runs_alone_from_first_end = not (is_part(feature) or quarantine.is_common(feature))
    if quarantine.held_until(feature) is None and not runs_alone_from_first_end:
        return None
    ends = unexplained_ends(quarantine, feature, features)
    held_until = quarantine.hold_expiry(feature, ends)
    if held_until is None and not (ends and runs_alone_from_first_end):
        return None
    return Blame(feature, ends, held_until)


def held_by_itself(quarantine: Quarantine, feature: FeatureId) -> Blame | None:
    """Return why a feature is held whatever else a request has; None if it is not.

    Of features that are equally suspect, each is.
    """
    if quarantine.held_until(feature) is None:
        return None
    ends = unexplained_ends(quarantine, feature, (feature,), are_equals_excused=False)
    held_until = quarantine.hold_expiry(feature, ends)
    return None if held_until is None else Blame(feature, ends, held_until)


def unexplained_ends(
    quarantine: Quarantine,
    feature: FeatureId,
    features: Collection[FeatureId],
    are_equals_excused: bool = True,
) -> tuple[TargetEnd, ...]:
    """Return the ends against a feature that nothing outside a request explains.

    Parameters
    ----------
    features : collection of FeatureId
        All features of the request.
    are_equals_excused : bool
        Whether an equally suspect feature explains ends, too.
    """
    own = rank_of(quarantine, feature)
    ends = quarantine.ends_of(feature)
    for other, suspicion in quarantine.suspicions.items():
        if suspicion.held_until is None or other in features:
            continue
        if not (is_part(feature) or is_part(other)):
            continue
        rank = rank_of(quarantine, other)
        left = tuple(end for end in ends if not was_present(quarantine, other, end))
        if rank > own or (rank == own and are_equals_excused and not left):
            ends = left
    return ends


def rank_of(quarantine: Quarantine, feature: FeatureId) -> SuspicionRank:
    """Return how suspect a feature is, by its ends and its answered requests."""
    ends = quarantine.ends_of(feature)
    sound = quarantine.sound_runs(feature).count(feature)
    rounds = len(quarantine.round_starts(feature, ends))
    return SuspicionRank(rounds / max(1, rounds + sound), rounds)


def was_present(quarantine: Quarantine, feature: FeatureId, end: TargetEnd) -> bool:
    """Return whether a feature was present at an end."""
    ends = quarantine.ends_of(feature)
    return any(quarantine.is_same_end(end, other) for other in ends)
