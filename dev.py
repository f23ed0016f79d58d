"""Set up the development environment and run the project's main jobs.

Needs only Python 3.11 or newer with its `venv` module. Every verb first makes sure
that `.venv` holds the pinned dependencies and the packages of this workspace.
"""

import argparse
import hashlib
import os
import subprocess
import sys
import venv
from pathlib import Path

ROOT = Path(__file__).resolve().parent
VENV = ROOT / ".venv"
PYTHON = VENV / "bin" / "python"
MEMBERS = (
    "packages/core",
    "packages/daemon",
    "packages/cli",
    "packages/lab",
    "platform",
)
TOOLS = ("hypothesis", "import-linter", "mypy", "pytest", "pytest-asyncio", "ruff")
TEST_TOOLS = ("pytest-xdist", "syrupy")
TEST_PROCESSES = 3
"""Test files that run side by side. Most tests wait for hosts of their own. Tests that
need the machine to themselves run after them, one at a time."""
BUNDLE_DEMO = "sardinequay_lab.demo"
PLATFORM_DEMO = "sardinequay_platform_lab.demo"


def run(*command: str | Path, check: bool = True) -> int:
    """Run a command in the root folder and return its exit code."""
    arguments = [str(part) for part in command]
    env = {**os.environ, "PATH": f"{VENV / 'bin'}{os.pathsep}{os.environ['PATH']}"}
    done = subprocess.run(arguments, cwd=ROOT, env=env, check=False)
    if check and done.returncode:
        sys.exit(done.returncode)
    return done.returncode


def set_up() -> None:
    """Create `.venv` and install what the pins name, unless that is already done."""
    pins = (ROOT / "constraints.txt").read_bytes()
    projects = [ROOT / member / "pyproject.toml" for member in MEMBERS]
    wanted = hashlib.sha256(pins + b"".join(p.read_bytes() for p in projects))
    stamp = VENV / "installed"
    if stamp.exists() and stamp.read_text() == wanted.hexdigest():
        return
    venv.create(VENV, with_pip=True, symlinks=True, clear=True)
    pip = (PYTHON, "-m", "pip", "install", "-q", "-c", "constraints.txt")
    run(*pip, "setuptools", "wheel", *TOOLS, *TEST_TOOLS)
    editable = [part for member in MEMBERS for part in ("-e", member)]
    run(*pip, "--no-build-isolation", *editable)
    stamp.write_text(wanted.hexdigest())


def test() -> int:
    """Run formatter, linter, type checks, import contracts and all tests."""
    run(PYTHON, "-m", "ruff", "format", "--check", ".")
    run(PYTHON, "-m", "ruff", "check", ".")
    run(PYTHON, "-m", "mypy", *[f"{member}/src" for member in MEMBERS])
    run(VENV / "bin" / "lint-imports", "--no-cache")
    pytest = (PYTHON, "-m", "pytest", "-m")
    side_by_side = ("-n", str(TEST_PROCESSES), "--dist", "loadfile")
    together = run(*pytest, "not alone", *side_by_side, check=False)
    alone = run(*pytest, "alone", check=False)
    return together or alone


def demo(module: str, *words: str) -> int:
    """Run the whole system on loopback with real requests and show what happened.

    The demonstration takes this process's place, so that signals reach it.
    """
    os.chdir(ROOT)
    os.execv(PYTHON, [str(PYTHON), "-m", module, *words])


def main() -> int:
    """Run the verb that the command line names."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("verb", choices=("demo", "setup", "test"))
    parser.add_argument("--stay", action="store_true", help="keep the demo running")
    parser.add_argument(
        "--platform", action="store_true", help="the demo on the users' machines"
    )
    arguments = parser.parse_args()
    set_up()
    if arguments.verb == "demo":
        module = PLATFORM_DEMO if arguments.platform else BUNDLE_DEMO
        return demo(module, *(["--stay"] if arguments.stay else []))
    return test() if arguments.verb == "test" else 0


if __name__ == "__main__":
    sys.exit(main())
