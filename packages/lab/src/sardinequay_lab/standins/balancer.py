"""Stand-in of the platform's balancer: connections in turn to hosts that are ready."""

import argparse
import asyncio
import contextlib
import itertools

import aiohttp

from .serving import add_common_arguments

CHECK_S = 0.2
CHECK_TIMEOUT_S = 0.5
READ_BYTES = 65_536


class Balancer:
    """Passes connections on, in turn, to the hosts whose readiness check passes."""

    def __init__(self, hosts: list[tuple[str, str]]) -> None:
        self.hosts = hosts
        self.ready: list[str] = []
        self.turn = itertools.count()

    async def check_forever(self) -> None:
        """Ask every host again and again whether it is ready."""
        timeout = aiohttp.ClientTimeout(total=CHECK_TIMEOUT_S)
        async with aiohttp.ClientSession(timeout=timeout) as session:
            while True:
                checks = [self.check(session, check) for _, check in self.hosts]
                results = await asyncio.gather(*checks)
                pairs = zip(self.hosts, results, strict=True)
                self.ready = [host for (host, _), is_ready in pairs if is_ready]
                await asyncio.sleep(CHECK_S)

    async def check(self, session: aiohttp.ClientSession, address: str) -> bool:
        """Ask one host whether it is ready."""
        try:
            async with session.get(f"http://{address}/readyz") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, TimeoutError, OSError):
            return False

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join a caller's connection with one to a host."""
        try:
            host = self.ready[next(self.turn) % len(self.ready)]
            ip, _, port = host.rpartition(":")
            far_reader, far_writer = await asyncio.open_connection(ip, int(port))
        except (OSError, ZeroDivisionError):
            writer.transport.abort()
            return
        await asyncio.gather(copy(reader, far_writer), copy(far_reader, writer))


async def copy(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copy one direction of a connection until it ends."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            writer.write(data)
            await writer.drain()
    with contextlib.suppress(OSError, RuntimeError):
        writer.close()


async def run(arguments: argparse.Namespace) -> None:
    """Serve until cancelled."""
    hosts = [tuple(pair.split("/", 1)) for pair in arguments.hosts]
    balancer = Balancer(hosts)
    ip, _, port = arguments.listen.rpartition(":")
    server = await asyncio.start_server(balancer.serve, ip, int(port))
    async with server:
        await balancer.check_forever()


def main() -> None:
    """Serve a balancer until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_common_arguments(parser)
    parser.add_argument("hosts", nargs="+", help="CALLERS_IP:PORT/OPERATORS_IP:PORT")
    asyncio.run(run(parser.parse_args()))


if __name__ == "__main__":
    main()
