"""HTTP pages for operators: metrics, host status and lifting a quarantine."""

from collections.abc import Callable

from aiohttp import web
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from sardinequay_core.names import FeatureId

LIFT_PATH = "/v1/quarantine/{content}"
"""``DELETE`` on this path lifts the quarantine of a content on all hosts."""

LiftQuarantine = Callable[[FeatureId], bool]


def create_status_app(
    registry: Registry, status: Callable[[], dict[str, object]], lift: LiftQuarantine
) -> web.Application:
    """Return the application: ``/metrics``, ``/v1/status`` and the lift route."""

    async def show_metrics(request: web.Request) -> web.Response:
        content, headers = render(registry, [])
        return web.Response(body=content, headers=headers)

    async def show_status(request: web.Request) -> web.Response:
        return web.json_response(status())

    app = web.Application()
    app.router.add_get("/metrics", show_metrics)
    app.router.add_get("/v1/status", show_status)
    add_lift_route(app, lift)
    return app


def add_lift_route(app: web.Application, lift: LiftQuarantine) -> None:
    """Add the route that lifts a content's quarantine; 404 if there is none."""

    async def handle_delete(request: web.Request) -> web.Response:
        was_suspect = lift(FeatureId(request.match_info["content"]))
        status = 200 if was_suspect else 404
        return web.json_response({"lifted": was_suspect}, status=status)

    app.router.add_delete(LIFT_PATH, handle_delete)
