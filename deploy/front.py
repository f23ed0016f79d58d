"""Starts a front machine's program from the project's current sources."""

import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("packages/core/src", "packages/daemon/src", "platform/src")
sys.path[:1] = [str(ROOT / source) for source in SOURCES]

from sardinequay_daemon.system_clock import SystemClock  # noqa: E402

BEGAN = SystemClock().monotonic()
"""Read before the imports that take long."""

from sardinequay_platform.__main__ import main  # noqa: E402

if __name__ == "__main__":
    sys.exit(main(BEGAN))
