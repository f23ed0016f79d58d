"""What is held, in the words of refusals and for operators."""

from dataclasses import dataclass

from sardinequay_core.blame import Blame, held_by_itself
from sardinequay_core.clock import Instant
from sardinequay_core.features import is_part
from sardinequay_core.names import FeatureId, TargetId
from sardinequay_core.quarantine import Quarantine

from .updates import age_s


@dataclass(frozen=True, slots=True)
class HeldContent:
    """A quarantined feature, as shown to operators.

    Parameters
    ----------
    content : FeatureId
        A content, or a part of prompts.
    targets : list of TargetId
        Targets that ended while they had a request of it, the latest last.
    last_s : float
        Time since the latest of these ends, in seconds.
    hold_s : float
        Time until the quarantine ends, in seconds.
    """

    content: FeatureId
    targets: list[TargetId]
    last_s: float
    hold_s: float


def describe_all_held(quarantine: Quarantine, now: Instant) -> list[HeldContent]:
    """Return the quarantined features, for operators."""
    blames = (held_by_itself(quarantine, f) for f in quarantine.held_features(now))
    return [
        describe_held(blame, now)
        for blame in blames
        if blame is not None and blame.remaining_hold(now)
    ]


def describe_blame(blame: Blame, now: Instant) -> str:
    """Return the reason for a refusal, for the caller."""
    what = "such requests"
    if is_part(blame.feature):
        what = f"requests with the prompt's {blame.feature}"
    last_s = age_s(blame.ends[-1].at, now)
    return f"{len(blame.ends)} targets ended under {what}, one {last_s:.1f} s ago"


def describe_held(blame: Blame, now: Instant) -> HeldContent:
    """Return a quarantined feature, for operators."""
    return HeldContent(
        blame.feature,
        [end.target for end in blame.ends],
        age_s(blame.ends[-1].at, now),
        round(blame.remaining_hold(now).total_seconds(), 3),
    )
