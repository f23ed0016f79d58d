"""Stand-ins of the platform: the configuration service and the list of hosts.

Both publish files: the configuration service those of a directory, the list of hosts
one file. A changed file is a new revision, and wakes the readers that wait for it.
"""

import argparse
import asyncio
import json
import time
from dataclasses import dataclass
from pathlib import Path

from aiohttp import web

from ..history import HistoryWriter
from .serving import add_common_arguments, serve

REVISION_HEADER = "X-Revision"
POLL_S = 0.02
WINDOW_S = 1.0
MAX_WAIT_S = 60.0
UNREADABLE = 1 << 30


def number_of_list(data: bytes) -> int:
    """Return the number that a published list of hosts carries."""
    try:
        return int(json.loads(data)["number"])
    except (ValueError, KeyError, TypeError):
        return UNREADABLE


@dataclass(slots=True)
class PublishedFile:
    """One file and its revision: the list's own number, or a count of changes."""

    path: Path
    is_list: bool = False
    revision: int = 0
    data: bytes = b""

    def refresh(self) -> None:
        """Look at the file again."""
        data = self.path.read_bytes() if self.path.exists() else b""
        if data != self.data:
            self.data = data
            self.revision = number_of_list(data) if self.is_list else self.revision + 1


class RateLimit:
    """Calls in the last second; a waiting watch counts as one."""

    def __init__(self, calls_per_s: float) -> None:
        self.calls_per_s = calls_per_s
        self.times: list[float] = []

    def allows(self) -> bool:
        """Count a call if the rate allows it."""
        now = time.monotonic()
        self.times = [t for t in self.times if now - t < WINDOW_S]
        if len(self.times) >= self.calls_per_s:
            return False
        self.times.append(now)
        return True


class Publisher:
    """Answers reads and watches of published files."""

    def __init__(self, rate: RateLimit, history: HistoryWriter) -> None:
        self.rate = rate
        self.history = history
        self.files: dict[Path, PublishedFile] = {}
        self.calls = 0

    async def answer(
        self, request: web.Request, path: Path, is_list: bool = False
    ) -> web.Response:
        """Answer a read at once, and a watch when there is a later revision."""
        self.calls += 1
        if not self.rate.allows():
            self.history.write("limited", path=path.name)
            return web.Response(status=429)
        published = self.files.setdefault(path, PublishedFile(path, is_list))
        after = int(request.query.get("after", "-1"))
        wait_s = min(float(request.query.get("wait_s", "0")), MAX_WAIT_S)
        end = time.monotonic() + wait_s
        published.refresh()
        while published.revision <= after and time.monotonic() < end:
            await asyncio.sleep(POLL_S)
            published.refresh()
        headers = {REVISION_HEADER: str(published.revision)}
        if published.revision <= after:
            return web.Response(status=304, headers=headers)
        if not published.data:
            return web.Response(status=404, headers=headers)
        return web.Response(body=published.data, headers=headers)


def configuration_app(directory: Path, publisher: Publisher) -> web.Application:
    """Return the configuration service over a directory."""
    app = web.Application()

    async def value(request: web.Request) -> web.Response:
        return await publisher.answer(request, directory / request.match_info["key"])

    async def calls(_: web.Request) -> web.Response:
        return web.json_response({"calls": publisher.calls})

    app.router.add_get("/v1/values/{key:[0-9a-z]+}", value)
    app.router.add_get("/calls", calls)
    return app


def host_list_app(file: Path, publisher: Publisher) -> web.Application:
    """Return the list of hosts over one file; its number is the revision."""
    app = web.Application()

    async def hosts(request: web.Request) -> web.Response:
        return await publisher.answer(request, file, is_list=True)

    app.router.add_get("/v1/hosts", hosts)
    return app


def main() -> None:
    """Serve one of the platform's services until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_common_arguments(parser)
    parser.add_argument("--directory", type=Path)
    parser.add_argument("--file", type=Path)
    parser.add_argument("--calls-per-s", type=float, default=2000)
    arguments = parser.parse_args()
    history = HistoryWriter(arguments.history, arguments.name)
    publisher = Publisher(RateLimit(arguments.calls_per_s), history)
    if arguments.directory:
        app = configuration_app(arguments.directory, publisher)
    else:
        app = host_list_app(arguments.file, publisher)
    serve(app, arguments.listen)


if __name__ == "__main__":
    main()
