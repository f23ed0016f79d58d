"""Paths of digests between hosts, chosen so that a host's cost stays bounded.

Load pattern: hundreds of hosts for a few dozen engines. When each host reports to each
other one, the cost of sharing what is known of engines grows with the square of the
hosts; made affordable by longer periods, the reports were 18 s old at 195 hosts, and
requests piled up on engines that failed.

A small fleet is a mesh: every pair of hosts exchanges digests. In a large fleet, one
host of each data centre is its hub. The other hosts send the hub their own part and
receive the sum of all others; hubs send each other the sum of their data centres. So a
host exchanges digests with one other, a hub with the hosts of its data centre and one
host of each other data centre, and reports are at most three periods old.
"""

from enum import Enum

from .names import HostId

MAX_MESH_HOSTS = 25
"""Largest fleet that is a mesh: reports are then fresher than through a hub, and cost
no more than a hub spends."""


class DigestScope(Enum):
    """Hosts whose requests a digest sums up."""

    NOBODY = 0
    HOST = 1
    DATA_CENTRE = 2
    FLEET = 3


def is_mesh(hosts: int) -> bool:
    """Return whether a fleet of this size is a mesh."""
    return hosts <= MAX_MESH_HOSTS


def digest_scope(
    hub: HostId, me: HostId, peer: HostId, peer_is_near: bool
) -> DigestScope:
    """Return the scope of the digests that one host of a large fleet sends another.

    Parameters
    ----------
    hub : HostId
        The hub of the sender's data centre.
    peer_is_near : bool
        Whether the receiver is in the sender's data centre.
    """
    if hub == me:
        return DigestScope.FLEET if peer_is_near else DigestScope.DATA_CENTRE
    return DigestScope.HOST if hub == peer else DigestScope.NOBODY
