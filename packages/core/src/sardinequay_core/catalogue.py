"""Immutable snapshot of the contents of the metadata store, with its revision.

The store's reader tasks apply changes to the snapshot; all other tasks only read it.
Versions of configurations and adapters never decrease, whether a change comes from this
host's own reader or from a peer.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch
from typing import TypeVar

from .clock import Instant
from .names import AdapterRef, PoolName, SoftwareVersion, TargetId
from .roster import Presence, Target
from .serving import ServingConfig

K = TypeVar("K")
V = TypeVar("V")
UNSTATED_VERSION = SoftwareVersion("")


@dataclass(frozen=True, slots=True)
class PublishedTarget:
    """A target's entry in the store.

    Parameters
    ----------
    adapters : frozenset of AdapterRef
        Adapters that the target reported as loaded. The target does not update its
        entry when only its adapters change.
    models : frozenset of str
        Base models that are loaded.
    incarnation : int
        Start time of the target's process, in Unix milliseconds, as the target reports
        it; 0 if it reports none. A target can restart under the same id and has then
        lost its models and adapters.
    software_version : SoftwareVersion
        Version of the target's program; empty if it states none.
    """

    target: Target
    slots: int
    revision: int
    models: frozenset[str] = frozenset()
    adapters: frozenset[AdapterRef] = frozenset()
    incarnation: int = 0
    software_version: SoftwareVersion = UNSTATED_VERSION


@dataclass(frozen=True, slots=True)
class ConfigPublished:
    """Change: a configuration was published."""

    config: ServingConfig


@dataclass(frozen=True, slots=True)
class TargetPublished:
    """Change: a target registered itself or updated its entry."""

    published: PublishedTarget


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """Change: a target's entry was removed."""

    target_id: TargetId


@dataclass(frozen=True, slots=True)
class TargetUnreadable:
    """Change: a target's entry cannot be decoded; the target is not used."""

    target_id: TargetId
    detail: str


@dataclass(frozen=True, slots=True)
class VersionPublished:
    """Change: an adapter has a newer version; `name` is ``model/adapter``."""

    name: str
    version: str


Change = (
    ConfigPublished
    | TargetPublished
    | TargetRemoved
    | TargetUnreadable
    | VersionPublished
)


@dataclass(frozen=True, slots=True)
class Catalogue:
    """The state of the store up to a revision.

    Parameters
    ----------
    revision : int
        The store's revision up to which changes have been applied.
    targets : mapping
        All listed targets, including leaving ones.
    unconfirmed : mapping
        Targets whose entries disappeared while the store was failing, and the time
        until which they are still used: a live target registers again.
    newest_versions : mapping
        Newest published version of each adapter, by ``model/adapter``.
    """

    revision: int = 0
    config: ServingConfig | None = None
    targets: Mapping[TargetId, PublishedTarget] = field(default_factory=dict)
    unconfirmed: Mapping[TargetId, Instant] = field(default_factory=dict)
    newest_versions: Mapping[str, str] = field(default_factory=dict)

    def live_targets(self, pool: PoolName) -> tuple[PublishedTarget, ...]:
        """Return the targets of a pool that accept new requests."""
        return tuple(
            t
            for t in self.targets.values()
            if t.target.pool == pool and t.target.presence is Presence.LIVE
        )

    def is_live(self, target_id: TargetId) -> bool:
        """Return whether a target is listed and not leaving."""
        listed = self.targets.get(target_id)
        return listed is not None and listed.target.presence is Presence.LIVE


def is_equal_except_revisions(first: Catalogue, second: Catalogue) -> bool:
    """Return whether two catalogues are equal apart from revisions.

    Targets renew their entries periodically, usually with unchanged contents.
    """
    return (
        first.config == second.config
        and first.unconfirmed == second.unconfirmed
        and first.newest_versions == second.newest_versions
        and first.targets.keys() == second.targets.keys()
        and all(
            first_entry is second_entry
            or replace(first_entry, revision=second_entry.revision) == second_entry
            for first_entry, second_entry in (
                (first.targets[t], second.targets[t]) for t in first.targets
            )
        )
    )


