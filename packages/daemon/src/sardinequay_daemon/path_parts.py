"""The parts of a host that know paths to targets: its own, and those through peers."""

from random import Random

from sardinequay_core.clock import Clock

from .connection_probe import ConnectionProbe
from .fleet_task import FleetTask
from .path_messages import AskAlive, OpenTunnel
from .path_monitor import PathMonitor
from .peers import PeerClient, PeerServer
from .relay_state import RelayState
from .serving_metrics import ServingMetrics
from .statements.tunnel_gate import TunnelGate
from .store.task import StoreTask
from .target_probe import StatusProbe, TargetProbe
from .target_witness import TargetWitness
from .tunnel_client import TunnelClient
from .tunnel_server import TunnelServer
from .unforeseen import CATALOGUE_KIND, subscribe_contained


class PathParts:
    """Creates and connects the parts.

    Parameters
    ----------
    source_ip : str
        Source address of the connections to targets.
    """

    def __init__(
        self,
        source_ip: str,
        state: RelayState,
        fleet: FleetTask,
        peers: PeerClient,
        engines: StatusProbe,
        clock: Clock,
        random: Random,
        metrics: ServingMetrics,
        gate: TunnelGate,
    ) -> None:
        accepts = ConnectionProbe(source_ip).accepts
        tunnels = TunnelClient(
            fleet, source_ip, clock, random, state.data_centre_at, metrics
        )
        self.monitor = PathMonitor(
            accepts, tunnels, clock, metrics, state.forget_own_failures
        )
        self.tunnel_server = TunnelServer(
            source_ip, self.monitor.is_target, metrics, gate
        )
        self.witness = TargetWitness(
            TargetProbe(
                accepts, engines, state.is_busy, state.health_path, state.wants_backoff
            ),
            accepts,
            lambda: state.catalogue,
            fleet,
            peers,
            random,
        )

    def subscribe(self, store: StoreTask, server: PeerServer) -> None:
        """Follow the catalogue, and answer peers."""
        subscribe_contained(
            store.catalogues,
            self.monitor.apply_catalogue,
            self.monitor.metrics,
            CATALOGUE_KIND,
        )
        server.register(AskAlive, self.witness.handle_ask)
        server.register_stream(OpenTunnel, self.tunnel_server.serve)
