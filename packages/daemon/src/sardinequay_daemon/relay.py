"""Serves one request: chooses a target, sends, decides what a failure permits."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from datetime import timedelta

import aiohttp
from opentelemetry.trace import Span

from sardinequay_core.after_attempt import AttemptEnd, AttemptsSoFar, Next, next_step
from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import AdapterRef, PoolName, TargetId
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run
from sardinequay_core.service_choice import choose_service
from sardinequay_core.serving import Repetition, Route
from sardinequay_core.target_choice import (
    PATIENCE,
    Load,
    Nowhere,
    Send,
    TooBusy,
    choose,
)
from sardinequay_core.target_health import Verdict

from .errors import TargetError, TargetFault
from .progress import Refused
from .relay_state import RelayState
from .server_sent_events import EventCutter
from .serving_messages import WantAdapter, WantReply
from .serving_metrics import ServingMetrics
from .serving_ports import AnswerFacts, CallDialect, Headers, RequestTerms, SendTerms
from .tracing import Tracing
from .upstream import MAX_WHOLE_BYTES, Outgoing, Upstream
from .wants import WantBoard

FIRST_EVENT_FLOOR_S = 2.0
FIRST_EVENT_GOALS = 4.0
FIRST_EVENT_PAUSES = 8.0
"""Callers leave a stream after a silence of the longest of: two seconds, four times the
goal, eight times the longest pause. Waiting longer for a first event helps nobody."""

ANSWER_MARGIN_S = 0.03
"""Kept back of a request's time so that a refusal still reaches the caller."""

REJECTED_PAUSE_S = 0.02
"""Before a request that was rejected is offered again, in seconds."""

IDEMPOTENT_PATIENCE = 2.0
"""Goals that an idempotent request waits on one target before another is tried."""

MAX_FAILED_ASKS = 4
"""Wishes for an adapter that may fail before a request is refused."""

UNKNOWN_WAIT_S = 2.0
"""Taken for an engine's queue after a wish there failed without saying how long."""

SHORTEST_PATIENCE_S = 0.15
SERVER_ERROR = 500
RETRY_SPREAD_S = 0.25
"""Callers that are told to come back at one moment come spread over this."""

NO_TARGET_RETRY = seconds(0.5)
"""When to come back if no target is known: about a crashed one's restart."""

log = logging.getLogger(__name__)


@dataclass(slots=True)
class Exchange:
    """One request on its way.

    Parameters
    ----------
    deadline : timedelta
        The earlier of the caller's and the route's, on this host's monotonic clock.
    tried : frozenset
        Targets that failed or rejected the request.
    """

    terms: RequestTerms
    route: Route
    pool: PoolName
    method: str
    path: str
    headers: Headers
    body: bytes
    arrived: Instant
    deadline: Instant
    span: Span
    so_far: AttemptsSoFar = field(default_factory=AttemptsSoFar)
    tried: frozenset[TargetId] = frozenset()
    last_event: str = ""
    has_begun: bool = False


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The head of a target's answer, as the caller gets it."""

    status: int
    answer: aiohttp.ClientResponse


