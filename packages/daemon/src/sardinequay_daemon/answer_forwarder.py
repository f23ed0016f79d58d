"""Passes a target's answer on to its caller while it arrives."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from contextlib import aclosing

import aiohttp

from sardinequay_core.byte_budget import AnswerReading
from sardinequay_core.clock import Clock

from .errors import TargetError, TargetFault
from .exchange import AnswerHead, AnswerSink, RelayExchange
from .server_sent_events import EventBatch
from .strict_connector import StrictResponseHandler
from .target_errors import TargetErrorTranslator
from .target_stream import Framing, framing_of, is_event_stream, read_events
from .upstream import MAX_BUFFERED_BYTES

log = logging.getLogger(__name__)


class AnswerForwarder:
    """Passes on the answer of one attempt.

    Parameters
    ----------
    on_first_event : callable
        Called before the first event of a stream is passed on.
    """

    def __init__(
        self,
        exchange: RelayExchange,
        answer: aiohttp.ClientResponse,
        sink: AnswerSink,
        clock: Clock,
        on_first_event: Callable[[], Awaitable[None]],
    ) -> None:
        self.exchange = exchange
        self.answer = answer
        self.sink = sink
        self.clock = clock
        self.on_first_event = on_first_event
        self.has_first_event = False
        self.passed_on_bytes = 0
        self.reading = reading_of(answer)

    def held_bytes(self) -> int:
        """Return how many bytes came from the target and were not passed on."""
        return self.answer.content.total_bytes - self.passed_on_bytes

    def is_open(self) -> bool:
        """Return whether the target has not sent all of the answer."""
        return not self.answer.content.is_eof()

    async def forward(self) -> None:
        """Pass the answer on.

        Raises
        ------
        TargetError
            If the answer breaks off, or does not continue the one that has begun. The
            fault is `UNREAD` if the caller was too slow for the target.
        """
        held = self.exchange.connection_bytes
        if held is not None:
            held.answer = self
        try:
            await self.forward_by_kind()
        except TargetError as error:
            if error.fault is TargetFault.BROKEN and self.has_ended_unread():
                raise TargetError(TargetFault.UNREAD, error.detail) from error
            raise
        finally:
            if held is not None:
                held.answer = None

    def has_ended_unread(self) -> bool:
        """Return whether the target ended the answer while its caller held it up."""
        content = self.answer.content
        is_at_end = content.exception() is not None or content.at_eof()
        return is_at_end and self.reading is not None and self.reading.ended_unread

    async def forward_by_kind(self) -> None:
        """Pass a stream on by events, and any other answer as it comes."""
        if self.exchange.route.repetition.is_stream and is_event_stream(self.answer):
            await self.forward_events()
        elif self.exchange.answer_started:
            detail = f"no stream of events to go on with: {self.answer.status}"
            raise TargetError(TargetFault.BROKEN, detail)
        else:
            await self.forward_body()

    async def forward_head(self) -> None:
        """Pass the answer's head on, unless an earlier attempt has passed one on."""
        if not self.exchange.answer_started:
            await self.sink.begin_answer(AnswerHead(self.answer.status, self.answer))
            self.exchange.answer_started = True

    async def forward_body(self) -> None:
        """Pass a plain answer on: in one piece if it is small, else in chunks.

        A small answer is buffered, so that the caller gets nothing of it if it breaks
        off and another target may still answer.
        """
        chunks: list[bytes] = []
        size = 0
        while data := await self.read_chunk():
            chunks.append(data)
            size += len(data)
            if size > MAX_BUFFERED_BYTES:
                await self.forward_head()
                await self.pass_on(b"".join(chunks))
                chunks.clear()
        await self.forward_head()
        await self.pass_on(b"".join(chunks))

    async def pass_on(self, data: bytes) -> None:
        """Pass bytes on; from then on they are held for the caller, not the target."""
        self.passed_on_bytes += len(data)
        await self.sink.write_body(data)

    async def forward_events(self) -> None:
        """Pass a stream on in whole events; what is unfinished is dropped."""
        async with aclosing(read_events(self.answer, self.read_chunk)) as batches:
            async for batch in batches:
                await self.forward_batch(batch)
        await self.forward_head()
        if framing_of(self.answer) is Framing.CONNECTION:
            self.log_end_by_connection()

    async def forward_batch(self, batch: EventBatch) -> None:
        """Pass whole events on, and keep the id to resume the stream after."""
        if not self.has_first_event:
            self.has_first_event = True
            await self.on_first_event()
        if batch.resume_after is not None:
            self.exchange.last_event = batch.resume_after
            self.exchange.can_resume = bool(batch.resume_after)
        await self.forward_head()
        await self.pass_on(batch.data)

    def log_end_by_connection(self) -> None:
        """Log that only the end of a connection tells that a stream is whole."""
        log.info(
            "stream ended with its connection",
            extra={
                "request": self.exchange.terms.request_id,
                "last_event": self.exchange.last_event,
            },
        )

    async def read_chunk(self) -> bytes:
        """Return the next chunk of the answer's body; empty at the end.

        Raises
        ------
        TargetError
            If the connection breaks or the request's deadline passes.
        """
        left_s = self.exchange.time_left(self.clock.monotonic()).total_seconds()
        try:
            async with asyncio.timeout(max(0.0, left_s)):
                with TargetErrorTranslator():
                    return await self.answer.content.readany()
        except TimeoutError as error:
            detail = "the request's time is over"
            raise TargetError(TargetFault.SILENT, detail) from error


def reading_of(answer: aiohttp.ClientResponse) -> AnswerReading | None:
    """Return when an answer is read; None if all of it came with its head."""
    connection = answer.connection
    protocol = connection.protocol if connection is not None else None
    return protocol.reading if isinstance(protocol, StrictResponseHandler) else None
