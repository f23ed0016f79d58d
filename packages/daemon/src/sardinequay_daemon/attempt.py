"""One request at one target: sent, its answer passed on, its end judged."""

import asyncio
import logging
from dataclasses import dataclass

import aiohttp

from sardinequay_core.after_attempt import AttemptEnd
from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, seconds
from sardinequay_core.names import AdapterRef
from sardinequay_core.target_health import Verdict

from .errors import TargetError, TargetFault
from .exchange import AnswerHead, Exchange, Sink
from .relay_state import RelayState
from .server_sent_events import EventCutter
from .serving_metrics import ServingMetrics
from .serving_ports import AnswerFacts, CallDialect, SendTerms
from .target_errors import TurnedErrors
from .tracing import Tracing
from .upstream import MAX_WHOLE_BYTES, Outgoing, Upstream
from .wants import WantBoard

IDEMPOTENT_PATIENCE = 2.0
"""Goals that an idempotent request waits on one target before another is tried."""

SHORTEST_PATIENCE_S = 0.15
LEAST_URGENT = 9
SERVER_ERROR = 500
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class RelayParts:
    """What relaying a request needs."""

    state: RelayState
    dialect: CallDialect
    upstream: Upstream
    wants: WantBoard
    metrics: ServingMetrics
    tracing: Tracing