@dataclass(frozen=True, slots=True)
class RemovalPolicy:
    """How the removal of a target's entry is applied.

    Parameters
    ----------
    keep_until : timedelta or None
        Time until which a removed target is still used, because the store failed
        recently; None to remove the target immediately.
    """

    keep_until: Instant | None = None


@singledispatch
def apply_change(
    change: Change, catalogue: Catalogue, absence: RemovalPolicy
) -> Catalogue:
    """Return the catalogue with one change applied."""
    raise TypeError(f"no change of the catalogue: {change!r}")


@apply_change.register
def _(
    change: ConfigPublished, catalogue: Catalogue, absence: RemovalPolicy
) -> Catalogue:
    current = catalogue.config
    if current is not None and change.config.version <= current.version:
        return catalogue
    return replace(catalogue, config=change.config)


@apply_change.register
def _(
    change: TargetPublished, catalogue: Catalogue, absence: RemovalPolicy
) -> Catalogue:
    published = change.published
    target_id = published.target.target_id
    known = catalogue.targets.get(target_id)
    if known is not None and known.revision > published.revision:
        return catalogue
    if known is not None and known.incarnation > published.incarnation:
        # A delayed entry of an earlier incarnation; its models and adapters are lost.
        return catalogue
    return replace(
        catalogue,
        targets={**catalogue.targets, target_id: published},
        unconfirmed=without_key(catalogue.unconfirmed, target_id),
    )


@apply_change.register
def _(change: TargetRemoved, catalogue: Catalogue, absence: RemovalPolicy) -> Catalogue:
    target_id = change.target_id
    known = catalogue.targets.get(target_id)
    if known is None:
        return catalogue
    is_live = known.target.presence is Presence.LIVE
    if absence.keep_until is not None and is_live:
        if target_id in catalogue.unconfirmed:
            return catalogue
        still_used = {**catalogue.unconfirmed, target_id: absence.keep_until}
        return replace(catalogue, unconfirmed=still_used)
    return replace(
        catalogue,
        targets=without_key(catalogue.targets, target_id),
        unconfirmed=without_key(catalogue.unconfirmed, target_id),
    )


@apply_change.register
def _(
    change: TargetUnreadable, catalogue: Catalogue, absence: RemovalPolicy
) -> Catalogue:
    return replace(
        catalogue,
        targets=without_key(catalogue.targets, change.target_id),
        unconfirmed=without_key(catalogue.unconfirmed, change.target_id),
    )


@apply_change.register
def _(
    change: VersionPublished, catalogue: Catalogue, absence: RemovalPolicy
) -> Catalogue:
    known = catalogue.newest_versions.get(change.name)
    if known is not None and int(known) >= int(change.version):
        return catalogue
    newest = {**catalogue.newest_versions, change.name: change.version}
    return replace(catalogue, newest_versions=newest)


def without_key(mapping: Mapping[K, V], key: K) -> Mapping[K, V]:
    """Return `mapping` without `key`."""
    if key not in mapping:
        return mapping
    return {k: v for k, v in mapping.items() if k != key}


def expire_unconfirmed(catalogue: Catalogue, now: Instant) -> Catalogue:
    """Remove unconfirmed targets whose entries did not reappear in time."""
    expired = [t for t, until in catalogue.unconfirmed.items() if now >= until]
    for target_id in expired:
        catalogue = apply_change(TargetRemoved(target_id), catalogue, RemovalPolicy())
    return catalogue


def remove_unlisted(
    catalogue: Catalogue, changes: Iterable[Change | None], absence: RemovalPolicy
) -> Catalogue:
    """Return the catalogue without the targets that a complete listing lacks."""
    listed = {
        c.published.target.target_id for c in changes if isinstance(c, TargetPublished)
    }
    for target_id in tuple(catalogue.targets):
        if target_id not in listed:
            catalogue = apply_change(TargetRemoved(target_id), catalogue, absence)
    return catalogue