Begin = Callable[[AnswerHead], Awaitable[None]]
Write = Callable[[bytes], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Sink:
    """Where an answer goes: its head first, then its bytes as they come."""

    begin: Begin
    write: Write


class BrokenOffError(Exception):
    """An answer that had begun and cannot be completed."""


class Relay:
    """Brings requests to targets and their answers back."""

    def __init__(
        self,
        state: RelayState,
        dialect: CallDialect,
        upstream: Upstream,
        wants: WantBoard,
        metrics: ServingMetrics,
        tracing: Tracing,
    ) -> None:
        self.state = state
        self.dialect = dialect
        self.upstream = upstream
        self.wants = wants
        self.metrics = metrics
        self.tracing = tracing
        self.clock = state.clock

    async def serve(self, exchange: Exchange, sink: Sink) -> None:
        """Serve a request.

        Raises
        ------
        Refused
            If it ends without an answer of a target.
        BrokenOffError
            If its answer had begun and was not completed.
        """
        self.state.budget(exchange.pool).request(self.clock.monotonic())
        while True:
            target = await self.choose(exchange)
            end = await self.attempt(exchange, target, sink)
            if end is None:
                return
            exchange.so_far = exchange.so_far.after(end)
            exchange.tried = exchange.tried | {target.target.target_id}
            await self.follow(exchange, end)

    def left(self, exchange: Exchange) -> timedelta:
        """Return the time that is left."""
        return exchange.deadline - self.clock.monotonic() - seconds(ANSWER_MARGIN_S)

    async def follow(self, exchange: Exchange, end: AttemptEnd) -> None:
        """Permit another attempt by returning, or raise the request's end."""
        budget = self.state.budget(exchange.pool)
        now = self.clock.monotonic()
        within_budget = end is AttemptEnd.NOT_SENT or budget.may_repeat(
            self.state.fleet.live_hosts, now
        )
        route = exchange.route
        if exchange.has_begun and route.repetition is not Repetition.RESUMABLE_STREAM:
            raise BrokenOffError
        step = next_step(
            route.repetition,
            route.max_runs,
            exchange.so_far,
            self.left(exchange),
            within_budget,
        )
        if step is Next.AGAIN:
            if end is not AttemptEnd.NOT_SENT:
                budget.repeat(now)
            if end is AttemptEnd.REJECTED:
                await asyncio.sleep(REJECTED_PAUSE_S)
            return
        if exchange.has_begun:
            raise BrokenOffError
        raise Refused(self.final_refusal(step, within_budget))

    def final_refusal(self, step: Next, within_budget: bool) -> Refusal:
        """Return the answer to a request whose attempts are over."""
        if step is Next.GIVE_UP_MAY_HAVE_RUN:
            text = "the target's answer was lost; it may have run the request"
            return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, text)
        text = "no target took the request"
        if not within_budget:
            text += ", and the budget for further attempts is spent"
        return not_run(Reason.TARGET_REFUSED, text, self.come_back(NO_TARGET_RETRY))

    def come_back(self, after: timedelta) -> timedelta:
        """Return when to come back, spread so that callers do not come at once."""
        return after + seconds(self.state.random.uniform(0, RETRY_SPREAD_S))

    # Choosing.

    async def choose(self, exchange: Exchange) -> PublishedTarget:
        """Return the target for the next attempt, waiting for an adapter if need be."""
        config = self.state.catalogue.config
        pool = config.pools.get(exchange.pool) if config else None
        if pool is None or pool.engines is None:
            return self.choose_service(exchange)
        return await self.choose_engine(exchange)

    def choose_service(self, exchange: Exchange) -> PublishedTarget:
        """Return the target of a plain service with the least to do."""
        options = self.state.service_options(exchange.pool, exchange.tried)
        found = choose_service(options)
        if found is None:
            raise Refused(self.no_target(exchange))
        self.log_choice(exchange, found, "least filled", len(options))
        return self.state.catalogue.targets[found]

    def no_target(self, exchange: Exchange) -> Refusal:
        """Return the refusal of a request for which there is no target."""
        if exchange.so_far.runs:
            return self.final_refusal(Next.GIVE_UP_MAY_HAVE_RUN, True)
        text = "no target of the pool is live"
        return not_run(Reason.NO_TARGET, text, self.come_back(NO_TARGET_RETRY))

    def first_event_left_s(self, exchange: Exchange) -> float:
        """Return how long waiting for a first event helps, in seconds."""
        left_s = self.left(exchange).total_seconds()
        route = exchange.route
        if not route.repetition.is_stream or exchange.has_begun:
            return left_s
        pause_s = route.max_pause.total_seconds() if route.max_pause else 0.0
        patience_s = max(
            FIRST_EVENT_FLOOR_S,
            FIRST_EVENT_GOALS * route.goal.total_seconds(),
            FIRST_EVENT_PAUSES * pause_s,
        )
        return min(left_s, patience_s - self.waited_s(exchange))

    def waited_s(self, exchange: Exchange) -> float:
        """Return how long ago the request came, in seconds."""
        return (self.clock.monotonic() - exchange.arrived).total_seconds()

    async def choose_engine(self, exchange: Exchange) -> PublishedTarget:
        """Return the engine for the next attempt, with the adapter on it."""
        told: dict[TargetId, float] = {}
        failed_asks = 0
        while True:
            options = self.state.engine_options(
                exchange.pool, exchange.terms, exchange.tried, told
            )
            left_s = self.first_event_left_s(exchange)
            choice = choose(options, left_s)
            if isinstance(choice, Send):
                self.log_choice(
                    exchange,
                    choice.target,
                    "resident",
                    len(options),
                    choice.expected_s,
                )
                return self.state.catalogue.targets[choice.target]
            if not isinstance(choice, Load):
                raise Refused(self.no_engine(exchange, choice, left_s))
            reply = await self.wait_for_load(exchange, choice.target, left_s)
            if reply.is_ready:
                continue
            told[choice.target] = reply.expected_s or UNKNOWN_WAIT_S
            failed_asks += 1
            if failed_asks >= MAX_FAILED_ASKS:
                busy = TooBusy(min(told.values()))
                raise Refused(self.no_engine(exchange, busy, left_s))

    def no_engine(
        self, exchange: Exchange, choice: TooBusy | Nowhere, left_s: float
    ) -> Refusal:
        """Return the refusal of a request that no engine can begin in time."""
        if exchange.so_far.runs:
            return self.final_refusal(Next.GIVE_UP_MAY_HAVE_RUN, True)
        if isinstance(choice, TooBusy):
            text = f"no engine can begin within {left_s:.2f} s"
            wait = self.come_back(seconds(choice.wait_s))
            return not_run(Reason.OVERLOADED, text, wait)
        text = "no engine has the adapter, and none can be ordered to load it now"
        return not_run(Reason.NO_TARGET, text, self.come_back(NO_TARGET_RETRY))

    async def wait_for_load(
        self, exchange: Exchange, target: TargetId, left_s: float
    ) -> WantReply:
        """Have an adapter loaded; return whether that went well."""
        began = self.clock.monotonic()
        wanted = self.state.wanted(exchange.terms)
        route = exchange.route
        goal_s = (exchange.arrived + route.goal - began).total_seconds()
        ask = WantAdapter(target, wanted, worth_of(route), goal_s, left_s * PATIENCE)
        reply = await self.wants.ask(ask)
        took = (self.clock.monotonic() - began).total_seconds()
        self.metrics.load_wait.observe({}, took)
        log.info(
            "waited for adapter",
            extra={
                "request": exchange.terms.request_id,
                "target": target,
                "adapter": str(wanted),
                "ready": reply.is_ready,
                "detail": reply.detail,
                "expected_s": round(reply.expected_s, 3),
                "waited_s": round(took, 4),
            },
        )
        if reply.is_ready:
            self.assume_resident(target, wanted)
        return reply

    def assume_resident(self, target: TargetId, wanted: AdapterRef) -> None:
        """Believe the host that orders an engine before its next digest comes."""
        residency = self.state.residency
        published = self.state.catalogue.targets.get(target)
        if published is None:
            return
        if residency.resident(published, wanted) is None:
            residency.add(published, wanted)

    def log_choice(
        self,
        exchange: Exchange,
        target: TargetId,
        why: str,
        options: int,
        expected_s: float = 0.0,
    ) -> None:
        """Log where a request goes and from what that was decided."""
        share = self.state.loads.share(target, self.clock.monotonic())
        log.info(
            "target chosen",
            extra={
                "request": exchange.terms.request_id,
                "target": target,
                "why": why,
                "options": options,
                "unread_tokens": share.unread_tokens,
                "running": share.running,
                "revision": self.state.catalogue.revision,
                "store_age_s": round(self.state.fleet.freshest_store_age_s(), 2),
                "attempt": exchange.so_far.runs + exchange.so_far.rejections + 1,
                "expected_s": round(expected_s, 4),
                "waited_s": round(self.waited_s(exchange), 4),
            },
        )

    # One attempt.

    async def attempt(
        self, exchange: Exchange, published: PublishedTarget, sink: Sink
    ) -> AttemptEnd | None:
        """Send a request to one target; return how that failed, or None."""
        attempt = Attempt(self, exchange, published)
        attempt.enter()
        try:
            with self.tracing.child_span("target", exchange.span) as span:
                attempt.trace_headers = self.tracing.headers(span)
                end = await attempt.run(sink)
        except TargetError as error:
            end = attempt.failed(error)
        finally:
            attempt.leave()
        result = end.value if end else "answered"
        self.metrics.attempts.inc({"pool": exchange.pool, "result": result})
        return end


