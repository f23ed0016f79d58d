"""Error types of the core, returned as values where failure is an expected outcome.

The classes are not frozen because the interpreter sets `__traceback__` on an exception
that propagates. Other code must treat them as immutable.
"""

from dataclasses import dataclass


@dataclass(unsafe_hash=True)
class CoreError(Exception):
    """Base of all errors that the core returns or raises."""


@dataclass(unsafe_hash=True)
class InvalidNameError(CoreError):
    """A name or address that is malformed."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value!r}; allowed: {self.allowed}"


@dataclass(unsafe_hash=True)
class BundleError(CoreError):
    """A bundle, or a part of one, was rejected."""

    reason: str
    detail: str

    def __str__(self) -> str:
        return f"{self.reason}: {self.detail}"


@dataclass(unsafe_hash=True)
class DocumentError(CoreError):
    """A document cannot be decoded, or a value cannot be encoded."""

    detail: str

    def __str__(self) -> str:
        return self.detail
