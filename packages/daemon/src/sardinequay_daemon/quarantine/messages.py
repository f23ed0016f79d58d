"""Messages between hosts about request contents under suspicion.

Times are sent as ages in seconds.
"""

from dataclasses import dataclass

from sardinequay_core.names import FeatureId, TargetId

from ..wire import register_messages


@dataclass(frozen=True, slots=True)
class EndSeen:
    """The end of a target's process while it had a request of a content.

    Parameters
    ----------
    incarnation : int
        When the process that ended was started, in Unix milliseconds.
    age_s : float
        Time since the end, in seconds.
    """

    target: TargetId
    incarnation: int
    age_s: float


@dataclass(frozen=True, slots=True)
class ContentNews:
    """The sender's observations of a request content.

    Parameters
    ----------
    cleared_s : float or None
        How long ago a request of it was answered, in seconds; None if never.
    """

    content: FeatureId
    ends: tuple[EndSeen, ...]
    cleared_s: float | None = None


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Requests a permit to run a request of a content under suspicion.

    Parameters
    ----------
    run : str
        Id of the run, unique in the fleet.
    news : ContentNews
        The sender's observations of the content.
    """

    run: str
    news: ContentNews


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Reply to `AskPermit`: whether the run may begin; the issuer's observations."""

    is_granted: bool
    news: ContentNews


@dataclass(frozen=True, slots=True)
class PermitBack:
    """Returns a permit, with the sender's observations after the run."""

    run: str
    news: ContentNews


@dataclass(frozen=True, slots=True)
class ContentsTold:
    """Reports the sender's own observations, or requests all of the receiver's."""

    contents: tuple[ContentNews, ...]
    wants_all: bool = False


@dataclass(frozen=True, slots=True)
class ContentsReply:
    """The observations that were requested; empty if none were."""

    contents: tuple[ContentNews, ...]


register_messages((AskPermit, ContentsReply, ContentsTold, PermitBack, PermitReply))
