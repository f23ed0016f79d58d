"""Messages between entry hosts, beside those that the core defines.

Durations travel as seconds; every request names the type of its reply in `REPLIES`.
"""

from dataclasses import dataclass

from sardinequay_core.claims import (
    ClaimRequest,
    ClaimVote,
    Handover,
    HandoverRequest,
    Settle,
    Settled,
    ViewQuery,
    ViewReply,
)
from sardinequay_core.leases import AdapterUse, HolderId
from sardinequay_core.membership import Member
from sardinequay_core.names import AdapterRef, DataCentre, Digest, PoolName, TargetId
from sardinequay_core.roster import Roster

from .wire import register_messages


@dataclass(frozen=True, slots=True)
class InForce:
    """What a host has in force: the bundle and the state of the roster."""

    bundle_version: int
    bundle_digest: str
    roster_number: int


@dataclass(frozen=True, slots=True)
class Ping:
    """A heartbeat with news of members."""

    news: tuple[Member, ...]
    in_force: InForce


@dataclass(frozen=True, slots=True)
class Pong:
    """The answer to a heartbeat."""

    news: tuple[Member, ...]
    in_force: InForce


@dataclass(frozen=True, slots=True)
class Offer:
    """Tells what the sender has in force, without waiting for a heartbeat."""

    in_force: InForce
    address: str


@dataclass(frozen=True, slots=True)
class Taken:
    """A message was taken."""


@dataclass(frozen=True, slots=True)
class FetchRoot:
    """Asks for the signed root in force."""


@dataclass(frozen=True, slots=True)
class RootReply:
    """The signed root in force as published; empty if there is none."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FetchBlobs:
    """Asks for blobs of the bundle in force."""

    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class BlobsReply:
    """Those of the blobs that the host has."""

    blobs: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Asks for the roster."""


@dataclass(frozen=True, slots=True)
class RosterReply:
    """The latest roster that a host knows."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Keepership:
    """Which keeper is meant: of a pool's engines in a data centre."""

    pool: PoolName
    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """How busy an engine reported to be."""

    target: TargetId
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class GrantedUse:
    """One lease and how long it lasts from when it was granted, in seconds."""

    use: AdapterUse
    lasts_s: float


@dataclass(frozen=True, slots=True)
class Acquire:
    """A holder asks for leases on an adapter, wherever it is resident."""

    keepership: Keepership
    holder: HolderId
    address: str
    adapter: AdapterRef
    sequence: int


@dataclass(frozen=True, slots=True)
class Renew:
    """A holder renews its leases, each with the requests that run on it."""

    keepership: Keepership
    holder: HolderId
    address: str
    uses: tuple[tuple[AdapterUse, int], ...]
    sequence: int


@dataclass(frozen=True, slots=True)
class Granted:
    """Leases granted or renewed; what was to be renewed and is not is recalled."""

    uses: tuple[GrantedUse, ...]
    loads: tuple[EngineLoad, ...]


@dataclass(frozen=True, slots=True)
class GiveBack:
    """A holder returns a lease."""

    keepership: Keepership
    holder: HolderId
    use: AdapterUse
    sequence: int


@dataclass(frozen=True, slots=True)
class Want:
    """A request waits for a cold adapter, at most for `wait_s` from now."""

    keepership: Keepership
    holder: HolderId
    adapter: AdapterRef
    wait_s: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """The end of the wait: loaded, or when to come back."""

    loaded: bool
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotKeeper:
    """The asked host does not keep these engines."""


@dataclass(frozen=True, slots=True)
class Recall:
    """A keeper asks a holder to stop using an adapter on an engine."""

    use: AdapterUse


@dataclass(frozen=True, slots=True)
class Recalled:
    """How many requests still run under a recalled lease; returned if none."""

    in_flight: int
    sequence: int


Message = (
    Acquire
    | BlobsReply
    | ClaimRequest
    | ClaimVote
    | FetchBlobs
    | FetchRoot
    | FetchRoster
    | GiveBack
    | Granted
    | Handover
    | HandoverRequest
    | NotKeeper
    | Offer
    | Ping
    | Pong
    | Recall
    | Recalled
    | Renew
    | RootReply
    | RosterReply
    | Settle
    | Settled
    | Taken
    | ViewQuery
    | ViewReply
    | Want
    | Wanted
)

register_messages(Message.__args__)
