"""Errors of the core: values returned where failure is an ordinary outcome.

Errors are no frozen data classes: the interpreter sets the traceback of an error on its
way out. Nothing else may change them.
"""

from dataclasses import dataclass


@dataclass(unsafe_hash=True)
class CoreError(Exception):
    """Base of all errors that the core returns or raises."""


@dataclass(unsafe_hash=True)
class InvalidNameError(CoreError):
    """A name or address that does not have the form it needs."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value!r}; allowed: {self.allowed}"


@dataclass(unsafe_hash=True)
class BundleError(CoreError):
    """A bundle or a part of it that is refused, with the reason."""

    reason: str
    detail: str

    def __str__(self) -> str:
        return f"{self.reason}: {self.detail}"
