"""Structured logs on standard error: one JSON object per line."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

FIELDS = "%(asctime)s %(levelname)s %(name)s %(message)s"
RENAMED_FIELDS = {"asctime": "time", "levelname": "level", "name": "logger"}


def configure_logging(level: str, host_id: str) -> None:
    """Send all logs to standard error as JSON, with the host id in each line."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        JsonFormatter(
            FIELDS, rename_fields=RENAMED_FIELDS, static_fields={"host": host_id}
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("aiohttp.access").setLevel(logging.WARNING)
