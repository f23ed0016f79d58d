"""A server that answers each request with the same bytes, whatever they are."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from sardinequay_core.names import Address

IP = "127.0.0.1"


@asynccontextmanager
async def raw_server(beginning: bytes, repeated: bytes = b"") -> AsyncIterator[Address]:
    """Serve until the context is left.

    Parameters
    ----------
    beginning : bytes
        What is sent of an answer first.
    repeated : bytes
        What follows until the connection is closed; the server closes if it is empty.
    """

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            writer.write(beginning)
            while repeated:
                writer.write(repeated)
                await writer.drain()
            writer.close()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()

    server = await asyncio.start_server(serve, IP, 0)
    async with server:
        yield Address(IP, server.sockets[0].getsockname()[1])
