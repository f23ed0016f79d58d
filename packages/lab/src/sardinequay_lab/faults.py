"""The faults that trials bring about, one function each."""

import asyncio
import signal
from dataclasses import replace

from .cut_relay import RESET, SILENT
from .trial import Trial
from .trial_files import contents

LEASE_MARGIN_S = 1.0


def any_host(trial: Trial) -> str:
    """Choose a host."""
    return trial.random.choice(sorted(trial.cluster.hosts))


def any_engine(trial: Trial) -> str:
    """Choose an engine."""
    engines = [n for n, t in trial.cluster.targets.items() if t.kind == "engine"]
    return trial.random.choice(sorted(engines))


async def nothing(trial: Trial) -> None:
    """Let the system run."""
    await asyncio.sleep(2)


async def kill_host(trial: Trial) -> None:
    """Kill a host with requests in flight, and start it again."""
    name = any_host(trial)
    trial.cluster.kill(name)
    await asyncio.sleep(1.5)
    trial.cluster.start_host(name)
    await trial.cluster.ready(name)


async def freeze_host(trial: Trial) -> None:
    """Freeze a host past every lease, then let it wake still believing."""
    name = any_host(trial)
    trial.cluster.signal(name, signal.SIGSTOP)
    lease_s = trial.cluster.plan.timing.get("lease_s", 10)
    await asyncio.sleep(lease_s + LEASE_MARGIN_S)
    trial.cluster.signal(name, signal.SIGCONT)
    await asyncio.sleep(1)


async def restart_every_host(trial: Trial) -> None:
    """Kill and restart all hosts one after another."""
    for name in trial.cluster.hosts:
        trial.cluster.kill(name)
        trial.cluster.start_host(name)
        await trial.cluster.ready(name)
        await asyncio.sleep(trial.cluster.plan.claims.get("window_s", 2) + 0.5)


async def stop_gracefully(trial: Trial) -> None:
    """Stop a host as the platform does, while it serves."""
    name = any_host(trial)
    url = f"http://{trial.cluster.hosts[name].callers}"
    others = [u for u in trial.callers.urls if u != url]
    trial.cluster.signal(name, signal.SIGTERM)
    trial.callers.urls[:] = others
    process = trial.cluster.processes.pop(name)
    code = await asyncio.to_thread(process.wait, 30)
    if code:
        raise RuntimeError(f"{name} exited with {code}")


async def cut_data_centre(trial: Trial, mode: str = RESET) -> None:
    """Cut a data centre off from all others, and heal."""
    name = trial.random.choice(trial.cluster.plan.data_centres)
    trial.cluster.part_data_centre(name, mode)
    await asyncio.sleep(4)
    trial.cluster.cut()


async def silence_data_centre(trial: Trial) -> None:
    """Have all links of a data centre go silent, and heal."""
    await cut_data_centre(trial, SILENT)


async def kill_configuration(trial: Trial) -> None:
    """Kill the configuration service, and roll when it is back."""
    trial.cluster.kill("configuration")
    await asyncio.sleep(2)
    trial.cluster.start_configuration()
    version = await asyncio.to_thread(trial.cluster.roll, ("1", "2"))
    await trial.cluster.in_force(version)


async def stale_configuration(trial: Trial) -> None:
    """Roll, have the service fall back to the old version, and restart a host then."""
    published = trial.cluster.directory / "published" / "root"
    old = published.read_bytes()
    version = await asyncio.to_thread(trial.cluster.roll, ("1", "2"))
    await trial.cluster.in_force(version)
    published.write_bytes(old)
    await kill_host(trial)
    await trial.cluster.in_force(version)


async def two_operators(trial: Trial) -> None:
    """Have two operators roll other bundles with one version, then a newer one."""
    cluster = trial.cluster
    version = cluster.version + 1
    settings = cluster.settings_of(any_host(trial))
    plan = replace(cluster.plan, adapters=cluster.plan.adapters + 1)
    first = cluster.operator.build(contents(cluster.plan), version, "first")
    twin = cluster.operator.build(contents(plan), version, "twin")
    await asyncio.to_thread(cluster.operator.roll, first, settings)
    published = cluster.directory / "published" / "root"
    await asyncio.sleep(0.1)
    for blob in twin.parent.iterdir():
        if len(blob.name) == 64:
            (published.parent / blob.name).write_bytes(blob.read_bytes())
    published.write_bytes(twin.read_bytes())
    cluster.version = version
    await asyncio.sleep(1)
    newer = await asyncio.to_thread(cluster.roll, ("1", "2"))
    await cluster.in_force(newer)


async def restart_engine(trial: Trial) -> None:
    """Kill an engine and start it empty at the same address."""
    name = any_engine(trial)
    trial.cluster.kill(name)
    trial.cluster.start_target(name)
    await asyncio.sleep(2)


async def engine_leaves(trial: Trial) -> None:
    """Have an engine leave by the list."""
    trial.leave(any_engine(trial))
    await asyncio.sleep(5)


async def service_leaves(trial: Trial) -> None:
    """Have a plain service's target leave by the list."""
    services = [n for n, t in trial.cluster.targets.items() if t.kind == "service"]
    trial.leave(trial.random.choice(sorted(services)))
    await asyncio.sleep(5)


async def kill_service(trial: Trial) -> None:
    """Kill a plain service's target with orders in flight, and start it again."""
    services = [n for n, t in trial.cluster.targets.items() if t.kind == "service"]
    name = trial.random.choice(sorted(services))
    trial.cluster.kill(name)
    await asyncio.sleep(1)
    trial.cluster.start_target(name)


async def kill_weight_store(trial: Trial) -> None:
    """Kill the weight store for a while."""
    trial.cluster.kill("weight-store")
    await asyncio.sleep(3)
    trial.cluster.start_weight_store()


async def replace_host(trial: Trial) -> None:
    """Kill a host and list another in its place, under a new name and address."""
    trial.cluster.replace_host(any_host(trial))
    await trial.cluster.ready()
    urls = [f"http://{host.callers}" for host in trial.cluster.hosts.values()]
    trial.callers.urls[:] = urls


async def replace_every_host(trial: Trial) -> None:
    """Replace all hosts one after another, faster than claims expire."""
    for name in sorted(trial.cluster.hosts):
        trial.cluster.replace_host(name)
        await trial.cluster.ready()
        trial.callers.urls[:] = [
            f"http://{host.callers}" for host in trial.cluster.hosts.values()
        ]
        await asyncio.sleep(trial.cluster.plan.claims.get("window_s", 2) + 1)


async def freeze_and_cut(trial: Trial) -> None:
    """Freeze a host while a data centre is cut off."""
    name = trial.random.choice(trial.cluster.plan.data_centres)
    trial.cluster.part_data_centre(name, RESET)
    await freeze_host(trial)
    trial.cluster.cut()


async def engine_restarts_in_a_cut(trial: Trial) -> None:
    """Restart an engine while a data centre's links are silent."""
    name = trial.random.choice(trial.cluster.plan.data_centres)
    trial.cluster.part_data_centre(name, SILENT)
    await restart_engine(trial)
    trial.cluster.cut()
