"""An entry host on a platform with a metadata store: creates and runs its tasks.

It relays requests of any format, described by the platform's call dialect, to engines
and plain services.
"""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass, replace
from functools import partial
from random import Random

from sardinequay_core.catalogue import Catalogue
from sardinequay_core.clock import ZERO, Clock, Instant, seconds
from sardinequay_core.names import HostId
from sardinequay_core.order_lease import Ballot, OrderPolicy, Resign
from sardinequay_core.repeat_budget import SLACK_DELAY
from sardinequay_core.software_history import SoftwareHistory
from sardinequay_core.target_health import trial_turn_of

from .adapter_versions import AdapterVersions
from .attempt import RelayDependencies
from .bounded_log import NonBlockingLogHandler
from .caller_admission import CallerAdmission
from .connection_gate import ConnectionGate
from .digest_writer import DigestWriter
from .errors import StartError
from .fleet_task import FleetTask, ReceivedDigest
from .host_pages import create_status_app
from .host_upkeep import describe_host, run_housekeeping
from .http_listeners import HttpListeners, caller_runner
from .load_requests import LoadRequestClient
from .loop_lag import LoopLag
from .order_lease_task import OrderLeaseTask
from .order_task import OrderTask
from .path_parts import PathParts
from .peers import PeerClient, PeerServer
from .quarantine.end_detector import TargetEndDetector
from .quarantine.guard import FeatureGuard
from .quarantine.messages import AskPermit, PermitBack
from .relay import Relay
from .relay_server import RelayServer, connection_limit, readiness_app
from .relay_state import RelayState
from .serving_messages import (
    AdapterMissing,
    Contact,
    Digest,
    UseChanged,
    WantAdapter,
)
from .serving_metrics import ServingMetrics
from .serving_ports import (
    EngineOrders,
    HostProfile,
    HttpDialect,
    MetadataStore,
)
from .shared_settings import TimingSettings
from .statements.parts import StatementParts
from .statements.tunnel_gate import TunnelGate
from .store.parts import StoreParts
from .stream_record_client import StreamRecordClient
from .stream_versions import StreamVersions
from .tracing import Tracing
from .unforeseen import (
    CATALOGUE_KIND,
    DIGEST_KIND,
    install_error_handler,
    subscribe_contained,
)
from .upstream import Upstream

EXIT_PORT_IN_USE = 3
PEER_TIMING = TimingSettings(call_timeout_s=0.6, silence_s=1.0, connect_timeout_s=0.4)
"""Timeouts of calls to peers. Hosts of a region answer in milliseconds; a silent link
must cost less than the time within which updates have to take effect."""

ACCEPT_AFTER_STOP_S = 2.8
"""Time after a stop signal during which new streams are accepted. The load balancer
checks readiness once a second and stops sending after two failed checks. Streams that
start later may outlast the grace period."""

DRAIN_GRACE_SHARE = 0.94
"""Share of the grace period after which requests in flight are abandoned; the rest is
for ending the process before it is killed."""

RESIGN_BEFORE_END_S = 0.5
"""How long before the end of the drain the order lease is released at the latest, in
seconds: the host waits for replies of its voters, and is killed when its grace period
is over."""

