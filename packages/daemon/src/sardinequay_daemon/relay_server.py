"""HTTP server for callers that checks each request, then relays or refuses it."""

import asyncio
import logging
from collections.abc import Callable
from http import HTTPStatus

import aiohttp
from aiohttp import web
from returns.result import Success

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.features import content_feature, part_features
from sardinequay_core.organisations import Organisation
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run_refusal
from sardinequay_core.quota_ledger import Admitted
from sardinequay_core.serving import CallerLimits, Route, ServingConfig

from .bounded_http import (
    BoundedConnection,
    BoundedServer,
    ListenerBounds,
    UnreadConnection,
)
from .bounded_http.listening import MAX_UNCOUNTED
from .bounded_http.server import OVERDUE_CHECK_S
from .byte_budget.connection_bytes import ConnectionBytes
from .byte_budget.guard import ByteBudget
from .caller_admission import CallerAdmission
from .caller_answer import CallerAnswer, refusal_status
from .caller_connection import CallerConnection
from .connection_gate import ConnectionGate
from .errors import BodyRefusedError
from .exchange import AnswerCutOffError, RelayExchange
from .progress import RequestRefusedError
from .quarantine.guarded_request import GuardedRequest
from .relay import Relay
from .relay_state import RelayState
from .serving_metrics import ServingMetrics
from .serving_ports import HttpDialect, RequestTerms
from .tracing import Tracing

BODIES_MEMORY_SHARE = 0.2
"""Share of the process's memory for the bodies of all requests in flight."""

CALLERS_FD_SHARE = 0.75
"""Share of the process's descriptors for connections of callers. The others are for
targets, other hosts, the store and files."""

RESERVED_FDS = 200
"""Descriptors that connections do not get, as files, listeners and pipes need them."""

CONNECTIONS_MEMORY_SHARE = 0.25
"""Share of the process's memory for the objects of idle connections of callers."""

CONNECTION_BYTES = 16_384
"""Memory of an idle connection of a caller."""

BODY_RETRY = seconds(0.5)
STOPPING_RETRY = seconds(0.05)
log = logging.getLogger(__name__)


