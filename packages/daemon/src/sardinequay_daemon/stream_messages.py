"""Messages between hosts about the software versions that began streams."""

from dataclasses import dataclass

from sardinequay_core.names import PoolName, SoftwareVersion
from sardinequay_core.software_history import HistoryReport
from sardinequay_core.stream_records import StreamKey

from .wire import register_messages


@dataclass(frozen=True, slots=True)
class StreamNote:
    """The version that began a stream.

    Parameters
    ----------
    version : SoftwareVersion or None
        None if the stream's name was used for streams of several versions.
    lasts_s : float
        Time for which a caller may come back for the stream, in seconds.
    """

    key: StreamKey
    pool: PoolName
    version: SoftwareVersion | None
    lasts_s: float


@dataclass(frozen=True, slots=True)
class RecordStreams:
    """Asks a host to keep records of streams; the reply is `Noted`."""

    streams: tuple[StreamNote, ...]


@dataclass(frozen=True, slots=True)
class AskStream:
    """Asks which version began a stream."""

    key: StreamKey
    pool: PoolName


@dataclass(frozen=True, slots=True)
class StreamReply:
    """Reply to `AskStream`: the version; None if the sender does not know it.

    Parameters
    ----------
    is_recorded : bool
        Whether the sender has a record of the stream. Otherwise the pool has had no
        other version for as long as streams last.
    """

    version: SoftwareVersion | None
    is_recorded: bool = False


@dataclass(frozen=True, slots=True)
class AskHistory:
    """Asks which versions of their software targets have had."""


@dataclass(frozen=True, slots=True)
class HistoryReply:
    """Reply to `AskHistory`; None if the sender has no list of targets."""

    report: HistoryReport | None


register_messages(
    (AskHistory, AskStream, HistoryReply, RecordStreams, StreamNote, StreamReply)
)
