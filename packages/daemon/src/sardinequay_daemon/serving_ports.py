"""What the serving host needs from a deployment, in this project's own types.

A deployment's adapter decodes its wire into these types once. It translates only: every
decision, retry and state is on this side.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy
from returns.result import Result

from sardinequay_core.catalogue import Change
from sardinequay_core.engine_orders import EngineOrder, EngineStatus
from sardinequay_core.names import Address, DataCentre, HostId
from sardinequay_core.organisations import KeyDigest
from sardinequay_core.outcome import Refusal
from sardinequay_core.quota_ledger import QuotaPolicy
from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_core.roster import Target

from .errors import PlatformError
from .target_probe import ProbeResult

Headers = CIMultiDictProxy[str]


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a caller's request says of itself.

    Parameters
    ----------
    model : str
        The base model; empty for a request to a plain service.
    adapter : str
        ``model/adapter``; empty where only the base model is asked for.
    prompt_tokens : int
        Tokens to be read before the first event.
    wait : timedelta or None
        How long the caller waits, counted from the request's arrival.
    caller : str
        By what the caller is known; empty if the request does not say. A secret: it
        enters digests only.
    key : KeyDigest or None
        The key that it came with, if any.
    tokens : int or None
        Tokens to be read and at most made for it; None if it does not say.
    """

    request_id: str
    model: str = ""
    adapter: str = ""
    prompt_tokens: int = 0
    wait: timedelta | None = None
    last_event: str = ""
    caller: str = ""
    key: KeyDigest | None = None
    tokens: int | None = None


@dataclass(frozen=True, slots=True)
class SendTerms:
    """What goes with one attempt.

    Parameters
    ----------
    left : timedelta
        Time that is left for the answer.
    urgency : int
        Rank among requests on an engine, 0 first to 9.
    version : str
        The adapter's version that the engine must have; empty for any.
    resume_after : str
        The id of the last event passed on, for a stream that is taken up again.
    organisation : str
        The organisation that asks; empty if that is not known.
    """

    target: Target
    left: timedelta
    urgency: int | None = None
    version: str = ""
    resume_after: str = ""
    organisation: str = ""


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of a target's answer says.

    Parameters
    ----------
    request_id : str
        Whose answer it is; empty if it does not say.
    instance : str
        The target that answered; empty if it does not say.
    not_run : bool
        Whether the target states that it has not run the request.
    is_misdirected : bool
        Whether it states that the request was meant for another target, or for a model
        or adapter that it does not hold.
    """

    request_id: str
    instance: str
    not_run: bool
    is_misdirected: bool


class HttpDialect(Protocol):
    """How requests and answers are spelled."""

    def parse_terms(self, headers: Headers) -> Result[RequestTerms, Refusal]:
        """Read what a request says of itself."""

    def target_headers(
        self, headers: Headers, request: RequestTerms, send: SendTerms
    ) -> CIMultiDict[str]:
        """Return the headers to send to a target."""

    def read_facts(self, status: int, headers: Headers) -> AnswerFacts:
        """Read the head of an answer."""

    def caller_headers(self, headers: Headers) -> CIMultiDict[str]:
        """Return the headers of a target's answer that the caller gets."""

    def refusal_headers(self, request_id: str, refusal: Refusal) -> dict[str, str]:
        """Return the headers of a refusal."""


@dataclass(frozen=True, slots=True)
class StoreItem:
    """One item of the metadata store, as it is also passed between hosts.

    Parameters
    ----------
    value : bytes or None
        None once the item is removed.
    """

    key: str
    revision: int
    value: bytes | None


@dataclass(frozen=True, slots=True)
class StoreRead:
    """What a read of the store gave, and the revision up to which it is complete."""

    items: tuple[StoreItem, ...]
    revision: int


class MetadataStore(Protocol):
    """The store of the deployment, read-only."""

    async def list_all(self) -> Result[StoreRead, PlatformError]:
        """Read everything."""

    async def watch(
        self, after: int, wait: timedelta
    ) -> Result[StoreRead, PlatformError]:
        """Wait for what changed after a revision."""

    def decode(self, item: StoreItem) -> Change | None:
        """Return the change that an item means; None if it is not for us.

        Raises
        ------
        PlatformError
            If the item is not what it must be.
        """


@dataclass(frozen=True, slots=True)
class OrderTerms:
    """Who orders, and under which fencing token.

    Parameters
    ----------
    expected_orders : int or None
        Orders that the engine must have accepted so far, or it refuses.
    """

    holder: HostId
    token: int
    expected_orders: int | None


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The order is carried out, or already holds."""

    holds_already: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """Nothing was done."""

    detail: str
    is_stale_token: bool = False


class EngineOrders(Protocol):
    """Reports of engines, and orders to them."""

    async def report(self, target: Target) -> Result[EngineStatus, PlatformError]:
        """Ask an engine for its report."""

    async def order(
        self, target: Target, order: EngineOrder, terms: OrderTerms
    ) -> Result[OrderAccepted | OrderRefused, PlatformError]:
        """Give an engine an order; a failure leaves open whether it was accepted."""

    async def probe_status(
        self, target: Target, incarnation: int, health_path: str
    ) -> ProbeResult:
        """Return what a target shows of the start that had a request."""


@dataclass(frozen=True, slots=True)
class ServingBounds:
    """Figures of the deployment that decisions keep to.

    Parameters
    ----------
    order_quiet : timedelta
        Orders of two hosts to one engine must lie further apart.
    grace : timedelta
        From a stop signal to the kill.
    entry_return : timedelta
        After the store's return, entries of targets that live are back within this.
    repeat_ratio, repeat_slack, repeat_window
        The bound on further arrivals at a pool, see `RepeatPolicy`.
    quotas : QuotaPolicy
        What organisations' quotas may be exceeded by.
    """

    order_quiet: timedelta = timedelta(seconds=3.3)
    grace: timedelta = timedelta(seconds=8)
    entry_return: timedelta = timedelta(seconds=2.2)
    repeat_ratio: float = 0.2
    repeat_slack: float = 50.0
    repeat_window: timedelta = timedelta(seconds=10)
    quotas: QuotaPolicy = field(default_factory=QuotaPolicy)

    @property
    def repeats(self) -> RepeatPolicy:
        """Return the bound on further attempts, over all hosts."""
        return RepeatPolicy(self.repeat_ratio, self.repeat_slack, self.repeat_window)


@dataclass(frozen=True, slots=True)
class HostProfile:
    """Who this host is, and where it listens.

    Parameters
    ----------
    seeds : tuple of Address
        Peer addresses of a few hosts, to find the others by; they may be down.
    is_first_start : bool
        Whether the whole system starts for the first time.
    link_mbps : float
        What its link carries, in megabits a second; 0 if that is not known.
    """

    host_id: HostId
    data_centre: DataCentre
    callers: Address
    readiness: Address
    readiness_path: str
    peers: Address
    metrics: Address
    seeds: tuple[Address, ...]
    is_first_start: bool
    memory_mb: int
    bounds: ServingBounds = field(default_factory=ServingBounds)
    link_mbps: float = 0.0
