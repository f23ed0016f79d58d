"""The decisions of sardinequay, without input or output.

Every module here is pure: it reads no clock, opens no socket, starts no task. State is
owned by the daemon's tasks, which feed it events and carry out what it decides. The
names below are the ones to begin with; each module's own names are public, too.
"""

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
