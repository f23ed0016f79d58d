"""A whole system on loopback: every part a process of its own, for tests and trials."""

import asyncio
import json
import os
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import aiohttp

from .plan import ENGINE_POOL, SERVICE_POOL, Plan
from .ports import free_port
from .trial_files import THRESHOLD, Operator, contents

FIRST_NETWORK = 10
FIRST_SPARE = 100
SERVICE_MARGIN = timedelta(seconds=30)
"""How long after writing the settings the founding guards may still start."""
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.05
PLATFORM_IP = "127.0.0.1"


@dataclass(frozen=True, slots=True)
class HostPlace:
    """Where one entry host listens."""

    host_id: str
    data_centre: str
    ip: str
    callers: str
    peers: str
    operators: str
    advertised: str


@dataclass(frozen=True, slots=True)
class TargetPlace:
    """Where one target listens."""

    target_id: str
    pool: str
    kind: str
    data_centre: str
    listen: str
    advertised: str


def address(ip: str) -> str:
    """Return a free address on an IP number."""
    return f"{ip}:{free_port(ip)}"


@dataclass
class Cluster:
    """The processes of one trial and its files, below one directory."""

    directory: Path
    plan: Plan
    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    hosts: dict[str, HostPlace] = field(default_factory=dict)
    targets: dict[str, TargetPlace] = field(default_factory=dict)
    leaving: set[str] = field(default_factory=set)
    unlisted: set[str] = field(default_factory=set)
    roster_number: int = 0
    version: int = 0
    replacements: int = 0

    def __post_init__(self) -> None:
        self.operator = Operator(self.directory)
        self.history = self.directory / "history"
        self.cuts_file = self.directory / "cuts.json"
        for name in ("history", "published", "logs", "settings"):
            (self.directory / name).mkdir(parents=True, exist_ok=True)
        self.configuration = address(PLATFORM_IP)
        self.host_list = address(PLATFORM_IP)
        self.weight_store = address(PLATFORM_IP)
        self.balancer = address(PLATFORM_IP)
        for number, name in enumerate(self.plan.data_centres):
            self.place(number, name)

    # Files.

    def network(self, data_centre: str) -> str:
        """Return the network of a data centre's IP numbers."""
        number = self.plan.data_centres.index(data_centre)
        return f"127.0.{FIRST_NETWORK + number}.0/24"

    def place(self, number: int, data_centre: str) -> None:
        """Choose addresses for the hosts and targets of a data centre."""
        network = f"127.0.{FIRST_NETWORK + number}"
        for n in range(self.plan.hosts):
            self.place_host(f"{data_centre}-{n}", data_centre, f"{network}.{n + 1}")
        ip = f"{network}.200"
        for n in range(self.plan.engines):
            name = f"engine-{data_centre}-{n}"
            self.place_target(name, ENGINE_POOL, "engine", data_centre, ip)
        for n in range(self.plan.services):
            name = f"service-{data_centre}-{n}"
            self.place_target(name, SERVICE_POOL, "service", data_centre, ip)

    def place_host(self, name: str, data_centre: str, ip: str) -> None:
        """Choose the addresses of one host."""
        peers = address(ip)
        advertised = address(ip) if self.plan.relayed else peers
        self.hosts[name] = HostPlace(
            name, data_centre, ip, address(ip), peers, address(ip), advertised
        )

    def place_target(
        self, name: str, pool: str, kind: str, data_centre: str, ip: str
    ) -> None:
        """Choose the addresses of one target."""
        listen = address(ip)
        advertised = address(ip) if self.plan.relayed else listen
        self.targets[name] = TargetPlace(
            name, pool, kind, data_centre, listen, advertised
        )

    def write_settings(self, public_keys: dict[str, str]) -> None:
        """Write every host's settings."""
        self.public_keys = public_keys
        self.in_service_from = datetime.now(UTC) + SERVICE_MARGIN
        self.founders: dict[str, list[dict[str, str]]] = {}
        for host in self.hosts.values():
            entry = {"host_id": host.host_id, "address": host.advertised}
            self.founders.setdefault(host.data_centre, []).append(entry)
        for host in self.hosts.values():
            self.write_host_settings(host)

    def write_host_settings(self, host: HostPlace) -> None:
        """Write one host's settings."""
        traces = {"file": str(self.directory / f"{host.host_id}.spans")}
        settings = {
            "host_id": host.host_id,
            "data_centre": host.data_centre,
            "data_centres": list(self.plan.data_centres),
            "caller_listener": host.callers,
            "peer_listener": host.peers,
            "advertised_peer_address": host.advertised,
            "operator_listener": host.operators,
            "configuration_service": f"http://{self.configuration}",
            "host_list": f"http://{self.host_list}",
            "trust": {"keys": self.public_keys, "threshold": THRESHOLD},
            "claims": {
                "in_service_from": self.in_service_from.isoformat(),
                "founders": self.founders,
                **self.plan.claims,
            },
            "timing": self.plan.timing,
            "limits": self.plan.limits,
            "traces": traces if self.plan.traced else {},
        }
        self.settings_of(host.host_id).write_text(json.dumps(settings, indent=2))

    def settings_of(self, host_id: str) -> Path:
        """Return a host's settings file."""
        return self.directory / "settings" / f"{host_id}.json"

    def publish_roster(self) -> None:
        """Publish the list of hosts as it is now."""
        self.roster_number += 1
        roster = {
            "number": self.roster_number,
            "entry_hosts": [
                {
                    "host_id": h.host_id,
                    "data_centre": h.data_centre,
                    "peer_address": as_address(h.advertised),
                    "caller_address": as_address(h.callers),
                    "presence": self.presence(h.host_id),
                }
                for h in self.hosts.values()
                if h.host_id not in self.unlisted
            ],
            "targets": [
                {
                    "target_id": t.target_id,
                    "pool": t.pool,
                    "kind": t.kind,
                    "data_centre": t.data_centre,
                    "address": as_address(t.advertised),
                    "presence": self.presence(t.target_id),
                    "checks_fencing": not self.plan.ignores_fencing,
                }
                for t in self.targets.values()
                if t.target_id not in self.unlisted
            ],
        }
        part = self.directory / "roster.part"
        part.write_text(json.dumps(roster))
        part.replace(self.directory / "roster.json")

    def presence(self, name: str) -> str:
        """Return what the list says of a host or a target."""
        return "leaving" if name in self.leaving else "live"

    def cut(self, *cuts: tuple[str, str, str]) -> None:
        """Cut links from networks to networks; with no arguments heal all."""
        part = self.directory / "cuts.part"
        part.write_text(json.dumps(cuts))
        part.replace(self.cuts_file)

    def part_data_centre(self, data_centre: str, mode: str) -> None:
        """Cut a data centre off from all others, both ways."""
        mine = self.network(data_centre)
        others = [n for n in self.plan.data_centres if n != data_centre]
        cuts = [(mine, self.network(other), mode) for other in others]
        cuts += [(self.network(other), mine, mode) for other in others]
        self.cut(*cuts)

    def roll(self, versions: tuple[str, ...] = ("1",)) -> int:
        """Roll the next version of the bundle; return its number."""
        self.version += 1
        root = self.operator.build(contents(self.plan, versions), self.version)
        self.operator.roll(root, self.settings_of(next(iter(self.hosts))))
        return self.version

    # Processes.

    def spawn(self, name: str, module: str, *words: str) -> None:
        """Start a process whose output goes to the trial's logs."""
        log = (self.directory / "logs" / f"{name}.log").open("ab")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", module, *words], stdout=log, stderr=log
        )
        log.close()

    def standin(self, name: str, module: str, listen: str, *words: str) -> None:
        """Start a stand-in."""
        history = str(self.history / f"{name}.history")
        common = ("--listen", listen, "--name", name, "--history", history)
        self.spawn(name, f"sardinequay_lab.standins.{module}", *common, *words)

    def start_platform(self) -> None:
        """Start the platform's services."""
        self.start_configuration()
        file = str(self.directory / "roster.json")
        self.standin("host-list", "published", self.host_list, "--file", file)
        self.start_weight_store()
        pairs = [f"{h.callers}/{h.operators}" for h in self.hosts.values()]
        self.standin("balancer", "balancer", self.balancer, *pairs)
        if self.plan.relayed:
            self.start_relay()

    def start_configuration(self) -> None:
        """Start the configuration service."""
        directory = str(self.directory / "published")
        words = ("--directory", directory)
        self.standin("configuration", "published", self.configuration, *words)

    def start_weight_store(self) -> None:
        """Start the weight store."""
        words = ("--loads-per-s", str(self.plan.loads_per_s))
        self.standin("weight-store", "weight_store", self.weight_store, *words)

    def start_relay(self) -> None:
        """Start the relay before all hosts and targets."""
        self.cut()
        pairs = [f"{h.advertised}/{h.peers}" for h in self.hosts.values()]
        pairs += [f"{t.advertised}/{t.listen}" for t in self.targets.values()]
        cuts = str(self.cuts_file)
        self.spawn("relay", "sardinequay_lab.cut_relay", "--cuts", cuts, *pairs)

    def start_target(self, name: str) -> None:
        """Start one engine or service."""
        place = self.targets[name]
        if place.kind == "service":
            delay = str(self.plan.service_delay_s)
            self.standin(name, "service", place.listen, "--delay-s", delay)
            return
        words = ["--slots", str(self.plan.slots), "--step-s", str(self.plan.step_s)]
        words += ["--weight-store", f"http://{self.weight_store}"]
        if self.plan.ignores_fencing:
            words.append("--ignores-fencing")
        self.standin(name, "engine", place.listen, *words)

    def start_host(self, name: str) -> None:
        """Start one entry host."""
        settings = str(self.settings_of(name))
        self.spawn(name, "sardinequay_daemon.main", settings)

    def start(self) -> None:
        """Start everything, with the first bundle published."""
        self.write_settings(self.operator.make_keys())
        self.publish_roster()
        self.roll()
        self.start_platform()
        for name in self.targets:
            self.start_target(name)
        for name in self.hosts:
            self.start_host(name)

    def replace_host(self, name: str) -> None:
        """Kill a host and start another in its place, under a new name and address."""
        old = self.hosts.pop(name)
        self.kill(name)
        self.replacements += 1
        number = self.plan.data_centres.index(old.data_centre)
        ip = f"127.0.{FIRST_NETWORK + number}.{FIRST_SPARE + self.replacements}"
        new = f"{old.data_centre}-new-{self.replacements}"
        self.place_host(new, old.data_centre, ip)
        if self.plan.relayed:
            raise ValueError("the relay does not know of replaced hosts")
        self.write_host_settings(self.hosts[new])
        self.publish_roster()
        self.start_host(new)

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kill one process and wait until it is gone."""
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def terminate(self, name: str) -> int:
        """Stop one process gracefully; return its exit code."""
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(self.plan.limits.get("shutdown_s", 60) + STOP_TIMEOUT_S)

    def stop(self) -> None:
        """End every process that is left."""
        for process in self.processes.values():
            with_continue(process)
            process.terminate()
        end = time.monotonic() + STOP_TIMEOUT_S
        for process in self.processes.values():
            try:
                process.wait(max(0.0, end - time.monotonic()))
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()

    # Asking.

    async def ready(self, *names: str) -> None:
        """Wait until hosts are ready, all by default."""
        wanted = names or tuple(self.hosts)
        async with asyncio.timeout(START_TIMEOUT_S), aiohttp.ClientSession() as session:
            for name in wanted:
                while not await self.is_ready(session, name):
                    await asyncio.sleep(POLL_S)

    async def is_ready(self, session: aiohttp.ClientSession, name: str) -> bool:
        """Ask one host whether it is ready."""
        url = f"http://{self.hosts[name].operators}/readyz"
        try:
            async with session.get(url) as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def status(self, name: str) -> dict[str, Any]:
        """Return a host's status."""
        url = f"http://{self.hosts[name].operators}/v1/status"
        async with aiohttp.ClientSession() as session, session.get(url) as answer:
            body: dict[str, Any] = await answer.json()
            return body

    async def in_force(self, version: int, *names: str) -> float:
        """Wait until hosts have a version in force; return how long it took."""
        began = time.monotonic()
        async with asyncio.timeout(START_TIMEOUT_S):
            for name in names or tuple(self.hosts):
                while (await self.status(name))["bundle_version"] < version:
                    await asyncio.sleep(POLL_S / 5)
        return time.monotonic() - began


def with_continue(process: subprocess.Popen[bytes]) -> None:
    """Wake a process that a trial may have frozen, so that it can end."""
    if process.poll() is None:
        os.kill(process.pid, signal.SIGCONT)


def as_address(text: str) -> dict[str, Any]:
    """Return an address as the list writes it."""
    ip, _, port = text.rpartition(":")
    return {"ip": ip, "port": int(port)}
