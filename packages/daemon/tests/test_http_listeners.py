import asyncio

from aiohttp import web

from sardinequay_core.names import Address
from sardinequay_daemon.http_listeners import HttpListeners, caller_runner

MUCH_LESS_THAN_A_MINUTE_S = 20


async def test_request_that_does_not_end_is_abandoned_when_its_listener_closes(
    clock, metrics
):
    began = asyncio.Event()

    async def wait_for_ever(request: web.BaseRequest) -> web.StreamResponse:
        began.set()
        await asyncio.Event().wait()
        return web.Response()

    runner = caller_runner(web.Server(wait_for_ever))
    listeners = HttpListeners(clock, metrics)
    await listeners.serve(runner, Address("127.0.0.1", 0))
    ip, port = runner.addresses[0]
    reader, writer = await asyncio.open_connection(ip, port)
    writer.write(b"GET / HTTP/1.1\r\nHost: h\r\n\r\n")
    await began.wait()
    async with asyncio.timeout(MUCH_LESS_THAN_A_MINUTE_S):
        await listeners.close()
        assert await reader.read() == b""
    writer.close()
