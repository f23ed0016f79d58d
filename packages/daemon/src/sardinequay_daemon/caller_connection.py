"""A caller's connection whose bytes count against the byte budget."""

import asyncio
from typing import Any

from aiohttp import StreamReader

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.serving import CallerLimits

from .bounded_http import BoundedConnection, BoundedServer
from .byte_budget.connection_bytes import ConnectionBytes, unread_bytes

IDLE_BEFORE_CLOSE = seconds(0.2)
"""A stopping host closes connections that have been idle for this time: several round
trips to any caller, so that requests on new connections are still read."""

WRITE_BUFFER_BYTES = 32_768
"""Unsent bytes up to which an answer's next part is written."""


class CallerConnection(BoundedConnection):
    """Protocol of a caller's connection that tracks what the caller makes it hold."""

    def __init__(self, server: BoundedServer, **options: Any) -> None:
        super().__init__(server, **options)
        self.bytes = ConnectionBytes(server.clock.monotonic())

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Bound what a caller that does not read makes this host hold."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        super().connection_made(transport)

    def begin_request(self, content: StreamReader) -> None:
        """Record that the handler of a request begins."""
        super().begin_request(content)
        self.bytes.begin_request(self.server.clock.monotonic())

    def end_request(self) -> None:
        """Record that the answer is complete."""
        self.bytes.deadline = None

    def input_bytes(self) -> int:
        """Return what has come of the caller that no handler has been given."""
        held_bytes = self.framer.pending_bytes
        if self.transport is None or not (self.is_held or self.is_parser_full):
            return held_bytes
        return held_bytes + unread_bytes(self.transport)

    def is_idle(self, now: Instant) -> bool:
        """Return whether no request was handled or received for `IDLE_BEFORE_CLOSE`."""
        since = self.idle_since
        return (
            since is not None
            and self.head_began_at is None
            and now - since > IDLE_BEFORE_CLOSE
        )

    def is_overdue(self, limits: CallerLimits, now: Instant) -> bool:
        """Return whether the caller exceeds the header timeout or the idle timeout."""
        if self.head_began_at is None and self.idle_since is not None:
            # The rest of an answer may take its caller longer than the timeout.
            taken_at = max(self.idle_since, self.bytes.progress_at)
            return now - taken_at > limits.idle_timeout
        return super().is_overdue(limits, now)
