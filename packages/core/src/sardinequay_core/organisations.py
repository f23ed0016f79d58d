"""Organisations that may send requests: their keys, priority and quota.

A key is stored and sent between hosts only as a digest, so that nothing that a host
keeps, logs or sends can be used to send requests.
"""

from dataclasses import dataclass
from enum import Enum
from hashlib import blake2b
from typing import NewType

OrganisationName = NewType("OrganisationName", str)
KeyDigest = NewType("KeyDigest", str)

DIGEST_BYTES = 16
"""Size of a key's digest in bytes: keys are random, so a digest of this size reveals
none."""

KEY_PURPOSE = b"caller key"
"""Separates these digests from all others: a key that is also a body has another
digest."""


class QuotaUnit(Enum):
    """What a quota counts: requests or tokens."""

    REQUESTS = "requests"
    TOKENS = "tokens"


@dataclass(frozen=True, slots=True)
class Quota:
    """Rate limit of an organisation over all hosts.

    Parameters
    ----------
    rate_per_s, burst : float
        Sustained rate a second, and amount at once after a pause, in the unit.
    plain_tokens : int
        Cost of a request that does not declare its tokens.
    """

    rate_per_s: float
    burst: float
    unit: QuotaUnit = QuotaUnit.REQUESTS
    plain_tokens: int = 1

    def cost(self, tokens: int | None) -> int:
        """Return the cost of a request in the quota's unit.

        Parameters
        ----------
        tokens : int or None
            Prompt tokens plus the most tokens to generate; None if the request does not
            declare them.
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
        Overrides the priority of a request's route; None for the route's.
    quota : Quota or None
        None for no limit.
    """

    name: OrganisationName
    keys: frozenset[KeyDigest]
    priority: int | None = None
    quota: Quota | None = None


def key_digest(key: str) -> KeyDigest:
    """Return the digest that identifies a key."""
    raw = key.encode("utf-8", "surrogateescape")
    digest = blake2b(raw, digest_size=DIGEST_BYTES, person=KEY_PURPOSE)
    return KeyDigest(digest.hexdigest())
