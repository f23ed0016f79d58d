"""Verbs that query running hosts, and check settings; all but `lift` are read-only."""

import asyncio
from argparse import Namespace
from dataclasses import asdict, dataclass
from importlib.metadata import entry_points
from pathlib import Path
from typing import Any

import aiohttp
from returns.result import Success

from sardinequay_core.documents import decode_json_value
from sardinequay_core.errors import DocumentError
from sardinequay_daemon.bounded_answer import read_bounded
from sardinequay_daemon.single_send import client_session
from sardinequay_daemon.strict_connector import BoundedConnector

from .errors import (
    EXIT_FINDINGS,
    EXIT_UNREACHABLE,
    EXIT_USAGE,
    CommandError,
)
from .files import read_host_settings
from .output import Output

REQUEST_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 33_554_432
"""Longest answer of a host: its status lists all peers and targets."""

SETTINGS_READER_GROUP = "sardinequay.settings"
"""Group of entry points that read settings files, named by the file extension."""


@dataclass(frozen=True, slots=True)
class HostAnswer:
    """The answer of one host; without a body if the host could not be reached."""

    address: str
    body: Any = None
    error: str = ""


async def request_host(
    session: aiohttp.ClientSession, address: str, path: str, method: str
) -> HostAnswer:
    """Send a request to the operator listener of one host."""
    try:
        async with session.request(method, f"http://{address}{path}") as answer:
            body = await read_bounded(answer, MAX_ANSWER_BYTES)
            return HostAnswer(address, decode_json_value(body))
    except (aiohttp.ClientError, TimeoutError, OSError, DocumentError) as error:
        return HostAnswer(address, error=type(error).__name__)


async def request_all_hosts(
    addresses: list[str], path: str, method: str = "GET"
) -> list[HostAnswer]:
    """Send a request to all hosts concurrently."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with client_session(BoundedConnector(None), timeout=timeout) as session:
        requests = [
            request_host(session, address, path, method) for address in addresses
        ]
        return list(await asyncio.gather(*requests))


def settings_check_verb(arguments: Namespace) -> Output:
    """Check a host's settings, in JSON or in the format of an installed deployment."""
    host_id = check_settings_file(arguments.settings)
    line = f"settings of {host_id} are good"
    return Output((line,), {"host": host_id, "good": True})


def check_settings_file(path: Path) -> str:
    """Check a settings file and return the id of its host.

    Deployments with another settings format register a reader for the file extension
    as an entry point; the command itself contains none of them.
    """
    extension = path.suffix.removeprefix(".")
    for reader in entry_points(group=SETTINGS_READER_GROUP):
        if reader.name != extension:
            continue
        result = reader.load()(path)
        if isinstance(result, Success):
            return str(result.unwrap().host_id)
        raise CommandError(str(result.failure()), EXIT_USAGE)
    return str(read_host_settings(path).host_id)


def status_verb(arguments: Namespace) -> Output:
    """Show the version in force and the state of each host."""
    answers = asyncio.run(request_all_hosts(arguments.hosts, "/v1/status"))
    lines = tuple(status_line(answer) for answer in answers)
    versions = {version_in_force(a.body) for a in answers if a.body}
    document = {
        "hosts": [
            a.body or {"address": a.address, "unreachable": a.error} for a in answers
        ],
        "agreed": len(versions) == 1 and all(a.body for a in answers),
    }
    return Output(lines, document, reachability_exit_code(answers))


def version_in_force(body: dict[str, Any]) -> int:
    """Return the version of the bundle or configuration that a host has in force."""
    version: int = body.get("bundle_version", body.get("config_version", 0))
    return version


def reachability_exit_code(answers: list[HostAnswer]) -> int:
    """Return the exit code that states whether every host answered."""
    return EXIT_UNREACHABLE if any(a.body is None for a in answers) else 0


def status_line(answer: HostAnswer) -> str:
    """Format the status of one host as a line."""
    if answer.body is None:
        return f"{answer.address}  unreachable: {answer.error}"
    body = answer.body
    state = "ready" if body["ready"] else "not ready"
    if "config_version" in body:
        return (
            f"{body['host']}  {body['data_centre']}  {state}  "
            f"configuration {body['config_version']}  "
            f"store {body['store_age_s']:.1f} s old  in flight {body['in_flight']}  "
            f"peers {len(body['peers'])}  targets {len(body['targets'])}  "
            f"orders engines {'yes' if body['orders_engines'] else 'no'}"
        )
    refused = len(body["bundles_refused"])
    return (
        f"{body['host']}  {body['data_centre']}  {state}  "
        f"bundle {body['bundle_version']}  since {body['bundle_since']}  "
        f"roster {body['roster_number']}  in flight {body['in_flight']}  "
        f"refused bundles {refused}"
    )


