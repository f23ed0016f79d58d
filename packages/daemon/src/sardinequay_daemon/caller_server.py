"""HTTP server for callers: model requests, the model list and plain services."""

import asyncio
import logging
from collections.abc import Callable, Mapping
from contextlib import aclosing
from dataclasses import dataclass
from datetime import timedelta

import aiohttp
from aiohttp import web
from opentelemetry.trace import Span
from returns.result import Success

from sardinequay_core.admission import OVERLOAD_RETRY_AFTER, Admission
from sardinequay_core.bundle import Bundle
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.names import RequestId
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run_refusal
from sardinequay_core.serving import CallerLimits

from .answers import (
    ADAPTER_HEADER,
    BUNDLE_HEADER,
    OUTCOME_HEADER,
    REQUEST_HEADER,
    CompletionAssembler,
    refusal_event,
    refusal_response,
)
from .bounded_http import BoundedConnection, BoundedServer, ListenerBounds
from .caller_head import write_head
from .caller_requests import (
    ModelRequest,
    RequestEnvelope,
    new_request_id,
    read_envelope,
    read_model_request,
)
from .connection_reset import cut_off
from .dispatch import ModelDispatcher
from .errors import BodyRefusedError, HeadNotWrittenError, MalformedAnswerError
from .journal import Journal
from .metrics import Metrics
from .progress import (
    Progress,
    RequestRefusedError,
    deadline_refusal,
    with_proven_outcome,
)
from .services import ServiceForwarder, ServiceRequest, end_to_end_headers
from .settings import LimitSettings
from .tracing import Tracing, trace_id

MODEL_PATHS = ("/v1/completions", "/v1/chat/completions")
MODELS_PATH = "/v1/models"
IDENTITY = "identity"
"""Content coding of a body that is sent as it is."""

MAX_SHOWN_CHARS = 40
MAX_BUFFERED_BYTES = 65_536
log = logging.getLogger(__name__)


class CallerGoneError(Exception):
    """The caller closed its connection before the answer was complete."""


@dataclass(slots=True)
class CallerExchange:
    """One request of a caller and the state of its answer."""

    http: web.BaseRequest
    request_id: RequestId
    span: Span
    progress: Progress
    began_at: Instant
    response: web.StreamResponse | None = None


