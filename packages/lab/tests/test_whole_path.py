"""The whole path over real processes: streams, callers and operators."""

import asyncio
import gzip
import json
import signal
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import aiohttp
import pytest

from sardinequay_lab.cluster import Cluster
from sardinequay_lab.load import read_stream
from sardinequay_lab.plan import OTHER_CALLER, SERVICE_PREFIX, TOKENS, Plan
from sardinequay_lab.standins.engine import whole_text
from sardinequay_lab.trial_files import adapter_name

STREAMS = 200
TOKENS_ASKED = 30
PLAN = Plan(
    data_centres=("tukwila", "hillsboro"),
    hosts=1,
    engines=2,
    adapters=8,
    loads_per_s=20.0,
    traced=True,
    limits={"max_body_bytes": 65_536},
)
HEADERS = {"Authorization": "Bearer kiosks-token"}


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    made = Cluster(tmp_path_factory.mktemp("whole-path"), PLAN)
    try:
        made.start()
        asyncio.run(made.ready())
        yield made
    finally:
        made.stop()


def urls(cluster: Cluster) -> list[str]:
    return [f"http://{host.callers}" for host in cluster.hosts.values()]


def body(number: int, **more: Any) -> dict[str, Any]:
    model = f"{adapter_name(number % PLAN.adapters)}@1"
    prompt = f"prompt {number}"
    return {"model": model, "prompt": prompt, "max_tokens": TOKENS_ASKED, **more}


async def test_two_hundred_streams_are_each_whole_and_their_own(
    cluster: Cluster,
) -> None:
    hosts = urls(cluster)

    async def stream(http: aiohttp.ClientSession, number: int) -> bool:
        url = f"{hosts[number % len(hosts)]}/v1/completions"
        asked = body(number, stream=True)
        async with http.post(url, json=asked, headers=HEADERS) as answer:
            text, is_complete, _ = read_stream(await answer.read())
        whole = whole_text(asked["model"], asked["prompt"], TOKENS_ASKED)
        return is_complete and text == whole

    async with aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)) as http:
        asks = [stream(http, number) for number in range(STREAMS)]
        assert all(await asyncio.gather(*asks))


@pytest.mark.parametrize(
    ("path", "data", "headers", "status", "reason"),
    [
        ("/v1/completions", b"{", {}, 400, "malformed"),
        ("/v1/completions", b"x" * 70_000, {}, 413, "too_large"),
        (
            "/v1/completions",
            json.dumps(body(0)).encode(),
            {"Authorization": ""},
            401,
            "unauthenticated",
        ),
        (
            "/v1/completions",
            json.dumps(body(0)).encode(),
            {"Sardinequay-Deadline": "0"},
            504,
            "deadline_expired",
        ),
        ("/v1/completions", b'{"model": "nobody@1"}', {}, 404, "unknown_model"),
        (
            "/v1/completions",
            json.dumps(body(1)).encode(),
            {"Authorization": f"Bearer {TOKENS[OTHER_CALLER]}"},
            404,
            "unknown_model",
        ),
        ("/v1/completions", b'{"model": "style-00000@9"}', {}, 403, "not_offered"),
        (
            f"{SERVICE_PREFIX}/x",
            b"",
            {"Authorization": f"Bearer {TOKENS[OTHER_CALLER]}"},
            404,
            "unknown_route",
        ),
        ("/nowhere", b"", {}, 404, "unknown_route"),
    ],
)
async def test_bad_requests_are_refused_and_nothing_runs(
    cluster: Cluster,
    path: str,
    data: bytes,
    headers: dict[str, str],
    status: int,
    reason: str,
) -> None:
    async with aiohttp.ClientSession() as http:
        url = urls(cluster)[0] + path
        async with http.post(url, data=data, headers={**HEADERS, **headers}) as answer:
            error = (await answer.json())["error"]
            assert (answer.status, error["reason"]) == (status, reason)
            assert (
                error["outcome"] == "not_run" == answer.headers["Sardinequay-Outcome"]
            )


