"""Records of streams: which version of a pool's software began each.

A record is kept by the host that passes the stream on and, where a pool may have
several versions, by a few others that are chosen by hashing, so that a host which a
caller comes back to can find it. Without a record the stream is not resumed there.
"""

from collections.abc import Collection, Iterable
from dataclasses import dataclass, replace
from hashlib import blake2b
from typing import NewType

from .clock import Instant
from .names import HostId, PoolName, SoftwareVersion
from .rendezvous import rank_members

StreamKey = NewType("StreamKey", str)
"""Digest that names a stream: callers cannot choose two that are equal."""

KEY_BYTES = 12
MAX_RECORDS = 16_384
"""Records at one host; beyond that the oldest are dropped."""

HOLDERS = 2
NEAR_HOLDERS = 1
"""Hosts that get each record: so many of all hosts, and of the own data centre."""

ASKED = 4
NEAR_ASKED = 2
"""Hosts that are asked: more than get a record, as some may have died or joined."""


@dataclass(frozen=True, slots=True)
class StreamRecord:
    """The version that began a stream.

    Parameters
    ----------
    version : SoftwareVersion or None
        None if the stream's name was used for streams of several versions.
    until : timedelta
        When no caller can come back for the stream any more.
    is_shared : bool
        Whether other hosts have been sent the record.
    """

    pool: PoolName
    version: SoftwareVersion | None
    until: Instant
    is_shared: bool


def stream_key(caller: str, pool: PoolName, request_id: str) -> StreamKey:
    """Return the name of a stream by the attempt that brought its first event.

    Parameters
    ----------
    caller : str
        Identity of the caller, so that nobody names another's stream.
    """
    digest = blake2b(digest_size=KEY_BYTES)
    for part in (caller.encode(), pool.encode(), request_id.encode()):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return StreamKey(digest.hexdigest())


class StreamRecords:
    """The records that one host keeps, in order of their time.

    Parameters
    ----------
    capacity : int
        Number of records beyond which the oldest are dropped.
    """

    def __init__(self, capacity: int = MAX_RECORDS) -> None:
        self.capacity = capacity
        self.records: dict[StreamKey, StreamRecord] = {}

    def add(self, key: StreamKey, record: StreamRecord) -> None:
        """Add a record; one of another version makes the stream's version unknown."""
        known = self.records.pop(key, None)
        if known is not None:
            version = record.version if known.version == record.version else None
            record = replace(
                record,
                version=version,
                until=max(known.until, record.until),
                is_shared=record.is_shared and known.is_shared,
            )
        self.records[key] = record
        while len(self.records) > self.capacity:
            del self.records[next(iter(self.records))]

    def version_of(self, key: StreamKey, now: Instant) -> SoftwareVersion | None:
        """Return the version that began a stream, if that is known."""
        record = self.records.get(key)
        return record.version if record is not None and record.until > now else None

    def share(
        self, pools: Collection[PoolName], now: Instant
    ) -> list[tuple[StreamKey, StreamRecord]]:
        """Return the records of some pools that no other host has, as shared now."""
        unshared = [
            (key, replace(record, is_shared=True))
            for key, record in self.records.items()
            if not record.is_shared and record.pool in pools and record.until > now
        ]
        self.records.update(unshared)
        return unshared

    def expire(self, now: Instant) -> None:
        """Drop the records of streams for which no caller can come back."""
        expired = [key for key, r in self.records.items() if r.until <= now]
        for key in expired:
            del self.records[key]


def record_holders(
    key: StreamKey, hosts: Iterable[HostId], near: Iterable[HostId]
) -> list[HostId]:
    """Return the hosts that get a stream's record.

    Parameters
    ----------
    hosts : iterable of HostId
        The other hosts that all hosts know.
    near : iterable of HostId
        The other hosts of the own data centre.
    """
    return ranked_hosts(key, hosts, HOLDERS, near, NEAR_HOLDERS)


def hosts_to_ask(
    key: StreamKey, hosts: Iterable[HostId], near: Iterable[HostId]
) -> list[HostId]:
    """Return the hosts to ask for a stream's record."""
    return ranked_hosts(key, hosts, ASKED, near, NEAR_ASKED)


def ranked_hosts(
    key: StreamKey,
    hosts: Iterable[HostId],
    count: int,
    near: Iterable[HostId],
    near_count: int,
) -> list[HostId]:
    """Return the first hosts of each kind for a stream, each once."""
    ranked = [
        *rank_members(key, hosts)[:count],
        *rank_members(key, near)[:near_count],
    ]
    return [HostId(host) for host in dict.fromkeys(ranked)]
