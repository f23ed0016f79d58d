"""A relay that tests put before hosts and targets, to cut and silence links.

It tells who connects by the source's IP number, and looks up in a file which pairs of
networks are cut: ``reset`` refuses and resets connections, ``silent`` goes on accepting
them and passes nothing on, in either direction, ``one_way`` holds back answers,
``slow`` passes everything on late, and ``new_refused`` resets new connections only.
"""

import argparse
import asyncio
import contextlib
import ipaddress
import json
import socket
import struct
import time
from collections.abc import Set
from dataclasses import dataclass
from pathlib import Path

POLL_S = 0.02
READ_BYTES = 65_536
RESET = "reset"
SILENT = "silent"
ONE_WAY = "one_way"
SLOW = "slow"
NEW_REFUSED = "new_refused"
LINGER_NOT = struct.pack("ii", 1, 0)
SLOW_S = 0.06
"""Delay of each piece on a slow link: some tens of times a data centre's round trip."""


@dataclass(frozen=True, slots=True)
class Cut:
    """A cut of all links from one network to another."""

    source: str
    destination: str
    mode: str

    def covers(self, source: str, destination: str) -> bool:
        """Return whether a link lies in this cut."""
        return is_in(source, self.source) and is_in(destination, self.destination)


def is_in(ip: str, network: str) -> bool:
    """Return whether an IP number lies in a network."""
    return ipaddress.ip_address(ip) in ipaddress.ip_network(network)


def reset(transport: asyncio.WriteTransport) -> None:
    """Reset a connection: closing it alone may look like a clean end."""
    sock = transport.get_extra_info("socket")
    if sock is not None and not transport.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_NOT)
    transport.abort()


class Cuts:
    """The cuts in force, as a file names them."""

    def __init__(self, path: Path) -> None:
        self.path = path
        self.cuts: list[Cut] = []

    async def follow(self) -> None:
        """Read the file again and again."""
        while True:
            with contextlib.suppress(OSError, ValueError):
                self.cuts = [Cut(*item) for item in json.loads(self.path.read_text())]
            await asyncio.sleep(POLL_S)

    def mode(self, source: str, destination: str) -> str:
        """Return how a link is cut; empty if it is not."""
        modes = [c.mode for c in self.cuts if c.covers(source, destination)]
        return modes[0] if modes else ""


class Relay:
    """Relays connections from one address to another unless they are cut.

    Parameters
    ----------
    keeps_source : bool
        Whether the destination sees the source's IP number, as without a relay.
    """

    def __init__(
        self, cuts: Cuts, destination: str, keeps_source: bool = False
    ) -> None:
        self.cuts = cuts
        self.keeps_source = keeps_source
        self.ip, _, port = destination.rpartition(":")
        self.port = int(port)
        self.silenced_before = float("-inf")

    def silence_open_connections(self) -> None:
        """Let what is open now pass nothing on any more, while new ones work."""
        self.silenced_before = time.monotonic()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection."""
        source = writer.get_extra_info("peername")[0]
        if self.cuts.mode(source, self.ip) in (RESET, NEW_REFUSED):
            reset(writer.transport)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                self.ip,
                self.port,
                local_addr=(source, 0) if self.keeps_source else None,
            )
        except OSError:
            reset(writer.transport)
            return
        ends = (writer, far_writer)
        await asyncio.gather(
            self.copy(source, reader, far_writer, ends, {SILENT}),
            self.copy(source, far_reader, writer, ends, {SILENT, ONE_WAY}),
            self.watch(source, ends),
            return_exceptions=True,
        )

    async def watch(
        self, source: str, ends: tuple[asyncio.StreamWriter, asyncio.StreamWriter]
    ) -> None:
        """Reset the connection when its link is cut so."""
        while not any(end.is_closing() for end in ends):
            if self.cuts.mode(source, self.ip) == RESET:
                for end in ends:
                    reset(end.transport)
            await asyncio.sleep(POLL_S)

    async def copy(
        self,
        source: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        ends: tuple[asyncio.StreamWriter, asyncio.StreamWriter],
        held_by: Set[str],
    ) -> None:
        """Copy one direction; what comes under a mode of `held_by` is held back."""
        made_at = time.monotonic()
        try:
            while data := await reader.read(READ_BYTES):
                while self.cuts.mode(source, self.ip) in held_by:
                    await asyncio.sleep(POLL_S)
                if made_at < self.silenced_before:
                    await self.wait_for_end(reader)
                if (error := reader.exception()) is not None:
                    # What a cut holds back is lost if its sender resets.
                    raise error
                if self.cuts.mode(source, self.ip) == SLOW:
                    await asyncio.sleep(SLOW_S)
                writer.write(data)
                await writer.drain()
        except OSError:
            # A reset stays one: a clean end would complete an answer without a length.
            for end in ends:
                reset(end.transport)
        for end in ends:
            end.close()

    async def wait_for_end(self, reader: asyncio.StreamReader) -> None:
        """Wait until a silent connection is given up, and raise."""
        while reader.exception() is None and not reader.at_eof():
            await asyncio.sleep(POLL_S)
        raise ConnectionResetError


async def run(arguments: argparse.Namespace) -> None:
    """Relay until cancelled."""
    cuts = Cuts(arguments.cuts)
    for pair in arguments.pairs:
        listen, _, destination = pair.partition("/")
        ip, _, port = listen.rpartition(":")
        await asyncio.start_server(Relay(cuts, destination).serve, ip, int(port))
    await cuts.follow()


def main() -> None:
    """Relay until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--cuts", type=Path, required=True)
    parser.add_argument("pairs", nargs="+", help="LISTEN_IP:PORT/DESTINATION_IP:PORT")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
