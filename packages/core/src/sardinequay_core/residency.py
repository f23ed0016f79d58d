"""Which engine holds which adapters, as far as this host knows.

The host that orders loads on an engine reports what the engine holds, and its later
updates replace its earlier ones. Without such a report, the status that the engine
published is used, which is about a second old. An engine's own reply to a request takes
effect at once.
"""

from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field, replace

from .catalogue import PublishedTarget
from .clock import Instant
from .names import AdapterRef, HostId, TargetId
from .room import LoadQueueSummary


@dataclass(frozen=True, slots=True)
class HeldAdapters:
    """Adapters that one engine holds, by the latest update.

    Parameters
    ----------
    idle : int or None
        Adapters that no request uses, if the host that orders loads reported it.
    queue : LoadQueueSummary or None
        Loads that wait for a slot, if that host reported their values.
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
    queue: LoadQueueSummary | None = None

    @property
    def version_key(self) -> tuple[int, int, int]:
        """Return the key by which a later update of an engine is greater."""
        return self.incarnation, self.token, self.number


@dataclass(slots=True)
class Residency:
    """Adapters that all engines hold.

    Parameters
    ----------
    missing : dict
        Adapters that an engine reported as missing, with the version of the update that
        had listed them.
    """

    reported: dict[TargetId, HeldAdapters] = field(default_factory=dict)
    missing: dict[tuple[TargetId, AdapterRef], tuple[int, int, int]] = field(
        default_factory=dict
    )

    def apply_update(self, target: TargetId, held: HeldAdapters) -> bool:
        """Apply an update of an engine; return False if a later one is known."""
        previous = self.reported.get(target)
        if previous is not None and previous.version_key > held.version_key:
            return False
        self.reported[target] = held
        return True

    def holdings_of(self, published: PublishedTarget) -> HeldAdapters:
        """Return what an engine holds, by its latest update since its last start."""
        reported = self.reported.get(published.target.target_id)
        if reported is not None and reported.incarnation >= published.incarnation:
            return reported
        return HeldAdapters(
            0,
            published.revision,
            published.adapters,
            incarnation=published.incarnation,
        )

    def resident_adapter(
        self, published: PublishedTarget, requested: AdapterRef
    ) -> AdapterRef | None:
        """Return the newest resident version of an adapter that serves a request.

        An update can list several versions while a newer one replaces an older.
        """
        held = self.holdings_of(published)
        newest: AdapterRef | None = None
        for adapter in held.adapters:
            # Nearly all names differ, and comparing them is cheaper than versions.
            if adapter.name != requested.name:
                continue
            if not adapter.is_at_least(newest or requested):
                continue
            if not self.is_missing(published.target.target_id, adapter, held):
                newest = adapter
        return newest

    def is_missing(
        self, target: TargetId, adapter: AdapterRef, held: HeldAdapters
    ) -> bool:
        """Return whether an engine has denied to hold what its update lists."""
        denied = self.missing.get((target, adapter))
        return denied is not None and denied >= held.version_key

    def expected_at(
        self, published: PublishedTarget, requested: AdapterRef
    ) -> Instant | None:
        """Return when an adapter that is being loaded is expected on an engine."""
        for adapter, at in self.holdings_of(published).coming.items():
            if adapter.is_at_least(requested):
                return at
        return None

    def record_loaded(self, published: PublishedTarget, adapter: AdapterRef) -> None:
        """Record an adapter as resident, ahead of the engine's next update.

        It has replaced the older versions.
        """
        held = self.holdings_of(published)
        target = published.target.target_id
        self.missing.pop((target, adapter), None)
        others = frozenset(a for a in held.adapters if not adapter.is_at_least(a))
        self.reported[target] = replace(held, adapters=others | {adapter})

    def record_missing(self, published: PublishedTarget, adapter: AdapterRef) -> None:
        """Record that an engine does not have an adapter that an update listed."""
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
    """Counts of requests that use adapters, by engine, of this host and its peers.

    The sums are updated with each report, so that a choice reads them at no cost:
    summed for each choice, they took a third of its time with 195 hosts.

    Parameters
    ----------
    peers : dict
        Counts that each peer reported: its own, or the sum of all hosts that it reports
        for.
    total : dict
        The sum over this host and its peers.
    """

    own: dict[tuple[TargetId, AdapterRef], int] = field(default_factory=dict)
    peers: dict[HostId, dict[tuple[TargetId, AdapterRef], int]] = field(
        default_factory=dict
    )
    total: dict[TargetId, UseCounts] = field(default_factory=dict)

    def adjust_own_count(
        self, target: TargetId, adapter: AdapterRef, change: int
    ) -> int:
        """Change this host's count of uses of an adapter; return the new count."""
        previous = self.own.get((target, adapter), 0)
        count = max(0, previous + change)
        self.set_count(self.own, target, adapter, count)
        return count

    def apply_peer_count(
        self, host: HostId, target: TargetId, adapter: AdapterRef, count: int
    ) -> None:
        """Set a peer's count of requests that use an adapter."""
        self.set_count(self.peers.setdefault(host, {}), target, adapter, count)

    def apply_peer_end(
        self, host: HostId, target: TargetId, adapter: AdapterRef
    ) -> None:
        """Lower the count of a peer that reports for a host whose use ended."""
        uses = self.peers.get(host, {})
        count = uses.get((target, adapter), 0)
        self.set_count(uses, target, adapter, max(0, count - 1))

    def replace_peer_counts(
        self, host: HostId, uses: Mapping[tuple[TargetId, AdapterRef], int]
    ) -> None:
        """Replace all counts that a peer reported before."""
        self.forget_peer(host)
        for (target, adapter), count in uses.items():
            self.apply_peer_count(host, target, adapter, count)

    def forget_peer(self, host: HostId) -> None:
        """Drop the counts of a peer."""
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
        change = count - uses.get(key, 0)
        if count > 0:
            uses[key] = count
        else:
            uses.pop(key, None)
        target_counts = self.total.setdefault(target, {})
        remaining = target_counts.get(adapter, 0) + change
        if remaining > 0:
            target_counts[adapter] = remaining
        else:
            target_counts.pop(adapter, None)
        if not target_counts:
            del self.total[target]

    def forget_target(self, target: TargetId) -> None:
        """Drop all counts on an engine that has restarted."""
        for uses in (self.own, *self.peers.values()):
            for key in [k for k in uses if k[0] == target]:
                del uses[key]
        self.total.pop(target, None)

    def counts_on(self, target: TargetId) -> Mapping[AdapterRef, int]:
        """Return the number of requests that use each adapter on an engine."""
        return self.total.get(target, NO_USES)

    def count_idle(self, target: TargetId, adapters: Iterable[AdapterRef]) -> int:
        """Return how many of the given adapters on an engine no known request uses."""
        in_use = self.counts_on(target)
        return sum(1 for adapter in adapters if adapter not in in_use)

    def summed_counts(
        self, hosts: Iterable[HostId], targets: Collection[TargetId]
    ) -> dict[tuple[TargetId, AdapterRef], int]:
        """Return the summed counts of this host and the given peers on some engines."""
        sums: dict[tuple[TargetId, AdapterRef], int] = {}
        for uses in (self.own, *(self.peers.get(h, {}) for h in hosts)):
            for key, count in uses.items():
                if key[0] in targets:
                    sums[key] = sums.get(key, 0) + count
        return sums
