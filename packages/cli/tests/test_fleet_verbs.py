"""Questions to hosts in trouble: each ends as one host that is unreachable."""

import tracemalloc
from contextlib import AsyncExitStack

from sardinequay_cli.fleet_verbs import request_all_hosts
from sardinequay_lab.broken_answers import refused_cases
from sardinequay_lab.raw_server import raw_server

MAX_HELD_BYTES = 150_000_000
SOUND = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
ENDLESS = b"HTTP/1.1 200 OK\r\n\r\n"


async def test_answer_that_is_none_leaves_its_host_unreachable() -> None:
    async with AsyncExitStack() as hosts:
        addresses = [
            str(await hosts.enter_async_context(raw_server(case.data())))
            for case in refused_cases()
        ]
        answers = await request_all_hosts(addresses, "/v1/status")
    for case, answer in zip(refused_cases(), answers, strict=True):
        assert answer.body is None, case.name
        assert answer.error in ("ClientResponseError", "ClientPayloadError"), case.name


async def test_answer_without_end_is_held_within_a_bound() -> None:
    tracemalloc.start()
    try:
        async with (
            raw_server(ENDLESS, b"x" * 65_536) as endless,
            raw_server(SOUND) as h,
        ):
            answers = await request_all_hosts([str(endless), str(h)], "/v1/status")
        _, peak = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert [answer.error for answer in answers] == ["AnswerTooLongError", ""]
    assert peak < MAX_HELD_BYTES
