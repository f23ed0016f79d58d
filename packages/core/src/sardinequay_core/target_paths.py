"""Paths from this host to targets: which are lost, and whether the host is cut off.

Reachability belongs to a pair of host and target. A path is lost if this host can open
no connection to a target while a peer can; a target that no host reaches is down, which
is no matter of paths. Connections that were open before a path was lost may live on, so
only new ones show whether it is there.

Load pattern: in a large fleet a host sends a target a request in half a minute, so it
must not need a failed attempt at each target to learn that it reaches none of them.
"""

from dataclasses import dataclass, field

from .clock import ZERO, Instant, seconds
from .names import Address

MIN_LOST_PATHS = 2
"""Paths that have to be lost, with none found intact since, before a host takes itself
to be cut off from all targets: a single one is rather the fault of a single link."""

PROBE_INTERVAL = seconds(0.5)
"""Interval between two probes of a lost path."""

STEADY_AFTER = seconds(3)
"""Time without a change after which a path is steady. A target that has ended, behind a
gateway that accepts its connections, looks like a path that changes more often."""

MAX_PROBES_AT_ONCE = 8
"""Paths probed at once, so that a host before many targets does not probe all of them
in each interval."""


@dataclass(slots=True)
class LostPath:
    """A path that is lost.

    Parameters
    ----------
    lost_at : timedelta
        When a peer opened a connection and this host could not.
    probe_at : timedelta
        When the path is to be probed next.
    """

    lost_at: Instant
    probe_at: Instant


@dataclass(slots=True)
class TargetPaths:
    """The lost paths of this host, by target address.

    Parameters
    ----------
    opened_at : timedelta
        When this host last opened a connection of its own to any target.
    changed_at : dict
        When a path was last lost or regained.
    """

    lost: dict[Address, LostPath] = field(default_factory=dict)
    changed_at: dict[Address, Instant] = field(default_factory=dict)
    opened_at: Instant = ZERO

    @property
    def is_cut_off(self) -> bool:
        """Return whether this host appears to reach no target at all."""
        since_opened = (p for p in self.lost.values() if p.lost_at > self.opened_at)
        return sum(1 for _ in since_opened) >= MIN_LOST_PATHS

    def is_lost(self, address: Address) -> bool:
        """Return whether a path is lost, or all of them appear to be."""
        if not self.lost:
            return False
        return address in self.lost or self.is_cut_off

    def record_opened(self, address: Address, now: Instant) -> LostPath | None:
        """Record a connection opened by this host; return the path if it was lost.

        The other lost paths are probed soon: they may be back, too.
        """
        self.opened_at = now
        regained = self.lost.pop(address, None)
        if regained is not None:
            for path in self.lost.values():
                path.probe_at = min(path.probe_at, now)
        return regained

    def record_lost(self, address: Address, now: Instant) -> bool:
        """Record that only a peer opened a connection; return whether that is new."""
        path = self.lost.get(address)
        if path is not None:
            return False
        self.lost[address] = LostPath(now, now + PROBE_INTERVAL)
        return True

    def record_change(self, address: Address, now: Instant) -> bool:
        """Record that a path changed; return whether it had been steady until then."""
        before = self.changed_at.get(address)
        self.changed_at[address] = now
        return before is None or now - before >= STEADY_AFTER

    def take_due_probes(self, now: Instant) -> list[Address]:
        """Return the lost paths to probe now, the longest due first."""
        due = sorted(
            (a for a, p in self.lost.items() if p.probe_at <= now),
            key=lambda address: (self.lost[address].probe_at, str(address)),
        )[:MAX_PROBES_AT_ONCE]
        for address in due:
            self.lost[address].probe_at = now + PROBE_INTERVAL
        return due

    def prune_unlisted(self, listed: frozenset[Address]) -> None:
        """Drop the paths to addresses at which no target is listed any more."""
        for kept in (self.lost, self.changed_at):
            for address in kept.keys() - listed:
                del kept[address]
