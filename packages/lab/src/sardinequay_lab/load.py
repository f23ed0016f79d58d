"""Callers under load: model requests and keyed orders, each attempt in the history."""

import asyncio
import json
import uuid
from collections import Counter
from dataclasses import dataclass, field
from random import Random
from typing import Any

import aiohttp

from .history import HistoryWriter
from .plan import CALLER, SERVICE_PREFIX, TOKENS
from .standins.engine import whole_text
from .trial_files import adapter_name

ATTEMPTS = 4
RETRY_PAUSE_S = 0.2
CALL_TIMEOUT_S = 20.0


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """What callers do.

    Parameters
    ----------
    workers : int
        Callers that each have one request at a time.
    adapters : int
        How many adapters they name, the first ones most.
    orders : float
        Share of requests that are keyed orders, sent to two hosts at once.
    keyed_models : float
        Share of requests that are model requests with a key.
    tokens : int
        Length of answers.
    """

    workers: int = 8
    adapters: int = 12
    orders: float = 0.3
    keyed_models: float = 0.1
    tokens: int = 20
    deadline_s: float = 8.0
    versions: tuple[str, ...] = ("1",)


@dataclass(slots=True)
class Callers:
    """Callers of a trial, who send to hosts at random until told to stop."""

    urls: list[str]
    plan: LoadPlan
    history: HistoryWriter
    random: Random
    outcomes: Counter[str] = field(default_factory=Counter)
    stopping: bool = False

    async def run(self) -> None:
        """Send requests until stopped, then wait for the last answers."""
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as http:
            workers = [self.work(http) for _ in range(self.plan.workers)]
            await asyncio.gather(*workers)

    async def work(self, http: aiohttp.ClientSession) -> None:
        """Send one request after another."""
        while not self.stopping:
            kind = self.random.random()
            if kind < self.plan.orders:
                await self.order(http)
            else:
                is_keyed = kind < self.plan.orders + self.plan.keyed_models
                await self.complete(http, is_keyed)
            await asyncio.sleep(self.random.uniform(0.0, 0.05))

    def pick(self) -> str:
        """Return a host."""
        return self.random.choice(self.urls)

    async def order(self, http: aiohttp.ClientSession) -> None:
        """Place one order at two hosts at once, and again until its fate is known."""
        key = uuid.uuid4().hex
        for _ in range(ATTEMPTS):
            hosts = self.random.sample(self.urls, min(2, len(self.urls)))
            answers = await asyncio.gather(*[self.place(http, h, key) for h in hosts])
            if any(outcome != "not_run" for outcome in answers):
                break
            await asyncio.sleep(RETRY_PAUSE_S)

    async def place(self, http: aiohttp.ClientSession, url: str, key: str) -> str:
        """Place an order at one host; return its outcome."""
        request = uuid.uuid4().hex
        self.history.write("asked", request=request, key=key)
        headers = self.headers(request, key)
        body = f"order {key}"
        try:
            async with http.post(
                f"{url}{SERVICE_PREFIX}/prints", data=body, headers=headers
            ) as answer:
                outcome = answer.headers.get("Sardinequay-Outcome", "unknown")
                text = await answer.text()
                is_complete = answer.status == 201
                is_whole = is_complete and json.loads(text)["ordered"] == body
                detail = answer.headers.get("Sardinequay-Reason", "")
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            outcome, is_complete, is_whole = "unknown", False, False
            detail = type(error).__name__
        self.note(request, outcome, is_complete, is_whole, detail, "order")
        return outcome

    def headers(self, request: str, key: str = "") -> dict[str, str]:
        """Return a request's headers."""
        made = {
            "Authorization": f"Bearer {TOKENS[CALLER]}",
            "X-Request-Id": request,
            "Sardinequay-Deadline": str(self.plan.deadline_s),
        }
        if key:
            made["Idempotency-Key"] = key
        return made

    def note(
        self,
        request: str,
        outcome: str,
        complete: bool,
        whole: bool,
        detail: str,
        kind: str,
    ) -> None:
        """Write an answer to the history."""
        self.history.write(
            "answered",
            request=request,
            outcome=outcome,
            complete=complete,
            whole=whole,
            detail=detail,
        )
        self.outcomes[f"{kind} {'complete' if complete else detail or outcome}"] += 1

    def choose_model(self) -> str:
        """Return an adapter and version, the first ones most."""
        ranks = range(1, self.plan.adapters + 1)
        number = self.random.choices(ranks, [1 / r for r in ranks])[0] - 1
        return f"{adapter_name(number)}@{self.random.choice(self.plan.versions)}"

    async def complete(self, http: aiohttp.ClientSession, is_keyed: bool) -> None:
        """Send one streamed completion and check every token of it."""
        request, model = uuid.uuid4().hex, self.choose_model()
        prompt = f"caption {request}"
        self.history.write("asked", request=request, model=model)
        body = {
            "model": model,
            "prompt": prompt,
            "max_tokens": self.plan.tokens,
            "stream": True,
        }
        headers = self.headers(request, request if is_keyed else "")
        url = f"{self.pick()}/v1/completions"
        try:
            async with http.post(url, json=body, headers=headers) as answer:
                data = await answer.read()
                outcome = answer.headers.get("Sardinequay-Outcome", "unknown")
                detail = answer.headers.get("Sardinequay-Reason", "")
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.note(request, "unknown", False, False, type(error).__name__, "model")
            return
        text, is_complete, failure = read_stream(data)
        if failure:
            outcome, detail = failure["outcome"], failure["reason"]
        is_whole = text == whole_text(model, prompt, self.plan.tokens)
        self.note(request, outcome, is_complete, is_whole, detail, "model")


def read_stream(data: bytes) -> tuple[str, bool, dict[str, Any]]:
    """Return a stream's text, whether it came to its end, and its failure if any."""
    texts: list[str] = []
    for event in data.decode(errors="replace").split("\n\n"):
        fields = [x[6:] for x in event.split("\n") if x.startswith("data: ")]
        if fields == ["[DONE]"]:
            return "".join(texts), True, {}
        body = json.loads(fields[0]) if fields else {}
        if "error" in body:
            return "".join(texts), False, body["error"]
        texts += [c["text"] for c in body.get("choices", ())]
    return "".join(texts), False, {}
