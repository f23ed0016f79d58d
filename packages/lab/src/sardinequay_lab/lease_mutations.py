"""Each guard of the eviction promise, and what the core does without it."""

from collections.abc import Iterator
from contextlib import contextmanager
from datetime import timedelta
from typing import Any
from unittest.mock import patch

from sardinequay_core.clock import Instant
from sardinequay_core.keeper import Keeper
from sardinequay_core.leases import AdapterUse, HolderId, LeaseTable

from .exploration import Mutations
from .lease_world import POLICY


@contextmanager
def without_longest_request() -> Iterator[None]:
    """Evict as soon as leases have run out."""

    def is_over(keeper: Keeper, kept: Any, end: Instant, now: Instant) -> bool:
        return now >= end

    with patch.object(Keeper, "are_requests_over", is_over):
        yield


@contextmanager
def without_wait_out() -> Iterator[None]:
    """Let a new keeper evict as if nobody had granted anything before."""
    load_done = Keeper.handle_load_done

    def hasty(keeper: Keeper, use: AdapterUse, took: timedelta, now: Instant) -> Any:
        tickets = load_done(keeper, use, took, now)
        keeper.engines[use.target].foreign_leases_until = timedelta(0)
        return tickets

    with patch.object(Keeper, "handle_load_done", hasty):
        yield


@contextmanager
def without_authority() -> Iterator[None]:
    """Let a keeper grant however long ago it was confirmed."""

    def grant(
        keeper: Keeper, kept: Any, use: AdapterUse, holder: HolderId, sequence: int
    ) -> None:
        kept.confirmed_at = max(kept.confirmed_at or timedelta(0), kept.reported_at)
        original(keeper, kept, use, holder, sequence)

    original = Keeper.grant_lease
    with (
        patch.object(Keeper, "grant_lease", grant),
        patch.object(Keeper, "can_grant", lambda *_: True),
        patch.object(Keeper, "remaining_lease", lambda *_: POLICY.lease_duration),
    ):
        yield


@contextmanager
def without_recall_order() -> Iterator[None]:
    """Take grants that answer messages older than a return."""
    drop = LeaseTable.return_lease

    def forgetful(table: LeaseTable, use: AdapterUse) -> None:
        drop(table, use)
        table.returned_at_sequence.clear()

    with patch.object(LeaseTable, "return_lease", forgetful):
        yield


@contextmanager
def without_leases() -> Iterator[None]:
    """Evict without asking who holds a lease."""
    with patch.object(Keeper, "is_unused", lambda *_: True):
        yield


MUTATIONS: Mutations = {
    "longest request": without_longest_request,
    "wait-out": without_wait_out,
    "authority": without_authority,
    "recall order": without_recall_order,
    "leases": without_leases,
}
