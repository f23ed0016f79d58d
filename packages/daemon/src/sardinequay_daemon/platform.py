"""Clients of the platform's configuration service and host list, both read-only.

Both answer ``GET`` with a revision and let a reader wait for a later one. Modules
depend on the protocols only, so that adapting to other services changes this module
alone.
"""

import re
from dataclasses import dataclass
from typing import Protocol

import aiohttp
from returns.result import Failure, Result, Success

from sardinequay_core.bundle import MAX_VALUE_BYTES
from sardinequay_core.documents import decode_json
from sardinequay_core.errors import DocumentError
from sardinequay_core.names import Digest
from sardinequay_core.roster import Roster

from .errors import PlatformError
from .metrics import Metrics

ROOT_KEY = "root"
REVISION_HEADER = "X-Revision"
REVISION_PATTERN = re.compile(r"[0-9]{1,18}")
MAX_NUMBER = 2**53
"""Greatest number of a host list, which all messages to peers can carry."""

MAX_SHOWN_CHARS = 40
WATCH_TIMEOUT_MARGIN_S = 5.0
"""Time that a watch may take beyond the requested wait until it fails, in seconds."""


@dataclass(frozen=True, slots=True)
class PublishedValue:
    """Published value and its revision; `data` is None if it did not change."""

    revision: int
    data: bytes | None


class ConfigurationService(Protocol):
    """Reads and watches published values."""

    async def watch_root(
        self, after: int, wait_s: float
    ) -> Result[PublishedValue, PlatformError]:
        """Return the signed root once its revision exceeds `after`, or at timeout."""

    async def blob(self, digest: Digest) -> Result[bytes, PlatformError]:
        """Return a blob of a bundle."""


class HostList(Protocol):
    """Reads and watches the list of live and leaving hosts."""

    async def watch(self, after: int, wait_s: float) -> Result[Roster, PlatformError]:
        """Return the list once its number exceeds `after`, or after the wait."""


class HttpReader:
    """Reads one platform service over HTTP and counts the calls."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, metrics: Metrics, name: str
    ) -> None:
        self.session = session
        self.url = url.rstrip("/")
        self.metrics = metrics
        self.name = name

    async def get(
        self, path: str, after: int | None = None, wait_s: float = 0.0
    ) -> Result[PublishedValue, PlatformError]:
        """Read a value, or wait for one with a revision later than `after`."""
        self.metrics.platform_calls.inc({"service": self.name})
        params = {} if after is None else {"after": str(after), "wait_s": str(wait_s)}
        timeout = aiohttp.ClientTimeout(total=wait_s + WATCH_TIMEOUT_MARGIN_S)
        try:
            async with self.session.get(
                self.url + path, params=params, timeout=timeout
            ) as answer:
                return await self.read_response(path, answer)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return Failure(PlatformError(self.name, f"{path}: {error!r}"))

    async def read_response(
        self, path: str, answer: aiohttp.ClientResponse
    ) -> Result[PublishedValue, PlatformError]:
        """Convert an HTTP response to a value."""
        revision_text = answer.headers.get(REVISION_HEADER, "0")
        if not REVISION_PATTERN.fullmatch(revision_text):
            detail = f"{path}: no revision: {revision_text[:MAX_SHOWN_CHARS]!r}"
            return Failure(PlatformError(self.name, detail))
        revision = int(revision_text)
        if answer.status == 304:
            return Success(PublishedValue(revision, None))
        if answer.status != 200:
            return Failure(PlatformError(self.name, f"{path}: {answer.status}"))
        data = await answer.content.read(MAX_VALUE_BYTES + 1)
        while len(data) <= MAX_VALUE_BYTES and not answer.content.at_eof():
            data += await answer.content.read(MAX_VALUE_BYTES + 1)
        if len(data) > MAX_VALUE_BYTES:
            return Failure(
                PlatformError(self.name, f"{path}: response exceeds the size limit")
            )
        return Success(PublishedValue(revision, data))


class HttpConfigurationService:
    """Configuration service over HTTP."""

    def __init__(self, reader: HttpReader) -> None:
        self.reader = reader

    async def watch_root(
        self, after: int, wait_s: float
    ) -> Result[PublishedValue, PlatformError]:
        """Return the signed root once its revision exceeds `after`, or at timeout."""
        return await self.reader.get(f"/v1/values/{ROOT_KEY}", after, wait_s)

    async def blob(self, digest: Digest) -> Result[bytes, PlatformError]:
        """Return a blob of a bundle."""
        value = await self.reader.get(f"/v1/values/{digest}")
        return value.map(lambda v: v.data or b"")


class HttpHostList:
    """Host list over HTTP."""

    def __init__(self, reader: HttpReader) -> None:
        self.reader = reader

    async def watch(self, after: int, wait_s: float) -> Result[Roster, PlatformError]:
        """Return the list once its number exceeds `after`, or after the wait."""
        value = await self.reader.get("/v1/hosts", after, wait_s)
        return value.bind(decode_roster)


def decode_roster(value: PublishedValue) -> Result[Roster, PlatformError]:
    """Decode a host list; an unchanged one has a number and no members."""
    if value.data is None:
        return Success(Roster(value.revision))
    try:
        roster = decode_json(value.data, Roster)
    except DocumentError as error:
        return Failure(PlatformError("host list", str(error)))
    if not 0 <= roster.number <= MAX_NUMBER:
        return Failure(PlatformError("host list", "its number is out of range"))
    return Success(roster)
