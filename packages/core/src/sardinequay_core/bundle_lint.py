"""Validation of operator-written bundle contents before approval."""

from collections import Counter
from collections.abc import Collection, Iterable, Iterator, Mapping
from dataclasses import dataclass

from .bundle import (
    MAX_VALUE_BYTES,
    Adapter,
    BuiltBundle,
    Contents,
    PoolSettings,
    Service,
)
from .names import MAX_NAME_CHARS, SEPARATOR, AdapterRef, PoolName

MAX_PRIORITY = 9
TOKEN_DIGITS = 64


@dataclass(frozen=True, slots=True, order=True)
class Finding:
    """One invalid value: its location, the value and the allowed values."""

    where: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.where} is {self.value}; allowed: {self.allowed}"


def lint_contents(contents: Contents) -> list[Finding]:
    """Return all findings for a bundle's contents, sorted."""
    base = contents.base
    findings = [
        *duplicate_findings("callers", (c.name for c in base.callers)),
        *duplicate_findings(
            "callers.token_sha256", (c.token_sha256 for c in base.callers)
        ),
        *duplicate_findings("pools", (p.name for p in base.pools)),
        *duplicate_findings("services", (s.prefix for s in base.services)),
        *duplicate_findings("adapters", (a.name for a in contents.adapters)),
        *caller_findings(contents),
    ]
    for pool in base.pools:
        findings += pool_findings(pool)
    for service in base.services:
        findings += service_findings(service, contents)
    pools = {p.name: p for p in base.pools}
    callers = {c.name for c in base.callers}
    for adapter in contents.adapters:
        findings += adapter_findings(adapter, pools, callers)
    return sorted(findings)


def duplicate_findings(where: str, names: Iterable[str]) -> Iterator[Finding]:
    """Yield a finding for each name that occurs more than once."""
    for name, count in Counter(names).items():
        if count > 1:
            yield Finding(f"{where}.{name}", f"given {count} times", "once")


def caller_findings(contents: Contents) -> Iterator[Finding]:
    """Yield findings for token digests and priorities of callers."""
    for caller in contents.base.callers:
        where = f"callers.{caller.name}"
        token_digest = caller.token_sha256
        if len(token_digest) != TOKEN_DIGITS or set(token_digest) - set(
            "0123456789abcdef"
        ):
            allowed = f"{TOKEN_DIGITS} lower-case hexadecimal digits"
            yield Finding(f"{where}.token_sha256", repr(token_digest[:80]), allowed)
        if not 0 <= caller.max_priority <= MAX_PRIORITY:
            value = str(caller.max_priority)
            yield Finding(f"{where}.max_priority", value, f"0 to {MAX_PRIORITY}")


def pool_findings(pool: PoolSettings) -> Iterator[Finding]:
    """Yield findings for the numeric settings of one pool."""
    where = f"pools.{pool.name}"
    numbers = (
        ("loads_per_s", pool.loads_per_s, 0, 10_000),
        ("slots", pool.slots, 0, 10_000),
        ("max_running", pool.max_running, 1, 100_000),
        ("weights.load_stalls", pool.weights.load_stalls, 0, 1),
        ("weights.batch_efficiency", pool.weights.batch_efficiency, 0, 1),
    )
    for name, value, low, high in numbers:
        if not low <= value <= high:
            yield Finding(f"{where}.{name}", str(value), f"{low} to {high}")
    if pool.slots and not pool.loads_per_s:
        yield Finding(f"{where}.loads_per_s", "0", "above 0 for a pool with slots")


def service_findings(service: Service, contents: Contents) -> Iterator[Finding]:
    """Yield findings for the prefix, pool and callers of one plain service."""
    where = f"services.{service.prefix}"
    if not service.prefix.startswith("/") or service.prefix == "/":
        yield Finding(f"{where}.prefix", repr(service.prefix), "a path below /")
    if service.prefix.startswith("/v1"):
        yield Finding(f"{where}.prefix", repr(service.prefix), "a path outside /v1")
    if service.pool not in {p.name for p in contents.base.pools}:
        yield Finding(f"{where}.pool", repr(service.pool), "a pool of this bundle")
    known_callers = {c.name for c in contents.base.callers}
    yield from unknown_caller_findings(where, service.callers, known_callers)


def adapter_findings(
    adapter: Adapter, pools: Mapping[PoolName, PoolSettings], callers: Collection[str]
) -> Iterator[Finding]:
    """Yield findings for the pool, base model, versions and callers of one adapter."""
    where = f"adapters.{adapter.name}"
    pool = pools.get(adapter.pool)
    if pool is None:
        yield Finding(f"{where}.pool", repr(adapter.pool), "a pool of this bundle")
    elif pool.base_model != adapter.base_model:
        allowed = f"that of its pool, {pool.base_model!r}"
        yield Finding(f"{where}.base_model", repr(adapter.base_model), allowed)
    if not adapter.versions:
        yield Finding(f"{where}.versions", "empty", "at least one version")
    for version in adapter.versions:
        ref = str(AdapterRef(adapter.name, version))
        if not version or SEPARATOR in version or len(ref) > MAX_NAME_CHARS:
            allowed = f"1 to {MAX_NAME_CHARS} characters with the name, without @"
            yield Finding(f"{where}.versions", repr(version[:80]), allowed)
    yield from unknown_caller_findings(where, adapter.callers, callers)


def unknown_caller_findings(
    where: str, caller_names: Iterable[str], known_callers: Collection[str]
) -> Iterator[Finding]:
    """Yield a finding for each caller that the bundle does not define."""
    for caller in caller_names:
        if caller not in known_callers:
            yield Finding(f"{where}.callers", repr(caller), "a caller of this bundle")


def lint_sizes(built: BuiltBundle, root_bytes: int) -> list[Finding]:
    """Return a finding for each value above the configuration service's size limit."""
    sizes = {f"blob {d}": len(blob) for d, blob in built.blobs.items()}
    sizes["root"] = root_bytes
    return [
        Finding(name, f"{size} bytes", f"at most {MAX_VALUE_BYTES} bytes")
        for name, size in sorted(sizes.items())
        if size > MAX_VALUE_BYTES
    ]
