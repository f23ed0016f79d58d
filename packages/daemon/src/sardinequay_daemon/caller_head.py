"""Writing of the head of an answer to a caller, for both deployments."""

from aiohttp import web
from aiohttp.http import StreamWriter

from .errors import HeadNotWrittenError


async def write_head(response: web.StreamResponse, http: web.BaseRequest) -> None:
    """Write the head of an answer.

    Raises
    ------
    HeadNotWrittenError
        If the HTTP library cannot write it. No byte was sent then, and another answer
        may take its place.
    """
    try:
        await response.prepare(http)
    except ValueError as error:
        forget_framing(http)
        raise HeadNotWrittenError(str(error)) from error


def forget_framing(http: web.BaseRequest) -> None:
    """Undo how the body of an answer would have been framed."""
    writer = http.writer
    assert isinstance(writer, StreamWriter)
    writer.chunked = False
    writer.length = None
