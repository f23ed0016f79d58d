"""The data path's benchmark: the daemon against a bare relay, in one run.

Both stand before the same targets, each a single process. They are measured in turn on
the same machine, so that ratios hold when its speed drifts. Processor time comes from
the system's own accounting of the measured process.
"""

import argparse
import asyncio
import json
import os
import shutil
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from dataclasses import dataclass
from pathlib import Path

from .cluster import Cluster, address
from .plan import SERVICE_PREFIX, Plan
from .trial_files import adapter_name

PLAN = Plan(
    data_centres=("home",),
    hosts=3,
    engines=1,
    services=3,
    adapters=3,
    step_s=0.002,
    service_delay_s=0.0,
    loads_per_s=50.0,
    limits={"max_in_flight": 4096},
)
CLIENTS = 3
START_TIMEOUT_S = 20.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


@dataclass(frozen=True, slots=True)
class Shape:
    """One kind of request to measure."""

    name: str
    method: str
    path: str
    body: str
    workers: int


@dataclass(frozen=True, slots=True)
class Figures:
    """What was measured of one path; times in milliseconds, rates a second."""

    median_ms: float
    p99_ms: float
    requests_per_s: float
    tokens_per_s: float
    cpu_ms_per_request: float
    failures: int


def shapes(tokens: int) -> list[Shape]:
    """Return what is measured: one at a time for latency, many for rates."""
    model = {
        "model": f"{adapter_name(0)}@1",
        "prompt": "p",
        "max_tokens": tokens,
        "stream": True,
    }
    body = json.dumps(model)
    path = "/v1/completions"
    asset = f"{SERVICE_PREFIX}/asset"
    return [
        Shape("service, one at a time", "GET", asset, "", 1),
        Shape("service, many", "GET", asset, "", 16),
        Shape("stream, one at a time", "POST", path, body, 1),
        Shape("stream, many", "POST", path, body, 64),
    ]


