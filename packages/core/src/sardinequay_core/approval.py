"""Bundle approvals: Ed25519 signatures over the root, checked against a threshold."""

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

from .bundle import FANOUT, FORMAT, MAX_VALUE_BYTES, Root, compute_digest, decode_part
from .errors import BundleError
from .names import Digest

MAX_VERSION = 2**53
"""Greatest version of a bundle, which all messages to peers can carry."""

SIGNATURE_DOMAIN = b"sardinequay bundle root\x00"
"""Domain-separation prefix of signed messages: a signature is valid for roots only."""


@dataclass(frozen=True, slots=True)
class Approval:
    """One approver's signature of a root, in hexadecimal."""

    key_id: str
    signature: str


@dataclass(frozen=True, slots=True)
class SignedRoot:
    """A root with its collected approvals."""

    root: Root
    approvals: tuple[Approval, ...] = ()


@dataclass(frozen=True, slots=True)
class ApprovalPolicy:
    """The trusted approver keys and the number of approvals a bundle needs.

    Parameters
    ----------
    keys : mapping of str to str
        Public keys in hexadecimal, by key id.
    threshold : int
        More than half of the keys, so that two different bundles with the same version
        have an approver in common, who must not sign both.
    """

    keys: Mapping[str, str]
    threshold: int


def root_bytes(root: Root) -> bytes:
    """Return the canonical JSON encoding of a root."""
    return msgspec.json.encode(root, order="deterministic")


def root_digest(root: Root) -> Digest:
    """Return the content address of a root."""
    return compute_digest(root_bytes(root))


def encode_signed_root(signed: SignedRoot) -> bytes:
    """Return the JSON encoding of a signed root as the platform publishes it."""
    return msgspec.json.encode(signed, order="deterministic")


def add_approval(signed: SignedRoot, key_id: str, key: Ed25519PrivateKey) -> SignedRoot:
    """Return the root with an approval by `key`; replaces one of the same `key_id`."""
    signature = key.sign(SIGNATURE_DOMAIN + root_bytes(signed.root)).hex()
    others = tuple(a for a in signed.approvals if a.key_id != key_id)
    return SignedRoot(signed.root, (*others, Approval(key_id, signature)))


def valid_approvers(signed: SignedRoot, trust: ApprovalPolicy) -> set[str]:
    """Return the ids of the trusted keys with a valid signature of the root."""
    message = SIGNATURE_DOMAIN + root_bytes(signed.root)
    return {a.key_id for a in signed.approvals if is_valid_signature(a, message, trust)}


def is_valid_signature(
    approval: Approval, message: bytes, trust: ApprovalPolicy
) -> bool:
    """Return whether the approval is a trusted key's valid signature of `message`."""
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
    """Parse a signed root without checking its approvals."""
    if len(data) > MAX_VALUE_BYTES:
        return Failure(BundleError("too_large", f"root of {len(data)} bytes"))
    return decode_part(data, SignedRoot, "root").bind(check_root_format)


def check_root_format(signed: SignedRoot) -> Result[SignedRoot, BundleError]:
    """Reject a root with an unsupported format, a bad version or a bad index."""
    root = signed.root
    if root.format != FORMAT:
        return Failure(BundleError("format", f"format {root.format}, not {FORMAT}"))
    if not 1 <= root.version <= MAX_VERSION or len(root.index) != FANOUT:
        return Failure(BundleError("malformed", "version out of range or wrong index"))
    return Success(signed)


def verify_signed_root(
    data: bytes, trust: ApprovalPolicy
) -> Result[SignedRoot, BundleError]:
    """Parse a signed root and check that enough trusted keys approved it."""
    return parse_signed_root(data).bind(
        lambda signed: check_approval_threshold(signed, trust)
    )


def check_approval_threshold(
    signed: SignedRoot, trust: ApprovalPolicy
) -> Result[SignedRoot, BundleError]:
    """Reject a root with fewer valid approvals than the threshold."""
    count = len(valid_approvers(signed, trust))
    if count < trust.threshold:
        detail = f"{count} of {trust.threshold} approvals"
        return Failure(BundleError("under_signed", detail))
    return Success(signed)


class RootComparison(Enum):
    """How a verified root relates to the root in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


def compare_roots(offered: Root, in_force: Root | None) -> RootComparison:
    """Compare an offered root with the root in force.

    Versions only increase: an older root never replaces the one in force. Two roots
    with the same version must be identical; otherwise they conflict.
    """
    if in_force is None or offered.version > in_force.version:
        return RootComparison.NEWER
    if offered.version < in_force.version:
        return RootComparison.OLDER
    same = root_digest(offered) == root_digest(in_force)
    return RootComparison.SAME if same else RootComparison.CONFLICT
