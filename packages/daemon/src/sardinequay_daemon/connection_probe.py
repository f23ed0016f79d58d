"""Probe of an address: whether TCP connections are accepted and stay open."""

import asyncio
from dataclasses import dataclass

from sardinequay_core.names import Address

CONNECT_S = 0.4
"""Timeout for opening a connection, in seconds: many round trips, but less than the one
second after which a lost packet is sent again. A target that does not answer within it
is unreachable or gone."""

MIN_OPEN_S = 0.05
"""A new connection that stays open for this time, in seconds, was accepted by the
target itself: a gateway in front of a target that has ended closes it at once."""


@dataclass(frozen=True, slots=True)
class ConnectionProbe:
    """Opens probe connections from one source IP address."""

    source_ip: str

    async def accepts(self, address: Address) -> bool:
        """Return whether a connection to an address is accepted and stays open."""
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
