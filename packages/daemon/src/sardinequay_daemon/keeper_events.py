"""What the keeper's task hears: answers of engines and holders, and who keeps what."""

from dataclasses import dataclass
from datetime import timedelta

from sardinequay_core.bundle import Bundle
from sardinequay_core.clock import Instant
from sardinequay_core.engine_record import (
    EngineReport,
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from sardinequay_core.membership import Member
from sardinequay_core.names import PoolName
from sardinequay_core.roster import Roster

from .errors import TargetError
from .messages import Recalled


@dataclass(frozen=True, slots=True)
class ReportArrived:
    """Event: an engine answered what it was asked at `asked_at`."""

    pool: PoolName
    report: EngineReport
    asked_at: Instant


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """Event: an order to load came to its end."""

    pool: PoolName
    order: LoadCommand
    duration: timedelta
    error: TargetError | None


@dataclass(frozen=True, slots=True)
class UnloadEnded:
    """Event: an order to evict came to its end."""

    pool: PoolName
    order: UnloadCommand
    error: TargetError | None


@dataclass(frozen=True, slots=True)
class RecallEnded:
    """Event: a holder answered a recall."""

    pool: PoolName
    order: RecallCommand
    answer: Recalled


@dataclass(frozen=True, slots=True)
class AssignmentChanged:
    """Event: what there is to keep, or who is alive, has changed."""

    bundle: Bundle
    roster: Roster
    members: tuple[Member, ...]
