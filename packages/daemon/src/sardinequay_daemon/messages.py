"""Messages between entry hosts, besides those that the core defines.

Durations are sent as seconds. The class name is the tag of the frame, see `wire`.
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
    """Versions that a host has in force: of the bundle and of the roster."""

    bundle_version: int
    bundle_digest: str
    roster_number: int


@dataclass(frozen=True, slots=True)
class Ping:
    """Heartbeat with membership updates."""

    news: tuple[Member, ...]
    in_force: InForce


@dataclass(frozen=True, slots=True)
class Pong:
    """Reply to a heartbeat, with membership updates of the receiver."""

    news: tuple[Member, ...]
    in_force: InForce


@dataclass(frozen=True, slots=True)
class Offer:
    """Announces a new bundle or roster version before the next heartbeat."""

    in_force: InForce
    address: str


@dataclass(frozen=True, slots=True)
class Taken:
    """Acknowledges a message that has no other reply."""


@dataclass(frozen=True, slots=True)
class FetchRoot:
    """Requests the signed root in force."""


@dataclass(frozen=True, slots=True)
class RootReply:
    """Signed root in force, as published; empty if there is none."""

    data: bytes


@dataclass(frozen=True, slots=True)
class FetchBlobs:
    """Requests blobs of the bundle in force."""

    digests: tuple[Digest, ...]


@dataclass(frozen=True, slots=True)
class BlobsReply:
    """Requested blobs that the host has."""

    blobs: tuple[bytes, ...]


@dataclass(frozen=True, slots=True)
class FetchRoster:
    """Requests the roster."""


@dataclass(frozen=True, slots=True)
class RosterReply:
    """Latest roster that a host knows."""

    roster: Roster


@dataclass(frozen=True, slots=True)
class Keepership:
    """Identifies a keeper by the engines it manages: a pool in a data centre."""

    pool: PoolName
    data_centre: DataCentre


@dataclass(frozen=True, slots=True)
class EngineLoad:
    """Load that an engine reported: numbers of running and waiting requests."""

    target: TargetId
    running: int
    waiting: int


@dataclass(frozen=True, slots=True)
class GrantedUse:
    """Use lease and its duration from the grant on, in seconds."""

    use: AdapterUse
    lasts_s: float


@dataclass(frozen=True, slots=True)
class Acquire:
    """Requests use leases on an adapter on the engines where it is resident."""

    keepership: Keepership
    holder: HolderId
    address: str
    adapter: AdapterRef
    sequence: int


@dataclass(frozen=True, slots=True)
class Renew:
    """Requests renewal of use leases, each with its number of running requests."""

    keepership: Keepership
    holder: HolderId
    address: str
    uses: tuple[tuple[AdapterUse, int], ...]
    sequence: int


@dataclass(frozen=True, slots=True)
class Granted:
    """Leases granted or renewed.

    A lease that was to be renewed and is missing here is recalled.
    """

    uses: tuple[GrantedUse, ...]
    loads: tuple[EngineLoad, ...]


@dataclass(frozen=True, slots=True)
class GiveBack:
    """Returns a use lease to the keeper."""

    keepership: Keepership
    holder: HolderId
    use: AdapterUse
    sequence: int


@dataclass(frozen=True, slots=True)
class Want:
    """Load request: a request waits up to `wait_s` for an adapter."""

    keepership: Keepership
    holder: HolderId
    adapter: AdapterRef
    wait_s: float


@dataclass(frozen=True, slots=True)
class Wanted:
    """Result of a load request: loaded, or the time after which to retry."""

    loaded: bool
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class NotKeeper:
    """Reply of a host that is not the keeper of the named engines."""


@dataclass(frozen=True, slots=True)
class Recall:
    """Keeper's request that a holder stop using an adapter on an engine."""

    use: AdapterUse


@dataclass(frozen=True, slots=True)
class Recalled:
    """Number of requests still running under a recalled lease; returned if zero."""

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
