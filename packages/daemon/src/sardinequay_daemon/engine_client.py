"""The client of model engines: orders, reports, and streamed responses.

Failures are classified here, where bytes are written: only an error before the request
was written, or a refusal by the engine itself, proves that the request has not run.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import Annotated, Protocol

import aiohttp
import msgspec
from returns.result import Failure, Result, Success

from sardinequay_core.documents import decode_json, decode_json_value
from sardinequay_core.engine_record import EngineReport
from sardinequay_core.errors import DocumentError
from sardinequay_core.leases import AdapterUse
from sardinequay_core.names import AdapterRef, Address, TargetId
from sardinequay_core.roster import Target, TargetKind

from .bounded_answer import MAX_ANSWER_BYTES, read_bounded
from .errors import TargetError, TargetFault
from .target_errors import TargetErrorTranslator
from .target_probe import ProbeResult

NOT_LOADED = "not_loaded"
STALE_TOKEN = "stale_token"
REFUSED_STATUSES = frozenset({400, 404, 413, 422, 429, 503})
"""Statuses with which an engine refuses a request that it has not started."""

REQUEST_HEADER = "X-Request-Id"
HEALTH_CHECK_TIMEOUT_S = 0.4
"""Timeout of a health check; engines answer it without queueing."""


@dataclass(frozen=True, slots=True)
class EngineRequest:
    """One request as it is sent to an engine."""

    path: str
    request_id: str
    body: bytes
    headers: Mapping[str, str]
    fresh_connection: bool = False


Count = Annotated[int, msgspec.Meta(ge=0, lt=2**53)]
"""A number that messages to peers can carry."""


@dataclass(frozen=True, slots=True)
class ReportBody:
    """An engine's report in its wire format."""

    incarnation: str
    highest_token: Count
    slots: Count
    resident: tuple[AdapterRef, ...]
    running: Count = 0
    waiting: Count = 0
    in_use: tuple[AdapterRef, ...] = ()


class EngineClient(Protocol):
    """Interface of the engine client, as the keeper task and health check use it."""

    async def report(self, target: Target) -> Result[EngineReport, TargetError]:
        """Return an engine's report of its state."""

    async def load(
        self, target: Target, use: AdapterUse, token: int
    ) -> Result[None, TargetError]:
        """Load an adapter on an engine; return when it is loaded."""

    async def unload(
        self, target: Target, use: AdapterUse, token: int
    ) -> Result[None, TargetError]:
        """Evict an adapter from an engine; return when it is evicted."""

    async def cancel(self, address: Address, request_id: str) -> None:
        """Cancel a request whose caller has disconnected."""


