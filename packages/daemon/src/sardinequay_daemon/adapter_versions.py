"""Rollouts of adapter versions, for operators: log lines, a gauge and a list."""

import logging
from dataclasses import dataclass
from datetime import timedelta

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import Clock
from sardinequay_core.version_rollouts import VersionRollouts

from .relay_state import RelayState
from .serving_metrics import ServingMetrics

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ListedVersion:
    """The rollout of an adapter's newest version, as the status page has it.

    Parameters
    ----------
    known_s : float
        Time since this host learned of the version, in seconds.
    current, behind : tuple of str
        Engines that hold the version or a later one, and those that hold an
        earlier one.
    """

    adapter: str
    version: str
    known_s: float
    current: tuple[str, ...]
    behind: tuple[str, ...]


class AdapterVersions:
    """Follows the rollouts of the versions that operators declare.

    Parameters
    ----------
    in_force_within : timedelta
        Time within which a declared version must be in force everywhere.
    """

    def __init__(
        self,
        state: RelayState,
        clock: Clock,
        metrics: ServingMetrics,
        in_force_within: timedelta,
    ) -> None:
        self.state = state
        self.clock = clock
        self.metrics = metrics
        self.in_force_within = in_force_within
        self.rollouts = VersionRollouts()

    def apply_catalogue(self, catalogue: Catalogue) -> None:
        """Begin the rollouts of versions that are new in the catalogue."""
        declared = self.rollouts.apply_catalogue(
            catalogue, self.state.residency, self.clock.monotonic()
        )
        for rollout in declared:
            log.info(
                "adapter version declared",
                extra={
                    "adapter": rollout.newest.name,
                    "version": rollout.newest.version,
                    "before": rollout.before,
                    "revision": catalogue.revision,
                    "age_s": self.state.logged_store_age_s(),
                },
            )

    def do_housekeeping(self) -> None:
        """Log the versions that have come into force, and update the gauge."""
        state, now = self.state, self.clock.monotonic()
        update = self.rollouts.update(state.catalogue, state.residency, now)
        for progress in update.in_force:
            log.info(
                "adapter version in force",
                extra={
                    "adapter": progress.newest.name,
                    "version": progress.newest.version,
                    "took_s": round(progress.known_for.total_seconds(), 2),
                    "engines": progress.current,
                },
            )
        overdue = [p for p in update.behind if p.known_for > self.in_force_within]
        self.metrics.overdue_versions.set({}, len(overdue))

    def listed(self) -> tuple[ListedVersion, ...]:
        """Return the listed versions for the status page."""
        progress_of_all = self.rollouts.progress(
            self.state.catalogue, self.state.residency, self.clock.monotonic()
        )
        return tuple(
            ListedVersion(
                progress.newest.name,
                progress.newest.version,
                round(progress.known_for.total_seconds(), 2),
                progress.current,
                progress.behind,
            )
            for progress in progress_of_all
        )
