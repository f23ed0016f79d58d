"""The daemon's settings file as data classes, with the allowed range of each field."""

from dataclasses import dataclass, field
from datetime import datetime

from sardinequay_core.names import DataCentre, HostId

from .shared_settings import TimingSettings, TraceSettings, ranged_field


@dataclass(frozen=True, slots=True)
class GuardEntry:
    """A guard of view 0."""

    host_id: HostId
    address: str


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """Settings of claims on idempotency keys.

    Parameters
    ----------
    in_service_from : datetime
        Time before which no request was served. Processes that started before it
        cannot have forgotten a claim.
    founders : dict
        The guards of each data centre at that time (view 0). Never changed afterwards.
    life_s : float
        How long guards remember a claim.
    window_s : float
        How old a vote or a handover may be when it is counted.
    lapse_s : float
        How long a guard keeps voting without reading a host list that lists it.
    list_lag_s : float
        How far the platform's host list may lag behind.
    """

    in_service_from: datetime
    founders: dict[DataCentre, tuple[GuardEntry, ...]]
    life_s: float = ranged_field(600, 1, 86_400)
    window_s: float = ranged_field(2, 0.1, 60)
    lapse_s: float = ranged_field(7200, 1, 604_800)
    list_lag_s: float = ranged_field(60, 0, 3600)


@dataclass(frozen=True, slots=True)
class TrustSettings:
    """Keys that may approve bundles, and the number of approvals that a bundle needs.

    Parameters
    ----------
    keys : dict
        Public keys in hexadecimal, by key id.
    """

    keys: dict[str, str]
    threshold: int = field(metadata={"range": (1, 100)})


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Limits on the requests of one host.

    Parameters
    ----------
    max_header_bytes : int
        Header names and values and the path of one request.
    max_connections : int
        Connections of callers; beyond it, those that wait for a request are closed.
    header_timeout_s : float
        Time from the first byte of a request to the end of its head.
    idle_timeout_s : float
        Time without a request after which a connection is closed.
    """

    max_in_flight: int = field(default=1024, metadata={"range": (1, 1_000_000)})
    max_body_bytes: int = field(default=1_048_576, metadata={"range": (1024, 1 << 30)})
    reserved_share: float = ranged_field(0.25, 0, 1)
    longest_request_s: float = ranged_field(120, 0.1, 3600)
    default_deadline_s: float = ranged_field(60, 0.1, 3600)
    retry_ratio: float = ranged_field(0.1, 0, 1)
    max_attempts: int = field(default=3, metadata={"range": (1, 10)})
    max_header_bytes: int = field(default=16_384, metadata={"range": (1024, 1 << 20)})
    max_connections: int = field(default=4096, metadata={"range": (1, 1_000_000)})
    header_timeout_s: float = ranged_field(10, 0.1, 3600)
    idle_timeout_s: float = ranged_field(75, 0.1, 3600)


@dataclass(frozen=True, slots=True)
class LogSettings:
    """Settings of the log."""

    level: str = field(
        default="INFO", metadata={"choices": ("DEBUG", "INFO", "WARNING", "ERROR")}
    )


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files of one listener's key and certificate.

    Parameters
    ----------
    authority : str
        File of the authority that must have signed the other side's certificate; empty
        to require no certificate.
    """

    certificate: str
    key: str
    authority: str = ""


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings of one host.

    Parameters
    ----------
    advertised_peer_address : str
        Address at which peers reach this host, as in the platform's host list; empty
        if it equals `peer_listener`.
    """

    host_id: HostId
    data_centre: DataCentre
    data_centres: tuple[DataCentre, ...]
    caller_listener: str
    peer_listener: str
    operator_listener: str
    configuration_service: str
    host_list: str
    trust: TrustSettings
    claims: ClaimSettings
    advertised_peer_address: str = ""
    limits: LimitSettings = field(default_factory=LimitSettings)
    timing: TimingSettings = field(default_factory=TimingSettings)
    logs: LogSettings = field(default_factory=LogSettings)
    traces: TraceSettings = field(default_factory=TraceSettings)
    caller_tls: TlsSettings | None = None
    peer_tls: TlsSettings | None = None
