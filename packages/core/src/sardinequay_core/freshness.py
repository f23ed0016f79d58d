"""How old a host's copy of the store is, proved by what the host itself holds.

A proof has two halves: at some time nothing that matters was newer in the store than a
revision, and this host holds that revision. A peer can state the first half; the second
is this host's own.
"""

from dataclasses import dataclass
from datetime import timedelta

from .clock import Instant

MAX_OPEN_STATEMENTS = 16
"""Statements about revisions that this host does not hold yet; beyond, the oldest one
is dropped. While a host falls behind, each peer states a few a second."""


@dataclass(frozen=True, slots=True)
class FreshnessStatement:
    """Nothing that matters was newer in the store than a revision at some time.

    Parameters
    ----------
    as_of : timedelta
        When that was so, on this host's monotonic clock.
    """

    revision: int
    as_of: Instant


class Freshness:
    """Until when a host's copy of the store is known to be complete."""

    def __init__(self) -> None:
        self.held_revision = 0
        self.proven_revision = 0
        self.proven_at: Instant | None = None
        self.last_stated: Instant | None = None
        self.behind_since: Instant | None = None
        self.open_statements: dict[int, Instant] = {}

    def record(self, statement: FreshnessStatement, now: Instant) -> None:
        """Record a statement; it proves something once its revision is held."""
        self.last_stated = latest(self.last_stated, statement.as_of)
        if statement.revision <= self.held_revision:
            self.prove(statement)
            return
        if self.behind_since is None:
            self.behind_since = now
        known = self.open_statements.get(statement.revision)
        self.open_statements[statement.revision] = latest(known, statement.as_of)
        if len(self.open_statements) > MAX_OPEN_STATEMENTS:
            oldest = min(self.open_statements, key=self.open_statements.__getitem__)
            del self.open_statements[oldest]

    def hold(self, revision: int) -> None:
        """Record that the copy contains all changes up to a revision."""
        self.held_revision = max(self.held_revision, revision)
        for stated in [r for r in self.open_statements if r <= self.held_revision]:
            as_of = self.open_statements.pop(stated)
            self.prove(FreshnessStatement(stated, as_of))
        if not self.open_statements:
            self.behind_since = None

    def prove(self, statement: FreshnessStatement) -> None:
        """Apply a statement about a revision that is held."""
        self.proven_revision = max(self.proven_revision, statement.revision)
        self.proven_at = latest(self.proven_at, statement.as_of)

    def age(self, now: Instant) -> timedelta:
        """Return how old the copy may be; `timedelta.max` if nothing is proved."""
        return timedelta.max if self.proven_at is None else now - self.proven_at

    def age_of_last_statement(self, now: Instant) -> timedelta:
        """Return since when nobody is known to have read the store."""
        return timedelta.max if self.last_stated is None else now - self.last_stated

    @property
    def is_behind(self) -> bool:
        """Return whether a newer revision exists than the one that is held."""
        return bool(self.open_statements)


def latest(known: Instant | None, stated: Instant) -> Instant:
    """Return the later of two times, the first of which may be missing."""
    return stated if known is None else max(known, stated)
