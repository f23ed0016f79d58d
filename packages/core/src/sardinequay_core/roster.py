"""The roster: the platform's numbered list of entry hosts and targets."""

from dataclasses import dataclass
from enum import Enum

from .names import Address, DataCentre, HostId, PoolName, TargetId


class Presence(Enum):
    """The platform's status of a host or target."""

    LIVE = "live"
    LEAVING = "leaving"


class TargetKind(Enum):
    """The kind of a target: a model engine or a plain service."""

    ENGINE = "engine"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class EntryHost:
    """One entry host with its addresses for peers and for callers."""

    host_id: HostId
    data_centre: DataCentre
    peer_address: Address
    caller_address: Address
    presence: Presence = Presence.LIVE


@dataclass(frozen=True, slots=True)
class Target:
    """One target: an engine or a plain service that requests are sent to.

    Parameters
    ----------
    checks_fencing : bool
        Whether the target rejects orders with an outdated fencing token.
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
    """One published state of the list; a higher number is a later one."""

    number: int
    entry_hosts: tuple[EntryHost, ...] = ()
    targets: tuple[Target, ...] = ()

    def is_live(self, target_id: TargetId) -> bool:
        """Return whether a target is listed and not leaving."""
        return any(
            t.target_id == target_id and t.presence is Presence.LIVE
            for t in self.targets
        )

    def hosts_in_data_centre(self, data_centre: DataCentre) -> tuple[EntryHost, ...]:
        """Return the entry hosts of one data centre."""
        return tuple(h for h in self.entry_hosts if h.data_centre == data_centre)

    def targets_in_pool(self, pool: PoolName) -> tuple[Target, ...]:
        """Return the targets of one pool, including leaving ones."""
        return tuple(t for t in self.targets if t.pool == pool)


EMPTY_ROSTER = Roster(number=0)
