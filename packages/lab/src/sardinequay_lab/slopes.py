"""Slopes for the capacity page: what each role costs as the system grows.

Each part prints its points and the slope of a straight line through them. Bytes,
messages and calls do not depend on the machine; processor times do, and are to be seen
beside a bare relay's, which the data path's benchmark gives for the same machine.
"""

import argparse
import asyncio
import gc
import json
import shutil
import tempfile
import time
import tracemalloc
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

import aiohttp
import msgspec

from sardinequay_core.approval import SignedRoot, encode_signed_root, root_digest
from sardinequay_core.bundle import Contents, assemble_bundle, build_bundle
from sardinequay_core.bundle_lint import lint_contents
from sardinequay_core.claims import ClaimPolicy, ClaimRequest, Guard
from sardinequay_core.clock import seconds
from sardinequay_core.engine_record import EngineReport, KeeperPolicy, LoadCommand
from sardinequay_core.keeper import Keeper
from sardinequay_core.leases import AdapterUse, HolderId, LeaseTable
from sardinequay_core.load_queue import LoadPolicy
from sardinequay_core.names import (
    AdapterRef,
    Address,
    AttemptId,
    DataCentre,
    HostId,
    PoolName,
    TargetId,
)
from sardinequay_core.roster import Target, TargetKind
from sardinequay_core.views import GuardAddress, View
from sardinequay_daemon.messages import Keepership as KeepershipId
from sardinequay_daemon.messages import Renew
from sardinequay_daemon.wire import FrameKind, encode_frame, encode_message

from .bench_path import cpu_s
from .cluster import Cluster
from .gossip_run import gossip
from .plan import Plan
from .trial_files import contents

Point = tuple[float, float]
NOW = seconds(1000)
ADDRESS = Address("127.0.0.1", 1)
R0, W7 = AdapterRef("r0", "1"), AdapterRef("w7", "1")
IDLE_S = 10.0


def slope(points: list[Point]) -> float:
    """Return the slope of the straight line that fits points best."""
    n = len(points)
    mean_x = sum(x for x, _ in points) / n
    mean_y = sum(y for _, y in points) / n
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    below = sum((x - mean_x) ** 2 for x, _ in points)
    return above / below


def tell(name: str, unit: str, per: str, points: list[Point]) -> None:
    """Print points and their slope."""
    shown = ", ".join(f"{x:g}: {y:.4g}" for x, y in points)
    print(f"{name} | {shown} | {slope(points):.4g} {unit} a {per}", flush=True)


def timed(step: Callable[..., object], *words: object, times: int = 1) -> float:
    """Return the processor time that a call takes, in microseconds."""
    began = time.process_time()
    for _ in range(times):
        step(*words)
    return (time.process_time() - began) / times * 1e6


@contextmanager
def traced_bytes() -> Iterator[list[int]]:
    """Measure the memory that a block leaves allocated."""
    gc.collect()
    tracemalloc.start()
    sizes: list[int] = []
    yield sizes
    gc.collect()
    sizes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()


# Real hosts.


async def read_metrics(cluster: Cluster) -> dict[str, dict[str, float]]:
    """Return what every host counted, by metric."""
    found: dict[str, dict[str, float]] = {}
    async with aiohttp.ClientSession() as http:
        for name, host in cluster.hosts.items():
            async with http.get(f"http://{host.operators}/metrics") as answer:
                text = await answer.text()
            sums: dict[str, float] = {}
            for line in text.splitlines():
                if not line.startswith("#"):
                    metric, _, value = line.rpartition(" ")
                    metric = metric.partition("{")[0]
                    sums[metric] = sums.get(metric, 0) + float(value)
            found[name] = sums
    return found