async def test_plain_service_passes_through(cluster: Cluster) -> None:
    async with aiohttp.ClientSession() as http:
        url = f"{urls(cluster)[0]}{SERVICE_PREFIX}/pages/7?size=2"
        async with http.get(url, headers=HEADERS) as answer:
            assert (answer.status, await answer.text()) == (
                200,
                "asset /orders/pages/7",
            )
            assert answer.headers["X-Kind"] == "asset"
        async with http.post(url, data=b"12", headers=HEADERS) as answer:
            assert answer.status == 201
            assert (await answer.json())["ordered"] == "12"


async def test_service_gets_a_body_with_a_content_coding_as_it_was_sent(
    cluster: Cluster,
) -> None:
    """Guards against a decoded body under the header of its coding."""
    url = f"{urls(cluster)[0]}{SERVICE_PREFIX}/x"
    headers = {**HEADERS, "Content-Encoding": "gzip"}
    async with aiohttp.ClientSession() as http:
        data = gzip.compress(b"12")
        async with http.post(url, data=data, headers=headers) as answer:
            assert answer.status == 201
            assert (await answer.json())["ordered"] == "12"


@pytest.mark.parametrize("coding", ["gzip", "br", "unknown"])
async def test_model_request_with_a_content_coding_is_refused(
    cluster: Cluster, coding: str
) -> None:
    data = gzip.compress(json.dumps({"model": "style-00001@1"}).encode())
    headers = {**HEADERS, "Content-Encoding": coding}
    url = f"{urls(cluster)[0]}/v1/completions"
    async with (
        aiohttp.ClientSession() as http,
        http.post(url, data=data, headers=headers) as answer,
    ):
        error = (await answer.json())["error"]
        assert (answer.status, error["outcome"]) == (400, "not_run")
        assert "content coding" in error["message"]


async def test_chat_in_one_piece_names_what_ran(cluster: Cluster) -> None:
    messages = [{"role": "user", "content": "hello"}]
    asked = {"model": "style-00001@1", "messages": messages, "max_tokens": 5}
    async with aiohttp.ClientSession() as http:
        url = f"{urls(cluster)[0]}/v1/chat/completions"
        async with http.post(url, json=asked, headers=HEADERS) as answer:
            got = await answer.json()
            assert answer.headers["Sardinequay-Adapter"] == "style-00001@1"
    assert got["object"] == "chat.completion"
    text = whole_text("style-00001@1", "hello", 5)
    assert got["choices"][0]["message"]["content"] == text


async def test_callers_who_choose_one_request_id_get_their_own_answers(
    cluster: Cluster,
) -> None:
    # An engine knows runs by their ids: two of one id could be resumed as each other.
    async def ask(http: aiohttp.ClientSession, number: int) -> bool:
        url = f"{urls(cluster)[0]}/v1/completions"
        headers = {**HEADERS, "X-Request-Id": "same"}
        asked = {**body(number), "model": "style-00000@1"}
        async with http.post(url, json=asked, headers=headers) as answer:
            text = (await answer.json())["choices"][0]["text"]
        return text == whole_text("style-00000@1", asked["prompt"], TOKENS_ASKED)

    async with aiohttp.ClientSession() as http:
        assert all(await asyncio.gather(*[ask(http, n) for n in range(4)]))
    history = "".join(f.read_text() for f in cluster.history.glob("engine*.history"))
    starts = [json.loads(x) for x in history.splitlines() if '"started"' in x]
    ids = [s[3]["request"] for s in starts if s[3]["request"].startswith("same.")]
    assert len(ids) == len(set(ids)) == 4


async def test_model_list_shows_a_caller_its_own(cluster: Cluster) -> None:
    async with aiohttp.ClientSession() as http:
        for token, count in (("kiosks-token", PLAN.adapters), ("lab-token", 1)):
            headers = {"Authorization": f"Bearer {token}"}
            url = f"{urls(cluster)[0]}/v1/models"
            async with http.get(url, headers=headers) as answer:
                assert len((await answer.json())["data"]) == count


async def test_caller_that_leaves_cancels_its_work(cluster: Cluster) -> None:
    asked = body(2, stream=True, max_tokens=4000)
    async with aiohttp.ClientSession() as http:
        url = f"{urls(cluster)[0]}/v1/completions"
        headers = {**HEADERS, "X-Request-Id": "left-early"}
        async with http.post(url, json=asked, headers=headers) as answer:
            await answer.content.readany()
    history = ""
    for _ in range(100):
        files = cluster.history.glob("engine*.history")
        history = "".join(f.read_text() for f in files)
        if '"cancelled", {"request": "left-early.1-' in history:
            return
        await asyncio.sleep(0.05)
    raise AssertionError("the engine was not told")


