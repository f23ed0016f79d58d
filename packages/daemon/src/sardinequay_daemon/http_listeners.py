"""The HTTP listeners of a host, opened one after the other and closed together."""

import asyncio
import contextlib

from aiohttp import web

from sardinequay_core.names import Address

AnyRunner = web.AppRunner | web.ServerRunner


class HttpListeners:
    """Listeners and what serves them; the last one opened is closed first."""

    def __init__(self) -> None:
        self.runners: list[AnyRunner] = []

    async def serve(self, runner: AnyRunner, address: Address) -> None:
        """Serve HTTP at an address.

        Raises
        ------
        OSError
            If the address cannot be listened at.
        """
        await runner.setup()
        self.runners.append(runner)
        await web.TCPSite(runner, address.ip, address.port).start()

    async def close(self) -> None:
        """Close all listeners and their connections."""
        for runner in reversed(self.runners):
            with contextlib.suppress(asyncio.TimeoutError):
                await runner.cleanup()
