"""Bundles: what is offered, to whom, and by which policy.

A bundle is a tree of content-addressed blobs under a signed root. Adapters are spread
over `LEAVES` leaves by a hash of their name, so that changing one adapter rewrites one
leaf, one index node and the root, each a few kilobytes at 19,000 adapters.
"""

import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b, sha256
from typing import TypeVar, cast

import msgspec
from returns.result import Failure, Result, Success

from .errors import BundleError
from .names import AdapterRef, CallerName, Digest, PoolName

T = TypeVar("T")

FORMAT = 1
MISSING_BLOB = "missing_blob"
FANOUT = 16
LEAVES = FANOUT * FANOUT
MAX_VALUE_BYTES = 1_000_000
"""The configuration service's limit for one value."""
MAX_BLOB_BYTES = 8 * MAX_VALUE_BYTES
"""Unpacked size that a blob may reach, against decompression bombs."""


@dataclass(frozen=True, slots=True)
class Adapter:
    """One adapter: the versions offered and the callers who may name it."""

    name: str
    base_model: str
    pool: PoolName
    versions: tuple[str, ...]
    callers: tuple[CallerName, ...]


@dataclass(frozen=True, slots=True)
class Caller:
    """One caller, known by the SHA-256 of its token in hexadecimal.

    Parameters
    ----------
    max_priority : int
        The highest priority that its requests may ask for, 0 to 9.
    """

    name: CallerName
    token_sha256: str
    max_priority: int = 5


@dataclass(frozen=True, slots=True)
class PlacementWeights:
    """How much each measure counts in a pool's placement, 0 to 1."""

    load_stalls: float = 0.5
    batch_efficiency: float = 0.5


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """A set of alike targets.

    Parameters
    ----------
    loads_per_s : float
        The weight store's rate for this pool over all data centres; 0 for services.
    slots : int
        How many adapters one engine holds at once; 0 for services.
    max_running : int
        Requests one target takes at once before others wait.
    """

    name: PoolName
    base_model: str = ""
    loads_per_s: float = 0.0
    slots: int = 0
    max_running: int = 64
    weights: PlacementWeights = PlacementWeights()


@dataclass(frozen=True, slots=True)
class Service:
    """A plain service under a path prefix of the callers' listener."""

    prefix: str
    pool: PoolName
    callers: tuple[CallerName, ...]


@dataclass(frozen=True, slots=True)
class BundleBase:
    """The part of a bundle that is not adapters."""

    callers: tuple[Caller, ...] = ()
    pools: tuple[PoolSettings, ...] = ()
    services: tuple[Service, ...] = ()


@dataclass(frozen=True, slots=True)
class Root:
    """The part of a bundle that is signed.

    Parameters
    ----------
    version : int
        Rises with every bundle, from 1.
    base : Digest
        The blob of the `Base`.
    index : tuple of Digest
        `FANOUT` blobs, each the digests of `FANOUT` leaves.
    """

    version: int
    base: Digest
    index: tuple[Digest, ...]
    note: str = ""
    format: int = FORMAT


@dataclass(frozen=True, slots=True)
class Contents:
    """Everything that a bundle offers, as an operator writes it."""

    base: BundleBase = field(default_factory=BundleBase)
    adapters: tuple[Adapter, ...] = ()


@dataclass(frozen=True, slots=True)
class Leaf:
    """The adapters of one leaf by their names."""

    digest: Digest
    adapters: Mapping[str, Adapter]


@dataclass(frozen=True, slots=True)
class Bundle:
    """A complete verified bundle, ready to decide requests by."""

    version: int
    digest: Digest
    callers: Mapping[str, Caller]
    pools: Mapping[PoolName, PoolSettings]
    services: tuple[Service, ...]
    leaves: tuple[Leaf, ...]

    def find_adapter(self, name: str) -> Adapter | None:
        """Return the adapter with a name, whichever versions of it are offered."""
        return self.leaves[leaf_index(name)].adapters.get(name)

    def find_adapter_version(self, ref: AdapterRef) -> Adapter | None:
        """Return the adapter if this version of it is offered."""
        found = self.find_adapter(ref.name)
        return found if found and ref.version in found.versions else None

    def iter_adapters(self) -> Iterator[Adapter]:
        """Yield all adapters."""
        for leaf in self.leaves:
            yield from leaf.adapters.values()

    def find_caller_by_token(self, token: str) -> Caller | None:
        """Return the caller that owns `token`."""
        return self.callers.get(sha256(token.encode()).hexdigest())

    def find_service(self, path: str) -> Service | None:
        """Return the service with the longest prefix of `path`."""
        fits = (s for s in self.services if is_under_prefix(path, s.prefix))
        return max(fits, key=lambda s: len(s.prefix), default=None)

    def adapters_for_caller(self, caller: CallerName) -> list[AdapterRef]:
        """Return what one caller may name, sorted."""
        return sorted(
            AdapterRef(adapter.name, version)
            for adapter in self.iter_adapters()
            if caller in adapter.callers
            for version in adapter.versions
        )


@dataclass(frozen=True, slots=True)
class BuiltBundle:
    """A root and the blobs it needs."""

    root: Root
    blobs: Mapping[Digest, bytes]


