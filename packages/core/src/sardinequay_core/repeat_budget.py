"""How many further arrivals a pool of targets can bear, shared without talking.

Load pattern: targets fail or reject requests, and every entry host sends them again;
the repeats then are what keeps the targets overloaded. Over any window all hosts
together may add a ratio of the requests, and a slack. Each host takes the ratio of its
own requests and its share of the slack.

The bound holds for what arrives while hosts die and fleets are cut apart. A host that
has started again knows neither what it sent before nor who lives behind a cut, so it
has no part of the slack until both are over. Hosts divide the slack by all that lived
lately, not by those in touch. And a repeat counts from when it is permitted until a
window after it has arrived.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import Instant
from .fleet_share import HOST_RETENTION

USED_SLACK_SHARE = 0.75
"""Part of the slack that is used: hosts count live peers a little differently."""


SLACK_DELAY = HOST_RETENTION
"""From a start anew until a host has its share of the slack: longer than a window, and
than a cut in which it would count too few hosts."""


@dataclass(frozen=True, slots=True)
class RepeatPolicy:
    """The bound over all hosts.

    Parameters
    ----------
    ratio : float
        Further arrivals for each request in a window.
    slack : float
        Further arrivals in a window beyond that, over all hosts.
    window : timedelta
        The length of the sliding window.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window: timedelta = timedelta(seconds=10)


@dataclass(frozen=True, slots=True)
class RepeatUsage:
    """What a further attempt is permitted from, on one host.

    Parameters
    ----------
    requests, repeats : int
        Counted in the window; repeats also while they are on their way.
    allowed : float
        Repeats that this host may have in the window.
    hosts : int
        Hosts that the slack is divided by.
    """

    requests: int
    repeats: int
    allowed: float
    hosts: int

    @property
    def has_room(self) -> bool:
        """Return whether one more repeat is within what is allowed."""
        return self.repeats + 1 <= self.allowed


@dataclass(slots=True)
class RepeatBudget:
    """One host's share for one pool.

    Parameters
    ----------
    slack_from : timedelta
        When this host has its share of the slack.
    on_way : int
        Repeats that were permitted and may arrive yet.
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
        """Return what of this host's share is used.

        Parameters
        ----------
        hosts : int
            Hosts that lived lately, at least one.
        """
        self.prune_window(now)
        allowed = self.policy.ratio * len(self.requests)
        if now >= self.slack_from:
            allowed += self.policy.slack * USED_SLACK_SHARE / hosts
        repeats = len(self.repeats) + self.in_transit
        return RepeatUsage(len(self.requests), repeats, allowed, hosts)

    def record_permitted(self) -> None:
        """Count a further arrival that was permitted."""
        self.in_transit += 1

    def record_arrival(self, now: Instant) -> None:
        """Take that a further arrival has come, or will not come any more."""
        self.in_transit -= 1
        self.repeats.append(now)

    def prune_window(self, now: Instant) -> None:
        """Forget what left the window."""
        since = now - self.policy.window
        for events in (self.requests, self.repeats):
            while events and events[0] < since:
                events.popleft()
