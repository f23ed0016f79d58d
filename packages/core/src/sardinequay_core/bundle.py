"""Bundles: the versioned configuration of adapters, callers, pools and services.

A bundle is a Merkle tree of content-addressed blobs under a signed root. Adapters are
distributed over `LEAVES` leaves by a hash of their name. Changing one adapter therefore
rewrites only one leaf, one index node and the root, each of which is a few kilobytes at
19,000 adapters.
"""

import zlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field
from hashlib import blake2b, sha256
from typing import TypeVar, cast

import msgspec
from returns.result import Failure, Result, Success

from .documents import decode_json
from .errors import BundleError, DocumentError
from .names import AdapterRef, CallerName, Digest, PoolName

T = TypeVar("T")

FORMAT = 1
MISSING_BLOB = "missing_blob"
FANOUT = 16
LEAVES = FANOUT * FANOUT
MAX_VALUE_BYTES = 1_000_000
"""Maximum size of one value in the configuration service, in bytes."""
MAX_BLOB_BYTES = 8 * MAX_VALUE_BYTES
"""Maximum decompressed size of a blob, in bytes; guards against decompression bombs."""


@dataclass(frozen=True, slots=True)
class Adapter:
    """One adapter: its offered versions and the callers allowed to request it."""

    name: str
    base_model: str
    pool: PoolName
    versions: tuple[str, ...]
    callers: tuple[CallerName, ...]


@dataclass(frozen=True, slots=True)
class Caller:
    """One caller, identified by the SHA-256 digest of its token in hexadecimal.

    Parameters
    ----------
    max_priority : int
        The highest priority that its requests may have, 0 to 9.
    """

    name: CallerName
    token_sha256: str
    max_priority: int = 5


@dataclass(frozen=True, slots=True)
class PlacementWeights:
    """Weights of the placement criteria of a pool, 0 to 1 each."""

    load_stalls: float = 0.5
    batch_efficiency: float = 0.5


@dataclass(frozen=True, slots=True)
class PoolSettings:
    """The configuration of a pool, a set of interchangeable targets.

    Parameters
    ----------
    loads_per_s : float
        Adapter loads per second that the weight store allows this pool in all data
        centres together; 0 for services.
    slots : int
        Number of adapters that one engine can hold at once; 0 for services.
    max_running : int
        Number of requests that one target runs concurrently; further requests wait.
    """

    name: PoolName
    base_model: str = ""
    loads_per_s: float = 0.0
    slots: int = 0
    max_running: int = 64
    weights: PlacementWeights = PlacementWeights()


@dataclass(frozen=True, slots=True)
class Service:
    """A plain HTTP service, reachable under a path prefix of the callers' listener."""

    prefix: str
    pool: PoolName
    callers: tuple[CallerName, ...]


@dataclass(frozen=True, slots=True)
class BundleBase:
    """The callers, pools and services of a bundle: everything except adapters."""

    callers: tuple[Caller, ...] = ()
    pools: tuple[PoolSettings, ...] = ()
    services: tuple[Service, ...] = ()


@dataclass(frozen=True, slots=True)
class Root:
    """The signed top of a bundle's tree.

    Parameters
    ----------
    version : int
        1 for the first bundle; increases with each bundle.
    base : Digest
        Address of the blob that encodes the `BundleBase`.
    index : tuple of Digest
        Addresses of `FANOUT` index blobs; each lists the digests of `FANOUT` leaves.
    """

    version: int
    base: Digest
    index: tuple[Digest, ...]
    note: str = ""
    format: int = FORMAT


@dataclass(frozen=True, slots=True)
class Contents:
    """The contents of a bundle as an operator writes them."""

    base: BundleBase = field(default_factory=BundleBase)
    adapters: tuple[Adapter, ...] = ()


@dataclass(frozen=True, slots=True)
class Leaf:
    """The adapters of one leaf, by name."""

    digest: Digest
    adapters: Mapping[str, Adapter]


@dataclass(frozen=True, slots=True)
class Bundle:
    """A complete verified bundle with the lookups that request handling needs."""

    version: int
    digest: Digest
    callers: Mapping[str, Caller]
    pools: Mapping[PoolName, PoolSettings]
    services: tuple[Service, ...]
    leaves: tuple[Leaf, ...]

    def find_adapter(self, name: str) -> Adapter | None:
        """Return the adapter with this name, regardless of its offered versions."""
        return self.leaves[leaf_index(name)].adapters.get(name)

    def find_adapter_version(self, ref: AdapterRef) -> Adapter | None:
        """Return the referenced adapter if the referenced version is offered."""
        found = self.find_adapter(ref.name)
        return found if found and ref.version in found.versions else None

    def iter_adapters(self) -> Iterator[Adapter]:
        """Yield the adapters of all leaves."""
        for leaf in self.leaves:
            yield from leaf.adapters.values()

    def find_caller_by_token(self, token: str) -> Caller | None:
        """Return the caller to whom `token` belongs, None if it is unknown."""
        return self.callers.get(sha256(token.encode()).hexdigest())

    def find_service(self, path: str) -> Service | None:
        """Return the service with the longest prefix that matches `path`."""
        fits = (s for s in self.services if is_under_prefix(path, s.prefix))
        return max(fits, key=lambda s: len(s.prefix), default=None)

    def adapters_for_caller(self, caller: CallerName) -> list[AdapterRef]:
        """Return the adapter versions that a caller may request, sorted."""
        return sorted(
            AdapterRef(adapter.name, version)
            for adapter in self.iter_adapters()
            if caller in adapter.callers
            for version in adapter.versions
        )


