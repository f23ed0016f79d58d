"""Division of the time within which a change must be in force.

A change reaches a host through the reader of its data centre, or, if that fails in any
way, by the host's own read of the store. The shares are such that the second way still
ends in time when the first has failed silently and a kept connection to the store is
dead as well.
"""

from dataclasses import dataclass
from datetime import timedelta

from .clock import seconds

WATCH_SHARE = 0.15
MAX_WATCH = seconds(0.4)
"""Wait of a reader's watch: only its end shows that a connection is dead."""

BATCH_PAUSE_SHARE = 0.1
MAX_BATCH_PAUSE = seconds(0.3)
"""Pause after a watch that returned changes: entries change several times a second, and
calls to the store must stay few."""

ANSWER_SHARE = 0.15
MAX_ANSWER_WAIT = seconds(0.7)
"""Wait for an answer beyond the wait that a watch requests."""

SUBSTITUTE_READ_SHARE = 0.5
OWN_READ_SHARE = 0.65
MIN_OWN_READ_AGE = seconds(0.1)
OWN_READ_SPREAD_SHARE = 0.1
"""Part of the budget over which hosts that all lost their readers begin to read."""

LATE_HOST_SHARE = 0.1
"""Part of the budget that is left to a host that runs late."""

NEW_CONNECTION = seconds(0.1)
"""Time for a read on a new connection, from the end of the wait on a dead one."""

FETCH_SHARE = 0.5
HEDGE_SHARE = 0.05
STORE_RATE_SHARE = 0.5
"""Part of the store's rate that all hosts together use for reads in a row."""


@dataclass(frozen=True, slots=True)
class ReadTimes:
    """Durations by which a host follows the store.

    Parameters
    ----------
    budget : timedelta
        Time within which a change must be in force.
    watch : timedelta
        Wait that a reader's watch requests.
    batch_pause : timedelta
        Pause after a watch that returned changes.
    answer_wait : timedelta
        Wait for an answer beyond that, at first.
    max_answer_wait : timedelta
        The longest wait for an answer, after others have timed out.
    substitute_read_age : timedelta
        Age of its copy at which the host that is first to replace the reader reads.
    own_read_age : timedelta
        Age of its copy at which a host that is no reader reads the store at the latest.
    own_read_spread : timedelta
        Longest time by which it does so earlier, drawn at random.
    min_read_gap : timedelta
        Least time from the start of a read that fails to that of the next.
    fetch_timeout : timedelta
        Time limit of one fetch from a peer.
    fetch_hedge : timedelta
        Time without an answer after which a second peer is asked as well.
    """

    budget: timedelta
    watch: timedelta
    batch_pause: timedelta
    answer_wait: timedelta
    max_answer_wait: timedelta
    substitute_read_age: timedelta
    own_read_age: timedelta
    own_read_spread: timedelta
    min_read_gap: timedelta
    fetch_timeout: timedelta
    fetch_hedge: timedelta


def read_times(budget: timedelta, store_reads_per_s: float, hosts: int) -> ReadTimes:
    """Return the durations for a fleet.

    Parameters
    ----------
    budget : timedelta
        Time within which a change must be in force.
    store_reads_per_s : float
        Read calls a second that the store allows all hosts together.
    hosts : int
        Number of hosts of the fleet.
    """
    min_read_gap = seconds(hosts / (store_reads_per_s * STORE_RATE_SHARE))
    spread = max(budget * OWN_READ_SPREAD_SHARE, min_read_gap)
    answer_wait = min(MAX_ANSWER_WAIT, budget * ANSWER_SHARE)
    two_reads = max(answer_wait, min_read_gap) + NEW_CONNECTION
    own_read_age = max(
        MIN_OWN_READ_AGE,
        min(budget * OWN_READ_SHARE, budget * (1 - LATE_HOST_SHARE) - two_reads),
    )
    return ReadTimes(
        budget=budget,
        watch=min(MAX_WATCH, budget * WATCH_SHARE),
        batch_pause=min(MAX_BATCH_PAUSE, budget * BATCH_PAUSE_SHARE),
        answer_wait=answer_wait,
        max_answer_wait=max(MAX_ANSWER_WAIT, answer_wait),
        substitute_read_age=min(budget * SUBSTITUTE_READ_SHARE, own_read_age),
        own_read_age=own_read_age,
        own_read_spread=min(spread, own_read_age / 2),
        min_read_gap=min_read_gap,
        fetch_timeout=budget * FETCH_SHARE,
        fetch_hedge=budget * HEDGE_SHARE,
    )


class AnswerWait:
    """How long to wait for an answer of the store, which may be slow for a while."""

    def __init__(self) -> None:
        self.current: timedelta | None = None

    def value(self, times: ReadTimes) -> timedelta:
        """Return how long to wait for the next answer."""
        return max(times.answer_wait, self.current or times.answer_wait)

    def record_timeout(self, times: ReadTimes) -> None:
        """Wait longer after a call that timed out."""
        self.current = min(times.max_answer_wait, 2 * self.value(times))

    def record_answer(self, took: timedelta, times: ReadTimes) -> None:
        """Wait as at first again once the store answers as fast as that."""
        if took <= times.answer_wait:
            self.current = None
