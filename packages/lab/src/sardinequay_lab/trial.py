"""A trial: a whole system under load while faults come, judged by its history."""

import asyncio
import time
from collections import Counter
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path
from random import Random

import aiohttp

from .checker import Breach, judge
from .cluster import Cluster
from .history import HistoryWriter, read_history
from .load import Callers, LoadPlan
from .plan import Plan

WATCH_S = 0.05
SETTLE_TIMEOUT_S = 30.0
SETTLE_PAUSE_S = 0.5

Fault = Callable[["Trial"], Awaitable[None]]


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a trial came to.

    Parameters
    ----------
    breaches : list of Breach
        Promises that were broken.
    outcomes : Counter
        Answers by kind.
    recovered_s : float
        How long after the last fault requests of every kind were answered again.
    logged_errors : list of str
        Lines of hosts' logs that tell of a bug.
    """

    breaches: list[Breach]
    outcomes: Counter[str]
    recovered_s: float
    logged_errors: list[str]


@dataclass(slots=True)
class Trial:
    """A running system, its callers and the history that a trial itself writes."""

    cluster: Cluster
    random: Random
    load: LoadPlan
    history: HistoryWriter
    callers: Callers

    def leave(self, target: str) -> None:
        """Have the platform list a target as leaving."""
        self.cluster.leaving.add(target)
        self.cluster.publish_roster()
        self.history.write("left", target=target)

    async def watch_versions(self) -> None:
        """Write what every host has in force, again and again."""
        while True:
            for name in list(self.cluster.hosts):
                process = self.cluster.processes.get(name)
                with suppress(aiohttp.ClientError, OSError, TimeoutError):
                    async with asyncio.timeout(1):
                        status = await self.cluster.status(name)
                    if process is not None:
                        self.history.write(
                            "in force",
                            process=f"{name} {process.pid}",
                            version=status["bundle_version"],
                        )
            await asyncio.sleep(WATCH_S)


def make_trial(directory: Path, plan: Plan, load: LoadPlan, seed: int) -> Trial:
    """Prepare a trial; nothing is started yet."""
    cluster = Cluster(directory, plan)
    random = Random(seed)
    urls = [f"http://{host.callers}" for host in cluster.hosts.values()]
    history = HistoryWriter(cluster.history / "callers.history", "callers")
    callers = Callers(urls, load, history, Random(seed + 1))
    own = HistoryWriter(cluster.history / "trial.history", "trial")
    return Trial(cluster, random, load, own, callers)


async def run_trial(trial: Trial, fault: Fault, before_s: float = 1.0) -> Verdict:
    """Run a system under load, bring a fault about, and judge what happened."""
    cluster = trial.cluster
    try:
        await asyncio.to_thread(cluster.start)
        await cluster.ready()
        watch = asyncio.create_task(trial.watch_versions())
        callers = asyncio.create_task(trial.callers.run())
        await asyncio.sleep(before_s)
        await fault(trial)
        recovered_s = await settle(trial)
        trial.callers.stopping = True
        await callers
        watch.cancel()
    finally:
        await asyncio.to_thread(cluster.stop)
    breaches = judge(read_history(cluster.history))
    errors = logged_errors(cluster)
    return Verdict(breaches, trial.callers.outcomes, recovered_s, errors)


def logged_errors(cluster: Cluster) -> list[str]:
    """Return the lines of hosts' logs that carry a traceback."""
    found: list[str] = []
    logs = cluster.directory / "logs"
    hosts = [f for name in cluster.hosts for f in [logs / f"{name}.log"] if f.exists()]
    for log in hosts:
        text = log.read_text(errors="replace")
        lines = text.splitlines()
        found += [f"{log.stem}: {x}" for x in lines if "Traceback" in x]
    return found


async def settle(trial: Trial) -> float:
    """Wait until requests of every kind are answered again; return how long it took."""
    began = time.monotonic()
    async with asyncio.timeout(SETTLE_TIMEOUT_S):
        while True:
            before = Counter(trial.callers.outcomes)
            await asyncio.sleep(SETTLE_PAUSE_S)
            new = trial.callers.outcomes - before
            if new["order complete"] and new["model complete"]:
                return time.monotonic() - began
