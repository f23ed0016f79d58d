"""An entry host that serves signed bundles: creates, connects and runs its tasks."""

import asyncio
import logging
from datetime import timedelta
from random import Random

import aiohttp
from aiohttp import web

from sardinequay_core.admission import Admission, AdmissionPolicy, RetryPolicy
from sardinequay_core.approval import ApprovalPolicy
from sardinequay_core.bundle import Bundle
from sardinequay_core.claims import ClaimRequest, HandoverRequest, Settle, ViewQuery
from sardinequay_core.clock import Clock
from sardinequay_core.leases import HolderId
from sardinequay_core.membership import Member
from sardinequay_core.names import parse_address
from sardinequay_core.quarantine import Quarantine, QuarantinePolicy
from sardinequay_core.rollout import OfferedBundle
from sardinequay_core.roster import Roster

from .caller_server import CallerServer
from .claimer import Claimer
from .connection_probe import ConnectionProbe
from .dispatch import ModelDispatcher, RetryBudgets
from .engine_client import EngineHealthCheck, HttpEngineClient
from .errors import StartError
from .guard_task import GuardTask, claim_policy
from .http_listeners import HttpListeners
from .journal import Journal
from .keeper_task import KeeperTask
from .mailbox import run_periodically
from .membership_task import MembershipTask, PeerInForce
from .messages import (
    Acquire,
    FetchBlobs,
    FetchRoot,
    FetchRoster,
    GiveBack,
    InForce,
    Offer,
    Ping,
    Recall,
    Renew,
    Want,
)
from .metrics import Metrics
from .operators import HostStatus, OperatorServer
from .peers import PeerClient, PeerServer
from .platform import HttpConfigurationService, HttpHostList, HttpReader
from .quarantine.end_detector import TargetEndDetector
from .quarantine.guard import FeatureGuard
from .quarantine.messages import AskPermit, ContentsTold, PermitBack
from .quarantine.replicator import QuarantineReplicator
from .rollout_task import PeerOffer, RolloutTask
from .roster_task import RosterTask
from .services import ServiceForwarder
from .settings import Settings
from .single_send import client_session
from .strict_connector import StrictConnector
from .target_probe import TargetProbe
from .tls import client_context, server_context
from .tracing import Tracing
from .unforeseen import install_error_handler, subscribe_contained
from .use_lease_task import UseLeaseTask

EXIT_PORT_IN_USE = 3
EXIT_BAD_KEY = 4
GUARD_MESSAGES = (ClaimRequest, Settle, HandoverRequest, ViewQuery)
KEEPER_MESSAGES = (Acquire, Renew, GiveBack, Want)
IDLE_CONNECTION_S = 15.0

SAME_END_WITHIN = timedelta(seconds=2)
"""Ends of a target within this time count as one. Target ids here stay the same over
restarts and carry no incarnation, so two ends cannot be told apart otherwise. A longer
time would hide an engine that restarts and ends again."""

EXPIRE_INTERVAL_S = 10.0
"""Interval at which suspected contents are checked for expiry."""

log = logging.getLogger(__name__)


