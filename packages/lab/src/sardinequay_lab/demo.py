"""The main job of the README: a whole system, real requests, and what happened."""

import argparse
import asyncio
import json
import shutil
import signal
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

import aiohttp

from .cluster import Cluster
from .plan import CALLER, SERVICE_PREFIX, TOKENS, Plan
from .standins.engine import whole_text
from .trial_files import adapter_name

TOKENS_ASKED = 12
REQUESTS = 60
PLAN = Plan(
    data_centres=("tukwila", "hillsboro"), hosts=2, engines=2, services=1, traced=True
)


def say(text: str) -> None:
    """Print a line at once."""
    print(text, flush=True)


def headers(**more: str) -> dict[str, str]:
    """Return the headers of the demonstration's caller."""
    named = {name.replace("_", "-"): value for name, value in more.items()}
    return {"Authorization": f"Bearer {TOKENS[CALLER]}", **named}


async def complete(
    session: aiohttp.ClientSession, url: str, number: int, version: str = "1"
) -> tuple[bool, float]:
    """Ask for one completion; return whether it is whole and right, and its time."""
    model = f"{adapter_name(number)}@{version}"
    prompt = f"a caption for photo {number}"
    body = {"model": model, "prompt": prompt, "max_tokens": TOKENS_ASKED}
    began = time.monotonic()
    async with session.post(
        f"{url}/v1/completions", json=body, headers=headers()
    ) as answer:
        got = await answer.json()
    text = got["choices"][0]["text"] if answer.status == 200 else str(got)
    is_right = text == whole_text(model, prompt, TOKENS_ASKED)
    return is_right, time.monotonic() - began


async def show_answers(session: aiohttp.ClientSession, url: str) -> None:
    """Show single answers of each kind."""
    prompt = {"model": f"{adapter_name(0)}@1", "prompt": "hello", "max_tokens": 4}
    async with session.post(
        f"{url}/v1/completions", json=prompt, headers=headers()
    ) as answer:
        say(f"completion: {answer.status} {await answer.text()}")
    order = f"{url}{SERVICE_PREFIX}/prints"
    keyed = headers(Idempotency_Key="album-17")
    for attempt in ("first", "second"):
        async with session.post(order, data="12 prints", headers=keyed) as answer:
            say(f"order, {attempt} time: {answer.status} {await answer.text()}")
    unknown = {**prompt, "model": "nobody@1"}
    async with session.post(
        f"{url}/v1/completions", json=unknown, headers=headers()
    ) as answer:
        say(f"unknown adapter: {answer.status} {await answer.text()}")


async def show_load(session: aiohttp.ClientSession, url: str, version: str) -> None:
    """Send requests over many adapters and show how they fared."""
    asks = [complete(session, url, n * n % 20, version) for n in range(REQUESTS)]
    results = await asyncio.gather(*asks)
    times = sorted(took for _, took in results)
    right = sum(is_right for is_right, _ in results)
    middle, last = times[len(times) // 2], times[-1]
    say(
        f"{right} of {REQUESTS} answers whole and by the adapter they named; "
        f"median {middle:.2f} s, slowest {last:.2f} s"
    )


async def show_metrics(session: aiohttp.ClientSession, cluster: Cluster) -> None:
    """Show what hosts counted."""
    wanted = ("load_stall_seconds_count", "load_stall_seconds_sum", "loads_total")
    for name, host in cluster.hosts.items():
        async with session.get(f"http://{host.operators}/metrics") as answer:
            text = await answer.text()
        lines = [x for x in text.splitlines() if any(w in x for w in wanted)]
        values = [f"{x.split('{')[0]} {x.split()[-1]}" for x in lines if x[0] != "#"]
        say(f"{name}: {', '.join(values) or 'nothing loaded or waited for'}")


def show_trace(directory: Path) -> None:
    """Show the spans of the longest trace."""
    spans: list[dict[str, Any]] = []
    for file in sorted(directory.glob("*.spans")):
        spans += [json.loads(line) for line in file.read_text().splitlines()]
    traces: dict[str, list[dict[str, Any]]] = {}
    for span in spans:
        traces.setdefault(span["context"]["trace_id"], []).append(span)
    if not traces:
        say("no trace was exported yet")
        return
    longest = max(traces.values(), key=len)
    for span in sorted(longest, key=lambda s: s["start_time"]):
        indent = "  " if span["parent_id"] else ""
        say(f"  {indent}{span['name']}  {span['start_time']} to {span['end_time']}")


async def show(cluster: Cluster) -> None:
    """Run the demonstration on a system that has been started."""
    await cluster.ready()
    url = f"http://{cluster.balancer}"
    say(f"ready: {len(cluster.hosts)} entry hosts behind {url}")
    async with aiohttp.ClientSession() as session:
        while not await reachable(session, url):
            await asyncio.sleep(0.1)
        await show_answers(session, url)
        await show_load(session, url, "1")
        say("rolling version 2 of the bundle while serving")
        serving = asyncio.create_task(show_load(session, url, "1"))
        version = await asyncio.to_thread(cluster.roll, ("1", "2"))
        took = await cluster.in_force(version)
        say(f"bundle {version} in force on every host {took:.2f} s after the roll")
        await serving
        await show_load(session, url, "2")
        await show_metrics(session, cluster)
    hosts = [host.operators for host in cluster.hosts.values()]
    status = cluster.operator.command("fleet", "status", "--hosts", *hosts)
    say(f"all hosts agree: {status['agreed']}")


async def reachable(session: aiohttp.ClientSession, url: str) -> bool:
    """Return whether the balancer passes requests on."""
    try:
        async with session.get(f"{url}/v1/models", headers=headers()) as answer:
            return answer.status == 200
    except (aiohttp.ClientError, OSError):
        return False


async def stay(cluster: Cluster) -> None:
    """Keep the system running, and say how to reach it, until interrupted."""
    hosts = " ".join(host.operators for host in cluster.hosts.values())
    say(f"callers: http://{cluster.balancer}  token: {TOKENS[CALLER]}")
    say(f"operators: sardinequay fleet status --hosts {hosts}")
    say("stop with Ctrl-C")
    await asyncio.Event().wait()


def main() -> int:
    """Run the demonstration in a directory of its own and clean up."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--stay", action="store_true", help="keep the system running")
    arguments = parser.parse_args()
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    directory = Path(tempfile.mkdtemp(prefix="sardinequay-"))
    cluster = Cluster(directory, PLAN)
    try:
        say("starting the platform, targets and entry hosts, each its own process")
        cluster.start()
        asyncio.run(show(cluster))
        if arguments.stay:
            asyncio.run(stay(cluster))
    except KeyboardInterrupt:
        say("stopping")
    finally:
        cluster.stop()
        say("a trace, with a span for each hop:")
        show_trace(directory)
        shutil.rmtree(directory, ignore_errors=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
