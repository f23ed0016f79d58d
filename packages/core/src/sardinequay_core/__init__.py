"""State machines and decision logic of sardinequay, without input or output.

Modules of this package read no clock, open no socket and start no task. The daemon's
tasks own the state objects, pass events to them and carry out the decisions that they
return. This module re-exports the main classes; all names of the modules are public.
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
    """Import the module of an exported name on first access.

    Loading lazily saves a process that verifies no signatures the cryptography
    library, which takes 8 MB of resident memory after the import of this package.
    """
    module = MODULES.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(import_module(f".{module}", __name__), name)
