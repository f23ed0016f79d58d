"""Messages between hosts about contents of requests under suspicion.

Moments travel as ages in seconds.
"""

from dataclasses import dataclass

from sardinequay_core.names import ContentId, TargetId

from .wire import register_messages


@dataclass(frozen=True, slots=True)
class EndSeen:
    """That a target ended while it had a request of some content.

    Parameters
    ----------
    incarnation : int
        The target's start that ended, in Unix milliseconds.
    age_s : float
        How long ago, in seconds.
    """

    target: TargetId
    incarnation: int
    age_s: float


@dataclass(frozen=True, slots=True)
class ContentNews:
    """What the sender knows against a content of requests.

    Parameters
    ----------
    cleared_s : float or None
        How long ago a request of it was answered, in seconds; None if never.
    """

    content: ContentId
    ends: tuple[EndSeen, ...]
    cleared_s: float | None = None


@dataclass(frozen=True, slots=True)
class AskPermit:
    """Asks for leave to run a request of a content under suspicion.

    Parameters
    ----------
    run : str
        The attempt, unlike any other in the fleet.
    news : ContentNews
        What the sender knows against the content.
    """

    run: str
    news: ContentNews


@dataclass(frozen=True, slots=True)
class PermitReply:
    """Whether the run may begin, and what the receiver of the question knows."""

    is_granted: bool
    news: ContentNews


@dataclass(frozen=True, slots=True)
class PermitBack:
    """Gives a permit back, with what the run showed."""

    run: str
    news: ContentNews


@dataclass(frozen=True, slots=True)
class ContentsTold:
    """Tells what the sender has seen itself, or asks for what the receiver knows."""

    contents: tuple[ContentNews, ...]
    wants_all: bool = False


@dataclass(frozen=True, slots=True)
class ContentsReply:
    """What the receiver of the question knows; empty if nothing was asked."""

    contents: tuple[ContentNews, ...]


register_messages((AskPermit, ContentsReply, ContentsTold, PermitBack, PermitReply))
