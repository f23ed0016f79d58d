"""Ways to serve callers of hosts that are cut off from all targets, without sockets.

Hosts in data centres get requests at random while some of them are cut off. A balancer
gives new connections to ready hosts of a data centre, or to all of them if fewer than
half are ready; connections that are open stay. Each way is replayed on the same draws.
"""

import argparse
import sys
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from random import Random

DATA_CENTRES = 3
SECONDS = 12
REQUESTS_PER_HOST_S = 10
OPEN_CONNECTIONS_SHARE = 0.3
"""Share of requests that come over connections which were open before the cut."""

UNREADY_AFTER_S = 2
"""Time after which a host that reports not ready gets no new connections."""

NEAR_HOP_MS, FAR_HOP_MS = 0.2, 2.8
"""Round trip to a host of the same data centre, and to one of another."""


class Way(Enum):
    """What a host does with requests for targets that it cannot reach."""

    REFUSE = "refuse"
    UNREADY = "unready"
    THROUGH_PEERS = "through peers"
    THROUGH_PEERS_AND_UNREADY = "both"


@dataclass(frozen=True, slots=True)
class PathWorld:
    """Which hosts are cut off; host numbers modulo `DATA_CENTRES` are data centres."""

    hosts: int
    cut: frozenset[int]

    def data_centre(self, host: int) -> int:
        """Return the data centre of a host."""
        return host % DATA_CENTRES

    def hosts_in(self, data_centre: int) -> list[int]:
        """Return the hosts of a data centre."""
        return list(range(data_centre, self.hosts, DATA_CENTRES))


@dataclass(frozen=True, slots=True)
class PathFigures:
    """What a replay showed.

    Parameters
    ----------
    served_share : float
        First attempts served, of those that came to cut hosts; 1 if none came.
    failed : int
        First attempts that failed there.
    worst_load : float
        Most requests that a host sends to targets, as a multiple of the mean in calm.
    added_ms : float
        Mean time that the way through a peer adds, in milliseconds.
    far_share : float
        Share of the requests at cut hosts that cross between data centres for a peer.
    """

    served_share: float
    failed: int
    worst_load: float
    added_ms: float
    far_share: float


def replay(world: PathWorld, way: Way, seed: int) -> PathFigures:
    """Replay a cut with one way."""
    random = Random(seed)
    sends: Counter[int] = Counter()
    served = failed = far = 0
    added_ms = 0.0
    for second in range(SECONDS):
        for _ in range(world.hosts * REQUESTS_PER_HOST_S):
            host = entry_host(world, way, second, random)
            if host not in world.cut:
                sends[host] += 1
                continue
            peer = choose_peer(world, way, host, random)
            if peer is None:
                failed += 1
                continue
            served += 1
            sends[peer] += 1
            is_far = world.data_centre(peer) != world.data_centre(host)
            far += is_far
            added_ms += FAR_HOP_MS if is_far else NEAR_HOP_MS
    came = served + failed
    return PathFigures(
        served / came if came else 1.0,
        failed,
        max(sends.values(), default=0) / (SECONDS * REQUESTS_PER_HOST_S),
        added_ms / served if served else 0.0,
        far / came if came else 0.0,
    )


def entry_host(world: PathWorld, way: Way, second: int, random: Random) -> int:
    """Return the host that the balancer gives a request to."""
    everyone = world.hosts_in(random.randrange(DATA_CENTRES))
    is_open = random.random() < OPEN_CONNECTIONS_SHARE
    reports = way in (Way.UNREADY, Way.THROUGH_PEERS_AND_UNREADY)
    place = random.random()
    if is_open or not reports or second < UNREADY_AFTER_S:
        return everyone[int(place * len(everyone))]
    ready = [host for host in everyone if host not in world.cut]
    usable = ready if len(ready) * 2 >= len(everyone) else everyone
    return usable[int(place * len(usable))]


def choose_peer(world: PathWorld, way: Way, host: int, random: Random) -> int | None:
    """Return the peer through which a host reaches a target, if it finds one.

    Peers tell one another whether they are cut off; a near one comes first.
    """
    if way in (Way.REFUSE, Way.UNREADY):
        return None
    near = world.hosts_in(world.data_centre(host))
    known = [peer for peer in near if peer not in world.cut]
    known = known or [peer for peer in range(world.hosts) if peer not in world.cut]
    return random.choice(known) if known else None


def sixth(hosts: int) -> frozenset[int]:
    """Return a sixth of the hosts."""
    return frozenset(range(0, hosts, 6))


def half(hosts: int) -> frozenset[int]:
    """Return half of the hosts, spread over data centres."""
    return frozenset(range(hosts // 2))


def data_centre(hosts: int) -> frozenset[int]:
    """Return the hosts of a data centre."""
    return frozenset(range(0, hosts, DATA_CENTRES))


def all_but_one(hosts: int) -> frozenset[int]:
    """Return all hosts but one."""
    return frozenset(range(1, hosts))


CUTS: tuple[Callable[[int], frozenset[int]], ...] = (
    sixth,
    half,
    data_centre,
    all_but_one,
)


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the figures of all ways."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, nargs="+", default=[6, 30, 87, 300])
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args(arguments)
    print("hosts, cut, way: served share, failed, worst load, added ms, far share")
    for hosts in parsed.hosts:
        for cut in CUTS:
            for way in Way:
                found = replay(PathWorld(hosts, cut(hosts)), way, parsed.seed)
                print(
                    f"{hosts} {cut.__name__} {way.value}: {found.served_share:.2f}"
                    f" {found.failed} {found.worst_load:.2f} {found.added_ms:.2f}"
                    f" {found.far_share:.2f}"
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