@dataclass(frozen=True, slots=True)
class BuiltBundle:
    """A root and all blobs that it references."""

    root: Root
    blobs: Mapping[Digest, bytes]


def is_under_prefix(path: str, prefix: str) -> bool:
    """Return whether `path` equals `prefix` or is below it."""
    return path == prefix or path.startswith(prefix.rstrip("/") + "/")


def compute_digest(data: bytes) -> Digest:
    """Return the content address of `data`, its SHA-256 digest in hexadecimal."""
    return Digest(sha256(data).hexdigest())


def leaf_index(name: str) -> int:
    """Return the index of the leaf that holds the adapter `name`."""
    return blake2b(name.encode(), digest_size=1).digest()[0]


def compress_value(value: object) -> bytes:
    """Return the compressed canonical JSON encoding of a part of a bundle."""
    return zlib.compress(msgspec.json.encode(value, order="deterministic"), 9)


def decompress_blob(blob: bytes, digest: Digest) -> Result[bytes, BundleError]:
    """Check that a blob matches its address and return its decompressed bytes."""
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
    """Build the blobs and the unsigned root of a bundle from its contents."""
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


def decode_part(data: bytes, kind: type[T], description: str) -> Result[T, BundleError]:
    """Decode a part of a bundle; an undecodable one gives a `BundleError`."""
    try:
        return Success(decode_json(data, kind))
    except DocumentError as error:
        return Failure(BundleError("malformed", f"{description}: {error}"))


def read_blob(
    blobs: Mapping[Digest, bytes], digest: Digest, kind: type[T], description: str
) -> Result[T, BundleError]:
    """Look up one blob, check its digest and decode it into `kind`."""
    blob = blobs.get(digest)
    if blob is None:
        return Failure(BundleError(MISSING_BLOB, f"{description} {digest}"))
    return decompress_blob(blob, digest).bind(
        lambda data: decode_part(data, kind, description)
    )


def missing_blobs(
    root: Root, blobs: Mapping[Digest, bytes], known_leaves: Iterable[Digest] = ()
) -> set[Digest]:
    """Return the next blobs to fetch: base and index first, then the listed leaves."""
    missing_top_blobs = {root.base, *root.index} - blobs.keys()
    if missing_top_blobs:
        return missing_top_blobs
    leaf_digests: set[Digest] = set()
    for node in root.index:
        leaf_digests.update(read_blob(blobs, node, list[Digest], "index").value_or([]))
    return leaf_digests - blobs.keys() - set(known_leaves)


def assemble_bundle(
    root: Root,
    root_digest: Digest,
    blobs: Mapping[Digest, bytes],
    previous: Bundle | None = None,
) -> Result[Bundle, BundleError]:
    """Build a `Bundle` from a root's blobs, reusing unchanged leaves of `previous`."""
    base = read_blob(blobs, root.base, BundleBase, "base")
    if not isinstance(base, Success):
        return Failure(base.failure())
    reusable_leaves = (
        {leaf.digest: leaf for leaf in previous.leaves} if previous else {}
    )
    interned: dict[object, object] = {}
    leaves: list[Leaf] = []
    for node in root.index:
        digests = read_blob(blobs, node, list[Digest], "index")
        if not isinstance(digests, Success):
            return Failure(digests.failure())
        for digest in digests.unwrap():
            leaf = read_leaf(blobs, digest, reusable_leaves, interned)
            if not isinstance(leaf, Success):
                return Failure(leaf.failure())
            leaves.append(leaf.unwrap())
    if len(leaves) != LEAVES:
        return Failure(BundleError("malformed", f"{len(leaves)} leaves, not {LEAVES}"))
    decoded_base = base.unwrap()
    return Success(
        Bundle(
            version=root.version,
            digest=root_digest,
            callers={c.token_sha256: c for c in decoded_base.callers},
            pools={p.name: p for p in decoded_base.pools},
            services=decoded_base.services,
            leaves=tuple(leaves),
        )
    )


def read_leaf(
    blobs: Mapping[Digest, bytes],
    digest: Digest,
    reusable_leaves: Mapping[Digest, Leaf],
    interned: dict[object, object],
) -> Result[Leaf, BundleError]:
    """Return a leaf by its digest; decode it only if it is not in `reusable_leaves`."""
    if digest in reusable_leaves:
        return Success(reusable_leaves[digest])
    return read_blob(blobs, digest, list[Adapter], "leaf").map(
        lambda adapters: Leaf(
            digest, {a.name: intern_adapter_fields(a, interned) for a in adapters}
        )
    )


def intern_adapter_fields(adapter: Adapter, interned: dict[object, object]) -> Adapter:
    """Return an equal adapter whose field values are shared with equal adapters.

    Many adapters repeat the same values; sharing them saves memory.
    """

    def intern(value: T) -> T:
        return cast(T, interned.setdefault(value, value))

    return Adapter(
        adapter.name,
        intern(adapter.base_model),
        intern(adapter.pool),
        intern(adapter.versions),
        intern(adapter.callers),
    )