def cpu_s(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def measure(url: str, pid: int, shape: Shape, seconds: float, keyed: bool) -> Figures:
    """Run the clients against one path."""
    clients = 1 if shape.workers == 1 else CLIENTS
    line = [sys.executable, "-m", "sardinequay_lab.bench_client"]
    line += ["--url", url + shape.path, "--method", shape.method]
    line += ["--workers", str(max(1, shape.workers // clients))]
    line += ["--seconds", str(seconds), "--body", shape.body]
    if keyed:
        line.append("--keyed")
    before = cpu_s(pid)
    running = [
        subprocess.Popen(line, stdout=subprocess.PIPE, text=True)
        for _ in range(clients)
    ]
    measured = [json.loads(client.communicate()[0]) for client in running]
    used = cpu_s(pid) - before
    latencies = sorted(x for m in measured for x in m["latencies_s"])
    requests = sum(m["requests"] for m in measured)
    took = max(m["took_s"] for m in measured)
    return Figures(
        median_ms=statistics.median(latencies) * 1e3,
        p99_ms=latencies[int(len(latencies) * 0.99)] * 1e3,
        requests_per_s=requests / took,
        tokens_per_s=sum(m["tokens"] for m in measured) / took,
        cpu_ms_per_request=used / requests * 1e3,
        failures=sum(m["failures"] for m in measured),
    )


def wait_for(listen: str) -> None:
    """Wait until a process listens."""
    ip, _, port = listen.rpartition(":")
    end = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < end:
        try:
            socket.create_connection((ip, int(port)), timeout=1).close()
            return
        except OSError:
            time.sleep(0.05)
    raise TimeoutError(f"nobody listens at {listen}")


class PathBench:
    """A system of one data centre with a bare relay beside the measured host."""

    def __init__(self, directory: Path) -> None:
        self.cluster = Cluster(directory, PLAN)
        self.relays: dict[str, str] = {}

    def start(self) -> None:
        """Start everything, and have every engine hold the adapter."""
        self.cluster.start()
        asyncio.run(self.cluster.ready())
        self.load_adapter()
        for kind in ("engine", "service"):
            listen = address("127.0.0.1")
            targets = [
                t.listen for t in self.cluster.targets.values() if t.kind == kind
            ]
            words = ("--listen", listen, *targets)
            self.cluster.spawn(f"relay-{kind}", "sardinequay_lab.bare_relay", *words)
            self.relays[kind] = listen
            wait_for(listen)

    def load_adapter(self) -> None:
        """Have the engine load the adapter that is measured."""
        shape = shapes(1)[-1]
        first = next(iter(self.cluster.hosts.values()))
        line = [sys.executable, "-m", "sardinequay_lab.bench_client"]
        line += ["--url", f"http://{first.callers}{shape.path}", "--method", "POST"]
        line += ["--seconds", "0.1", "--body", shape.body]
        subprocess.run(line, check=True, stdout=subprocess.DEVNULL)

    def paths(self, shape: Shape) -> dict[str, tuple[str, int]]:
        """Return the paths to compare, each with the process to account for."""
        kind = "service" if shape.path.startswith(SERVICE_PREFIX) else "engine"
        first = next(iter(self.cluster.hosts.values()))
        target = next(t for t in self.cluster.targets.values() if t.kind == kind)
        processes = self.cluster.processes
        return {
            "direct": (f"http://{target.listen}", processes[target.target_id].pid),
            "relay": (
                f"http://{self.relays[kind]}",
                processes[f"relay-{kind}"].pid,
            ),
            "daemon": (f"http://{first.callers}", processes[first.host_id].pid),
        }


def run(rounds: int, seconds: float, tokens: int) -> list[str]:
    """Measure all shapes and return the lines of the table."""
    directory = Path(tempfile.mkdtemp(prefix="sardinequay-bench-"))
    bench = PathBench(directory)
    lines = [
        "shape | path | median ms | p99 ms | requests/s | tokens/s | "
        "cpu ms/request | failures"
    ]
    try:
        bench.start()
        for shape in shapes(tokens):
            lines += compare(bench, shape, rounds, seconds)
        lines += claim_cost(bench, rounds, seconds)
    finally:
        bench.cluster.stop()
        shutil.rmtree(directory, ignore_errors=True)
    return lines


def compare(bench: PathBench, shape: Shape, rounds: int, seconds: float) -> list[str]:
    """Measure one shape over all paths in turn, and the ratios round by round."""
    figures: dict[str, list[Figures]] = {}
    for _ in range(rounds):
        for name, (url, pid) in bench.paths(shape).items():
            found = measure(url, pid, shape, seconds, keyed=False)
            figures.setdefault(name, []).append(found)
    lines = [row(shape.name, name, found) for name, found in figures.items()]
    trios = list(
        zip(figures["direct"], figures["relay"], figures["daemon"], strict=True)
    )
    added = [added_ratio(*trio) for trio in trios]
    rate = [d.requests_per_s / r.requests_per_s for _, r, d in trios]
    cpu = [d.cpu_ms_per_request / r.cpu_ms_per_request for _, r, d in trios]
    lines.append(
        f"{shape.name} | daemon/relay | added median {spread(added)} | | "
        f"rate {spread(rate)} | | cpu {spread(cpu)} |"
    )
    return lines


def added_ratio(direct: Figures, relay: Figures, daemon: Figures) -> float:
    """Return the daemon's added median latency over the relay's."""
    by_relay = max(relay.median_ms - direct.median_ms, 1e-3)
    return (daemon.median_ms - direct.median_ms) / by_relay


def claim_cost(bench: PathBench, rounds: int, seconds: float) -> list[str]:
    """Measure a claimed request against one that claims nothing."""
    shape = Shape("order", "POST", f"{SERVICE_PREFIX}/prints", "x", 1)
    url, pid = bench.paths(shape)["daemon"]
    plain = [measure(url, pid, shape, seconds, keyed=False) for _ in range(rounds)]
    keyed = [measure(url, pid, shape, seconds, keyed=True) for _ in range(rounds)]
    added = [k.median_ms - p.median_ms for k, p in zip(keyed, plain, strict=True)]
    return [
        row("order without a key", "daemon", plain),
        row("order with a key", "daemon", keyed),
        f"order with a key | added | median {spread(added)} ms | | | | |",
    ]


def row(shape: str, path: str, figures: list[Figures]) -> str:
    """Return the medians over all rounds as a line."""

    def middle(name: str) -> float:
        return float(statistics.median(getattr(f, name) for f in figures))

    return (
        f"{shape} | {path} | {middle('median_ms'):.2f} | {middle('p99_ms'):.2f} | "
        f"{middle('requests_per_s'):.0f} | {middle('tokens_per_s'):.0f} | "
        f"{middle('cpu_ms_per_request'):.3f} | {sum(f.failures for f in figures)}"
    )


def spread(values: list[float]) -> str:
    """Return a median with the least and the greatest value."""
    middle = statistics.median(values)
    return f"{middle:.2f} ({min(values):.2f} to {max(values):.2f})"


def main() -> None:
    """Run the benchmark and print its table."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=3.0)
    parser.add_argument("--tokens", type=int, default=50)
    arguments = parser.parse_args()
    for line in run(arguments.rounds, arguments.seconds, arguments.tokens):
        print(line, flush=True)


if __name__ == "__main__":
    main()