def versions_verb(arguments: Namespace) -> Output:
    """Show the versions of adapters that operators declared, and who has them."""
    answers = asyncio.run(request_all_hosts(arguments.hosts, "/v1/status"))
    bodies = [a.body for a in answers if a.body is not None]
    views = [b for b in bodies if "adapter_versions" in b]
    lines = [status_line(a) for a in answers if a.body is None]
    lines += [
        f"{b['host']}  takes adapter versions from bundles: see `fleet status`"
        for b in bodies
        if "adapter_versions" not in b
    ]
    versions = fleet_versions(views)
    lines += [version_line(version, len(views)) for version in versions]
    if views and not versions:
        lines.append("no adapter version is being rolled out")
    document = {"adapter_versions": [asdict(v) for v in versions]}
    return Output(tuple(lines), document, reachability_exit_code(answers))


@dataclass(frozen=True, slots=True)
class FleetVersion:
    """The rollout of an adapter's newest version, as the hosts asked know it.

    Parameters
    ----------
    known_s : float
        Time since the first of the hosts learned of the version, in seconds.
    hosts : list of str
        Hosts that list the version.
    current, behind : list of str
        Engines that hold the version or a later one, and those that hold an
        earlier one.
    """

    adapter: str
    version: str
    known_s: float
    hosts: list[str]
    current: list[str]
    behind: list[str]


def fleet_versions(bodies: list[dict[str, Any]]) -> list[FleetVersion]:
    """Combine what hosts list of adapters, the latest declaration first."""
    views: dict[str, list[tuple[str, dict[str, Any]]]] = {}
    for body in bodies:
        for listed in body["adapter_versions"]:
            views.setdefault(listed["adapter"], []).append((body["host"], listed))
    versions = [combine_views(adapter, views[adapter]) for adapter in views]
    return sorted(versions, key=lambda v: (v.known_s, v.adapter))


def combine_views(
    adapter: str, views: list[tuple[str, dict[str, Any]]]
) -> FleetVersion:
    """Return the newest version that hosts list of an adapter, by those that do.

    An engine has it if any host knows so: hosts hear of a load one after the other.
    """
    newest = max((listed["version"] for _, listed in views), key=int)
    knowing = [(host, e) for host, e in views if e["version"] == newest]
    current = {engine for _, e in knowing for engine in e["current"]}
    behind = {engine for _, e in knowing for engine in e["behind"]} - current
    return FleetVersion(
        adapter,
        newest,
        max(e["known_s"] for _, e in knowing),
        sorted(host for host, _ in knowing),
        sorted(current),
        sorted(behind),
    )


def version_line(version: FleetVersion, hosts_asked: int) -> str:
    """Format the rollout of a version as a line."""
    state = "behind " + " ".join(version.behind) if version.behind else "in force"
    return (
        f"{version.adapter}@{version.version}  known for {version.known_s:.1f} s  "
        f"listed by {len(version.hosts)} of {hosts_asked} hosts  "
        f"engines {' '.join(version.current) or 'none'}  {state}"
    )


def explain_verb(arguments: Namespace) -> Output:
    """Show what hosts recorded about a request, a load or an eviction."""
    path = f"/v1/explain/{arguments.id}"
    answers = asyncio.run(request_all_hosts(arguments.hosts, path))
    lines: list[str] = []
    entries: list[dict[str, Any]] = []
    for answer in answers:
        for entry in answer.body or ():
            details = "  ".join(f"{k}={v}" for k, v in entry["details"].items())
            lines.append(f"{entry['at']}  {answer.address}  {entry['what']}  {details}")
            entries.append({"address": answer.address, **entry})
    found = bool(entries)
    text = tuple(sorted(lines)) or (f"no host has a record of {arguments.id}",)
    code = reachability_exit_code(answers) if found else EXIT_FINDINGS
    return Output(text, {"id": arguments.id, "entries": entries}, code)


def quarantine_verb(arguments: Namespace) -> Output:
    """Show request contents in quarantine, and the targets that ended under them."""
    answers = asyncio.run(request_all_hosts(arguments.hosts, "/v1/status"))
    lines: list[str] = []
    entries: list[dict[str, Any]] = []
    for answer in answers:
        if answer.body is None:
            lines.append(status_line(answer))
            continue
        for held in answer.body["quarantined"]:
            targets = " ".join(held["targets"])
            lines.append(
                f"{answer.body['host']}  {held['content']}  "
                f"held for {held['hold_s']:.1f} s  "
                f"{targets} ended, the last {held['last_s']:.1f} s ago"
            )
            entries.append({"host": answer.body["host"], **held})
    text = tuple(lines) or ("nothing is held",)
    return Output(text, {"quarantined": entries}, reachability_exit_code(answers))


def lift_verb(arguments: Namespace) -> Output:
    """Release a content from quarantine; the hosts asked notify all others."""
    path = f"/v1/quarantine/{arguments.content}"
    answers = asyncio.run(request_all_hosts(arguments.hosts, path, "DELETE"))
    lifted = any(a.body and a.body.get("lifted") for a in answers)
    text = "lifted" if lifted else "not suspected on these hosts"
    code = reachability_exit_code(answers) if lifted else EXIT_FINDINGS
    document = {"content": arguments.content, "lifted": lifted}
    return Output((f"{arguments.content}  {text}",), document, code)