class Host:
    """An entry host as its settings describe it."""

    def __init__(
        self, settings: Settings, clock: Clock, random: Random, tracing: Tracing
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.random = random
        self.tracing = tracing
        self.metrics = Metrics(settings.host_id, settings.data_centre)
        self.journal = Journal(clock)
        self.listener = parse_address(settings.peer_listener).unwrap()
        advertised = settings.advertised_peer_address or settings.peer_listener
        self.peer_address = parse_address(advertised).unwrap()
        self.incarnation = int(clock.now().timestamp() * 1000)
        self.is_stopping = False
        self.peer_server = PeerServer(self.metrics)
        self.peers = PeerClient(
            settings.timing,
            self.metrics,
            self.listener.ip,
            client_context(settings.peer_tls),
        )
        self.sessions: list[aiohttp.ClientSession] = []
        self.listeners = HttpListeners(clock, self.metrics)

    def build_tasks(self) -> None:
        """Create all tasks and connect them."""
        settings, timing = self.settings, self.settings.timing
        pooled_session, fresh_session = (
            self.make_session(False),
            self.make_session(True),
        )
        self.sessions = [pooled_session, fresh_session]
        self.membership = self.make_membership()
        self.guard = GuardTask(
            settings.host_id, self.incarnation, settings.claims, self.peers, self.clock
        )
        self.roster = RosterTask(
            HttpHostList(
                self.make_reader(pooled_session, settings.host_list, "host_list")
            ),
            self.peers,
            timing,
            self.metrics,
            self.membership.is_reader,
        )
        self.rollout = RolloutTask(
            ApprovalPolicy(settings.trust.keys, settings.trust.threshold),
            HttpConfigurationService(
                self.make_reader(
                    pooled_session, settings.configuration_service, "configuration"
                )
            ),
            self.peers,
            timing,
            self.metrics,
            self.journal,
            self.clock,
            self.random,
            self.membership.is_reader,
        )
        engines = HttpEngineClient(
            pooled_session,
            fresh_session,
            timing.silence_s,
            settings.limits.longest_request_s,
        )
        self.keeper = KeeperTask(
            settings.host_id,
            settings.data_centre,
            engines,
            self.peers,
            timing,
            settings.limits,
            self.clock,
            self.random,
            self.metrics,
            self.journal,
        )
        self.leases = UseLeaseTask(
            HolderId(f"{settings.host_id}#{self.incarnation}"),
            self.peer_address,
            settings.data_centre,
            self.peers,
            timing,
            self.clock,
            self.metrics,
        )
        self.claimer = Claimer(
            settings.data_centres,
            claim_policy(settings.claims),
            self.peers,
            self.clock,
            self.metrics,
            self.journal,
            self.tracing,
        )
        self.feature_guard = self.make_feature_guard(engines)
        self.callers = self.make_callers(engines, pooled_session, fresh_session)
        self.operators = OperatorServer(
            self,
            self.metrics,
            self.journal,
            self.refresh_metrics,
            self.feature_guard.lift_quarantine,
        )
        self.subscribe_tasks()
        self.register_handlers()

    def make_session(self, is_fresh: bool) -> aiohttp.ClientSession:
        """Create an HTTP client; `is_fresh` opens a new connection for each request."""
        source_ip = self.listener.ip
        connector = (
            StrictConnector(source_ip, force_close=True)
            if is_fresh
            else StrictConnector(source_ip, keepalive_timeout=IDLE_CONNECTION_S)
        )
        return client_session(
            connector, auto_decompress=False, cookie_jar=aiohttp.DummyCookieJar()
        )

    def make_reader(
        self, session: aiohttp.ClientSession, url: str, name: str
    ) -> HttpReader:
        """Create the reader of one of the platform's services."""
        return HttpReader(session, url, self.metrics, name)

    def make_membership(self) -> MembershipTask:
        """Create the task that tracks the live hosts of this data centre."""
        me = Member(self.settings.host_id, self.peer_address, self.incarnation)
        return MembershipTask(
            me,
            self.settings.data_centre,
            self.settings.timing,
            self.peers,
            self.clock,
            self.random,
            self.metrics,
            self.in_force,
            self.handle_peer_in_force,
        )

    def make_feature_guard(self, engines: HttpEngineClient) -> FeatureGuard:
        """Create the guard that stops requests whose content crashes targets."""
        quarantine = Quarantine(QuarantinePolicy(same_end_span=SAME_END_WITHIN))
        self.quarantine_replicator = QuarantineReplicator(
            self.membership, self.peers, quarantine, self.clock, self.random
        )
        guard = FeatureGuard(
            self.settings.host_id,
            quarantine,
            TargetEndDetector(
                TargetProbe(
                    ConnectionProbe(self.listener.ip).accepts,
                    EngineHealthCheck(engines),
                    lambda _: False,
                    lambda _: "",
                ).is_alive,
                lambda target: self.roster.roster.is_live(target),
                lambda pool: self.metrics.target_ends.inc({"pool": pool}),
            ),
            self.quarantine_replicator,
            self.peers,
            self.clock,
        )
        self.quarantine_replicator.received.subscribe(guard.apply_updates)
        return guard

    def make_callers(
        self,
        engines: HttpEngineClient,
        pooled_session: aiohttp.ClientSession,
        fresh_session: aiohttp.ClientSession,
    ) -> CallerServer:
        """Create the server for callers."""
        limits = self.settings.limits
        budgets = RetryBudgets(
            RetryPolicy(ratio=limits.retry_ratio, max_attempts=limits.max_attempts)
        )
        dispatcher = ModelDispatcher(
            engines,
            self.leases,
            self.claimer,
            budgets,
            self.tracing,
            self.metrics,
            self.journal,
            self.feature_guard,
        )
        self.forwarder = ServiceForwarder(
            pooled_session,
            fresh_session,
            self.claimer,
            budgets,
            self.tracing,
            self.metrics,
            self.journal,
            self.clock,
            self.random,
            self.settings.timing.silence_s,
            self.feature_guard,
        )
        policy = AdmissionPolicy(limits.max_in_flight, limits.reserved_share)
        return CallerServer(
            self.current_bundle,
            dispatcher,
            self.forwarder,
            Admission(policy),
            limits,
            self.tracing,
            self.metrics,
            self.journal,
            self.clock,
        )

    def subscribe_tasks(self) -> None:
        """Subscribe tasks to the updates of other tasks."""
        rosters = self.roster.rosters
        for handler in (
            self.membership.apply_roster,
            self.claimer.apply_roster,
            self.leases.apply_roster,
            self.forwarder.apply_roster,
            self.forward_roster_to_guard,
        ):
            subscribe_contained(rosters, handler, self.metrics, "roster")
        self.roster.direct_reads.subscribe(self.guard.apply_host_list)
        self.membership.live_members.subscribe(self.leases.apply_members)
        self.keeper.subscribe(
            self.rollout.bundles, rosters, self.membership.live_members
        )
        subscribe_contained(
            self.rollout.bundles, self.announce_bundle, self.metrics, "bundle"
        )

    def forward_roster_to_guard(self, roster: Roster) -> None:
        """Pass a roster to the guard task, unless it is the empty initial one."""
        if roster.number:
            self.guard.apply_peer_roster(roster)

    def announce_bundle(self, bundle: Bundle | None) -> None:
        """Announce a bundle that came into force to peers at once."""
        if bundle is not None:
            self.membership.announce_in_force()

    def register_handlers(self) -> None:
        """Register the handlers of peers' messages."""
        server = self.peer_server
        server.register(Ping, self.membership.handle_ping)
        server.register(Offer, self.membership.handle_offer)
        server.register(FetchRoot, self.rollout.handle_fetch_root)
        server.register(FetchBlobs, self.rollout.handle_fetch_blobs)
        server.register(FetchRoster, self.roster.handle_fetch)
        server.register(Recall, self.leases.handle_recall)
        server.register(ContentsTold, self.quarantine_replicator.handle_contents_told)
        server.register(AskPermit, self.feature_guard.permits.handle_ask_permit)
        server.register(PermitBack, self.feature_guard.permits.handle_permit_back)
        for guard_message in GUARD_MESSAGES:
            server.register(guard_message, self.guard.inbox.request)
        for keeper_message in KEEPER_MESSAGES:
            server.register(keeper_message, self.keeper.inbox.request)

    def in_force(self) -> InForce:
        """Return the bundle and roster versions in force, sent with each heartbeat."""
        return self.rollout.in_force(self.roster.roster.number)

    def handle_peer_in_force(self, event: PeerInForce) -> None:
        """Pass a peer's bundle and roster versions to the tasks that may fetch them."""
        in_force = event.in_force
        offered = OfferedBundle(in_force.bundle_version, in_force.bundle_digest)
        if self.rollout.rollout.should_fetch(offered):
            self.rollout.inbox.post(PeerOffer(offered, event.address))
        if in_force.roster_number > self.roster.roster.number:
            self.roster.inbox.post((in_force.roster_number, event.address))

    def current_bundle(self) -> Bundle | None:
        """Return the bundle in force."""
        installed = self.rollout.installed
        return installed.bundle if installed else None

    def is_ready(self) -> bool:
        """Return whether this host accepts requests."""
        has_configuration = (
            self.rollout.rollout.can_serve() and self.roster.roster.number > 0
        )
        return has_configuration and not self.is_stopping

    def status(self) -> HostStatus:
        """Return this host's state for the status page."""
        installed = self.rollout.installed
        return HostStatus(
            host=self.settings.host_id,
            data_centre=self.settings.data_centre,
            ready=self.is_ready(),
            stopping=self.is_stopping,
            bundle_version=installed.bundle.version if installed else 0,
            bundle_digest=installed.bundle.digest if installed else "",
            bundle_since=installed.since.isoformat() if installed else "",
            confirmed_by=self.rollout.rollout.confirmation.value,
            bundles_refused=sorted(f"{r} {d}" for r, d in self.rollout.rollout.refused),
            roster_number=self.roster.roster.number,
            in_flight=self.callers.admission.in_flight,
            members=self.membership.health_by_member(),
            guard_views=self.guard.active_views(),
            resident=self.keeper.residency_snapshot(),
            quarantined=self.feature_guard.held_contents(),
        )

    async def expire_contents(self) -> None:
        """Delete suspected contents that expired without further updates."""
        self.feature_guard.expire()

    def refresh_metrics(self) -> None:
        """Update the gauges that are computed from the state when scraped."""
        self.metrics.in_flight.set({}, self.callers.admission.in_flight)
        held = self.feature_guard.held_contents()
        self.metrics.quarantined.set({}, len(held))
        installed = self.rollout.installed
        if installed is not None:
            age = (self.clock.now() - installed.since).total_seconds()
            self.metrics.bundle_age.set({}, age)

    async def run(self, stop: asyncio.Event) -> None:
        """Serve until `stop` is set, then let requests in flight finish."""
        install_error_handler(self.metrics)
        self.build_tasks()
        peer_listener = await self.listen()
        try:
            async with asyncio.TaskGroup() as group:
                background_tasks = [
                    group.create_task(self.roster.run()),
                    group.create_task(self.rollout.run(self.membership.join_peers)),
                    group.create_task(self.membership.run()),
                    group.create_task(self.guard.run()),
                    group.create_task(self.keeper.run()),
                    group.create_task(self.leases.run()),
                    group.create_task(self.listeners.close_overdue_connections()),
                    group.create_task(self.quarantine_replicator.run()),
                    group.create_task(
                        run_periodically(EXPIRE_INTERVAL_S, self.expire_contents)
                    ),
                ]
                await stop.wait()
                await self.drain()
                for task in background_tasks:
                    task.cancel()
        finally:
            peer_listener.close()
            await self.close()

    async def listen(self) -> asyncio.Server:
        """Open the listeners for peers, operators and callers."""
        settings = self.settings
        try:
            peer_tls = server_context(settings.peer_tls)
            listener = await self.peer_server.start(self.listener, peer_tls)
            await self.listeners.serve_pages(
                self.operators.app(),
                "operators",
                parse_address(settings.operator_listener).unwrap(),
            )
            caller_tls = server_context(settings.caller_tls)
            bounds = self.listeners.bounds("callers", settings.limits.max_connections)
            runner = web.ServerRunner(self.callers.server(bounds), shutdown_timeout=1.0)
            await self.listeners.serve(
                runner, parse_address(settings.caller_listener).unwrap(), caller_tls
            )
        except OSError as error:
            raise StartError(f"cannot listen: {error}", EXIT_PORT_IN_USE) from error
        log.info("listening", extra={"callers": settings.caller_listener})
        return listener

    async def drain(self) -> None:
        """Become unready, notify peers, and wait for requests in flight."""
        timing = self.settings.timing
        log.info("stopping", extra={"in_flight": self.callers.admission.in_flight})
        self.is_stopping = True
        await self.membership.announce_leaving()
        # The load balancer needs time to notice that this host is not ready.
        await asyncio.sleep(timing.leave_notice_s)
        self.callers.is_stopping = True
        try:
            async with asyncio.timeout(timing.shutdown_s):
                await self.callers.idle.wait()
        except TimeoutError:
            remaining = self.callers.admission.in_flight
            log.error("stopped with requests in flight", extra={"in_flight": remaining})
        await self.leases.return_idle_leases()

    async def close(self) -> None:
        """Close listeners, connections and sessions."""
        await self.listeners.close()
        self.peers.close()
        self.peer_server.close()
        for session in self.sessions:
            await session.close()
