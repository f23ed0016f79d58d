"""Resets of TCP connections.

A connection that is closed still delivers what was sent on it, also when a path that
was lost comes back. One that is reset does not, and its other end does not take it for
complete.
"""

import asyncio
import socket
import struct

from aiohttp import web

NO_LINGER = struct.pack("ii", 1, 0)


def reset(transport: asyncio.WriteTransport) -> None:
    """Close a connection at once, and drop what was sent and has not arrived."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, NO_LINGER)
    transport.abort()


def cut_off(
    transport: asyncio.WriteTransport | None, answer: web.StreamResponse | None
) -> None:
    """Close a caller's connection so that its answer is seen to be incomplete.

    The end of a connection completes an answer without a length or chunks, so that one
    is reset. Others keep what was sent of them.
    """
    if transport is None:
        return
    if answer is None or has_framing(answer):
        transport.abort()
    else:
        reset(transport)


def has_framing(answer: web.StreamResponse) -> bool:
    """Return whether an answer's length or last chunk tells its end."""
    # `chunked` is not set where aiohttp chooses chunks by itself.
    return "Transfer-Encoding" in answer.headers or answer.content_length is not None
