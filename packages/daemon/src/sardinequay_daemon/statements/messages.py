"""What hosts tell one another of what targets state."""

from dataclasses import dataclass

from sardinequay_core.names import TargetId


@dataclass(frozen=True, slots=True)
class LeavingNews:
    """A target has stated that it leaves.

    Parameters
    ----------
    incarnation : int
        Start of the target's process, in Unix milliseconds; 0 if unknown.
    age_s : float
        Time since the first answer that said so, in seconds.
    """

    target: TargetId
    incarnation: int
    age_s: float


@dataclass(frozen=True, slots=True)
class LoadNews:
    """A target has stated an unusual pace a moment ago.

    Whole numbers are sent, as they take fewer bytes. The types admit what no host
    sends, so that one invalid figure does not make a whole digest unreadable.

    Parameters
    ----------
    pace : float
        Time that work takes there, in percent of the usual.
    running, waiting, slots : int
        Requests that run and wait there, and how many can run.
    age_ms : float
        Time since the answer that said so, in milliseconds.
    """

    target: TargetId
    pace: float
    running: int
    waiting: int
    slots: int
    age_ms: float
