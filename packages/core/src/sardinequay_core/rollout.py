"""Selection of the bundle in force: the newest verified one, never an older one.

A root is checked in the same way whether the configuration service or a peer offers it.
"""

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
    """The version and root digest of a bundle that a peer or the service offers."""

    version: int
    digest: str


class Confirmation(Enum):
    """How a starting host confirmed that its bundle is current."""

    PENDING = ""
    PEERS = "peers"
    TIMED_OUT = "nobody"


@dataclass(slots=True)
class Rollout:
    """One host's bundle state; the daemon fetches and assembles the bundles.

    Parameters
    ----------
    confirmation : Confirmation
        A starting host asks its peers for their bundle before it serves, so that a
        stale configuration service cannot make it serve an old one. Without any answer
        it starts to serve after a timeout.
    """

    trust: ApprovalPolicy
    in_force: SignedRoot | None = None
    confirmation: Confirmation = Confirmation.PENDING
    refused: set[tuple[str, Digest]] = field(default_factory=set)

    def version(self) -> int:
        """Return the version in force; 0 before the first bundle."""
        return self.in_force.root.version if self.in_force else 0

    def check_root(self, data: bytes) -> Result[SignedRoot | None, BundleError]:
        """Verify a signed root and compare it with the root in force.

        Returns
        -------
        Result
            The root if it should be put in force, None if it is in force already, or
            the error for which it is rejected.
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
        """Put a complete bundle's root in force, unless a newer one is in force."""
        if signed.root.version > self.version():
            self.in_force = signed

    def record_refusal(self, error: BundleError, digest: Digest) -> bool:
        """Record the rejection of a root; return whether it was not yet recorded."""
        refusal = (error.reason, digest)
        is_new = refusal not in self.refused
        self.refused.add(refusal)
        return is_new

    def should_fetch(self, offered: OfferedBundle) -> bool:
        """Return whether an offer is newer, or conflicts and was not yet rejected."""
        if offered.version != self.version():
            return offered.version > self.version()
        if self.in_force is None:
            return False
        is_different = offered.digest != root_digest(self.in_force.root)
        recorded_conflict = (RootComparison.CONFLICT.value, Digest(offered.digest))
        return is_different and recorded_conflict not in self.refused

    def can_serve(self) -> bool:
        """Return whether the bundle in force may be used to serve requests."""
        return (
            self.in_force is not None and self.confirmation is not Confirmation.PENDING
        )
