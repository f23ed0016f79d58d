"""Guard views: the numbered sets of hosts that guard a data centre's idempotency keys.

A guard is an entry host that votes on claims of idempotency keys (see `claims`). A view
is the set of guards of one data centre that a state of the roster defines.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from .names import Address, DataCentre, HostId
from .rendezvous import rank_members, rendezvous_score
from .roster import EntryHost, Presence, Roster

GUARDS_PER_DATA_CENTRE = 5
"""Number of guards of a data centre; two can fail at once."""
MIN_GUARDS = 3
"""Minimum number of guards, so that one can fail.

A data centre with fewer hosts uses hosts of the next data centres in cyclic name order
as additional guards.
"""
HOME_SEPARATOR = "~"


@dataclass(frozen=True, slots=True, order=True)
class GuardAddress:
    """One guard with its address for peers."""

    host_id: HostId
    address: Address


@dataclass(frozen=True, slots=True)
class View:
    """The guards of one data centre in one state of the roster.

    Number 0 is the founding view, which the settings define.
    """

    data_centre: DataCentre
    number: int
    guards: tuple[GuardAddress, ...]

    @property
    def majority(self) -> int:
        """Return the quorum: any two sets of this many guards overlap."""
        return len(self.guards) // 2 + 1

    def has_guard(self, host_id: HostId) -> bool:
        """Return whether a host is one of the guards."""
        return any(guard.host_id == host_id for guard in self.guards)


def build_view(roster: Roster, data_centre: DataCentre) -> View:
    """Return the view that a state of the roster defines for a data centre.

    The guards are the highest-ranked hosts by rendezvous hashing of the data centre's
    name, so that replacing one host changes at most one guard.
    """
    hosts = {h.host_id: h for h in roster.entry_hosts if h.presence is Presence.LIVE}
    chosen_hosts = first_ranked_hosts(hosts, data_centre, GUARDS_PER_DATA_CENTRE)
    for neighbour in other_data_centres(hosts, data_centre):
        if len(chosen_hosts) >= MIN_GUARDS:
            break
        chosen_hosts += first_ranked_hosts(
            hosts, neighbour, MIN_GUARDS - len(chosen_hosts)
        )
    guards = tuple(
        sorted(GuardAddress(h.host_id, h.peer_address) for h in chosen_hosts)
    )
    return View(data_centre, roster.number, guards)


def first_ranked_hosts(
    hosts: dict[HostId, EntryHost], data_centre: DataCentre, count: int
) -> list[EntryHost]:
    """Return the `count` highest-ranked hosts of a data centre.

    They are ranked for their own data centre's name, also as guards of another one.
    """
    local = [h for h in hosts if hosts[h].data_centre == data_centre]
    return [
        hosts[HostId(h)] for h in rank_members(f"guards/{data_centre}", local)[:count]
    ]


def other_data_centres(
    hosts: dict[HostId, EntryHost], data_centre: DataCentre
) -> list[DataCentre]:
    """Return the other data centres in cyclic name order after `data_centre`."""
    names = sorted({h.data_centre for h in hosts.values()} - {data_centre})
    return [n for n in names if n > data_centre] + [n for n in names if n < data_centre]


def home_data_centre(key: str, data_centres: Sequence[DataCentre]) -> DataCentre:
    """Return the home data centre of a key.

    A key of the form ``home~rest`` names its home; other keys are hashed to one.
    """
    named, separator, _ = key.partition(HOME_SEPARATOR)
    if separator and named in data_centres:
        return DataCentre(named)
    return max(data_centres, key=lambda dc: (rendezvous_score(f"home/{key}", dc), dc))
