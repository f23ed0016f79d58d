"""The files of a trial: keys, contents, bundles, the roster and settings."""

import json
import subprocess
import sys
from dataclasses import dataclass
from hashlib import sha256
from pathlib import Path
from typing import Any

from .plan import (
    BASE_MODEL,
    CALLER,
    ENGINE_POOL,
    OTHER_CALLER,
    SERVICE_POOL,
    SERVICE_PREFIX,
    TOKENS,
    Plan,
)

APPROVERS = ("ana", "bruno", "carla")
THRESHOLD = 2


def adapter_name(number: int) -> str:
    """Return the name of a trial's adapter."""
    return f"style-{number:05d}"


def contents(plan: Plan, versions: tuple[str, ...] = ("1",)) -> dict[str, Any]:
    """Return what a trial's bundle offers."""
    callers = [
        {"name": name, "token_sha256": sha256(token.encode()).hexdigest()}
        for name, token in TOKENS.items()
    ]
    pools = [
        {
            "name": ENGINE_POOL,
            "base_model": BASE_MODEL,
            "loads_per_s": plan.loads_per_s,
            "slots": plan.slots,
        },
        {"name": SERVICE_POOL},
    ]
    service = {"prefix": SERVICE_PREFIX, "pool": SERVICE_POOL, "callers": [CALLER]}
    adapters = [
        {
            "name": adapter_name(n),
            "base_model": BASE_MODEL,
            "pool": ENGINE_POOL,
            "versions": list(versions),
            "callers": [CALLER] if n else [CALLER, OTHER_CALLER],
        }
        for n in range(plan.adapters)
    ]
    base = {"callers": callers, "pools": pools, "services": [service]}
    return {"base": base, "adapters": adapters}


@dataclass(frozen=True, slots=True)
class Operator:
    """The operator of a trial, who works with the command alone."""

    directory: Path

    def command(self, *words: str | Path) -> dict[str, Any]:
        """Run ``sardinequay`` and return the document that it prints."""
        line = [sys.executable, "-m", "sardinequay_cli.main", "--json"]
        done = subprocess.run(
            line + [str(word) for word in words],
            capture_output=True,
            text=True,
            check=False,
        )
        if done.returncode:
            raise RuntimeError(f"{words}: {done.stdout}{done.stderr}")
        document: dict[str, Any] = json.loads(done.stdout)
        return document

    def key(self, name: str) -> Path:
        """Return where an approver's private key lies."""
        return self.directory / "keys" / f"{name}.pem"

    def make_keys(self) -> dict[str, str]:
        """Make all approvers' keys and return the public ones."""
        return {
            name: self.command("key", "make", self.key(name))["public_key"]
            for name in APPROVERS
        }

    def build(self, offered: dict[str, Any], version: int, name: str = "") -> Path:
        """Build a bundle and have two approvers sign it; return its root."""
        out = self.directory / "bundles" / (name or str(version))
        out.mkdir(parents=True, exist_ok=True)
        file = out / "contents.json"
        file.write_text(json.dumps(offered))
        self.command("bundle", "build", file, "--version", str(version), "--out", out)
        for approver in APPROVERS[:THRESHOLD]:
            self.sign(out / "root", approver)
        return out / "root"

    def sign(self, root: Path, approver: str) -> None:
        """Have one approver sign a root."""
        key = self.key(approver)
        self.command("bundle", "sign", root, "--key", key, "--key-id", approver)

    def roll(self, root: Path, settings: Path) -> None:
        """Roll a signed bundle."""
        publish = self.directory / "published"
        self.command(
            "bundle", "roll", root, "--settings", settings, "--publish", publish
        )
