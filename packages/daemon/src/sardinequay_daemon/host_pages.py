"""What a host shows to operators: its metrics and what is in force on it."""

from collections.abc import Callable

from aiohttp import web
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render


def pages_app(
    registry: Registry, status: Callable[[], dict[str, object]]
) -> web.Application:
    """Return the pages ``/metrics`` (text) and ``/v1/status`` (JSON)."""

    async def show_metrics(request: web.Request) -> web.Response:
        content, headers = render(registry, [])
        return web.Response(body=content, headers=headers)

    async def show_status(request: web.Request) -> web.Response:
        return web.json_response(status())

    app = web.Application()
    app.router.add_get("/metrics", show_metrics)
    app.router.add_get("/v1/status", show_status)
    return app
