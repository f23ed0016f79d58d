"""The policies that the benchmark compares: ours, driven by the core, and baselines."""

from collections import defaultdict
from datetime import timedelta
from itertools import cycle

from sardinequay_core.clock import Instant, seconds
from sardinequay_core.engine_record import (
    EngineReport,
    KeeperPolicy,
    LoadCommand,
    RecallCommand,
    UnloadCommand,
)
from sardinequay_core.keeper import Keeper
from sardinequay_core.leases import AdapterUse, HolderId
from sardinequay_core.load_queue import LoadPolicy, RejectWaiter
from sardinequay_core.names import (
    AdapterRef,
    Address,
    DataCentre,
    PoolName,
    TargetId,
)
from sardinequay_core.rendezvous import rank_members, rank_members_weighted
from sardinequay_core.roster import Target, TargetKind

from .placement_sim import EngineSim, Job, Simulation

HOLDER = HolderId("holder")
REPORT_EVERY = 5
"""Ticks between two reports: half a second."""


class Baseline:
    """What the baselines share: load on a miss, in order, and evict the least recent.

    Parameters
    ----------
    choose : str
        ``round robin``, ``least loaded`` or ``affinity``.
    """

    def __init__(self, sim: Simulation, choose: str) -> None:
        self.sim = sim
        self.choose = choose
        self.turn = cycle(sim.engines)
        self.waiting: dict[tuple[str, AdapterRef], list[Job]] = defaultdict(list)
        self.misses: dict[str, list[AdapterRef]] = defaultdict(list)

    def arrive(self, job: Job) -> None:
        """Send a request to the chosen engine, or have it wait there for a load."""
        engine = self.engine_for(job)
        if job.adapter in engine.resident:
            self.sim.submit(engine, job)
            return
        job.stalled = True
        waiting = self.waiting[(engine.name, job.adapter)]
        waiting.append(job)
        if len(waiting) == 1:
            self.misses[engine.name].append(job.adapter)
        self.load_next(engine)

    def engine_for(self, job: Job) -> EngineSim:
        """Choose an engine among those in reach."""
        in_reach = [
            e
            for e in self.sim.engines
            if self.sim.reachable(job.data_centre, e.data_centre)
        ]
        if self.choose == "round robin":
            return next(e for e in self.turn if e in in_reach)
        if self.choose == "least loaded":
            return min(in_reach, key=lambda e: (e.load() + self.queued(e), e.name))
        by_name = {e.name: e for e in in_reach}
        return by_name[rank_members(str(job.adapter), by_name)[0]]

    def queued(self, engine: EngineSim) -> int:
        """Return the requests that wait for loads on an engine."""
        return len(self.misses[engine.name])

    def load_next(self, engine: EngineSim) -> None:
        """Load the next missed adapter if a slot is free or can be freed."""
        queue = self.misses[engine.name]
        if not queue or engine.loading:
            return
        if len(engine.resident) >= engine.slots and not self.evict_oldest(engine):
            return
        self.sim.order_load(engine, queue.pop(0))

    def evict_oldest(self, engine: EngineSim) -> bool:
        """Evict the least recently used adapter that is not in use."""
        idle = [a for a in engine.resident if not engine.uses(a)]
        if not idle:
            return False
        self.sim.evict(engine, min(idle, key=lambda a: engine.resident[a]))
        return True

    def loaded(self, engine: EngineSim, adapter: AdapterRef, ok: bool) -> None:
        """Submit those who waited, or load again."""
        if not ok:
            self.misses[engine.name].append(adapter)
        else:
            for job in self.waiting.pop((engine.name, adapter), ()):
                if self.sim.now < job.deadline_s:
                    self.sim.submit(engine, job)
                else:
                    self.sim.finish(job, "missed")
        self.load_next(engine)

    def ended(self, engine: EngineSim, job: Job) -> None:
        """Use a slot that may have become free."""
        self.load_next(engine)

    def tick(self) -> None:
        """Drop requests whose deadline passed, and go on loading."""
        for (name, adapter), jobs in list(self.waiting.items()):
            for job in [j for j in jobs if j.deadline_s <= self.sim.now]:
                jobs.remove(job)
                self.sim.finish(job, "missed")
            if not jobs:
                del self.waiting[(name, adapter)]
                if adapter in self.misses[name]:
                    self.misses[name].remove(adapter)
        for engine in self.sim.engines:
            self.load_next(engine)

    def restarted(self, engine: EngineSim) -> None:
        """Load again what is waited for."""
        waited = [a for n, a in self.waiting if n == engine.name]
        self.misses[engine.name] = waited


class KeeperSide:
    """One data centre's keeper with the engines it keeps."""

    def __init__(self, sim: Simulation, data_centre: str, policy: KeeperPolicy) -> None:
        self.engines = {
            TargetId(e.name): e for e in sim.engines if e.data_centre == data_centre
        }
        self.keeper = Keeper(policy, 1, timedelta(0))
        self.keeper.set_targets(
            Target(
                name,
                PoolName("p"),
                TargetKind.ENGINE,
                DataCentre(data_centre),
                Address("127.0.0.1", 1),
            )
            for name in self.engines
        )
        self.waiting: dict[int, Job] = {}