def resident_mb(pid: int) -> float:
    """Return a process's resident memory in megabytes."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0


async def watch_idle(cluster: Cluster) -> tuple[float, float, float, float, float]:
    """Return, for a host that idles: bytes, messages, platform calls, cpu, memory."""
    await cluster.ready()
    await asyncio.sleep(4)
    pids = {name: cluster.processes[name].pid for name in cluster.hosts}
    before, cpu = await read_metrics(cluster), {n: cpu_s(p) for n, p in pids.items()}
    await asyncio.sleep(IDLE_S)
    after = await read_metrics(cluster)

    def rate(metric: str) -> float:
        full = f"sardinequay_{metric}"
        total = sum(after[n].get(full, 0) - before[n].get(full, 0) for n in after)
        return total / len(after) / IDLE_S

    used = sum(cpu_s(p) - cpu[n] for n, p in pids.items()) / len(pids) / IDLE_S
    memory = sum(resident_mb(p) for p in pids.values()) / len(pids)
    return (
        rate("peer_sent_bytes_total"),
        rate("peer_sent_messages_total"),
        rate("platform_calls_total"),
        100 * used,
        memory,
    )


def run_idle(plan: Plan) -> tuple[float, float, float, float, float]:
    """Start a system, watch it idle, and stop it."""
    directory = Path(tempfile.mkdtemp(prefix="sardinequay-slopes-"))
    cluster = Cluster(directory, plan)
    try:
        cluster.start()
        return asyncio.run(watch_idle(cluster))
    finally:
        cluster.stop()
        shutil.rmtree(directory, ignore_errors=True)


def idle_hosts() -> None:
    """Measure what control costs a host beside 1, 3 and 7 others, with no callers."""
    sizes = (2, 4, 8)
    figures = []
    for size in sizes:
        plan = Plan(
            data_centres=("home",), hosts=size, engines=2, services=1, adapters=3000
        )
        figures.append(run_idle(plan))
    names = (
        ("control sent by a host", "bytes/s"),
        ("messages sent by a host", "messages/s"),
        ("calls to the platform by a host", "calls/s"),
        ("processor of an idle host", "% of a core"),
        ("resident memory of a host, 3000 adapters", "MB"),
    )
    for index, (name, unit) in enumerate(names):
        points = [(float(s), f[index]) for s, f in zip(sizes, figures, strict=True)]
        tell(name, unit, "host", points)


def adapters_memory() -> None:
    """Measure a host's memory and processor time by the number of adapters."""
    sizes = (3000, 19_000)
    figures = [
        run_idle(Plan(data_centres=("home",), hosts=2, engines=1, adapters=size))
        for size in sizes
    ]
    for index, name, unit in (
        (3, "processor of an idle host", "% of a core"),
        (4, "resident memory of a host", "MB"),
    ):
        points = [(float(s), f[index]) for s, f in zip(sizes, figures, strict=True)]
        tell(f"{name} by adapters", unit, "adapter", points)


# The core, in one process.


def bundles() -> None:
    """Measure lint, build, apply and the bytes that one change moves."""
    parts: dict[str, list[Point]] = {}
    for size in (3000, 19_000):
        for name, value in bundle_figures(size).items():
            parts.setdefault(name, []).append((size, value))
    for name, points in parts.items():
        tell(name, "", "adapter", points)


def bundle_figures(size: int) -> dict[str, float]:
    """Measure one size of bundle."""
    raw = json.dumps(contents(Plan(adapters=size)))
    offered = msgspec.json.decode(raw, type=Contents)
    old = build_bundle(offered, 1)
    digest = root_digest(old.root)
    bundle = assemble_bundle(old.root, digest, old.blobs).unwrap()
    first, *rest = offered.adapters
    changed = (replace(first, versions=("1", "2")), *rest)
    new = build_bundle(Contents(offered.base, changed), 2)
    fresh = [new.blobs[d] for d in new.blobs.keys() - old.blobs.keys()]
    moved = sum(map(len, fresh)) + len(encode_signed_root(SignedRoot(new.root)))
    new_digest = root_digest(new.root)
    return {
        "lint, ms": timed(lint_contents, offered) / 1e3,
        "build, ms": timed(build_bundle, offered, 1) / 1e3,
        "first apply, ms": timed(assemble_bundle, old.root, digest, old.blobs) / 1e3,
        "apply of one change, ms": timed(
            assemble_bundle, new.root, new_digest, new.blobs, bundle
        )
        / 1e3,
        "bytes that one change moves to a host": moved,
    }


def claims() -> None:
    """Measure a guard's memory and processor time by claims it remembers."""
    home = DataCentre("home")
    view = View(home, 0, (GuardAddress(HostId("a"), ADDRESS),))
    memory: list[Point] = []
    time_us: list[Point] = []
    for size in (10_000, 40_000):
        guard = Guard(HostId("a"), 1, ClaimPolicy(), NOW, view)
        requests = [
            ClaimRequest(view, f"kiosks/{n:032x}", AttemptId(f"{n:032x}"))
            for n in range(size)
        ]
        with traced_bytes() as sizes:
            for request in requests:
                guard.handle_claim(request, NOW)
        memory.append((size, sizes[0]))
        time_us.append((size, timed(guard.handle_claim, requests[0], NOW, times=2000)))
    tell("memory of a guard by claims", "bytes", "claim", memory)
    tell("one vote by claims remembered, microseconds", "us", "claim", time_us)
    request = ClaimRequest(view, "k" * 40, AttemptId("a" * 32))
    size = len(encode_frame(encode_message(FrameKind.REQUEST, 1, request)))
    print(f"one claim's message with one guard in the view | {size} bytes", flush=True)


