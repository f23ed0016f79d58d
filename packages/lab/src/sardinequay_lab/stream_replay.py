"""Ways to know the software version of a stream that a caller resumes, compared.

Streams break off at random, or with their host, and their callers come back at another
one. Each way is replayed on the same draws, without sockets, see `stream_world`.
"""

import argparse
import sys
from collections import deque
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import Enum
from random import Random

from sardinequay_core.names import HostId, SoftwareVersion
from sardinequay_core.stream_records import (
    StreamKey,
    StreamRecord,
    hosts_to_ask,
    record_holders,
    stream_key,
)

from .stream_world import (
    LIFETIME,
    POOL,
    STEP_S,
    STREAM_S,
    SimulatedHost,
    Stream,
    StreamWorld,
    Trouble,
    troubles,
)

SECONDS = 40.0
BREAKING_SHARE = 0.3
COME_BACK_S = 0.2
DIGEST_DELAY_S = 0.5
RECORD_BYTES = 70
"""Size of a record in a message of its own."""

IN_TOUCH_S = 3.0
STREAMS_PER_HOST_S = 2.0


class Way(Enum):
    """How a host knows the version of a stream that another host began."""

    ANY = "as it was"
    LISTED = "sole listed"
    CLOSED = "sole lately"
    ASK = "ask all"
    DIGESTS = "digests"
    RECORDS = "records"


@dataclass
class StreamFigures:
    """What a replay showed.

    Parameters
    ----------
    mixed : int
        Streams that went on with another version than theirs.
    resumed, continued : int
        Streams resumed at hosts that ran for 3 s, whose version still serves, and
        those of them that went on.
    fresh_resumed, fresh_continued : int
        The same at hosts that have just started.
    bytes_sent : int
        Bytes of records that all hosts sent.
    """

    mixed: int = 0
    resumed: int = 0
    continued: int = 0
    fresh_resumed: int = 0
    fresh_continued: int = 0
    bytes_sent: int = 0

    @property
    def share(self) -> float:
        """Return the share of streams that went on; 1 if none was resumed."""
        return self.continued / self.resumed if self.resumed else 1.0


