"""A bare relay, the baseline of the data path: it passes on and knows nothing."""

import argparse
import itertools

import aiohttp
from aiohttp import web

from .standins.serving import serve

HEADERS = ("Content-Type", "X-Request-Id")


class BareRelay:
    """Passes each request to the next target and streams the answer back."""

    def __init__(self, targets: list[str]) -> None:
        self.targets = itertools.cycle(targets)

    async def start(self, app: web.Application) -> None:
        """Open the client."""
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(connector=connector)

    async def pass_on(self, request: web.Request) -> web.StreamResponse:
        """Pass one request on."""
        body = await request.read()
        headers = {n: request.headers[n] for n in HEADERS if n in request.headers}
        url = f"http://{next(self.targets)}{request.raw_path}"
        async with self.session.request(
            request.method, url, data=body or None, headers=headers
        ) as answer:
            response = web.StreamResponse(
                status=answer.status,
                headers={"Content-Type": answer.headers["Content-Type"]},
            )
            await response.prepare(request)
            async for data in answer.content.iter_any():
                await response.write(data)
            await response.write_eof()
            return response


def main() -> None:
    """Relay until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--listen", required=True)
    parser.add_argument("targets", nargs="+", help="ip:port")
    arguments = parser.parse_args()
    relay = BareRelay(arguments.targets)
    app = web.Application()
    app.router.add_route("*", "/{path:.*}", relay.pass_on)
    app.on_startup.append(relay.start)
    serve(app, arguments.listen)


if __name__ == "__main__":
    main()