class CallerServer:
    """Handles callers' HTTP requests.

    Parameters
    ----------
    bundle : callable
        Returns the bundle in force. Each request calls it once and keeps the result.
    """

    def __init__(
        self,
        bundle: Callable[[], Bundle | None],
        dispatcher: ModelDispatcher,
        forwarder: ServiceForwarder,
        admission: Admission,
        limits: LimitSettings,
        tracing: Tracing,
        metrics: Metrics,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.bundle = bundle
        self.dispatcher = dispatcher
        self.forwarder = forwarder
        self.admission = admission
        self.limits = limits
        self.tracing = tracing
        self.metrics = metrics
        self.journal = journal
        self.clock = clock
        self.is_stopping = False
        self.idle = asyncio.Event()
        self.idle.set()

    def server(self, bounds: ListenerBounds) -> "CallerHttpServer":
        """Return the HTTP server.

        It has no router, since the bundle defines the paths.
        """
        return CallerHttpServer(self, bounds)

    async def serve(self, http: web.BaseRequest) -> web.StreamResponse:
        """Handle one request and turn failures into refusals."""
        request_id = new_request_id(http.headers)
        span = self.tracing.server_span(f"{http.method} {http.path}", http.headers)
        began = self.clock.monotonic()
        exchange = CallerExchange(http, request_id, span, Progress(), began)
        try:
            response = await self.answer(exchange)
            self.metrics.requests.inc({"outcome": "answered"})
            return response
        except RequestRefusedError as error:
            refusal = with_proven_outcome(error.refusal, exchange.progress)
            return await self.refuse(exchange, refusal)
        except (CallerGoneError, asyncio.CancelledError) as error:
            self.metrics.requests.inc({"outcome": "caller_gone"})
            self.journal.record(request_id, "caller gone")
            if isinstance(error, asyncio.CancelledError):
                raise
            return exchange.response or web.Response(status=499)
        except Exception:
            # A bug is logged with its traceback; the caller still gets a typed refusal.
            log.exception("request failed", extra={"request": request_id})
            outcome = exchange.progress.outcome
            refusal = Refusal(Reason.INTERNAL, outcome, "this host has a fault")
            return await self.refuse(exchange, refusal)
        finally:
            elapsed = self.clock.monotonic() - began
            self.journal.record(request_id, "ended", took_s=elapsed.total_seconds())
            span.set_attribute("request", request_id)
            span.end()

    async def answer(self, exchange: CallerExchange) -> web.StreamResponse:
        """Check, admit and run one request within its deadline."""
        http = exchange.http
        if self.is_stopping:
            raise RequestRefusedError(shutting_down_refusal())
        read = read_envelope(
            http.headers,
            exchange.request_id,
            self.bundle(),
            self.limits,
            self.clock.monotonic(),
        )
        if not isinstance(read, Success):
            raise RequestRefusedError(read.failure())
        envelope = read.unwrap()
        if not self.admission.try_enter(envelope.priority):
            text = "this host is full; requests of higher priority go first"
            raise RequestRefusedError(
                not_run_refusal(Reason.OVERLOADED, text, OVERLOAD_RETRY_AFTER)
            )
        self.update_idle_event()
        try:
            return await self.run_within_deadline(exchange, envelope)
        finally:
            self.admission.leave()
            self.update_idle_event()

    def update_idle_event(self) -> None:
        """Set the event that a shutdown waits for while no request is in flight."""
        if self.admission.in_flight:
            self.idle.clear()
        else:
            self.idle.set()

    async def run_within_deadline(
        self, exchange: CallerExchange, envelope: RequestEnvelope
    ) -> web.StreamResponse:
        """Run one request, and refuse it when its deadline passes."""
        remaining = envelope.deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                return await self.route_request(exchange, envelope)
        except TimeoutError as error:
            raise RequestRefusedError(deadline_refusal(exchange.progress)) from error

    async def route_request(
        self, exchange: CallerExchange, envelope: RequestEnvelope
    ) -> web.StreamResponse:
        """Run one request according to its path and method."""
        http = exchange.http
        if http.path == MODELS_PATH and http.method == "GET":
            return self.list_models(envelope)
        body = await self.read_body(http)
        if http.path in MODEL_PATHS and http.method == "POST":
            refuse_coded_body(http.headers)
            read = read_model_request(envelope, http.path, body)
            if not isinstance(read, Success):
                raise RequestRefusedError(read.failure())
            return await self.run_model(exchange, read.unwrap())
        service = envelope.bundle.find_service(http.path)
        if service is None or envelope.caller.name not in service.callers:
            text = f"nothing is offered to you at {http.path!r}"
            raise RequestRefusedError(not_run_refusal(Reason.UNKNOWN_ROUTE, text))
        request = ServiceRequest(
            envelope, service, http.method, http.raw_path, http.headers, body
        )
        return await self.run_service(exchange, request)

    async def read_body(self, http: web.BaseRequest) -> bytes:
        """Read a request's body, up to the size limit."""
        limit = self.limits.max_body_bytes
        body, size = bytearray(), http.content_length or 0
        try:
            while size <= limit and not http.content.at_eof():
                body += await http.content.readany()
                size = len(body)
        except BodyRefusedError as error:
            raise RequestRefusedError(error.cause.refusal) from error
        except (OSError, aiohttp.ClientError) as error:
            raise CallerGoneError from error
        if size > limit:
            text = f"the body exceeds {limit} bytes"
            raise RequestRefusedError(not_run_refusal(Reason.TOO_LARGE, text))
        return bytes(body)

    def list_models(self, envelope: RequestEnvelope) -> web.Response:
        """Return the list of models that are offered to the caller."""
        offered = envelope.bundle.adapters_for_caller(envelope.caller.name)
        data = [{"id": str(ref), "object": "model"} for ref in offered]
        headers = self.answer_headers(envelope)
        return web.json_response({"object": "list", "data": data}, headers=headers)

    def answer_headers(self, envelope: RequestEnvelope) -> dict[str, str]:
        """Return the headers of each successful answer."""
        return {
            REQUEST_HEADER: envelope.request_id,
            OUTCOME_HEADER: Outcome.RAN.value,
            BUNDLE_HEADER: str(envelope.bundle.version),
        }

    async def run_model(
        self, exchange: CallerExchange, request: ModelRequest
    ) -> web.StreamResponse:
        """Run a model request, streamed or in one piece."""
        headers = self.answer_headers(request.envelope)
        headers[ADAPTER_HEADER] = str(request.adapter)
        events = self.dispatcher.stream_events(
            request, exchange.progress, exchange.span
        )
        async with aclosing(events) as event_batches:
            if request.stream:
                headers["Content-Type"] = "text/event-stream"
                headers["Cache-Control"] = "no-store"
                async for event_batch in event_batches:
                    await self.write(exchange, 200, headers, event_batch.data)
                return await self.finish_stream(exchange)
            assembler = CompletionAssembler()
            try:
                async for event_batch in event_batches:
                    assembler.add_events(event_batch.data)
                body = assembler.body()
            except MalformedAnswerError as error:
                text = f"the engine's answer is malformed: {error}"
                refusal = Refusal(Reason.TARGET_FAILED, Outcome.RAN, text)
                raise RequestRefusedError(refusal) from error
        return web.Response(body=body, headers=headers, content_type="application/json")

    async def run_service(
        self, exchange: CallerExchange, request: ServiceRequest
    ) -> web.StreamResponse:
        """Run a request for a plain service and pass its answer through."""
        forward = self.forwarder.forward(request, exchange.progress, exchange.span)
        async with forward as answer:
            headers = end_to_end_headers(answer.headers)
            headers.update(self.answer_headers(request.envelope))
            length = answer.content_length
            is_small = length is not None and length <= MAX_BUFFERED_BYTES
            if is_small and request.method != "HEAD":
                # Small answers are sent in one piece, which saves writes.
                body = await answer.read()
                whole = web.Response(status=answer.status, headers=headers, body=body)
                await self.begin_answer(exchange, whole)
                return whole
            if length is not None:
                headers["Content-Length"] = str(length)
            await self.write(exchange, answer.status, headers, b"")
            async for data in answer.content.iter_any():
                await self.write(exchange, answer.status, headers, data)
        return await self.finish_stream(exchange)

    async def write(
        self,
        exchange: CallerExchange,
        status: int,
        headers: Mapping[str, str],
        data: bytes,
    ) -> None:
        """Send a part of an answer to the caller, preceded by the head at first."""
        try:
            if exchange.response is None:
                response = web.StreamResponse(status=status, headers=headers)
                await self.begin_answer(exchange, response)
            if data and exchange.response is not None:
                await exchange.response.write(data)
        except (OSError, aiohttp.ClientError) as error:
            raise CallerGoneError from error

    async def begin_answer(
        self, exchange: CallerExchange, response: web.StreamResponse
    ) -> None:
        """Send the head of an answer.

        Raises
        ------
        RequestRefusedError
            If it cannot be passed on; the caller has got nothing then.
        """
        try:
            await write_head(response, exchange.http)
        except HeadNotWrittenError as error:
            refusal = Refusal(Reason.TARGET_FAILED, Outcome.RAN, str(error))
            raise RequestRefusedError(refusal) from error
        exchange.response = response
        self.record_first_byte(exchange)

    def record_first_byte(self, exchange: CallerExchange) -> None:
        """Record the time to the first byte of an answer."""
        elapsed = self.clock.monotonic() - exchange.began_at
        self.metrics.first_byte.observe({}, elapsed.total_seconds())

    async def finish_stream(self, exchange: CallerExchange) -> web.StreamResponse:
        """End a streamed answer."""
        assert exchange.response is not None
        try:
            await exchange.response.write_eof()
        except (OSError, aiohttp.ClientError) as error:
            raise CallerGoneError from error
        return exchange.response

    async def refuse(
        self, exchange: CallerExchange, refusal: Refusal
    ) -> web.StreamResponse:
        """Refuse a request, or abort its answer if that has begun."""
        self.metrics.requests.inc({"outcome": refusal.outcome.value})
        self.metrics.refusals.inc({"reason": refusal.reason.value})
        details = {
            "request": exchange.request_id,
            "trace": trace_id(exchange.span),
            "reason": refusal.reason.value,
            "outcome": refusal.outcome.value,
            "detail": refusal.message,
        }
        self.journal.record(exchange.request_id, "refused", **details)
        log.info("request refused", extra=details)
        if exchange.response is None:
            return refusal_response(refusal, exchange.request_id)
        return await self.abort_answer(exchange, refusal)

    async def abort_answer(
        self, exchange: CallerExchange, refusal: Refusal
    ) -> web.StreamResponse:
        """End an answer that had begun so that the caller sees it is incomplete."""
        response = exchange.response
        assert response is not None
        if response.content_type == "text/event-stream":
            event = refusal_event(refusal, exchange.request_id)
            try:
                await self.write(exchange, response.status, {}, event)
                return await self.finish_stream(exchange)
            except CallerGoneError:
                return response
        cut_off(exchange.http.transport, response)
        return response


class CallerHttpServer(BoundedServer):
    """HTTP server of callers that need not keep to any limit."""

    def __init__(self, callers: CallerServer, bounds: ListenerBounds) -> None:
        super().__init__(self.handle, bounds, handler_cancellation=True)
        self.callers = callers

    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests, by the settings."""
        limits = self.callers.limits
        return CallerLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            seconds(limits.header_timeout_s),
            seconds(limits.idle_timeout_s),
        )

    def make_refusal(self, refusal: Refusal) -> web.Response:
        """Return the answer to a request that no handler sees."""
        return refusal_response(refusal, RequestId(""))

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Handle one HTTP request."""
        connection = http.protocol
        assert isinstance(connection, BoundedConnection)
        connection.begin_request(http.content)
        return await self.callers.serve(http)


def shutting_down_refusal() -> Refusal:
    """Return the refusal of a host that is stopping."""
    text = "this host is stopping; another one serves you"
    return not_run_refusal(Reason.SHUTTING_DOWN, text, timedelta(seconds=1))


def refuse_coded_body(headers: Mapping[str, str]) -> None:
    """Refuse a body that this host must read and that its caller has encoded."""
    coding = headers.get("Content-Encoding", IDENTITY).strip().lower()
    if coding != IDENTITY:
        text = (
            f"the body has the content coding {coding[:MAX_SHOWN_CHARS]!r}; send none"
        )
        raise RequestRefusedError(not_run_refusal(Reason.MALFORMED, text))