class HttpEngineClient:
    """The client of engines over HTTP.

    Parameters
    ----------
    fresh_session : aiohttp.ClientSession
        Opens a new connection for each request.
    silence_s : float
        Timeout between two reads of a stream, and of reports, in seconds.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
        silence_s: float,
        order_timeout_s: float,
    ) -> None:
        self.session = session
        self.fresh_session = fresh_session
        self.silence_s = silence_s
        self.order_timeout = aiohttp.ClientTimeout(total=order_timeout_s)
        self.report_timeout = aiohttp.ClientTimeout(total=silence_s)

    async def report(self, target: Target) -> Result[EngineReport, TargetError]:
        """Return an engine's report of its state."""
        url = f"http://{target.address}/v1/report"
        try:
            async with self.session.get(url, timeout=self.report_timeout) as response:
                data = await read_bounded(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(TargetError(TargetFault.BROKEN, repr(error)))
        if response.status != 200:
            detail = f"report: {response.status}"
            return Failure(TargetError(TargetFault.BROKEN, detail))
        return decode_report(target.target_id, data)

    async def load(
        self, target: Target, use: AdapterUse, token: int
    ) -> Result[None, TargetError]:
        """Load an adapter on an engine; return when it is loaded."""
        return await self.send_order(target, "/v1/load_lora_adapter", use, token)

    async def unload(
        self, target: Target, use: AdapterUse, token: int
    ) -> Result[None, TargetError]:
        """Evict an adapter from an engine; return when it is evicted."""
        return await self.send_order(target, "/v1/unload_lora_adapter", use, token)

    async def send_order(
        self, target: Target, path: str, use: AdapterUse, token: int
    ) -> Result[None, TargetError]:
        """Send a load or eviction order with its fencing token.

        The token rises with each order and keeper. An engine that checks tokens refuses
        one below the highest that it has seen, so that a replaced keeper cannot order
        it any more.
        """
        body = {
            "adapter": use.adapter.name,
            "version": use.adapter.version,
            "fencing_token": token,
        }
        url = f"http://{target.address}{path}"
        try:
            async with self.session.post(
                url, json=body, timeout=self.order_timeout
            ) as response:
                data = await read_bounded(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(TargetError(TargetFault.BROKEN, repr(error)))
        if response.status == 200:
            return Success(None)
        return Failure(refusal_error(response.status, data))

    @asynccontextmanager
    async def send_request(
        self, address: Address, request: EngineRequest
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send a request and yield the response.

        Raises
        ------
        TargetError
            If the engine did not accept the request.
        """
        session = self.fresh_session if request.fresh_connection else self.session
        headers = {**request.headers, REQUEST_HEADER: request.request_id}
        url = f"http://{address}{request.path}"
        with TargetErrorTranslator():
            post_context = session.post(
                url, data=request.body, headers=headers, timeout=self.stream_timeout()
            )
            async with post_context as response:
                if response.status != 200:
                    data = await read_bounded(response, MAX_ANSWER_BYTES)
                    raise refusal_error(response.status, data)
                yield response

    @asynccontextmanager
    async def resume_stream(
        self, address: Address, request_id: str, after: int
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Reopen the stream of a running request after the event number `after`.

        Any failure is reported as `BROKEN`: it does not prove that the request has not
        run, since it was started before.
        """
        url = f"http://{address}/v1/requests/{request_id}/events"
        try:
            with TargetErrorTranslator():
                get_context = self.fresh_session.get(
                    url, params={"after": str(after)}, timeout=self.stream_timeout()
                )
                async with get_context as response:
                    if response.status != 200:
                        detail = f"resume: {response.status}"
                        raise TargetError(TargetFault.BROKEN, detail)
                    yield response
        except TargetError as error:
            raise TargetError(TargetFault.BROKEN, error.detail) from error

    def stream_timeout(self) -> aiohttp.ClientTimeout:
        """Return the timeouts of a stream; engines send keepalives between tokens."""
        return aiohttp.ClientTimeout(
            total=None, sock_connect=self.silence_s, sock_read=self.silence_s
        )

    async def cancel(self, address: Address, request_id: str) -> None:
        """Cancel a request whose caller has disconnected; errors are ignored."""
        url = f"http://{address}/v1/requests/{request_id}"
        try:
            async with self.session.delete(
                url, timeout=self.report_timeout
            ) as response:
                await read_bounded(response, MAX_ANSWER_BYTES)
        except (aiohttp.ClientError, TimeoutError, OSError):
            return


class EngineHealthCheck:
    """Checks the health of engines; plain services have no health check here."""

    def __init__(self, engines: EngineClient) -> None:
        self.engines = engines

    async def probe_status(
        self, target: Target, incarnation: int, health_path: str
    ) -> ProbeResult:
        """Return a target's health by its report; `incarnation` is not compared."""
        if target.kind is not TargetKind.ENGINE:
            return ProbeResult.HEALTHY
        try:
            async with asyncio.timeout(HEALTH_CHECK_TIMEOUT_S):
                report = await self.engines.report(target)
        except TimeoutError:
            return ProbeResult.NO_ANSWER
        return (
            ProbeResult.HEALTHY
            if isinstance(report, Success)
            else ProbeResult.UNHEALTHY
        )


def decode_report(target: TargetId, data: bytes) -> Result[EngineReport, TargetError]:
    """Decode an engine's report from JSON."""
    try:
        body = decode_json(data, ReportBody)
    except DocumentError as error:
        return Failure(TargetError(TargetFault.BROKEN, f"report: {error}"))
    return Success(
        EngineReport(
            target,
            body.incarnation,
            body.highest_token,
            body.slots,
            body.resident,
            body.running,
            body.waiting,
            body.in_use,
        )
    )


def refusal_error(status: int, data: bytes) -> TargetError:
    """Return the error for an engine's response other than 200.

    Its fault states whether the request has certainly not run.
    """
    try:
        body = decode_json_value(data)
    except DocumentError:
        body = {}
    code = body.get("error", "") if isinstance(body, dict) else ""
    detail = f"{status} {code or data[:200]!r}"
    if code == NOT_LOADED:
        return TargetError(TargetFault.NOT_LOADED, detail)
    if code == STALE_TOKEN:
        return TargetError(TargetFault.STALE_TOKEN, detail)
    if status in REFUSED_STATUSES:
        return TargetError(TargetFault.REFUSED, detail)
    return TargetError(TargetFault.BROKEN, detail)
