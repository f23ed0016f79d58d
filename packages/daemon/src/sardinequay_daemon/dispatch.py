"""Dispatching model requests: one engine at a time, resumed, and retried if it is safe.

After bytes have left for an engine only an answer that proves "not run" permits another
engine, unless the request may be repeated and none of its answer was passed on.
"""

import asyncio
import logging
from collections.abc import AsyncGenerator
from contextlib import aclosing
from dataclasses import dataclass
from datetime import timedelta
from random import getrandbits

from opentelemetry.trace import Span
from returns.result import Success

from sardinequay_core.admission import RetryBudget, RetryPolicy
from sardinequay_core.leases import Use
from sardinequay_core.names import Address, PoolName
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run

from .caller_requests import ModelRequest, guarded_run
from .claimer import Claimer
from .content_guard import PROBE_WAIT_S, ContentGuard
from .engines import EngineRequest, HttpEngines, events_of
from .errors import TargetError, TargetFault
from .guarded_run import GuardedRun
from .journal import Journal
from .lease_task import LeaseTask
from .metrics import Metrics
from .progress import Progress, Refused, too_late
from .server_sent_events import Events
from .tracing import Tracing

MAX_RESUMES = 3
RESUME_PAUSE_S = 0.05
MAX_NOT_LOADED = 5
"""Engines that may say "not loaded" in turn before a request is given up."""
TARGET_RETRY_AFTER = timedelta(seconds=1)
ADAPTER_HEADER = "X-Adapter"
log = logging.getLogger(__name__)


