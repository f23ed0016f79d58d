"""The answer to one caller: a target's answer, a refusal or an aborted connection."""

import logging
from http import HTTPStatus
from typing import Protocol

from aiohttp import web

from sardinequay_core.clock import Clock, Instant
from sardinequay_core.outcome import Outcome, Reason, Refusal

from .caller_connection import CallerConnection
from .caller_head import write_head
from .connection_reset import cut_off
from .errors import HeadNotWrittenError, TargetError, TargetFault
from .exchange import AnswerHead, AnswerSink
from .relay_state import RelayState
from .serving_metrics import ServingMetrics
from .serving_ports import HttpDialect

log = logging.getLogger(__name__)


class AnswerContext(Protocol):
    """The attributes of the server that an answer uses."""

    clock: Clock
    dialect: HttpDialect
    metrics: ServingMetrics
    state: RelayState
    is_closing: bool


class CallerAnswer:
    """The state of the answer to one request."""

    def __init__(
        self, server: AnswerContext, http: web.BaseRequest, arrived: Instant
    ) -> None:
        self.server = server
        self.http = http
        self.arrived = arrived
        self.route = ""
        self.organisation = ""
        self.goal_s = 0.0
        self.response: web.StreamResponse | None = None
        self.first_byte_s = 0.0

    def sink(self) -> AnswerSink:
        """Return the sink to which the relay writes a target's answer."""
        return AnswerSink(self.send_head, self.write)

    def elapsed_s(self) -> float:
        """Return the time since the request arrived, in seconds."""
        return (self.server.clock.monotonic() - self.arrived).total_seconds()

    async def send_head(self, head: AnswerHead) -> None:
        """Send the head of a target's answer.

        Raises
        ------
        TargetError
            If it cannot be passed on; the caller has got nothing then.
        """
        headers = self.server.dialect.caller_headers(head.answer.headers)
        response = web.StreamResponse(
            status=head.status, reason=head.answer.reason, headers=headers
        )
        if self.server.is_closing:
            response.force_close()
        try:
            await write_head(response, self.http)
        except HeadNotWrittenError as error:
            raise TargetError(TargetFault.BROKEN, str(error)) from error
        self.response = response
        self.first_byte_s = self.elapsed_s()
        self.server.metrics.first_byte.observe({"route": self.route}, self.first_byte_s)

    async def write(self, data: bytes) -> None:
        """Send a part of the answer's body."""
        assert self.response is not None
        if data:
            self.count_written(len(data))
            await self.response.write(data)

    def count_written(self, size: int) -> None:
        """Count bytes that are written to the caller's connection."""
        connection = self.http.protocol
        if isinstance(connection, CallerConnection):
            connection.bytes.written_bytes += size

    async def finish(self, request_id: str) -> web.StreamResponse:
        """Complete the answer and record its end."""
        assert self.response is not None
        await self.response.write_eof()
        self.record_end(request_id, "answered", str(self.response.status), "")
        return self.response

    def record_end(self, request_id: str, event: str, result: str, detail: str) -> None:
        """Log and count how the request ended."""
        metrics = self.server.metrics
        metrics.requests.inc({"route": self.route, "status": result})
        metrics.whole_answer.observe({"route": self.route}, self.elapsed_s())
        config = self.server.state.catalogue.config
        log.info(
            event,
            extra={
                "request": request_id,
                "route": self.route,
                "organisation": self.organisation,
                "result": result,
                "detail": detail,
                "first_s": round(self.first_byte_s, 4),
                "took_s": round(self.elapsed_s(), 4),
                "goal_s": self.goal_s,
                "version": config.version if config else 0,
            },
        )

    async def refuse(self, request_id: str, refusal: Refusal) -> web.StreamResponse:
        """Send a refusal, or abort the answer if it has begun."""
        if self.response is not None:
            return self.abort_answer(request_id, refusal.message)
        status = refusal_status(refusal)
        self.server.metrics.refusals.inc({"reason": refusal.reason.value})
        detail = f"{refusal.reason.value}, {refusal.outcome.value}: {refusal.message}"
        self.record_end(request_id, "refused", str(status), detail)
        headers = self.server.dialect.refusal_headers(request_id, refusal)
        response = web.Response(
            status=status, text=refusal.message + "\n", headers=headers
        )
        if self.server.is_closing or self.is_body_left(refusal):
            response.force_close()
        return response

    def is_body_left(self, refusal: Refusal) -> bool:
        """Return whether the rest of a refused body may follow on the connection."""
        connection = self.http.protocol
        is_faulty = isinstance(connection, CallerConnection) and connection.fault
        return refusal.reason is Reason.TOO_LARGE or bool(is_faulty)

    def abort_answer(self, request_id: str, detail: str) -> web.StreamResponse:
        """End the connection, so that the caller sees an incomplete answer."""
        self.record_end(request_id, "cut off", "cut_off", detail)
        cut_off(self.http.transport, self.response)
        return self.response or web.Response(status=HTTPStatus.BAD_GATEWAY)


def refusal_status(refusal: Refusal) -> int:
    """Return the HTTP status of a refusal.

    A 502 leaves open whether the request has run. The other statuses, such as 503,
    state that it has not.
    """
    if refusal.outcome is Outcome.NOT_RUN:
        if refusal.reason in (Reason.OVERLOADED, Reason.DEADLINE_EXPIRED):
            return HTTPStatus.SERVICE_UNAVAILABLE
        return refusal.status
    return HTTPStatus.BAD_GATEWAY
