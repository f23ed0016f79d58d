"""Errors pass unchanged through context managers.

The interpreter sets the traceback of a raised error. A frozen data class refuses that,
and the request then ends with another error.
"""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from sardinequay_core.errors import BundleError
from sardinequay_core.outcome import Reason, not_run_refusal
from sardinequay_daemon.errors import PeerError, StartError, TargetError, TargetFault
from sardinequay_daemon.progress import RequestRefusedError
from sardinequay_daemon.wire import FrameError


@pytest.mark.parametrize(
    "error",
    [
        BundleError("reason", "detail"),
        FrameError("detail"),
        PeerError("address", "detail"),
        RequestRefusedError(not_run_refusal(Reason.OVERLOADED, "full")),
        StartError("message", 3),
        TargetError(TargetFault.BROKEN, "detail"),
    ],
)
async def test_error_passes_through_context_managers(error: Exception) -> None:
    @asynccontextmanager
    async def empty_context() -> AsyncIterator[None]:
        yield

    with pytest.raises(type(error)):
        async with empty_context(), empty_context():
            raise error
