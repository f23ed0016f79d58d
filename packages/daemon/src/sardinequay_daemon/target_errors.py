"""Translation of aiohttp errors by what they prove about a request to a target."""

import aiohttp

from .errors import TargetError, TargetFault

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BROKEN_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class TargetErrorTranslator:
    """Context manager that raises `TargetError` in place of aiohttp's errors.

    It is a class, not a generator, for speed: each request passes through it.
    """

    def __enter__(self) -> None:
        """Enter the context."""

    def __exit__(self, kind: object, error: BaseException | None, _: object) -> None:
        """Raise the `TargetError` that corresponds to an error of aiohttp."""
        if error is None:
            return
        if isinstance(error, NOT_SENT_ERRORS):
            raise TargetError(TargetFault.NOT_SENT, repr(error)) from error
        if isinstance(error, BROKEN_ERRORS):
            raise TargetError(TargetFault.BROKEN, repr(error)) from error
