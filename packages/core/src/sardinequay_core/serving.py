"""Serving configuration: routes, pools of targets, models of a pool, and caller limits.

A `ServingConfig` is how a deployment describes the requests that it serves. One version
is immutable; a higher version replaces a lower one, and versions never go back.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from hashlib import blake2b

from .names import PoolName
from .organisations import KeyDigest, Organisation


class Repetition(Enum):
    """Whether a request that may have run once may run again."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE_STREAM = "resumable_stream"
    STREAM = "stream"

    @property
    def is_stream(self) -> bool:
        """Return whether the response is a stream of events."""
        return self in (Repetition.STREAM, Repetition.RESUMABLE_STREAM)

    @property
    def may_run_again(self) -> bool:
        """Return whether a second run is harmless."""
        return self in (Repetition.IDEMPOTENT, Repetition.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool and its weight in a route's split traffic."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests for one host name under one path prefix.

    Parameters
    ----------
    prefix : str
        Begins and ends with a slash.
    timeout : timedelta
        The longest time for a request, its response included.
    goal : timedelta
        Latency goal: a response, or a stream's first event, within this time is on
        time.
    priority : int
        0 is the most urgent.
    max_runs : int
        Number of targets on which one request may run.
    max_pause : timedelta or None
        The longest pause between two events of a stream that is on time.
    is_public : bool
        Whether callers need no key.
    """

    name: str
    host: str
    prefix: str
    repetition: Repetition
    timeout: timedelta
    goal: timedelta
    priority: int
    max_runs: int
    shares: tuple[PoolShare, ...]
    max_pause: timedelta | None = None
    is_public: bool = False

    def pool_for(self, request_id: str) -> PoolName:
        """Return the pool for a request; the same id always maps to the same pool."""
        total = sum(share.weight for share in self.shares)
        digest = blake2b(request_id.encode(), digest_size=8).digest()
        point = int.from_bytes(digest, "big") / (1 << 64) * total
        for share in self.shares:
            point -= share.weight
            if point < 0:
                return share.pool
        return self.shares[-1].pool


@dataclass(frozen=True, slots=True)
class ServedModel:
    """A base model that engines of a pool may hold.

    Parameters
    ----------
    weight_mb, adapter_mb : float
        Memory for the model and for one adapter on an engine, in megabytes.
    adapters : int
        Number of adapters that exist.
    """

    name: str
    weight_mb: float
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EnginePool:
    """Capacities of the engines of a pool.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    token_capacity : int
        Tokens of prompts and responses that fit in an engine's memory.
    weight_mb : float
        Memory for models and adapters together, in megabytes.
    adapter_slots : int
        Slots for adapters, including those being loaded.
    loads_per_s : float
        Models that the weight store delivers a second, over all engines.
    """

    slots: int
    token_capacity: int
    weight_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[ServedModel, ...]

    def adapter_capacity(self, held: Collection[str]) -> int:
        """Return how many adapters fit beside the models that an engine holds.

        An engine that is ordered to hold more than its memory allows crashes, so memory
        limits the adapters where it is scarcer than the adapter slots.
        """
        models = [m for m in self.models if m.name in held]
        largest_mb = max((m.adapter_mb for m in models), default=0.0)
        if not self.weight_mb or not largest_mb:
            return self.adapter_slots
        free_mb = self.weight_mb - sum(m.weight_mb for m in models)
        return max(0, int(min(self.adapter_slots, free_mb / largest_mb)))

    def loadable_models(self) -> tuple[str, ...]:
        """Return the models that fit on an engine that holds nothing."""
        return tuple(
            m.name
            for m in self.models
            if not self.weight_mb or m.weight_mb <= self.weight_mb
        )


@dataclass(frozen=True, slots=True)
class TargetPool:
    """Targets that serve the same requests.

    Parameters
    ----------
    engines : EnginePool or None
        None for a plain service.
    health_path : str
        Path of the targets' health endpoint; empty if they have none.
    """

    name: PoolName
    max_connections: int
    engines: EnginePool | None = None
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class ServingConfig:
    """One version of the serving configuration.

    Parameters
    ----------
    organisations : tuple of Organisation or None
        Organisations whose callers may send requests; None where callers need no keys.
    """

    version: int
    routes: tuple[Route, ...]
    pools: Mapping[PoolName, TargetPool]
    limits: CallerLimits
    organisations: tuple[Organisation, ...] | None = None
    by_host: Mapping[str, tuple[Route, ...]] = field(
        default_factory=dict, compare=False
    )
    by_key: Mapping[KeyDigest, Organisation] = field(
        default_factory=dict, compare=False
    )

    def match_route(self, host: str, path: str) -> Route | None:
        """Return the route of a host name with the longest prefix of the path."""
        for route in self.by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


def make_serving_config(
    version: int,
    routes: tuple[Route, ...],
    pools: tuple[TargetPool, ...],
    limits: CallerLimits,
    organisations: tuple[Organisation, ...] | None = None,
) -> ServingConfig:
    """Return a version with its routes indexed by host, the longest prefix first."""
    by_host: dict[str, list[Route]] = {}
    for route in sorted(routes, key=lambda r: (-len(r.prefix), r.prefix, r.name)):
        by_host.setdefault(route.host, []).append(route)
    by_host_name = {host: tuple(matching) for host, matching in by_host.items()}
    by_name = {pool.name: pool for pool in pools}
    by_key = {key: o for o in organisations or () for key in o.keys}
    return ServingConfig(
        version, routes, by_name, limits, organisations, by_host_name, by_key
    )
