"""The platform's list of hosts and targets, as one numbered state of it."""

from dataclasses import dataclass
from enum import Enum

from .names import Address, DataCentre, HostId, PoolName, TargetId


class Presence(Enum):
    """What the platform says of a host or a target."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(Enum):
    """What a target is: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class EntryHost:
    """One entry host: where its peers and its callers reach it."""

    host_id: HostId
    data_centre: DataCentre
    peer_address: Address
    caller_address: Address
    presence: Presence = Presence.LIVE


@dataclass(frozen=True, slots=True)
class Target:
    """One back end.

    Parameters
    ----------
    checks_fencing : bool
        Whether it refuses an order that carries an old fencing token.
    """

    target_id: TargetId
    pool: PoolName
    kind: TargetKind
    data_centre: DataCentre
    address: Address
    presence: Presence = Presence.LIVE
    checks_fencing: bool = True


@dataclass(frozen=True, slots=True)
class Roster:
    """One published state of the list; a higher number is a later state."""

    number: int
    entry_hosts: tuple[EntryHost, ...] = ()
    targets: tuple[Target, ...] = ()

    def is_live(self, target_id: TargetId) -> bool:
        """Return whether a target is listed and not about to leave."""
        return any(
            t.target_id == target_id and t.presence is Presence.LIVE
            for t in self.targets
        )

    def hosts_in_data_centre(self, data_centre: DataCentre) -> tuple[EntryHost, ...]:
        """Return the entry hosts of one data centre."""
        return tuple(h for h in self.entry_hosts if h.data_centre == data_centre)

    def targets_in_pool(self, pool: PoolName) -> tuple[Target, ...]:
        """Return the targets of one pool, the leaving ones too."""
        return tuple(t for t in self.targets if t.pool == pool)


EMPTY_ROSTER = Roster(number=0)
