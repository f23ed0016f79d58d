"""The operators' listener: read-only, but for lifting a quarantine."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from aiohttp import web
from aioprometheus.renderer import render

from sardinequay_core.names import TargetId

from .content_guard import HeldContent
from .host_pages import Lift, add_lift
from .journal import Journal
from .metrics import Metrics


class StatusSource(Protocol):
    """What can be asked about a host."""

    def status(self) -> "HostStatus":
        """Return what is in force on this host."""

    def is_ready(self) -> bool:
        """Return whether this host takes requests."""


@dataclass(frozen=True, slots=True)
class HostStatus:
    """What is in force on one host."""

    host: str
    data_centre: str
    ready: bool
    stopping: bool
    bundle_version: int
    bundle_digest: str
    bundle_since: str
    confirmed_by: str
    bundles_refused: list[str]
    roster_number: int
    in_flight: int
    members: dict[str, str]
    guard_views: dict[str, int | None]
    resident: dict[str, dict[TargetId, list[str]]]
    quarantined: list[HeldContent]


class OperatorServer:
    """Answers operators."""

    def __init__(
        self,
        source: StatusSource,
        metrics: Metrics,
        journal: Journal,
        before_metrics: Callable[[], None],
        lift: Lift,
    ) -> None:
        self.source = source
        self.metrics = metrics
        self.journal = journal
        self.before_metrics = before_metrics
        self.lift = lift

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/healthz", self.health)
        app.router.add_get("/readyz", self.ready)
        app.router.add_get("/metrics", self.publish)
        app.router.add_get("/v1/status", self.status)
        app.router.add_get("/v1/explain/{subject}", self.explain)
        add_lift(app, self.lift)
        return app

    async def health(self, _: web.Request) -> web.Response:
        """Answer that the process lives."""
        return web.json_response({"healthy": True})

    async def ready(self, _: web.Request) -> web.Response:
        """Answer whether the balancer may send requests here."""
        is_ready = self.source.is_ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def publish(self, request: web.Request) -> web.Response:
        """Answer with the metrics."""
        self.before_metrics()
        accept = request.headers.getall("Accept", [])
        body, headers = render(self.metrics.registry, accept)
        return web.Response(body=body, headers=headers)

    async def status(self, _: web.Request) -> web.Response:
        """Answer with what is in force here."""
        return as_json(self.source.status())

    async def explain(self, request: web.Request) -> web.Response:
        """Answer with what is remembered of a request, a load or an eviction."""
        entries = self.journal.explain(request.match_info["subject"])
        return as_json(entries, status=200 if entries else 404)


def as_json(value: Any, status: int = 200) -> web.Response:
    """Return a value as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
