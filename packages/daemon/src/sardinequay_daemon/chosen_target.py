"""What the choices of services and engines share: their result, its log line, waits."""

import logging
from dataclasses import dataclass
from datetime import timedelta
from itertools import islice
from random import Random

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Instant, seconds
from sardinequay_core.names import PoolName, TargetId
from sardinequay_core.outcome import Refusal
from sardinequay_core.room import request_worth

from .exchange import RelayExchange
from .relay_state import RelayState

MAX_PERMIT_WAIT_SHARE = 0.5
"""Share of the time left until a request's latency goal that it waits for a permit to
send to a limited target; the rest is for the target's work."""

RETRY_JITTER_S = 0.25
"""Upper bound of the random addition to retry-after times, in seconds: callers refused
at one moment must not all return at one moment."""

NO_TARGET_RETRY = seconds(0.5)
"""Retry-after time if no target is live: about the restart time of a crashed one."""

MAX_KEPT_FROM = 8
"""Targets that the line of a choice names as kept from the request."""

log = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class ChosenTarget:
    """The target of a request's next attempt.

    Parameters
    ----------
    max_permit_wait : timedelta or None
        How long the request can wait for a permit to send there; None if another target
        can serve it.
    """

    published: PublishedTarget
    max_permit_wait: timedelta | None = None


def max_permit_wait_s(exchange: RelayExchange, now: Instant) -> float:
    """Return how long a request can wait for a limited target, in seconds.

    Only as long as its answer can still be on time: a longer queue serves no more
    requests, and all of them late. Urgent requests wait longest. A request that may
    have run cannot be refused for a retry any more, so it waits beyond its goal.
    """
    if exchange.attempts_so_far.runs:
        left_s = exchange.first_event_left_s(now)
        return max(0.0, left_s * MAX_PERMIT_WAIT_SHARE)
    worth = request_worth(exchange.priority) / request_worth(0)
    return max(0.0, exchange.goal_left_s(now) * MAX_PERMIT_WAIT_SHARE * worth)


def log_choice(
    state: RelayState,
    exchange: RelayExchange,
    target: TargetId,
    reason: str,
    options: int,
    expected_s: float = 0.0,
) -> None:
    """Log the chosen target and the figures behind the choice."""
    now = state.clock.monotonic()
    share = state.loads.total_share(target, now)
    sample = state.loads.samples.newest.get(target)
    memory = state.engine_memory(state.catalogue.targets[target], now)
    log.info(
        "target chosen",
        extra={
            "request": exchange.terms.request_id,
            "target": target,
            "content": exchange.guarded_request.content,
            "adapter": exchange.terms.adapter,
            "why": reason,
            "options": options,
            "kept_from": describe_obstacles(state, exchange.pool),
            "unread_tokens": share.unread_tokens,
            "running": share.running,
            "revision": state.catalogue.revision,
            "store_age_s": round(state.store_age_s(), 2),
            "attempt": exchange.attempts_so_far.runs
            + exchange.attempts_so_far.rejections
            + 1,
            "expected_s": round(expected_s, 4),
            "stated_pace": sample.load.pace if sample else None,
            "sample_age_s": sample.age_s(now) if sample else None,
            "waited_s": round(exchange.waited_s(now), 4),
            "memory_need": exchange.terms.needed_tokens,
            "memory_held": memory.held_tokens,
            "memory_capacity": memory.capacity,
            "peers_age_s": state.loads.peers_age_s(now),
        },
    )


def log_memory_refusal(
    state: RelayState, exchange: RelayExchange, refusal: Refusal
) -> None:
    """Log that a request fits in no engine's memory now, and by what figures."""
    now = state.clock.monotonic()
    held, capacity = {}, 0
    for published in islice(state.live_targets(exchange.pool), MAX_KEPT_FROM):
        memory = state.engine_memory(published, now)
        held[published.target.target_id] = memory.held_tokens
        capacity = max(capacity, memory.capacity)
    retry_s = refusal.retry_after.total_seconds() if refusal.retry_after else None
    log.info(
        "no engine has memory",
        extra={
            "request": exchange.terms.request_id,
            "memory_need": exchange.terms.needed_tokens,
            "memory_held": held,
            "memory_capacity": capacity,
            "peers_age_s": state.loads.peers_age_s(now),
            "reason": refusal.reason.value,
            "retry_s": retry_s,
        },
    )


def log_kept_from_all(state: RelayState, exchange: RelayExchange) -> None:
    """Log what keeps a request that is refused from the targets of its pool, if any."""
    kept_from = describe_obstacles(state, exchange.pool)
    if kept_from:
        extra = {"request": exchange.terms.request_id, "kept_from": kept_from}
        log.info("no target takes the request", extra=extra)


def describe_obstacles(state: RelayState, pool: PoolName) -> dict[TargetId, str]:
    """Describe what keeps new requests from targets of a pool, for the log."""
    now = state.clock.monotonic()
    described = {}
    for target_id, obstacle in islice(state.obstacles(pool).items(), MAX_KEPT_FROM):
        text = f"{obstacle.kind.value} since {obstacle.age_s(now)} s"
        left_s = obstacle.left_s(now)
        described[target_id] = text if left_s is None else f"{text}, {left_s} s left"
    return described


def jittered_retry_after(random: Random, after: timedelta) -> timedelta:
    """Return a retry-after time with random jitter, so that callers spread out."""
    return after + seconds(random.uniform(0, RETRY_JITTER_S))
