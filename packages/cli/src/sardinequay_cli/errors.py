"""Exit codes of the command line, and the error that carries one."""

from dataclasses import dataclass

EXIT_OK = 0
EXIT_FINDINGS = 1
EXIT_USAGE = 2
EXIT_REFUSED = 3
EXIT_UNREACHABLE = 4


@dataclass(unsafe_hash=True)
class CommandError(Exception):
    """A verb failed; the message goes to standard error."""

    message: str
    exit_code: int

    def __str__(self) -> str:
        return self.message
