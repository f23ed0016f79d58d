"""Stand-in of the weight store: few loads a second, one at a time at full speed."""

import argparse
import asyncio

from aiohttp import web

from ..history import HistoryWriter
from .serving import add_common_arguments, serve


class WeightStore:
    """Hands out weights one after another; each takes ``1 / loads_per_s``."""

    def __init__(self, loads_per_s: float, history: HistoryWriter) -> None:
        self.loads_per_s = loads_per_s
        self.history = history
        self.turn = asyncio.Lock()
        self.failing = False
        self.waiting = 0

    async def fetch(self, request: web.Request) -> web.Response:
        """Answer when the weights have been read."""
        body = await request.json()
        self.waiting += 1
        self.history.write("fetch", adapter=body["adapter"], waiting=self.waiting)
        try:
            async with self.turn:
                await asyncio.sleep(1 / self.loads_per_s)
        finally:
            self.waiting -= 1
        if self.failing:
            return web.Response(status=503)
        return web.json_response({"bytes": 0})

    async def control(self, request: web.Request) -> web.Response:
        """Take a test's word on whether to fail."""
        self.failing = bool((await request.json())["failing"])
        return web.json_response({"failing": self.failing})


def main() -> None:
    """Serve the weight store until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_common_arguments(parser)
    parser.add_argument("--loads-per-s", type=float, default=2.0)
    arguments = parser.parse_args()
    history = HistoryWriter(arguments.history, arguments.name)
    store = WeightStore(arguments.loads_per_s, history)
    app = web.Application()
    app.router.add_post("/v1/fetch", store.fetch)
    app.router.add_post("/control", store.control)
    serve(app, arguments.listen)


if __name__ == "__main__":
    main()
