"""Messages between hosts that serve requests of any kind.

Durations are sent as seconds. The class name is the tag of the frame, see `wire`.
"""

from dataclasses import dataclass, field

from returns.result import Success

from sardinequay_core.adapter_demand import NO_DEMAND, Demand
from sardinequay_core.clock import check_seconds
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.load_view import EngineShare
from sardinequay_core.names import (
    AdapterRef,
    Address,
    HostId,
    TargetId,
    parse_address,
)
from sardinequay_core.order_lease import Ballot, Resign, Vote
from sardinequay_core.organisations import OrganisationName
from sardinequay_core.shared_outcomes import Outcomes
from sardinequay_core.usage_view import Usage

from .quarantine.messages import ContentNews
from .serving_ports import StoreItem
from .statements.limit_messages import LimitNews
from .statements.messages import LeavingNews, LoadNews
from .wire import register_messages

MAX_SHOWN_CHARS = 40


@dataclass(frozen=True, slots=True)
class Contact:
    """Identity, data centre and peer address of a host."""

    host_id: HostId
    data_centre: str
    address: str

    def __post_init__(self) -> None:
        """Raise ValueError for an address to which nothing can be sent."""
        if not isinstance(parse_address(self.address), Success):
            raise ValueError(f"not an address: {self.address[:MAX_SHOWN_CHARS]!r}")

    @property
    def peer_address(self) -> Address:
        """Return the parsed address."""
        return parse_address(self.address).unwrap()


@dataclass(frozen=True, slots=True)
class EngineHoldings:
    """Adapters of one engine, as reported by the host that orders it.

    Parameters
    ----------
    number : int
        Change counter; together with the fencing token it orders reports by age.
    coming : dict
        Adapters being loaded and the time until they are expected, in seconds.
    queued : int
        Adapters that wait for a free slot on the engine.
    turnover_s : float
        Time between two loads while the engine is full, in seconds.
    incarnation : int
        Start of the engine that this describes, in Unix milliseconds.
    idle : int or None
        Adapters that no request uses. It is sent again when it becomes zero or stops
        being zero, not with every change.
    queue : tuple of int or None
        Levels of the values of the most valuable waiting loads, see `room.load_queue`;
        None from hosts that do not tell.
    """

    target: TargetId
    token: int
    number: int
    adapters: tuple[AdapterRef, ...]
    coming: dict[str, float]
    recent: tuple[str, ...]
    queued: int = 0
    turnover_s: float = 0.0
    incarnation: int = 0
    idle: int | None = None
    queue: tuple[int, ...] | None = None


@dataclass(frozen=True, slots=True)
class AdapterUse:
    """Number of requests of one host that use an adapter on an engine."""

    target: TargetId
    adapter: AdapterRef
    count: int


@dataclass(frozen=True, slots=True)
class Member:
    """Live host of a data centre, as its hub reports it."""

    contact: Contact
    up_s: float
    is_leaving: bool
    is_cut_off: bool = False

    def __post_init__(self) -> None:
        """Raise ValueError for an uptime that is none."""
        check_seconds(self.up_s)


@dataclass(frozen=True, slots=True)
class Neighbour:
    """Hub of another data centre.

    Parameters
    ----------
    orders_in_s : float
        Time until it may order its data centre's engines, in seconds; infinite if that
        is unknown.
    age_s : float
        Time since its digest was received, in seconds.
    store_age_s : float
        Always infinite; hosts of other releases expect the field.
    """

    contact: Contact
    orders_in_s: float
    age_s: float
    store_age_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class HubNotes:
    """Report of a hub to the hosts of its data centre about other hosts.

    Parameters
    ----------
    members : tuple of Member or None
        Live hosts of the data centre without the hub; None if unchanged since the last
        report to the receiver.
    """

    members: tuple[Member, ...] | None
    neighbours: tuple[Neighbour, ...]


