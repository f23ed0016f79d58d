"""Identifier types shared by all packages, and their parsers."""

import re
from dataclasses import dataclass
from functools import lru_cache
from ipaddress import ip_address
from typing import NewType

from returns.result import Failure, Result, Success

from .errors import InvalidNameError

HostId = NewType("HostId", str)
DataCentre = NewType("DataCentre", str)
TargetId = NewType("TargetId", str)
PoolName = NewType("PoolName", str)
CallerName = NewType("CallerName", str)
RequestId = NewType("RequestId", str)
AttemptId = NewType("AttemptId", str)
Digest = NewType("Digest", str)
FeatureId = NewType("FeatureId", str)
SoftwareVersion = NewType("SoftwareVersion", str)

MAX_VERSION_DIGITS = 18
"""Longest version that counts as a number, in digits."""

MAX_NAME_CHARS = 200
KNOWN_ADDRESSES = 2048
"""Parsed addresses that are kept: hosts and targets name theirs every second."""

PORT_PATTERN = re.compile(r"[0-9]{1,5}")
SEPARATOR = "@"


@dataclass(frozen=True, slots=True, order=True)
class Address:
    """An IP address and a port, written ``ip:port``."""

    ip: str
    port: int

    def __str__(self) -> str:
        return f"{self.ip}:{self.port}"


@dataclass(frozen=True, slots=True, order=True)
class AdapterRef:
    """One version of one adapter, written ``name@version``."""

    name: str
    version: str

    def __str__(self) -> str:
        return f"{self.name}{SEPARATOR}{self.version}"

    def is_at_least(self, other: "AdapterRef") -> bool:
        """Return whether this is the adapter of `other` at an equal or later version.

        Numeric versions are compared as numbers; other versions only for equality.
        """
        if self.name != other.name:
            return False
        own_number, other_number = self.version_number, other.version_number
        if own_number is None or other_number is None:
            return self.version == other.version
        return own_number >= other_number

    @property
    def version_number(self) -> int | None:
        """Return the version as a number; None if it is none."""
        if len(self.version) > MAX_VERSION_DIGITS or not self.version.isdecimal():
            return None
        return int(self.version)


def parse_adapter_ref(text: str) -> Result[AdapterRef, InvalidNameError]:
    """Parse an adapter reference.

    Parameters
    ----------
    text : str
        ``name@version`` with both parts non-empty and a total length of at most
        `MAX_NAME_CHARS`.
    """
    name, separator, version = text.rpartition(SEPARATOR)
    if not (name and separator and version) or len(text) > MAX_NAME_CHARS:
        return Failure(InvalidNameError("model", text[:MAX_NAME_CHARS], "name@version"))
    return Success(AdapterRef(name, version))


@lru_cache(maxsize=KNOWN_ADDRESSES)
def parse_address(text: str) -> Result[Address, InvalidNameError]:
    """Parse an ``ip:port`` pair; host names are rejected."""
    ip, _, port = text.rpartition(":")
    plain = ip.strip("[]")
    is_port = PORT_PATTERN.fullmatch(port) is not None and int(port) < 1 << 16
    if not (is_port and is_ip_number(plain)):
        allowed = "ip:port with an IP number"
        return Failure(InvalidNameError("address", text[:MAX_NAME_CHARS], allowed))
    return Success(Address(plain, int(port)))


def is_ip_number(text: str) -> bool:
    """Return whether a text is an IP number, and no host name."""
    try:
        ip_address(text)
    except ValueError:
        return False
    return True
