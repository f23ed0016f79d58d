"""A virtual clock, small fake engines and callers, to compare placement policies.

Engines batch continuously by steps, hold few adapters, and share one weight store that
reads one adapter at a time. Nothing here decides: that is the policies' part.
"""

import heapq
import itertools
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Protocol

from sardinequay_core.names import AdapterRef

STEP_S = 0.02
STEP_PER_REQUEST_S = 0.0004
MAX_BATCH = 32


@dataclass(slots=True)
class Job:
    """One request."""

    number: int
    adapter: AdapterRef
    data_centre: str
    arrived_s: float
    deadline_s: float
    tokens_left: int
    priority: int = 5
    stalled: bool = False
    stall_s: float = 0.0
    started_s: float | None = None
    ended_s: float | None = None
    fate: str = ""


@dataclass(slots=True)
class EngineSim:
    """One engine: its batch, its queue and its slots."""

    name: str
    data_centre: str
    slots: int
    resident: dict[AdapterRef, float] = field(default_factory=dict)
    loading: set[AdapterRef] = field(default_factory=set)
    batch: list[Job] = field(default_factory=list)
    queue: deque[Job] = field(default_factory=deque)
    incarnation: int = 1
    stepping: bool = False
    steps: int = 0
    filled: int = 0

    def load(self) -> int:
        """Return the requests on the engine."""
        return len(self.batch) + len(self.queue)

    def uses(self, adapter: AdapterRef) -> bool:
        """Return whether a request runs or waits on an adapter."""
        return any(j.adapter == adapter for j in (*self.batch, *self.queue))


class Policy(Protocol):
    """What decides where requests go and what is loaded."""

    def arrive(self, job: Job) -> None:
        """Take a new request."""

    def loaded(self, engine: EngineSim, adapter: AdapterRef, ok: bool) -> None:
        """Take the end of a load."""

    def ended(self, engine: EngineSim, job: Job) -> None:
        """Take the end of a request."""

    def tick(self) -> None:
        """Let time pass."""

    def restarted(self, engine: EngineSim) -> None:
        """Take that an engine lost all it had."""


@dataclass(frozen=True, slots=True)
class Scenario:
    """A user's sizes and a workload.

    Parameters
    ----------
    engines : dict
        Engines in each data centre.
    shift_at_s : float or None
        When popularity is drawn anew.
    hot_at_s : float or None
        When one cold adapter becomes the one that a third of requests want.
    restart_at_s, cut_at_s : float or None
        When an engine restarts, and when a data centre is cut off.
    dead_store_s : tuple of float or None
        From when to when the weight store does not answer.
    failing_loads : float
        Share of loads that fail.
    """

    engines: dict[str, int]
    loads_per_s: float
    slope: float = 1.0
    adapters: int = 3000
    slots: int = 8
    requests_per_s: float = 25.0
    tokens: int = 40
    deadline_s: float = 10.0
    duration_s: float = 180.0
    shift_at_s: float | None = None
    hot_at_s: float | None = None
    restart_at_s: float | None = None
    cut_at_s: float | None = None
    dead_store_s: tuple[float, float] | None = None
    failing_loads: float = 0.0


