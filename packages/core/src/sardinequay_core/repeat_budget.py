"""How many further arrivals a pool of targets can bear, shared without talking.

Load pattern: targets fail or reject requests, and every entry host sends them again;
the repeats then are what keeps the targets overloaded. Over any window all hosts
together may add a ratio of the requests, and a slack. Each host takes the ratio of its
own requests and its share of the slack by the number of live hosts.
"""

from collections import deque
from dataclasses import dataclass, field
from datetime import timedelta

from .clock import Instant

SLACK_SHARE = 0.75
"""Part of the slack that is used: hosts count live peers a little differently."""


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
class RepeatUse:
    """What a further attempt is permitted from, on one host.

    Parameters
    ----------
    requests, repeats : int
        Counted in the window.
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
    """One host's share for one pool."""

    policy: RepeatPolicy
    requests: deque[Instant] = field(default_factory=deque)
    repeats: deque[Instant] = field(default_factory=deque)

    def request(self, now: Instant) -> None:
        """Count a request's first arrival."""
        self.requests.append(now)
        self.trim(now)

    def use(self, live_hosts: int, now: Instant) -> RepeatUse:
        """Return what of this host's share is used."""
        self.trim(now)
        hosts = max(1, live_hosts)
        slack = self.policy.slack * SLACK_SHARE / hosts
        allowed = self.policy.ratio * len(self.requests) + slack
        return RepeatUse(len(self.requests), len(self.repeats), allowed, hosts)

    def repeat(self, now: Instant) -> None:
        """Count a further arrival."""
        self.repeats.append(now)

    def trim(self, now: Instant) -> None:
        """Forget what left the window."""
        since = now - self.policy.window
        for events in (self.requests, self.repeats):
            while events and events[0] < since:
                events.popleft()
