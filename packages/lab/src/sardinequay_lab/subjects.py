"""What can be explored."""

from .bundle_world import MUTATIONS as BUNDLE_MUTATIONS
from .bundle_world import BundleWorld
from .claim_world import MUTATIONS as CLAIM_MUTATIONS
from .claim_world import ClaimWorld
from .exploration import Subject
from .lease_mutations import MUTATIONS as LEASE_MUTATIONS
from .lease_world import LeaseWorld

SUBJECTS = {
    "bundles": Subject(BundleWorld, 200, BUNDLE_MUTATIONS),
    "claims": Subject(ClaimWorld, 300, CLAIM_MUTATIONS),
    "evictions": Subject(LeaseWorld, 400, LEASE_MUTATIONS),
    "evictions-unfenced": Subject(
        lambda random: LeaseWorld(random, checks_fencing=False), 400, LEASE_MUTATIONS
    ),
}
