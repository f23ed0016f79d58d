"""Ranks of requests by the priorities of their organisations and routes.

Load pattern: requests of several routes wait for the same engines, and the callers of
the most urgent route have the least time. Judged by lateness first, a late request of
that route would wait behind all requests on time and be given up at its deadline, while
callers that can wait are served.
"""

from dataclasses import dataclass
from itertools import pairwise

from ..engine_orders import LATE_ANSWER_WORTH
from ..names import PoolName
from ..serving import Route, ServingConfig


@dataclass(frozen=True, slots=True)
class Rank:
    """Priorities of one request, 0 first.

    Parameters
    ----------
    organisation : int or None
        Priority of the caller's organisation, which takes precedence; None if it has
        none.
    route : int
        Priority of the request's route.
    """

    organisation: int | None
    route: int

    @property
    def first(self) -> int:
        """Return the priority that takes precedence."""
        return self.route if self.organisation is None else self.organisation


def request_worth(priority: int) -> float:
    """Return the value of a request on time, by the priority that takes precedence."""
    return 1.0 + 1.0 / (1 + priority)


@dataclass(frozen=True, slots=True)
class PoolRanks:
    """How the requests for one pool rank.

    Parameters
    ----------
    routes : tuple of int
        Priorities of the pool's routes, ascending.
    outlast_lateness : bool
        Whether a late request comes before all of lower ranks: where the callers of
        more urgent routes wait for a shorter time than others.
    last_organisation : int
        The last priority of any organisation.
    """

    routes: tuple[int, ...] = ()
    outlast_lateness: bool = False
    last_organisation: int = 0

    def position(self, rank: Rank) -> int:
        """Return a request's place in the order of ranks, 0 first."""
        if rank.organisation is None:
            return rank.route
        before = sum(1 for priority in self.routes if priority < rank.route)
        return rank.organisation * max(1, len(self.routes)) + before

    def urgency(self, rank: Rank, lowest: int) -> int:
        """Return a request's place in the order of ranks, at most the lowest one.

        Where there are more places, only the priority that takes precedence counts;
        else several organisations' priorities would share the lowest.
        """
        places = (self.last_organisation + 1) * max(1, len(self.routes))
        place = self.position(rank) if places <= lowest + 1 else rank.first
        return min(lowest, place)

    def worth(self, rank: Rank) -> float:
        """Return the value of a request on time in the load queue.

        The route decides between requests of one organisation's priority only.
        """
        if self.outlast_lateness:
            # A late answer of a rank is worth as much as one on time of the next rank.
            return LATE_ANSWER_WORTH ** self.position(rank)
        upper = request_worth(rank.first)
        if rank.organisation is None:
            return upper
        lower = request_worth(rank.first + 1)
        return lower + (upper - lower) / (1 + rank.route)


NO_RANKS = PoolRanks()
"""Ranks of a pool to which no route is known to lead."""


def pool_ranks(config: ServingConfig) -> dict[PoolName, PoolRanks]:
    """Return the ranks of each pool that a configuration's routes lead to."""
    routes: dict[PoolName, list[Route]] = {}
    for route in config.routes:
        for share in route.shares:
            routes.setdefault(share.pool, []).append(route)
    last_organisation = max(
        (o.priority or 0 for o in config.organisations or ()), default=0
    )
    return {
        pool: PoolRanks(
            tuple(sorted({route.priority for route in members})),
            urgent_callers_wait_least(members),
            last_organisation,
        )
        for pool, members in routes.items()
    }


def urgent_callers_wait_least(routes: list[Route]) -> bool:
    """Return whether each more urgent route has a shorter timeout than others."""
    ranked = sorted(routes, key=lambda route: (route.priority, route.timeout))
    changes = [(a, b) for a, b in pairwise(ranked) if a.priority != b.priority]
    return bool(changes) and all(
        urgent.timeout < other.timeout for urgent, other in changes
    )
