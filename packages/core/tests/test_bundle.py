"""Bundles: building, signing, verifying, comparing, linting and their differences."""

import zlib
from dataclasses import replace

import pytest
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from hypothesis import given
from hypothesis import strategies as st
from returns.result import Success

from sardinequay_core.approval import (
    ApprovalPolicy,
    RootComparison,
    SignedRoot,
    add_approval,
    compare_roots,
    encode_signed_root,
    root_digest,
    verify_signed_root,
)
from sardinequay_core.bundle import (
    LEAVES,
    Adapter,
    BundleBase,
    Caller,
    Contents,
    PoolSettings,
    Service,
    assemble_bundle,
    build_bundle,
    compute_digest,
    decompress_blob,
    missing_blobs,
)
from sardinequay_core.bundle_diff import diff_contents
from sardinequay_core.bundle_lint import lint_contents, lint_sizes
from sardinequay_core.names import AdapterRef, CallerName, PoolName

KEYS = {
    n: Ed25519PrivateKey.from_private_bytes(bytes([i]) * 32)
    for i, n in enumerate("abc")
}
APPROVAL_POLICY = ApprovalPolicy(
    {n: k.public_key().public_bytes_raw().hex() for n, k in KEYS.items()}, threshold=2
)
KIOSKS = CallerName("kiosks")
POOL = PoolName("lm")


def contents(count: int = 3) -> Contents:
    base = BundleBase(
        callers=(Caller(KIOSKS, "0" * 64),),
        pools=(PoolSettings(POOL, "base", loads_per_s=2, slots=4),),
        services=(Service("/orders", POOL, (KIOSKS,)),),
    )
    adapters = (Adapter(f"a{n}", "base", POOL, ("1",), (KIOSKS,)) for n in range(count))
    return Contents(base, tuple(adapters))


def signed(version: int = 1, names: str = "ab", note: str = "") -> SignedRoot:
    made = SignedRoot(build_bundle(contents(), version, note).root)
    for name in names:
        made = add_approval(made, name, KEYS[name])
    return made


def test_built_bundle_is_assembled_completely() -> None:
    built = build_bundle(contents(500), 1)
    bundle = assemble_bundle(built.root, root_digest(built.root), built.blobs).unwrap()
    assert len(list(bundle.iter_adapters())) == 500
    assert len(bundle.leaves) == LEAVES
    assert bundle.find_adapter_version(AdapterRef("a7", "1")).pool == POOL
    assert bundle.find_adapter_version(AdapterRef("a7", "2")) is None
    assert bundle.find_service("/orders/17").prefix == "/orders"
    assert bundle.find_service("/ordersx") is None


def test_changing_one_adapter_rewrites_one_leaf_one_node_and_the_root() -> None:
    old = build_bundle(contents(500), 1)
    adapters = contents(500).adapters
    changed = (replace(adapters[0], versions=("1", "2")), *adapters[1:])
    new = build_bundle(Contents(contents().base, changed), 2)
    assert len(new.blobs.keys() - old.blobs.keys()) == 2


def test_missing_blobs_come_index_first_then_leaves() -> None:
    built = build_bundle(contents(500), 1)
    first = missing_blobs(built.root, {})
    assert first == {built.root.base, *built.root.index}
    fetched = {d: built.blobs[d] for d in first}
    rest = missing_blobs(built.root, fetched)
    assert fetched.keys() | rest == built.blobs.keys()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        pytest.param(
            encode_signed_root(signed(names="a")), "under_signed", id="one approval"
        ),
        pytest.param(encode_signed_root(signed())[:-20], "malformed", id="truncated"),
        pytest.param(b"", "malformed", id="empty"),
        pytest.param(b"x" * 1_000_001, "too_large", id="over the limit"),
        pytest.param(
            encode_signed_root(
                replace(signed(), root=replace(signed().root, version=9))
            ),
            "under_signed",
            id="tampered",
        ),
        pytest.param(
            encode_signed_root(replace(signed(), approvals=signed().approvals[:1] * 2)),
            "under_signed",
            id="one approval twice",
        ),
        pytest.param(
            encode_signed_root(
                replace(signed(), root=replace(signed().root, format=2))
            ),
            "format",
            id="another format",
        ),
    ],
)
def test_bad_roots_are_refused(data: bytes, reason: str) -> None:
    assert verify_signed_root(data, APPROVAL_POLICY).failure().reason == reason


@given(position=st.integers(0, 10_000), flip=st.integers(1, 255))
def test_root_with_a_flipped_byte_is_never_accepted_as_another_root(
    position: int, flip: int
) -> None:
    data = bytearray(encode_signed_root(signed()))
    data[position % len(data)] ^= flip
    verified = verify_signed_root(bytes(data), APPROVAL_POLICY)
    assert not isinstance(verified, Success) or verified.unwrap().root == signed().root


def test_root_comparison_detects_older_and_conflicting_versions() -> None:
    one, two = signed(1).root, signed(2).root
    assert compare_roots(two, one) is RootComparison.NEWER
    assert compare_roots(one, two) is RootComparison.OLDER
    assert compare_roots(one, one) is RootComparison.SAME
    assert compare_roots(signed(2, note="other").root, two) is RootComparison.CONFLICT
    assert compare_roots(one, None) is RootComparison.NEWER


def test_blob_with_excessive_decompressed_size_is_refused() -> None:
    bomb = zlib.compress(b"0" * 20_000_000)
    assert decompress_blob(bomb, compute_digest(bomb)).failure().reason == "too_large"


def test_wrong_and_missing_blobs_are_refused() -> None:
    built = build_bundle(contents(), 1)
    wrong = {d: b"other" for d in built.blobs}
    digest = root_digest(built.root)
    assert (
        assemble_bundle(built.root, digest, wrong).failure().reason == "digest_mismatch"
    )
    assert assemble_bundle(built.root, digest, {}).failure().reason == "missing_blob"


def test_bundle_of_the_target_size_fits_the_service() -> None:
    built = build_bundle(contents(19_000), 1)
    assert lint_sizes(built, len(encode_signed_root(SignedRoot(built.root)))) == []


def test_lint_names_the_field_the_value_and_what_is_allowed(snapshot) -> None:
    base = contents().base
    bad = Contents(
        replace(
            base,
            callers=(Caller(KIOSKS, "XY", 10), *base.callers),
            pools=(replace(base.pools[0], loads_per_s=0),),
            services=(Service("/v1/x", PoolName("gone"), (CallerName("who"),)),),
        ),
        (
            Adapter("a", "other", POOL, (), (CallerName("who"),)),
            Adapter("b", "base", PoolName("gone"), ("1@2",), ()),
        ),
    )
    assert [str(f) for f in lint_contents(bad)] == snapshot
    assert lint_contents(contents()) == []


def test_diff_shows_what_changes(snapshot) -> None:
    old = contents(3)
    first, second, *_ = old.adapters
    new = Contents(
        replace(old.base, services=()),
        (replace(first, versions=("1", "2")), second, replace(first, name="new")),
    )
    assert [str(d) for d in diff_contents(old, new)] == snapshot
