"""Which bundle is in force: the newest that verifies, whoever brings it, never back."""

from dataclasses import dataclass, field
from enum import Enum

from returns.result import Failure, Result, Success

from .approval import (
    ApprovalPolicy,
    RootComparison,
    SignedRoot,
    compare_roots,
    root_digest,
    verify_signed_root,
)
from .errors import BundleError
from .names import Digest


@dataclass(frozen=True, slots=True)
class OfferedBundle:
    """What somebody says is in force: a version and the digest of its root."""

    version: int
    digest: str


class Confirmation(Enum):
    """Who confirmed what a new host has in force."""

    PENDING = ""
    PEERS = "peers"
    TIMED_OUT = "nobody"


@dataclass(slots=True)
class Rollout:
    """One host's bundle: judged here, fetched and assembled by the daemon.

    Parameters
    ----------
    heard : Heard
        A new host hears its peers before it serves, so that a stale service cannot
        make it serve an old bundle. One that hears nobody goes on after a bound.
    """

    trust: ApprovalPolicy
    in_force: SignedRoot | None = None
    confirmation: Confirmation = Confirmation.PENDING
    refused: set[tuple[str, Digest]] = field(default_factory=set)

    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.in_force.root.version if self.in_force else 0

    def check_root(self, data: bytes) -> Result[SignedRoot | None, BundleError]:
        """Judge a signed root.

        Returns
        -------
        Result
            The root if it is to be put in force, None if it is in force already, or
            why it is refused.
        """
        verified = verify_signed_root(data, self.trust)
        if not isinstance(verified, Success):
            return Failure(verified.failure())
        signed: SignedRoot = verified.unwrap()
        current = self.in_force.root if self.in_force else None
        verdict = compare_roots(signed.root, current)
        if verdict is RootComparison.NEWER:
            return Success(signed)
        if verdict is RootComparison.SAME:
            return Success(None)
        detail = f"version {signed.root.version} beside {self.version()} in force"
        return Failure(BundleError(verdict.value, detail))

    def put_in_force(self, signed: SignedRoot) -> None:
        """Take a root whose bundle is whole, unless a newer one came meanwhile."""
        if signed.root.version > self.version():
            self.in_force = signed

    def record_refusal(self, error: BundleError, digest: Digest) -> bool:
        """Remember a refusal; return whether it is new."""
        mark = (error.reason, digest)
        is_new = mark not in self.refused
        self.refused.add(mark)
        return is_new

    def should_fetch(self, offered: OfferedBundle) -> bool:
        """Return whether an offer is newer, or another bundle of the same version."""
        if offered.version != self.version():
            return offered.version > self.version()
        if self.in_force is None:
            return False
        is_other = offered.digest != root_digest(self.in_force.root)
        known = (RootComparison.CONFLICT.value, Digest(offered.digest))
        return is_other and known not in self.refused

    def can_serve(self) -> bool:
        """Return whether requests may be decided by the bundle in force."""
        return (
            self.in_force is not None and self.confirmation is not Confirmation.PENDING
        )
