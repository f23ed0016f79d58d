"""Who tells whom what, so that a host's cost does not grow with the fleet.

Load pattern: hundreds of hosts before a few dozen engines. Told by each host to each
other, what is known of engines costs the square of the hosts; kept affordable by longer
periods, it was 18 s old at 195 hosts, and requests heaped up on engines that failed.

A small fleet is a mesh: every pair of hosts exchanges digests. In a large one, one host
of each data centre is its hub. The others tell the hub their own part and hear the sum
of all others; hubs tell one another the sum of their data centres. So a host exchanges
digests with one other, a hub with the hosts of its data centre and one host of each
other, and what is known is at most three periods old.
"""

from enum import Enum

from .names import HostId

MAX_MESH_HOSTS = 25
"""Hosts up to which the fleet is a mesh: what each tells is then fresher than over a
hub, and costs no more than a hub spends."""


class DigestScope(Enum):
    """Whose requests a digest speaks of."""

    NOBODY = 0
    HOST = 1
    DATA_CENTRE = 2
    FLEET = 3


def is_mesh(hosts: int) -> bool:
    """Return whether a fleet of so many hosts is a mesh."""
    return hosts <= MAX_MESH_HOSTS


def digest_scope(
    hub: HostId, me: HostId, peer: HostId, peer_is_near: bool
) -> DigestScope:
    """Return what one host of a large fleet tells another.

    Parameters
    ----------
    hub : HostId
        The hub of the teller's data centre.
    peer_is_near : bool
        Whether the other is in the teller's data centre.
    """
    if hub == me:
        return DigestScope.FLEET if peer_is_near else DigestScope.DATA_CENTRE
    return DigestScope.HOST if hub == peer else DigestScope.NOBODY
