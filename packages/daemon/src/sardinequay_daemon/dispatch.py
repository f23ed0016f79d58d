"""Dispatch of model requests, with resumed streams and retries where they are safe.

Once bytes were sent to an engine, another engine is tried only if the first one's
answer proves that it has not run the request, or if the request may be repeated and no
part of its answer was passed on.
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
from sardinequay_core.leases import AdapterUse
from sardinequay_core.names import Address, PoolName
from sardinequay_core.outcome import Outcome, Reason, Refusal, not_run_refusal

from .caller_requests import ModelRequest, make_guarded_request
from .claimer import Claimer
from .engine_client import EngineRequest, HttpEngineClient
from .errors import TargetError, TargetFault
from .journal import Journal
from .metrics import Metrics
from .progress import Progress, RequestRefusedError, deadline_refusal
from .quarantine.guard import MAX_PROBE_WAIT_S, FeatureGuard
from .quarantine.guarded_request import GuardedRequest
from .server_sent_events import EventBatch
from .target_stream import read_events
from .tracing import Tracing
from .use_lease_task import UseLeaseTask

MAX_RESUMES = 3
RESUME_PAUSE_S = 0.05
MAX_NOT_LOADED = 5
"""Engines that may answer "not loaded" in turn before a request is refused."""
TARGET_RETRY_AFTER = timedelta(seconds=1)
ADAPTER_HEADER = "X-Adapter"
log = logging.getLogger(__name__)


class RetryBudgets:
    """Retry budgets by pool."""

    def __init__(self, policy: RetryPolicy) -> None:
        self.policy = policy
        self.budgets: dict[PoolName, RetryBudget] = {}

    def for_pool(self, pool: PoolName) -> RetryBudget:
        """Return a pool's retry budget, created on first use."""
        return self.budgets.setdefault(pool, RetryBudget(self.policy))


@dataclass(frozen=True, slots=True)
class EngineRun:
    """One run of a request on an engine, whose event stream can be resumed."""

    engines: HttpEngineClient
    address: Address
    request_id: str
    request: ModelRequest
    trace_headers: dict[str, str]

    async def start(self) -> AsyncGenerator[EventBatch, None]:
        """Send the request and yield the answer's events."""
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
        async with self.engines.send_request(self.address, message) as answer:
            ran = answer.headers.get(ADAPTER_HEADER)
            if ran != str(self.request.adapter):
                raise RequestRefusedError(wrong_adapter_refusal(ran))
            async with aclosing(read_events(answer)) as event_batches:
                async for event_batch in event_batches:
                    yield event_batch

    async def resume(self, after: int) -> AsyncGenerator[EventBatch, None]:
        """Reopen the event stream and yield the events after a given number."""
        async with (
            self.engines.resume_stream(self.address, self.request_id, after) as answer,
            aclosing(read_events(answer)) as event_batches,
        ):
            async for event_batch in event_batches:
                yield event_batch