class Ours:
    """The core's keepers, one for each data centre, and adapters with home centres."""

    def __init__(
        self, sim: Simulation, stall_weight: float, batch_weight: float
    ) -> None:
        self.sim = sim
        self.ticks = 0
        self.sequence = 0
        engines = len(sim.engines)
        self.sides = {}
        for name, count in sim.scenario.engines.items():
            loads = LoadPolicy(
                loads_per_s=sim.scenario.loads_per_s * count / engines,
                burst=2.0,
                load_time=seconds(1 / sim.scenario.loads_per_s),
                stall_weight=stall_weight,
                batch_weight=batch_weight,
            )
            policy = KeeperPolicy(
                lease_duration=seconds(10),
                longest_request=seconds(sim.scenario.deadline_s * 2),
                load_policy=loads,
            )
            self.sides[name] = KeeperSide(sim, name, policy)

    def now(self) -> Instant:
        """Return the virtual time as the core takes it."""
        return seconds(1000 + self.sim.now)

    def home(self, job: Job) -> KeeperSide:
        """Return the keeper of the adapter's home among those in reach."""
        weights = {
            name: float(count)
            for name, count in self.sim.scenario.engines.items()
            if self.sim.reachable(job.data_centre, name)
        }
        return self.sides[rank_members_weighted(str(job.adapter), weights)[0]]

    def arrive(self, job: Job) -> None:
        """Send a request where its adapter is, or queue it for a load."""
        side = self.home(job)
        if self.submit(side, job):
            return
        job.stalled = True
        deadline = seconds(1000 + job.deadline_s)
        given_up = side.keeper.handle_load_request(
            job.number, job.adapter, deadline, self.now()
        )
        if given_up is not None:
            self.sim.finish(job, "refused")
            return
        side.waiting[job.number] = job
        self.act(side)

    def submit(self, side: KeeperSide, job: Job) -> bool:
        """Put a request on the least busy engine with a lease, if there is one."""
        self.sequence += 1
        granted = side.keeper.handle_acquire(
            HOLDER, job.adapter, self.sequence, self.now()
        )
        if not granted:
            return False
        engines = [side.engines[use.target] for use, _ in granted]
        self.sim.submit(min(engines, key=lambda e: (e.load(), e.name)), job)
        return True

    def loaded(self, engine: EngineSim, adapter: AdapterRef, ok: bool) -> None:
        """Tell the keeper, and submit those who waited."""
        side = self.sides[engine.data_centre]
        use = AdapterUse(adapter, TargetId(engine.name))
        if not ok:
            side.keeper.handle_load_failed(use, self.now())
            self.act(side)
            return
        took = seconds(1 / self.sim.scenario.loads_per_s)
        for ticket in side.keeper.handle_load_done(use, took, self.now()):
            job = side.waiting.pop(ticket, None)
            if job is not None and not self.submit(side, job):
                self.arrive(job)
        self.act(side)

    def ended(self, engine: EngineSim, job: Job) -> None:
        """Return a recalled lease with its last request."""
        side = self.sides[engine.data_centre]
        kept = side.keeper.engines[TargetId(engine.name)]
        if job.adapter in kept.draining and not engine.uses(job.adapter):
            self.give_back(side, AdapterUse(job.adapter, TargetId(engine.name)))

    def give_back(self, side: KeeperSide, use: AdapterUse) -> None:
        """Return a lease."""
        self.sequence += 1
        side.keeper.handle_lease_return(HOLDER, use, self.sequence)
        self.act(side)

    def tick(self) -> None:
        """Report now and then, renew leases, and let the keepers act."""
        self.ticks += 1
        for side in self.sides.values():
            if self.ticks % REPORT_EVERY == 1:
                self.report(side)
            self.act(side)

    def report(self, side: KeeperSide) -> None:
        """Have all engines of a data centre report, and renew what is held."""
        for name, engine in side.engines.items():
            kept = side.keeper.engines[name]
            in_use = {j.adapter for j in (*engine.batch, *engine.queue)}
            report = EngineReport(
                name,
                str(engine.incarnation),
                kept.token,
                engine.slots,
                tuple(engine.resident),
                len(engine.batch),
                len(engine.queue),
                tuple(sorted(in_use)),
            )
            side.keeper.handle_report(report, self.now(), self.now())

    def act(self, side: KeeperSide) -> None:
        """Carry out what a keeper decides."""
        for command in side.keeper.tick(self.now()):
            if isinstance(command, RejectWaiter):
                job = side.waiting.pop(command.ticket, None)
                if job is not None:
                    self.sim.finish(job, "refused")
                continue
            engine = side.engines[command.use.target]
            if isinstance(command, LoadCommand):
                self.load(engine, command)
            elif isinstance(command, UnloadCommand):
                self.sim.evict(engine, command.use.adapter)
                side.keeper.handle_unload_done(command.use, self.now())
            elif isinstance(command, RecallCommand):
                self.recall(side, engine, command)

    def load(self, engine: EngineSim, command: LoadCommand) -> None:
        """Order a load; one of an adapter that is there is done at once."""
        if command.use.adapter in engine.resident:
            adapter = command.use.adapter
            self.sim.after(0.001, lambda: self.loaded(engine, adapter, True))
        else:
            self.sim.order_load(engine, command.use.adapter)

    def recall(
        self, side: KeeperSide, engine: EngineSim, command: RecallCommand
    ) -> None:
        """Answer a recall: return the lease if nothing runs on it."""
        if not engine.uses(command.use.adapter):
            self.sim.after(0.001, lambda: self.give_back(side, command.use))

    def restarted(self, engine: EngineSim) -> None:
        """Tell the keeper with the next report."""
        self.report(self.sides[engine.data_centre])
