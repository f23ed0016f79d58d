"""Takes callers' requests of any shape: checks them, relays them, answers for them."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus

import aiohttp
from aiohttp import web
from returns.result import Success

from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run
from sardinequay_core.serving import CallerLimits, Route, ServingConfig

from .progress import Refused
from .relay import AnswerHead, BrokenOffError, Exchange, Relay, Sink
from .relay_state import RelayState
from .serving_metrics import ServingMetrics
from .serving_ports import CallDialect, RequestTerms
from .tracing import Tracing

MAX_FIELD_BYTES = 16_384
"""A header line longer than this is refused by the parser; the limit on all headers
together is the configuration's."""

BODIES_MEMORY_SHARE = 0.2
"""Part of the process's memory that request bodies may take together."""

CLOSING_IDLE = seconds(0.2)
"""A stopping host closes connections that have been idle for this, so that requests of
new connections are still read: several round trips to any caller."""

SWEEP_S = 0.25
"""How often connections that take too long are looked for."""

NO_CONFIG_RETRY = seconds(0.5)
BODY_RETRY = seconds(0.5)
STOPPING_RETRY = seconds(0.05)
log = logging.getLogger(__name__)


class CallerConnection(web.RequestHandler):
    """A caller's connection that knows how long it has kept us waiting."""

    def __init__(self, server: "RelayServer", **options: object) -> None:
        super().__init__(server, loop=asyncio.get_running_loop(), **options)  # type: ignore[arg-type]
        self.server = server
        self.idle_since: Instant | None = server.clock.monotonic()
        self.partial_since: Instant | None = None

    def data_received(self, data: bytes) -> None:
        """Note when the head of a request began to come."""
        if self.idle_since is not None and self.partial_since is None:
            self.partial_since = self.server.clock.monotonic()
        super().data_received(data)

    def begin_request(self) -> None:
        """Note that a request's head is complete."""
        self.idle_since = None
        self.partial_since = None

    def end_request(self) -> None:
        """Note that the answer is complete."""
        self.idle_since = self.server.clock.monotonic()

    def is_idle(self, now: Instant) -> bool:
        """Return whether no request has been here, or on its way, for a while."""
        since = self.idle_since
        return (
            since is not None
            and self.partial_since is None
            and now - since > CLOSING_IDLE
        )

    def keeps_waiting(self, limits: CallerLimits, now: Instant) -> bool:
        """Return whether the caller takes longer than it may."""
        if self.partial_since is not None:
            return now - self.partial_since > limits.header_timeout
        if self.idle_since is not None:
            return now - self.idle_since > limits.idle_timeout
        return False


