"""Retry budget of a pool of targets, divided among hosts without coordination.

A repeat is an arrival of a request at a target beyond its first. Load pattern: targets
fail or reject requests, and every entry host sends these again; the repeats then keep
the targets overloaded. Over any window, all hosts together may add repeats up to a
ratio of the requests plus a slack. Each host uses the ratio of its own requests and its
share of the slack.

The bound also holds for arrivals while hosts crash and the fleet is partitioned. A host
that has restarted knows neither what it sent before nor which hosts are alive on the
other side of a partition, so it has no part of the slack until both are over. Hosts
divide the slack by all hosts that were alive recently, not by those in contact. And a
repeat counts from when it is permitted until a window after it has arrived.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import Instant
from .fleet_share import HOST_RETENTION

USED_SLACK_SHARE = 0.75
"""Part of the slack that is used: hosts differ slightly in their counts of live
hosts."""


SLACK_DELAY = HOST_RETENTION
"""Time after a host's start until it has its share of the slack: longer than a window,
and than a partition during which it would count too few hosts."""


@dataclass(frozen=True, slots=True)
class RepeatPolicy:
    """Bound on repeats over all hosts.

    Parameters
    ----------
    ratio : float
        Repeats for each request in a window.
    slack : float
        Repeats in a window beyond the ratio, over all hosts.
    window : timedelta
        Length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class RepeatUsage:
    """Use of one host's share of the retry budget, from which a repeat is decided.

    Parameters
    ----------
    requests, repeats : int
        Counts in the window; repeats include those in transit.
    allowed : float
        Repeats that this host may send in the window.
    hosts : int
        Number of hosts that the slack is divided by.
    """

    requests: int
    repeats: int
    allowed: float
    hosts: int

    @property
    def has_room(self) -> bool:
        """Return whether one more repeat is within the allowed number."""
        return self.repeats + 1 <= self.allowed


@dataclass(slots=True)
class RepeatBudget:
    """One host's share of the retry budget of one pool.

    Parameters
    ----------
    slack_from : timedelta
        Time from which this host has its share of the slack.
    in_transit : int
        Repeats that were permitted and may still arrive.
    """

    policy: RepeatPolicy
    slack_from: Instant
    requests: deque[Instant] = field(default_factory=deque)
    repeats: deque[Instant] = field(default_factory=deque)
    in_transit: int = 0

    def record_request(self, now: Instant) -> None:
        """Count a request's first arrival."""
        self.requests.append(now)
        self.prune_window(now)

    def current_usage(self, hosts: int, now: Instant) -> RepeatUsage:
        """Return the use of this host's share.

        Parameters
        ----------
        hosts : int
            Number of hosts that were alive recently, at least one.
        """
        self.prune_window(now)
        allowed = self.policy.ratio * len(self.requests)
        if now >= self.slack_from:
            allowed += self.policy.slack * USED_SLACK_SHARE / hosts
        repeats = len(self.repeats) + self.in_transit
        return RepeatUsage(len(self.requests), repeats, allowed, hosts)

    def record_permitted(self) -> None:
        """Count a repeat that was permitted and has not arrived yet."""
        self.in_transit += 1

    def record_arrival(self, now: Instant) -> None:
        """Record that a repeat has arrived, or will never arrive."""
        self.in_transit -= 1
        self.repeats.append(now)

    def prune_window(self, now: Instant) -> None:
        """Drop events that have left the window."""
        window_start = now - self.policy.window
        for events in (self.requests, self.repeats):
            while events and events[0] < window_start:
                events.popleft()
