"""Which bundle is in force: the newest that verifies, whoever brings it, never back."""

from dataclasses import dataclass, field
from enum import Enum

from returns.result import Failure, Result, Success

from .approval import (
    SignedRoot,
    Trust,
    Verdict,
    compare,
    root_digest,
    verify,
)
from .errors import BundleError
from .names import Digest


@dataclass(frozen=True, slots=True)
class Offered:
    """What somebody says is in force: a version and the digest of its root."""

    version: int
    digest: str


class Heard(Enum):
    """Who confirmed what a new host has in force."""

    NOBODY_YET = ""
    PEERS = "peers"
    TIMEOUT = "nobody"


@dataclass(slots=True)
class Rollout:
    """One host's bundle: judged here, fetched and assembled by the daemon.

    Parameters
    ----------
    heard : Heard
        A new host hears its peers before it serves, so that a stale service cannot
        make it serve an old bundle. One that hears nobody goes on after a bound.
    """

    trust: Trust
    in_force: SignedRoot | None = None
    heard: Heard = Heard.NOBODY_YET
    refused: set[tuple[str, Digest]] = field(default_factory=set)

    def version(self) -> int:
        """Return the version in force; 0 before the first."""
        return self.in_force.root.version if self.in_force else 0

    def judge(self, data: bytes) -> Result[SignedRoot | None, BundleError]:
        """Judge a signed root.

        Returns
        -------
        Result
            The root if it is to be put in force, None if it is in force already, or
            why it is refused.
        """
        verified = verify(data, self.trust)
        if not isinstance(verified, Success):
            return Failure(verified.failure())
        signed: SignedRoot = verified.unwrap()
        current = self.in_force.root if self.in_force else None
        verdict = compare(signed.root, current)
        if verdict is Verdict.NEWER:
            return Success(signed)
        if verdict is Verdict.SAME:
            return Success(None)
        detail = f"version {signed.root.version} beside {self.version()} in force"
        return Failure(BundleError(verdict.value, detail))

    def put_in_force(self, signed: SignedRoot) -> None:
        """Take a root whose bundle is whole, unless a newer one came meanwhile."""
        if signed.root.version > self.version():
            self.in_force = signed

    def refuse(self, error: BundleError, digest: Digest) -> bool:
        """Remember a refusal; return whether it is new."""
        mark = (error.reason, digest)
        is_new = mark not in self.refused
        self.refused.add(mark)
        return is_new

    def is_worth_asking(self, offered: Offered) -> bool:
        """Return whether an offer is newer, or another bundle of the same version."""
        if offered.version != self.version():
            return offered.version > self.version()
        if self.in_force is None:
            return False
        is_other = offered.digest != root_digest(self.in_force.root)
        known = (Verdict.CONFLICT.value, Digest(offered.digest))
        return is_other and known not in self.refused

    def may_serve(self) -> bool:
        """Return whether requests may be decided by the bundle in force."""
        return self.in_force is not None and self.heard is not Heard.NOBODY_YET
