"""The decisions of sardinequay, without input or output.

Every module here is pure: it reads no clock, opens no socket, starts no task. State is
owned by the daemon's tasks, which feed it events and carry out what it decides. The
names below are the ones to begin with; each module's own names are public, too.
"""

from importlib import import_module
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .bundle import Bundle, Contents
    from .claimant import ClaimRound
    from .guard_duty import GuardDuty
    from .keeper import Keeper
    from .leases import LeaseTable
    from .membership import Membership
    from .outcome import Outcome, Reason, Refusal
    from .rollout import Rollout
    from .roster import Roster

__all__ = [
    "Bundle",
    "ClaimRound",
    "Contents",
    "GuardDuty",
    "Keeper",
    "LeaseTable",
    "Membership",
    "Outcome",
    "Reason",
    "Refusal",
    "Rollout",
    "Roster",
]

MODULES = {
    "Bundle": "bundle",
    "ClaimRound": "claimant",
    "Contents": "bundle",
    "GuardDuty": "guard_duty",
    "Keeper": "keeper",
    "LeaseTable": "leases",
    "Membership": "membership",
    "Outcome": "outcome",
    "Reason": "outcome",
    "Refusal": "outcome",
    "Rollout": "rollout",
    "Roster": "roster",
}


def __getattr__(name: str) -> Any:
    """Import a public name's module when the name is first asked for.

    A host that verifies no signatures does not load the library for them, which takes
    8 MB of its memory (resident memory after the import of this package).
    """
    module = MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{module}", __name__), name)