class Attempt:
    """One request at one target.

    Parameters
    ----------
    is_resend : bool
        Whether it was sent there just now, over a kept connection that broke.
    """

    def __init__(
        self,
        parts: RelayParts,
        exchange: Exchange,
        published: PublishedTarget,
        is_resend: bool = False,
    ) -> None:
        self.parts = parts
        self.state = parts.state
        self.clock = parts.state.clock
        self.exchange = exchange
        self.is_resend = is_resend
        self.published = published
        self.target = published.target
        self.target_id = published.target.target_id
        self.tokens = exchange.terms.prompt_tokens
        self.adapter = self.find_adapter()
        self.sent_at = self.clock.monotonic()
        self.expected_s = 0.0
        self.usual_s = 0.0
        self.has_first = False
        self.was_served = False
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
        now = self.clock.monotonic()
        self.expected_s = loads.first_event_s(self.target_id, self.tokens, now)
        self.usual_s = loads.usual_s(self.target_id, self.tokens, now)
        loads.begin(self.target_id, self.tokens)
        if not self.tokens:
            self.first_event()
        if self.adapter is not None:
            count = self.state.uses.change(self.target_id, self.adapter, 1)
            self.parts.wants.tell_use(self.target_id, self.adapter, count)
        self.state.health.sent(self.target_id)

    def leave(self) -> None:
        """Count the attempt out."""
        self.state.loads.end(self.target_id, self.tokens, self.has_first)
        self.state.health.left(self.target_id)
        if self.adapter is not None and self.is_same_start():
            count = self.state.uses.change(self.target_id, self.adapter, -1)
            if not count:
                self.parts.wants.tell_use(self.target_id, self.adapter, count)

    def is_same_start(self) -> bool:
        """Return whether the target has not started again since it was chosen."""
        now = self.state.catalogue.targets.get(self.target_id)
        return now is None or now.incarnation == self.published.incarnation

    def first_event(self) -> None:
        """Count the prompt as read."""
        if not self.has_first:
            self.has_first = True
            self.state.loads.first_event(self.target_id, self.tokens)

    def judge(self, verdict: Verdict) -> None:
        """Let the attempt's end count for or against the target."""
        is_out = self.state.health.judge(
            self.target_id, verdict, self.sent_at, self.clock.monotonic()
        )
        if is_out:
            self.parts.metrics.left_out.inc({"pool": self.exchange.pool})
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
        exchange = self.exchange
        version = ""
        if self.adapter is not None and self.adapter.name in (
            self.state.catalogue.newest_versions
        ):
            version = self.adapter.version
        terms = SendTerms(
            self.target,
            max(seconds(0.001), exchange.deadline - self.clock.monotonic()),
            min(LEAST_URGENT, exchange.priority) if self.tokens else None,
            version,
            exchange.last_event,
            exchange.organisation.name if exchange.organisation else "",
        )
        headers = self.parts.dialect.forwarded(exchange.headers, exchange.terms, terms)
        headers.update(self.trace_headers)
        return Outgoing(
            exchange.method,
            exchange.path,
            headers,
            exchange.body,
            exchange.route.repetition.may_run_again and not self.is_resend,
        )

    def patience_s(self) -> float:
        """Return how long to wait for the answer's head, in seconds."""
        exchange = self.exchange
        left_s = max(0.001, exchange.left(self.clock.monotonic()).total_seconds())
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
        upstream = self.parts.upstream
        request = self.outgoing()
        address = self.target.address
        async with upstream.send(
            address, request, self.patience_s(), self.note_send
        ) as answer:
            self.exchange.end_repeat(self.clock.monotonic())
            facts = self.parts.dialect.facts(answer.status, answer.headers)
            if facts.request_id != self.exchange.terms.request_id:
                detail = f"an answer to {facts.request_id!r}"
                raise TargetError(TargetFault.BROKEN, detail)
            if facts.not_run:
                return self.rejected(answer.status, facts)
            return await self.answered(answer, sink)

    def note_send(self) -> None:
        """Count the request as sent to the target."""
        self.parts.metrics.sends.inc({"pool": self.exchange.pool})

    def rejected(self, status: int, facts: AnswerFacts) -> AttemptEnd:
        """Take the target's statement that it has not run the request."""
        exchange = self.exchange
        end = AttemptEnd.REJECTED
        if facts.is_misdirected:
            end = AttemptEnd.MISDIRECTED
            if facts.instance and facts.instance != self.target_id:
                self.judge(Verdict.GONE)
            elif self.adapter is not None and self.is_same_start():
                self.state.residency.deny(self.published, self.adapter)
                self.parts.wants.tell_missing(self.published, self.adapter)
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
        elif error.fault is TargetFault.LOST_ON_KEPT:
            # Targets close connections that they kept at any moment: that alone says
            # nothing against one.
            end = AttemptEnd.LOST_ON_KEPT
        elif error.fault is TargetFault.SILENT:
            self.judge(Verdict.SILENT)
        else:
            self.judge(Verdict.FAILED)
        log.info(
            "attempt failed",
            extra={
                "request": exchange.terms.request_id,
                "target": self.target_id,
                "content": exchange.guarded.content,
                "end": end.value,
                "detail": error.detail,
                "sent_for_s": round(self.taken_s(), 4),
            },
        )
        return end

    def taken_s(self) -> float:
        """Return how long the attempt has taken, in seconds."""
        return (self.clock.monotonic() - self.sent_at).total_seconds()

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
            self.was_served = True
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
        body = Body(answer, self.exchange, self.clock)
        held: list[bytes] = []
        size = 0
        while data := await body.next():
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
        body = Body(answer, exchange, self.clock)
        while data := await body.next():
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
        now = self.clock.monotonic()
        self.state.loads.measured(self.target_id, self.usual_s, self.taken_s(), now)


class Body:
    """The bytes of an answer as they come, within the request's time."""

    def __init__(
        self, answer: aiohttp.ClientResponse, exchange: Exchange, clock: Clock
    ) -> None:
        self.answer = answer
        self.exchange = exchange
        self.clock = clock

    async def next(self) -> bytes:
        """Return the next bytes; none at the end.

        Raises
        ------
        TargetError
            If the answer breaks off, or the request's time is over.
        """
        left_s = self.exchange.left(self.clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                with TurnedErrors():
                    return await self.answer.content.readany()
        except TimeoutError as error:
            detail = "the request's time is over"
            raise TargetError(TargetFault.SILENT, detail) from error