DRAIN_POLL_S = 0.05
log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The host's profile and the interfaces that a platform's integration provides."""

    profile: HostProfile
    store: MetadataStore
    dialect: HttpDialect
    engines: EngineOrders


class ServingHost:
    """An entry host that relays requests to engines and plain services.

    Parameters
    ----------
    output : NonBlockingLogHandler
        The log handler; its queued lines are written periodically and at the stop.
    process_started_at : timedelta
        Start of this process on the monotonic clock.
    """

    def __init__(
        self,
        deployment: Deployment,
        clock: Clock,
        random: Random,
        tracing: Tracing,
        output: NonBlockingLogHandler,
        process_started_at: Instant,
    ) -> None:
        self.profile = deployment.profile
        self.deployment = deployment
        self.clock = clock
        self.random = random
        self.output = output
        profile = self.profile
        bounds = profile.bounds
        self.me = Contact(profile.host_id, profile.data_centre, str(profile.peers))
        self.metrics = ServingMetrics(profile.host_id, profile.data_centre)
        self.peer_server = PeerServer(self.metrics)
        self.peers = PeerClient(PEER_TIMING, self.metrics, profile.peers.ip)
        order_policy = OrderPolicy(quiet_period=bounds.order_quiet)
        self.fleet = FleetTask(
            self.me,
            profile.seeds,
            self.peers,
            clock,
            order_policy.member_retention,
            self.make_digest,
        )
        self.store_parts = StoreParts(
            deployment.store,
            profile,
            self.fleet,
            self.peers,
            clock,
            random,
            self.metrics,
        )
        self.store = self.store_parts.task
        self.state = RelayState(
            profile.data_centre,
            clock,
            random,
            bounds.repeats,
            self.fleet,
            repeat_slack_from=ZERO
            if profile.is_first_start
            else process_started_at + SLACK_DELAY,
            software=SoftwareHistory(profile.is_first_start),
            store_age_s=self.store.age_s,
        )
        self.state.quotas.apply_policy(bounds.quotas)
        self.state.statements.drain = bounds.drain
        self.state.health.trial_turn = trial_turn_of(profile.host_id)
        self.lease = OrderLeaseTask(
            profile.host_id,
            profile.data_centre,
            self.peers,
            self.fleet,
            clock,
            random,
            order_policy,
            profile.is_first_start,
            process_started_at,
        )
        self.orders = OrderTask(
            profile.host_id,
            profile.data_centre,
            deployment.engines,
            self.lease,
            clock,
            self.metrics,
            self.state.uses,
            self.announce_holdings,
            self.state.statements.is_leaving,
        )
        self.state.orders = self.orders
        self.versions = AdapterVersions(
            self.state, clock, self.metrics, profile.bounds.version_in_force
        )
        self.statements = StatementParts(
            profile.host_id,
            self.state,
            self.fleet,
            self.peers,
            clock,
            random.random,
            self.metrics,
        )
        self.paths = PathParts(
            profile.callers.ip,
            self.state,
            self.fleet,
            self.peers,
            deployment.engines,
            clock,
            random,
            self.metrics,
            TunnelGate(
                self.state, self.statements.recorders, deployment.dialect, clock
            ),
        )
        self.orders.runner.paths = self.paths.monitor
        self.upstream = Upstream(profile.callers.ip, self.paths.monitor)
        self.feature_guard = FeatureGuard(
            profile.host_id,
            self.state.quarantine,
            TargetEndDetector(
                self.paths.witness.is_alive,
                self.state.is_live,
                lambda pool: self.metrics.target_ends.inc({"pool": pool}),
            ),
            self.fleet,
            self.peers,
            clock,
        )
        self.streams = StreamVersions(
            StreamRecordClient(
                profile.host_id, self.fleet, self.peers, clock, random, self.metrics
            ),
            self.state,
            self.store,
            clock,
            self.metrics,
        )
        self.relay = Relay(
            RelayDependencies(
                self.state,
                deployment.dialect,
                self.upstream,
                LoadRequestClient(self.state, self.peers),
                self.statements,
                self.metrics,
                tracing,
                self.paths.monitor,
                self.streams,
            ),
            self.feature_guard,
        )
        self.lag = LoopLag(clock)
        self.listeners = HttpListeners(clock, self.metrics)
        self.server = RelayServer(
            self.relay,
            CallerAdmission(self.state, self.store.is_current, self.metrics),
            self.state,
            deployment.dialect,
            self.metrics,
            tracing,
            self.listeners.bounds(
                "callers", connection_limit(profile.memory_mb, profile.max_fds)
            ),
            ConnectionGate(self.lag),
            profile.memory_mb,
        )
        self.digest_writer = DigestWriter(
            self.me,
            self.fleet,
            self.state,
            self.store,
            self.orders,
            self.statements.recorders,
            self.paths.monitor.paths,
            clock,
        )
        self.is_stopping = False
        self.subscribe_tasks()

    def subscribe_tasks(self) -> None:
        """Subscribe tasks to updates, and register the handlers of peers' messages."""
        self.follow_catalogue(self.state.apply_catalogue, self.versions.apply_catalogue)
        self.paths.subscribe(self.store, self.peer_server)
        self.follow_catalogue(
            self.orders.apply_catalogue, self.feature_guard.apply_catalogue
        )
        self.follow_digests(self.state.apply_digest, self.handle_peer_contents)
        self.statements.subscribe(self.fleet, self.peer_server, self.deployment.engines)
        self.follow_digests(self.digest_writer.handle_digest, self.lease.handle_digest)
        self.fleet.lost_peers.subscribe(self.state.forget_peer)
        self.fleet.lost_peers.subscribe(self.digest_writer.reset_sent_state)
        self.fleet.holds_lease = lambda: self.lease.is_holder
        self.lease.newest_revision = lambda: self.store.newest_revision
        self.store_parts.subscribe(self.peer_server)
        self.streams.subscribe(self.fleet, self.peer_server)
        server = self.peer_server
        server.register(Digest, self.fleet.answer_digest)
        server.register(AskPermit, self.feature_guard.permits.handle_ask_permit)
        server.register(PermitBack, self.feature_guard.permits.handle_permit_back)
        server.register(Ballot, self.lease.handle_ballot)
        server.register(Resign, self.lease.handle_resign)
        server.register(WantAdapter, self.orders.load_requests.handle)
        server.register(AdapterMissing, self.orders.handle_adapter_event)
        server.register(UseChanged, self.orders.handle_adapter_event)

    def follow_catalogue(self, *handlers: Callable[[Catalogue], None]) -> None:
        """Call handlers with each catalogue; none keeps it from the others."""
        for handler in handlers:
            subscribe_contained(
                self.store.catalogues, handler, self.metrics, CATALOGUE_KIND
            )

    def follow_digests(self, *handlers: Callable[[ReceivedDigest], None]) -> None:
        """Call handlers with each digest; none keeps it from the others."""
        for handler in handlers:
            subscribe_contained(self.fleet.digests, handler, self.metrics, DIGEST_KIND)

    def apply_profile(self, profile: HostProfile) -> None:
        """Apply changed settings: seeds and bounds. Addresses need a restart."""
        self.profile = replace(self.profile, seeds=profile.seeds, bounds=profile.bounds)
        self.fleet.set_seeds(profile.seeds)
        self.state.apply_repeat_policy(profile.bounds.repeats)
        self.state.quotas.apply_policy(profile.bounds.quotas)
        self.state.statements.drain = profile.bounds.drain
        self.versions.in_force_within = profile.bounds.version_in_force
        self.store_parts.apply_bounds(profile.bounds)
        self.lease.apply_policy(OrderPolicy(quiet_period=profile.bounds.order_quiet))
        log.info("settings reloaded", extra={"seeds": [str(s) for s in profile.seeds]})

    def make_digest(self, host_id: HostId) -> Digest:
        """Return the digest (heartbeat) to send to a peer now."""
        return self.digest_writer.build_digest(host_id)

    def announce_holdings(self) -> None:
        """Apply new holdings of engines on this host and announce them to peers."""
        now = self.clock.monotonic()
        for holdings in self.orders.holdings_snapshot():
            self.state.apply_holdings(holdings, now)
        self.fleet.request_update(far=True)

    def handle_peer_contents(self, received: ReceivedDigest) -> None:
        """Apply the updates about suspected contents in a peer's digest."""
        self.feature_guard.apply_updates(received.digest.contents)

    def is_ready(self) -> bool:
        """Return whether this host can serve, and goes on to."""
        return self.store_parts.can_serve() and not self.is_stopping

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then let requests in flight finish."""
        install_error_handler(self.metrics)
        peer_listener = await self.listen()
        log.info("started", extra={"data_centre": self.profile.data_centre})
        try:
            async with asyncio.TaskGroup() as group:
                background_tasks = [
                    group.create_task(self.store_parts.reader.run()),
                    group.create_task(self.fleet.run()),
                    group.create_task(self.orders.run()),
                    group.create_task(self.paths.monitor.run()),
                    group.create_task(self.listeners.close_overdue_connections()),
                    group.create_task(self.lag.run()),
                    group.create_task(run_housekeeping(self)),
                ]
                await stop.wait()
                await self.drain()
                for task in background_tasks:
                    task.cancel()
        finally:
            peer_listener.close()
            await self.close()
            log.info("stopped", extra={"in_flight": self.server.in_flight})
            self.output.write_pending()

    async def listen(self) -> asyncio.Server:
        """Open the listeners for peers, readiness, metrics and callers."""
        profile = self.profile
        try:
            listener = await self.peer_server.start(profile.peers)
            ready = readiness_app(profile.readiness_path, self.is_ready)
            await self.listeners.serve_pages(ready, "readiness", profile.readiness)
            status = create_status_app(
                self.metrics.registry,
                partial(describe_host, self),
                self.feature_guard.lift_quarantine,
            )
            await self.listeners.serve_pages(status, "metrics", profile.metrics)
            await self.listeners.serve(caller_runner(self.server), profile.callers)
        except OSError as error:
            raise StartError(f"cannot listen: {error}", EXIT_PORT_IN_USE) from error
        return listener

    async def drain(self) -> None:
        """Become unready, leave the fleet, and wait for requests in flight.

        The order lease is released when they have ended, or shortly before the grace
        period is over.
        """
        drain_started_at = self.clock.monotonic()
        grace_s = self.profile.bounds.grace.total_seconds() * DRAIN_GRACE_SHARE
        log.info("stopping", extra={"in_flight": self.server.in_flight})
        self.is_stopping = True
        self.lease.begin_leaving()
        self.fleet.announce_leaving()
        await asyncio.sleep(min(ACCEPT_AFTER_STOP_S, grace_s / 2))
        self.server.stops_at = drain_started_at + seconds(grace_s)
        self.server.is_closing = True
        self.paths.tunnel_server.is_closing = True
        while self.is_serving():
            elapsed_s = (self.clock.monotonic() - drain_started_at).total_seconds()
            if elapsed_s > grace_s - RESIGN_BEFORE_END_S:
                await self.orders.resign()
            if elapsed_s > grace_s:
                remaining = self.server.in_flight
                log.error(
                    "stopped with requests in flight", extra={"in_flight": remaining}
                )
                break
            await asyncio.sleep(DRAIN_POLL_S)
        await self.orders.resign()

    def is_serving(self) -> bool:
        """Return whether callers or peers still need this host while it stops."""
        return bool(
            self.server.in_flight
            or self.has_open_connections()
            or self.paths.tunnel_server.open_tunnels
        )

    def has_open_connections(self) -> bool:
        """Return whether connections of callers are still open.

        While this host stops, its listener closes each one once it is idle.
        """
        return bool(self.server.connections)

    async def close(self) -> None:
        """Close listeners and connections."""
        await self.listeners.close()
        await self.upstream.close()
        self.store_parts.fetcher.stop()
        self.peers.close()
        self.peer_server.close()
