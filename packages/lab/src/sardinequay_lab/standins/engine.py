"""Stand-in of a model engine: continuous batching by steps, adapters in few slots.

A request's tokens follow from its adapter and its prompt alone, so that any caller can
tell whether an answer is whole and its own. A stream can be opened again after an event
until some time after its end. The history says what ran on what, and when adapters came
and went.
"""

import argparse
import asyncio
import json
import time
import uuid
from collections import deque
from dataclasses import dataclass, field
from hashlib import sha256
from typing import Any

import aiohttp
from aiohttp import web

from ..history import HistoryWriter
from .serving import add_common_arguments, end_if_fatal, serve

KEEP_ENDED_S = 30.0
PING_S = 0.5
PING = b": alive\n\n"
DONE = "[DONE]"
DEFAULT_TOKENS = 16
MAX_TOKENS = 4096


def token_text(adapter: str, prompt: str, number: int) -> str:
    """Return the token that an adapter gives at a place of its answer."""
    seed = f"{adapter}\x00{prompt}\x00{number}".encode()
    return f"{sha256(seed).hexdigest()[:6]} "


def whole_text(adapter: str, prompt: str, tokens: int) -> str:
    """Return the whole answer that an adapter gives to a prompt."""
    return "".join(token_text(adapter, prompt, n) for n in range(1, tokens + 1))


@dataclass(slots=True)
class Run:
    """One request on this engine."""

    request_id: str
    adapter: str
    prompt: str
    tokens: int
    is_chat: bool
    events: list[bytes] = field(default_factory=list)
    ended_at: float | None = None
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    def step(self) -> None:
        """Generate one token; after the last one comes the end."""
        number = len(self.events) + 1
        if number > self.tokens:
            self.push(DONE)
            self.ended_at = time.monotonic()
            return
        text = token_text(self.adapter, self.prompt, number)
        self.push(json.dumps(self.chunk(text)))

    def chunk(self, text: str) -> dict[str, Any]:
        """Return the chunk that carries a token."""
        kind = "chat.completion.chunk" if self.is_chat else "text_completion"
        part = {"delta": {"content": text}} if self.is_chat else {"text": text}
        choice = {"index": 0, **part}
        return {
            "id": self.request_id,
            "object": kind,
            "model": self.adapter,
            "choices": [choice],
        }

    def push(self, data: str) -> None:
        """Append an event and wake those who read it."""
        number = len(self.events) + 1
        self.events.append(f"id: {number}\ndata: {data}\n\n".encode())
        self.changed.set()
        self.changed = asyncio.Event()


