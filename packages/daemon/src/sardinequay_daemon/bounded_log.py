"""Structured logs on standard output that never block and are bounded in rate and size.

Each line is one JSON object. Lines above the rate limit, and lines that a slow reader
does not read in time, are dropped and counted; a separate line reports the count. A
line that is too long is replaced by a short one.
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
MAX_ERROR_LINES_PER_S = 20.0
MAX_BURST_ERROR_LINES = 200.0
"""Errors have a rate of their own, so that other lines do not displace them."""

MAX_LINE_BYTES = 16_384
MAX_SHOWN_CHARS = 500
MAX_SHOWN_TRACEBACK_CHARS = 1500
"""What is kept of a text, and of the end of a traceback, in a line that is too long."""

MAX_PENDING_BYTES = 1_048_576
"""Bytes that may be queued for a slow reader: some seconds of a busy host's lines."""


class LineRate:
    """Rate limit of log lines (token bucket)."""

    def __init__(self, clock: Clock, lines_per_s: float, burst_lines: float) -> None:
        self.clock = clock
        self.lines_per_s = lines_per_s
        self.burst_lines = burst_lines
        self.tokens = burst_lines
        self.refilled_at = clock.monotonic()

    def admits(self) -> bool:
        """Return whether a line is within the rate, and count it."""
        now = self.clock.monotonic()
        earned = (now - self.refilled_at).total_seconds() * self.lines_per_s
        self.tokens = min(self.burst_lines, self.tokens + earned)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


class NonBlockingLogHandler(logging.Handler):
    """Log handler that writes to a non-blocking descriptor and drops excess lines."""

    def __init__(self, clock: Clock, descriptor: int) -> None:
        super().__init__()
        self.descriptor = descriptor
        self.pending_lines: deque[bytes] = deque()
        self.pending_bytes = 0
        self.rate = LineRate(clock, MAX_LINES_PER_S, MAX_BURST_LINES)
        self.error_rate = LineRate(clock, MAX_ERROR_LINES_PER_S, MAX_BURST_ERROR_LINES)
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
        """Return whether a line is within its rate limit and the queue has room."""
        if self.pending_bytes > MAX_PENDING_BYTES:
            return False
        is_error = record.levelno >= logging.ERROR
        return (self.error_rate if is_error else self.rate).admits()

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
        if len(line) > MAX_LINE_BYTES:
            line = self.format(shortened(record, len(line))).encode() + b"\n"
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


def shortened(record: logging.LogRecord, size: int) -> logging.LogRecord:
    """Return a short record in place of one whose line is too long.

    Parameters
    ----------
    size : int
        Bytes of that line.
    """
    short = logging.LogRecord(
        record.name,
        record.levelno,
        record.pathname,
        record.lineno,
        record.getMessage()[:MAX_SHOWN_CHARS],
        None,
        None,
    )
    short.cut_from_bytes = size
    if hasattr(record, "request"):
        short.request = str(record.request)[:MAX_SHOWN_CHARS]
    if record.exc_info:
        traceback_text = logging.Formatter().formatException(record.exc_info)
        short.exc_info_end = traceback_text[-MAX_SHOWN_TRACEBACK_CHARS:]
    return short


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
