#!/bin/sh
# Builds what the scripts of the cases start beside the project's programs: the
# project's own stand-ins. They are Python and run from their sources; compiling them
# shows that they are complete. Run it after the build of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 -m compileall -q packages/lab/src platform/lab review
PYTHONPATH=target/deps:packages/core/src:packages/daemon/src:packages/lab/src:platform/src:platform/lab \
    python3 -c "import sardinequay_platform_lab.store_standin, sardinequay_platform_lab.target_standin"
