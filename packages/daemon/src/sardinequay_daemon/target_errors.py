"""What errors of the HTTP library prove about a request to a target."""

import aiohttp

from .errors import TargetError, TargetFault

NOT_SENT_ERRORS = (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError)
BROKEN_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, ValueError)


class TargetErrorTranslator:
    """Turns the HTTP library's errors into what they prove.

    A class, not a generator: it stands on the path of every request.
    """

    def __enter__(self) -> None:
        """Begin."""

    def __exit__(self, kind: object, error: BaseException | None, _: object) -> None:
        """Raise what an error of the library proves."""
        if error is None:
            return
        if isinstance(error, NOT_SENT_ERRORS):
            raise TargetError(TargetFault.NOT_SENT, repr(error)) from error
        if isinstance(error, BROKEN_ERRORS):
            raise TargetError(TargetFault.BROKEN, repr(error)) from error
