"""The state of one adapter version's rollout."""

from dataclasses import dataclass
from datetime import timedelta

from ..names import AdapterRef, TargetId


@dataclass(frozen=True, slots=True)
class VersionProgress:
    """Rollout of the newest declared version of an adapter, as one host knows it.

    Parameters
    ----------
    newest : AdapterRef
        The adapter in its newest declared version.
    known_for : timedelta
        Time since this host learned of the version.
    current, behind : tuple of TargetId
        Engines that hold the version or a later one, and engines that hold an
        earlier one.
    """

    newest: AdapterRef
    known_for: timedelta
    current: tuple[TargetId, ...]
    behind: tuple[TargetId, ...]
