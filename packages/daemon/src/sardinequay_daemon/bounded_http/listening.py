"""Sockets that listen for callers, with bounds on what the kernel holds for them."""

import asyncio
import logging
import socket
import ssl

from aiohttp import web

from sardinequay_core.names import Address

RECEIVE_BUFFER_BYTES = 65_536
"""Bytes that the kernel receives for a connection that is not read; it allows itself
twice as many. Without a bound it goes up to some megabytes."""

HANDSHAKE_TIMEOUT_S = 5.0
"""Time within which a caller has to finish its TLS handshake, in seconds."""

BACKLOG = 128
"""Connections that the kernel accepts before this process does."""

ACCEPTED_AT_ONCE = 32
"""Connections that this process accepts in one turn of its event loop."""

MAX_UNCOUNTED = 2 * ACCEPTED_AT_ONCE
"""Descriptors of connections beyond a listener's bound: one is counted a turn
after it is accepted, and what it replaces is closed in the next."""

log = logging.getLogger(__name__)


class BoundedSite(web.BaseSite):
    """Listens at an address for a server's callers."""

    def __init__(
        self, runner: web.BaseRunner, address: Address, tls: ssl.SSLContext | None
    ) -> None:
        super().__init__(runner, ssl_context=tls, backlog=BACKLOG)
        self.address = address
        self.tls = tls

    @property
    def name(self) -> str:
        """Return the URL of the listener."""
        return f"{'https' if self.tls else 'http'}://{self.address}"

    async def start(self) -> None:
        """Begin to listen.

        Raises
        ------
        OSError
            If the address cannot be listened at.
        """
        await super().start()
        server = self._runner.server
        assert server is not None
        listener = bind(self.address)
        self._server = await asyncio.get_running_loop().create_server(
            server,
            sock=listener,
            ssl=self.tls,
            backlog=ACCEPTED_AT_ONCE,
            ssl_handshake_timeout=HANDSHAKE_TIMEOUT_S if self.tls else None,
        )
        listener.listen(BACKLOG)


def bind(address: Address) -> socket.socket:
    """Return a socket at an address; connections inherit its receive buffer.

    Raises
    ------
    OSError
        If the address cannot be listened at.
    """
    family = socket.AF_INET6 if ":" in address.ip else socket.AF_INET
    made = socket.socket(family, socket.SOCK_STREAM)
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_receive_buffer(made)
        made.bind((address.ip, address.port))
    except OSError:
        made.close()
        raise
    return made


def bound_receive_buffer(made: socket.socket) -> None:
    """Bound what the kernel receives for a connection, where it lets that be set."""
    try:
        made.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    except OSError as error:
        log.warning("receive buffer not bounded", extra={"detail": str(error)})