class RelayServer(BoundedServer):
    """HTTP server that relays callers' requests to targets."""

    def __init__(
        self,
        relay: Relay,
        admission: CallerAdmission,
        state: RelayState,
        dialect: HttpDialect,
        metrics: ServingMetrics,
        tracing: Tracing,
        bounds: ListenerBounds,
        gate: ConnectionGate,
        memory_mb: int,
    ) -> None:
        super().__init__(self.handle, bounds, handler_cancellation=True)
        self.relay = relay
        self.admission = admission
        self.state = state
        self.dialect = dialect
        self.metrics = metrics
        self.tracing = tracing
        self.gate = gate
        self.max_bodies_bytes = int(memory_mb * 1e6 * BODIES_MEMORY_SHARE)
        self.bodies_bytes = 0
        self.byte_budget = ByteBudget(bounds.clock, metrics, memory_mb)
        self.in_flight = 0
        self.is_closing = False
        self.left_unread = 0
        self.stops_at: Instant | None = None

    def __call__(self) -> BoundedConnection | UnreadConnection:  # type: ignore[override]
        """Return the protocol of a new connection.

        A host that cannot handle in time what it reads leaves new connections unread,
        so that their callers try other hosts. Those that are open are read as ever.
        """
        if not self.gate.admits():
            self.leave_unread()
            return UnreadConnection()
        return super().__call__()

    def make_connection(self) -> CallerConnection:
        """Return the protocol of a connection that is read."""
        idle_s = self.limits().idle_timeout.total_seconds()
        return CallerConnection(self, keepalive_timeout=idle_s + OVERDUE_CHECK_S)

    def make_refusal(self, refusal: Refusal) -> web.Response:
        """Return the answer to a request whose id is not known."""
        return web.Response(
            status=refusal_status(refusal),
            text=refusal.message + "\n",
            headers=self.dialect.refusal_headers("", refusal),
        )

    def leave_unread(self) -> None:
        """Count a connection that is left unread."""
        self.left_unread += 1
        self.metrics.left_unread.inc({})

    def log_left_unread(self) -> None:
        """Log how many connections were left unread since the last call, if any."""
        if not self.left_unread:
            return
        lag_s = round(self.gate.lag.current.total_seconds(), 3)
        extra = {"connections": self.left_unread, "lag_s": lag_s}
        log.warning("connections left unread", extra=extra)
        self.left_unread = 0

    def limits(self) -> CallerLimits:
        """Return the limits on callers' requests by the configuration in force."""
        config = self.state.catalogue.config
        return config.limits if config is not None else CallerLimits()

    def check_connections(self, now: Instant) -> None:
        """Close connections past their time limits, and those that hold too much."""
        self.byte_budget.check(self.caller_connections())
        super().check_connections(now)
        if not self.is_closing:
            return
        for connection in self.caller_connections():
            if connection.is_idle(now):
                connection.force_close()

    def caller_connections(self) -> list[CallerConnection]:
        """Return the callers' open connections."""
        return [c for c in self.open_connections if isinstance(c, CallerConnection)]

    async def handle(self, http: web.BaseRequest) -> web.StreamResponse:
        """Handle one HTTP request and count it while it is in flight."""
        connection = http.protocol
        assert isinstance(connection, CallerConnection)
        connection.begin_request(http.content)
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
        """Check a request, then relay or refuse it."""
        request_id = ""
        admitted: Admitted | None = None
        answer = CallerAnswer(self, http, arrived)
        try:
            terms = self.read_terms(http)
            request_id = connection_bytes(http).request_id = terms.request_id
            config, route = self.admission.find_route(
                http.headers.get("Host", ""), http.raw_path.partition("?")[0]
            )
            answer.route = route.name
            answer.goal_s = route.goal.total_seconds()
            organisation = self.admission.authenticate(config, route, terms)
            answer.organisation = organisation.name if organisation is not None else ""
            self.refuse_if_closing(route)
            admitted = (
                None
                if organisation is None
                else self.admission.admit(organisation, terms)
            )
            exchange = await self.build_exchange(
                http, terms, config, route, organisation, arrived
            )
            try:
                await self.relay.serve(exchange, answer.sink())
            finally:
                self.bodies_bytes -= len(exchange.body)
                exchange.span.end()
            return await answer.finish(request_id)
        except RequestRefusedError as refused:
            if admitted is not None and refused.refusal.outcome is Outcome.NOT_RUN:
                self.admission.refund(admitted)
            return await answer.refuse(request_id, refused.refusal)
        except BodyRefusedError as refused:
            return await answer.refuse(request_id, refused.cause.refusal)
        except AnswerCutOffError:
            return answer.abort_answer(request_id, "the target's answer broke off")
        except (ConnectionError, aiohttp.ClientError) as error:
            return answer.abort_answer(request_id, f"the caller is gone: {error!r}")
        except asyncio.CancelledError:
            log.info("caller left", extra={"request": request_id})
            raise
        except Exception:
            # A bug is logged with its traceback; the caller still gets a typed refusal.
            log.exception("request failed", extra={"request": request_id})
            text = "this host has a fault"
            refusal = Refusal(Reason.INTERNAL, Outcome.UNKNOWN, text)
            return await answer.refuse(request_id, refusal)

    def read_terms(self, http: web.BaseRequest) -> RequestTerms:
        """Check the size and form of a request's head and parse its headers."""
        size = sum(len(name) + len(value) + 4 for name, value in http.raw_headers)
        limit = self.limits().max_header_bytes
        if size + len(http.raw_path) > limit:
            text = f"the headers exceed {limit} bytes"
            raise RequestRefusedError(not_run_refusal(Reason.HEADERS_TOO_LARGE, text))
        if not http.raw_path.startswith("/"):
            raise RequestRefusedError(
                not_run_refusal(Reason.MALFORMED, "the target is no path")
            )
        read = self.dialect.parse_terms(http.headers)
        if not isinstance(read, Success):
            raise RequestRefusedError(read.failure())
        terms: RequestTerms = read.unwrap()
        return terms

    def refuse_if_closing(self, route: Route) -> None:
        """Refuse a request that may outlast the shutdown of this host."""
        stops_at = self.stops_at
        if not self.is_closing or stops_at is None:
            return
        time_left = stops_at - self.clock.monotonic()
        if route.timeout > time_left or route.repetition.is_stream:
            text = "this host is stopping; others serve you"
            raise RequestRefusedError(
                not_run_refusal(Reason.SHUTTING_DOWN, text, STOPPING_RETRY)
            )

    async def build_exchange(
        self,
        http: web.BaseRequest,
        terms: RequestTerms,
        config: ServingConfig,
        route: Route,
        organisation: Organisation | None,
        arrived: Instant,
    ) -> RelayExchange:
        """Read the request's body and return the exchange for the relay."""
        wait = min(terms.wait or route.timeout, route.timeout)
        deadline = connection_bytes(http).deadline = arrived + wait
        body = await self.read_body(http, config.limits, deadline)
        span = self.tracing.server_span("request", http.headers)
        host = http.headers.get("Host", "")
        caller = terms.caller if organisation is None else organisation.name
        content = content_feature(http.method, host, http.raw_path, caller, body)
        parts = part_features(terms.prompt_parts)
        return RelayExchange(
            terms,
            route,
            route.pool_for(terms.stream_request),
            http.method,
            http.raw_path,
            http.headers,
            body,
            arrived,
            deadline,
            span,
            GuardedRequest(terms.request_id, content, parts),
            organisation,
            last_event=terms.last_event,
            connection_bytes=connection_bytes(http),
        )

    async def read_body(
        self, http: web.BaseRequest, limits: CallerLimits, deadline: Instant
    ) -> bytes:
        """Read a body within the size limit, the deadline and the memory for bodies.

        The bytes count against the memory until the request has ended; `answer`
        subtracts them then.
        """
        limit = limits.max_body_bytes
        if (http.content_length or 0) > limit:
            raise RequestRefusedError(too_large_refusal(limit))
        if not http.can_read_body:
            return b""
        if http.headers.get("Expect", "").lower() == "100-continue":
            await http.writer.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        body, size = bytearray(), 0
        held = connection_bytes(http)
        left_s = (deadline - self.clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, left_s)) as timer:
                held.begin_body(timer)
                while part := await http.content.readany():
                    size += len(part)
                    self.bodies_bytes += len(part)
                    held.body_bytes = size
                    body += part
                    if size > limit:
                        raise RequestRefusedError(too_large_refusal(limit))
                    left_bytes = max(0, (http.content_length or 0) - size)
                    if not self.has_room_for_body(left_bytes):
                        text = "the memory for bodies is used up"
                        raise RequestRefusedError(
                            not_run_refusal(Reason.OVERLOADED, text, BODY_RETRY)
                        )
            return bytes(body)
        except TimeoutError as error:
            self.bodies_bytes -= size
            if held.is_cut:
                text = "the body came too slowly for the memory that it takes"
                raise RequestRefusedError(
                    not_run_refusal(Reason.OVERLOADED, text, BODY_RETRY)
                ) from error
            text = "the body did not come in time"
            raise RequestRefusedError(
                not_run_refusal(Reason.DEADLINE_EXPIRED, text)
            ) from error
        except BaseException:
            self.bodies_bytes -= size
            raise
        finally:
            held.end_body()

    def has_room_for_body(self, left_bytes: int) -> bool:
        """Return whether a body fits in memory, if need be in place of stopped ones.

        Parameters
        ----------
        left_bytes : int
            Bytes that are still to come of it, as far as its head tells.
        """
        excess_bytes = self.bodies_bytes - self.max_bodies_bytes
        return excess_bytes <= 0 or self.byte_budget.make_room_for_body(
            self.caller_connections(), excess_bytes, left_bytes
        )


