"""What targets state to this host where it passes on the requests of peers.

A target sees the host that opens the tunnel. What it answers binds this host, too, and
may end this host's own requests there; so this host reads the heads of such answers.
"""

from sardinequay_core.clock import Clock
from sardinequay_core.names import TargetId
from sardinequay_core.statements.obstacle import Obstacle

from ..answer_head import HttpHead
from ..relay_state import RelayState
from ..serving_ports import HttpDialect
from .recorders import StatementRecorders


class TunnelGate:
    """Lets peers' requests pass to targets as if they were this host's own."""

    def __init__(
        self,
        state: RelayState,
        recorders: StatementRecorders,
        dialect: HttpDialect,
        clock: Clock,
    ) -> None:
        self.state = state
        self.recorders = recorders
        self.dialect = dialect
        self.clock = clock

    def find_obstacle(self, target: TargetId) -> Obstacle | None:
        """Return the statement that keeps a peer's request from a target, if any."""
        published = self.state.catalogue.targets.get(target)
        if published is None:
            return None
        return self.state.obstacle(published, self.clock.monotonic())

    def record_head(self, target: TargetId, head: HttpHead) -> None:
        """Apply what the head of an answer to a peer's request states."""
        published = self.state.catalogue.targets.get(target)
        if published is None:
            return
        facts = self.dialect.read_facts(head.status, head.headers)
        self.recorders.record_refusals(published, facts, head.status)
