"""All statements of targets that one host knows."""

from dataclasses import dataclass, field
from datetime import timedelta

from ..catalogue import Catalogue, PublishedTarget
from ..clock import Instant
from ..load_samples import LoadSamples
from ..names import TargetId
from .backoff import TargetBackoffs
from .brittle_pools import BrittlePools
from .leaving import LeavingTargets
from .limits import TargetLimits
from .obstacle import Obstacle, ObstacleKind


@dataclass(slots=True)
class TargetStatements:
    """What targets have stated of themselves.

    Parameters
    ----------
    limits : TargetLimits
        Requests a second that targets take from all hosts together.
    rejection_limits : TargetLimits
        Requests that brittle targets can turn away in a second.
    brittle_pools : BrittlePools
        What is assumed of the latter for targets that have stated nothing yet.
    load_samples : LoadSamples
        Load of the targets that state how long work takes there.
    drain : timedelta
        How long a leaving target still takes new requests after it has stated that.
    incarnations : dict
        The listed incarnation of each target.
    """

    leaving: LeavingTargets = field(default_factory=LeavingTargets)
    backoffs: TargetBackoffs = field(default_factory=TargetBackoffs)
    limits: TargetLimits = field(default_factory=TargetLimits)
    rejection_limits: TargetLimits = field(default_factory=TargetLimits)
    brittle_pools: BrittlePools = field(init=False)
    load_samples: LoadSamples = field(default_factory=LoadSamples)
    drain: timedelta = timedelta(seconds=2)
    incarnations: dict[TargetId, int] = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Create the part that depends on another one."""
        self.brittle_pools = BrittlePools(self.rejection_limits)

    def apply_catalogue(
        self, before: Catalogue, catalogue: Catalogue, now: Instant
    ) -> None:
        """Drop what processes have stated that have ended."""
        self.incarnations = {t: p.incarnation for t, p in catalogue.targets.items()}
        self.brittle_pools.note_statements(before, now)
        self.leaving.apply_catalogue(catalogue, now)
        self.backoffs.apply_catalogue(catalogue)
        self.limits.apply_catalogue(catalogue)
        self.rejection_limits.apply_catalogue(catalogue)
        self.brittle_pools.assume_of_new_targets(before, catalogue)
        for target_id, published in catalogue.targets.items():
            previous = before.targets.get(target_id)
            if previous is not None and previous.incarnation < published.incarnation:
                self.load_samples.forget_target(target_id, now)
        self.load_samples.prune_unlisted(catalogue.targets)

    @property
    def has_obstacles(self) -> bool:
        """Return whether any target may be kept from requests."""
        return bool(self.leaving.statements or self.backoffs.statements)

    def is_leaving(self, published: PublishedTarget) -> bool:
        """Return whether a listed target has stated that it leaves."""
        target = published.target.target_id
        return self.leaving.find(target, published.incarnation) is not None

    def is_draining(self, published: PublishedTarget, arrived: Instant) -> bool:
        """Return whether a leaving target still takes a request.

        Parameters
        ----------
        arrived : timedelta
            When the request came to this host.
        """
        target = published.target.target_id
        stated = self.leaving.find(target, published.incarnation)
        return stated is not None and arrived <= stated.heard_at + self.drain

    def obstacle(
        self, published: PublishedTarget, arrived: Instant, now: Instant
    ) -> Obstacle | None:
        """Return the statement that keeps a request from a target, if any."""
        target = published.target.target_id
        stated = self.leaving.find(target, published.incarnation)
        if stated is not None and not self.is_draining(published, arrived):
            return Obstacle(ObstacleKind.LEAVING, stated.heard_at)
        backoff = self.backoffs.find(target, published.incarnation)
        wait = self.backoffs.wait(target, published.incarnation, now)
        if backoff is not None and wait:
            return Obstacle(ObstacleKind.BACKOFF, backoff.heard_at, now + wait)
        return None

    def backoff_wait(self, target_id: TargetId, now: Instant) -> timedelta:
        """Return the time until a listed target takes requests, after a backoff."""
        incarnation = self.incarnations.get(target_id, 0)
        return self.backoffs.wait(target_id, incarnation, now)

    def is_limited(self, target_id: TargetId, now: Instant) -> bool:
        """Return whether a target takes not all requests of this host now.

        It has a rate or little room, which need permits, or has asked for a backoff.
        """
        return bool(self.backoff_wait(target_id, now)) or any(
            limits.rate_of(target_id, now) is not None
            for limits in (self.limits, self.rejection_limits)
        )

    def send_wait_s(self, target_id: TargetId, can_wait: bool, now: Instant) -> float:
        """Return the expected wait until a target takes a request, in seconds.

        That is for the permits to send, or for the end of a backoff.

        Parameters
        ----------
        can_wait : bool
            Whether the request waits for this target, as no other can serve it.
        """
        return max(
            self.backoff_wait(target_id, now).total_seconds(),
            self.limits.permit_wait_s(target_id, can_wait, now),
            self.rejection_limits.permit_wait_s(target_id, can_wait, now),
        )

    def expire(self, now: Instant) -> None:
        """Drop the statements whose time is over."""
        self.backoffs.expire(now)
