"""Approvals of bundles: Ed25519 signatures over the root, counted to a threshold."""

from collections.abc import Mapping
from dataclasses import dataclass
from enum import Enum

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)
from returns.result import Failure, Result, Success

from .bundle import FANOUT, FORMAT, MAX_VALUE_BYTES, Root, compute_digest, decode_json
from .errors import BundleError
from .names import Digest

SIGNATURE_DOMAIN = b"sardinequay bundle root\x00"
"""Prefix of what is signed, so that a signature serves no other purpose."""


@dataclass(frozen=True, slots=True)
class Approval:
    """One approver's signature in hexadecimal."""

    key_id: str
    signature: str


@dataclass(frozen=True, slots=True)
class SignedRoot:
    """A root with the approvals it has so far."""

    root: Root
    approvals: tuple[Approval, ...] = ()


@dataclass(frozen=True, slots=True)
class ApprovalPolicy:
    """Whose approvals count, and how many a bundle needs.

    Parameters
    ----------
    keys : mapping of str to str
        Public keys in hexadecimal by their ids.
    threshold : int
        More than half of the keys, so that two different bundles with one version
        share an approver, who must not sign both.
    """

    keys: Mapping[str, str]
    threshold: int


def root_bytes(root: Root) -> bytes:
    """Return the canonical form of a root."""
    return msgspec.json.encode(root, order="deterministic")


def root_digest(root: Root) -> Digest:
    """Return the content address of a root."""
    return compute_digest(root_bytes(root))


def encode_signed_root(signed: SignedRoot) -> bytes:
    """Return what the platform publishes as the root's value."""
    return msgspec.json.encode(signed, order="deterministic")


def add_approval(signed: SignedRoot, key_id: str, key: Ed25519PrivateKey) -> SignedRoot:
    """Return the root with one more approval; an older one by this key is replaced."""
    signature = key.sign(SIGNATURE_DOMAIN + root_bytes(signed.root)).hex()
    others = tuple(a for a in signed.approvals if a.key_id != key_id)
    return SignedRoot(signed.root, (*others, Approval(key_id, signature)))


def valid_approvers(signed: SignedRoot, trust: ApprovalPolicy) -> set[str]:
    """Return the ids of trusted keys whose signature holds."""
    message = SIGNATURE_DOMAIN + root_bytes(signed.root)
    return {a.key_id for a in signed.approvals if is_valid_signature(a, message, trust)}


def is_valid_signature(
    approval: Approval, message: bytes, trust: ApprovalPolicy
) -> bool:
    """Return whether a trusted key made this signature over `message`."""
    public = trust.keys.get(approval.key_id)
    if public is None:
        return False
    try:
        key = Ed25519PublicKey.from_public_bytes(bytes.fromhex(public))
        key.verify(bytes.fromhex(approval.signature), message)
    except (InvalidSignature, ValueError):
        return False
    return True


def parse_signed_root(data: bytes) -> Result[SignedRoot, BundleError]:
    """Read a signed root without judging its approvals."""
    if len(data) > MAX_VALUE_BYTES:
        return Failure(BundleError("too_large", f"root of {len(data)} bytes"))
    return decode_json(data, SignedRoot, "root").bind(check_root_format)


def check_root_format(signed: SignedRoot) -> Result[SignedRoot, BundleError]:
    """Refuse roots of another format or with impossible fields."""
    root = signed.root
    if root.format != FORMAT:
        return Failure(BundleError("format", f"format {root.format}, not {FORMAT}"))
    if root.version < 1 or len(root.index) != FANOUT:
        return Failure(BundleError("malformed", "version below 1 or wrong index"))
    return Success(signed)


def verify_signed_root(
    data: bytes, trust: ApprovalPolicy
) -> Result[SignedRoot, BundleError]:
    """Read a signed root and check that enough trusted keys approved it."""
    return parse_signed_root(data).bind(
        lambda signed: check_approval_threshold(signed, trust)
    )


def check_approval_threshold(
    signed: SignedRoot, trust: ApprovalPolicy
) -> Result[SignedRoot, BundleError]:
    """Refuse a root with too few valid approvals."""
    count = len(valid_approvers(signed, trust))
    if count < trust.threshold:
        detail = f"{count} of {trust.threshold} approvals"
        return Failure(BundleError("under_signed", detail))
    return Success(signed)


class RootComparison(Enum):
    """What to do with a verified root beside the one in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


def compare_roots(offered: Root, in_force: Root | None) -> RootComparison:
    """Judge an offered root: versions only rise, and one version is one bundle."""
    if in_force is None or offered.version > in_force.version:
        return RootComparison.NEWER
    if offered.version < in_force.version:
        return RootComparison.OLDER
    same = root_digest(offered) == root_digest(in_force)
    return RootComparison.SAME if same else RootComparison.CONFLICT
