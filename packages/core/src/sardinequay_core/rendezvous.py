"""Rendezvous hashing: hosts compute the same ranking of members independently.

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
    """Return the score of `member` for `key`; the highest score owns the key."""
    data = f"{key}\x00{member}".encode()
    return int.from_bytes(blake2b(data, digest_size=SCORE_BYTES).digest(), "big")


def rank_members(key: str, members: Iterable[str]) -> list[str]:
    """Return `members` in descending order of their score for `key`."""
    return sorted(
        members,
        key=lambda member: (rendezvous_score(key, member), member),
        reverse=True,
    )


def first_member(key: str, members: Iterable[str]) -> str:
    """Return the member that ranks first for `key`."""
    return rank_members(key, members)[0]


def rank_members_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return members ranked for `key` by weighted rendezvous hashing.

    Each member ranks first for a share of the keys in proportion to its weight.
    Members without a positive weight are omitted.
    """

    def weighted(member: str) -> tuple[float, str]:
        uniform = (rendezvous_score(key, member) + 1) / (SCORE_RANGE + 1)
        return -weights[member] / math.log(uniform), member

    return sorted((m for m in weights if weights[m] > 0), key=weighted, reverse=True)
