"""A fleet without sockets, in which parts of prompts crash engines."""

import heapq
import itertools
from collections.abc import Callable, Collection
from dataclasses import dataclass, field
from functools import partial
from random import Random
from typing import Protocol

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.features import part_features
from sardinequay_core.names import FeatureId, TargetId
from sardinequay_core.quarantine import Quarantine, TargetEnd

BACK_AFTER_S = 3.0
BEGINS_AFTER_S = (0.05, 0.3)
PROOF_AFTER_S = 0.5
LASTS_S = 1.0
DETECTED_AFTER_S = 0.03
NEWS_AFTER_S = (0.02, 0.6)
STABLE_S = 3.0
"""Hosts that lost what they knew, and ends, count from this time later."""

ENOUGH_ENDS = 5
DISTURBED_FROM_S = 3.0
COMMON = "c"
COMMON_PART = part_features([COMMON, "own"])[0]
MARKED = ("x1", "x2")


class Way(Protocol):
    """A way to decide which requests are held."""

    @property
    def name(self) -> str:
        """Return what the way is called."""

    @property
    def clears(self) -> bool:
        """Return whether an answer clears the parts of its request."""

    def held(
        self, quarantine: Quarantine, features: Collection[FeatureId], now: Instant
    ) -> bool:
        """Return whether a request is held."""

    def probed(
        self, quarantine: Quarantine, features: Collection[FeatureId]
    ) -> FeatureId | None:
        """Return the feature for which a request needs a permit, if any."""


@dataclass(frozen=True)
class Scenario:
    """What happens in a run.

    Parameters
    ----------
    marked : int
        Number of marked parts, which come by turns.
    marked_per_s : float
        Requests with a marked part, a second.
    rare : float
        Share of sound requests whose second part is one of many.
    ends_per_s : float
        Engines that end for other reasons, a second.
    kill_hosts_at_s : float
        When all hosts forget what they know; 0 if they do not.
    cut_until_s : float
        Until when two halves of the hosts exchange no news; 0 if they are not cut.
    """

    name: str
    marked: int = 1
    marked_per_s: float = 2.0
    rare: float = 0.0
    ends_per_s: float = 0.0
    kill_hosts_at_s: float = 0.0
    cut_until_s: float = 0.0


@dataclass
class Run:
    """A request at an engine.

    Parameters
    ----------
    permit : FeatureId or None
        The feature for which it holds the fleet's permit.
    """

    host: int
    parts: tuple[FeatureId, ...]
    is_marked: bool
    permit: FeatureId | None = None
    is_proven: bool = False
    is_over: bool = False


@dataclass
class Engine:
    """An engine: what it runs, and how often it has ended."""

    name: str
    runs: list[Run] = field(default_factory=list)
    starts: int = 0
    is_up: bool = True


@dataclass
class Result:
    """What a run showed.

    Parameters
    ----------
    late_runs : int
        Marked requests that reached engines later than 3 s after the fifth end of their
        part.
    common_held : int
        Requests with only the common part that were refused, or needed a permit.
    news : int
        Observations that hosts sent one another.
    """

    ends: int = 0
    late_runs: int = 0
    sound: int = 0
    sound_held: int = 0
    common_held: int = 0
    news: int = 0


