"""Stand-in of a plain service: an order desk that must not be asked twice."""

import argparse
import asyncio

from aiohttp import web

from ..history import HistoryWriter
from .serving import add_common_arguments, end_if_fatal, serve


class Service:
    """Takes orders and serves assets."""

    def __init__(self, delay_s: float, history: HistoryWriter) -> None:
        self.delay_s = delay_s
        self.history = history

    async def order(self, request: web.Request) -> web.Response:
        """Run an order."""
        body = await request.read()
        key = request.headers.get("Idempotency-Key", "")
        request_id = request.headers.get("X-Request-Id", "")
        self.history.write("started", request=request_id, key=key)
        end_if_fatal(body.decode(errors="replace"))
        await asyncio.sleep(self.delay_s)
        self.history.write("ended", request=request_id, key=key)
        text = body.decode(errors="replace")
        return web.json_response({"ordered": text, "key": key}, status=201)

    async def asset(self, request: web.Request) -> web.Response:
        """Serve an asset whose bytes follow from its path."""
        await asyncio.sleep(self.delay_s)
        self.history.write("asset", path=request.path)
        return web.Response(text=f"asset {request.path}", headers={"X-Kind": "asset"})

    def app(self) -> web.Application:
        """Return the service as an HTTP application."""
        app = web.Application()
        app.router.add_post("/{path:.*}", self.order)
        app.router.add_get("/{path:.*}", self.asset)
        return app


def main() -> None:
    """Serve a plain service until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_common_arguments(parser)
    parser.add_argument("--delay-s", type=float, default=0.005)
    arguments = parser.parse_args()
    history = HistoryWriter(arguments.history, arguments.name)
    serve(Service(arguments.delay_s, history).app(), arguments.listen)


if __name__ == "__main__":
    main()