@dataclass(frozen=True, slots=True)
class DigestStamp:
    """When a digest was sent, and which one of the receiver came before it.

    Parameters
    ----------
    sent_s : float
        When it was sent, by the sender's monotonic clock, in seconds.
    echo_s : float or None
        `sent_s` of the last digest that the sender received from the receiver.
    held_s : float
        Time from that digest's receipt to the sending of this one, in seconds.
    """

    sent_s: float
    echo_s: float | None = None
    held_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Digest:
    """Heartbeat between hosts, exchanged a few times a second.

    Parameters
    ----------
    scope : DigestScope
        Hosts whose requests the shares, uses and outcomes cover.
    contacts : tuple of Contact
        Hosts that the sender knows; empty if the receiver has them already.
    holds_lease : bool
        Whether the sender holds the lease to order its data centre's engines.
    orders_in_s : float
        Time until the sender may order them, in seconds; 0 for now.
    up_s : float
        Time since the sender started, in seconds.
    store_revision : int
        Newest revision of the store that the sender knows of.
    news_revision : int
        Newest revision that the receiver should fetch; revisions after it only renewed
        entries.
    store_age_s : float
        Time since nothing that matters was newer than `news_revision` in the store, in
        seconds; infinite if unknown.
    outcomes : dict
        Outcomes of requests by target, for targets at which requests fail.
    demand : Demand
        Adapters that callers request, in a large fleet.
    hub : Contact or None
        Hub of the sender's data centre, in a large fleet.
    live_hosts : int
        Number of live hosts in the scope.
    notes : HubNotes or None
        Report of a hub to the hosts of its data centre.
    contents : tuple of ContentNews
        Quarantine state of contents that changed since the last digest to the receiver.
    has_missed : bool
        Whether the sender's last exchange with the receiver failed, so that the
        receiver's digest in it may be lost.
    usage : dict
        Usage by organisation since the sender started, where it changed recently.
    limits : tuple of LimitNews
        Rate limits of targets that changed since the last digest to the receiver.
    is_cut_off : bool
        Whether the sender appears to reach no target.
    rejection_limits : tuple of LimitNews
        Like `limits`, how many requests brittle targets can turn away in a second.
    leaving : tuple of LeavingNews
        Targets that have stated that they leave, since the last digest to the receiver.
    stamp : DigestStamp or None
        What the receiver dates the digest by.
    loads : tuple of LoadNews
        Unusual paces that targets stated a moment ago, by answers to the hosts of the
        scope, since the last digest to the receiver.
    """

    host: Contact
    is_leaving: bool
    contacts: tuple[Contact, ...]
    shares: dict[TargetId, EngineShare]
    uses: tuple[AdapterUse, ...]
    holdings: tuple[EngineHoldings, ...]
    holds_lease: bool
    orders_in_s: float
    up_s: float
    store_revision: int
    news_revision: int
    store_age_s: float
    outcomes: dict[TargetId, Outcomes] = field(default_factory=dict)
    scope: DigestScope = DigestScope.HOST
    demand: Demand = NO_DEMAND
    hub: Contact | None = None
    live_hosts: int = 1
    notes: HubNotes | None = None
    has_missed: bool = False
    contents: tuple[ContentNews, ...] = ()
    usage: dict[OrganisationName, Usage] = field(default_factory=dict)
    limits: tuple[LimitNews, ...] = ()
    is_cut_off: bool = False
    rejection_limits: tuple[LimitNews, ...] = ()
    leaving: tuple[LeavingNews, ...] = ()
    stamp: DigestStamp | None = None
    loads: tuple[LoadNews, ...] = ()

    def __post_init__(self) -> None:
        """Raise ValueError for an uptime that is none."""
        check_seconds(self.up_s)


@dataclass(frozen=True, slots=True)
class FetchItems:
    """Requests the items of the store that changed after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class ItemsReply:
    """Items of the store: all of them if `is_whole`, else the changed ones.

    Parameters
    ----------
    revision : int
        Revision up to which they are complete.
    news_revision, age_s
        What the sender states of the store, see `Digest`.
    """

    items: tuple[StoreItem, ...]
    revision: int
    is_whole: bool
    news_revision: int = 0
    age_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class WantAdapter:
    """Load request to the host that orders an engine.

    Parameters
    ----------
    worth : float
        Value of the answer for the waiting request.
    goal_s : float
        Time within which the adapter must be loaded for the answer to be on time, in
        seconds.
    wait_s : float
        Time after which the adapter is of no more use to the request, in seconds.
    waited_s : float
        Time that the request has waited already, in seconds.
    look_s : float
        Time after which a reply is due in any case, in seconds.
    """

    target: TargetId
    adapter: AdapterRef
    worth: float
    goal_s: float
    wait_s: float
    waited_s: float
    look_s: float


@dataclass(frozen=True, slots=True)
class WantReply:
    """Result of a load request: whether the adapter is ready, else the reason.

    Parameters
    ----------
    expected_s : float
        Expected remaining time until it is loaded, in seconds.
    is_queued : bool
        Whether it waited for a free slot until now and may continue to wait.
    """

    is_ready: bool
    detail: str
    expected_s: float = 0.0
    is_queued: bool = False


@dataclass(frozen=True, slots=True)
class AdapterMissing:
    """Reports that an engine rejected a request because it lacks the adapter.

    `incarnation` is the start of the engine that rejected it.
    """

    target: TargetId
    adapter: AdapterRef
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class UseChanged:
    """Reports to the host that orders an engine that an adapter became idle or used.

    It is sent at once, because that host cannot use a slot for another adapter before
    it knows that the slot is idle.
    """

    host_id: HostId
    use: AdapterUse


@dataclass(frozen=True, slots=True)
class Noted:
    """Acknowledges a message that has no other reply."""


register_messages(
    (
        AdapterMissing,
        Ballot,
        Digest,
        FetchItems,
        ItemsReply,
        Noted,
        Resign,
        UseChanged,
        Vote,
        WantAdapter,
        WantReply,
    )
)