@dataclass
class StreamReplay:
    """One replay of one way."""

    world: StreamWorld
    way: Way
    random: Random
    guesses: Random
    figures: StreamFigures = field(default_factory=StreamFigures)
    streams: list[Stream] = field(default_factory=list)
    late_records: deque[tuple[float, Stream, StreamRecord]] = field(
        default_factory=deque
    )
    began: int = 0

    def run(self) -> StreamFigures:
        """Replay the whole time."""
        world = self.world
        while world.now_s < SECONDS:
            world.begin_step()
            self.deliver_digests()
            self.share_records()
            self.begin_streams()
            self.resume_broken()
            world.now_s += STEP_S
        return self.figures

    def begin_streams(self) -> None:
        """Begin streams at random hosts."""
        for host in self.world.hosts:
            if self.random.random() < STREAMS_PER_HOST_S * STEP_S:
                duration_s = self.random.uniform(*STREAM_S)
                is_breaking = self.random.random() < BREAKING_SHARE
                breaks_after_s = duration_s * self.random.random()
                if self.world.is_up(host):
                    breaks_s = breaks_after_s if is_breaking else duration_s
                    self.begin(host, breaks_s, duration_s)

    def begin(self, host: SimulatedHost, breaks_s: float, duration_s: float) -> None:
        """Begin one stream."""
        version = self.world.version_to_begin(host)
        if version is None:
            return
        self.began += 1
        key = stream_key("caller", POOL, f"r{self.began}")
        now_s = self.world.now_s
        stream = Stream(key, version, host.number, now_s + breaks_s, now_s + duration_s)
        self.streams.append(stream)
        self.record(host, stream)

    def record(self, host: SimulatedHost, stream: Stream) -> None:
        """Let a stream's host keep, and tell, the version."""
        is_sure = self.world.sole_version(host) == stream.version
        until = self.world.now + LIFETIME
        record = StreamRecord(POOL, stream.version, until, is_shared=not is_sure)
        host.records.add(stream.key, record)
        if is_sure:
            return
        if self.way is Way.DIGESTS:
            due_s = self.world.now_s + DIGEST_DELAY_S
            self.late_records.append((due_s, stream, record))
        elif self.way is Way.RECORDS:
            self.send_to_holders(host, stream.key, record)

    def send_to_holders(
        self, host: SimulatedHost, key: StreamKey, record: StreamRecord
    ) -> None:
        """Send a record to the hosts that are chosen by hashing."""
        reached = {other.host_id: other for other in self.world.reached_by(host)}
        near = [i for i, o in reached.items() if o.data_centre == host.data_centre]
        for holder in record_holders(key, reached, near):
            reached[holder].records.add(key, record)
            self.figures.bytes_sent += RECORD_BYTES

    def deliver_digests(self) -> None:
        """Let all hosts hear of records that were sent with digests."""
        while self.late_records and self.late_records[0][0] <= self.world.now_s:
            _, stream, record = self.late_records.popleft()
            sender = self.world.hosts[stream.host]
            for other in self.world.reached_by(sender):
                other.records.add(stream.key, record)
                self.figures.bytes_sent += RECORD_BYTES

    def share_records(self) -> None:
        """Send records of streams that began while there was one version."""
        if self.way is not Way.RECORDS:
            return
        for host in self.world.hosts:
            if not self.world.is_up(host) or self.world.sole_version(host) is not None:
                continue
            for key, record in host.records.share({POOL}, self.world.now):
                self.send_to_holders(host, key, record)

    def resume_broken(self) -> None:
        """Let the callers of streams that broke off come back at another host."""
        world, going = self.world, []
        for stream in self.streams:
            host = world.hosts[stream.host]
            if not world.is_up(host):
                stream.breaks_at_s = min(stream.breaks_at_s, world.now_s)
            is_broken = stream.breaks_at_s + COME_BACK_S <= world.now_s
            is_whole = stream.breaks_at_s >= stream.ends_at_s
            if not is_broken or not (is_whole or self.resume(stream)):
                going.append(stream)
        self.streams = going

    def resume(self, stream: Stream) -> bool:
        """Let a caller come back with one stream; return whether any host is there."""
        world = self.world
        running = [h for h in world.hosts if world.is_up(h) and h.view]
        others = [h for h in running if h.number != stream.host]
        if not others:
            return False
        if stream.version not in world.trouble.versions_at(world.now_s):
            return True
        host = self.random.choice(others)
        version = self.find_version(host, stream)
        is_fresh = world.now_s - host.starts_at_s < IN_TOUCH_S and host.starts_at_s > 0
        self.figures.mixed += version not in (None, stream.version)
        if is_fresh:
            self.figures.fresh_resumed += 1
            self.figures.fresh_continued += version is not None
        else:
            self.figures.resumed += 1
            self.figures.continued += version is not None
        return True

    def find_version(
        self, host: SimulatedHost, stream: Stream
    ) -> SoftwareVersion | None:
        """Return the version that a host goes on with; None if it refuses."""
        if self.way is Way.ANY:
            return self.guesses.choice(host.view)
        if self.way is Way.LISTED:
            return host.view[0] if len(set(host.view)) == 1 else None
        found = self.known_at(host, stream)
        if found is not None or self.way in (Way.CLOSED, Way.DIGESTS):
            return found
        reached: dict[HostId, SimulatedHost] = {
            other.host_id: other for other in self.world.reached_by(host)
        }
        near = [i for i, o in reached.items() if o.data_centre == host.data_centre]
        asked = (
            hosts_to_ask(stream.key, reached, near)
            if self.way is Way.RECORDS
            else list(reached)
        )
        answers = (self.known_at(reached[other], stream) for other in asked)
        return next((answer for answer in answers if answer is not None), None)

    def known_at(self, host: SimulatedHost, stream: Stream) -> SoftwareVersion | None:
        """Return the version of a stream by what one host knows."""
        recorded = host.records.version_of(stream.key, self.world.now)
        return recorded or self.world.sole_version(host)


def replay(hosts: int, trouble: Trouble, way: Way, seed: int) -> StreamFigures:
    """Replay one trouble with one way; each seed has the same streams for all ways."""
    world = StreamWorld(hosts, trouble, Random(seed))
    return StreamReplay(world, way, Random(seed + 1), Random(seed + 2)).run()


def main(arguments: Sequence[str] | None = None) -> int:
    """Print the figures of all ways."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--hosts", type=int, nargs="+", default=[6, 30, 87, 300])
    parser.add_argument("--seed", type=int, default=1)
    parsed = parser.parse_args(arguments)
    print("hosts, trouble, way: mixed, went on, at fresh hosts, bytes/s a host")
    for hosts in parsed.hosts:
        for trouble in troubles(hosts):
            for way in Way:
                found = replay(hosts, trouble, way, parsed.seed)
                print(
                    f"{hosts}, {trouble.name}, {way.value}: {found.mixed},"
                    f" {found.continued}/{found.resumed},"
                    f" {found.fresh_continued}/{found.fresh_resumed},"
                    f" {found.bytes_sent / SECONDS / hosts:.0f}",
                    flush=True,
                )
    return 0


if __name__ == "__main__":
    sys.exit(main())
