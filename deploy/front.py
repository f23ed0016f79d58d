"""Starts a front machine's program from the project's current sources."""

import gc
import os
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
SOURCES = ("packages/core/src", "packages/daemon/src", "platform/src")
# Hosts here speak no TLS. Without this, importing the HTTP library reads all authority
# certificates of the machine into memory.
os.environ["SSL_CERT_FILE"] = os.environ["SSL_CERT_DIR"] = os.devnull
# What imports create stays, so looking for garbage in it is in vain.
gc.disable()
sys.path[:1] = [str(ROOT / source) for source in SOURCES]

from sardinequay_daemon.system_clock import SystemClock  # noqa: E402

BEGAN = SystemClock().monotonic()
"""Read before the imports that take long."""

from sardinequay_platform.__main__ import main  # noqa: E402

gc.freeze()
gc.enable()

if __name__ == "__main__":
    sys.exit(main(BEGAN))
