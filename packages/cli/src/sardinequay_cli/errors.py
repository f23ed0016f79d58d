"""Errors of the command line, each with its exit code."""

from dataclasses import dataclass

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4


@dataclass(unsafe_hash=True)
class CommandError(Exception):
    """A verb that did not do what it was asked."""

    message: str
    exit_code: int

    def __str__(self) -> str:
        return self.message
