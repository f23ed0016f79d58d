"""Interfaces that a deployment implements for the serving host, and their types.

A deployment's integration only translates between its wire formats and these types. All
decisions, retries and state are on the side of the serving host.
"""

from dataclasses import dataclass, field
from datetime import timedelta
from typing import Protocol

from multidict import CIMultiDict, CIMultiDictProxy
from reactivex.subject import Subject
from returns.result import Result, Success

from sardinequay_core.catalogue import Change
from sardinequay_core.engine_orders import EngineOrder, EngineStatus
from sardinequay_core.load_samples import StatedLoad
from sardinequay_core.names import Address, DataCentre, HostId, TargetId
from sardinequay_core.organisations import KeyDigest
from sardinequay_core.outcome import Refusal
from sardinequay_core.quota_ledger import QuotaPolicy
from sardinequay_core.repeat_budget import RepeatPolicy
from sardinequay_core.roster import Target

from .errors import PlatformError
from .header_values import InvalidValue
from .target_probe import ProbeResult

Headers = CIMultiDictProxy[str]


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """The terms of a caller's request, by its headers.

    Parameters
    ----------
    model : str
        The base model; empty for a request to a plain service.
    adapter : str
        ``model/adapter``; empty for a request to the base model itself.
    prompt_tokens : int
        Tokens of the prompt, which an engine processes before the first event.
    wait : timedelta or None
        How long the caller waits, counted from the request's arrival.
    caller : str
        What identifies the caller; empty if the request does not state it. It is secret
        and is used in digests only.
    key : KeyDigest or None
        Digest of the key that the request carries, if any.
    tokens : int or None
        Prompt tokens and the maximum of generated tokens; None if not stated.
    resumed_request : str
        Id of the attempt that brought the first event of the stream which this request
        resumes; empty if not stated.
    prompt_parts : tuple of str
        Ids of the parts of the prompt, in order; the last one is the request's own.
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
    resumed_request: str = ""
    prompt_parts: tuple[str, ...] = ()

    @property
    def needed_tokens(self) -> int:
        """Return how many tokens an engine's memory may need for the request."""
        return self.tokens or 0

    @property
    def resumes_stream(self) -> bool:
        """Return whether the caller has events of the stream already."""
        return bool(self.resumed_request) or self.last_event not in ("", "0")

    @property
    def stream_request(self) -> str:
        """Return the id of the attempt by which the stream is known."""
        return self.resumed_request or self.request_id


@dataclass(frozen=True, slots=True)
class SendTerms:
    """The terms of one attempt, for the headers that a target gets.

    Parameters
    ----------
    left : timedelta
        Time left for the answer.
    urgency : int
        Priority among the requests on an engine, from 0 (first) to 9.
    version : str
        The adapter's version that the engine must have; empty for any.
    resume_after : str
        The id of the last event passed on, for a stream that is resumed.
    organisation : str
        The organisation that sent the request; empty if unknown.
    """

    target: Target
    left: timedelta
    urgency: int | None = None
    version: str = ""
    resume_after: str = ""
    organisation: str = ""


@dataclass(frozen=True, slots=True)
class AnswerFacts:
    """What the head of a target's answer states.

    Parameters
    ----------
    request_id : str
        Id of the request that it answers; empty if not stated.
    instance : str
        The target that answered; empty if not stated.
    not_run : bool
        Whether the target states that it has not run the request.
    is_misdirected : bool
        Whether it states that the request was meant for another target, or for a model
        or adapter that it does not hold.
    rate_limit : Result
        Requests a second that the target takes from all hosts together; None if it
        states no limit.
    rejection_limit : Result
        Requests that it can turn away in a second without ending; None unless it is
        brittle.
    load : StatedLoad or None
        The target's load; None if not stated.
    invalid_load : InvalidValue or None
        A statement of its load that could not be parsed.
    is_leaving : Result
        Whether the target states that it leaves.
    backoff : Result
        How long the target wants no further request from this host; None if it does not
        say so.
    """

    request_id: str
    instance: str
    not_run: bool
    is_misdirected: bool
    rate_limit: Result[float | None, InvalidValue]
    rejection_limit: Result[float | None, InvalidValue] = Success(None)  # noqa: RUF009
    load: StatedLoad | None = None
    invalid_load: InvalidValue | None = None
    is_leaving: Result[bool, InvalidValue] = Success(False)  # noqa: RUF009
    backoff: Result[timedelta | None, InvalidValue] = Success(None)  # noqa: RUF009


class HttpDialect(Protocol):
    """The deployment's header conventions for requests and answers."""

    def parse_terms(self, headers: Headers) -> Result[RequestTerms, Refusal]:
        """Parse the terms of a caller's request."""

    def target_headers(
        self, headers: Headers, request: RequestTerms, send: SendTerms
    ) -> CIMultiDict[str]:
        """Return the headers to send to a target."""

    def read_facts(self, status: int, headers: Headers) -> AnswerFacts:
        """Parse the head of a target's answer."""

    def caller_headers(self, headers: Headers) -> CIMultiDict[str]:
        """Return the headers of a target's answer to pass on to the caller."""

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
    """The result of a read of the store, complete up to a revision."""

    items: tuple[StoreItem, ...]
    revision: int


