"""One load process of the data path's benchmark; prints what it measured as JSON."""

import argparse
import asyncio
import json
import time
import uuid
from dataclasses import asdict, dataclass

import aiohttp

from .plan import CALLER, TOKENS

DONE = b"data: [DONE]"


@dataclass(frozen=True, slots=True)
class Measured:
    """What one process measured; times in seconds, of requests that succeeded."""

    requests: int
    failures: int
    tokens: int
    took_s: float
    latencies_s: list[float]
    first_bytes_s: list[float]


class Client:
    """Workers that send one request after another for a time."""

    def __init__(self, arguments: argparse.Namespace) -> None:
        self.arguments = arguments
        self.latencies: list[float] = []
        self.first_bytes: list[float] = []
        self.failures = 0
        self.tokens = 0

    async def run(self) -> Measured:
        """Send requests until the time is over."""
        connector = aiohttp.TCPConnector(limit=0)
        async with aiohttp.ClientSession(connector=connector) as http:
            await self.once(http)
            self.latencies.clear()
            self.first_bytes.clear()
            self.tokens = 0
            began = time.perf_counter()
            end = began + self.arguments.seconds
            workers = [self.work(http, end) for _ in range(self.arguments.workers)]
            await asyncio.gather(*workers)
            took = time.perf_counter() - began
        return Measured(
            len(self.latencies),
            self.failures,
            self.tokens,
            took,
            self.latencies,
            self.first_bytes,
        )

    async def work(self, http: aiohttp.ClientSession, end: float) -> None:
        """Send one request after another."""
        while time.perf_counter() < end:
            await self.once(http)

    async def once(self, http: aiohttp.ClientSession) -> None:
        """Send one request and time it."""
        headers = {"Authorization": f"Bearer {TOKENS[CALLER]}"}
        if self.arguments.keyed:
            headers["Idempotency-Key"] = uuid.uuid4().hex
        began = time.perf_counter()
        first = None
        count = 0
        async with http.request(
            self.arguments.method,
            self.arguments.url,
            data=self.arguments.body or None,
            headers=headers,
        ) as answer:
            async for data in answer.content.iter_any():
                first = first or time.perf_counter() - began
                count += data.count(b"id: ")
            is_good = answer.status < 300
        if is_good:
            self.latencies.append(time.perf_counter() - began)
            self.first_bytes.append(first or 0.0)
            self.tokens += count
        else:
            self.failures += 1


def main() -> None:
    """Run one client."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--url", required=True)
    parser.add_argument("--method", default="GET")
    parser.add_argument("--body", default="")
    parser.add_argument("--keyed", action="store_true")
    parser.add_argument("--workers", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=3.0)
    print(json.dumps(asdict(asyncio.run(Client(parser.parse_args()).run()))))


if __name__ == "__main__":
    main()
