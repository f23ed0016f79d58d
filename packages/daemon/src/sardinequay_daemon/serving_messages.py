"""Messages between hosts that serve requests of any shape.

Durations travel as seconds.
"""

from dataclasses import dataclass, field

from sardinequay_core.adapter_demand import NO_DEMAND, Demand
from sardinequay_core.fleet_topology import DigestScope
from sardinequay_core.load_view import EngineShare
from sardinequay_core.names import AdapterRef, HostId, TargetId
from sardinequay_core.order_lease import Ballot, Resign, Vote
from sardinequay_core.organisations import OrganisationName
from sardinequay_core.shared_outcomes import Outcomes
from sardinequay_core.usage_view import Usage

from .content_messages import ContentNews
from .serving_ports import StoreItem
from .wire import register_messages


@dataclass(frozen=True, slots=True)
class Contact:
    """How a host is reached."""

    host_id: HostId
    data_centre: str
    address: str


@dataclass(frozen=True, slots=True)
class EngineHoldings:
    """What one engine holds, told by the host that orders it.

    Parameters
    ----------
    number : int
        Counts changes; with the token it tells later news from earlier.
    coming : dict
        Adapters on their way and when they are expected, in seconds.
    queued : int
        Adapters that wait for a place there.
    turnover_s : float
        Time between two loads while it is full, in seconds.
    incarnation : int
        The engine's start of which this is told, in Unix milliseconds.
    idle : int or None
        Adapters that no request uses, told anew when there is one and was none, or the
        other way round.
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


@dataclass(frozen=True, slots=True)
class AdapterUse:
    """Requests of one host that use an adapter on an engine."""

    target: TargetId
    adapter: AdapterRef
    count: int


@dataclass(frozen=True, slots=True)
class Member:
    """A live host of a data centre, as its hub knows it."""

    contact: Contact
    up_s: float
    is_leaving: bool


@dataclass(frozen=True, slots=True)
class Neighbour:
    """The hub of another data centre.

    Parameters
    ----------
    orders_in_s : float
        In how long it may order its data centre's engines, in seconds; infinite if
        that is not known.
    store_age_s : float
        How long before that it had heard the store, in seconds.
    age_s : float
        How long ago it was heard, in seconds.
    """

    contact: Contact
    orders_in_s: float
    store_age_s: float
    age_s: float


@dataclass(frozen=True, slots=True)
class HubNotes:
    """What a hub tells the hosts of its data centre of other hosts.

    Parameters
    ----------
    members : tuple of Member or None
        The live hosts of the data centre but the hub; None for the same as last time.
    """

    members: tuple[Member, ...] | None
    neighbours: tuple[Neighbour, ...]


@dataclass(frozen=True, slots=True)
class Digest:
    """What a host tells each of its peers a few times a second.

    Parameters
    ----------
    scope : Scope
        Whose requests the shares, uses and outcomes are.
    contacts : tuple of Contact
        Hosts that the sender knows; empty if the peer has them already.
    holds_lease : bool
        Whether the sender holds the lease to order its data centre's engines.
    orders_in_s : float
        In how long it may order them, in seconds; 0 for now.
    up_s : float
        How long ago the sender started.
    store_revision : int
        The newest revision of the store that the sender knows of.
    news_revision : int
        Up to where it knows what the receiver should fetch: other revisions since
        brought nothing but renewed entries.
    store_age_s : float
        How long ago it last heard the store itself; infinite if never.
    outcomes : dict
        How requests ended at targets at which requests fail.
    demand : Demand
        What callers ask for, in a large fleet.
    hub : Contact or None
        The hub of the sender's data centre, in a large fleet.
    live_hosts : int
        Hosts of the scope that are alive.
    notes : HubNotes or None
        From a hub to the hosts of its data centre.
    contents : tuple of ContentNews
        Contents of requests of which the peer was not told yet what is known.
    has_missed : bool
        Whether the sender's last exchange with the receiver failed, so that what was
        told in it may be lost.
    usage : dict
        What organisations used since the sender started, where that changed lately.
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


@dataclass(frozen=True, slots=True)
class FetchItems:
    """Asks for the store's items that changed after a revision."""

    after: int


@dataclass(frozen=True, slots=True)
class ItemsReply:
    """Items of the store, all of them if `is_whole`."""

    items: tuple[StoreItem, ...]
    revision: int
    is_whole: bool


@dataclass(frozen=True, slots=True)
class WantAdapter:
    """Asks the host that orders an engine to have an adapter loaded there.

    Parameters
    ----------
    worth : float
        What the answer is worth to the request that waits.
    goal_s : float
        With the adapter there within this time, its answer is on time, in seconds.
    wait_s : float
        How long waiting for it helps, in seconds.
    waited_s : float
        How long the request has waited already, in seconds.
    look_s : float
        An answer is wanted after so long in any case, in seconds.
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
    """Whether the adapter is ready; else why not.

    Parameters
    ----------
    expected_s : float
        How long it would still take, in seconds.
    is_queued : bool
        Whether it was waiting for a place until now and may go on to.
    """

    is_ready: bool
    detail: str
    expected_s: float = 0.0
    is_queued: bool = False


@dataclass(frozen=True, slots=True)
class AdapterMissing:
    """Tells that an engine said it does not hold an adapter, and in which start."""

    target: TargetId
    adapter: AdapterRef
    incarnation: int = 0


@dataclass(frozen=True, slots=True)
class UseChanged:
    """Tells the host that orders an engine that an adapter fell idle or is used.

    Sent at once, since a place that is idle unknown is a place lost.
    """

    host_id: HostId
    use: AdapterUse


@dataclass(frozen=True, slots=True)
class Noted:
    """The answer to a message that asks for nothing."""


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
