"""What hosts tell one another of targets that leave."""

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
