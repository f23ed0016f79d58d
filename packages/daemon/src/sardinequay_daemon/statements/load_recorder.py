"""Records the load that targets state, by their answers and by what peers tell."""

import math
from collections.abc import Callable, Iterable
from itertools import islice

from sardinequay_core.catalogue import PublishedTarget
from sardinequay_core.clock import Clock, Instant, seconds
from sardinequay_core.load_samples import FRESH_FOR, LoadSample, StatedLoad
from sardinequay_core.names import HostId, TargetId
from sardinequay_core.statements.target_statements import TargetStatements

from ..serving_metrics import ServingMetrics
from ..serving_ports import AnswerFacts
from .invalid_log import InvalidStatementLog
from .messages import LoadNews

MAX_LOADS_PER_DIGEST = 16
"""Maximum number of samples in one digest, the newest: others would be too old in the
next one."""

OWN = HostId("")
"""In place of a peer, for what targets stated to this host itself."""


class LoadRecorder:
    """Records what targets state of their load, tells peers of it and shows it.

    Parameters
    ----------
    heard_from : dict
        The peer that told of a target's newest sample, or `OWN`.
    """

    def __init__(
        self, statements: TargetStatements, clock: Clock, metrics: ServingMetrics
    ) -> None:
        self.statements = statements
        self.samples = statements.load_samples
        self.clock = clock
        self.metrics = metrics
        self.heard_from: dict[TargetId, HostId] = {}
        self.invalid = InvalidStatementLog("target load invalid", clock)

    def record_answer(self, published: PublishedTarget, facts: AnswerFacts) -> None:
        """Apply what the head of a target's answer states."""
        target = published.target.target_id
        if facts.invalid_load is not None:
            self.invalid.record(target, facts.invalid_load)
        elif facts.load is not None and target in self.statements.incarnations:
            sample = LoadSample(facts.load, self.clock.monotonic())
            if self.samples.record_own(target, sample):
                self.heard_from[target] = OWN

    def apply_reports(
        self, reports: Iterable[LoadNews], peer: HostId, built_at: Instant
    ) -> None:
        """Apply what a peer tells of targets' load.

        Parameters
        ----------
        built_at : timedelta
            When the peer told it at the earliest, by this host's clock: a sample never
            comes back newer than it went out.
        """
        for news in reports:
            if news.target not in self.statements.incarnations or not is_valid(news):
                continue
            load = StatedLoad(news.running, news.waiting, news.slots, news.pace / 100)
            sample = LoadSample(load, built_at - seconds(news.age_ms / 1000))
            if self.samples.record(news.target, sample):
                self.heard_from[news.target] = peer

    def changed_since(
        self, number: int, tells_of: Callable[[HostId], bool]
    ) -> tuple[LoadNews, ...]:
        """Return the fresh unusual samples after a change number, newest first.

        Parameters
        ----------
        tells_of : callable
            Returns whether samples from a peer, or `OWN`, are included.
        """
        now = self.clock.monotonic()
        changed = (
            target
            for target in reversed(self.samples.changes.since(number))
            if tells_of(self.heard_from.get(target, OWN))
            and self.samples.is_unusual(target, now)
        )
        return tuple(
            self.news_of(target, now)
            for target in islice(changed, MAX_LOADS_PER_DIGEST)
        )

    def news_of(self, target: TargetId, now: Instant) -> LoadNews:
        """Return the newest sample of a target, for a message."""
        sample = self.samples.newest[target]
        load, age_s = sample.load, (now - sample.at).total_seconds()
        pace = round((load.pace or 1.0) * 100)
        age_ms = math.ceil(age_s * 1000)
        return LoadNews(target, pace, load.running, load.waiting, load.slots, age_ms)

    def expire(self) -> None:
        """Update the gauge, and drop what is known of unlisted targets."""
        for target in [t for t in self.heard_from if t not in self.samples.newest]:
            del self.heard_from[target]
        now = self.clock.monotonic()
        slowed = sum(self.samples.is_slowed(t, now) for t in self.samples.newest)
        self.metrics.slowed_targets.set({}, slowed)
        self.invalid.expire()


def is_valid(news: LoadNews) -> bool:
    """Return whether what a peer tells can be, and is fresh; false for NaN, too."""
    max_age_ms = FRESH_FOR.total_seconds() * 1000
    return (
        0 <= news.age_ms < max_age_ms
        and 0 < news.pace < math.inf
        and min(news.running, news.waiting, news.slots) >= 0
    )