async def test_stream_over_a_frozen_link_resumes_without_loss(cluster: Cluster) -> None:
    """The engine stops for longer than the silence bound, then goes on."""
    asked = body(3, stream=True, max_tokens=150)
    engine_names = [n for n, t in cluster.targets.items() if t.kind == "engine"]
    async with aiohttp.ClientSession() as http:
        url = f"{urls(cluster)[0]}/v1/completions"
        async with http.post(url, json=asked, headers=HEADERS) as answer:
            first = await answer.content.readany()
            for name in engine_names:
                cluster.signal(name, signal.SIGSTOP)
            await asyncio.sleep(3.5)
            for name in engine_names:
                cluster.signal(name, signal.SIGCONT)
            data = first + await answer.read()
    text, is_complete, _ = read_stream(data)
    assert is_complete
    assert text == whole_text(asked["model"], asked["prompt"], 150)


async def test_operators_see_what_is_in_force_and_why(cluster: Cluster) -> None:
    hosts = [host.operators for host in cluster.hosts.values()]
    async with aiohttp.ClientSession() as http:
        url = f"{urls(cluster)[0]}/v1/completions"
        headers = {**HEADERS, "X-Request-Id": "asked-about"}
        async with http.post(url, json=body(4), headers=headers) as answer:
            assert answer.status == 200
        async with http.get(f"http://{hosts[0]}/metrics") as answer:
            metrics = await answer.text()
    for name in (
        "bundle_version",
        "peers",
        "requests_total",
        "in_flight",
        "bundle_age",
    ):
        assert f"sardinequay_{name}" in metrics
    command = cluster.operator.command
    assert command("fleet", "status", "--hosts", *hosts)["agreed"]
    entries = command("fleet", "explain", "asked-about", "--hosts", *hosts)["entries"]
    assert [entry["what"] for entry in entries] == ["dispatched", "ended"]
    bundle = command("fleet", "explain", "bundle", "--hosts", *hosts)["entries"]
    assert {entry["what"] for entry in bundle} == {"in force"}


async def test_trace_of_the_caller_goes_on_to_the_engine(cluster: Cluster) -> None:
    trace = "0af7651916cd43dd8448eb211c80319c"
    parent = f"00-{trace}-b7ad6b7169203331-01"
    async with aiohttp.ClientSession() as http:
        headers = {**HEADERS, "traceparent": parent}
        url = f"{urls(cluster)[0]}/v1/completions"
        async with http.post(url, json=body(5), headers=headers) as answer:
            assert answer.status == 200
    names: set[str] = set()
    for _ in range(150):
        spans = [
            json.loads(line)
            for file in cluster.directory.glob("*.spans")
            for line in file.read_text().splitlines()
        ]
        names = {s["name"] for s in spans if trace in s["context"]["trace_id"]}
        if {"POST /v1/completions", "engine"} <= names:
            return
        await asyncio.sleep(0.1)
    raise AssertionError(f"spans of the trace: {names}")


def test_daemon_says_what_is_wrong_and_exits(cluster: Cluster, tmp_path: Path) -> None:
    name = next(iter(cluster.hosts))
    good = json.loads(cluster.settings_of(name).read_text())
    missing = {"certificate": "nowhere.pem", "key": "nowhere.pem"}
    cases = [
        ({**good, "surprise": 1}, 2, "surprise"),
        (good, 3, "cannot listen"),
        ({**good, "peer_tls": missing}, 4, "bad key or certificate"),
    ]
    import subprocess
    import sys

    for settings, code, message in cases:
        file = tmp_path / "settings.json"
        file.write_text(json.dumps(settings))
        line = [sys.executable, "-m", "sardinequay_daemon.main", str(file)]
        done = subprocess.run(
            line, capture_output=True, text=True, timeout=30, check=False
        )
        assert done.returncode == code
        assert message in done.stderr