class MetadataStore(Protocol):
    """The deployment's metadata store, read-only.

    A call fails if nothing arrives for the time `answer_wait`, in a watch beyond the
    wait that it requests.
    """

    async def list_all(
        self, answer_wait: timedelta
    ) -> Result[StoreRead, PlatformError]:
        """Read all items."""

    async def watch(
        self, after: int, wait: timedelta, answer_wait: timedelta
    ) -> Result[StoreRead, PlatformError]:
        """Wait for items that changed after a revision, and return them."""

    def decode(self, item: StoreItem) -> Change | None:
        """Return the catalogue change that an item describes; None if it is irrelevant.

        Raises
        ------
        PlatformError
            If the item is malformed.
        """

    def withdraw(self, key: str) -> Change | None:
        """Return the change for an item that cannot be used, for whatever reason.

        It takes back what an earlier state of the item gave; None if that still holds.
        """


@dataclass(frozen=True, slots=True)
class OrderTerms:
    """The holder that sends an order, its fencing token and the order count expected.

    Parameters
    ----------
    expected_orders : int or None
        Number of orders that the engine must have accepted so far; with another
        number it refuses. None to skip this check.
    """

    holder: HostId
    token: int
    expected_orders: int | None


@dataclass(frozen=True, slots=True)
class OrderAccepted:
    """The engine carries out the order, or is already in the state that it requests."""

    holds_already: bool


@dataclass(frozen=True, slots=True)
class OrderRefused:
    """The engine refused the order and changed nothing."""

    detail: str
    is_stale_token: bool = False


@dataclass(frozen=True, slots=True)
class ControlAnswer:
    """The head of a target's answer to a status query or an order of this host."""

    target: TargetId
    status: int
    facts: AnswerFacts


class EngineOrders(Protocol):
    """Status reports of engines and orders to them.

    Attributes
    ----------
    answers : Subject of ControlAnswer
        The heads of all answers.
    """

    answers: Subject[ControlAnswer]

    async def report(self, target: Target) -> Result[EngineStatus, PlatformError]:
        """Request an engine's status report."""

    async def order(
        self, target: Target, order: EngineOrder, terms: OrderTerms
    ) -> Result[OrderAccepted | OrderRefused, PlatformError]:
        """Send an engine an order; a failure leaves open whether it was accepted."""

    async def probe_status(
        self, target: Target, incarnation: int, health_path: str
    ) -> ProbeResult:
        """Query whether the incarnation of a target that had a request still runs."""


@dataclass(frozen=True, slots=True)
class ServingBounds:
    """Time limits, retry budgets and quota tolerances of the deployment.

    Parameters
    ----------
    order_quiet : timedelta
        Time by which orders of two hosts to one engine must be more than apart.
    grace : timedelta
        Time from the stop signal to the kill.
    entry_return : timedelta
        Time within which live targets have their entries back after a store outage.
    drain : timedelta
        How long a target that leaves still takes new requests after it has said so.
    repeat_ratio, repeat_slack, repeat_window
        Limits of a pool's retry budget, see `RepeatPolicy`.
    quotas : QuotaPolicy
        By how much organisations' quotas may be exceeded.
    change_in_force : timedelta
        Time within which a change in the store must be in force.
    store_reads_per_s : float
        Read calls a second that the store allows all hosts together.
    version_in_force : timedelta
        Time within which a declared version of an adapter must be in force everywhere.
    """

    order_quiet: timedelta = timedelta(seconds=3.3)
    grace: timedelta = timedelta(seconds=8)
    entry_return: timedelta = timedelta(seconds=2.2)
    drain: timedelta = timedelta(seconds=2)
    repeat_ratio: float = 0.2
    repeat_slack: float = 50.0
    repeat_window: timedelta = timedelta(seconds=10)
    quotas: QuotaPolicy = field(default_factory=QuotaPolicy)
    change_in_force: timedelta = timedelta(seconds=2)
    store_reads_per_s: float = 2000.0
    version_in_force: timedelta = timedelta(seconds=5)

    @property
    def repeats(self) -> RepeatPolicy:
        """Return the policy of the retry budgets, over all hosts."""
        return RepeatPolicy(self.repeat_ratio, self.repeat_slack, self.repeat_window)


@dataclass(frozen=True, slots=True)
class HostProfile:
    """Identity, addresses and limits of this host.

    Parameters
    ----------
    seeds : tuple of Address
        Peer addresses of a few hosts, to discover the others; they may be down.
    is_first_start : bool
        Whether the whole system starts for the first time.
    max_fds : int
        File descriptors that the process may open.
    link_mbps : float
        Bandwidth of its network link, in megabits a second; 0 if unknown.
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
    max_fds: int = 1024
    link_mbps: float = 0.0
