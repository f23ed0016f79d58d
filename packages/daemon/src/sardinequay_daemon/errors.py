"""Errors of the daemon's layers; each layer converts the errors of the layer below.

Errors are not frozen data classes, because the interpreter sets the traceback of a
raised error. Nothing else may change them.
"""

from dataclasses import dataclass
from enum import Enum

from aiohttp import ClientError

from sardinequay_core.request_framing import RequestFramingError


@dataclass(unsafe_hash=True)
class DaemonError(Exception):
    """Base of all errors of the daemon."""


@dataclass(unsafe_hash=True)
class SettingsError(DaemonError):
    """A field of the settings is invalid."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value}; allowed: {self.allowed}"


@dataclass(unsafe_hash=True)
class BodyRefusedError(DaemonError):
    """The body of a caller's request is not framed as it must be."""

    cause: RequestFramingError

    def __str__(self) -> str:
        return str(self.cause)


@dataclass(unsafe_hash=True)
class HeadNotWrittenError(DaemonError):
    """The head of an answer cannot be written to its caller."""

    detail: str

    def __str__(self) -> str:
        return f"the answer's head cannot be passed on: {self.detail}"


@dataclass(unsafe_hash=True)
class PeerError(DaemonError):
    """A call to another entry host got no reply."""

    address: str
    detail: str

    def __str__(self) -> str:
        return f"peer {self.address}: {self.detail}"


@dataclass(unsafe_hash=True)
class PlatformError(DaemonError):
    """A read from one of the platform's services got no usable response.

    Parameters
    ----------
    service : str
        Name of the service in messages.
    is_history_gone : bool
        Whether the store has deleted the history that the read asked for.
    is_timeout : bool
        Whether no answer came in time.
    """

    service: str
    detail: str
    is_history_gone: bool = False
    is_timeout: bool = False

    def __str__(self) -> str:
        return f"{self.service}: {self.detail}"


class ConnectionLostError(ClientError):
    """A connection broke after a request was sent and before a response arrived."""


class TargetFault(Enum):
    """How a call to a target failed; determines whether the request may have run.

    WITHHELD means that the target stated in time that it takes no request now. UNREAD
    means that it ended its answer while this host did not read it, for a slow caller.
    """

    NOT_SENT = "not_sent"
    WITHHELD = "withheld"
    NOT_LOADED = "not_loaded"
    REFUSED = "refused"
    STALE_TOKEN = "stale_token"
    BROKEN = "broken"
    UNREAD = "unread"
    LOST_ON_REUSED_CONNECTION = "lost_on_kept"
    SILENT = "silent"


@dataclass(unsafe_hash=True)
class TargetError(DaemonError):
    """A call to a target failed."""

    fault: TargetFault
    detail: str

    def __str__(self) -> str:
        return f"{self.fault.value}: {self.detail}"

    @property
    def proves_not_run(self) -> bool:
        """Whether the target has certainly not run the request."""
        return self.fault not in (
            TargetFault.BROKEN,
            TargetFault.UNREAD,
            TargetFault.LOST_ON_REUSED_CONNECTION,
            TargetFault.SILENT,
        )


@dataclass(unsafe_hash=True)
class MalformedAnswerError(DaemonError):
    """A target's answer has another form than its caller asked for."""

    detail: str

    def __str__(self) -> str:
        return self.detail


@dataclass(unsafe_hash=True)
class StartError(DaemonError):
    """The daemon cannot start; has the exit code of the process."""

    message: str
    exit_code: int

    def __str__(self) -> str:
        return self.message