class ModelDispatcher:
    """Runs model requests on engines."""

    def __init__(
        self,
        engines: HttpEngineClient,
        leases: UseLeaseTask,
        claimer: Claimer,
        budgets: RetryBudgets,
        tracing: Tracing,
        metrics: Metrics,
        journal: Journal,
        guard: FeatureGuard,
    ) -> None:
        self.engines = engines
        self.guard = guard
        self.leases = leases
        self.claimer = claimer
        self.budgets = budgets
        self.tracing = tracing
        self.metrics = metrics
        self.journal = journal

    async def stream_events(
        self, request: ModelRequest, progress: Progress, span: Span
    ) -> AsyncGenerator[EventBatch, None]:
        """Yield the answer's events.

        Raises
        ------
        RequestRefusedError
            If the answer cannot be completed.
        """
        guarded_request = make_guarded_request(
            request.envelope, "POST", request.path, request.body, request.parts
        )
        async with self.claimer.hold_claim(request.envelope, progress, span):
            try:
                attempts = self.events_with_retries(
                    request, progress, span, guarded_request
                )
                async with aclosing(attempts) as events:
                    async for event_batch in events:
                        yield event_batch
                self.guard.record_answer(guarded_request)
            finally:
                self.guard.release_permit(guarded_request)

    async def events_with_retries(
        self,
        request: ModelRequest,
        progress: Progress,
        span: Span,
        guarded_request: GuardedRequest,
    ) -> AsyncGenerator[EventBatch, None]:
        """Yield events, trying engine after engine until the answer is complete."""
        budget = self.budgets.for_pool(request.pool.name)
        budget.record_first_attempt()
        while True:
            # The end of the last engine's process also counts against the request,
            # which could otherwise crash one engine after another.
            await self.guard.wait_for_end_check(guarded_request, MAX_PROBE_WAIT_S)
            self.guard.refuse_if_held(guarded_request)
            use = await self.obtain_lease(request, span)
            if not await self.guard.may_run(guarded_request):
                continue
            # If this process was suspended, its claim on the idempotency key may have
            # expired; then the request must not be sent.
            if self.leases.clock.monotonic() >= request.envelope.deadline:
                raise RequestRefusedError(deadline_refusal(progress))
            if not self.leases.begin_request(use):
                continue
            progress.begin_attempt()
            began = self.leases.clock.monotonic()
            try:
                async with aclosing(
                    self.run_on_engine(use, request, progress, span)
                ) as event_batches:
                    async for event_batch in event_batches:
                        yield event_batch
                return
            except TargetError as error:
                target = self.leases.targets.get(use.target)
                if not error.proves_not_run and target is not None:
                    ran_s = (self.leases.clock.monotonic() - began).total_seconds()
                    self.guard.handle_broken_connection(
                        guarded_request, target, 0, ran_s
                    )
                guarded_request.may_have_run = (
                    guarded_request.may_have_run or not error.proves_not_run
                )
                self.after_failure(request, use, progress, error, budget)
            finally:
                self.leases.end_request(use)

    async def obtain_lease(self, request: ModelRequest, parent: Span) -> AdapterUse:
        """Obtain a use lease on an engine that holds the adapter."""
        envelope = request.envelope
        leased = self.leases.best_lease(request.adapter)
        if leased is not None:
            return leased
        with self.tracing.child_span("wait for adapter", parent):
            found = await self.leases.obtain_lease(
                request.pool.name, request.adapter, envelope.deadline
            )
        if not isinstance(found, Success):
            raise RequestRefusedError(found.failure())
        obtained: AdapterUse = found.unwrap()
        return obtained

    async def run_on_engine(
        self, use: AdapterUse, request: ModelRequest, progress: Progress, parent: Span
    ) -> AsyncGenerator[EventBatch, None]:
        """Yield events from one engine; cancel the run there if it is left early."""
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
                self.engines,
                address,
                request_id,
                request,
                self.tracing.propagation_headers(span),
            )
            try:
                async with aclosing(
                    self.events_with_resume(run, progress)
                ) as event_batches:
                    async for event_batch in event_batches:
                        yield event_batch
                finished = True
            except TargetError as error:
                finished = error.proves_not_run
                raise
            finally:
                if not finished:
                    await asyncio.shield(self.engines.cancel(address, request_id))

    async def events_with_resume(
        self, run: EngineRun, progress: Progress
    ) -> AsyncGenerator[EventBatch, None]:
        """Yield the events of one run, resuming its stream if the connection breaks."""
        resumes = 0
        source = run.start()
        while True:
            try:
                async with aclosing(source) as event_batches:
                    async for event_batch in event_batches:
                        check_event_order(event_batch, progress.last_event)
                        progress.last_event = event_batch.last_id or progress.last_event
                        yield event_batch
                        if event_batch.done:
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
        use: AdapterUse,
        progress: Progress,
        error: TargetError,
        budget: RetryBudget,
    ) -> None:
        """Return if another attempt is permitted, else raise the request's failure."""
        self.journal.record(
            request.envelope.request_id, "failed", engine=use.target, error=str(error)
        )
        progress.end_attempt(error.proves_not_run)
        if error.fault is TargetFault.NOT_LOADED:
            self.leases.lease_table.return_lease(use)
            progress.not_loaded += 1
            if progress.not_loaded <= MAX_NOT_LOADED:
                return
        else:
            self.leases.avoid_target(use.target)
        is_repeatable = not request.envelope.key and not progress.last_event
        may_retry = error.proves_not_run or is_repeatable
        if may_retry and budget.try_spend(progress.attempts):
            self.metrics.retries.inc({"pool": request.pool.name})
            return
        raise RequestRefusedError(final_engine_refusal(error, progress))


def run_id(request: ModelRequest, progress: Progress) -> str:
    """Return a unique id for one run on an engine.

    The request id alone is not unique, since callers may use one twice.
    """
    nonce = f"{getrandbits(64):016x}"
    return f"{request.envelope.request_id}.{progress.attempts}-{nonce}"


def check_event_order(event_batch: EventBatch, last: int) -> None:
    """Raise `TargetError` if events leave a gap or repeat ones that were passed on."""
    if event_batch.first_id and event_batch.first_id != last + 1:
        detail = f"event {event_batch.first_id} after {last}"
        raise TargetError(TargetFault.BROKEN, detail)


def wrong_adapter_refusal(ran: str | None) -> Refusal:
    """Return the refusal of an answer that another adapter produced."""
    text = f"the engine ran {ran!r} instead of the adapter that was named"
    return Refusal(Reason.WRONG_ADAPTER, Outcome.RAN, text)


def final_engine_refusal(error: TargetError, progress: Progress) -> Refusal:
    """Return the refusal after a failed attempt that is not retried."""
    if progress.last_event:
        return Refusal(Reason.ANSWER_LOST, Outcome.RAN, f"answer lost: {error}")
    if progress.may_have_run:
        text = f"the engine's answer was lost: {error}"
        return Refusal(Reason.TARGET_FAILED, Outcome.UNKNOWN, text)
    reason = Reason.TARGET_REFUSED
    if error.fault is TargetFault.NOT_SENT:
        reason = Reason.TARGET_UNREACHABLE
    return not_run_refusal(
        reason, f"no engine took the request: {error}", TARGET_RETRY_AFTER
    )
