"""Rendezvous hashing: every host ranks the same members alike without talking.

References
----------
D. Thaler and C. Ravishankar, "Using name-based mappings to increase hit rates",
IEEE/ACM Transactions on Networking 6(1), 1998.
"""

import math
from collections.abc import Iterable, Mapping
from hashlib import blake2b

SCORE_BYTES = 8
SCORE_RANGE = float(1 << (8 * SCORE_BYTES))


def rendezvous_score(key: str, member: str) -> int:
    """Return the rank score of `member` for `key`; the highest owns the key."""
    data = f"{key}\x00{member}".encode()
    return int.from_bytes(blake2b(data, digest_size=SCORE_BYTES).digest(), "big")


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` from the best to the worst for `key`."""
    return sorted(
        members,
        key=lambda member: (rendezvous_score(key, member), member),
        reverse=True,
    )


def rank_members_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return members from the best to the worst, each first in proportion to weight.

    Members whose weight is not positive are left out.
    """

    def weighted(member: str) -> tuple[float, str]:
        uniform = (rendezvous_score(key, member) + 1) / (SCORE_RANGE + 1)
        return -weights[member] / math.log(uniform), member

    return sorted((m for m in weights if weights[m] > 0), key=weighted, reverse=True)