class RetryBudgets:
    """A budget for each pool."""

    def __init__(self, policy: RetryPolicy) -> None:
        self.policy = policy
        self.budgets: dict[PoolName, RetryBudget] = {}

    def of(self, pool: PoolName) -> RetryBudget:
        """Return a pool's budget."""
        return self.budgets.setdefault(pool, RetryBudget(self.policy))


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One run of a request on one engine, whose stream can be opened again."""

    engines: HttpEngines
    address: Address
    request_id: str
    request: ModelRequest
    trace_headers: dict[str, str]

    async def start(self) -> AsyncGenerator[Events, None]:
        """Send the request and yield its events."""
        headers = {
            **self.trace_headers,
            "Content-Type": "application/json",
            "X-Priority": str(self.request.envelope.priority),
            "X-Stream": "1",
        }
        if self.request.envelope.key:
            headers["Idempotency-Key"] = self.request.envelope.key
        message = EngineRequest(
            self.request.path,
            self.request_id,
            self.request.body,
            headers,
            fresh_connection=bool(self.request.envelope.key),
        )
        async with self.engines.start(self.address, message) as answer:
            ran = answer.headers.get(ADAPTER_HEADER)
            if ran != str(self.request.adapter):
                raise Refused(wrong_adapter(ran))
            async with aclosing(events_of(answer)) as parts:
                async for part in parts:
                    yield part

    async def resume(self, after: int) -> AsyncGenerator[Events, None]:
        """Open the stream again and yield the events after one."""
        async with (
            self.engines.resume(self.address, self.request_id, after) as answer,
            aclosing(events_of(answer)) as parts,
        ):
            async for part in parts:
                yield part


class ModelDispatcher:
    """Runs model requests on engines."""

    def __init__(
        self,
        engines: HttpEngines,
        leases: LeaseTask,
        claimer: Claimer,
        budgets: RetryBudgets,
        tracing: Tracing,
        metrics: Metrics,
        journal: Journal,
        guard: ContentGuard,
    ) -> None:
        self.engines = engines
        self.guard = guard
        self.leases = leases
        self.claimer = claimer
        self.budgets = budgets
        self.tracing = tracing
        self.metrics = metrics
        self.journal = journal

    async def events(
        self, request: ModelRequest, progress: Progress, span: Span
    ) -> AsyncGenerator[Events, None]:
        """Yield the answer's events; raises `Refused` when it cannot be completed."""
        run = guarded_run(request.envelope, "POST", request.path, request.body)
        async with self.claimer.guarded(request.envelope, progress, span):
            try:
                attempts = self.attempts(request, progress, span, run)
                async with aclosing(attempts) as events:
                    async for part in events:
                        yield part
                self.guard.answered(run.content)
            finally:
                self.guard.leave(run)

    async def attempts(
        self, request: ModelRequest, progress: Progress, span: Span, run: GuardedRun
    ) -> AsyncGenerator[Events, None]:
        """Yield events from one engine after another until the answer is whole."""
        budget = self.budgets.of(request.pool.name)
        budget.first_attempt()
        while True:
            # An engine's end also counts against the request, which would else end one
            # engine after the other.
            await self.guard.settled(run, PROBE_WAIT_S)
            self.guard.refuse_held(run)
            use = await self.obtain(request, span)
            if not await self.guard.may_run(run):
                continue
            # A process that was frozen must not act on a claim that may have expired.
            if self.leases.clock.monotonic() >= request.envelope.deadline:
                raise Refused(too_late(progress))
            if not self.leases.begin(use):
                continue
            progress.begin_attempt()
            began = self.leases.clock.monotonic()
            try:
                async with aclosing(self.run_on(use, request, progress, span)) as parts:
                    async for part in parts:
                        yield part
                return
            except TargetError as error:
                target = self.leases.targets.get(use.target)
                if not error.proves_not_run and target is not None:
                    ran_s = (self.leases.clock.monotonic() - began).total_seconds()
                    self.guard.broke(run, target, 0, ran_s)
                run.may_have_run = run.may_have_run or not error.proves_not_run
                self.after_failure(request, use, progress, error, budget)
            finally:
                self.leases.end(use)

    async def obtain(self, request: ModelRequest, parent: Span) -> Use:
        """Obtain a lease on an engine that holds the adapter."""
        envelope = request.envelope
        leased = self.leases.best(request.adapter)
        if leased is not None:
            return leased
        with self.tracing.child_span("wait for adapter", parent):
            found = await self.leases.obtain(
                request.pool.name, request.adapter, envelope.deadline
            )
        if not isinstance(found, Success):
            raise Refused(found.failure())
        obtained: Use = found.unwrap()
        return obtained

    async def run_on(
        self, use: Use, request: ModelRequest, progress: Progress, parent: Span
    ) -> AsyncGenerator[Events, None]:
        """Yield events from one engine; have it stop if they are not all wanted."""
        address = self.leases.targets[use.target].address
        request_id = run_id(request, progress)
        finished = False
        with self.tracing.child_span("engine", parent) as span:
            span.set_attribute("engine", use.target)
            self.journal.record(
                request.envelope.request_id,
                "dispatched",
                engine=use.target,
                attempt=progress.attempts,
            )
            run = EngineRun(
                self.engines, address, request_id, request, self.tracing.propagation_headers(span)
            )
            try:
                async with aclosing(self.unbroken(run, progress)) as parts:
                    async for part in parts:
                        yield part
                finished = True
            except TargetError as error:
                finished = error.proves_not_run
                raise
            finally:
                if not finished:
                    await asyncio.shield(self.engines.cancel(address, request_id))

    async def unbroken(
        self, run: EngineRun, progress: Progress
    ) -> AsyncGenerator[Events, None]:
        """Yield the events of one run, opening its stream again when it breaks."""
        resumes = 0
        source = run.start()
        while True:
            try:
                async with aclosing(source) as parts:
                    async for part in parts:
                        check_order(part, progress.last_event)
                        progress.last_event = part.last_id or progress.last_event
                        yield part
                        if part.done:
                            return
                raise TargetError(TargetFault.BROKEN, "the stream ended early")
            except TargetError as error:
                resumes += 1
                if error.proves_not_run or resumes > MAX_RESUMES:
                    raise
                self.metrics.resumes.inc({"pool": run.request.pool.name})
                log.info("stream resumed", extra={"error": str(error)})
                await asyncio.sleep(RESUME_PAUSE_S * resumes)
                source = run.resume(progress.last_event)

    def after_failure(
        self,
        request: ModelRequest,
        use: Use,
        progress: Progress,
        error: TargetError,
        budget: RetryBudget,
    ) -> None:
        """Permit another attempt by returning, or raise the request's failure."""
        self.journal.record(
            request.envelope.request_id, "failed", engine=use.target, error=str(error)
        )
        progress.end_attempt(error.proves_not_run)
        if error.fault is TargetFault.NOT_LOADED:
            self.leases.table.drop(use)
            progress.not_loaded += 1
            if progress.not_loaded <= MAX_NOT_LOADED:
                return
        else:
            self.leases.avoid(use.target)
        is_repeatable = not request.envelope.key and not progress.last_event
        may_retry = error.proves_not_run or is_repeatable
        if may_retry and budget.spend(progress.attempts):
            self.metrics.retries.inc({"pool": request.pool.name})
            return
        raise Refused(refusal_of(error, progress))


def run_id(request: ModelRequest, progress: Progress) -> str:
    """Return the id of one run on an engine.

    It is unlike any other's, since callers may choose one request id twice.
    """
    nonce = f"{getrandbits(64):016x}"
    return f"{request.envelope.request_id}.{progress.attempts}-{nonce}"


def check_order(part: Events, last: int) -> None:
    """Refuse events that leave a gap or repeat what was passed on."""
    if part.first_id and part.first_id != last + 1:
        detail = f"event {part.first_id} after {last}"
        raise TargetError(TargetFault.BROKEN, detail)


def wrong_adapter(ran: str | None) -> Refusal:
    """Return the refusal of an answer by another adapter than the one named."""
    text = f"the engine ran {ran!r} instead of the adapter that was named"
    return Refusal(Reason.WRONG_ADAPTER, Outcome.RAN, text)


def refusal_of(error: TargetError, progress: Progress) -> Refusal:
    """Return the final answer after a failed attempt that is not repeated."""
    if progress.last_event:
        return Refusal(Reason.ANSWER_LOST, Outcome.RAN, f"answer lost: {error}")
    if progress.may_have_run:
        text = f"the engine's answer was lost: {error}"
        return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, text)
    reason = Reason.TARGET_REFUSED
    if error.fault is TargetFault.NOT_SENT:
        reason = Reason.TARGET_UNREACHABLE
    return not_run(reason, f"no engine took the request: {error}", TARGET_RETRY_AFTER)
