"""Schedule of the requests that all hosts together may send to one limited target.

Load pattern: a target takes one or two requests a second from a fleet of hundreds of
hosts. A host's own part of that is less than one request in minutes, so hosts that
divide the limit either exceed it by a request each or serve nobody. One host therefore
issues the permits for a target, each when a request wants it.

The schedule is the generic cell rate algorithm. Requests that only this target can
serve may book a later permit. All others are granted one only if it is free now and
another is left, and are told when to ask again.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta

from ..clock import ZERO, Instant, seconds
from ..names import HostId

BURST_PERMITS = 2
BURST_S = 0.5
"""Permits that may be granted at once after a pause: two, one of them for requests that
no other target can serve, and as many as accrue in this time."""

ASKER_MEMORY = seconds(2)
"""How long a host that asked counts as one that will ask again."""


@dataclass(frozen=True, slots=True)
class Granted:
    """A permit to send one request.

    Parameters
    ----------
    start_in : timedelta
        Time until the request may be sent.
    """

    start_in: timedelta


@dataclass(frozen=True, slots=True)
class Denied:
    """No permit within the time that the request can wait.

    Parameters
    ----------
    free_in : timedelta
        Time until a request that can wait would get a permit.
    ask_in : timedelta
        Time after which this host should ask again for a request that cannot wait,
        spread over the hosts that ask.
    """

    free_in: timedelta
    ask_in: timedelta


@dataclass(slots=True)
class SendSchedule:
    """Permits for one target, issued by one host.

    A new schedule has no permit to grant: another host may have granted the last ones
    just before.

    Parameters
    ----------
    limit_per_s : float
        Requests a second that the target takes from all hosts.
    booked_until : timedelta
        When the permits granted so far have all accrued (the theoretical arrival time).
    asked_at : dict
        When each host that did not get a permit last asked.
    draw : callable
        Returns a random number from 0 to 1.
    share : float
        Part of the limit that the hosts in contact with this one may use.
    """

    limit_per_s: float
    booked_until: Instant
    draw: Callable[[], float]
    share: float = 1.0
    asked_at: dict[HostId, Instant] = field(default_factory=dict)
    last_asked_at: Instant = ZERO

    @property
    def rate_per_s(self) -> float:
        """Return how many permits accrue a second."""
        return self.limit_per_s * self.share

    @property
    def interval(self) -> timedelta:
        """Return the time in which one permit accrues."""
        return seconds(1 / self.rate_per_s)

    @property
    def burst(self) -> timedelta:
        """Return how far permits may be granted ahead of their accrual."""
        return (BURST_PERMITS - 1) * self.interval + seconds(BURST_S)

    def apply_limit(self, limit_per_s: float, now: Instant, share: float = 1.0) -> None:
        """Change the limit and the share; permits in hand count as before.

        When the limit falls, requests that have not been sent ask again, so that no
        more is booked than what was granted for now. When the share does, they do not.
        """
        if (limit_per_s, share) == (self.limit_per_s, self.share):
            return
        has_fallen = limit_per_s < self.limit_per_s
        ahead = (self.booked_until - now) / self.interval
        self.limit_per_s, self.share = limit_per_s, share
        self.booked_until = now + ahead * self.interval
        if has_fallen:
            nothing_in_hand = now + self.burst + self.interval
            self.booked_until = min(self.booked_until, nothing_in_hand)

    def ask(
        self, host: HostId, max_wait: timedelta | None, now: Instant
    ) -> Granted | Denied:
        """Grant a permit, or say when there will be one.

        Parameters
        ----------
        max_wait : timedelta or None
            How long the request can wait for this target; None if another target can
            serve it.
        """
        self.last_asked_at = now
        free_in = max(ZERO, self.booked_until - self.burst - now)
        spare_in = max(ZERO, self.booked_until - self.burst + self.interval - now)
        if spare_in == ZERO or (max_wait is not None and free_in <= max_wait):
            self.booked_until = max(self.booked_until, now) + self.interval
            self.asked_at.pop(host, None)
            return Granted(ZERO if max_wait is None else free_in)
        self.asked_at[host] = now
        return Denied(free_in, spare_in + self.spread(now))

    def spread(self, now: Instant) -> timedelta:
        """Return a random part of the time in which each asking host gets a permit."""
        since = now - ASKER_MEMORY
        self.asked_at = {h: at for h, at in self.asked_at.items() if at >= since}
        return self.draw() * (len(self.asked_at) - 1) * self.interval


def new_schedule(
    limit_per_s: float, draw: Callable[[], float], now: Instant, share: float = 1.0
) -> SendSchedule:
    """Return a schedule whose first permit accrues from now on."""
    made = SendSchedule(limit_per_s, now, draw, share)
    made.booked_until = now + made.burst + made.interval
    return made