class Simulation:
    """One run of one policy under one scenario."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = Random(seed)
        self.now = 0.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.numbers = itertools.count()
        self.engines = [
            EngineSim(f"{dc}-{n}", dc, scenario.slots)
            for dc, count in scenario.engines.items()
            for n in range(count)
        ]
        self.store: deque[tuple[EngineSim, AdapterRef, int]] = deque()
        self.store_busy = False
        self.loads = 0
        self.jobs: list[Job] = []
        self.names = [AdapterRef(f"a{n:05}", "1") for n in range(scenario.adapters)]
        self.cut_off = ""
        self.hot: AdapterRef | None = None
        self.weights = list(
            itertools.accumulate(
                1 / rank**scenario.slope for rank in range(1, scenario.adapters + 1)
            )
        )
        self.policy: Policy

    # Time.

    def at(self, when_s: float, step: Callable[[], None]) -> None:
        """Have something happen at a time."""
        heapq.heappush(self.events, (when_s, next(self.numbers), step))

    def after(self, delay_s: float, step: Callable[[], None]) -> None:
        """Have something happen after a while."""
        self.at(self.now + delay_s, step)

    def run(self, policy: Policy, tick_s: float) -> None:
        """Run to the end of the scenario."""
        self.policy = policy
        self.random.shuffle(self.names)
        self.plan_faults()
        self.after(0, self.next_arrival)
        self.after(0, lambda: self.next_tick(tick_s))
        end = self.scenario.duration_s
        while self.events and self.events[0][0] <= end:
            self.now, _, step = heapq.heappop(self.events)
            step()

    def next_tick(self, tick_s: float) -> None:
        """Let the policy act, again and again."""
        self.policy.tick()
        self.after(tick_s, lambda: self.next_tick(tick_s))

    def plan_faults(self) -> None:
        """Have the scenario's faults happen."""
        scenario = self.scenario
        if scenario.shift_at_s is not None:
            self.at(scenario.shift_at_s, lambda: self.random.shuffle(self.names))
        if scenario.hot_at_s is not None:
            self.at(scenario.hot_at_s, self.heat)
        if scenario.restart_at_s is not None:
            self.at(scenario.restart_at_s, lambda: self.restart(self.engines[0]))
        if scenario.cut_at_s is not None:
            self.at(scenario.cut_at_s, self.cut)

    def heat(self) -> None:
        """Make the least wanted adapter the most wanted one."""
        self.hot = self.names[-1]

    def cut(self) -> None:
        """Cut the last data centre off from the others."""
        self.cut_off = self.engines[-1].data_centre

    def restart(self, engine: EngineSim) -> None:
        """Restart an engine: requests on it are lost, and all it had loaded."""
        for job in (*engine.batch, *engine.queue):
            self.finish(job, "lost")
        engine.batch.clear()
        engine.queue.clear()
        engine.resident.clear()
        engine.loading.clear()
        engine.incarnation += 1
        self.policy.restarted(engine)

    def reachable(self, data_centre: str, other: str) -> bool:
        """Return whether two data centres can talk."""
        return data_centre == other or self.cut_off not in (data_centre, other)

    # Callers.

    def next_arrival(self) -> None:
        """Have a request arrive, and the next one after it."""
        scenario = self.scenario
        self.after(self.random.expovariate(scenario.requests_per_s), self.next_arrival)
        adapter = self.draw()
        data_centre = self.random.choice(list(scenario.engines))
        tokens = max(4, int(self.random.expovariate(1 / scenario.tokens)))
        job = Job(
            len(self.jobs),
            adapter,
            data_centre,
            self.now,
            self.now + scenario.deadline_s,
            tokens,
        )
        self.jobs.append(job)
        self.policy.arrive(job)

    def draw(self) -> AdapterRef:
        """Draw an adapter by popularity."""
        if self.hot is not None and self.random.random() < 1 / 3:
            return self.hot
        return self.random.choices(self.names, cum_weights=self.weights)[0]

    def finish(self, job: Job, fate: str) -> None:
        """Give a request its fate."""
        if not job.fate:
            job.fate = fate
            job.ended_s = self.now

    # Engines.

    def submit(self, engine: EngineSim, job: Job) -> None:
        """Put a request on an engine that holds its adapter."""
        if job.stalled:
            job.stall_s = self.now - job.arrived_s
        engine.resident[job.adapter] = self.now
        engine.queue.append(job)
        if not engine.stepping:
            engine.stepping = True
            self.after(0, lambda: self.step(engine))

    def step(self, engine: EngineSim) -> None:
        """Generate one token for every request of the batch."""
        while engine.queue and len(engine.batch) < MAX_BATCH:
            job = engine.queue.popleft()
            job.started_s = self.now
            engine.batch.append(job)
        if not engine.batch:
            engine.stepping = False
            return
        engine.steps += 1
        engine.filled += len(engine.batch)
        took = STEP_S + STEP_PER_REQUEST_S * len(engine.batch)
        self.after(took, lambda: self.end_step(engine))

    def end_step(self, engine: EngineSim) -> None:
        """Take finished requests out of the batch, and go on."""
        done = []
        for job in engine.batch:
            job.tokens_left -= 1
            if job.tokens_left <= 0:
                done.append(job)
        for job in done:
            engine.batch.remove(job)
            self.finish(job, "served" if self.now <= job.deadline_s else "late")
            self.policy.ended(engine, job)
        self.step(engine)

    # Loads.

    def order_load(self, engine: EngineSim, adapter: AdapterRef) -> None:
        """Have an engine load an adapter; the weight store reads one at a time."""
        self.loads += 1
        engine.loading.add(adapter)
        self.store.append((engine, adapter, engine.incarnation))
        self.read_next()

    def read_next(self) -> None:
        """Start the next read if the store is free and alive."""
        if self.store_busy or not self.store:
            return
        self.store_busy = True
        dead = self.scenario.dead_store_s
        delay = 1 / self.scenario.loads_per_s
        if dead and dead[0] <= self.now < dead[1]:
            delay += dead[1] - self.now
        engine, adapter, incarnation = self.store.popleft()
        self.after(delay, lambda: self.read_done(engine, adapter, incarnation))

    def read_done(
        self, engine: EngineSim, adapter: AdapterRef, incarnation: int
    ) -> None:
        """End a read; a restarted engine knows nothing of it."""
        self.store_busy = False
        if engine.incarnation == incarnation:
            engine.loading.discard(adapter)
            ok = self.random.random() >= self.scenario.failing_loads
            if ok:
                engine.resident[adapter] = self.now
            self.policy.loaded(engine, adapter, ok)
        self.read_next()

    def evict(self, engine: EngineSim, adapter: AdapterRef) -> None:
        """Have an engine drop an adapter that no request uses."""
        if engine.uses(adapter):
            raise AssertionError(f"{adapter} evicted in use")
        engine.resident.pop(adapter, None)
