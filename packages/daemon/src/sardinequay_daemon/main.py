"""The entry point of ``sardinequayd``."""

import argparse
import asyncio
import logging
import os
import signal
import sys
from pathlib import Path
from random import Random, SystemRandom

from returns.result import Success

from .bounded_log import NonBlockingLogHandler
from .errors import StartError
from .host import Host
from .logs import configure_logging
from .mailbox import run_periodically
from .settings import Settings
from .settings_check import read_settings
from .system_clock import SystemClock
from .tracing import Tracing

EXIT_OK = 0
EXIT_BAD_SETTINGS = 2
LOG_FLUSH_S = 0.5
"""Period at which lines that wait for a slow reader are written, in seconds."""

log = logging.getLogger(__name__)


def make_parser() -> argparse.ArgumentParser:
    """Return the parser of the command line arguments."""
    parser = argparse.ArgumentParser(
        prog="sardinequayd", description="Serve LoRA adapters on this entry host."
    )
    parser.add_argument("settings", type=Path, help="the settings file, in JSON")
    parser.add_argument(
        "--check", action="store_true", help="check the settings and exit"
    )
    return parser


async def serve(
    settings: Settings, clock: SystemClock, output: NonBlockingLogHandler
) -> None:
    """Run one host until SIGTERM or SIGINT."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop.set)
    tracing = Tracing(settings.traces, settings.host_id)
    flushing = asyncio.create_task(run_periodically(LOG_FLUSH_S, output.write_pending))
    try:
        # Requests draw random numbers often, so only the seed comes from the system.
        random = Random(SystemRandom().getrandbits(128))
        await Host(settings, clock, random, tracing).run(stop)
    finally:
        flushing.cancel()
        tracing.shutdown()


def main() -> int:
    """Run the daemon; return its exit code."""
    arguments = make_parser().parse_args()
    settings_result = read_settings(arguments.settings)
    if not isinstance(settings_result, Success):
        print(f"sardinequayd: {settings_result.failure()}", file=sys.stderr)
        return EXIT_BAD_SETTINGS
    settings = settings_result.unwrap()
    if arguments.check:
        print("settings are good")
        return EXIT_OK
    clock = SystemClock()
    output = configure_logging(settings.logs.level, settings.host_id, clock)
    try:
        asyncio.run(serve(settings, clock, output))
    except StartError as error:
        print(f"sardinequayd: {error}", file=sys.stderr)
        return error.exit_code
    finally:
        os.set_blocking(output.descriptor, True)
        output.write_pending()
    return EXIT_OK


if __name__ == "__main__":
    sys.exit(main())
