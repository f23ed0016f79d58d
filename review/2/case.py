"""An entry of another writer that cannot be read ends all hosts, again and again."""

import asyncio
import contextlib
import json
import logging
import os
import signal
import sys
import tempfile
import time
import traceback
from collections import Counter
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

from sardinequay_lab.ports import free_port
from sardinequay_platform_lab.networks import free_network, release
from sardinequay_platform_lab.store_standin import Store, config
from sardinequay_platform_lab.target_standin import Engine

FOLDER = Path(__file__).resolve().parent
ROOT = FOLDER.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2

ZONE = "za"
HOSTS = (1, 2, 3)
WORKERS = 12
"""Clients of each host, each with a connection that it keeps."""

WORK_S = 0.75
"""Time to the first event of a stream; the sheet's objective is 0.8 s."""

ENGINES = 2

SETTLE_S = 5.0
"""Time that the hosts serve before the entry is written."""

WATCH_S = 10.0
"""Time for which the entry stays."""

RECOVER_S = 5.0
"""Time for which the hosts are watched after it is removed."""

RESTART_AFTER_S = 0.5
"""Time after which the platform starts a process again that has ended."""

NESTED_LISTS = 1200
"""Depth of the lists in the entry: 2.4 kB of the 1 MB that a value may have."""

MAX_LOST = 3
"""Requests that a machine may leave without an answer by the rule LOST."""

MIN_MACHINES, MAX_ENDS = 2, 3
"""By the gate's faults, no two machines may have processes that end so often."""

HEARTBEAT_S = 1.2
READY_WITHIN_S = 15.0

