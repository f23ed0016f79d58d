"""What a host shows to operators: metrics, what is in force, and one thing to do."""

from collections.abc import Callable

from aiohttp import web
from aioprometheus.collectors import Registry
from aioprometheus.renderer import render

from sardinequay_core.names import ContentId

LIFT_PATH = "/v1/quarantine/{content}"
"""Removing a content from there lets its requests run again, on all hosts."""

LiftQuarantine = Callable[[ContentId], bool]


def create_status_app(
    registry: Registry, status: Callable[[], dict[str, object]], lift: LiftQuarantine
) -> web.Application:
    """Return the pages ``/metrics`` (text), ``/v1/status`` (JSON) and the lift."""

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
    """Let operators lift the quarantine of a content; 404 if it was under none."""

    async def answer(request: web.Request) -> web.Response:
        was_suspect = lift(ContentId(request.match_info["content"]))
        status = 200 if was_suspect else 404
        return web.json_response({"lifted": was_suspect}, status=status)

    app.router.add_delete(LIFT_PATH, answer)
