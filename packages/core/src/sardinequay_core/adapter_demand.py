"""How many engines of a large fleet should hold an adapter, by its share of requests.

Load pattern: steeply skewed demand on dozens of engines. The most requested adapter
gets a fifth of all requests, which of 39 engines is the work of eight. When each
request decides by its own wait, extra copies come late and one by one, after the queues
on the few engines that hold the adapter have grown by seconds. An adapter's share of
all requests, summed over hosts, gives the desired number of copies before any request
waits.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .names import HostId

HALF_LIFE = seconds(4)
"""Half-life of a counted request: demand shifts to other adapters within seconds."""

PEER_EXPIRY = seconds(3)
"""How long the last report of a silent peer counts."""

MIN_COUNT = 0.2
"""Decayed requests below which an adapter is dropped: three half-lives after its last
request."""

COUNT_SCALE = 10
"""Units per request in reported counts, which are whole tenths of a request."""

HEADROOM = 1.3
"""Engines for each engine's worth of requests: requests come in bursts, and engines
also serve other adapters."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Decayed counts of recent requests, in tenths of a request.

    Parameters
    ----------
    total : int
        Requests for any adapter.
    by_adapter : dict
        Requests for each adapter, by ``model/adapter``.
    """

    total: int = 0
    by_adapter: dict[str, int] = field(default_factory=dict)


NO_DEMAND = Demand()


@dataclass(slots=True)
class AdapterDemand:
    """Demand for adapters that this host and its peers see.

    Parameters
    ----------
    counts : dict
        This host's own counts, as of `counted_at`.
    peers : dict
        Latest report of each peer: its own demand, or the sum of all hosts that it
        reports for.
    """

    counts: dict[str, float] = field(default_factory=dict)
    counted_at: Instant = ZERO
    peers: dict[HostId, tuple[Demand, Instant]] = field(default_factory=dict)

    def record_request(self, adapter: str, now: Instant) -> None:
        """Count one request for an adapter."""
        self.decay(now)
        self.counts[adapter] = self.counts.get(adapter, 0.0) + 1.0

    def decay(self, now: Instant) -> None:
        """Decay the counts up to now and drop those that are too small."""
        factor = math.exp2(-((now - self.counted_at) / HALF_LIFE))
        self.counted_at = now
        decayed = {a: count * factor for a, count in self.counts.items()}
        self.counts = {a: c for a, c in decayed.items() if c >= MIN_COUNT}

    def own_demand(self, now: Instant) -> Demand:
        """Return the demand of this host's callers."""
        self.decay(now)
        scaled = {a: round(c * COUNT_SCALE) for a, c in self.counts.items()}
        return Demand(sum(scaled.values()), scaled)

    def apply_peer_demand(self, host: HostId, demand: Demand, now: Instant) -> None:
        """Replace the demand that a peer reported before."""
        self.peers[host] = (demand, now)

    def apply_fleet_demand(self, host: HostId, demand: Demand, now: Instant) -> None:
        """Replace the reports of all peers by the hub's sum over all other hosts."""
        self.peers = {host: (demand, now)}

    def forget_peer(self, host: HostId) -> None:
        """Drop the demand that a peer reported."""
        self.peers.pop(host, None)

    def summed_demand(self, hosts: Iterable[HostId], now: Instant) -> Demand:
        """Return the sum of the demand of this host and the given peers."""
        own = self.own_demand(now)
        total, by_adapter = own.total, dict(own.by_adapter)
        for host in hosts:
            demand, reported_at = self.peers.get(host, (NO_DEMAND, now))
            if now - reported_at >= PEER_EXPIRY:
                continue
            total += demand.total
            for adapter, count in demand.by_adapter.items():
                by_adapter[adapter] = by_adapter.get(adapter, 0) + count
        return Demand(total, by_adapter)

    def desired_copies(self, adapter: str, engines: int, now: Instant) -> int:
        """Return how many of a number of engines should hold an adapter."""
        demand = self.summed_demand(self.peers, now)
        if not demand.total:
            return 1
        count = demand.by_adapter.get(adapter, 0)
        return max(1, math.ceil(HEADROOM * engines * count / demand.total - 0.5))


def popular_demand(demand: Demand, engines: int) -> Demand:
    """Return a demand without the adapters that need less than half an engine."""
    min_count = demand.total / max(1, engines) / 2
    kept = {a: c for a, c in demand.by_adapter.items() if c >= min_count}
    return Demand(demand.total, kept)
