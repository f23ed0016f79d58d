"""Cuts the connections that cost most while all hold more than the budget."""

import asyncio
import logging
from collections.abc import Iterable, Mapping
from dataclasses import replace

from sardinequay_core.byte_budget import (
    Cut,
    Holding,
    choose_bodies_to_give_up,
    choose_cuts,
)
from sardinequay_core.clock import Clock, Instant, seconds

from ..caller_connection import CallerConnection
from ..connection_reset import reset
from ..serving_metrics import ServingMetrics

MEMORY_SHARE = 0.25
"""Share of the process's memory for what callers' connections hold: bodies that are not
complete, answers that are not taken, and input that waits. Complete bodies have a share
of their own."""

BODY_STOPPED = seconds(1)
"""A body of which nothing came for this long gives way to those that come."""

log = logging.getLogger(__name__)


class ByteBudget:
    """Keeps what callers' connections hold within a budget.

    Attributes
    ----------
    held_bytes : int
        What all connections held at the last check.
    """

    def __init__(self, clock: Clock, metrics: ServingMetrics, memory_mb: int) -> None:
        self.clock = clock
        self.metrics = metrics
        self.budget_bytes = int(memory_mb * 1e6 * MEMORY_SHARE)
        self.held_bytes = 0

    def check(self, connections: Iterable[CallerConnection]) -> None:
        """Measure what connections hold, and cut some if that is too much."""
        now = self.clock.monotonic()
        by_number = dict(enumerate(connections))
        holdings = measure(by_number, now)
        self.held_bytes = sum(holding.held_bytes for holding in holdings)
        self.metrics.held_bytes.set({}, self.held_bytes)
        for cut in choose_cuts(holdings, self.budget_bytes):
            self.cut(by_number[cut.holding.connection], cut, self.budget_bytes)

    def make_room_for_body(
        self,
        connections: Iterable[CallerConnection],
        excess_bytes: int,
        left_bytes: int,
    ) -> bool:
        """Give up bodies that stopped coming, for one that comes, if that helps it.

        Parameters
        ----------
        excess_bytes : int
            Bytes by which bodies exceed their share of the memory.
        left_bytes : int
            Bytes that are still to come of the body.

        Returns
        -------
        bool
            Whether there is room for the body now.
        """
        now = self.clock.monotonic()
        by_number = {
            number: connection
            for number, connection in enumerate(connections)
            if connection.bytes.body_timer is not None
        }
        excess_bytes -= sum(
            connection.bytes.body_bytes
            for connection in by_number.values()
            if connection.bytes.is_cut
        )
        if excess_bytes <= 0:
            return True
        stopped = stopped_bodies(by_number, now)
        cuts = choose_bodies_to_give_up(stopped, excess_bytes, left_bytes)
        budget_bytes = sum(body.held_bytes for body in stopped) - excess_bytes
        for cut in cuts:
            self.cut(by_number[cut.holding.connection], cut, budget_bytes)
        return bool(cuts)

    def cut(self, connection: CallerConnection, cut: Cut, budget_bytes: int) -> None:
        """Cut a connection, or refuse the request whose body comes on it.

        Its handler is cancelled, which closes the request at its target.
        """
        held, transport = connection.bytes, connection.transport
        held.is_cut = True
        self.metrics.connections_cut.inc({"reason": cut.reason.value})
        log.warning(
            "connection cut: bytes held",
            extra={
                "request": held.request_id,
                "reason": cut.reason.value,
                "held_bytes": cut.holding.held_bytes,
                "stalled_s": round(cut.holding.stalled_for.total_seconds(), 3),
                "budget_bytes": budget_bytes,
                "all_held_bytes": self.held_bytes,
            },
        )
        if held.body_timer is not None:
            held.give_up_body()
        elif isinstance(transport, asyncio.Transport):
            reset(transport)


def measure(connections: Mapping[int, CallerConnection], now: Instant) -> list[Holding]:
    """Return what each connection holds that may hold anything and is not cut."""
    holdings: list[Holding] = []
    for number, connection in connections.items():
        transport = connection.transport
        if not isinstance(transport, asyncio.Transport) or connection.bytes.is_cut:
            continue
        input_bytes = connection.input_bytes()
        is_in_use = connection.idle_since is None or input_bytes
        if is_in_use or transport.get_write_buffer_size():
            sampled = connection.bytes.sample(transport, number, now, input_bytes)
            holdings.append(sampled)
    return holdings


def stopped_bodies(
    connections: Mapping[int, CallerConnection], now: Instant
) -> list[Holding]:
    """Return the bodies that stopped coming, without other bytes of their connections.

    Those stay when the body is given up.
    """
    return [
        replace(holding, held_bytes=connections[holding.connection].bytes.body_bytes)
        for holding in measure(connections, now)
        if holding.stalled_for >= BODY_STOPPED
    ]