SETTINGS = """
nodeName = "{name}"
role = "entry"
machineClass = "front"
serves = ["front", "control"]
ip = "{ip}"
zone = "{zone}"
region = "ra"
internalPorts = [7380, 7395]
seeds = [{seeds}]
bootstrap = {bootstrap}
countsAsLoss = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "fleet", "stream",
    "engine", "platform"]
[zones]
za = "ra"
[listen]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
stableMs = 3000
ackMs = 4000
catchUpS = 4
drainMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
stretchMaxMs = 5000
budgetRatio = 0.2
budgetWindowS = 10
budgetSlack = 56
recoverS = 12
passMs = 120
againS = 0
fencingRequired = false
leaseMs = 3000
freezeSlackMs = 300
ceilingWindowS = 5
ceilingOver = 1.1
version_ms = 5000
[platform]
address = "{store}"
form = "read"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


@dataclass
class Host:
    """One host: its addresses and its process."""

    number: int
    ip: str
    control: int
    folder: Path
    process: asyncio.subprocess.Process | None = None
    front: int = field(init=False)
    ready: int = field(init=False)

    def __post_init__(self) -> None:
        """Choose the ports."""
        self.front, self.ready = free_port(self.ip), free_port(self.ip)

    @property
    def name(self) -> str:
        """Return the host's name."""
        return f"front-{ZONE}-{self.number}"

    async def start(self, store: str, seeds: list[str], is_first_start: bool) -> None:
        """Start the program by the command of deploy/system.toml."""
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                ip=self.ip,
                zone=ZONE,
                seeds=", ".join(f'"{seed}"' for seed in seeds),
                bootstrap=str(is_first_start).lower(),
                front=self.front,
                ready=self.ready,
                control=self.control,
                store=store,
            )
        )
        environment = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": "target/deps",
            "SARDINEQUAY_NODE_FILE": str(path),
        }
        with (self.folder / f"{self.name}.log").open("wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/front.py",
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    async def wait_ready(self, session: aiohttp.ClientSession) -> None:
        """Wait until the host says that it is ready."""
        url = f"http://{self.ip}:{self.ready}/ready"
        async with asyncio.timeout(READY_WITHIN_S):
            while True:
                with contextlib.suppress(aiohttp.ClientError):
                    async with session.get(url) as answer:
                        if answer.status == 200:
                            return
                await asyncio.sleep(0.1)

    async def stop(self) -> None:
        """End the process."""
        if self.process is None or self.process.returncode is not None:
            return
        self.process.send_signal(signal.SIGKILL)
        await self.process.wait()


@dataclass
class Lost:
    """A request on a kept connection that was closed without an answer."""

    request_id: str
    host: str


class Case:
    """The deployment, its clients, and the record of what was seen."""

    def __init__(self, folder: Path, has_trouble: bool) -> None:
        self.folder = folder
        self.has_trouble = has_trouble
        self.network = free_network()
        self.began = time.monotonic()
        self.lines: list[str] = []
        self.engines: list[Engine] = []
        self.hosts: list[Host] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.requests = 0
        self.statuses: Counter[str] = Counter()
        self.lost: list[Lost] = []
        self.ends: Counter[str] = Counter()

    def ip(self, group: int, number: int) -> str:
        """Return an address: group 1 are stand-ins, 3 hosts."""
        return f"127.{self.network}.{group}.{number}"

    def note(self, text: str) -> None:
        """Add a line to the record."""
        self.lines.append(f"{time.monotonic() - self.began:8.3f} s  {text}")

    async def run(self) -> int:
        """Run the case; return the exit code."""
        self.store = await Store(ip=self.ip(1, 1), page=50).start()
        for number in range(ENGINES):
            engine = Engine(
                ip=self.ip(1, 10 + number),
                instance=f"i-{number}",
                models={"m": []},
                zone=ZONE,
                pool="models",
                work_s=WORK_S,
                slots_at_once=64,
                queue_length=192,
            )
            self.engines.append(await engine.start())
        self.store.put("op/config", config())
        self.publish_engines()
        self.tasks.append(asyncio.create_task(self.beat()))
        control = free_port(self.ip(3, 1))
        self.seeds = [f"{self.ip(3, number)}:{control}" for number in HOSTS]
        async with aiohttp.ClientSession() as session:
            for number in HOSTS:
                host = Host(number, self.ip(3, number), control, self.folder)
                self.hosts.append(host)
                await host.start(self.store.address, self.seeds, is_first_start=True)
            for host in self.hosts:
                await host.wait_ready(session)
                self.note(f"{host.name} is ready")
        for host in self.hosts:
            self.tasks.append(asyncio.create_task(self.supervise(host)))
            workers = [self.work(host) for _ in range(WORKERS)]
            self.tasks += [asyncio.create_task(worker) for worker in workers]
        await asyncio.sleep(SETTLE_S)
        self.note("another writer writes servers/other-1")
        self.store.put_bytes("servers/other-1", self.other_entry())
        await asyncio.sleep(WATCH_S)
        self.note("the entry is removed")
        self.store.remove("servers/other-1")
        await asyncio.sleep(RECOVER_S)
        return self.judge()

    def other_entry(self) -> bytes:
        """Return an entry that names no engine: its state is not one of the pages'.

        Its field `seq` has another type: a text without the disruption, and lists in
        lists with it.
        """
        entry = self.engines[0].entry("models") | {"state": "unknown"}
        del entry["seq"]
        nested = "[" * NESTED_LISTS + "]" * NESTED_LISTS
        value = nested if self.has_trouble else '"none"'
        return f'{json.dumps(entry)[:-1]}, "seq": {value}}}'.encode()

    def publish_engines(self) -> None:
        """Write the entries of the engines to the store."""
        for engine in self.engines:
            self.store.put(f"servers/{engine.instance}", engine.entry(engine.pool))

    async def beat(self) -> None:
        """Renew the entries of the engines."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.publish_engines()

    async def supervise(self, host: Host) -> None:
        """Start a host's process again after it has ended, as the platform does."""
        while True:
            assert host.process is not None
            code = await host.process.wait()
            self.ends[host.name] += 1
            self.note(f"the process of {host.name} has ended by itself with {code}")
            await asyncio.sleep(RESTART_AFTER_S)
            await host.start(self.store.address, self.seeds, is_first_start=False)

    async def work(self, host: Host) -> None:
        """Send one request after another on a connection that is kept."""
        async with aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(limit=1), timeout=aiohttp.ClientTimeout(3)
        ) as session:
            is_kept = False
            while True:
                is_kept = await self.ask(session, host, is_kept)

    async def ask(
        self, session: aiohttp.ClientSession, host: Host, is_kept: bool
    ) -> bool:
        """Send one request; return whether the connection is kept after it."""
        self.requests += 1
        request_id = f"r{self.requests}"
        headers = {
            "Host": "h.example",
            "Sardinequay-Request-Id": request_id,
            "Sardinequay-Deadline-Ms": "1500",
            "Sardinequay-Model": "m",
            "Sardinequay-Token-Counts": "100,10",
        }
        url = f"http://{host.ip}:{host.front}/chat/x"
        try:
            async with session.post(url, data=b"x", headers=headers) as answer:
                await answer.read()
                self.statuses[str(answer.status)] += 1
                return answer.status == 200
        except (aiohttp.ServerDisconnectedError, aiohttp.ClientOSError) as error:
            if is_kept:
                self.lost.append(Lost(request_id, host.name))
                self.note(f"{request_id} on a kept connection: {error!r}")
            self.statuses[type(error).__name__] += 1
        except (aiohttp.ClientError, TimeoutError) as error:
            # Of these answers the beginning has come.
            self.statuses[type(error).__name__] += 1
        await asyncio.sleep(0.1)
        return False

    def judge(self) -> int:
        """Check by LOST and Fault what requests and processes came to."""
        ran = {run["id"] for engine in self.engines for run in engine.ran}
        counts = Counter(lost.host for lost in self.lost if lost.request_id in ran)
        for host in self.hosts:
            self.lines.append(
                f"{host.name}: {counts[host.name]} requests from kept connections ran "
                f"at engines and their connection was closed without an answer; "
                f"the process ended by itself {self.ends[host.name]} times"
            )
        self.lines.append(f"{self.requests} requests: {dict(self.statuses)}")
        if not self.statuses["200"]:
            return NOT_RUN
        has_lost = max(counts.values(), default=0) > MAX_LOST
        ended_often = sum(ends >= MAX_ENDS for ends in self.ends.values())
        self.lines.append(f"LOST is broken: {has_lost}")
        self.lines.append(f"Fault is shown: {ended_often >= MIN_MACHINES}")
        return BROKEN if has_lost or ended_often >= MIN_MACHINES else HELD

    async def stop(self) -> None:
        """End all that was started."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for host in self.hosts:
            await host.stop()
        for standin in (*self.engines, self.store):
            await standin.close()
        release(self.network)


async def main() -> int:
    """Run the case, write the record, and return the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    # Hosts that are ended leave the stand-ins' answers behind.
    logging.getLogger("aiohttp.server").setLevel(logging.CRITICAL)
    with tempfile.TemporaryDirectory() as folder:
        case = Case(Path(folder), has_trouble)
        try:
            return await case.run()
        except Exception:
            case.lines.append(traceback.format_exc())
            return NOT_RUN
        finally:
            await case.stop()
            (FOLDER / "record.txt").write_text("\n".join(case.lines) + "\n")


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