class World:
    """Hosts, engines, and the requests between them, in simulated time."""

    def __init__(
        self, way: Way, scenario: Scenario, hosts: int, engines: int, random: Random
    ) -> None:
        self.way = way
        self.scenario = scenario
        self.random = random
        self.hosts = [Quarantine() for _ in range(hosts)]
        self.engines = [Engine(f"e{n}") for n in range(engines)]
        self.issuers = (Quarantine(), Quarantine())
        self.permits: set[FeatureId] = set()
        self.part_ends: dict[FeatureId, list[float]] = {}
        self.result = Result()
        self.now_s = 0.0
        self.numbers = itertools.count()
        self.events: list[tuple[float, int, Callable[[], None]]] = []

    @property
    def now(self) -> Instant:
        """Return the simulated time."""
        return seconds(1000 + self.now_s)

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action."""
        event = (self.now_s + delay_s, next(self.numbers), action)
        heapq.heappush(self.events, event)

    def run(self, lasts_s: float, sound_per_s: float) -> Result:
        """Run for some time and return what it showed."""
        self.schedule_stream(sound_per_s, self.send_sound)
        self.after(DISTURBED_FROM_S, self.disturb)
        if self.scenario.kill_hosts_at_s:
            self.after(self.scenario.kill_hosts_at_s, self.kill_hosts)
        while self.events and self.events[0][0] < lasts_s:
            self.now_s, _, action = heapq.heappop(self.events)
            action()
        return self.result

    def disturb(self) -> None:
        """Begin to send marked requests, and to end engines for other reasons."""
        self.schedule_stream(self.scenario.marked_per_s, self.send_marked)
        self.schedule_stream(self.scenario.ends_per_s, self.end_any_engine)

    def schedule_stream(self, per_s: float, action: Callable[[], None]) -> None:
        """Repeat an action at a mean rate."""
        if not per_s:
            return

        def act_again() -> None:
            action()
            self.after(self.random.expovariate(per_s), act_again)

        self.after(self.random.expovariate(per_s), act_again)

    def kill_hosts(self) -> None:
        """Let all hosts forget what they know."""
        self.issuers = (Quarantine(), Quarantine())
        self.permits.clear()
        self.hosts = [Quarantine() for _ in self.hosts]

    def end_any_engine(self) -> None:
        """End an engine for another reason."""
        self.end_engine(self.random.choice(self.engines))

    def send_sound(self) -> None:
        """Send a sound request."""
        second = f"s{self.random.randrange(6)}"
        if self.random.random() < self.scenario.rare:
            second = f"rare{self.random.randrange(50)}"
        is_short = self.random.random() < 0.5
        parts = [COMMON] if is_short else [COMMON, second]
        self.result.sound += 1
        if not self.send(part_features([*parts, "own"]), is_marked=False):
            self.result.sound_held += 1
            self.result.common_held += is_short

    def send_marked(self) -> None:
        """Send a request with a marked part."""
        marked = MARKED[next(self.numbers) % self.scenario.marked]
        beside = self.random.choice(("s0", "s1", f"rare{self.random.randrange(50)}"))
        self.send(part_features([COMMON, beside, marked, "own"]), is_marked=True)

    def send(self, parts: tuple[FeatureId, ...], is_marked: bool) -> bool:
        """Send a request by a random host; return whether it was not refused."""
        host = self.random.randrange(len(self.hosts))
        quarantine = self.hosts[host]
        if self.way.held(quarantine, parts, self.now):
            return False
        permit = self.way.probed(quarantine, parts)
        self.result.common_held += permit == COMMON_PART
        if permit is not None and not self.may_probe(host, permit):
            return False
        up = [engine for engine in self.engines if engine.is_up]
        if not up:
            return True
        run = Run(host, parts, is_marked, permit)
        if permit is not None:
            self.permits.add(permit)
        engine = self.random.choice(up)
        engine.runs.append(run)
        if is_marked:
            self.count_late(parts[-1])
        self.after(
            self.random.uniform(*BEGINS_AFTER_S), lambda: self.begin(run, engine)
        )
        return True

    def may_probe(self, host: int, feature: FeatureId) -> bool:
        """Return whether the issuer of permits lets a host try a feature.

        Both exchange what they know of it.
        """
        own, issuer = self.hosts[host], self.issuers[self.side_of(host)]
        for end in own.ends_of(feature):
            issuer.record_target_end(feature, end, self.now)
        if issuer.remaining_hold(feature, self.now):
            for end in issuer.ends_of(feature):
                own.record_target_end(feature, end, self.now)
            return False
        return feature not in self.permits

    def side_of(self, host: int) -> int:
        """Return the side of the cut on which a host is; all are on one without it."""
        return host % 2 if self.now_s < self.scenario.cut_until_s else 0

    def count_late(self, part: FeatureId) -> None:
        """Count a marked request that reached an engine long after the fifth end."""
        ends = self.part_ends.get(part, [])
        killed_s = self.scenario.kill_hosts_at_s
        is_in_touch = not killed_s <= self.now_s <= killed_s + STABLE_S
        if len(ends) >= ENOUGH_ENDS and self.now_s > ends[4] + STABLE_S and is_in_touch:
            self.result.late_runs += 1

    def begin(self, run: Run, engine: Engine) -> None:
        """Begin to answer a request, which ends the engine if it is marked."""
        if run.is_over:
            return
        if run.is_marked:
            self.part_ends.setdefault(run.parts[-1], []).append(self.now_s)
            self.end_engine(engine)
            return
        began = self.now
        self.after(PROOF_AFTER_S, lambda: self.prove(run, began))
        self.after(LASTS_S, lambda: self.finish(run, engine))

    def prove(self, run: Run, began: Instant) -> None:
        """Clear the parts of a request that its engine has survived."""
        if run.is_over or not self.way.clears:
            return
        run.is_proven = True
        for part in run.parts:
            self.clear(run.host, part, began)

    def clear(self, host: int, part: FeatureId, at: Instant) -> None:
        """Clear a part at a host, which tells the others if it was suspect."""
        if self.hosts[host].record_sound_run(part, at, self.now):
            self.tell(host, partial(self.hear_clearing, part, at))

    def finish(self, run: Run, engine: Engine) -> None:
        """End a request that was answered."""
        if not run.is_over:
            run.is_over = True
            engine.runs.remove(run)
            self.release(run)

    def release(self, run: Run) -> None:
        """Give a run's permit back."""
        if run.permit is not None:
            self.permits.discard(run.permit)

    def end_engine(self, engine: Engine) -> None:
        """End an engine and all that it runs; it is back after a while."""
        if not engine.is_up:
            return
        engine.is_up = False
        self.result.ends += 1
        end = TargetEnd(TargetId(engine.name), engine.starts, self.now)
        interrupted, engine.runs = engine.runs, []
        for run in interrupted:
            run.is_over = True
            self.after(DETECTED_AFTER_S, partial(self.observe, run, end))
        self.after(BACK_AFTER_S, lambda: self.start_engine(engine))

    def start_engine(self, engine: Engine) -> None:
        """Start an engine again."""
        engine.is_up = True
        engine.starts += 1

    def observe(self, run: Run, end: TargetEnd) -> None:
        """Record an end against the parts of a request that was there."""
        self.release(run)
        if run.permit is not None:
            issuer = self.issuers[self.side_of(run.host)]
            issuer.record_target_end(run.permit, end, self.now)
        own = self.hosts[run.host]
        parts = () if run.is_proven else run.parts
        new = [p for p in parts if own.record_target_end(p, end, self.now)]
        if new:
            self.tell(run.host, partial(self.hear_end, new, end))

    def hear_end(self, parts: list[FeatureId], end: TargetEnd, host: int) -> None:
        """Record an end that another host observed."""
        for part in parts:
            self.hosts[host].record_target_end(part, end, self.now)

    def hear_clearing(self, part: FeatureId, at: Instant, host: int) -> None:
        """Clear a part that another host cleared."""
        self.hosts[host].clear_feature(part, at, self.now)

    def tell(self, host: int, hear: Callable[[int], None]) -> None:
        """Let the other hosts hear an observation, some time later."""
        for other in range(len(self.hosts)):
            if other != host:
                self.result.news += 1
                delay_s = self.random.uniform(*NEWS_AFTER_S)
                if self.is_cut(host, other):
                    delay_s += self.scenario.cut_until_s - self.now_s
                self.after(delay_s, partial(hear, other))

    def is_cut(self, host: int, other: int) -> bool:
        """Return whether two hosts exchange no news now."""
        return self.side_of(host) != self.side_of(other)
