"""Errors of the daemon's layers; each turns those of the layer below.

Errors are no frozen data classes: the interpreter sets the traceback of an error on its
way out. Nothing else may change them.
"""

from dataclasses import dataclass
from enum import Enum

from aiohttp import ClientError


@dataclass(unsafe_hash=True)
class DaemonError(Exception):
    """Base of all errors of the daemon."""


@dataclass(unsafe_hash=True)
class SettingsError(DaemonError):
    """A field of the settings that is not as it must be."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value}; allowed: {self.allowed}"


@dataclass(unsafe_hash=True)
class PeerError(DaemonError):
    """A call to another entry host that got no answer."""

    address: str
    detail: str

    def __str__(self) -> str:
        return f"peer {self.address}: {self.detail}"


@dataclass(unsafe_hash=True)
class PlatformError(DaemonError):
    """A read of the platform's services that got no usable answer."""

    service: str
    detail: str
    is_history_gone: bool = False

    def __str__(self) -> str:
        return f"{self.service}: {self.detail}"


class ConnectionLostError(ClientError):
    """A connection that broke after a request went out and before an answer came."""


class TargetFault(Enum):
    """How a call to a target failed, as far as running is concerned."""

    NOT_SENT = "not_sent"
    NOT_LOADED = "not_loaded"
    REFUSED = "refused"
    STALE_TOKEN = "stale_token"
    BROKEN = "broken"
    LOST_ON_KEPT = "lost_on_kept"
    SILENT = "silent"


@dataclass(unsafe_hash=True)
class TargetError(DaemonError):
    """A call to a target that did not end well."""

    fault: TargetFault
    detail: str

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.detail}"

    @property
    def proves_not_run(self) -> bool:
        """Return whether the target has certainly not run the request."""
        return self.fault not in (
            TargetFault.BROKEN,
            TargetFault.LOST_ON_KEPT,
            TargetFault.SILENT,
        )


@dataclass(unsafe_hash=True)
class StartError(DaemonError):
    """A reason why the daemon cannot start, with its exit code."""

    message: str
    exit_code: int

    def __str__(self) -> str:
        return self.message
