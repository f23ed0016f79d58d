"""Which organisations may send requests: their keys, their priority, their quota.

A key is held and told between hosts as a digest only, so that nothing that a host
keeps, logs or sends can be used to send requests.
"""

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import NewType

OrganisationName = NewType("OrganisationName", str)
KeyDigest = NewType("KeyDigest", str)

DIGEST_BYTES = 16
"""Keys are drawn at random, so a digest of this size gives none away."""

KEY_PURPOSE = b"caller key"
"""Parts these digests from all others: a key that is also a body has another one."""


class QuotaUnit(Enum):
    """What a quota counts."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """How much an organisation may ask for, over all hosts.

    Parameters
    ----------
    rate_per_s, burst : float
        What it may ask for a second, and at once after a pause, in the unit.
    plain_tokens : int
        What a request counts that does not say its tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 1

    def cost(self, tokens: int | None) -> int:
        """Return what a request counts.

        Parameters
        ----------
        tokens : int or None
            Tokens to be read and at most made for it; None if it does not say.
        """
        if self.unit is QuotaUnit.REQUESTS:
            return 1
        return self.plain_tokens if tokens is None else tokens


@dataclass(frozen=True, slots=True)
class Organisation:
    """An organisation whose callers may send requests.

    Parameters
    ----------
    priority : int or None
        Goes before the priority of a request's route; None for the route's.
    quota : Quota or None
        None for no bound.
    """

    name: OrganisationName
    keys: frozenset[KeyDigest]
    priority: int | None = None
    quota: Quota | None = None


def key_digest(key: str) -> KeyDigest:
    """Return the digest by which a key is known."""
    raw = key.encode("utf-8", "surrogateescape")
    digest = blake2b(raw, digest_size=DIGEST_BYTES, person=KEY_PURPOSE)
    return KeyDigest(digest.hexdigest())
