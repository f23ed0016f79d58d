"""Structured logs on standard output that never block and are bounded in rate and size.

Each line is one JSON object. Lines above the rate limit, and lines that a slow reader
does not read in time, are dropped and counted; a separate line reports the count.
"""

import logging
import os
import sys
from collections import deque

from pythonjsonlogger.json import JsonFormatter

from sardinequay_core.clock import Clock

FIELDS = "%(asctime)s %(levelname)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "message": "event"}

MAX_LINES_PER_S = 400.0
"""Ten lines for each of the forty requests a second that a busy host serves."""

MAX_BURST_LINES = 800.0
MAX_PENDING_BYTES = 1_048_576
"""Bytes that may be queued for a slow reader: some seconds of a busy host's lines."""


class NonBlockingLogHandler(logging.Handler):
    """Log handler that writes to a non-blocking descriptor and drops excess lines."""

    def __init__(self, clock: Clock, descriptor: int) -> None:
        super().__init__()
        self.clock = clock
        self.descriptor = descriptor
        self.pending_lines: deque[bytes] = deque()
        self.pending_bytes = 0
        self.rate_tokens = MAX_BURST_LINES
        self.refilled_at = clock.monotonic()
        self.left_out_lines = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write as much as the descriptor accepts."""
        if not self.may_write(record):
            self.left_out_lines += 1
            return
        if self.left_out_lines:
            left_out, self.left_out_lines = self.left_out_lines, 0
            self.enqueue(self.left_out_record(left_out))
        self.enqueue(record)
        self.write_pending()

    def may_write(self, record: logging.LogRecord) -> bool:
        """Return whether a line is within the rate limit and the queue has room.

        Errors are exempt from the rate limit.
        """
        now = self.clock.monotonic()
        earned_tokens = (now - self.refilled_at).total_seconds() * MAX_LINES_PER_S
        self.rate_tokens = min(MAX_BURST_LINES, self.rate_tokens + earned_tokens)
        self.refilled_at = now
        if self.pending_bytes > MAX_PENDING_BYTES:
            return False
        if self.rate_tokens < 1 and record.levelno < logging.ERROR:
            return False
        self.rate_tokens -= 1
        return True

    def left_out_record(self, left_out: int) -> logging.LogRecord:
        """Return the log record that reports how many lines were dropped."""
        record = logging.LogRecord(
            "log", logging.WARNING, "", 0, "log lines left out", None, None
        )
        record.count = left_out
        return record

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        line = self.format(record).encode() + b"\n"
        self.pending_lines.append(line)
        self.pending_bytes += len(line)

    def write_pending(self) -> None:
        """Write queued lines until the descriptor accepts no more."""
        while self.pending_lines:
            line = self.pending_lines[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged either.
                self.pending_lines.clear()
                self.pending_bytes = 0
                return
            self.pending_bytes -= written
            if written < len(line):
                self.pending_lines[0] = line[written:]
                return
            self.pending_lines.popleft()


def configure_bounded_logging(
    clock: Clock, host_id: str, level: str = "INFO"
) -> NonBlockingLogHandler:
    """Send all logs to standard output as JSON, with the host id in each line."""
    handler = NonBlockingLogHandler(clock, sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(
            FIELDS, rename_fields=RENAMED_FIELDS, static_fields={"host": host_id}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("aiohttp.access", "aiohttp.server", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.ERROR)
    return handler
