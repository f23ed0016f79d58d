"""Hosts that pass streams on while engines of two software versions serve.

A world without sockets for `stream_replay`. Hosts have the core's own history of
versions and records of streams; what they see and tell one another is late or lost.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from random import Random

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import (
    Address,
    DataCentre,
    HostId,
    PoolName,
    SoftwareVersion,
    TargetId,
)
from sardinequay_core.roster import Presence, Target, TargetKind
from sardinequay_core.software_history import SoftwareHistory
from sardinequay_core.stream_records import StreamKey, StreamRecords

POOL = PoolName("models")
OLD, NEW = SoftwareVersion("v1"), SoftwareVersion("v2")
DATA_CENTRES = 3
ENGINES = 6
STEP_S = 0.1
LIFETIME = seconds(20)
STREAM_S = (1.0, 9.0)
"""Shortest and longest time from a stream's first event to its last, in seconds."""

VIEW_LAG_S = (0.2, 1.9)
"""Least and greatest age of the list of targets at a host that hears of it."""

RESTART_S = 1.0


@dataclass(frozen=True, slots=True)
class Trouble:
    """What happens besides the streams, in seconds from the start.

    Parameters
    ----------
    released_at : tuple of float
        When each engine is replaced by one of the new version.
    killed_at : mapping
        When hosts are killed, by time; all of them at a herd kill.
    cut : tuple of float or None
        From when until when the first data centre reaches neither peers nor the store.
    """

    name: str
    released_at: tuple[float, ...] = ()
    killed_at: Mapping[float, tuple[int, ...]] = field(default_factory=dict)
    cut: tuple[float, float] | None = None

    def versions_at(self, at_s: float) -> list[SoftwareVersion]:
        """Return the versions of the engines that are listed at some time."""
        replaced = sum(released <= at_s for released in self.released_at)
        return [NEW] * replaced + [OLD] * (ENGINES - replaced)

    def is_cut(self, at_s: float) -> bool:
        """Return whether the first data centre is cut off."""
        return self.cut is not None and self.cut[0] <= at_s < self.cut[1]


@dataclass
class SimulatedHost:
    """One host: what it knows, and when it started."""

    number: int
    history: SoftwareHistory
    records: StreamRecords = field(default_factory=StreamRecords)
    starts_at_s: float = 0.0
    view: list[SoftwareVersion] = field(default_factory=list)

    @property
    def host_id(self) -> HostId:
        """Return the host's id."""
        return HostId(f"h{self.number}")

    @property
    def data_centre(self) -> int:
        """Return the host's data centre."""
        return self.number % DATA_CENTRES

    def restart(self, at_s: float) -> None:
        """Lose all state."""
        self.starts_at_s = at_s + RESTART_S
        self.history = SoftwareHistory()
        self.records = StreamRecords()
        self.view = []


@dataclass
class Stream:
    """A stream, and the host that passes it on."""

    key: StreamKey
    version: SoftwareVersion
    host: int
    breaks_at_s: float
    ends_at_s: float


class StreamWorld:
    """The hosts and what they can see of one another at the current time."""

    def __init__(self, hosts: int, trouble: Trouble, random: Random) -> None:
        self.trouble = trouble
        self.random = random
        self.now_s = 0.0
        self.hosts = [SimulatedHost(n, SoftwareHistory(True)) for n in range(hosts)]

    @property
    def now(self) -> Instant:
        """Return the time on the clock of all hosts."""
        return seconds(1000 + self.now_s)

    def begin_step(self) -> None:
        """Kill hosts, and let the others see the list of targets."""
        for at_s, numbers in self.trouble.killed_at.items():
            if self.now_s - STEP_S < at_s <= self.now_s:
                for number in numbers:
                    self.hosts[number].restart(at_s)
        for host in self.hosts:
            if self.is_up(host):
                self.refresh_view(host)

    def refresh_view(self, host: SimulatedHost) -> None:
        """Let a host hear of the list as it was a little while ago."""
        if self.trouble.is_cut(self.now_s) and host.data_centre == 0:
            return
        seen_s = max(0.0, self.now_s - self.random.uniform(*VIEW_LAG_S))
        viewed_at = seconds(1000 + seen_s)
        if host.history.viewed_at is None or viewed_at > host.history.viewed_at:
            host.view = self.trouble.versions_at(seen_s)
            host.history.apply_view(listed(host.view), viewed_at)
        if not host.history.is_complete(self.now, LIFETIME):
            self.ask_history(host)

    def ask_history(self, host: SimulatedHost) -> None:
        """Let a host learn from another what it may have missed."""
        reached = self.reached_by(host)
        if reached:
            report = self.random.choice(reached).history.report(self.now)
            if report is not None:
                host.history.merge(report, self.now)

    def is_up(self, host: SimulatedHost) -> bool:
        """Return whether a host runs."""
        return host.starts_at_s <= self.now_s

    def reached_by(self, host: SimulatedHost) -> list[SimulatedHost]:
        """Return the other hosts that a host reaches."""
        is_cut = self.trouble.is_cut(self.now_s)
        return [
            other
            for other in self.hosts
            if other is not host
            and self.is_up(other)
            and not (is_cut and (other.data_centre == 0) != (host.data_centre == 0))
        ]

    def sole_version(self, host: SimulatedHost) -> SoftwareVersion | None:
        """Return the version of all streams, as far as a host is sure of it."""
        return host.history.sole_version(POOL, self.now, LIFETIME)

    def version_to_begin(self, host: SimulatedHost) -> SoftwareVersion | None:
        """Return the version of an engine that a host begins a stream at."""
        allowed = host.history.versions_to_begin_on(POOL, set(host.view), self.now)
        usable = [version for version in host.view if version in allowed]
        alive = self.trouble.versions_at(self.now_s)
        usable = [version for version in usable if version in alive]
        return self.random.choice(usable) if usable else None


def listed(versions: Iterable[SoftwareVersion]) -> list[PublishedTarget]:
    """Return a target of each version."""
    address = Address("127.0.0.1", 1)
    return [
        PublishedTarget(
            Target(
                TargetId(version),
                POOL,
                TargetKind.ENGINE,
                DataCentre("a"),
                address,
                Presence.LIVE,
                checks_fencing=False,
            ),
            slots=1,
            revision=1,
            software_version=version,
        )
        for version in set(versions)
    ]


def release(first_s: float, pause_s: float) -> tuple[float, ...]:
    """Return when engines are replaced one after the other."""
    return tuple(first_s + pause_s * number for number in range(ENGINES))


def troubles(hosts: int) -> tuple[Trouble, ...]:
    """Return what to replay for a number of hosts."""
    everyone = tuple(range(hosts))
    some = {12.0: everyone[: max(1, hosts // 6)], 18.0: everyone[-max(1, hosts // 6) :]}
    roll = {5.0 + 20.0 * n / hosts: (n,) for n in everyone}
    herd = {15.0: everyone}
    replaced = release(8.0, 3.0)
    return (
        Trouble("one version, roll", killed_at=roll),
        Trouble("one version, herd", killed_at=herd),
        Trouble("release", replaced),
        Trouble("release, kills", replaced, some),
        Trouble("release, roll", replaced, roll),
        Trouble("release, herd", replaced, herd),
        Trouble("release, cut", replaced, cut=(11.0, 19.0)),
        Trouble("all replaced at once", (12.0,) * ENGINES, some),
    )