class Engine:
    """One engine's state.

    Parameters
    ----------
    step_s : float
        How long one step of the batch takes.
    checks_fencing : bool
        Whether orders with old tokens are refused.
    """

    def __init__(self, arguments: argparse.Namespace, history: HistoryWriter) -> None:
        self.slots: int = arguments.slots
        self.max_batch: int = arguments.max_batch
        self.step_s: float = arguments.step_s
        self.checks_fencing: bool = not arguments.ignores_fencing
        self.weight_store: str = arguments.weight_store
        self.history = history
        self.incarnation = uuid.uuid4().hex[:8]
        self.resident: dict[str, None] = {}
        self.loading: set[str] = set()
        self.highest_token = 0
        self.batch: dict[str, Run] = {}
        self.queue: deque[Run] = deque()
        self.runs: dict[str, Run] = {}
        self.leaving = False
        history.write("engine started", incarnation=self.incarnation)

    # Generating.

    async def generate(self, _: web.Application) -> None:
        """Start the loop that steps the batch."""
        self.loop = asyncio.create_task(self.step_forever())

    async def step_forever(self) -> None:
        """Step the batch for as long as the process lives."""
        while True:
            await asyncio.sleep(self.step_s)
            while self.queue and len(self.batch) < self.max_batch:
                run = self.queue.popleft()
                end_if_fatal(run.prompt)
                self.batch[run.request_id] = run
            for run in list(self.batch.values()):
                run.step()
                if run.ended_at is not None:
                    self.end(run, "ended")
            self.forget_old()

    def end(self, run: Run, how: str) -> None:
        """Take a run out of the batch."""
        self.batch.pop(run.request_id, None)
        run.ended_at = run.ended_at or time.monotonic()
        run.changed.set()
        self.history.write(how, request=run.request_id, adapter=run.adapter)

    def forget_old(self) -> None:
        """Forget runs that ended long ago."""
        now = time.monotonic()
        for request_id, run in list(self.runs.items()):
            if run.ended_at is not None and now - run.ended_at > KEEP_ENDED_S:
                del self.runs[request_id]

    async def complete(self, request: web.Request) -> web.StreamResponse:
        """Take a request and stream its answer."""
        body = await request.json()
        adapter = body["model"]
        if self.leaving:
            return web.json_response({"error": "leaving"}, status=503)
        if adapter not in self.resident:
            return web.json_response({"error": "not_loaded"}, status=409)
        run = Run(
            request.headers.get("X-Request-Id", uuid.uuid4().hex),
            adapter,
            prompt_of(body),
            min(int(body.get("max_tokens", DEFAULT_TOKENS)), MAX_TOKENS),
            request.path.endswith("/chat/completions"),
        )
        self.runs[run.request_id] = run
        self.queue.append(run)
        key = request.headers.get("Idempotency-Key", "")
        self.history.write("started", request=run.request_id, adapter=adapter, key=key)
        return await self.stream(request, run, 0)

    async def resume(self, request: web.Request) -> web.StreamResponse:
        """Open a stream again after an event."""
        run = self.runs.get(request.match_info["id"])
        if run is None:
            return web.json_response({"error": "unknown_request"}, status=404)
        return await self.stream(request, run, int(request.query.get("after", "0")))

    async def stream(
        self, request: web.Request, run: Run, after: int
    ) -> web.StreamResponse:
        """Write a run's events as they come, with signs of life between them."""
        response = web.StreamResponse(
            headers={"Content-Type": "text/event-stream", "X-Adapter": run.adapter}
        )
        await response.prepare(request)
        sent = after
        while True:
            changed = run.changed
            if len(run.events) > sent:
                data = b"".join(run.events[sent:])
                sent = len(run.events)
                await response.write(data)
            elif run.ended_at is not None:
                return response
            else:
                try:
                    async with asyncio.timeout(PING_S):
                        await changed.wait()
                except TimeoutError:
                    await response.write(PING)

    async def cancel(self, request: web.Request) -> web.Response:
        """End a run whose caller is gone."""
        run = self.runs.get(request.match_info["id"])
        if run is not None and run.ended_at is None:
            if run in self.queue:
                self.queue.remove(run)
            self.end(run, "cancelled")
        return web.json_response({"cancelled": run is not None})

    # Orders.

    def refuses(self, token: int) -> web.Response | None:
        """Return the refusal of an old token, if this engine checks them."""
        if not self.checks_fencing:
            return None
        if token < self.highest_token:
            body = {"error": "stale_token", "highest": self.highest_token}
            return web.json_response(body, status=409)
        self.highest_token = token
        return None

    async def load(self, request: web.Request) -> web.Response:
        """Load an adapter."""
        body = await request.json()
        adapter = f"{body['adapter']}@{body['version']}"
        if (refusal := self.refuses(body["fencing_token"])) is not None:
            return refusal
        if adapter in self.resident:
            return web.json_response({"loaded": adapter})
        if len(self.resident) + len(self.loading) >= self.slots:
            return web.json_response({"error": "no_slot"}, status=409)
        self.loading.add(adapter)
        try:
            if not await self.fetch(adapter):
                self.history.write("load failed", adapter=adapter)
                return web.json_response({"error": "load_failed"}, status=500)
            self.resident[adapter] = None
        finally:
            self.loading.discard(adapter)
        self.history.write("loaded", adapter=adapter, token=body["fencing_token"])
        return web.json_response({"loaded": adapter})

    async def fetch(self, adapter: str) -> bool:
        """Read the weights; return whether that went well."""
        if not self.weight_store:
            return True
        url = f"{self.weight_store}/v1/fetch"
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.post(url, json={"adapter": adapter}) as answer,
            ):
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    async def unload(self, request: web.Request) -> web.Response:
        """Evict an adapter; what runs on it is the history's to judge."""
        body = await request.json()
        adapter = f"{body['adapter']}@{body['version']}"
        if (refusal := self.refuses(body["fencing_token"])) is not None:
            return refusal
        self.resident.pop(adapter, None)
        in_use = [r.request_id for r in self.runs.values() if is_running(r, adapter)]
        self.history.write(
            "evicted", adapter=adapter, in_use=in_use, token=body["fencing_token"]
        )
        return web.json_response({"evicted": adapter})

    async def report(self, _: web.Request) -> web.Response:
        """Say what is loaded and how busy the engine is."""
        in_use = {run.adapter for run in (*self.batch.values(), *self.queue)}
        return web.json_response(
            {
                "incarnation": self.incarnation,
                "highest_token": self.highest_token if self.checks_fencing else 0,
                "slots": self.slots,
                "resident": [ref(adapter) for adapter in self.resident],
                "running": len(self.batch),
                "waiting": len(self.queue),
                "in_use": [ref(adapter) for adapter in sorted(in_use)],
            }
        )

    async def control(self, request: web.Request) -> web.Response:
        """Take a test's word on whether the engine is leaving."""
        self.leaving = bool((await request.json())["leaving"])
        return web.json_response({"leaving": self.leaving})

    def app(self) -> web.Application:
        """Return the engine as an HTTP application."""
        app = web.Application()
        app.router.add_post("/v1/completions", self.complete)
        app.router.add_post("/v1/chat/completions", self.complete)
        app.router.add_get("/v1/requests/{id}/events", self.resume)
        app.router.add_delete("/v1/requests/{id}", self.cancel)
        app.router.add_post("/v1/load_lora_adapter", self.load)
        app.router.add_post("/v1/unload_lora_adapter", self.unload)
        app.router.add_get("/v1/report", self.report)
        app.router.add_post("/control", self.control)
        app.on_startup.append(self.generate)
        return app


def is_running(run: Run, adapter: str) -> bool:
    """Return whether a run is under way on an adapter."""
    return run.adapter == adapter and run.ended_at is None


def ref(adapter: str) -> dict[str, str]:
    """Return an adapter reference as reports name it."""
    name, _, version = adapter.rpartition("@")
    return {"name": name, "version": version}


def prompt_of(body: dict[str, Any]) -> str:
    """Return what a request asks, completion or chat."""
    if "messages" in body:
        return "\n".join(str(m.get("content", "")) for m in body["messages"])
    return str(body.get("prompt", ""))


def add_arguments(parser: argparse.ArgumentParser) -> None:
    """Add an engine's arguments."""
    add_common_arguments(parser)
    parser.add_argument("--slots", type=int, default=4)
    parser.add_argument("--max-batch", type=int, default=32)
    parser.add_argument("--step-s", type=float, default=0.01)
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--weight-store", default="", help="http://ip:port")


def main() -> None:
    """Serve an engine until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    add_arguments(parser)
    arguments = parser.parse_args()
    history = HistoryWriter(arguments.history, arguments.name)
    serve(Engine(arguments, history).app(), arguments.listen)


if __name__ == "__main__":
    main()
