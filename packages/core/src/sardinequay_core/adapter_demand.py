"""How many engines of a large fleet an adapter should be on, by what callers ask for.

Load pattern: steeply skewed demand before dozens of engines. The adapter most asked for
gets a fifth of all requests; of 39 engines that is the work of eight. Decided by each
request's own wait, further copies come late and one by one, when the queues on the few
engines that hold it have grown by seconds. Counted together, its share of all requests
says how many engines it is due, before anybody waits.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .names import HostId

HALF_LIFE = seconds(4)
"""Half-life of a request: demand moves to other adapters within seconds."""

PEER_EXPIRY = seconds(3)
"""How long what a silent peer told counts."""

MIN_COUNT = 0.2
"""Requests below which an adapter is forgotten: three half-lives after its last one."""

COUNT_SCALE = 10
"""Counts are told as whole tenths of a request."""

HEADROOM = 1.3
"""Engines for each engine's worth of requests: requests come in bursts, and engines
have those of other adapters, too."""


@dataclass(frozen=True, slots=True)
class Demand:
    """Recent requests, the older the less, in tenths of a request.

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
    """Demand that this host and its peers see.

    Parameters
    ----------
    counts : dict
        This host's own, as of `counted_at`.
    peers : dict
        What each peer told: its own demand, or that of all hosts behind it.
    """

    counts: dict[str, float] = field(default_factory=dict)
    counted_at: Instant = ZERO
    peers: dict[HostId, tuple[Demand, Instant]] = field(default_factory=dict)

    def record_request(self, adapter: str, now: Instant) -> None:
        """Count one request."""
        self.decay(now)
        self.counts[adapter] = self.counts.get(adapter, 0.0) + 1.0

    def decay(self, now: Instant) -> None:
        """Let what was counted age."""
        part = math.exp2(-((now - self.counted_at) / HALF_LIFE))
        self.counted_at = now
        faded = {a: count * part for a, count in self.counts.items()}
        self.counts = {a: c for a, c in faded.items() if c >= MIN_COUNT}

    def own_demand(self, now: Instant) -> Demand:
        """Return what this host's callers ask for."""
        self.decay(now)
        told = {a: round(c * COUNT_SCALE) for a, c in self.counts.items()}
        return Demand(sum(told.values()), told)

    def apply_peer_demand(self, host: HostId, demand: Demand, now: Instant) -> None:
        """Take what a peer tells; it replaces what it told before."""
        self.peers[host] = (demand, now)

    def apply_fleet_demand(self, host: HostId, demand: Demand, now: Instant) -> None:
        """Take from one peer what the callers of all others ask for."""
        self.peers = {host: (demand, now)}

    def forget_peer(self, host: HostId) -> None:
        """Drop what a peer told."""
        self.peers.pop(host, None)

    def summed_demand(self, hosts: Iterable[HostId], now: Instant) -> Demand:
        """Return the demand of this host and some peers together."""
        mine = self.own_demand(now)
        total, by_adapter = mine.total, dict(mine.by_adapter)
        for host in hosts:
            demand, at = self.peers.get(host, (NO_DEMAND, now))
            if now - at >= PEER_EXPIRY:
                continue
            total += demand.total
            for adapter, count in demand.by_adapter.items():
                by_adapter[adapter] = by_adapter.get(adapter, 0) + count
        return Demand(total, by_adapter)

    def desired_copies(self, adapter: str, engines: int, now: Instant) -> int:
        """Return on how many of some engines an adapter should be."""
        demand = self.summed_demand(self.peers, now)
        if not demand.total:
            return 1
        count = demand.by_adapter.get(adapter, 0)
        return max(1, math.ceil(HEADROOM * engines * count / demand.total - 0.5))


def popular_demand(demand: Demand, engines: int) -> Demand:
    """Return a demand without the adapters that one engine carries easily."""
    least = demand.total / max(1, engines) / 2
    kept = {a: c for a, c in demand.by_adapter.items() if c >= least}
    return Demand(demand.total, kept)
