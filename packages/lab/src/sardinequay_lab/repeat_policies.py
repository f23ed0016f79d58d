"""Ways for hosts to keep the bound on repeats together, for the replay."""

from collections import deque
from typing import Protocol

from sardinequay_core.clock import ZERO, Instant, seconds
from sardinequay_core.fleet_share import FleetShare
from sardinequay_core.repeat_budget import (
    SLACK_DELAY,
    USED_SLACK_SHARE,
    RepeatBudget,
    RepeatPolicy,
)

HEARD_AFTER = seconds(0.9)
"""How old what hosts tell one another is in a large fleet."""


class Policy(Protocol):
    """One way; it knows all hosts, but may use for each what that one would know."""

    def start(self, host: int, now: Instant, is_first: bool) -> None:
        """Start a host, the first time or anew; it knows nothing."""

    def request(self, host: int, now: Instant) -> None:
        """Take a request."""

    def repeat(self, host: int, heard: frozenset[int], now: Instant) -> bool:
        """Return whether a host that hears some hosts may repeat; count it if so."""


class SharesOfLive:
    """Slack by the hosts heard now, whole from each start."""

    def __init__(self, bound: RepeatPolicy) -> None:
        self.bound = bound
        self.budgets: dict[int, RepeatBudget] = {}

    def start(self, host: int, now: Instant, is_first: bool) -> None:
        """Begin with the whole share."""
        self.budgets[host] = RepeatBudget(self.bound, ZERO)

    def request(self, host: int, now: Instant) -> None:
        """Count a request."""
        self.budgets[host].record_request(now)

    def hosts(self, host: int, heard: frozenset[int], now: Instant) -> int:
        """Return how many hosts share the slack."""
        return len(heard)

    def repeat(self, host: int, heard: frozenset[int], now: Instant) -> bool:
        """Take a repeat if it is within the host's share."""
        budget = self.budgets[host]
        if not budget.current_usage(self.hosts(host, heard, now), now).has_room:
            return False
        budget.record_permitted()
        budget.record_arrival(now)
        return True


class SharesOfLately(SharesOfLive):
    """Slack by the hosts that lived lately, none for a while after a restart."""

    def __init__(self, bound: RepeatPolicy) -> None:
        super().__init__(bound)
        self.shares: dict[int, FleetShare] = {}

    def start(self, host: int, now: Instant, is_first: bool) -> None:
        """Begin without slack, unless nothing was sent before."""
        slack_from = ZERO if is_first else now + SLACK_DELAY
        self.budgets[host] = RepeatBudget(self.bound, slack_from)
        self.shares[host] = FleetShare()

    def hosts(self, host: int, heard: frozenset[int], now: Instant) -> int:
        """Return how many hosts share the slack."""
        self.shares[host].record_live_hosts(len(heard), now)
        return self.shares[host].recent_hosts(len(heard), 1)


class RatioAlone(SharesOfLately):
    """No slack at all."""

    def __init__(self, bound: RepeatPolicy) -> None:
        super().__init__(RepeatPolicy(bound.ratio, 0, bound.window))


class SharedCounts:
    """Counts of all hosts that are heard, late; slack by their part of the fleet.

    What was counted of a host outlives it at those that heard it.
    """

    def __init__(self, bound: RepeatPolicy) -> None:
        self.bound = bound
        self.requests: deque[tuple[Instant, int]] = deque()
        self.repeats: deque[tuple[Instant, int]] = deque()
        self.born: dict[int, Instant] = {}
        self.shares: dict[int, FleetShare] = {}

    def start(self, host: int, now: Instant, is_first: bool) -> None:
        """Forget what this host knew."""
        self.born[host] = ZERO if is_first else now
        self.shares[host] = FleetShare()

    def request(self, host: int, now: Instant) -> None:
        """Count a request."""
        self.requests.append((now, host))

    def known(
        self,
        events: deque[tuple[Instant, int]],
        host: int,
        heard: frozenset[int],
        now: Instant,
    ) -> int:
        """Return how many events a host knows of in the window."""
        while events and events[0][0] < now - self.bound.window:
            events.popleft()
        told_until = now - HEARD_AFTER
        return sum(
            1
            for at, other in events
            if at >= self.born[host]
            and (other == host or (other in heard and at <= told_until))
        )

    def repeat(self, host: int, heard: frozenset[int], now: Instant) -> bool:
        """Take a repeat if those known leave room for one of each host."""
        share = self.shares[host]
        share.record_live_hosts(len(heard), now)
        slack = (
            self.bound.slack * USED_SLACK_SHARE * share.reachable_share(len(heard), 1)
        )
        if now - self.born[host] < self.bound.window and self.born[host] > ZERO:
            slack = 0
        requests = self.known(self.requests, host, heard, now)
        repeats = self.known(self.repeats, host, heard, now)
        if repeats + 1 > self.bound.ratio * requests + slack:
            return False
        self.repeats.append((now, host))
        return True
