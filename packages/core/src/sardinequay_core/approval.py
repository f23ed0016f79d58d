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

from .bundle import FANOUT, FORMAT, MAX_VALUE_BYTES, Root, decode, digest_of
from .errors import BundleError
from .names import Digest

DOMAIN = b"sardinequay bundle root\x00"
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
class Trust:
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
    return digest_of(root_bytes(root))


def encode_signed(signed: SignedRoot) -> bytes:
    """Return what the platform publishes as the root's value."""
    return msgspec.json.encode(signed, order="deterministic")


def approve(signed: SignedRoot, key_id: str, key: Ed25519PrivateKey) -> SignedRoot:
    """Return the root with one more approval; an older one by this key is replaced."""
    signature = key.sign(DOMAIN + root_bytes(signed.root)).hex()
    others = tuple(a for a in signed.approvals if a.key_id != key_id)
    return SignedRoot(signed.root, (*others, Approval(key_id, signature)))


def valid_approvers(signed: SignedRoot, trust: Trust) -> set[str]:
    """Return the ids of trusted keys whose signature holds."""
    message = DOMAIN + root_bytes(signed.root)
    return {a.key_id for a in signed.approvals if is_valid(a, message, trust)}


def is_valid(approval: Approval, message: bytes, trust: Trust) -> bool:
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


def parse_signed(data: bytes) -> Result[SignedRoot, BundleError]:
    """Read a signed root without judging its approvals."""
    if len(data) > MAX_VALUE_BYTES:
        return Failure(BundleError("too_large", f"root of {len(data)} bytes"))
    return decode(data, SignedRoot, "root").bind(check_shape)


def check_shape(signed: SignedRoot) -> Result[SignedRoot, BundleError]:
    """Refuse roots of another format or with impossible fields."""
    root = signed.root
    if root.format != FORMAT:
        return Failure(BundleError("format", f"format {root.format}, not {FORMAT}"))
    if root.version < 1 or len(root.index) != FANOUT:
        return Failure(BundleError("malformed", "version below 1 or wrong index"))
    return Success(signed)


def verify(data: bytes, trust: Trust) -> Result[SignedRoot, BundleError]:
    """Read a signed root and check that enough trusted keys approved it."""
    return parse_signed(data).bind(lambda signed: check_threshold(signed, trust))


def check_threshold(
    signed: SignedRoot, trust: Trust
) -> Result[SignedRoot, BundleError]:
    """Refuse a root with too few valid approvals."""
    count = len(valid_approvers(signed, trust))
    if count < trust.threshold:
        detail = f"{count} of {trust.threshold} approvals"
        return Failure(BundleError("under_signed", detail))
    return Success(signed)


class Verdict(Enum):
    """What to do with a verified root beside the one in force."""

    NEWER = "newer"
    SAME = "same"
    OLDER = "older"
    CONFLICT = "conflict"


def compare(offered: Root, in_force: Root | None) -> Verdict:
    """Judge an offered root: versions only rise, and one version is one bundle."""
    if in_force is None or offered.version > in_force.version:
        return Verdict.NEWER
    if offered.version < in_force.version:
        return Verdict.OLDER
    same = root_digest(offered) == root_digest(in_force)
    return Verdict.SAME if same else Verdict.CONFLICT