def connection_limit(memory_mb: int, max_fds: int) -> int:
    """Return how many connections of callers may be open at once.

    Parameters
    ----------
    max_fds : int
        Descriptors that the process may open.
    """
    by_fds = (max_fds - RESERVED_FDS - MAX_UNCOUNTED) * CALLERS_FD_SHARE
    by_memory = memory_mb * 1e6 * CONNECTIONS_MEMORY_SHARE / CONNECTION_BYTES
    return max(1, int(min(by_fds, by_memory)))


def connection_bytes(http: web.BaseRequest) -> ConnectionBytes:
    """Return the record of what a request's connection holds."""
    connection = http.protocol
    assert isinstance(connection, CallerConnection)
    return connection.bytes


def too_large_refusal(limit: int) -> Refusal:
    """Return the refusal of a body beyond the size limit."""
    return not_run_refusal(Reason.TOO_LARGE, f"the body exceeds {limit} bytes")


ReadinessCheck = Callable[[], bool]


def readiness_app(path: str, is_ready: ReadinessCheck) -> web.Application:
    """Return the HTTP application that answers the platform's readiness check."""

    async def ready(_: web.Request) -> web.Response:
        if is_ready():
            return web.Response(text="ready\n")
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE, text="not ready\n")

    app = web.Application()
    app.router.add_get(path, ready)
    return app
