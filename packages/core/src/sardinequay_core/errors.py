"""Errors of the core: values returned where failure is an ordinary outcome."""

from dataclasses import dataclass


@dataclass(frozen=True)
class CoreError(Exception):
    """Base of all errors that the core returns or raises."""


@dataclass(frozen=True)
class InvalidNameError(CoreError):
    """A name or address that does not have the form it needs."""

    field: str
    value: str
    allowed: str

    def __str__(self) -> str:
        return f"{self.field} is {self.value!r}; allowed: {self.allowed}"


@dataclass(frozen=True)
class BundleError(CoreError):
    """A bundle or a part of it that is refused, with the reason."""

    reason: str
    detail: str

    def __str__(self) -> str:
        return f"{self.reason}: {self.detail}"
