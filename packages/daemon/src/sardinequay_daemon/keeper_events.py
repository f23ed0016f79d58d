"""Events of the keeper task: results of orders and reports, and changed assignments."""

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
    """Event: an engine returned the report that was requested at `asked_at`."""

    pool: PoolName
    report: EngineReport
    asked_at: Instant


@dataclass(frozen=True, slots=True)
class LoadEnded:
    """Event: a load order succeeded or failed."""

    pool: PoolName
    order: LoadCommand
    duration: timedelta
    error: TargetError | None


@dataclass(frozen=True, slots=True)
class UnloadEnded:
    """Event: an eviction order succeeded or failed."""

    pool: PoolName
    order: UnloadCommand
    error: TargetError | None


@dataclass(frozen=True, slots=True)
class RecallEnded:
    """Event: a lease holder replied to a recall."""

    pool: PoolName
    order: RecallCommand
    reply: Recalled


@dataclass(frozen=True, slots=True)
class AssignmentChanged:
    """Event: the bundle, the roster or the live members changed.

    These determine which host is the keeper of which pool.
    """

    bundle: Bundle
    roster: Roster
    members: tuple[Member, ...]
