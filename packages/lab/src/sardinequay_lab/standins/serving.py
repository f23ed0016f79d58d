"""What all stand-ins share: their arguments and their listener."""

import argparse
import os
from pathlib import Path

from aiohttp import web

FATAL = "fatal"
"""A target that begins to run a request with this word in its body ends."""

FATAL_EXIT = 70


def end_if_fatal(words: str) -> None:
    """End this process at once, with all that it runs, if a body says so."""
    if FATAL in words:
        os._exit(FATAL_EXIT)


def add_common_arguments(parser: argparse.ArgumentParser) -> None:
    """Add the arguments that every stand-in takes."""
    parser.add_argument("--listen", required=True, help="ip:port")
    parser.add_argument("--name", required=True)
    parser.add_argument("--history", type=Path)


def serve(app: web.Application, listen: str) -> None:
    """Serve an application until SIGTERM."""
    ip, _, port = listen.rpartition(":")
    web.run_app(
        app,
        host=ip,
        port=int(port),
        print=None,
        access_log=None,
        handler_cancellation=True,
        shutdown_timeout=0.5,
    )
