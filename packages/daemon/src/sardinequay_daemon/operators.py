"""HTTP listener for operators: read-only, except for lifting a quarantine."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

import msgspec
from aiohttp import web
from aioprometheus.renderer import render

from sardinequay_core.names import TargetId

from .host_pages import LiftQuarantine, add_lift_route
from .journal import Journal
from .metrics import Metrics
from .quarantine.held import HeldContent


class StatusSource(Protocol):
    """Source of a host's status."""

    def status(self) -> "HostStatus":
        """Return the status of this host."""

    def is_ready(self) -> bool:
        """Return whether this host accepts requests."""


@dataclass(frozen=True, slots=True)
class HostStatus:
    """Status of one host."""

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
    """Serves health, metrics, status and explanations to operators.

    Parameters
    ----------
    update_metrics : callable
        Updates the gauges; called before each response with metrics.
    """

    def __init__(
        self,
        source: StatusSource,
        metrics: Metrics,
        journal: Journal,
        update_metrics: Callable[[], None],
        lift_quarantine: LiftQuarantine,
    ) -> None:
        self.source = source
        self.metrics = metrics
        self.journal = journal
        self.update_metrics = update_metrics
        self.lift_quarantine = lift_quarantine

    def app(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/healthz", self.show_health)
        app.router.add_get("/readyz", self.show_readiness)
        app.router.add_get("/metrics", self.show_metrics)
        app.router.add_get("/v1/status", self.show_status)
        app.router.add_get("/v1/explain/{subject}", self.show_explanation)
        add_lift_route(app, self.lift_quarantine)
        return app

    async def show_health(self, _: web.Request) -> web.Response:
        """Respond that the process is running."""
        return web.json_response({"healthy": True})

    async def show_readiness(self, _: web.Request) -> web.Response:
        """Respond whether a load balancer may send requests to this host."""
        is_ready = self.source.is_ready()
        return web.json_response({"ready": is_ready}, status=200 if is_ready else 503)

    async def show_metrics(self, request: web.Request) -> web.Response:
        """Respond with the metrics."""
        self.update_metrics()
        accept = request.headers.getall("Accept", [])
        body, headers = render(self.metrics.registry, accept)
        return web.Response(body=body, headers=headers)

    async def show_status(self, _: web.Request) -> web.Response:
        """Respond with the host status."""
        return json_response(self.source.status())

    async def show_explanation(self, request: web.Request) -> web.Response:
        """Respond with the journal entries of a request, a load or an eviction."""
        entries = self.journal.explain(request.match_info["subject"])
        return json_response(entries, status=200 if entries else 404)


def json_response(value: Any, status: int = 200) -> web.Response:
    """Return a value as a JSON response."""
    return web.Response(
        body=msgspec.json.encode(value), status=status, content_type="application/json"
    )
