"""What can be explored."""

from .claim_world import MUTATIONS as CLAIM_MUTATIONS
from .claim_world import ClaimWorld
from .exploration import Subject
from .lease_world import MUTATIONS as LEASE_MUTATIONS
from .lease_world import LeaseWorld

SUBJECTS = {
    "claims": Subject(ClaimWorld, 300, CLAIM_MUTATIONS),
    "evictions": Subject(LeaseWorld, 400, LEASE_MUTATIONS),
    "evictions-unfenced": Subject(
        lambda random: LeaseWorld(random, checks_fencing=False), 400, LEASE_MUTATIONS
    ),
}
