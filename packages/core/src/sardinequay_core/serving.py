"""What is served: routes, pools of targets, the models of a pool, and callers' limits.

A `ServingConfig` is the form in which a deployment offers requests of any shape. One
version is immutable; a higher version replaces a lower one and nothing goes back.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from enum import Enum
from hashlib import blake2b

from .names import PoolName
from .organisations import KeyDigest, Organisation


class Repetition(Enum):
    """What may be done with a request after it may have run once."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"
    RESUMABLE_STREAM = "resumable_stream"
    STREAM = "stream"

    @property
    def is_stream(self) -> bool:
        """Return whether the answer is a stream of events."""
        return self in (Repetition.STREAM, Repetition.RESUMABLE_STREAM)

    @property
    def may_run_again(self) -> bool:
        """Return whether a second run does no harm."""
        return self in (Repetition.IDEMPOTENT, Repetition.RESUMABLE_STREAM)


@dataclass(frozen=True, slots=True)
class PoolShare:
    """A pool and its weight in a route's split traffic."""

    pool: PoolName
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Requests of one host name under one path prefix.

    Parameters
    ----------
    prefix : str
        Begins and ends with a slash.
    timeout : timedelta
        The longest time that a request may be kept, its answer included.
    goal : timedelta
        Within this time an answer, or a stream's first event, is on time.
    priority : int
        0 is the most urgent.
    max_runs : int
        Targets on which one request may run.
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
        """Return the pool of one request; the same id always goes the same way."""
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
        Memory on an engine, in megabytes.
    adapters : int
        How many adapters exist.
    """

    name: str
    weight_mb: float
    adapters: int
    adapter_mb: float


@dataclass(frozen=True, slots=True)
class EnginePool:
    """What the engines of a pool can do.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    token_capacity : int
        Tokens of prompts and answers that fit in an engine's memory.
    weight_mb : float
        Memory for models and adapters together, in megabytes.
    adapter_slots : int
        Places for adapters, those on their way included.
    loads_per_s : float
        Models that the weight store gives a second, over all engines.
    """

    slots: int
    token_capacity: int
    weight_mb: float
    adapter_slots: int
    loads_per_s: float
    models: tuple[ServedModel, ...]

    def adapter_capacity(self, held: Collection[str]) -> int:
        """Return how many adapters fit beside the models that an engine holds.

        An engine that is ordered to hold more than its memory takes crashes, so memory
        bounds the places where it is scarcer than they are.
        """
        models = [m for m in self.models if m.name in held]
        largest_mb = max((m.adapter_mb for m in models), default=0.0)
        if not self.weight_mb or not largest_mb:
            return self.adapter_slots
        left_mb = self.weight_mb - sum(m.weight_mb for m in models)
        return max(0, min(self.adapter_slots, int(left_mb / largest_mb)))

    def loadable_models(self) -> tuple[str, ...]:
        """Return the models that fit on an engine that holds nothing."""
        return tuple(
            m.name
            for m in self.models
            if not self.weight_mb or m.weight_mb <= self.weight_mb
        )


@dataclass(frozen=True, slots=True)
class TargetPool:
    """Targets that serve the same.

    Parameters
    ----------
    engines : EnginePool or None
        None for a plain service.
    health_path : str
        Where its targets tell their health; empty if they do not.
    """

    name: PoolName
    max_connections: int
    engines: EnginePool | None = None
    health_path: str = ""


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may take."""

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout: timedelta = timedelta(seconds=3)
    idle_timeout: timedelta = timedelta(seconds=15)


@dataclass(frozen=True, slots=True)
class ServingConfig:
    """One version of what is served.

    Parameters
    ----------
    organisations : tuple of Organisation or None
        Whose callers may send requests; None where callers need no keys.
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
    index = {host: tuple(found) for host, found in by_host.items()}
    named = {pool.name: pool for pool in pools}
    by_key = {key: o for o in organisations or () for key in o.keys}
    return ServingConfig(version, routes, named, limits, organisations, index, by_key)