class Attempt:
    """One request at one target."""

    def __init__(
        self, relay: Relay, exchange: Exchange, published: PublishedTarget
    ) -> None:
        self.relay = relay
        self.state = relay.state
        self.exchange = exchange
        self.published = published
        self.target = published.target
        self.target_id = published.target.target_id
        self.tokens = exchange.terms.prompt_tokens
        self.adapter = self.find_adapter()
        self.sent_at = relay.clock.monotonic()
        self.expected_s = 0.0
        self.has_first = False
        self.trace_headers: dict[str, str] = {}

    def find_adapter(self) -> AdapterRef | None:
        """Return the adapter as the target holds it."""
        if not self.exchange.terms.adapter:
            return None
        wanted = self.state.wanted(self.exchange.terms)
        return self.state.residency.resident(self.published, wanted) or wanted

    def enter(self) -> None:
        """Count the attempt in."""
        loads = self.state.loads
        now = self.relay.clock.monotonic()
        self.expected_s = loads.first_event_s(self.target_id, self.tokens, now)
        loads.begin(self.target_id, self.tokens)
        if not self.tokens:
            self.first_event()
        if self.adapter is not None:
            count = self.state.uses.change(self.target_id, self.adapter, 1)
            self.relay.wants.tell_use(self.target_id, self.adapter, count)
        self.state.health.sent(self.target_id)

    def leave(self) -> None:
        """Count the attempt out."""
        self.state.loads.end(self.target_id, self.tokens, self.has_first)
        if self.adapter is not None:
            count = self.state.uses.change(self.target_id, self.adapter, -1)
            if not count:
                self.relay.wants.tell_use(self.target_id, self.adapter, count)

    def first_event(self) -> None:
        """Count the prompt as read."""
        if not self.has_first:
            self.has_first = True
            self.state.loads.first_event(self.target_id, self.tokens)

    def judge(self, verdict: Verdict) -> None:
        """Let the attempt's end count for or against the target."""
        is_out = self.state.health.judge(
            self.target_id, verdict, self.sent_at, self.relay.clock.monotonic()
        )
        if is_out:
            self.relay.metrics.left_out.inc({"pool": self.exchange.pool})
            log.warning(
                "target left out",
                extra={
                    "target": self.target_id,
                    "request": self.exchange.terms.request_id,
                    "verdict": verdict.value,
                },
            )

    def outgoing(self) -> Outgoing:
        """Return the request as it goes to the target."""
        exchange, relay = self.exchange, self.relay
        version = ""
        if self.adapter is not None and self.adapter.name in (
            self.state.catalogue.newest
        ):
            version = self.adapter.version
        terms = SendTerms(
            self.target,
            max(seconds(0.001), exchange.deadline - relay.clock.monotonic()),
            min(9, exchange.route.priority) if self.tokens else None,
            version,
            exchange.last_event,
        )
        headers = relay.dialect.forwarded(exchange.headers, exchange.terms, terms)
        headers.update(self.trace_headers)
        return Outgoing(
            exchange.method,
            exchange.path,
            headers,
            exchange.body,
            exchange.route.repetition.may_run_again,
        )

    def patience_s(self) -> float:
        """Return how long to wait for the answer's head, in seconds."""
        exchange, relay = self.exchange, self.relay
        left_s = max(0.001, relay.left(exchange).total_seconds())
        route = exchange.route
        can_repeat = exchange.so_far.runs + 1 < route.max_runs
        if not (route.repetition.may_run_again and can_repeat):
            return left_s
        goal_s = route.goal.total_seconds()
        if route.repetition.is_stream:
            return min(left_s, max(IDEMPOTENT_PATIENCE * goal_s, self.expected_s * 2))
        return min(left_s, max(SHORTEST_PATIENCE_S, IDEMPOTENT_PATIENCE * goal_s))

    async def run(self, sink: Sink) -> AttemptEnd | None:
        """Send, and pass the answer on."""
        upstream = self.relay.upstream
        request = self.outgoing()
        address = self.target.address
        async with upstream.send(address, request, self.patience_s()) as answer:
            facts = self.relay.dialect.facts(answer.status, answer.headers)
            if facts.request_id != self.exchange.terms.request_id:
                detail = f"an answer to {facts.request_id!r}"
                raise TargetError(TargetFault.BROKEN, detail)
            if facts.not_run:
                return self.rejected(answer.status, facts)
            return await self.answered(answer, sink)

    def rejected(self, status: int, facts: AnswerFacts) -> AttemptEnd:
        """Take the target's statement that it has not run the request."""
        exchange = self.exchange
        end = AttemptEnd.REJECTED
        if facts.is_misdirected:
            end = AttemptEnd.MISDIRECTED
            if facts.instance and facts.instance != self.target_id:
                self.judge(Verdict.GONE)
            elif self.adapter is not None:
                self.state.residency.deny(self.published, self.adapter)
                self.relay.wants.tell_missing(self.target_id, self.adapter)
        else:
            self.judge(Verdict.REJECTED)
        log.info(
            "attempt rejected",
            extra={
                "request": exchange.terms.request_id,
                "target": self.target_id,
                "status": status,
                "end": end.value,
                "adapter": str(self.adapter or ""),
            },
        )
        return end

    def failed(self, error: TargetError) -> AttemptEnd:
        """Take a failure on the way."""
        exchange = self.exchange
        end = AttemptEnd.MAY_HAVE_RUN
        if exchange.has_begun:
            end = AttemptEnd.BROKEN_OFF
        if error.fault is TargetFault.NOT_SENT:
            end = AttemptEnd.NOT_SENT
            self.judge(Verdict.UNREACHABLE)
        elif error.fault is TargetFault.SILENT:
            self.judge(Verdict.SILENT)
        else:
            self.judge(Verdict.FAILED)
        log.info(
            "attempt failed",
            extra={
                "request": exchange.terms.request_id,
                "target": self.target_id,
                "end": end.value,
                "detail": error.detail,
                "sent_for_s": round(self.taken_s(), 4),
            },
        )
        return end

    def taken_s(self) -> float:
        """Return how long the attempt has taken, in seconds."""
        return (self.relay.clock.monotonic() - self.sent_at).total_seconds()

    async def answered(
        self, answer: aiohttp.ClientResponse, sink: Sink
    ) -> AttemptEnd | None:
        """Pass an answer on."""
        exchange = self.exchange
        is_failure = answer.status >= SERVER_ERROR
        if is_failure:
            self.judge(Verdict.FAILED)
            so_far = exchange.so_far.after(AttemptEnd.MAY_HAVE_RUN)
            if exchange.has_begun or (
                exchange.route.repetition.may_run_again
                and so_far.runs < exchange.route.max_runs
            ):
                return AttemptEnd.MAY_HAVE_RUN
        if exchange.route.repetition.is_stream:
            await self.stream(answer, sink)
        else:
            await self.pass_whole(answer, sink)
        if not is_failure:
            self.judge(Verdict.GOOD)
        return None

    async def begin(self, answer: aiohttp.ClientResponse, sink: Sink) -> None:
        """Send the answer's head on, if none was."""
        if not self.exchange.has_begun:
            self.exchange.has_begun = True
            await sink.begin(AnswerHead(answer.status, answer))

    async def pass_whole(self, answer: aiohttp.ClientResponse, sink: Sink) -> None:
        """Pass a plain answer on: in one piece if it is small, else as it comes.

        The caller gets nothing of an answer that breaks off while it is small, so that
        another target may still answer.
        """
        parts = Parts(answer, self.relay, self.exchange)
        held: list[bytes] = []
        size = 0
        while data := await parts.next():
            held.append(data)
            size += len(data)
            if size > MAX_WHOLE_BYTES:
                await self.begin(answer, sink)
                await sink.write(b"".join(held))
                held.clear()
        await self.begin(answer, sink)
        await sink.write(b"".join(held))

    async def stream(self, answer: aiohttp.ClientResponse, sink: Sink) -> None:
        """Pass a stream on, event by event."""
        exchange = self.exchange
        cutter = EventCutter()
        parts = Parts(answer, self.relay, exchange)
        while data := await parts.next():
            events = cutter.feed(data)
            if events is None:
                continue
            if events.last_id:
                exchange.last_event = str(events.last_id)
            if not self.has_first:
                self.first_event()
                self.learn_pace()
            await self.begin(answer, sink)
            await sink.write(events.data)
        await self.begin(answer, sink)
        await sink.write(cutter.rest)

    def learn_pace(self) -> None:
        """Learn how fast the engine reads from when its first event came."""
        self.state.loads.measured(self.target_id, self.expected_s, self.taken_s())


class Parts:
    """The bytes of an answer as they come, within the request's time."""

    def __init__(
        self, answer: aiohttp.ClientResponse, relay: Relay, exchange: Exchange
    ) -> None:
        self.answer = answer
        self.relay = relay
        self.exchange = exchange

    async def next(self) -> bytes:
        """Return the next bytes; none at the end.

        Raises
        ------
        TargetError
            If the answer breaks off, or the request's time is over.
        """
        left_s = self.relay.left(self.exchange).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                from_target = self.answer.content.readany()
                return await turned(from_target)
        except TimeoutError as error:
            detail = "the request's time is over"
            raise TargetError(TargetFault.SILENT, detail) from error


def worth_of(route: Route) -> float:
    """Return what an answer is worth against another's: the more urgent, the more."""
    return 1.0 + 1.0 / (1 + route.priority)


async def turned(reading: Awaitable[bytes]) -> bytes:
    """Read, with the library's errors turned into what they prove."""
    try:
        return await reading
    except (aiohttp.ClientError, OSError, ValueError) as error:
        raise TargetError(TargetFault.BROKEN, repr(error)) from error
