"""Structured logs on standard error: bounded, and one JSON object per line."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

from sardinequay_core.clock import Clock

from .bounded_log import NonBlockingLogHandler

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure_logging(level: str, host_id: str, clock: Clock) -> NonBlockingLogHandler:
    """Send all logs to standard error as JSON, with the host id in each line.

    Returns
    -------
    NonBlockingLogHandler
        The log handler; its queued lines must be written periodically.
    """
    handler = NonBlockingLogHandler(clock, sys.stderr.fileno())
    handler.setFormatter(
        JsonFormatter(
            FIELDS, rename_fields=RENAMED_FIELDS, static_fields={"host": host_id}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
    return handler
