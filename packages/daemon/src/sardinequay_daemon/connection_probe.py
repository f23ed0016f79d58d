"""Finds out whether something takes connections at an address."""

import asyncio
from dataclasses import dataclass

from sardinequay_core.names import Address

CONNECT_S = 0.4
"""Bound on opening a connection: many times a round trip, below a lost packet's second
of waiting. A target that does not answer to this is cut off or gone."""

MIN_OPEN_S = 0.05
"""A new connection that lasts so long was taken by the target itself: a gateway before
one that has ended closes it at once."""


@dataclass(frozen=True, slots=True)
class ConnectionProbe:
    """Opens connections from one IP number."""

    source_ip: str

    async def accepts(self, address: Address) -> bool:
        """Return whether something takes a connection there and keeps it."""
        source = (self.source_ip, 0)
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(
                    address.ip, address.port, local_addr=source
                )
        except OSError:
            return False
        try:
            async with asyncio.timeout(MIN_OPEN_S):
                return bool(await reader.read(1))
        except TimeoutError:
            return True
        except OSError:
            return False
        finally:
            writer.close()
