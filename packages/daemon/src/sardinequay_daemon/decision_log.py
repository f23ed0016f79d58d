"""Structured logs on standard output that never block and are bounded.

Each line is one JSON object. Lines beyond a rate, and lines that a slow reader does not
take, are counted and left out; the count is told in a line of its own.
"""

import logging
import os
import sys
from collections import deque

from pythonjsonlogger.json import JsonFormatter

from sardinequay_core.clock import Clock

FIELDS = "%(asctime)s %(levelname)s %(message)s"
RENAMED = {"asctime": "time", "levelname": "level", "message": "event"}

MAX_LINES_PER_S = 400.0
"""Ten lines for each of the forty requests a second that a busy host serves."""

MAX_BURST_LINES = 800.0
MAX_WAITING_BYTES = 1_048_576
"""What may wait for a slow reader; some seconds of a busy host's lines."""


class BoundedOutput(logging.Handler):
    """Writes lines to a file descriptor without ever waiting for it."""

    def __init__(self, clock: Clock, descriptor: int) -> None:
        super().__init__()
        self.clock = clock
        self.descriptor = descriptor
        self.waiting: deque[bytes] = deque()
        self.waiting_bytes = 0
        self.permits = MAX_BURST_LINES
        self.refilled_at = clock.monotonic()
        self.left_out = 0
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Queue a line and write what the descriptor takes."""
        if not self.may_write(record):
            self.left_out += 1
            return
        if self.left_out:
            left_out, self.left_out = self.left_out, 0
            self.put(self.note(left_out))
        self.put(record)
        self.drain()

    def may_write(self, record: logging.LogRecord) -> bool:
        """Return whether a line is within the rate and the space."""
        now = self.clock.monotonic()
        earned = (now - self.refilled_at).total_seconds() * MAX_LINES_PER_S
        self.permits = min(MAX_BURST_LINES, self.permits + earned)
        self.refilled_at = now
        if self.waiting_bytes > MAX_WAITING_BYTES:
            return False
        if self.permits < 1 and record.levelno < logging.ERROR:
            return False
        self.permits -= 1
        return True

    def note(self, left_out: int) -> logging.LogRecord:
        """Return the line that tells how many were left out."""
        record = logging.LogRecord(
            "log", logging.WARNING, "", 0, "log lines left out", None, None
        )
        record.count = left_out
        return record

    def put(self, record: logging.LogRecord) -> None:
        """Queue one line."""
        line = self.format(record).encode() + b"\n"
        self.waiting.append(line)
        self.waiting_bytes += len(line)

    def drain(self) -> None:
        """Write waiting lines until the descriptor takes no more."""
        while self.waiting:
            line = self.waiting[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # Nobody reads any more, and there is nowhere left to say so.
                self.waiting.clear()
                self.waiting_bytes = 0
                return
            self.waiting_bytes -= written
            if written < len(line):
                self.waiting[0] = line[written:]
                return
            self.waiting.popleft()


def configure_output(clock: Clock, host_id: str, level: str = "INFO") -> BoundedOutput:
    """Send all logs to standard output as JSON, each line naming this host."""
    handler = BoundedOutput(clock, sys.stdout.fileno())
    handler.setFormatter(
        JsonFormatter(FIELDS, rename_fields=RENAMED, static_fields={"host": host_id})
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    for noisy in ("aiohttp.access", "aiohttp.server", "asyncio"):
        logging.getLogger(noisy).setLevel(logging.ERROR)
    return handler
