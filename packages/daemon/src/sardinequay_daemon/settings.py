"""The daemon's settings: JSON, checked field by field."""

from dataclasses import dataclass, field
from datetime import datetime

from sardinequay_core.names import DataCentre, HostId

from .shared_settings import TimingSettings, TraceSettings, ranged_field


@dataclass(frozen=True, slots=True)
class GuardEntry:
    """A guard of the founding view."""

    host_id: HostId
    address: str


@dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How idempotency keys are guarded.

    Parameters
    ----------
    in_service_from : datetime
        No request was served before this moment. Processes that started before it
        cannot have forgotten a claim.
    founders : dict
        The guards of each data centre at that moment. Never changed afterwards.
    """

    in_service_from: datetime
    founders: dict[DataCentre, tuple[GuardEntry, ...]]
    life_s: float = ranged_field(600, 1, 86_400)
    window_s: float = ranged_field(2, 0.1, 60)
    lapse_s: float = ranged_field(7200, 1, 604_800)
    list_lag_s: float = ranged_field(60, 0, 3600)


@dataclass(frozen=True, slots=True)
class TrustSettings:
    """Whose approvals a bundle needs: public keys in hexadecimal by id."""

    keys: dict[str, str]
    threshold: int = field(metadata={"range": (1, 100)})


@dataclass(frozen=True, slots=True)
class LimitSettings:
    """Bounds on what one host takes on."""

    max_in_flight: int = field(default=1024, metadata={"range": (1, 1_000_000)})
    max_body_bytes: int = field(default=1_048_576, metadata={"range": (1024, 1 << 30)})
    reserved_share: float = ranged_field(0.25, 0, 1)
    longest_request_s: float = ranged_field(120, 0.1, 3600)
    default_deadline_s: float = ranged_field(60, 0.1, 3600)
    retry_ratio: float = ranged_field(0.1, 0, 1)
    max_attempts: int = field(default=3, metadata={"range": (1, 10)})


@dataclass(frozen=True, slots=True)
class LogSettings:
    """What is logged."""

    level: str = field(
        default="INFO", metadata={"choices": ("DEBUG", "INFO", "WARNING", "ERROR")}
    )


@dataclass(frozen=True, slots=True)
class TlsSettings:
    """Files of one listener's key and certificate.

    Parameters
    ----------
    authority : str
        Whose certificates the other side must show; empty to ask for none.
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
        Where peers reach this host, as the platform lists it; empty if that is where
        it listens.
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