def target(name: str) -> Target:
    """Return an engine."""
    return Target(
        TargetId(name), PoolName("p"), TargetKind.ENGINE, DataCentre("d"), ADDRESS
    )


def filled_keeper(engines: int, slots: int, wanted: int) -> Keeper:
    """Return a keeper of full engines, with many adapters wanted before."""
    policy = KeeperPolicy(load_policy=LoadPolicy(loads_per_s=1000, burst=10_000))
    keeper = Keeper(policy, 1, NOW)
    names = [f"e{n}" for n in range(engines)]
    keeper.set_targets([target(name) for name in names])
    for number, name in enumerate(names):
        resident = tuple(
            AdapterRef(f"r{number * slots + s}", "1") for s in range(slots)
        )
        report = EngineReport(TargetId(name), "1", 0, slots, resident)
        keeper.handle_report(report, NOW, NOW)
    for command in keeper.tick(NOW):
        if isinstance(command, LoadCommand):
            keeper.handle_load_done(command.use, timedelta(0), NOW)
    for n in range(wanted):
        keeper.queue.demand.record_requests(AdapterRef(f"w{n}", "1"), NOW)
    return keeper


def keepers() -> None:
    """Measure a keeper's decisions by engines, and by adapters in demand."""
    holder = HolderId("h")
    by_engines: list[Point] = []
    ticks: list[Point] = []
    for engines in (5, 26, 130):
        keeper = filled_keeper(engines, 8, 0)
        by_engines.append(
            (engines, timed(keeper.handle_acquire, holder, R0, 1, NOW, times=500))
        )
        for n in range(64):
            keeper.handle_load_request(
                n, AdapterRef(f"c{n}", "1"), NOW + seconds(60), NOW
            )
        ticks.append((engines, timed(keeper.tick, NOW, times=20)))
    tell("one acquire by engines, microseconds", "us", "engine", by_engines)
    tell("one tick with 64 adapters waited for, microseconds", "us", "engine", ticks)
    wants: list[Point] = []
    for adapters in (3000, 19_000):
        keeper = filled_keeper(26, 8, adapters)
        wants.append(
            (
                adapters,
                timed(
                    keeper.handle_load_request, 1, W7, NOW + seconds(60), NOW, times=500
                ),
            )
        )
    tell("one placement decision by adapters in demand, us", "us", "adapter", wants)


def leases() -> None:
    """Measure the bytes of renewing leases by how many a host holds."""
    points: list[Point] = []
    for held in (10, 50, 200):
        table = LeaseTable()
        for n in range(held):
            use = AdapterUse(
                AdapterRef(f"style-{n:05}", "1"), TargetId("engine-tukwila-1")
            )
            table.record_grant(use, NOW, table.next_sequence())
        keepership = KeepershipId(PoolName("kiosk-lm"), DataCentre("tukwila"))
        uses = tuple(table.held_leases())
        message = Renew(keepership, HolderId("tukwila-0#1"), "127.0.0.1:1", uses, 1)
        points.append(
            (held, len(encode_frame(encode_message(FrameKind.REQUEST, 1, message))))
        )
    tell("one renewal by leases held, bytes", "bytes", "lease", points)


def membership() -> None:
    """Measure membership by the hosts of a data centre, and for 360 in one group."""
    found = {size: gossip(size) for size in (4, 8, 36, 360)}
    for index, (name, unit) in enumerate(
        (
            ("membership sent by a host, bytes/s", "bytes/s"),
            ("death known to all, s", "s"),
            ("newcomer known to all, s", "s"),
        )
    ):
        points = [(float(s), f[index]) for s, f in found.items()]
        tell(name, unit, "host", points)


PARTS: dict[str, Callable[[], None]] = {
    "bundles": bundles,
    "claims": claims,
    "keepers": keepers,
    "leases": leases,
    "membership": membership,
    "hosts": idle_hosts,
    "adapters": adapters_memory,
}


def main() -> None:
    """Measure the parts that the command line names, all by default."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", metavar="PART", help=", ".join(PARTS))
    arguments = parser.parse_args()
    print("measure | points | slope")
    for name in arguments.parts or PARTS:
        PARTS[name]()


if __name__ == "__main__":
    main()
