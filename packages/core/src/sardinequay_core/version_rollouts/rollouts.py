"""Which declared adapter versions are not in force yet, or have been for a short while.

A host learns of versions with the catalogue, and of what engines hold by their updates.
A version is in force once no live engine holds an earlier one.
"""

from collections.abc import Container, Mapping
from dataclasses import dataclass, field, replace

from ..catalogue import Catalogue
from ..clock import Instant, seconds
from ..names import AdapterRef, TargetId
from ..residency import Residency
from ..roster import Presence
from .progress import VersionProgress

LISTED_IN_FORCE = seconds(60)
"""How long a version is still listed once it is in force."""

MAX_ROLLOUTS = 100
"""Maximum number of listed versions; the oldest declarations are dropped first."""

EngineVersions = Mapping[str, Mapping[TargetId, AdapterRef]]


@dataclass(frozen=True, slots=True)
class VersionRollout:
    """The rollout of one declared version.

    Parameters
    ----------
    before : str
        The version that this host knew as the newest; empty if none was declared.
    known_since : timedelta
        When this host learned of the version.
    in_force_since : timedelta or None
        When this host first saw no engine behind.
    """

    newest: AdapterRef
    before: str
    known_since: Instant
    in_force_since: Instant | None = None


@dataclass(frozen=True, slots=True)
class RolloutUpdate:
    """Versions that have just come into force, and those that engines lack."""

    in_force: tuple[VersionProgress, ...]
    behind: tuple[VersionProgress, ...]


@dataclass(slots=True)
class VersionRollouts:
    """The rollouts of declared versions, by adapter, as one host knows them.

    Parameters
    ----------
    has_versions : bool
        Whether the store's first contents have arrived. Versions in them were declared
        earlier; they are listed only while engines are behind.
    """

    rollouts: dict[str, VersionRollout] = field(default_factory=dict)
    versions: Mapping[str, str] = field(default_factory=dict)
    has_versions: bool = False

    def apply_catalogue(
        self, catalogue: Catalogue, residency: Residency, now: Instant
    ) -> tuple[VersionRollout, ...]:
        """Begin rollouts of new versions; return those that were declared just now."""
        before, self.versions = self.versions, catalogue.newest_versions
        if before is self.versions or before == self.versions:
            self.has_versions = self.has_versions or catalogue.revision > 0
            return ()
        new = {
            name: VersionRollout(AdapterRef(name, version), before.get(name, ""), now)
            for name, version in self.versions.items()
            if before.get(name) != version
        }
        was_complete, self.has_versions = self.has_versions, True
        if not was_complete:
            new = self.unfinished(new, catalogue, residency)
        for name, rollout in new.items():
            self.rollouts.pop(name, None)
            self.rollouts[name] = rollout
        self.drop_oldest()
        return tuple(new.values()) if was_complete else ()

    def unfinished(
        self,
        rollouts: Mapping[str, VersionRollout],
        catalogue: Catalogue,
        residency: Residency,
    ) -> dict[str, VersionRollout]:
        """Return the rollouts in which an engine is behind."""
        held = engine_versions(catalogue, residency, rollouts)
        return {n: r for n, r in rollouts.items() if engines_behind(r.newest, held)}

    def drop_oldest(self) -> None:
        """Keep at most `MAX_ROLLOUTS`, the latest ones."""
        for name in tuple(self.rollouts)[:-MAX_ROLLOUTS]:
            del self.rollouts[name]

    def update(
        self, catalogue: Catalogue, residency: Residency, now: Instant
    ) -> RolloutUpdate:
        """Record which versions came into force, and drop old ones."""
        self.drop_in_force(now)
        listed = self.progress(catalogue, residency, now)
        in_force = tuple(p for p in listed if self.comes_into_force(p))
        for progress in in_force:
            name = progress.newest.name
            self.rollouts[name] = replace(self.rollouts[name], in_force_since=now)
        return RolloutUpdate(in_force, tuple(p for p in listed if p.behind))

    def comes_into_force(self, progress: VersionProgress) -> bool:
        """Return whether no engine is behind for the first time."""
        rollout = self.rollouts[progress.newest.name]
        return rollout.in_force_since is None and not progress.behind

    def drop_in_force(self, now: Instant) -> None:
        """Drop the versions that have been in force for a while."""
        for name, rollout in tuple(self.rollouts.items()):
            since = rollout.in_force_since
            if since is not None and now - since >= LISTED_IN_FORCE:
                del self.rollouts[name]

    def progress(
        self, catalogue: Catalogue, residency: Residency, now: Instant
    ) -> tuple[VersionProgress, ...]:
        """Return the progress of all listed versions, the latest first."""
        if not self.rollouts:
            return ()
        held = engine_versions(catalogue, residency, self.rollouts)
        return tuple(
            progress_of(rollout, held, now)
            for rollout in reversed(self.rollouts.values())
        )


def engine_versions(
    catalogue: Catalogue, residency: Residency, names: Container[str]
) -> EngineVersions:
    """Return which of some adapters live engines hold, by name and engine.

    Of several versions at one engine, requests use the newest.
    """
    found: dict[str, dict[TargetId, AdapterRef]] = {}
    for target_id, published in catalogue.targets.items():
        if published.target.presence is not Presence.LIVE:
            continue
        held = residency.holdings_of(published)
        for adapter in held.adapters:
            if adapter.name not in names:
                continue
            if residency.is_missing(target_id, adapter, held):
                continue
            engines = found.setdefault(adapter.name, {})
            other = engines.get(target_id)
            if other is None or adapter.is_at_least(other):
                engines[target_id] = adapter
    return found


def engines_behind(newest: AdapterRef, held: EngineVersions) -> tuple[TargetId, ...]:
    """Return the engines that hold an earlier version of an adapter."""
    engines = held.get(newest.name, {})
    return tuple(sorted(t for t, a in engines.items() if not a.is_at_least(newest)))


def progress_of(
    rollout: VersionRollout, held: EngineVersions, now: Instant
) -> VersionProgress:
    """Return the progress of a rollout by what engines hold."""
    behind = engines_behind(rollout.newest, held)
    engines = held.get(rollout.newest.name, {})
    current = tuple(sorted(t for t in engines if t not in behind))
    return VersionProgress(rollout.newest, now - rollout.known_since, current, behind)
