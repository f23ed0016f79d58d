"""What the metadata store publishes, as one immutable state with its revision.

The store's tasks fold changes into it; everyone else reads it. A version of what is
served never goes back, whichever reader or peer brings it.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from functools import singledispatch
from typing import TypeVar

from .clock import Instant
from .names import AdapterRef, PoolName, TargetId
from .roster import Presence, Target
from .serving import ServingConfig

K = TypeVar("K")
V = TypeVar("V")


@dataclass(frozen=True, slots=True)
class PublishedTarget:
    """A target as the store lists it.

    Parameters
    ----------
    adapters : frozenset of AdapterRef
        Adapters that it reported to hold; changes of adapters alone are not reported.
    models : frozenset of str
        Base models that it holds.
    incarnation : int
        When its process started, in Unix milliseconds as the target says; 0 if it does
        not say. A target may start again under its id, and holds nothing then.
    """

    target: Target
    slots: int
    revision: int
    models: frozenset[str] = frozenset()
    adapters: frozenset[AdapterRef] = frozenset()
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class ConfigPublished:
    """A configuration was published."""

    config: ServingConfig


@dataclass(frozen=True, slots=True)
class TargetPublished:
    """A target registered itself or changed its entry."""

    published: PublishedTarget


@dataclass(frozen=True, slots=True)
class TargetRemoved:
    """A target's entry is gone."""

    target_id: TargetId


@dataclass(frozen=True, slots=True)
class TargetUnreadable:
    """A target's entry cannot be understood, so it names no target to use."""

    target_id: TargetId
    detail: str


@dataclass(frozen=True, slots=True)
class VersionPublished:
    """A newer version of an adapter exists; `name` is ``model/adapter``."""

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
    """Everything that is known from the store.

    Parameters
    ----------
    revision : int
        The store's revision up to which changes are folded in.
    targets : mapping
        Every listed target, leaving ones included.
    unconfirmed : mapping
        Targets whose entries vanished while the store was in trouble, and until when
        they are still used: the entry of a target that lives comes back.
    newest : mapping
        Newest version of each adapter that ever got one, by ``model/adapter``.
    """

    revision: int = 0
    config: ServingConfig | None = None
    targets: Mapping[TargetId, PublishedTarget] = field(default_factory=dict)
    unconfirmed: Mapping[TargetId, Instant] = field(default_factory=dict)
    newest_versions: Mapping[str, str] = field(default_factory=dict)

    def live_targets(self, pool: PoolName) -> tuple[PublishedTarget, ...]:
        """Return the targets of a pool that take new work."""
        return tuple(
            t
            for t in self.targets.values()
            if t.target.pool == pool and t.target.presence is Presence.LIVE
        )

    def is_live(self, target_id: TargetId) -> bool:
        """Return whether a target is listed and not about to leave."""
        listed = self.targets.get(target_id)
        return listed is not None and listed.target.presence is Presence.LIVE


def is_equal_except_revisions(one: Catalogue, other: Catalogue) -> bool:
    """Return whether two catalogues differ in nothing but revisions.

    Targets renew their entries all the time, most often with the same content.
    """
    return (
        one.config == other.config
        and one.unconfirmed == other.unconfirmed
        and one.newest_versions == other.newest_versions
        and one.targets.keys() == other.targets.keys()
        and all(
            was is is_now or replace(was, revision=is_now.revision) == is_now
            for was, is_now in ((one.targets[t], other.targets[t]) for t in one.targets)
        )
    )


@dataclass(frozen=True, slots=True)
class RemovalPolicy:
    """How an entry's removal is taken.

    Parameters
    ----------
    keep_until : timedelta or None
        The instant until which a removed target is still used, if the store was in
        trouble lately; None to drop it at once.
    """

    keep_until: Instant | None = None


@singledispatch
def apply_change(
    change: Change, catalogue: Catalogue, absence: RemovalPolicy
) -> Catalogue:
    """Return the catalogue with one change folded in."""
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
        # A late entry of an earlier start: what it says of holdings is void.
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
        kept = {**catalogue.unconfirmed, target_id: absence.keep_until}
        return replace(catalogue, unconfirmed=kept)
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
    """Return a mapping without one key."""
    if key not in mapping:
        return mapping
    return {k: v for k, v in mapping.items() if k != key}


def expire_unconfirmed(catalogue: Catalogue, now: Instant) -> Catalogue:
    """Drop targets whose entries did not come back in time."""
    gone = [t for t, until in catalogue.unconfirmed.items() if now >= until]
    for target_id in gone:
        catalogue = apply_change(TargetRemoved(target_id), catalogue, RemovalPolicy())
    return catalogue


def apply_listing(
    catalogue: Catalogue,
    changes: tuple[Change, ...],
    revision: int,
    absence: RemovalPolicy,
) -> Catalogue:
    """Return the catalogue after a complete listing; what it lacks was removed."""
    listed = {
        c.published.target.target_id for c in changes if isinstance(c, TargetPublished)
    }
    for target_id in tuple(catalogue.targets):
        if target_id not in listed:
            catalogue = apply_change(TargetRemoved(target_id), catalogue, absence)
    for change in changes:
        catalogue = apply_change(change, catalogue, absence)
    return replace(catalogue, revision=max(revision, catalogue.revision))