class RelayServer(web.Server):
    """The listener for callers."""

    def __init__(
        self,
        relay: Relay,
        state: RelayState,
        dialect: CallDialect,
        metrics: ServingMetrics,
        tracing: Tracing,
        clock: Clock,
        memory_mb: int,
    ) -> None:
        super().__init__(self.handle, handler_cancellation=True)
        self.relay = relay
        self.state = state
        self.dialect = dialect
        self.metrics = metrics
        self.tracing = tracing
        self.clock = clock
        self.bodies_budget = int(memory_mb * 1e6 * BODIES_MEMORY_SHARE)
        self.bodies_bytes = 0
        self.in_flight = 0
        self.is_closing = False
        self.stops_at: Instant | None = None

    def __call__(self) -> CallerConnection:
        """Make the protocol of one connection."""
        idle_s = self.limits().idle_timeout.total_seconds()
        return CallerConnection(
            self,
            keepalive_timeout=idle_s + SWEEP_S,
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            lingering_time=1.0,
            access_log=None,
        )

    def limits(self) -> CallerLimits:
        """Return what callers may send now."""
        config = self.state.catalogue.config
        return config.limits if config is not None else CallerLimits()

    async def sweep(self) -> None:
        """Close connections that take too long, for good."""
        while True:
            await asyncio.sleep(SWEEP_S)
            now, limits = self.clock.monotonic(), self.limits()
            for connection in self.connections:
                if not isinstance(connection, CallerConnection):
                    continue
                if connection.keeps_waiting(limits, now) or (
                    self.is_closing and connection.is_idle(now)
                ):
                    connection.force_close()

    # One request.

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Answer one request."""
        connection = http.protocol
        assert isinstance(connection, CallerConnection)
        connection.begin_request()
        self.in_flight += 1
        arrived = self.clock.monotonic()
        try:
            return await self.answer(http, arrived)
        finally:
            self.in_flight -= 1
            connection.end_request()

    async def answer(
        self, http: web.BaseRequest, arrived: Instant
    ) -> web.StreamResponse:
        """Check a request and serve it, or refuse it."""
        request_id = ""
        answer = CallerAnswer(self, http, arrived)
        try:
            terms = self.read_terms(http)
            request_id = terms.request_id
            config, route = self.find_route(http)
            answer.route = route.name
            self.refuse_if_closing(route)
            exchange = await self.exchange(http, terms, config, route, arrived)
            try:
                await self.relay.serve(exchange, answer.sink())
            finally:
                self.bodies_bytes -= len(exchange.body)
                exchange.span.end()
            return await answer.end(request_id)
        except Refused as refused:
            return await answer.refuse(request_id, refused.refusal)
        except BrokenOffError:
            return answer.cut_off(request_id, "the target's answer broke off")
        except (ConnectionError, aiohttp.ClientError) as error:
            return answer.cut_off(request_id, f"the caller is gone: {error!r}")
        except asyncio.CancelledError:
            log.info("caller left", extra={"request": request_id})
            raise

    def read_terms(self, http: web.BaseRequest) -> RequestTerms:
        """Read what the request says of itself."""
        size = sum(len(name) + len(value) + 4 for name, value in http.raw_headers)
        limit = self.limits().max_header_bytes
        if size + len(http.raw_path) > limit:
            text = f"the headers exceed {limit} bytes"
            raise Refused(not_run(Reason.HEADERS_TOO_LARGE, text))
        if not http.raw_path.startswith("/"):
            raise Refused(not_run(Reason.MALFORMED, "the target is no path"))
        read = self.dialect.terms(http.headers)
        if not isinstance(read, Success):
            raise Refused(read.failure())
        terms: RequestTerms = read.unwrap()
        return terms

    def find_route(self, http: web.BaseRequest) -> tuple[ServingConfig, Route]:
        """Return the route in force for a request."""
        config = self.state.catalogue.config
        if config is None:
            text = "no configuration is known yet"
            raise Refused(not_run(Reason.NO_BUNDLE, text, NO_CONFIG_RETRY))
        host = http.headers.get("Host", "")
        path = http.raw_path.partition("?")[0]
        route = config.match(host, path) or config.match(host.partition(":")[0], path)
        if route is None:
            text = f"version {config.version} has no route there"
            raise Refused(not_run(Reason.UNKNOWN_ROUTE, text))
        return config, route

    def refuse_if_closing(self, route: Route) -> None:
        """Refuse what a stopping host cannot complete any more."""
        stops_at = self.stops_at
        if not self.is_closing or stops_at is None:
            return
        time_left = stops_at - self.clock.monotonic()
        if route.timeout > time_left or route.repetition.is_stream:
            text = "this host is stopping; others serve you"
            raise Refused(not_run(Reason.SHUTTING_DOWN, text, STOPPING_RETRY))

    async def exchange(
        self,
        http: web.BaseRequest,
        terms: RequestTerms,
        config: ServingConfig,
        route: Route,
        arrived: Instant,
    ) -> Exchange:
        """Read the body and put the request together."""
        wait = min(terms.wait or route.timeout, route.timeout)
        deadline = arrived + wait
        body = await self.read_body(http, config.limits, deadline)
        span = self.tracing.server_span("request", http.headers)
        return Exchange(
            terms,
            route,
            route.pool_for(terms.request_id),
            http.method,
            http.raw_path,
            http.headers,
            body,
            arrived,
            deadline,
            span,
            last_event=terms.last_event,
        )

    async def read_body(
        self, http: web.BaseRequest, limits: CallerLimits, deadline: Instant
    ) -> bytes:
        """Read a request's body within its limit, its time and the memory for all.

        The bytes count until the request has ended; the caller of this gives them back.
        """
        limit = limits.max_body_bytes
        if (http.content_length or 0) > limit:
            raise Refused(too_large(limit))
        if not http.can_read_body:
            return b""
        if http.headers.get("Expect", "").lower() == "100-continue":
            await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        parts: list[bytes] = []
        size = 0
        left_s = (deadline - self.clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                while part := await http.content.readany():
                    size += len(part)
                    self.bodies_bytes += len(part)
                    parts.append(part)
                    if size > limit:
                        raise Refused(too_large(limit))
                    if self.bodies_bytes > self.bodies_budget:
                        text = "the memory for bodies is used up"
                        raise Refused(not_run(Reason.OVERLOADED, text, BODY_RETRY))
            return b"".join(parts)
        except TimeoutError as error:
            self.bodies_bytes -= size
            text = "the body did not come in time"
            raise Refused(not_run(Reason.DEADLINE_EXPIRED, text)) from error
        except BaseException:
            self.bodies_bytes -= size
            raise


class CallerAnswer:
    """The answer to one request, as far as it has got."""

    def __init__(
        self, server: RelayServer, http: web.BaseRequest, arrived: Instant
    ) -> None:
        self.server = server
        self.http = http
        self.arrived = arrived
        self.route = ""
        self.response: web.StreamResponse | None = None
        self.first_s = 0.0

    def sink(self) -> Sink:
        """Return where the relay puts an answer."""
        return Sink(self.begin, self.write)

    def taken_s(self) -> float:
        """Return the time since the request came, in seconds."""
        return (self.server.clock.monotonic() - self.arrived).total_seconds()

    async def begin(self, head: AnswerHead) -> None:
        """Send the head of a target's answer."""
        headers = self.server.dialect.returned(head.answer.headers)
        response = web.StreamResponse(
            status=head.status, reason=head.answer.reason, headers=headers
        )
        if self.server.is_closing:
            response.force_close()
        self.response = response
        self.first_s = self.taken_s()
        self.server.metrics.first_byte.observe({"route": self.route}, self.first_s)
        await response.prepare(self.http)

    async def write(self, data: bytes) -> None:
        """Pass bytes on."""
        assert self.response is not None
        if data:
            await self.response.write(data)

    async def end(self, request_id: str) -> web.StreamResponse:
        """Complete the answer."""
        assert self.response is not None
        await self.response.write_eof()
        self.note(request_id, "answered", str(self.response.status), "")
        return self.response

    def note(self, request_id: str, event: str, result: str, detail: str) -> None:
        """Log and count how the request ended."""
        metrics = self.server.metrics
        metrics.requests.inc({"route": self.route, "status": result})
        metrics.whole_answer.observe({"route": self.route}, self.taken_s())
        config = self.server.state.catalogue.config
        log.info(
            event,
            extra={
                "request": request_id,
                "route": self.route,
                "result": result,
                "detail": detail,
                "first_s": round(self.first_s, 4),
                "took_s": round(self.taken_s(), 4),
                "version": config.version if config else 0,
            },
        )

    async def refuse(self, request_id: str, refusal: Refusal) -> web.StreamResponse:
        """Give the final answer to a request that no target answered."""
        if self.response is not None:
            return self.cut_off(request_id, refusal.message)
        status = status_of(refusal)
        self.server.metrics.refusals.inc({"reason": refusal.reason.value})
        detail = f"{refusal.reason.value}, {refusal.outcome.value}: {refusal.message}"
        self.note(request_id, "refused", str(status), detail)
        headers = self.server.dialect.refusal_headers(request_id, refusal)
        response = web.Response(
            status=status, text=refusal.message + "\n", headers=headers
        )
        if self.server.is_closing:
            response.force_close()
        return response

    def cut_off(self, request_id: str, detail: str) -> web.StreamResponse:
        """End an answer that had begun so that nobody takes it for a whole one."""
        self.note(request_id, "cut off", "cut_off", detail)
        if self.http.transport is not None:
            self.http.transport.abort()
        return self.response or web.Response(status=HTTPStatus.BAD_GATEWAY)


def too_large(limit: int) -> Refusal:
    """Return the refusal of a body beyond the limit."""
    return not_run(Reason.TOO_LARGE, f"the body exceeds {limit} bytes")


def status_of(refusal: Refusal) -> int:
    """Return the status that says no more than what is known.

    A request that has not run is told so by 503; of one that may have run nothing is
    promised.
    """
    if refusal.outcome is Outcome.NOT_RUN:
        if refusal.reason in (Reason.OVERLOADED, Reason.DEADLINE_EXPIRED):
            return HTTPStatus.SERVICE_UNAVAILABLE
        return refusal.status
    return HTTPStatus.BAD_GATEWAY


Ready = Callable[[], bool]


def readiness_app(path: str, is_ready: Ready) -> web.Application:
    """Return the answers to the platform's question whether this host is ready."""

    async def ready(_: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text="not ready\n")

    app = web.Application()
    app.router.add_get(path, ready)
    return app
