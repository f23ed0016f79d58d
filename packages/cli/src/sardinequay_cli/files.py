"""Reads and writes operators' files: contents, roots, blobs, keys and settings."""

import os
from collections.abc import Mapping
from pathlib import Path
from typing import TypeVar

from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric.ed25519 import Ed25519PrivateKey
from returns.result import Success

from sardinequay_core.approval import (
    ApprovalPolicy,
    SignedRoot,
    encode_signed_root,
    parse_signed_root,
)
from sardinequay_core.bundle import Contents
from sardinequay_core.documents import decode_json
from sardinequay_core.errors import DocumentError
from sardinequay_core.names import Digest
from sardinequay_daemon.settings import Settings
from sardinequay_daemon.settings_check import read_settings

from .errors import EXIT_REFUSED, EXIT_USAGE, CommandError

T = TypeVar("T")
ROOT_FILE_NAME = "root"
PRIVATE_KEY_MODE = 0o600


def read_bytes(path: Path) -> bytes:
    """Read a file; raise `CommandError` if it cannot be read."""
    try:
        return path.read_bytes()
    except OSError as error:
        message = f"{path}: {error.strerror}"
        raise CommandError(message, EXIT_USAGE) from error


def read_contents(path: Path) -> Contents:
    """Read the contents of a bundle from a JSON file."""
    try:
        return decode_json(read_bytes(path), Contents)
    except DocumentError as error:
        raise CommandError(f"{path}: {error}", EXIT_USAGE) from error


def read_signed_root(path: Path) -> SignedRoot:
    """Read a root with its approvals, without checking them."""
    parsed = parse_signed_root(read_bytes(path))
    if not isinstance(parsed, Success):
        raise CommandError(f"{path}: {parsed.failure()}", EXIT_REFUSED)
    signed: SignedRoot = parsed.unwrap()
    return signed


def write_signed_root(path: Path, signed: SignedRoot) -> None:
    """Write a root with its approvals; readers see either the old or the new file."""
    write_atomically(path, encode_signed_root(signed))


def write_atomically(path: Path, data: bytes) -> None:
    """Write a file under a temporary name, then rename it: it is never partial."""
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        temporary = path.with_name(path.name + ".part")
        temporary.write_bytes(data)
        temporary.replace(path)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error


def read_blobs(directory: Path) -> dict[Digest, bytes]:
    """Read all blobs of a directory, keyed by digest, which is the file's name."""
    try:
        files = [f for f in directory.iterdir() if len(f.name) == 64]
    except OSError as error:
        raise CommandError(f"{directory}: {error.strerror}", EXIT_USAGE) from error
    return {Digest(f.name): f.read_bytes() for f in files}


def write_blobs(directory: Path, blobs: Mapping[Digest, bytes]) -> None:
    """Write blobs as files named by digest; existing files have the same bytes."""
    for digest, blob in blobs.items():
        path = directory / digest
        if not path.exists():
            write_atomically(path, blob)


def read_approval_policy(path: Path) -> ApprovalPolicy:
    """Read the approvers' keys and the threshold from a host's settings."""
    settings = read_host_settings(path)
    return ApprovalPolicy(settings.trust.keys, settings.trust.threshold)


def read_host_settings(path: Path) -> Settings:
    """Read a host's settings."""
    result = read_settings(path)
    if not isinstance(result, Success):
        raise CommandError(str(result.failure()), EXIT_USAGE)
    settings: Settings = result.unwrap()
    return settings


def read_private_key(path: Path) -> Ed25519PrivateKey:
    """Read an approver's private key."""
    try:
        key = serialization.load_pem_private_key(read_bytes(path), None)
    except (ValueError, TypeError) as error:
        message = f"{path}: not a private key without passphrase"
        raise CommandError(message, EXIT_USAGE) from error
    if not isinstance(key, Ed25519PrivateKey):
        raise CommandError(f"{path}: not an Ed25519 key", EXIT_USAGE)
    return key


def write_private_key(path: Path, key: Ed25519PrivateKey) -> None:
    """Write a new private key that only its owner can read; never overwrite a file."""
    data = key.private_bytes(
        serialization.Encoding.PEM,
        serialization.PrivateFormat.PKCS8,
        serialization.NoEncryption(),
    )
    try:
        path.parent.mkdir(parents=True, exist_ok=True)
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, PRIVATE_KEY_MODE), "wb") as file:
            file.write(data)
    except OSError as error:
        raise CommandError(f"{path}: {error.strerror}", EXIT_USAGE) from error


def public_key_hex(key: Ed25519PrivateKey) -> str:
    """Return the public key in hexadecimal, as in the settings."""
    raw = key.public_key().public_bytes(
        serialization.Encoding.Raw, serialization.PublicFormat.Raw
    )
    return raw.hex()