def is_under_prefix(path: str, prefix: str) -> bool:
    """Return whether `path` is `prefix` or lies under it."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def compute_digest(data: bytes) -> Digest:
    """Return the content address of `data`."""
    return Digest(sha256(data).hexdigest())


def leaf_index(name: str) -> int:
    """Return the leaf that holds an adapter."""
    return blake2b(name.encode(), digest_size=1).digest()[0]


def compress_value(value: object) -> bytes:
    """Return the canonical packed form of a part of a bundle."""
    return zlib.compress(msgspec.json.encode(value, order="deterministic"), 9)


def decompress_blob(blob: bytes, digest: Digest) -> Result[bytes, BundleError]:
    """Check a blob against its address and return its unpacked bytes."""
    if compute_digest(blob) != digest:
        return Failure(BundleError("digest_mismatch", f"blob {digest}"))
    try:
        unpacker = zlib.decompressobj()
        data = unpacker.decompress(blob, MAX_BLOB_BYTES)
    except zlib.error:
        return Failure(BundleError("malformed", f"blob {digest} is not packed"))
    if not unpacker.eof:
        return Failure(BundleError("too_large", f"blob {digest}"))
    return Success(data)


def build_bundle(contents: Contents, version: int, note: str = "") -> BuiltBundle:
    """Spread `contents` over blobs and return them under a root."""
    leaves: list[list[Adapter]] = [[] for _ in range(LEAVES)]
    for adapter in sorted(contents.adapters, key=lambda a: a.name):
        leaves[leaf_index(adapter.name)].append(adapter)
    blobs: dict[Digest, bytes] = {}

    def store(value: object) -> Digest:
        blob = compress_value(value)
        digest = compute_digest(blob)
        blobs[digest] = blob
        return digest

    digests = [store(leaf) for leaf in leaves]
    index = [store(digests[i : i + FANOUT]) for i in range(0, LEAVES, FANOUT)]
    root = Root(version, store(contents.base), tuple(index), note)
    return BuiltBundle(root, blobs)


def decode_json(data: bytes, kind: type[T], what: str) -> Result[T, BundleError]:
    """Read JSON into `kind`, turning the decoder's errors."""
    try:
        return Success(msgspec.json.decode(data, type=kind))
    except msgspec.DecodeError as error:
        return Failure(BundleError("malformed", f"{what}: {error}"))


def read_blob(
    blobs: Mapping[Digest, bytes], digest: Digest, kind: type[T], what: str
) -> Result[T, BundleError]:
    """Look up, check and decode one blob."""
    blob = blobs.get(digest)
    if blob is None:
        return Failure(BundleError(MISSING_BLOB, f"{what} {digest}"))
    return decompress_blob(blob, digest).bind(
        lambda data: decode_json(data, kind, what)
    )


def missing_blobs(
    root: Root, blobs: Mapping[Digest, bytes], known_leaves: Iterable[Digest] = ()
) -> set[Digest]:
    """Return the next blobs to fetch: first the index, then the leaves it names."""
    first = {root.base, *root.index} - blobs.keys()
    if first:
        return first
    wanted: set[Digest] = set()
    for node in root.index:
        wanted.update(read_blob(blobs, node, list[Digest], "index").value_or([]))
    return wanted - blobs.keys() - set(known_leaves)


def assemble_bundle(
    root: Root,
    root_digest: Digest,
    blobs: Mapping[Digest, bytes],
    previous: Bundle | None = None,
) -> Result[Bundle, BundleError]:
    """Read all blobs of a root into a `Bundle`, reusing leaves that did not change."""
    base = read_blob(blobs, root.base, BundleBase, "base")
    if not isinstance(base, Success):
        return Failure(base.failure())
    known = {leaf.digest: leaf for leaf in previous.leaves} if previous else {}
    shared: dict[object, object] = {}
    leaves: list[Leaf] = []
    for node in root.index:
        digests = read_blob(blobs, node, list[Digest], "index")
        if not isinstance(digests, Success):
            return Failure(digests.failure())
        for digest in digests.unwrap():
            leaf = read_leaf(blobs, digest, known, shared)
            if not isinstance(leaf, Success):
                return Failure(leaf.failure())
            leaves.append(leaf.unwrap())
    if len(leaves) != LEAVES:
        return Failure(BundleError("malformed", f"{len(leaves)} leaves, not {LEAVES}"))
    content = base.unwrap()
    return Success(
        Bundle(
            version=root.version,
            digest=root_digest,
            callers={c.token_sha256: c for c in content.callers},
            pools={p.name: p for p in content.pools},
            services=content.services,
            leaves=tuple(leaves),
        )
    )


def read_leaf(
    blobs: Mapping[Digest, bytes],
    digest: Digest,
    known: Mapping[Digest, Leaf],
    shared: dict[object, object],
) -> Result[Leaf, BundleError]:
    """Return the adapters of one leaf, decoded at most once over bundles."""
    if digest in known:
        return Success(known[digest])
    return read_blob(blobs, digest, list[Adapter], "leaf").map(
        lambda adapters: Leaf(
            digest, {a.name: intern_adapter_fields(a, shared) for a in adapters}
        )
    )


def intern_adapter_fields(adapter: Adapter, shared: dict[object, object]) -> Adapter:
    """Return an adapter whose parts that many adapters repeat are kept once."""

    def once(value: T) -> T:
        return cast(T, shared.setdefault(value, value))

    return Adapter(
        adapter.name,
        once(adapter.base_model),
        once(adapter.pool),
        once(adapter.versions),
        once(adapter.callers),
    )
