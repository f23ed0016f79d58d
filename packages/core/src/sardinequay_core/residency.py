"""Which engine holds which adapter, as far as one host knows.

The host that orders an engine tells what the engine holds; its later news replace its
earlier ones. Where nobody tells, what the engine itself published has to do, which is
about a second old. What an engine says of a request is believed at once.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from .catalogue import PublishedTarget
from .clock import Instant
from .names import AdapterRef, HostId, TargetId


@dataclass(frozen=True, slots=True)
class HeldAdapters:
    """What one engine holds.

    Parameters
    ----------
    idle : int or None
        Adapters that no request uses, if the host that orders the engine told.
    """

    token: int
    number: int
    adapters: frozenset[AdapterRef]
    coming: Mapping[AdapterRef, Instant] = field(default_factory=dict)
    recent: frozenset[str] = frozenset()
    queued: int = 0
    turnover_s: float = 0.0
    incarnation: int = 0
    idle: int | None = None

    @property
    def version_key(self) -> tuple[int, int, int]:
        """Return what later news of an engine has more of."""
        return self.incarnation, self.token, self.number


@dataclass(slots=True)
class Residency:
    """What all engines hold.

    Parameters
    ----------
    missing : dict
        Adapters that an engine denied to have, with the news that said otherwise.
    """

    reported: dict[TargetId, HeldAdapters] = field(default_factory=dict)
    missing: dict[tuple[TargetId, AdapterRef], tuple[int, int, int]] = field(
        default_factory=dict
    )

    def apply_update(self, target: TargetId, held: HeldAdapters) -> bool:
        """Take news of an engine; return whether they are later than what was known."""
        known = self.reported.get(target)
        if known is not None and known.version_key > held.version_key:
            return False
        self.reported[target] = held
        return True

    def holdings_of(self, published: PublishedTarget) -> HeldAdapters:
        """Return what an engine holds, since its last start that is known."""
        told = self.reported.get(published.target.target_id)
        if told is not None and told.incarnation >= published.incarnation:
            return told
        return HeldAdapters(
            0,
            published.revision,
            published.adapters,
            incarnation=published.incarnation,
        )

    def resident_adapter(
        self, published: PublishedTarget, requested: AdapterRef
    ) -> AdapterRef | None:
        """Return the adapter as an engine holds it, not older than wanted."""
        held = self.holdings_of(published)
        for adapter in held.adapters:
            if adapter.is_at_least(requested):
                denied = self.missing.get((published.target.target_id, adapter))
                if denied is None or denied < held.version_key:
                    return adapter
        return None

    def expected_at(
        self, published: PublishedTarget, requested: AdapterRef
    ) -> Instant | None:
        """Return when an adapter is expected on an engine, if it is coming."""
        for adapter, at in self.holdings_of(published).coming.items():
            if adapter.is_at_least(requested):
                return at
        return None

    def record_loaded(self, published: PublishedTarget, adapter: AdapterRef) -> None:
        """Take that an adapter is on an engine now, ahead of the next news."""
        held = self.holdings_of(published)
        target = published.target.target_id
        self.missing.pop((target, adapter), None)
        self.reported[target] = replace(held, adapters=held.adapters | {adapter})

    def record_missing(self, published: PublishedTarget, adapter: AdapterRef) -> None:
        """Take that an engine does not have an adapter after all."""
        held = self.holdings_of(published)
        key = (published.target.target_id, adapter)
        self.missing[key] = held.version_key

    def prune_unlisted(self, listed: frozenset[TargetId]) -> None:
        """Drop engines that are no longer listed."""
        for target in tuple(self.reported):
            if target not in listed:
                del self.reported[target]
        for key in tuple(self.missing):
            if key[0] not in listed:
                del self.missing[key]


UseCounts = dict[AdapterRef, int]
NO_USES: Mapping[AdapterRef, int] = {}


@dataclass(slots=True)
class AdapterUses:
    """Requests that use adapters, by engine: this host's and its peers'.

    Sums change with what is heard, so that a choice asks for them at no cost: summed
    anew for 195 hosts they took a third of a choice.

    Parameters
    ----------
    peers : dict
        What each peer told: its own uses, or those of all hosts behind it.
    total : dict
        The sum over this host and its peers.
    """

    own: dict[tuple[TargetId, AdapterRef], int] = field(default_factory=dict)
    peers: dict[HostId, dict[tuple[TargetId, AdapterRef], int]] = field(
        default_factory=dict
    )
    total: dict[TargetId, UseCounts] = field(default_factory=dict)

    def adjust_own_count(self, target: TargetId, adapter: AdapterRef, by: int) -> int:
        """Count one of this host's requests in or out; return how many there are."""
        before = self.own.get((target, adapter), 0)
        count = max(0, before + by)
        self.set_count(self.own, target, adapter, count)
        return count

    def apply_peer_count(
        self, host: HostId, target: TargetId, adapter: AdapterRef, count: int
    ) -> None:
        """Take how many requests of a peer use an adapter from now on."""
        self.set_count(self.peers.setdefault(host, {}), target, adapter, count)

    def apply_peer_end(
        self, host: HostId, target: TargetId, adapter: AdapterRef
    ) -> None:
        """Take that a host behind a peer uses an adapter no more."""
        uses = self.peers.get(host, {})
        count = uses.get((target, adapter), 0)
        self.set_count(uses, target, adapter, max(0, count - 1))

    def replace_peer_counts(
        self, host: HostId, uses: Mapping[tuple[TargetId, AdapterRef], int]
    ) -> None:
        """Take all uses of a peer; they replace what it told before."""
        self.forget_peer(host)
        for (target, adapter), count in uses.items():
            self.apply_peer_count(host, target, adapter, count)

    def forget_peer(self, host: HostId) -> None:
        """Drop the uses of a peer."""
        for target, adapter in tuple(self.peers.get(host, ())):
            self.apply_peer_count(host, target, adapter, 0)
        self.peers.pop(host, None)

    def set_count(
        self,
        uses: dict[tuple[TargetId, AdapterRef], int],
        target: TargetId,
        adapter: AdapterRef,
        count: int,
    ) -> None:
        """Change one host's count, and the sum with it."""
        key = (target, adapter)
        by = count - uses.get(key, 0)
        if count > 0:
            uses[key] = count
        else:
            uses.pop(key, None)
        on_target = self.total.setdefault(target, {})
        left = on_target.get(adapter, 0) + by
        if left > 0:
            on_target[adapter] = left
        else:
            on_target.pop(adapter, None)
        if not on_target:
            del self.total[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop all uses on an engine that started again."""
        for uses in (self.own, *self.peers.values()):
            for key in [k for k in uses if k[0] == target]:
                del uses[key]
        self.total.pop(target, None)

    def counts_on(self, target: TargetId) -> Mapping[AdapterRef, int]:
        """Return how many requests use each adapter on an engine."""
        return self.total.get(target, NO_USES)

    def count_idle(self, target: TargetId, adapters: Iterable[AdapterRef]) -> int:
        """Return how many of some adapters on an engine no known request uses."""
        in_use = self.counts_on(target)
        return sum(1 for adapter in adapters if adapter not in in_use)

    def summed_counts(
        self, hosts: Iterable[HostId], targets: Collection[TargetId]
    ) -> dict[tuple[TargetId, AdapterRef], int]:
        """Return the uses of this host and some peers together, on some engines."""
        found: dict[tuple[TargetId, AdapterRef], int] = {}
        for uses in (self.own, *(self.peers.get(h, {}) for h in hosts)):
            for key, count in uses.items():
                if key[0] in targets:
                    found[key] = found.get(key, 0) + count
        return found
